package intake

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"orchiddrift/admission"
	"orchiddrift/invariant"
	"orchiddrift/permit"
	"orchiddrift/sock"
	"orchiddrift/syserr"
)

const (
	// keepAliveDivisor sets the share of connections, 1/keepAliveDivisor of maxConns, that may stay open after a response.
	// Beyond this share, connections are closed with their response, so that clients that send one request and stay connected
	// do not use up the connections.
	keepAliveDivisor = 3
	// lingerDivisor sets how many connections, maxConns/lingerDivisor but at least one, may linger besides the open ones.
	lingerDivisor = admission.LingerDivisor
	// evictingDivisor sets how many evicted connections, maxConns/evictingDivisor but at least one, may still hold their descriptor: with
	// more, none is evicted for a moment, so that the next ones wait to be accepted.
	evictingDivisor = admission.LingerDivisor
	// lingerTimeout is the longest time that a connection lingers.
	lingerTimeout = 500 * time.Millisecond
	// retryDelay is the pause after a failed accept, and between two checks of the connections while the server stops.
	retryDelay = 10 * time.Millisecond
)

// limitListener is a listener that limits the number of open connections. When the limit is reached, a new connection evicts
// one that has no complete request in progress: the oldest of those that never sent a complete request, else the one idle
// for longest. Thus clients that connect and send nothing or only part of a request cannot lock out the others. The drawback
// is that a client that is slow with its first request may be evicted while hundreds of others connect.
type limitListener struct {
	net.Listener
	maxConns         int
	log              zerolog.Logger
	invariants       *invariant.Counters
	errors           *syserr.Recorder
	budget           *admission.Budget    // of the memory for connections; may be nil
	lock             sync.Mutex           // guards the fields below, those of the connections, and assigning Listener
	open             map[*clientConn]bool // accepted connections that are neither closed nor evicted
	establishedCount int                  // open connections that have sent a complete request
	lingeringCount   int                  // connections, not among the open ones, that wait for their client to close
	evictingCount    int                  // evicted connections that still hold their descriptor
	activityCount    int                  // number of accepted connections and responses; source of clientConn.lastActivity
	stopping         bool                 // the server is stopping: any number of connections may linger
	accepting        bool                 // connections that are set up may still have to be accepted
	delayedFrom      time.Time            // start of the last time without accepts, because they failed; only Accept uses it
	delayedUntil     time.Time            // end of that time
}

// Accept waits for the next connection. It returns an error only if the listener is closed: it retries after the failure of
// a single connection or a lack of resources. If there is no file descriptor left, it evicts a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	for failures := 0; ; {
		conn, err := l.Listener.Accept()
		if errors.Is(err, sock.ErrNonePending) || errors.Is(err, net.ErrClosed) {
			l.endAccepting()
			return nil, net.ErrClosed
		}
		if err != nil {
			failures++
			l.noteDelay(time.Now())
			l.handleAcceptError(err, failures)
			continue
		}
		failures = 0
		c := newClientConn(l, conn)
		if accepted, ok := conn.(interface{ AcceptedAt() time.Time }); ok && time.Since(accepted.AcceptedAt()) > delayMemory {
			l.noteDelay(accepted.AcceptedAt())
		}
		c.queuedFor = l.acceptDelay()
		if l.admit(c) {
			c.enlargeReceiveBuffer()
			return c, nil
		}
		l.log.Debug().Stringer("client", conn.RemoteAddr()).Str("reason", string(noneEvictable)).Msg("connection closed")
		_ = conn.Close()
	}
}

// delayMemory is how long after a failed accept the connections that are accepted then may have waited for it.
const delayMemory = 50 * time.Millisecond

// noteDelay records that connections could not be accepted from a time on until now.
func (l *limitListener) noteDelay(from time.Time) {
	if time.Since(l.delayedUntil) > delayMemory {
		l.delayedFrom = from
	}
	l.delayedUntil = time.Now()
}

// acceptDelay returns how long a connection that is accepted now may have waited because accepts failed.
func (l *limitListener) acceptDelay() time.Duration {
	if time.Since(l.delayedUntil) > delayMemory {
		return 0
	}
	return time.Since(l.delayedFrom)
}

// endAccepting closes the listening socket once no connection is pending on it.
func (l *limitListener) endAccepting() {
	_ = l.Listener.Close()
	l.lock.Lock()
	defer l.lock.Unlock()
	l.accepting = false
}

// stopAccepting ends Accept once it has returned the connections that are set up already. They may hold requests, and closing the
// listening socket would reset them. A listener that cannot tell which ones are set up is closed at once.
func (l *limitListener) stopAccepting() error {
	l.lock.Lock()
	defer l.lock.Unlock()
	drainer, ok := l.Listener.(interface{ Drain() error })
	if !ok {
		return l.Listener.Close()
	}
	l.accepting = true
	return drainer.Drain()
}

// handleAcceptError records the error of an accept, pauses, and closes a connection if resources are used up: one on which no client
// can still wait for an answer. failures counts the accepts that failed in a row: if closing connections does not help, they are
// closed at longer and longer intervals.
func (l *limitListener) handleAcceptError(err error, failures int) {
	l.errors.Failed(syserr.Accept, "", err)
	time.Sleep(retryDelay)
	if isPowerOfTwo := failures&(failures-1) == 0; isPowerOfTwo && syserr.OutOfResources(err) {
		l.evictOne(clientPatience)
	}
}

// admit adds a connection to the open ones and reports whether it was added. If the limit is reached and no other one can be evicted
// just now, because all are busy or could not be looked at, it waits for as long as the client does.
func (l *limitListener) admit(c *clientConn) bool {
	for startedAt := time.Now(); !l.tryAdmit(c); time.Sleep(admitInterval) {
		if time.Since(startedAt) > clientPatience {
			return false
		}
	}
	return true
}

// admitInterval is the time between two attempts to make room for a connection. Others wait for it to be accepted.
const admitInterval = 2 * time.Millisecond

// tryAdmit adds a connection to the open ones and reports whether it was added. It evicts another one if the limit is reached.
func (l *limitListener) tryAdmit(c *clientConn) bool {
	if l.addIfRoom(c) {
		return true
	}
	l.evictStuck()
	return l.addIfRoom(c) || (l.evictOne(clientPatience) || l.evictOne(0)) && l.addIfRoom(c)
}

// addIfRoom adds a connection to the open ones, unless the limit or the account of their memory is reached, and reports whether it was
// added.
func (l *limitListener) addIfRoom(c *clientConn) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if len(l.open) >= l.maxConns || !l.budget.Reserve(admission.Connections, admission.ConnectionBytes) {
		return false
	}
	l.activityCount++
	c.lastActivity = l.activityCount
	l.open[c] = true
	return true
}

// evictOne closes one connection that may make room and has been silent for minSilence, and reports whether there was any.
func (l *limitListener) evictOne(minSilence time.Duration) bool {
	l.lock.Lock()
	var victim *clientConn
	if l.mayEvict() {
		victim = l.findEvictable(minSilence)
	}
	if victim == nil {
		l.lock.Unlock()
		return false
	}
	stuck := l.evict(victim)
	l.lock.Unlock()
	victim.closeEvicted(stuck)
	return true
}

// evictStuck closes all connections whose clients do not read their answers: where there is one there are many, and the next connections
// wait.
func (l *limitListener) evictStuck() {
	var victims []*clientConn
	l.lock.Lock()
	for c := range l.open {
		if l.mayEvict() && permit.EvictStuck(c.state()) == permit.Granted {
			l.evict(c)
			victims = append(victims, c)
		}
	}
	l.lock.Unlock()
	for _, victim := range victims {
		victim.closeEvicted(true)
	}
}

// mayEvict reports whether a further connection may be evicted now. The caller holds the lock.
func (l *limitListener) mayEvict() bool { return l.evictingCount < max(1, l.maxConns/evictingDivisor) }

// evict takes a connection from the open ones and reports whether its client does not read its answers. The caller holds the lock, and
// calls closeEvicted without it.
func (l *limitListener) evict(c *clientConn) (stuck bool) {
	c.evicted = true
	l.evictingCount++
	if stuck = permit.AnswerStuck(c.state()); stuck {
		c.markReadClosed(answerNotTaken)
	} else {
		c.markReadClosed(evictedForRoom)
	}
	l.remove(c)
	c.evictedDuringRequest = c.requestStarted && !stuck
	return stuck
}

// closeEvicted closes a connection that was evicted. If bytes of a request were read from it, which may be the whole request, it only
// interrupts reading, and the goroutine that serves the connection closes it.
func (c *clientConn) closeEvicted(stuck bool) {
	if stuck {
		c.dropUnsent()
	}
	if c.evictedDuringRequest {
		c.interruptRead()
		return
	}
	_ = c.Conn.Close()
}

// findEvictable returns the connection to evict, or nil if none may be evicted. The caller holds the lock.
func (l *limitListener) findEvictable(minSilence time.Duration) *clientConn {
	victim := l.firstEvictable(minSilence, false)
	if victim == nil {
		return nil
	}
	state := victim.state()
	if permit.EvictFresh(state, false) == permit.Granted {
		return victim
	}
	usedCouldGo := l.firstEvictable(minSilence, true) != nil
	if permit.EvictFresh(state, usedCouldGo) != permit.Granted {
		return nil
	}
	return victim
}

// firstEvictable returns the first connection to evict of all, or of those that were used, without regard to requests on their way. The
// caller holds the lock.
func (l *limitListener) firstEvictable(minSilence time.Duration, usedOnly bool) *clientConn {
	var victim *clientConn
	for candidate := range l.open {
		if usedOnly && !candidate.servedBefore || victim != nil && !candidate.evictBefore(victim) {
			continue
		}
		if permit.Evict(candidate.state(), minSilence, candidate.unread) == permit.Granted {
			victim = candidate
		}
	}
	return victim
}

// evictBefore reports whether c is to be evicted rather than other: one whose request was refused, or whose client does not read its
// answers, before one of which that is not so, then one that never sent a complete request before one that did, else
// the one that has been idle for longer. The caller holds the lock.
func (c *clientConn) evictBefore(other *clientConn) bool {
	if last, otherLast := c.refused || !c.stuckSince.IsZero(), other.refused || !other.stuckSince.IsZero(); last != otherLast {
		return last
	}
	if c.servedBefore != other.servedBefore {
		return !c.servedBefore
	}
	return c.lastActivity < other.lastActivity
}

// closeIdle marks the listener as stopping, closes all connections that have no request in progress and no unread bytes, and
// returns the number of connections that are left, including the lingering ones and those being closed. Those that are not
// accepted yet count as one.
func (l *limitListener) closeIdle() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.stopping = true
	for c := range l.open {
		if permit.CloseIdle(c.state(), c.unread) == permit.Granted && c.tellEnd() {
			c.markReadClosed(serverStopping)
			c.interruptRead()
		}
	}
	left := len(l.open) + l.lingeringCount
	if l.accepting {
		left++
	}
	return left
}

// remove removes a connection from the open ones. The caller holds the lock.
func (l *limitListener) remove(c *clientConn) {
	if !l.open[c] {
		return
	}
	if c.servedBefore || c.requestComplete {
		l.establishedCount--
	}
	delete(l.open, c)
	l.budget.Release(admission.Connections, admission.ConnectionBytes)
}

// waitClosed closes connections as they become idle, until none is open or lingering.
func (l *limitListener) waitClosed() {
	for l.closeIdle() > 0 {
		time.Sleep(retryDelay)
	}
}

// linger keeps a connection open after its write side was shut down, until the client closes its side or lingerTimeout passes.
// Closing a socket that holds unread bytes resets the connection, which can destroy a response on its way. After an answered
// request nothing more is read: the client can see that later requests were not processed and send them elsewhere. With
// discard, the rest of a request that could not be parsed is read and dropped, since that request was already answered.
// With shutdownAgain, shutting down the write side failed and is tried again.
func (l *limitListener) linger(c *clientConn, discard, shutdownAgain bool) {
	for pause := syserr.NewBackoff(lingerTimeout); pause.Wait(); {
		if shutdownAgain {
			shutdownAgain = c.closeWrite()
		}
		if c.peerClosed(discard) {
			break
		}
	}
	_ = c.Conn.Close()
	c.releaseReceiveBuffer()
	l.lock.Lock()
	l.lingeringCount--
	l.lock.Unlock()
	l.budget.Release(admission.Connections, admission.LingerBytes)
}

// mayLinger reports whether a connection may linger, and counts it if so. The caller holds the lock.
func (l *limitListener) mayLinger() bool {
	switch {
	case l.stopping:
		l.budget.Force(admission.Connections, admission.LingerBytes)
	case l.lingeringCount >= max(1, l.maxConns/lingerDivisor), !l.budget.Reserve(admission.Connections, admission.LingerBytes):
		return false
	}
	l.lingeringCount++
	return true
}

// crowded reports whether so many connections have sent requests that they are closed with their responses. The caller holds the lock.
func (l *limitListener) crowded() bool { return l.establishedCount > l.maxConns/keepAliveDivisor }

// requestBegun records that a request has begun to arrive.
func (l *limitListener) requestBegun(c *clientConn) {
	l.lock.Lock()
	defer l.lock.Unlock()
	c.requestStarted, c.responded = true, false
}

// requestServed records that a request was answered, and that the connection waits for the next one.
func (l *limitListener) requestServed(c *clientConn) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.open[c] && !c.servedBefore && !c.requestComplete {
		l.establishedCount++ // it was refused before it was read completely
	}
	l.activityCount++
	c.responded, c.servedBefore, c.requestComplete, c.lastActivity = true, true, false, l.activityCount
}

// ended records that a connection is closed.
func (l *limitListener) ended(c *clientConn) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.remove(c)
	if c.evicted {
		l.evictingCount--
	}
}
