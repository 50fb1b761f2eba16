// Package partner serves the endpoints of simulated partners on loopback sockets. Package behaviour decides the outcome
// of each call; this package carries it out and records every call in the journal with the times of its first and last
// byte.
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

// Partners serves the endpoints of all destinations of a run.
type Partners struct {
	world        *scenario.World
	journal      *record.Journal
	clock        *loop.Clock
	network      loop.Network
	destinations []*destination
	listeners    []*listener
	stop         chan struct{}  // closed by Close
	running      sync.WaitGroup // goroutines of listeners and connections
	mu           sync.Mutex
	connCount    int             // connections accepted so far, guarded by mu
	encoder      ResponseEncoder // nil: responses have a Content-Length
}

// ResponseEncoder encodes a response for the wire. head holds the status line and headers, without Content-Length and
// without the blank line that ends them; the encoder chooses how the body is delimited.
type ResponseEncoder func(head, body []byte) EncodedResponse

// EncodedResponse is a response as it is written to the connection.
type EncodedResponse struct {
	Bytes                []byte
	StatusLineEnd        int  // offset of the first byte after the final status line
	CloseDelimited       bool // the body ends with the connection, which is closed after the response
	TruncateAt           int  // the connection is closed after this many bytes; 0: the response is sent in full
	ResetAfterTruncation bool // the truncated connection is reset, not closed in order
}

// destination is the simulated system of one destination. All its endpoints share one behaviour, which the mutex
// guards.
type destination struct {
	sync.Mutex
	*behaviour.Partner
	spec      scenario.Partner
	callsByID map[string]int // calls received so far, by notification id
}

// listener is a listening address. It serves a single endpoint, or several endpoints of different destinations.
type listener struct {
	partners  *Partners
	addr      string
	index     int
	endpoints map[int]scenario.Endpoint // by destination
	sole      *scenario.Endpoint        // the only endpoint; nil if the address is shared
	mu        sync.Mutex
	ln        net.Listener // nil while closed; guarded by mu, as is conns
	conns     map[*conn]bool
}

// Start listens on the addresses of the endpoints that accept connections at the start of the run. encoder encodes the
// responses; if it is nil they have a Content-Length.
func Start(world *scenario.World, journal *record.Journal, clock *loop.Clock, network loop.Network, encoder ResponseEncoder) (*Partners, error) {
	p := &Partners{world: world, journal: journal, clock: clock, network: network, stop: make(chan struct{}), encoder: encoder}
	byListener := map[int]*listener{}
	for _, spec := range world.Partners {
		p.destinations = append(p.destinations, &destination{Partner: behaviour.New(world, spec), spec: spec, callsByID: map[string]int{}})
		for _, e := range spec.Endpoints {
			l := byListener[e.Listener]
			if l == nil {
				l = &listener{partners: p, addr: network.EndpointAddr(e.Listener), index: e.Listener,
					endpoints: map[int]scenario.Endpoint{}, conns: map[*conn]bool{}}
				byListener[e.Listener] = l
				p.listeners = append(p.listeners, l)
			}
			l.endpoints[e.Dest] = e
			if l.sole = nil; !world.SharesListener(e) {
				l.sole = &e
			}
		}
	}
	for _, l := range p.listeners {
		if l.accepting(0) {
			if err := l.listen(); err != nil {
				p.Close()
				return nil, err
			}
		}
	}
	p.running.Go(p.updateListeners)
	return p, nil
}

// Addr returns the address of an endpoint.
func (p *Partners) Addr(e scenario.Endpoint) string { return p.network.EndpointAddr(e.Listener) }

// Close closes all listeners, resets their connections and waits until their goroutines have ended.
func (p *Partners) Close() {
	close(p.stop)
	for _, l := range p.listeners {
		l.closeAndReset()
	}
	p.running.Wait()
}

// updateListeners opens and closes listeners at the times at which endpoints are added or removed, or start or stop refusing
// connections.
func (p *Partners) updateListeners() {
	var times []float64
	const settleSeconds = 1e-4 // the listeners are updated this long after each change, when it has taken effect
	for _, f := range p.world.Faults {
		if f.Kind == scenario.RefuseConnections {
			times = append(times, f.At+settleSeconds, f.End()+settleSeconds)
		}
	}
	for _, dest := range p.destinations {
		for _, e := range dest.spec.Endpoints {
			if e.AddedAt > 0 {
				times = append(times, e.AddedAt+settleSeconds)
			}
			if e.RemovedAt > 0 {
				times = append(times, e.RemovedAt+1+settleSeconds) // it accepts connections for 1 s after its removal
			}
		}
	}
	slices.Sort(times)
	for _, at := range slices.Compact(times) {
		for now := p.clock.Now(); now < at; now = p.clock.Now() {
			pause := 20 * time.Millisecond
			if now >= 0 {
				pause = p.clock.Until(at)
			}
			select {
			case <-p.stop:
				return
			case <-time.After(pause):
			}
		}
		for _, l := range p.listeners {
			if l.accepting(at) {
				_ = l.listen() // the address belongs to this run alone, so it is free again
			} else {
				l.closeAndReset()
			}
		}
	}
}

// accepting reports whether the listener accepts connections at the time now. A shared listener always does.
func (l *listener) accepting(now float64) bool {
	if l.sole == nil {
		return true
	}
	dest := l.partners.destinations[l.sole.Dest]
	dest.Lock()
	defer dest.Unlock()
	return dest.AcceptsConnections(now, l.sole.Index)
}

// listen opens the listener if it is closed, and starts to accept connections.
func (l *listener) listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", l.addr)
	if errors.Is(err, syscall.EMFILE) {
		return fmt.Errorf("%d endpoint listeners exceed the limit of open files: raise ulimit -n, or set listeners in the scenario", len(l.partners.listeners))
	}
	if err != nil {
		return fmt.Errorf("endpoint listener: %w", err)
	}
	l.ln = ln
	l.partners.running.Go(func() { l.accept(ln) })
	return nil
}

// closeAndReset closes the listener and resets its connections, as the kernel does for a process that is killed.
func (l *listener) closeAndReset() {
	l.mu.Lock()
	ln, conns := l.ln, l.conns
	l.ln, l.conns = nil, map[*conn]bool{}
	l.mu.Unlock()
	if ln != nil {
		_ = ln.Close()
	}
	for c := range conns {
		c.reset()
	}
}

// accept accepts connections until ln is closed.
func (l *listener) accept(ln net.Listener) {
	for {
		accepted, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of file descriptors: pending connections are accepted once some are free
			time.Sleep(10 * time.Millisecond)
			continue
		}
		l.partners.mu.Lock()
		l.partners.connCount++
		id := l.partners.connCount
		l.partners.mu.Unlock()
		conn := newConn(l, accepted.(*net.TCPConn), id)
		l.mu.Lock()
		current := l.ln == ln
		if current {
			l.conns[conn] = true
			conn.overLimit = l.sole != nil && l.kind().MaxConnections > 0 && len(l.conns) > l.kind().MaxConnections
		}
		l.mu.Unlock()
		if !current {
			conn.reset()
			continue
		}
		l.partners.running.Go(conn.readCalls)
		l.partners.running.Go(conn.serve)
	}
}

// kind returns the partner kind of the endpoints served here.
func (l *listener) kind() scenario.Kind {
	for dest := range l.endpoints {
		return l.partners.destinations[dest].spec.Kind // endpoints that share a listener are of one kind
	}
	return scenario.Kind{}
}
