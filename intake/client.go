package intake

import (
	"net"
	"strings"
	"syscall"
	"time"

	"orchiddrift/admission"
	"orchiddrift/invariant"
	"orchiddrift/permit"
	"orchiddrift/sock"
	"orchiddrift/syserr"
)

// closeReason is the reason for closing a client's connection, as written to the log.
type closeReason string

// Reasons for closing a connection.
const (
	closedByClient    closeReason = "client left"
	idleTimedOut      closeReason = "idle"               // idleTimeout passed without a request
	afterLastResponse closeReason = "last answer"        // the last response announced Connection: close
	badRequest        closeReason = "unreadable"         // the request was malformed or not complete in time
	evictedForRoom    closeReason = "made room"          // closed to admit another connection
	serverStopping    closeReason = "planned stop"       // Server.Close was called
	responseUnwritten closeReason = "answer not written" // writing the response failed until its time was over
	answerNotTaken    closeReason = "answer not taken"   // the client did not read, and the connection made room for another one
	noneEvictable     closeReason = "all others busy"    // not admitted: the limit was reached and no connection could be evicted
)

// clientConn is a connection from a client. Reading from it and closing it for reading both happen under the lock of its
// listener, so that they cannot overlap: once the first bytes of a request are read, the connection stays open until the
// request is answered or turns out to be incomplete, and nothing is read from a connection that is closed for reading. The
// lock guards all fields below listener.
type clientConn struct {
	net.Conn
	rawConn              syscall.RawConn // nil if Conn is not a socket of the operating system
	calls                sock.Calls      // the system calls on rawConn's descriptor
	reading, writing     attempt         // only the goroutine that reads, or writes, uses them
	tryRead, tryWrite    func(fd uintptr) bool
	listener             *limitListener
	readClosed           bool             // closed for reading by this side
	closed               bool             // Close was called
	evicted              bool             // it was closed to make room
	evictedDuringRequest bool             // evicted with a request partly or completely read; a complete one is still answered
	reason               closeReason      // "" while there is no reason to close the connection
	requestStarted       bool             // bytes of the current request were read
	requestComplete      bool             // the current request was read completely and passed to the handler
	responded            bool             // the current request was answered: the next bytes belong to another one
	refused              bool             // the current request was refused, and the rest of it is being dropped
	servedBefore         bool             // a request on this connection was answered
	stuckSince           time.Time        // since when the system has taken nothing more of an answer; zero if it does
	messageAnswer        bool             // the current answer is one to a message
	lastActivity         int              // limitListener.activityCount at the accept or the last response
	requestID            string           // of the last request that was read completely
	pipelined            bool             // further complete requests were read after the current one
	handledRequests      int              // number of requests that were read completely
	heardAt              time.Time        // when it was accepted, or bytes were last read or written
	emptyAt              time.Time        // when the socket was last seen empty; only the goroutine that reads uses it, as arrivedAfter
	arrivedAfter         time.Time        // the bytes that were read last arrived after that; zero if that is not known
	readDelay            time.Duration    // how long reads of the current request have failed; only the goroutine that reads uses it
	largeBuffer          bool             // it has a large receive buffer, which is reserved; not used concurrently
	answered             answeredRequests // only the goroutine that serves the connection uses it, and the next four fields
	ahead                readAhead
	account              *admission.Client // its share of the room for messages
	unproductive         int               // requests in a row that brought no message: refused ones, and those for pages
	abandoned            int               // requests that were read after the client had left
	untoldSince          time.Time         // since when shutting down the write side of an idle connection has failed; zero: it has not
	queuedFor            time.Duration     // how long the connection may have waited to be accepted while accepts failed
}

// newClientConn returns the connection of a client that was accepted by a listener.
func newClientConn(listener *limitListener, conn net.Conn) *clientConn {
	c := &clientConn{Conn: conn, listener: listener, calls: sock.HostCalls{}, heardAt: time.Now(), emptyAt: time.Now(), account: &admission.Client{}}
	if s, ok := conn.(interface{ Calls() sock.Calls }); ok {
		c.calls = s.Calls()
	}
	if s, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = s.SyscallConn()
		c.setUpAttempts()
	}
	return c
}

// SetReadDeadline sets the read deadline, less the time that the connection waited to be accepted: a client that sends nothing has
// to see the end of its connection in time. It has no effect once the connection is closed for reading, since a read must not wait
// then.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	if c.readClosed {
		return nil
	}
	if isFirstRequest := !c.servedBefore; isFirstRequest && !t.IsZero() {
		t = t.Add(-min(c.queuedFor, ioTimeout-minRequestTime))
	}
	return c.Conn.SetReadDeadline(t)
}

// minRequestTime is the time that a client has for its first request, however long its connection waited to be accepted.
const minRequestTime = 500 * time.Millisecond

// Close is called by the HTTP server when it is done with the connection. It shuts down the write side and lets the connection
// linger. It closes the connection at once if it was evicted with an incomplete request, or if too many connections linger.
func (c *clientConn) Close() error {
	l := c.listener
	l.lock.Lock()
	if c.closed {
		l.lock.Unlock()
		return nil
	}
	c.closed = true
	if permit.End(c.state()) != permit.Granted {
		l.invariants.Report(invariant.ClosedUnanswered, c.requestID, "%s", c.RemoteAddr())
	}
	discard := c.requestStarted && !c.requestComplete && !c.readClosed
	if discard {
		c.setReason(badRequest)
	}
	c.markReadClosed(afterLastResponse)
	linger := !(c.evictedDuringRequest && !c.requestComplete) && l.mayLinger()
	reason, requestID := c.reason, c.requestID
	l.lock.Unlock()
	l.log.Debug().Stringer("client", c.RemoteAddr()).Str("ntf", requestID).Str("reason", string(reason)).Msg("connection closed")
	if !linger {
		defer c.releaseReceiveBuffer()
		return c.Conn.Close()
	}
	shutdownAgain := c.closeWrite()
	go l.linger(c, discard, shutdownAgain)
	return nil
}

// markReadClosed marks the connection as closed for reading, and sets the reason unless there is one. The caller holds the
// lock.
func (c *clientConn) markReadClosed(reason closeReason) {
	c.readClosed = true
	c.setReason(reason)
}

// setReason sets the reason for closing the connection unless there is one. The caller holds the lock.
func (c *clientConn) setReason(reason closeReason) {
	if c.reason == "" {
		c.reason = reason
	}
}

// state returns what decides whether the connection may be closed. The caller holds the lock.
func (c *clientConn) state() permit.ClientConn {
	return permit.ClientConn{ReadClosed: c.readClosed, EvictedMidway: c.evictedDuringRequest, RequestStarted: c.requestStarted,
		RequestComplete: c.requestComplete, Responded: c.responded, Refused: c.refused, Pipelined: c.pipelined,
		ClientGone: c.reason == closedByClient || c.reason == answerNotTaken, SilentFor: time.Since(c.heardAt),
		AnswerStuckFor: c.stuckFor(), MessageAnswer: c.messageAnswer, Used: c.servedBefore}
}

// stuckFor returns for how long the system has taken nothing more of an answer. The caller holds the lock.
func (c *clientConn) stuckFor() time.Duration {
	if c.stuckSince.IsZero() {
		return 0
	}
	return max(1, time.Since(c.stuckSince))
}

// setStuck records whether the system takes nothing more of an answer.
func (c *clientConn) setStuck(stuck bool) {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	switch {
	case !stuck:
		c.stuckSince = time.Time{}
	case c.stuckSince.IsZero():
		c.stuckSince = time.Now()
	}
}

// enlargeReceiveBuffer gives the connection a large receive buffer if there is memory for it.
func (c *clientConn) enlargeReceiveBuffer() {
	if c.rawConn == nil || !c.listener.budget.ReserveSpare(admission.ReceiveBuffers, admission.LargeReceiveBytes) {
		return
	}
	c.largeBuffer = true
	_ = c.rawConn.Control(func(fd uintptr) { sock.EnlargeReceiveBuffer(int(fd)) })
}

// releaseReceiveBuffer gives back what is reserved for a large receive buffer, once the connection is closed.
func (c *clientConn) releaseReceiveBuffer() {
	if c.largeBuffer {
		c.largeBuffer = false
		c.listener.budget.Release(admission.ReceiveBuffers, admission.LargeReceiveBytes)
	}
}

// dropUnsent makes the system drop what it holds for a client that does not take it, once the connection is closed.
func (c *clientConn) dropUnsent() {
	if c.rawConn != nil {
		_ = c.rawConn.Control(func(fd uintptr) { sock.ResetOnClose(int(fd)) })
	}
}

// closeWrite shuts down the write side, if the connection supports that. The read side stays open. It reports whether that is to be
// tried again.
func (c *clientConn) closeWrite() (again bool) {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return false
	}
	err := halfCloser.CloseWrite()
	if again = syserr.ConnMayPass(err); again {
		c.listener.errors.Failed(syserr.ClientShutdown, c.RemoteAddr().String(), err)
	}
	return again
}

// maxUntoldEnd is how long a connection stays open for reading because its write side cannot be shut down.
const maxUntoldEnd = 2 * time.Second

// tellEnd shuts down the write side, so that the client sees that it can send nothing more, and reports whether the connection may be
// closed for reading: also if that has failed for maxUntoldEnd. The caller holds the lock.
func (c *clientConn) tellEnd() bool {
	if failing := c.closeWrite(); !failing {
		return true
	}
	if c.untoldSince.IsZero() {
		c.untoldSince = time.Now()
	}
	return time.Since(c.untoldSince) > maxUntoldEnd
}

// interruptRead makes a pending read return, by setting a read deadline in the past.
func (c *clientConn) interruptRead() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// requestReceived records that a request was read completely. ok reports whether the request may be processed, which it may
// not if the connection is closed for reading. closeAfter reports whether the connection is to be closed after the response.
func (c *clientConn) requestReceived(id string) (ok, closeAfter bool) {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	c.requestID = strings.Clone(shortened(id)) // for the log
	if permit.HandOn(c.state()) != permit.Granted {
		c.listener.invariants.Report(invariant.ClosedUnanswered, id, "request read on a connection closed for reading: %s", c.reason)
		return false, true
	}
	if c.listener.open[c] && !c.servedBefore && !c.requestComplete {
		c.listener.establishedCount++
	}
	c.requestComplete, c.responded, c.messageAnswer = true, false, id != ""
	c.handledRequests++
	return true, c.evictedDuringRequest || c.listener.crowded()
}

// refusalDue reports whether a request that is refused before it was read completely may be answered, and whether the connection is to
// be closed then.
func (c *clientConn) refusalDue() (ok, closeAfter bool) {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	return permit.HandOn(c.state()) == permit.Granted, c.evictedDuringRequest || c.listener.crowded()
}

// setRefused records whether the current request was refused and the rest of it is being dropped.
func (c *clientConn) setRefused(refused bool) {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	c.refused = refused
}

// setPipelined records whether further complete requests were read after the one being answered. They would get no response if the
// connection were closed after the response to this one.
func (c *clientConn) setPipelined(pipelined bool) {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	c.pipelined = pipelined
}

const (
	// freeUnproductive is how many requests in a row may bring no message without a pause.
	freeUnproductive = 8
	// unproductivePause is the pause after the next one, and what each further one adds to it, up to maxUnproductivePause.
	unproductivePause    = time.Millisecond
	maxUnproductivePause = 20 * time.Millisecond
)

// pauseIfUnproductive pauses if requests of the connection brought no message again and again: its client would go on at once, and what
// that costs is taken from the others.
func (s *Server) pauseIfUnproductive(c *clientConn) {
	if c.unproductive <= freeUnproductive {
		return
	}
	s.metrics.paused()
	s.paceOut(c, admission.RequestCost)
	time.Sleep(min(time.Duration(c.unproductive-freeUnproductive)*unproductivePause, maxUnproductivePause))
}

// paceStep is the longest time for which a connection that waits does not see that it has to make room.
const paceStep = 5 * time.Millisecond

// paceOut waits after work for a request of a connection that brings no message, as far as all such work together exceeds its pace, and
// not once the connection has to make room.
func (s *Server) paceOut(c *clientConn, bytes int) {
	wait := time.Duration(s.pace.Delay(s.clock(), bytes) * float64(time.Second))
	for ; wait > 0 && !c.isEvicted(); wait -= paceStep {
		time.Sleep(min(wait, paceStep))
	}
}

// isEvicted reports whether the connection was closed to make room.
func (c *clientConn) isEvicted() bool {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	return c.evicted
}
