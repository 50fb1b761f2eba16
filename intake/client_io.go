package intake

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"time"

	"orchiddrift/gateway"
	"orchiddrift/invariant"
	"orchiddrift/permit"
	"orchiddrift/sock"
	"orchiddrift/syserr"
)

// readIntoNewBuffer reads into a buffer that the connection gets once bytes have arrived: a connection that waits has none.
func (c *clientConn) readIntoNewBuffer() (int, error) {
	if c.rawConn == nil {
		c.ahead.buffer = headBuffers.Get().(*headBuffer)
		return c.Read(c.ahead.buffer[:])
	}
	return c.Read(nil)
}

// Read reads from the connection, into a new buffer if b is nil. It checks readClosed with each attempt to read from the socket, so
// that nothing is read from a connection that is closed for reading.
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
			if !c.reading.waited {
				runtime.Gosched() // a client that sends as fast as it is read would keep the processor
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

// minBacklogTime is the time up to which a request counts as read when it came.
const minBacklogTime = 5 * time.Millisecond

// arrivalDelay returns how long the current request may have waited for this process, in seconds: its connection to be accepted, its
// bytes to be read while calls failed, or requests before it on the connection to be answered. The client has left after clientPatience.
func (c *clientConn) arrivalDelay() float64 {
	delay := c.readDelay
	if waited := time.Since(c.arrivedAfter); !c.arrivedAfter.IsZero() && waited > minBacklogTime {
		delay += waited
	}
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

// clientPatience is gateway.ClientTimeout.
const clientPatience time.Duration = gateway.ClientTimeout * 1e9

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
	waited bool // there was nothing to read at first, or no room to write
}

// setUpAttempts creates the functions that rawConn calls on its descriptor, once for all reads and writes. They report whether the
// call need not wait.
func (c *clientConn) setUpAttempts() {
	c.tryRead = func(fd uintptr) bool {
		buffer := c.reading.buffer
		if buffer == nil {
			c.ahead.buffer = headBuffers.Get().(*headBuffer)
			buffer = c.ahead.buffer[:]
		}
		c.reading.n, c.reading.err = c.readUnlessClosed(int(fd), buffer)
		if c.reading.buffer == nil && c.reading.n == 0 {
			c.ahead.release()
		}
		c.noteBacklog(len(buffer))
		return !errors.Is(c.reading.err, syscall.EAGAIN)
	}
	c.tryWrite = func(fd uintptr) bool {
		n, err := c.calls.Write(int(fd), c.writing.buffer)
		c.writing.n, c.writing.err = max(0, n), err
		mustWait := errors.Is(err, syscall.EAGAIN)
		if mustWait != c.writing.waited {
			c.writing.waited = mustWait
			c.setStuck(mustWait)
		}
		return !mustWait
	}
}

// noteBacklog records, after a read into a buffer of the given size, since when the bytes that were read may have waited in the socket,
// and whether it is empty now. Bytes that were waited for have just come.
func (c *clientConn) noteBacklog(size int) {
	now := time.Now()
	if errors.Is(c.reading.err, syscall.EAGAIN) {
		c.reading.waited = true
		return
	}
	if c.arrivedAfter = c.emptyAt; c.reading.waited {
		c.arrivedAfter = now
	}
	if c.reading.n < size {
		c.emptyAt = now
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

// Write writes a response and records that the current request was answered.
func (c *clientConn) Write(b []byte) (int, error) {
	return c.writePart(b, true)
}

// writePart writes a part of a response, and records that the current request was answered with the last one.
func (c *clientConn) writePart(b []byte, last bool) (int, error) {
	n, err := c.writeBytes(b)
	c.listener.lock.Lock()
	defer c.listener.lock.Unlock()
	switch {
	case c.reason == answerNotTaken: // it was let go meanwhile
		return n, net.ErrClosed
	case err == nil:
		c.responded, c.heardAt = last, time.Now()
	case syserr.ConnMayPass(err):
		c.setReason(responseUnwritten)
	default: // the client is gone, or does not take its response
		c.setReason(closedByClient)
		c.dropUnsent()
	}
	return n, err
}

// awaitRoom waits until the client has taken most of what was written, and reports whether that came in time.
func (c *clientConn) awaitRoom() bool {
	until := time.Now().Add(ioTimeout)
	waited := false
	ok := sock.AwaitRoom(c.rawConn, func() bool { return c.isEvicted() || time.Now().After(until) }, func() {
		waited = true
		c.setStuck(true)
	})
	if waited && ok {
		c.setStuck(false)
	}
	return ok
}

// writeBytes writes all of b, at most sock.MaxWrite bytes at a time, waiting while the socket's buffer is full. After an error that may
// pass it tries again with the rest, until the write deadline.
func (c *clientConn) writeBytes(b []byte) (written int, err error) {
	if c.rawConn == nil {
		return c.Conn.Write(b)
	}
	var pause *syserr.Backoff
	var lastErr error // that may pass
	for {
		if !c.awaitRoom() {
			return written, os.ErrDeadlineExceeded
		}
		c.writing = attempt{buffer: b[written:min(written+sock.MaxWrite, len(b))]}
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
