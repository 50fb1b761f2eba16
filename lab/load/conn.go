package load

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"orchiddrift/lab/record"
)

// Errors of an exchange.
var (
	errTimeout  = errors.New("no answer in time")
	errRefused  = errors.New("the connection was refused")
	errNoDial   = errors.New("no open connection, and no new one may be opened")
	errBroken   = errors.New("the connection ended before the answer")
	errNotWhole = errors.New("the request could not be written in full")
)

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	usedAt   time.Time // time of the last answer
	answered bool      // a request on it was answered
}

// endedByPeer reports whether the other side has ended the connection, or has sent what nobody asked for.
func (c *clientConn) endedByPeer() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil || c.reader.Buffered() > 0 {
		return true
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || !quiet
}

// clientPool holds the idle connections of a client process to one address, the one used last at the end. mu guards idle.
type clientPool struct {
	addr string
	mu   sync.Mutex
	idle []*clientConn
}

// take returns an idle connection that the other side has not ended, or nil if there is none.
func (p *clientPool) take() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(c.usedAt) < idleTimeout && !c.endedByPeer() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put returns a connection to the pool, and closes those that have been idle for too long.
func (p *clientPool) put(c *clientConn) {
	c.usedAt, c.answered = time.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && time.Since(p.idle[0].usedAt) > idleTimeout {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
}

// dial opens a connection.
func (p *clientPool) dial(deadline time.Time) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", p.addr, time.Until(deadline))
	switch {
	case err == nil:
		return &clientConn{Conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}, nil
	case isConnRefused(err):
		return nil, errRefused
	case isTimeout(err):
		return nil, errTimeout
	}
	return nil, errBroken
}

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

// exchangeRequest is a request as it is to be written.
type exchangeRequest struct {
	*fasthttp.Request
	betweenHalves func() // if set, called between the halves of the request
}

// writeTo writes the request to a connection.
func (r exchangeRequest) writeTo(c *clientConn) error {
	if r.betweenHalves != nil {
		return c.writeInHalves(r.Request, r.betweenHalves)
	}
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// exchange writes a request and reads its answer. It tells when the last byte of the request was written, a zero time if not all
// of it was.
func (c *clientConn) exchange(req exchangeRequest, resp *fasthttp.Response, deadline time.Time) (writtenAt time.Time, err error) {
	_ = c.SetDeadline(deadline)
	if err = req.writeTo(c); err != nil {
		return time.Time{}, errNotWhole
	}
	writtenAt = time.Now()
	switch err = resp.Read(c.reader); {
	case err == nil:
		return writtenAt, nil
	case isTimeout(err), !time.Now().Before(deadline):
		return writtenAt, errTimeout
	}
	return writtenAt, errBroken
}

// request sends a request on an idle connection, or on a new one if mayDial says so, and reads the answer. If a connection that
// was used before ends without an answer, the request is sent once more, on a new connection: the dispatcher may have closed it
// between two requests. ended is called for each attempt after which the other side ended the connection with no whole answer.
func (p *clientPool) request(req exchangeRequest, resp *fasthttp.Response, deadline time.Time, mayDial func() bool,
	ended func(record.Attempt, time.Time)) error {
	conn := p.take()
	for attempt := 0; ; attempt++ {
		if conn == nil {
			if !mayDial() {
				return errNoDial
			}
			var err error
			if conn, err = p.dial(deadline); err != nil {
				return err
			}
		}
		writtenAt, err := conn.exchange(req, resp, deadline)
		if err == nil {
			if resp.ConnectionClose() {
				_ = conn.Close()
			} else {
				p.put(conn)
			}
			return nil
		}
		if errors.Is(err, errBroken) {
			ended(record.Attempt{Reused: conn.answered, LocalAddr: conn.LocalAddr().String(), IdleFor: conn.idleFor(writtenAt)}, writtenAt)
		}
		_ = conn.Close()
		if reused := conn.answered; !reused || attempt > 0 || errors.Is(err, errTimeout) {
			return err
		}
		conn = nil
	}
}

// idleFor returns for how long, in seconds, the connection had been idle at a time; 0 before its first answer.
func (c *clientConn) idleFor(at time.Time) float64 {
	if !c.answered {
		return 0
	}
	return at.Sub(c.usedAt).Seconds()
}
