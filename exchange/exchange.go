// Package exchange owns connections on which this process sends HTTP/1.1 requests.
//
// HTTP/1.1 has no name for an answer: it belongs to a request by its place on the connection alone. Bytes that come out of
// turn, such as a second copy of an answer, would be taken for the answer to a later request. A Conn therefore carries a single
// request, and sends it only while the other side has written nothing.
package exchange

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// State is the state of a connection.
type State int

// The states of a connection.
const (
	Unused    State = iota // no request was begun
	Writing                // the request is being written
	Awaiting               // the request was written, and its answer was not read completely
	Answered               // the answer was read completely
	OutOfStep              // bytes came that belong to no request
)

// Peer is the kind of process at the other side of a connection.
type Peer string

// The kinds of peers.
const (
	Endpoint Peer = "endpoint"
	Agent    Peer = "agent"
	Client   Peer = "client"
)

// Moment is the moment at which unsolicited bytes were noticed.
type Moment string

// The moments at which unsolicited bytes are noticed.
const (
	WhileUnused Moment = "idle"             // no request was begun
	BeforeWrite Moment = "before the write" // the last part of the request was about to be written
	AfterAnswer Moment = "after the answer" // they followed an answer immediately
	RequestCopy Moment = "request repeated" // a client's request came once more
)

// CloseReason is the reason for which a connection was closed.
type CloseReason string

// The reasons for closing a connection.
const (
	ClosedAnswered    CloseReason = "answered"
	ClosedUnsolicited CloseReason = "unsolicited bytes"
	ClosedNotSent     CloseReason = "request not written"
	ClosedUnanswered  CloseReason = "no whole answer"
	ClosedGivenUp     CloseReason = "call given up"
	ClosedUnused      CloseReason = "not used any more"
)

// ErrUsed reports that a connection has carried a request.
var ErrUsed = errors.New("the connection has carried a request")

// ErrUnsolicited reports that bytes came before the request was written completely, so that they cannot be its answer. The
// other side has not begun to carry out the request.
var ErrUnsolicited = errors.New("unsolicited bytes before the request was written")

const (
	// maxPrefix is the maximum number of bytes that are kept of an answer or of unsolicited bytes, for the log.
	maxPrefix = 256
	// lastPart is the maximum number of bytes of a request that are written after the last look for unsolicited bytes.
	lastPart = 4 << 10
)

// lastID is the ID of the connection that was opened last.
var lastID atomic.Uint64

// Conn is a connection on which one request is sent. CloseFor may be called concurrently with the other methods; these must not be
// called concurrently with each other.
type Conn struct {
	net.Conn
	id       uint64
	peer     Peer
	recorder *Recorder
	state    State
	request  string    // label of the request; empty before Begin
	changed  time.Time // when the connection was opened, or the answer was read
	prefix   [maxPrefix]byte
	recorded int // bytes of prefix that are used
	closed   atomic.Bool
}

// New returns the connection that owns conn. recorder may be nil.
func New(conn net.Conn, peer Peer, recorder *Recorder) *Conn {
	c := &Conn{Conn: conn, id: lastID.Add(1), peer: peer, recorder: recorder, changed: time.Now()}
	recorder.opened(c)
	return c
}

// Own returns conn itself if it is a Conn, or else a Conn that owns it and is not recorded.
func Own(conn net.Conn, peer Peer) *Conn {
	if owned, ok := conn.(*Conn); ok {
		return owned
	}
	return New(conn, peer, nil)
}

// ID returns the number of the connection, which is unique in the process.
func (c *Conn) ID() uint64 { return c.id }

// Begin starts the request, which the label names in the log. It returns ErrUsed if there was one before: something that
// belongs to that one may still come.
func (c *Conn) Begin(label string) error {
	if c.state != Unused {
		return ErrUsed
	}
	c.state, c.request = Writing, label
	return nil
}

// Write writes bytes of the request. Before the last lastPart of them it looks whether the other side has written something or
// has closed the connection: then it returns ErrUnsolicited or the error of the connection, and the request stays incomplete.
func (c *Conn) Write(b []byte) (int, error) {
	if c.state != Writing {
		return 0, ErrUsed
	}
	first := max(0, len(b)-lastPart)
	written := 0
	if first > 0 {
		var err error
		if written, err = c.Conn.Write(b[:first]); err != nil {
			return written, err
		}
	}
	if err := c.observe(BeforeWrite); err != nil {
		return written, err
	}
	n, err := c.Conn.Write(b[first:])
	return written + n, err
}

// Written records that the request was written completely.
func (c *Conn) Written() { c.state = Awaiting }

// Read reads bytes of an answer, and keeps the first ones for the log.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recorded += copy(c.prefix[c.recorded:], b[:n])
	return n, err
}

// Prefix returns a copy of the first bytes that were read.
func (c *Conn) Prefix() []byte { return append([]byte(nil), c.prefix[:c.recorded]...) }

// ReadAnswer records that the answer was read completely. extra holds bytes that were read after its end.
func (c *Conn) ReadAnswer(extra []byte) {
	c.state, c.changed = Answered, time.Now()
	if len(extra) > 0 {
		c.unsolicited(AfterAnswer, extra)
	}
}

// Usable reports whether the connection can carry the request: it was not used, and the other side has neither closed it nor
// written to it.
func (c *Conn) Usable() bool { return c.state == Unused && c.observe(WhileUnused) == nil }

// observe looks for bytes that the other side has written, without reading them. It returns ErrUnsolicited if there are some,
// and another error if the connection has ended.
func (c *Conn) observe(moment Moment) error {
	bytes, err := c.peek()
	if len(bytes) > 0 {
		c.unsolicited(moment, bytes)
		return ErrUnsolicited
	}
	return err
}

// peek returns the first bytes that wait to be read, without reading them, or an error if the connection has ended or cannot
// be looked at. It returns nothing for a connection that is not a socket. It is called before anything of the answer is read, while
// prefix is free.
func (c *Conn) peek() ([]byte, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := socket.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), c.prefix[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return nil, err
	case errors.Is(peekErr, syscall.EAGAIN):
		return nil, nil
	case peekErr != nil:
		return nil, peekErr
	case n == 0:
		return nil, io.EOF
	}
	return c.prefix[:n], nil
}

// unsolicited records bytes that belong to no request.
func (c *Conn) unsolicited(moment Moment, bytes []byte) {
	c.state = OutOfStep
	if c.recorder == nil {
		return
	}
	c.recorder.Unsolicited(Unsolicited{Peer: c.peer, Conn: c.id, Addr: c.RemoteAddr().String(), Moment: moment, Request: c.request,
		After: time.Since(c.changed), Bytes: bytes})
}

// CloseFor closes the connection and records the reason. Only the first call has an effect.
func (c *Conn) CloseFor(reason CloseReason) error {
	if c.closed.Swap(true) {
		return nil
	}
	c.recorder.closed(c, reason)
	return c.Conn.Close()
}

// Closed reports whether CloseFor was called.
func (c *Conn) Closed() bool { return c.closed.Load() }

// CloseWrite shuts down the write side of the connection, if it can be half closed.
func (c *Conn) CloseWrite() error {
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return conn.CloseWrite()
}

// LimitWriteRetry ends the attempts to write again at a time, if the connection makes any.
func (c *Conn) LimitWriteRetry(until time.Time) {
	if conn, ok := c.Conn.(interface{ LimitWriteRetry(time.Time) }); ok {
		conn.LimitWriteRetry(until)
	}
}
