package intake

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

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
	readClosed           bool        // closed for reading by this side
	closed               bool        // Close was called
	evictedDuringRequest bool        // evicted with a request partly or completely read; a complete one is still answered
	reason               closeReason // "" while there is no reason to close the connection
	requestStarted       bool        // bytes of the current request were read
	requestComplete      bool        // the current request was read completely and passed to the handler
	responded            bool        // the current request was answered: the next bytes belong to another one
	servedBefore         bool        // a request on this connection was answered
	lastActivity         int         // limitListener.activityCount at the accept or the last response
	requestID            string      // of the last request that was read completely
	framer               framer
	handledRequests      int           // number of requests passed to the handler
	heardAt              time.Time     // when it was accepted, or bytes were last read or written
	readDelay            time.Duration // how long reads of the current request have failed; only the goroutine that reads uses it
	queuedFor            time.Duration // how long the connection may have waited to be accepted while accepts failed
}

// newClientConn returns the connection of a client that was accepted by a listener.
func newClientConn(listener *limitListener, conn net.Conn) *clientConn {
	c := &clientConn{Conn: conn, listener: listener, calls: sock.HostCalls{}, heardAt: time.Now()}
	if s, ok := conn.(interface{ Calls() sock.Calls }); ok {
		c.calls = s.Calls()
	}
	if s, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = s.SyscallConn()
		c.setUpAttempts()
	}
	return c
}

// Read reads from the connection. It checks readClosed with each attempt to read from the socket, so that nothing is read
// from a connection that is closed for reading.
func (c *clientConn) Read(b []byte) (int, error) {
	c.listener.lock.Lock()
	if c.responded {
		c.requestStarted = false
	}
	c.listener.lock.Unlock()
	n, err := c.awaitBytes(b)
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	switch {
	case n > 0:
		return n, nil
	case c.readClosed:
		return 0, io.EOF
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.setReason(idleTimedOut)
	default:
		c.setReason(closedByClient)
	}
	return 0, err
}

// awaitBytes waits until bytes can be read and reads them.
func (c *clientConn) awaitBytes(b []byte) (n int, err error) {
	if c.rawConn == nil { // not a system socket: the check can only follow the read
		n, err = c.Conn.Read(b)
		return c.acceptBytes(b[:n]), err
	}
	var pause *syserr.Backoff
	var failingSince time.Time
	for extended := false; ; {
		c.reading = attempt{buffer: b}
		waitErr := c.rawConn.Read(c.tryRead)
		n, err = c.reading.n, c.reading.err
		switch {
		case n > 0:
			if pause != nil {
				c.readDelay += time.Since(failingSince)
			}
			return n, nil
		case errors.Is(waitErr, os.ErrDeadlineExceeded) && !extended && c.extendIdleDeadline():
			extended = true
		case waitErr != nil:
			return 0, waitErr
		case err == nil:
			return 0, io.EOF
		default:
			if pause == nil {
				failingSince = time.Now()
			}
			if !syserr.ConnMayPass(err) || !c.pauseAfter(syserr.ClientRead, err, &pause, maxReadRetry) {
				return 0, os.NewSyscallError("read", err)
			}
		}
	}
}

// arrivalDelay returns how long the current request may have waited for this process, in seconds: its connection to be accepted, or
// its bytes to be read, while calls failed. The client has left after clientPatience.
func (c *clientConn) arrivalDelay() float64 {
	delay := c.readDelay
	if isFirstRequest := c.handledRequests <= 1; isFirstRequest {
		delay += c.queuedFor
	}
	return min(delay, clientPatience).Seconds()
}

// maxReadRetry limits the attempts to read after errors that may pass. The read deadlines end before it.
const maxReadRetry = 2 * idleTimeout

// pauseAfter records an error that may pass, waits, and reports whether to try again. It sets pause, which limits the attempts to
// the given time, at the first error.
func (c *clientConn) pauseAfter(call syserr.Call, err error, pause **syserr.Backoff, limit time.Duration) bool {
	if *pause == nil {
		*pause = syserr.NewBackoff(limit)
	}
	c.listener.lock.Lock()
	id := c.requestID
	c.listener.lock.Unlock()
	if id == "" {
		id = c.RemoteAddr().String()
	}
	c.listener.errors.Failed(call, id, err)
	return (*pause).Wait()
}

// extendIdleDeadline allows some more time if the idle time-out has passed over bytes that are still in the socket, because they
// have just arrived or could not be read. It reports whether it did.
func (c *clientConn) extendIdleDeadline() bool {
	c.listener.lock.Lock()
	denial := permit.CloseIdle(c.state(), c.unread)
	c.listener.lock.Unlock()
	if denial != permit.RequestUnread {
		return false
	}
	return c.SetReadDeadline(time.Now().Add(clientPatience)) == nil
}

// clientPatience is how long clients wait for an answer, as specified by the platform.
const clientPatience = 400 * time.Millisecond

// acceptBytes records bytes that were read and returns how many of them may be used. If the connection is closed for reading,
// it returns 0 and reports an invariant violation if there are any.
func (c *clientConn) acceptBytes(b []byte) int {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	if c.readClosed {
		if len(b) > 0 {
			c.listener.invariants.Report(invariant.ReadAfterClose, c.requestID, "%d bytes from %s", len(b), c.RemoteAddr())
		}
		return 0
	}
	c.recordBytes(b)
	return len(b)
}

// attempt is a read or write on the descriptor and its result.
type attempt struct {
	buffer []byte
	n      int
	err    error
}

// setUpAttempts creates the functions that rawConn calls on its descriptor, once for all reads and writes. They report whether the
// call need not wait.
func (c *clientConn) setUpAttempts() {
	c.tryRead = func(fd uintptr) bool {
		c.reading.n, c.reading.err = c.readUnlessClosed(int(fd), c.reading.buffer)
		return !errors.Is(c.reading.err, syscall.EAGAIN)
	}
	c.tryWrite = func(fd uintptr) bool {
		n, err := c.calls.Write(int(fd), c.writing.buffer)
		c.writing.n, c.writing.err = max(0, n), err
		return !errors.Is(err, syscall.EAGAIN)
	}
}

// readUnlessClosed reads the bytes that have arrived, unless the connection is closed for reading.
func (c *clientConn) readUnlessClosed(fd int, b []byte) (int, error) {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	if c.readClosed {
		return 0, nil
	}
	n, err := c.readNonBlocking(fd, b)
	c.recordBytes(b[:n])
	return n, err
}

// recordBytes records bytes of a request that were read. The caller holds the lock.
func (c *clientConn) recordBytes(b []byte) {
	if len(b) > 0 {
		c.requestStarted, c.responded, c.heardAt = true, false, time.Now()
		c.framer.feed(b)
	}
}

// readNonBlocking reads what a non-blocking socket holds. It returns 0 and no error at the end of the stream.
func (c *clientConn) readNonBlocking(fd int, b []byte) (int, error) {
	for {
		n, err := c.calls.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return max(0, n), err
		}
	}
}

// Write writes bytes of a response and records that the current request was answered.
func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.writeBytes(b)
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	switch {
	case err == nil:
		c.responded, c.heardAt = true, time.Now()
	case syserr.ConnMayPass(err):
		c.setReason(responseUnwritten)
	default: // the client is gone, or does not take its response
		c.setReason(closedByClient)
	}
	return n, err
}

// writeBytes writes all of b, waiting while the socket's buffer is full. After an error that may pass it tries again with the
// rest, until the write deadline.
func (c *clientConn) writeBytes(b []byte) (written int, err error) {
	if c.rawConn == nil {
		return c.Conn.Write(b)
	}
	var pause *syserr.Backoff
	var lastErr error // that may pass
	for {
		c.writing = attempt{buffer: b[written:]}
		waitErr := c.rawConn.Write(c.tryWrite)
		written, err = written+c.writing.n, c.writing.err
		switch {
		case waitErr != nil && pause != nil: // the deadline has passed while writes failed
			return written, os.NewSyscallError("write", lastErr)
		case waitErr != nil:
			return written, waitErr
		case err == nil && written == len(b):
			return written, nil
		case err == nil: // the buffer took a part
		case !syserr.ConnMayPass(err) || !c.pauseAfter(syserr.ClientWrite, err, &pause, ioTimeout):
			return written, os.NewSyscallError("write", err)
		default:
			lastErr = err
		}
	}
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
	linger := !(c.evictedDuringRequest && !c.requestComplete) && (l.stopping || l.lingeringCount < max(1, l.maxConns/lingerDivisor))
	if linger {
		l.lingeringCount++
	}
	reason, requestID := c.reason, c.requestID
	l.lock.Unlock()
	l.log.Debug().Stringer("client", c.RemoteAddr()).Str("ntf", requestID).Str("reason", string(reason)).Msg("connection closed")
	if !linger {
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
		RequestComplete: c.requestComplete, Responded: c.responded, Pipelined: c.hasPipelinedRequestsLocked(),
		ClientGone: c.reason == closedByClient, SilentFor: time.Since(c.heardAt)}
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

// interruptRead makes a pending read return, by setting a read deadline in the past.
func (c *clientConn) interruptRead() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// requestReceived records that a request was read completely. ok reports whether the request may be processed, which it may
// not if the connection is closed for reading. closeAfter reports whether the connection is to be closed after the response.
func (c *clientConn) requestReceived(id string) (ok, closeAfter bool) {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	c.requestID = id
	if permit.HandOn(c.state()) != permit.Granted {
		c.listener.invariants.Report(invariant.ClosedUnanswered, id, "request read on a connection closed for reading: %s", c.reason)
		return false, true
	}
	if c.listener.open[c] && !c.servedBefore && !c.requestComplete {
		c.listener.establishedCount++
	}
	c.requestComplete, c.responded = true, false
	c.handledRequests++
	return true, c.evictedDuringRequest || c.listener.establishedCount > c.listener.maxConns/keepAliveDivisor
}

// stopCounting stops counting the requests after one that could not be parsed, since their bounds cannot be determined.
func (c *clientConn) stopCounting() {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	c.framer.failed = true
}

// hasPipelinedRequests reports whether further complete requests were read after the one being handled. They would get no
// response if the connection were closed after the response to this one.
func (c *clientConn) hasPipelinedRequests() bool {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	return c.hasPipelinedRequestsLocked()
}

// hasPipelinedRequestsLocked is hasPipelinedRequests for callers that hold the lock.
func (c *clientConn) hasPipelinedRequestsLocked() bool {
	return !c.framer.failed && c.framer.completedRequests > c.handledRequests
}

// unread looks whether bytes have arrived that were not read yet. Such a connection is not evicted: many connections may be
// accepted before the first of them is read, and the bytes may be a complete request. The drawback is that a client that sends
// faster than the server reads cannot be evicted.
func (c *clientConn) unread() permit.Unread {
	n, err := c.peek()
	switch {
	case n > 0:
		return permit.SomeUnread
	case err == nil || errors.Is(err, syscall.EAGAIN):
		return permit.NoneUnread
	}
	c.listener.errors.Failed(syserr.ClientPeek, c.RemoteAddr().String(), err)
	if syserr.ConnMayPass(err) {
		return permit.UnknownUnread
	}
	return permit.NoneUnread
}

// peek returns 1 if bytes have arrived, else 0 and the error that a read would return. 0 without an error means the end of the
// stream.
func (c *clientConn) peek() (n int, err error) {
	if c.rawConn == nil {
		return 0, syscall.EAGAIN
	}
	controlErr := c.rawConn.Control(func(fd uintptr) {
		n, err = c.calls.Peek(int(fd))
	})
	return max(0, n), errors.Join(err, controlErr)
}

// peerClosed reports whether the client has closed its side or the connection broke. With discard, it first reads and drops
// the bytes that have arrived.
func (c *clientConn) peerClosed(discard bool) bool {
	if discard && c.rawConn != nil {
		return c.discardUntilClosed()
	}
	n, err := c.peek()
	return n == 0 && !syserr.ConnMayPass(err)
}

// discardUntilClosed drops the bytes that have arrived and reports whether the end of the stream follows them.
func (c *clientConn) discardUntilClosed() bool {
	closed := false
	err := c.rawConn.Control(func(fd uintptr) {
		var b [4 << 10]byte
		n, err := 1, error(nil)
		for n > 0 {
			n, err = c.readNonBlocking(int(fd), b[:])
		}
		closed = !syserr.ConnMayPass(err)
	})
	return closed || err != nil
}
