package intake

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"orchiddrift/invariant"
)

// closeReason is why a client's connection was closed.
type closeReason string

// The reasons.
const (
	closedByClient    closeReason = "client left"
	idleTimedOut      closeReason = "idle"            // nothing came in the time that a resting connection has
	afterLastResponse closeReason = "last answer"     // the answer said so
	badRequest        closeReason = "unreadable"      // what came was no request, or came too slowly
	evictedForRoom    closeReason = "made room"       // for another connection
	serverStopping    closeReason = "planned stop"    //
	noneEvictable     closeReason = "all others busy" // it was never taken
)

// clientConn is a connection from a client. Bytes are taken from it, and it is shut, under the lock of all: whichever comes
// first. A connection of which bytes of a request were taken is not shut before that has its answer, or has failed to come
// whole; of one that is shut nothing is taken.
type clientConn struct {
	net.Conn
	rawConn              syscall.RawConn
	listener             *limitListener
	readClosed           bool // by us: nothing is taken any more
	closed               bool // by the server
	evictedDuringRequest bool // shut while bytes of a request were taken: if those turn out to be all of it, it is answered
	reason               closeReason
	requestStarted       bool   // bytes of a request were taken
	requestComplete      bool   // it was read whole, and handed in
	responded            bool   // it has its answer: the next bytes are another's
	servedBefore         bool   // the connection has had an answer
	lastActivity         int    // the later it came or was answered last, the more
	requestID            string // of the request that was read whole last
	framer               framer
	handledRequests      int // requests that the server has handed in
}

func newClientConn(listener *limitListener, conn net.Conn) *clientConn {
	c := &clientConn{Conn: conn, listener: listener}
	if s, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = s.SyscallConn()
	}
	return c
}

// Read takes bytes that the client sent. Whether the connection still stands is looked at with each look at the socket,
// so that none are taken from one that is shut.
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

// awaitBytes waits for bytes and takes them.
func (c *clientConn) awaitBytes(b []byte) (n int, err error) {
	if c.rawConn == nil { // no socket of the system's: what was taken is known only behind the read
		n, err = c.Conn.Read(b)
		return c.acceptBytes(b[:n]), err
	}
	waitErr := c.rawConn.Read(func(fd uintptr) bool {
		n, err = c.readUnlessClosed(int(fd), b)
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case n > 0:
		return n, nil
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	}
	return 0, io.EOF
}

// acceptBytes notes bytes that were taken, and gives how many count: none on a connection that is shut.
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

// readUnlessClosed takes bytes that have come, unless the connection is shut.
func (c *clientConn) readUnlessClosed(fd int, b []byte) (int, error) {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	if c.readClosed {
		return 0, nil
	}
	n, err := readNonBlocking(fd, b)
	c.recordBytes(b[:n])
	return n, err
}

// recordBytes notes bytes that were taken.
func (c *clientConn) recordBytes(b []byte) {
	if len(b) > 0 {
		c.requestStarted, c.responded = true, false
		c.framer.feed(b)
	}
}

// readNonBlocking reads what a socket that does not block has; 0 and no error is the other side's end.
func readNonBlocking(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return max(0, n), err
		}
	}
}

// Write writes an answer.
func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.lock.Lock()
	if c.responded = true; err != nil {
		c.setReason(closedByClient)
	}
	c.listener.lock.Unlock()
	return n, err
}

// SetReadDeadline bounds the reads until the connection is shut; from then on nothing is waited for.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	if c.readClosed {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close is the server's: it has no request of the connection any more. It ends our side, and the rest is linger's.
func (c *clientConn) Close() error {
	l := c.listener
	l.lock.Lock()
	if c.closed {
		l.lock.Unlock()
		return nil
	}
	c.closed = true
	if c.requestComplete && c.reason != closedByClient && (!c.responded || c.hasPipelinedRequestsLocked()) {
		l.invariants.Report(invariant.ClosedUnanswered, c.requestID, "%s", c.RemoteAddr())
	}
	discard := c.requestStarted && !c.requestComplete && !c.readClosed
	if discard {
		c.setReason(badRequest)
	}
	c.markReadClosed(afterLastResponse)
	linger := !(c.evictedDuringRequest && !c.requestComplete) && (l.stopping || l.lingering < max(1, l.maxConns/lingerDivisor))
	if linger {
		l.lingering++
	}
	reason, requestID := c.reason, c.requestID
	l.lock.Unlock()
	l.log.Debug().Stringer("client", c.RemoteAddr()).Str("ntf", requestID).Str("reason", string(reason)).Msg("connection closed")
	if !linger {
		return c.Conn.Close()
	}
	c.closeWrite()
	go l.linger(c, discard)
	return nil
}

// markReadClosed notes that the connection is shut, and why if that is not known yet.
func (c *clientConn) markReadClosed(reason closeReason) {
	c.readClosed = true
	c.setReason(reason)
}

func (c *clientConn) setReason(reason closeReason) {
	if c.reason == "" {
		c.reason = reason
	}
}

// evictable tells that the connection may be closed to make room: no request was read whole on it.
func (c *clientConn) evictable() bool {
	return !c.readClosed && (!c.requestStarted || !c.requestComplete && !c.responded)
}

// closeWrite ends our side alone.
func (c *clientConn) closeWrite() {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
}

// interruptRead ends a read that waits.
func (c *clientConn) interruptRead() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// requestReceived notes that a request was read whole. It tells whether the request may be taken up, which it may not once the
// connection is shut, and whether the connection is to be closed with its answer.
func (c *clientConn) requestReceived(id string) (ok, closeAfter bool) {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	c.requestID = id
	if c.readClosed && !c.evictedDuringRequest {
		c.listener.invariants.Report(invariant.ClosedUnanswered, id, "read whole on a connection that was shut: %s", c.reason)
		return false, true
	}
	if c.listener.open[c] && !c.servedBefore && !c.requestComplete {
		c.listener.established++
	}
	c.requestComplete, c.responded = true, false
	c.handledRequests++
	return true, c.evictedDuringRequest || c.listener.established > c.listener.maxConns/keepAliveDivisor
}

// stopCounting notes that a request could not be read: what stands behind it is nothing that anybody can tell.
func (c *clientConn) stopCounting() {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	c.framer.failed = true
}

// hasPipelinedRequests tells that further requests were read whole behind the one handed in last: closed with its answer, the connection
// would leave them without any.
func (c *clientConn) hasPipelinedRequests() bool {
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	return c.hasPipelinedRequestsLocked()
}

func (c *clientConn) hasPipelinedRequestsLocked() bool {
	return !c.framer.failed && c.framer.completed > c.handledRequests
}

// hasUnreadBytes tells that bytes of the client have come that nobody has read yet. Many connections may be accepted before the
// first of them is read, and a request that has come whole would end without an answer. It does harm only while a
// client that sends without end is read more slowly than it sends.
func (c *clientConn) hasUnreadBytes() bool {
	n, _ := c.peek()
	return n > 0
}

// peek looks whether bytes have come: how many of the first, or what reading would say.
func (c *clientConn) peek() (n int, err error) {
	if c.rawConn == nil {
		return 0, syscall.EAGAIN
	}
	controlErr := c.rawConn.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return max(0, n), errors.Join(err, controlErr)
}

// peerClosed tells whether the client has ended its side, or the connection broke. With drain, what came before that is read
// and dropped.
func (c *clientConn) peerClosed(discard bool) bool {
	if discard && c.rawConn != nil {
		return c.discardUntilClosed()
	}
	n, err := c.peek()
	return n == 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// discardUntilClosed drops what has come and tells whether the end came behind it.
func (c *clientConn) discardUntilClosed() bool {
	closed := false
	err := c.rawConn.Control(func(fd uintptr) {
		var b [4 << 10]byte
		n, err := 1, error(nil)
		for n > 0 {
			n, err = readNonBlocking(int(fd), b[:])
		}
		closed = !errors.Is(err, syscall.EAGAIN)
	})
	return closed || err != nil
}
