package intake

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"orchiddrift/invariant"
)

const (
	// keepAliveDivisor is the part of the connections that may stay open after an answer. Where clients come, ask once and stay,
	// those beyond it are closed with their answer: what they hold is not there for the next who come.
	keepAliveDivisor = 3
	// lingerDivisor is the part of the connections that may, beside those open, still wait for their clients' ends.
	lingerDivisor = 8
	lingerTimeout = 500 * time.Millisecond
	// retryDelay is the pause after an accept that failed.
	retryDelay = 10 * time.Millisecond
)

// limitListener is a listener with so many connections open at most. Where one more comes, another that has no request
// open makes room: of those that never sent a whole request the oldest, else the one idle for longest. So clients
// that connect and say nothing, or half of something, do not shut out those that ask. It does harm where a client
// takes long over its first request while hundreds connect.
type limitListener struct {
	net.Listener
	maxConns      int
	log           zerolog.Logger
	invariants    *invariant.Counters
	lock          sync.Mutex
	open          map[*clientConn]bool
	established   int // of them those that have sent a whole request
	lingering     int // and beside them those that wait for their client's end
	activityCount int
	stopping      bool // no connection is taken any more: all may linger
}

// Accept waits for the next connection. An error of one that failed, or of a machine that has nothing left for one, ends
// neither the listener nor the process. Where there is no descriptor, a client that has no request open makes room.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.log.Warn().Err(err).Msg("accept failed")
			if !outOfResources(err) || !l.evictOne() {
				time.Sleep(retryDelay)
			}
			continue
		}
		c := newClientConn(l, conn)
		if l.admit(c) {
			return c, nil
		}
		l.log.Debug().Stringer("client", conn.RemoteAddr()).Str("reason", string(noneEvictable)).Msg("connection closed")
		_ = conn.Close()
	}
}

func (l *limitListener) admit(c *clientConn) bool {
	l.lock.Lock()
	full := len(l.open) >= l.maxConns
	l.lock.Unlock()
	if full && !l.evictOne() {
		return false
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	l.activityCount++
	c.lastActivity = l.activityCount
	l.open[c] = true
	return true
}

// evictOne closes the connection that can best be done without, and tells whether there was one.
func (l *limitListener) evictOne() bool {
	l.lock.Lock()
	var victim *clientConn
	for candidate := range l.open {
		if candidate.evictable() && (victim == nil || !candidate.servedBefore && victim.servedBefore || candidate.servedBefore == victim.servedBefore && candidate.lastActivity < victim.lastActivity) && !candidate.hasUnreadBytes() {
			victim = candidate
		}
	}
	if victim == nil {
		l.lock.Unlock()
		return false
	}
	victim.markReadClosed(evictedForRoom)
	l.remove(victim)
	midRequest := victim.requestStarted
	if victim.evictedDuringRequest = midRequest; midRequest { // its request may have been read whole just now: the server closes it
		victim.interruptRead()
	}
	l.lock.Unlock()
	if !midRequest {
		_ = victim.Conn.Close()
	}
	return true
}

// closeIdle ends all connections that have no request open, and tells how many are left, lingering ones included.
func (l *limitListener) closeIdle() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.stopping = true
	for c := range l.open {
		if !c.readClosed && !c.requestStarted && !c.hasUnreadBytes() {
			c.markReadClosed(serverStopping)
			c.closeWrite()
			c.interruptRead()
		}
	}
	return len(l.open) + l.lingering
}

func (l *limitListener) remove(c *clientConn) {
	if l.open[c] && (c.servedBefore || c.requestComplete) {
		l.established--
	}
	delete(l.open, c)
}

// waitClosed waits until no connection is open and none lingers.
func (l *limitListener) waitClosed() {
	for l.closeIdle() > 0 {
		time.Sleep(retryDelay)
	}
}

// outOfResources tells that the process, or the machine, has nothing left for another connection.
func outOfResources(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM)
}

// linger keeps a connection that has ended its side until its client has ended its own, but not for long: a close over
// bytes that came and were not read resets it, and an answer on its way would go with them. Behind a request that was
// answered nothing is read any more: what comes then is the client's to send again elsewhere. The rest of one that could
// not be read is, and dropped, since it has its answer.
func (l *limitListener) linger(c *clientConn, discard bool) {
	b := newBackoff(lingerTimeout)
	for b.wait() {
		if c.peerClosed(discard) {
			break
		}
	}
	_ = c.Conn.Close()
	l.lock.Lock()
	l.lingering--
	l.lock.Unlock()
}

// backoff paces looks at something, ever more seldom, for a time in all.
type backoff struct {
	deadline time.Time
	delay    time.Duration
}

func newBackoff(total time.Duration) *backoff {
	return &backoff{deadline: time.Now().Add(total), delay: time.Millisecond}
}

// wait pauses, and tells whether it is worth another look.
func (b *backoff) wait() bool {
	const maxDelay = 64 * time.Millisecond
	remaining := time.Until(b.deadline)
	if remaining <= 0 {
		return false
	}
	time.Sleep(min(b.delay, remaining))
	b.delay = min(2*b.delay, maxDelay)
	return true
}

// trackState notes that a request has begun to come, that it was answered, or that its connection is closed.
func trackState(conn net.Conn, s fasthttp.ConnState) {
	c := conn.(*clientConn)
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	switch s {
	case fasthttp.StateActive:
		c.requestStarted, c.responded = true, false
	case fasthttp.StateIdle:
		c.listener.activityCount++
		c.responded, c.servedBefore, c.requestComplete, c.lastActivity = true, true, false, c.listener.activityCount
	case fasthttp.StateClosed:
		c.listener.remove(c)
	}
}
