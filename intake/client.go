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

// reason is why a client's connection was closed.
type reason string

// The reasons.
const (
	clientLeft reason = "client left"
	idleLong   reason = "idle"            // nothing came in the time that a resting connection has
	lastAnswer reason = "last answer"     // the answer said so
	unreadable reason = "unreadable"      // what came was no request, or came too slowly
	madeRoom   reason = "made room"       // for another connection
	stopped    reason = "planned stop"    //
	allBusy    reason = "all others busy" // it was never taken
)

// client is a connection from a client. Bytes are taken from it, and it is shut, under the lock of all: whichever comes
// first. A connection of which bytes of a request were taken is not shut before that has its answer, or has failed to come
// whole; of one that is shut nothing is taken.
type client struct {
	net.Conn
	raw      syscall.RawConn
	all      *clients
	shut     bool // by us: nothing is taken any more
	closed   bool // by the server
	evicted  bool // shut while bytes of a request were taken: if those turn out to be all of it, it is answered
	why      reason
	begun    bool   // bytes of a request were taken
	whole    bool   // it was read whole, and handed in
	answered bool   // it has its answer: the next bytes are another's
	served   bool   // the connection has had an answer
	moved    int    // the later it came or was answered last, the more
	id       string // of the request that was read whole last
	framer   framer
	handed   int // requests that the server has handed in
}

func newClient(all *clients, conn net.Conn) *client {
	c := &client{Conn: conn, all: all}
	if s, ok := conn.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	return c
}

// Read takes bytes that the client sent. Whether the connection still stands is looked at with each look at the socket,
// so that none are taken from one that is shut.
func (c *client) Read(b []byte) (int, error) {
	c.all.lock.Lock()
	if c.answered {
		c.begun = false
	}
	c.all.lock.Unlock()
	n, err := c.await(b)
	c.all.lock.Lock()
	defer c.all.lock.Unlock()
	switch {
	case n > 0:
		return n, nil
	case c.shut:
		return 0, io.EOF
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.because(idleLong)
	default:
		c.because(clientLeft)
	}
	return 0, err
}

// await waits for bytes and takes them.
func (c *client) await(b []byte) (n int, err error) {
	if c.raw == nil { // no socket of the system's: what was taken is known only behind the read
		n, err = c.Conn.Read(b)
		return c.took(b[:n]), err
	}
	waited := c.raw.Read(func(fd uintptr) bool {
		n, err = c.take(int(fd), b)
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case n > 0:
		return n, nil
	case waited != nil:
		return 0, waited
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	}
	return 0, io.EOF
}

// took notes bytes that were taken, and gives how many count: none on a connection that is shut.
func (c *client) took(b []byte) int {
	c.all.lock.Lock()
	defer c.all.lock.Unlock()
	if c.shut {
		if len(b) > 0 {
			c.all.invariants.Report(invariant.ReadAfterClose, c.id, "%d bytes from %s", len(b), c.RemoteAddr())
		}
		return 0
	}
	c.note(b)
	return len(b)
}

// take takes bytes that have come, unless the connection is shut.
func (c *client) take(fd int, b []byte) (int, error) {
	c.all.lock.Lock()
	defer c.all.lock.Unlock()
	if c.shut {
		return 0, nil
	}
	n, err := readNow(fd, b)
	c.note(b[:n])
	return n, err
}

// note notes bytes that were taken.
func (c *client) note(b []byte) {
	if len(b) > 0 {
		c.begun, c.answered = true, false
		c.framer.feed(b)
	}
}

// readNow reads what a socket that does not block has; 0 and no error is the other side's end.
func readNow(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return max(0, n), err
		}
	}
}

// Write writes an answer.
func (c *client) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.all.lock.Lock()
	if c.answered = true; err != nil {
		c.because(clientLeft)
	}
	c.all.lock.Unlock()
	return n, err
}

// SetReadDeadline bounds the reads until the connection is shut; from then on nothing is waited for.
func (c *client) SetReadDeadline(t time.Time) error {
	c.all.lock.Lock()
	defer c.all.lock.Unlock()
	if c.shut {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close is the server's: it has no request of the connection any more. It ends our side, and the rest is linger's.
func (c *client) Close() error {
	l := c.all
	l.lock.Lock()
	if c.closed {
		l.lock.Unlock()
		return nil
	}
	c.closed = true
	if c.whole && c.why != clientLeft && (!c.answered || c.behind()) {
		l.invariants.Report(invariant.ClosedUnanswered, c.id, "%s", c.RemoteAddr())
	}
	drain := c.begun && !c.whole && !c.shut
	if drain {
		c.because(unreadable)
	}
	c.end(lastAnswer)
	linger := !(c.evicted && !c.whole) && (l.stopping || l.lingering < max(1, l.most/lingerers))
	if linger {
		l.lingering++
	}
	why, id := c.why, c.id
	l.lock.Unlock()
	l.log.Debug().Stringer("client", c.RemoteAddr()).Str("ntf", id).Str("reason", string(why)).Msg("connection closed")
	if !linger {
		return c.Conn.Close()
	}
	c.closeWrite()
	go l.linger(c, drain)
	return nil
}

// end notes that the connection is shut, and why if that is not known yet.
func (c *client) end(why reason) {
	c.shut = true
	c.because(why)
}

func (c *client) because(why reason) {
	if c.why == "" {
		c.why = why
	}
}

// dispensable tells that the connection may be closed to make room: no request was read whole on it.
func (c *client) dispensable() bool { return !c.shut && (!c.begun || !c.whole && !c.answered) }

// closeWrite ends our side alone.
func (c *client) closeWrite() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// wake ends a read that waits.
func (c *client) wake() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// asked notes that a request was read whole. It tells whether the request may be taken up, which it may not once the
// connection is shut, and whether the connection is to be closed with its answer.
func (c *client) asked(id string) (ok, last bool) {
	c.all.lock.Lock()
	defer c.all.lock.Unlock()
	c.id = id
	if c.shut && !c.evicted {
		c.all.invariants.Report(invariant.ClosedUnanswered, id, "read whole on a connection that was shut: %s", c.why)
		return false, true
	}
	if c.all.open[c] && !c.served && !c.whole {
		c.all.known++
	}
	c.whole, c.answered = true, false
	c.handed++
	return true, c.evicted || c.all.known > c.all.most/crowd
}

// spoilt notes that a request could not be read: what stands behind it is nothing that anybody can tell.
func (c *client) spoilt() {
	c.all.lock.Lock()
	defer c.all.lock.Unlock()
	c.framer.lost = true
}

// more tells that further requests were read whole behind the one handed in last: closed with its answer, the connection
// would leave them without any.
func (c *client) more() bool {
	c.all.lock.Lock()
	defer c.all.lock.Unlock()
	return c.behind()
}

func (c *client) behind() bool { return !c.framer.lost && c.framer.whole > c.handed }

// unread tells that bytes of the client have come that nobody has read yet. Many connections may be accepted before the
// first of them is read, and a request that has come whole would end without an answer. It does harm only while a
// client that sends without end is read more slowly than it sends.
func (c *client) unread() bool {
	n, _ := c.peek()
	return n > 0
}

// peek looks whether bytes have come: how many of the first, or what reading would say.
func (c *client) peek() (n int, err error) {
	if c.raw == nil {
		return 0, syscall.EAGAIN
	}
	control := c.raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return max(0, n), errors.Join(err, control)
}

// ended tells whether the client has ended its side, or the connection broke. With drain, what came before that is read
// and dropped.
func (c *client) ended(drain bool) bool {
	if drain && c.raw != nil {
		return c.drained()
	}
	n, err := c.peek()
	return n == 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// drained drops what has come and tells whether the end came behind it.
func (c *client) drained() bool {
	ended := false
	err := c.raw.Control(func(fd uintptr) {
		var b [4 << 10]byte
		n, err := 1, error(nil)
		for n > 0 {
			n, err = readNow(int(fd), b[:])
		}
		ended = !errors.Is(err, syscall.EAGAIN)
	})
	return ended || err != nil
}
