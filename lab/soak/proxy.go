package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"orchiddrift/lab/load"
)

// proxy stands between the clients and a dispatcher. It passes on what both sides send, in pieces, late or together, and
// cuts connections at any byte on their way to the dispatcher.
type proxy struct {
	addr   string // of the dispatcher
	ln     net.Listener
	lock   sync.Mutex
	chance *rand.Rand
	done   sync.WaitGroup
	stop   context.Context
}

// fate is what a proxy does with a connection.
type fate struct {
	cut   int  // after so many bytes from the client; 0: never
	reset bool // and how
	piece int  // bytes passed on at a time; 0: as they come
	late  time.Duration
}

const (
	cutShare, pieceShare, lateShare = 0.04, 0.15, 0.15
	mostCut                         = 900
	mostPiece                       = 80
	mostLate                        = 60 * time.Millisecond
)

func newProxy(stop context.Context, listen, addr string, chance *rand.Rand) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: addr, ln: ln, chance: chance, stop: stop}
	p.done.Go(p.serve)
	context.AfterFunc(stop, func() { _ = ln.Close() })
	return p, nil
}

func (p *proxy) fate() fate {
	p.lock.Lock()
	defer p.lock.Unlock()
	var f fate
	if p.chance.Float64() < cutShare {
		f.cut, f.reset = 1+p.chance.IntN(mostCut), p.chance.IntN(2) == 0
	}
	if p.chance.Float64() < pieceShare {
		f.piece = 1 + p.chance.IntN(mostPiece)
	}
	if p.chance.Float64() < lateShare {
		f.late = time.Duration(p.chance.Int64N(int64(mostLate)))
	}
	return f
}

func (p *proxy) serve() {
	for {
		conn, err := p.ln.Accept()
		if p.stop.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		p.done.Go(func() { p.relay(conn.(*net.TCPConn)) })
	}
}

// relay passes on between a client and the dispatcher until both have ended, one has broken, or the soak is over. Where the
// dispatcher takes no connection the client's is reset at once, as its own would be refused.
func (p *proxy) relay(client *net.TCPConn) {
	defer client.Close()
	up, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	server := up.(*net.TCPConn)
	defer server.Close()
	release := context.AfterFunc(p.stop, func() { _ = client.Close(); _ = server.Close() })
	defer release()
	f := p.fate()
	back := make(chan struct{})
	go func() {
		defer close(back)
		if broken := pass(client, server, fate{piece: f.piece}); broken {
			_ = client.SetLinger(0)
			_ = client.Close()
		}
	}()
	if broken := pass(server, client, f); broken {
		_ = server.SetLinger(0)
		_ = server.Close()
		_ = client.Close()
	}
	<-back
}

// pass passes bytes on until their end, which it passes on too, and tells whether the connection broke in the place of it.
func pass(to, from *net.TCPConn, f fate) (broken bool) {
	buffer, passed := make([]byte, 16<<10), 0
	for {
		n, err := from.Read(buffer)
		if f.late > 0 && n > 0 {
			time.Sleep(f.late) // what comes meanwhile goes together
		}
		for b := buffer[:n]; len(b) > 0; {
			piece := len(b)
			if f.piece > 0 {
				piece = min(piece, f.piece)
			}
			if f.cut > 0 && passed+piece >= f.cut {
				_, _ = to.Write(b[:f.cut-passed])
				if f.reset {
					return true
				}
				_ = to.CloseWrite()
				return false
			}
			if _, err := to.Write(b[:piece]); err != nil {
				return true
			}
			if passed, b = passed+piece, b[piece:]; len(b) > 0 && f.piece > 0 {
				time.Sleep(time.Millisecond / 2)
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.CloseWrite()
			}
			return err != io.EOF
		}
	}
}

// front sends clients through the proxies.
type front struct {
	load.Balancer
	proxies []*proxy
	leaving *leaving
}

// Choose picks a dispatcher, and gives its proxy's address.
func (f front) Choose(client int, key string, dest, try int) (load.Target, bool) {
	t, ok := f.Balancer.Choose(client, key, dest, try)
	if d, is := f.leaving.choose(); ok && is && key == "" {
		t.Dispatcher = d
	}
	if ok {
		t.Addr = f.proxies[t.Dispatcher].ln.Addr().String()
	}
	return t, ok
}
