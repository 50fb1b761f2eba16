package intake

import (
	"errors"
	"syscall"

	"orchiddrift/permit"
	"orchiddrift/syserr"
)

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

// clientLeft reports whether the client has ended its side of the connection or reset it, also where bytes that it wrote before were not
// read yet. It is false if that cannot be told.
func (c *clientConn) clientLeft() bool {
	if c.rawConn == nil {
		return false
	}
	left := false
	err := c.rawConn.Control(func(fd uintptr) {
		ended, err := c.calls.PeerEnded(int(fd))
		left = err == nil && ended
	})
	return err == nil && left
}
