package soak

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"orchiddrift/lab/load"
	"orchiddrift/lab/rules"
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
	// plannedEnd records that a client's connection ends by the plan, or that its request does not reach the dispatcher.
	plannedEnd func(client net.Addr, cause string)
	crowded    bool // idle connections use up the dispatcher's, so that it closes others between two requests
}

// Causes of planned ends.
const (
	causeCut         = "cut by the proxy"
	causeUnreachable = "no connection from the proxy to the dispatcher"
	causeEnded       = "ended before the proxy forwarded the request"
	causeCrowded     = "crossed a close between requests on a crowded dispatcher"
	causeRunOver     = "the run was over"
)

// connFaults holds the faults of a proxied connection.
type connFaults struct {
	cutAfter  int           // number of bytes from the client after which the connection is cut; 0: never
	reset     bool          // whether the cut resets the connection instead of closing it
	chunkSize int           // maximum number of bytes forwarded at a time; 0: no limit
	delay     time.Duration // time between a read from the client and its forwarding
	copyShare float64       // share of the requests that are forwarded once more
	copySeed  uint64        // seed of the draws for these
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
func newProxy(ctx context.Context, listen, upstream string, random *rand.Rand, plannedEnd func(net.Addr, string), crowded bool) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{upstream: upstream, listener: ln, random: random, ctx: ctx, plannedEnd: plannedEnd, crowded: crowded}
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
	if p.random.Float64() < requestCopyConns && faults.cutAfter == 0 {
		faults.copyShare = requestCopyShare
	}
	faults.copySeed = p.random.Uint64()
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
		p.plannedEnd(client.RemoteAddr(), causeUnreachable)
		_ = client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	release := context.AfterFunc(p.ctx, func() {
		p.plannedEnd(client.RemoteAddr(), causeRunOver)
		_ = client.Close()
		_ = server.Close()
	})
	defer release()
	faults := p.drawFaults()
	requests := &requestTracker{}
	answersDone := make(chan struct{})
	go func() {
		defer close(answersDone)
		broken := p.forwardAnswers(client, server, faults.chunkSize, requests)
		if requests.justForwarded() {
			cause := rules.ExcuseClosing
			if p.crowded && requests.answeredBefore() {
				cause = causeCrowded
			}
			p.plannedEnd(client.RemoteAddr(), cause)
		}
		if broken {
			_ = client.SetLinger(0)
			_ = client.Close()
		}
	}()
	if broken := p.forwardRequests(server, client, faults, requests); broken {
		_ = server.SetLinger(0)
		_ = server.Close()
		_ = client.Close()
	}
	<-answersDone
}

// requestTracker tracks whether a request is being forwarded on a connection. mu guards the fields below it.
type requestTracker struct {
	mu          sync.Mutex
	forwardedAt time.Time // when the first byte of the current request was forwarded; zero: none since the last answer
	reused      bool      // an answer has come before
}

// forwarding records that bytes of a request are about to be forwarded, and reports whether they are the first.
func (r *requestTracker) forwarding() (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.forwardedAt.IsZero() {
		return false
	}
	r.forwardedAt = time.Now()
	return true
}

// answered records that bytes of an answer have come.
func (r *requestTracker) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forwardedAt, r.reused = time.Time{}, true
}

// answeredBefore reports whether the connection has carried an answer.
func (r *requestTracker) answeredBefore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reused
}

// justForwarded reports whether a request began to be forwarded so recently that its first byte may have crossed the end of the
// connection.
func (r *requestTracker) justForwarded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.forwardedAt.IsZero() && time.Since(r.forwardedAt).Seconds() <= rules.MaxCrossing
}

// forwardAnswers copies bytes from the dispatcher to the client, in chunks of at most chunkSize if that is not 0, and forwards
// their end. It reports whether the connection broke instead.
func (p *proxy) forwardAnswers(client, server *net.TCPConn, chunkSize int, requests *requestTracker) (broken bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := server.Read(buffer)
		if n > 0 {
			requests.answered()
		}
		if writeChunks(client, buffer[:n], chunkSize) != nil {
			return true
		}
		if err != nil {
			return endForwarding(client, err)
		}
	}
}

// forwardRequests copies bytes from the client to the dispatcher with the faults of the connection, and forwards their end. It
// reports whether the connection broke instead. It forwards nothing of a request to a connection that the dispatcher has ended.
func (p *proxy) forwardRequests(server, client *net.TCPConn, faults connFaults, requests *requestTracker) (broken bool) {
	buffer, forwarded := make([]byte, 16<<10), 0
	copier := &requestCopier{server: server, share: faults.copyShare, random: newRand(faults.copySeed, copyStream)}
	for {
		n, err := client.Read(buffer)
		if faults.delay > 0 && n > 0 {
			time.Sleep(faults.delay) // bytes that arrive meanwhile are read together
		}
		if n > 0 && requests.forwarding() && hasEnded(server) {
			p.plannedEnd(client.RemoteAddr(), causeEnded)
			return true
		}
		pending := buffer[:n]
		if faults.cutAfter > 0 && forwarded+n >= faults.cutAfter {
			p.plannedEnd(client.RemoteAddr(), causeCut)
			_ = writeChunks(server, pending[:faults.cutAfter-forwarded], faults.chunkSize)
			if faults.reset {
				return true
			}
			_ = server.CloseWrite()
			return false
		}
		if copier.write(pending, faults.chunkSize) != nil {
			return true
		}
		if forwarded += n; err != nil {
			return endForwarding(server, err)
		}
	}
}

// writeChunks writes b, in chunks of at most size with pauses between them if size is not 0.
func writeChunks(to *net.TCPConn, b []byte, size int) error {
	for len(b) > 0 {
		chunk := len(b)
		if size > 0 {
			chunk = min(chunk, size)
		}
		if _, err := to.Write(b[:chunk]); err != nil {
			return err
		}
		if b = b[chunk:]; len(b) > 0 {
			time.Sleep(time.Millisecond / 2)
		}
	}
	return nil
}

// endForwarding forwards the end of a direction, and reports whether the connection broke instead.
func endForwarding(to *net.TCPConn, err error) (broken bool) {
	if err != io.EOF {
		return true
	}
	_ = to.CloseWrite()
	return false
}

// hasEnded reports whether the other side has ended a connection.
func hasEnded(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n <= 0 && !errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || ended
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
