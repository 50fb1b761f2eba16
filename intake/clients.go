package intake

import (
	"net"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"
)

// clients is a listener with so many connections open at most. Where one more comes, another that has no request
// open makes room: of those that never sent a whole request the oldest, else the one idle for longest. So clients
// that connect and say nothing, or half of something, do not shut out those that ask. It does harm where a client
// takes long over its first request while hundreds connect.
type clients struct {
	net.Listener
	most  int
	lock  sync.Mutex
	open  map[*client]bool
	known int // of them those that have sent a whole request
	moves int
}

// crowd is the part of the connections that may stay open after an answer. Where clients come, ask once and stay,
// those beyond it are closed with their answer: what they hold is not there for the next who come.
const crowd = 3

// client is a connection from a client.
type client struct {
	net.Conn
	all    *clients
	served bool // it has had an answer
	busy   bool // a request of it was read whole and is not answered yet
	moved  int  // the later it came or was answered last, the more
}

// Accept waits for the next connection.
func (l *clients) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &client{Conn: conn, all: l}
		if l.add(c) {
			return c, nil
		}
		_ = conn.Close() // all others have a request open
	}
}

func (l *clients) add(c *client) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if len(l.open) >= l.most {
		var out *client
		for x := range l.open {
			if !x.busy && (out == nil || !x.served && out.served || x.served == out.served && x.moved < out.moved) && !x.unread() {
				out = x
			}
		}
		if out == nil {
			return false
		}
		l.drop(out)
		_ = out.Conn.Close()
	}
	l.moves++
	c.moved = l.moves
	l.open[c] = true
	return true
}

func (l *clients) drop(c *client) {
	if l.open[c] && (c.served || c.busy) {
		l.known--
	}
	delete(l.open, c)
}

// asked notes that a request was read whole, and tells whether the connection is to be closed with its answer.
func (c *client) asked() bool {
	c.all.lock.Lock()
	defer c.all.lock.Unlock()
	if c.all.open[c] && !c.served && !c.busy {
		c.all.known++
	}
	c.busy = true
	return c.all.known > c.all.most/crowd
}

// unread tells that bytes of the client have come that nobody has read yet. Many connections may be accepted before the
// first of them is read, and a request that has come whole would end without an answer. It does harm only while a
// client that sends without end is read more slowly than it sends.
func (c *client) unread() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	_ = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// state notes that a connection's request was answered, or that it is closed.
func state(conn net.Conn, s fasthttp.ConnState) {
	c := conn.(*client)
	c.all.lock.Lock()
	defer c.all.lock.Unlock()
	switch s {
	case fasthttp.StateIdle:
		c.all.moves++
		c.busy, c.served, c.moved = false, true, c.all.moves
	case fasthttp.StateClosed:
		c.all.drop(c)
	}
}
