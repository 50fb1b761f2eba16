// Package partner plays the partners' endpoints on loopback sockets: what behaviour decides, it does, and every call
// goes into the journal with the moment its last byte came.
package partner

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"orchiddrift/lab/behaviour"
	"orchiddrift/lab/loop"
	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

// Partners are all the endpoints of a run.
type Partners struct {
	world   *scenario.World
	journal *record.Journal
	clock   *loop.Clock
	network loop.Network
	systems []*system
	doors   []*door
	stop    chan struct{}
	done    sync.WaitGroup
	lock    sync.Mutex
	conns   int
	shape   ResponseEncoder
}

// ResponseEncoder gives an answer its form on the wire, from its head, without the empty line behind it and without what says where
// the answer ends, and its body.
type ResponseEncoder func(head, body []byte) EncodedResponse

// EncodedResponse is an answer's bytes.
type EncodedResponse struct {
	Bytes                []byte
	StatusLineEnd        int  // bytes up to the end of its status line
	CloseDelimited       bool // the connection's end is the answer's
	TruncateAt           int  // the connection ends after so many bytes; 0: it is whole
	ResetAfterTruncation bool // and how
}

// system is a destination's system: one behaviour behind all its endpoints.
type system struct {
	sync.Mutex
	*behaviour.Partner
	spec  scenario.Partner
	calls map[string]int // by notification
}

// door is an address: the endpoint behind it, or several of different destinations.
type door struct {
	all      *Partners
	addr     string
	listener int
	behind   map[int]scenario.Endpoint // by destination
	only     *scenario.Endpoint        // where there is one
	lock     sync.Mutex
	ln       net.Listener
	open     map[*conn]bool
}

// Start opens the endpoints' addresses. Answers are shaped, or go with a length where shape is nil.
func Start(w *scenario.World, j *record.Journal, clock *loop.Clock, network loop.Network, shape ResponseEncoder) (*Partners, error) {
	p := &Partners{world: w, journal: j, clock: clock, network: network, stop: make(chan struct{}), shape: shape}
	byListener := map[int]*door{}
	for _, spec := range w.Partners {
		p.systems = append(p.systems, &system{Partner: behaviour.New(w, spec), spec: spec, calls: map[string]int{}})
		for _, e := range spec.Endpoints {
			d := byListener[e.Listener]
			if d == nil {
				d = &door{all: p, addr: network.EndpointAddr(e.Listener), listener: e.Listener,
					behind: map[int]scenario.Endpoint{}, open: map[*conn]bool{}}
				byListener[e.Listener] = d
				p.doors = append(p.doors, d)
			}
			d.behind[e.Dest] = e
			if d.only = nil; !w.SharesListener(e) {
				d.only = &e
			}
		}
	}
	for _, d := range p.doors {
		if d.takes(0) {
			if err := d.listen(); err != nil {
				p.Close()
				return nil, err
			}
		}
	}
	p.done.Go(p.follow)
	return p, nil
}

// Addr is where an endpoint is reached.
func (p *Partners) Addr(e scenario.Endpoint) string { return p.network.EndpointAddr(e.Listener) }

// Close ends all connections and listeners.
func (p *Partners) Close() {
	close(p.stop)
	for _, d := range p.doors {
		d.shut()
	}
	p.done.Wait()
}

// follow opens and shuts doors as endpoints come, go, and refuse.
func (p *Partners) follow() {
	var moments []float64
	const after = 1e-4
	for _, f := range p.world.Faults {
		if f.Kind == scenario.RefuseConnections {
			moments = append(moments, f.At+after, f.End()+after)
		}
	}
	for _, s := range p.systems {
		for _, e := range s.spec.Endpoints {
			if e.AddedAt > 0 {
				moments = append(moments, e.AddedAt+after)
			}
			if e.RemovedAt > 0 {
				moments = append(moments, e.RemovedAt+1+after)
			}
		}
	}
	slices.Sort(moments)
	for _, at := range slices.Compact(moments) {
		for now := p.clock.Now(); now < at; now = p.clock.Now() {
			wait := 20 * time.Millisecond
			if now >= 0 {
				wait = p.clock.Until(at)
			}
			select {
			case <-p.stop:
				return
			case <-time.After(wait):
			}
		}
		for _, d := range p.doors {
			if d.takes(at) {
				_ = d.listen() // its address is its own: it can be had again
			} else {
				d.shut()
			}
		}
	}
}

// takes tells whether connections are taken. A shared door always stands open.
func (d *door) takes(now float64) bool {
	if d.only == nil {
		return true
	}
	s := d.all.systems[d.only.Dest]
	s.Lock()
	defer s.Unlock()
	return s.AcceptsConnections(now, d.only.Index)
}

// listen opens the door, unless it is open.
func (d *door) listen() error {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", d.addr)
	if errors.Is(err, syscall.EMFILE) {
		return fmt.Errorf("endpoints want %d listeners and the process may not open so many: raise ulimit -n, or set listeners in the scenario", len(d.all.doors))
	}
	if err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	d.ln = ln
	d.all.done.Go(func() { d.accept(ln) })
	return nil
}

// shut closes the door and resets all that came through it, as the end of a process does.
func (d *door) shut() {
	d.lock.Lock()
	ln, open := d.ln, d.open
	d.ln, d.open = nil, map[*conn]bool{}
	d.lock.Unlock()
	if ln != nil {
		_ = ln.Close()
	}
	for c := range open {
		c.reset()
	}
}

func (d *door) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // too many descriptors: those that wait get in once some are free
			time.Sleep(10 * time.Millisecond)
			continue
		}
		d.all.lock.Lock()
		d.all.conns++
		number := d.all.conns
		d.all.lock.Unlock()
		conn := newConn(d, c.(*net.TCPConn), number)
		d.lock.Lock()
		stands := d.ln == ln
		if stands {
			d.open[conn] = true
			conn.beyond = d.only != nil && d.kind().MaxConnections > 0 && len(d.open) > d.kind().MaxConnections
		}
		d.lock.Unlock()
		if !stands {
			conn.reset()
			continue
		}
		d.all.done.Go(conn.read)
		d.all.done.Go(conn.serve)
	}
}

// kind is that of the partners behind the door.
func (d *door) kind() scenario.Kind {
	for dest := range d.behind {
		return d.all.systems[dest].spec.Kind // those that share a door are of one group
	}
	return scenario.Kind{}
}
