package sock

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"orchiddrift/syserr"
)

// RetryingConn is a connection whose reads and writes are tried again, with pauses, after an error that does not say that the
// connection is gone. It does so until the deadline, or for maxRetry if there is none.
type RetryingConn struct {
	net.Conn
	errors                      *syserr.Recorder
	readCall, writeCall         syserr.Call
	readDeadline, writeDeadline atomic.Pointer[time.Time] // nil or zero: none
	writeRetryUntil             atomic.Pointer[time.Time] // nil or zero: writes are tried again until writeDeadline
}

// maxRetry limits the attempts on a connection without a deadline.
const maxRetry = 2 * time.Second

// NewRetryingConn returns a connection that tries reads and writes of conn again, and records each failure under the name of its
// call.
func NewRetryingConn(conn net.Conn, errs *syserr.Recorder, readCall, writeCall syserr.Call) *RetryingConn {
	return &RetryingConn{Conn: conn, errors: errs, readCall: readCall, writeCall: writeCall}
}

// Read reads from the connection.
func (c *RetryingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 || !syserr.ConnMayPass(err) {
		return n, err
	}
	for pause := newPause(&c.readDeadline); n <= 0 && syserr.ConnMayPass(err); n, err = c.Conn.Read(b) {
		c.errors.Failed(c.readCall, c.RemoteAddr().String(), err)
		if !pause.Wait() {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err
}

// Write writes all of b, at most MaxWrite bytes at a time. After an error that may pass it goes on with the rest. If that fails until
// the deadline, it returns the error, so that the caller can tell a local failure from a peer that takes nothing.
func (c *RetryingConn) Write(b []byte) (int, error) {
	written := 0
	for {
		if !c.awaitRoom() {
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.writePart(b[written:min(written+MaxWrite, len(b))])
		if written += n; err != nil || written == len(b) {
			return written, err
		}
	}
}

// awaitRoom waits until the other side has taken most of what was written, and reports whether that came before the deadline.
func (c *RetryingConn) awaitRoom() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	return AwaitRoom(raw, func() bool {
		deadline := c.writeDeadline.Load()
		return deadline != nil && !deadline.IsZero() && time.Now().After(*deadline)
	}, func() {})
}

// writePart writes all of b, which the kernel may take as a whole.
func (c *RetryingConn) writePart(b []byte) (int, error) {
	written, err := c.Conn.Write(b)
	if err == nil || !syserr.ConnMayPass(err) {
		return written, err
	}
	for pause := newPause(&c.writeRetryUntil, &c.writeDeadline); err != nil && syserr.ConnMayPass(err); {
		c.errors.Failed(c.writeCall, c.RemoteAddr().String(), err)
		if !pause.Wait() {
			return written, err
		}
		var n int
		failure := err
		n, err = c.Conn.Write(b[written:])
		if written += n; errors.Is(err, os.ErrDeadlineExceeded) {
			return written, failure
		}
	}
	return written, err
}

// Close closes the connection. What the other side does not take of it is dropped after unsentTimeout.
func (c *RetryingConn) Close() error {
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { limitUnsent(int(fd)) })
	}
	return c.Conn.Close()
}

// newPause returns the pauses until the first of the deadlines that is set, or for maxRetry.
func newPause(deadlines ...*atomic.Pointer[time.Time]) *syserr.Backoff {
	for _, deadline := range deadlines {
		if at := deadline.Load(); at != nil && !at.IsZero() {
			return syserr.NewBackoffUntil(*at)
		}
	}
	return syserr.NewBackoff(maxRetry)
}

// LimitWriteRetry ends the attempts to write again at a time, before the deadline.
func (c *RetryingConn) LimitWriteRetry(until time.Time) { c.writeRetryUntil.Store(&until) }

// SetDeadline sets the deadline of reads and writes.
func (c *RetryingConn) SetDeadline(t time.Time) error {
	c.readDeadline.Store(&t)
	c.writeDeadline.Store(&t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of reads.
func (c *RetryingConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.Store(&t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes.
func (c *RetryingConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(&t)
	return c.Conn.SetWriteDeadline(t)
}

// SyscallConn returns the raw connection, if there is one.
func (c *RetryingConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// CloseWrite shuts down the write side of the connection, if it can be half closed.
func (c *RetryingConn) CloseWrite() error {
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return conn.CloseWrite()
}
