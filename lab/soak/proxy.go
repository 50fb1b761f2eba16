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

// proxy is a TCP proxy between the clients and a dispatcher. It forwards the bytes of some connections in small chunks or with
// a delay, and cuts some connections after a random number of bytes from the client. mu guards random.
type proxy struct {
	upstream string // address of the dispatcher
	listener net.Listener
	mu       sync.Mutex
	random   *rand.Rand
	done     sync.WaitGroup  // goroutines that accept and relay connections
	ctx      context.Context // the proxy ends when it is done
}

// connFaults holds the faults of a proxied connection.
type connFaults struct {
	cutAfter  int           // number of bytes from the client after which the connection is cut; 0: never
	reset     bool          // whether the cut resets the connection instead of closing it
	chunkSize int           // maximum number of bytes forwarded at a time; 0: no limit
	delay     time.Duration // time between a read from the client and its forwarding
}

// The shares and sizes of the faults.
const (
	// The shares of connections that are cut, forwarded in small chunks, or delayed.
	connCutShare, rechunkShare, delayShare = 0.04, 0.15, 0.15
	// maxCutAfter is the largest number of bytes before a cut.
	maxCutAfter = 900
	// maxChunkSize is the largest size of small chunks, in bytes.
	maxChunkSize = 80
	// maxDelay is the upper bound of the delay.
	maxDelay = 60 * time.Millisecond
)

// newProxy starts a proxy that listens on the address listen and forwards to upstream until ctx is done.
func newProxy(ctx context.Context, listen, upstream string, random *rand.Rand) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{upstream: upstream, listener: ln, random: random, ctx: ctx}
	p.done.Go(p.serve)
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	return p, nil
}

// drawFaults draws the faults of a new connection.
func (p *proxy) drawFaults() connFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	var faults connFaults
	if p.random.Float64() < connCutShare {
		faults.cutAfter, faults.reset = 1+p.random.IntN(maxCutAfter), p.random.IntN(2) == 0
	}
	if p.random.Float64() < rechunkShare {
		faults.chunkSize = 1 + p.random.IntN(maxChunkSize)
	}
	if p.random.Float64() < delayShare {
		faults.delay = time.Duration(p.random.Int64N(int64(maxDelay)))
	}
	return faults
}

// serve accepts connections until the proxy ends.
func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		p.done.Go(func() { p.relay(conn.(*net.TCPConn)) })
	}
}

// relay forwards bytes between a client and the dispatcher until both directions have ended, one has broken, or the proxy
// ends. If the dispatcher accepts no connection, it resets that of the client at once, since a direct connection would have
// been refused.
func (p *proxy) relay(client *net.TCPConn) {
	defer client.Close()
	conn, err := net.DialTimeout("tcp", p.upstream, time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	release := context.AfterFunc(p.ctx, func() { _ = client.Close(); _ = server.Close() })
	defer release()
	faults := p.drawFaults()
	answersDone := make(chan struct{})
	go func() {
		defer close(answersDone)
		if broken := forward(client, server, connFaults{chunkSize: faults.chunkSize}); broken {
			_ = client.SetLinger(0)
			_ = client.Close()
		}
	}()
	if broken := forward(server, client, faults); broken {
		_ = server.SetLinger(0)
		_ = server.Close()
		_ = client.Close()
	}
	<-answersDone
}

// forward copies bytes in one direction and forwards their end. It reports whether the connection broke instead.
func forward(to, from *net.TCPConn, faults connFaults) (broken bool) {
	buffer, forwarded := make([]byte, 16<<10), 0
	for {
		n, err := from.Read(buffer)
		if faults.delay > 0 && n > 0 {
			time.Sleep(faults.delay) // bytes that arrive meanwhile are read together
		}
		for pending := buffer[:n]; len(pending) > 0; {
			chunk := len(pending)
			if faults.chunkSize > 0 {
				chunk = min(chunk, faults.chunkSize)
			}
			if faults.cutAfter > 0 && forwarded+chunk >= faults.cutAfter {
				_, _ = to.Write(pending[:faults.cutAfter-forwarded])
				if faults.reset {
					return true
				}
				_ = to.CloseWrite()
				return false
			}
			if _, err := to.Write(pending[:chunk]); err != nil {
				return true
			}
			if forwarded, pending = forwarded+chunk, pending[chunk:]; len(pending) > 0 && faults.chunkSize > 0 {
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

// proxyBalancer directs the load through the proxies.
type proxyBalancer struct {
	load.Balancer
	proxies     []*proxy
	terminating *terminatingPicker
}

// Choose returns the dispatcher for a hand-in, with the address of its proxy. A share of the hand-ins without a key goes to
// terminating dispatchers.
func (b proxyBalancer) Choose(client int, key string, dest, try int) (load.Target, bool) {
	target, ok := b.Balancer.Choose(client, key, dest, try)
	if dispatcher, found := b.terminating.pick(); ok && found && key == "" {
		target.Dispatcher = dispatcher
	}
	if ok {
		target.Addr = b.proxies[target.Dispatcher].listener.Addr().String()
	}
	return target, ok
}
