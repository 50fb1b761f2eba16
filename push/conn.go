// Package push carries calls to endpoints: a connection each, one call at a time, and nothing sent again.
package push

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"regexp"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

var statusOKLine = regexp.MustCompile(`^HTTP/1\.[01] 200\b[^\n]*\n`)

// retryAfterLine is the line of an answer's head that tells a wait.
var retryAfterLine = regexp.MustCompile(`(?i)\r?\nRetry-After:([^\r\n]*)\r?\n`)

const (
	minRestTimeout = time.Millisecond
	// chunkedLength is what the library gives as the length of a chunked body.
	chunkedLength  = -1
	maxRestTimeout = 250 * time.Millisecond
	// lateResponseTimeout is how long an answer may be on its way here that was written before our end of the call was seen there.
	lateResponseTimeout = 100 * time.Millisecond
)

// Conn is a connection to an endpoint.
type Conn struct {
	addr     string
	conn     net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	recorder *prefixRecorder // what in reads through; nil for none
	closed   atomic.Bool     // by us
}

// maxRawPrefix is how much of an answer that could not be read is kept for the log.
const maxRawPrefix = 256

// prefixRecorder keeps the first bytes of each answer.
type prefixRecorder struct {
	net.Conn
	prefix [maxRawPrefix]byte
	length int
}

// Read reads, and keeps what is first.
func (t *prefixRecorder) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	t.length += copy(t.prefix[t.length:], b[:n])
	return n, err
}

// rawPrefix is what was kept of the present answer.
func (c *Conn) rawPrefix() []byte {
	if c.recorder == nil {
		return nil
	}
	return bytes.Clone(c.recorder.prefix[:c.recorder.length])
}

// Dialer opens a TCP connection to an address within a time.
type Dialer func(addr string, within time.Duration) (net.Conn, error)

// Dial opens a connection within so many seconds.
func Dial(addr string, within float64) (*Conn, End) {
	return Dialer(func(addr string, within time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp", addr, within)
	}).Dial(addr, within)
}

// Dial opens a connection within so many seconds.
func (d Dialer) Dial(addr string, within float64) (*Conn, End) {
	c, err := d(addr, toDuration(within))
	if err != nil {
		return nil, endOfDialError(err)
	}
	t := &prefixRecorder{Conn: c}
	return &Conn{addr: addr, conn: c, reader: bufio.NewReaderSize(t, 4<<10), writer: bufio.NewWriterSize(c, 4<<10), recorder: t}, Delivered
}

// localErrors are the errors of socket(2) and connect(2) that tell of this machine and not of the endpoint: no descriptor, no
// memory or buffer, no free port, no route to any network, or an interruption.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR, syscall.EPERM, syscall.EACCES, syscall.EADDRINUSE}

// endOfDialError tells what the error of a dial stands for.
func endOfDialError(err error) End {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return NoSocket
		}
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() { // our own deadline, or ETIMEDOUT: the system's
		return ConnectTimeout
	}
	return ConnectFailed
}

// Alive tells that the other side has neither closed an idle connection nor written to it.
func (c *Conn) Alive() bool {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil || c.reader.Buffered() > 0 {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && alive
}

// Addr is where it leads.
func (c *Conn) Addr() string { return c.addr }

// Close ends it, and with it a call that is out on it.
func (c *Conn) Close() {
	c.closed.Store(true)
	_ = c.conn.Close()
}

// closeWrite ends our side, so that the other knows of it, and leaves what is on its way to LastWord.
func (c *Conn) closeWrite() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		c.Close()
	}
}

// ReadLateRetryAfter closes a connection whose call was given up and gives the wait told in what still came, 0 for none. An answer
// may be written just as the call is given up, or be found too late by a process that stood still. It counts for nothing,
// but a wait in it runs from that moment on, and the next call would break it. It does harm where an endpoint has not
// seen our end by then, and tells its wait after that.
func (c *Conn) ReadLateRetryAfter() float64 {
	defer c.Close()
	_ = c.conn.SetReadDeadline(time.Now().Add(lateResponseTimeout))
	for {
		come, _ := c.reader.Peek(c.reader.Buffered())
		if told := retryAfterLine.FindSubmatch(come); told != nil {
			return parseSeconds(string(told[1]))
		}
		if _, err := c.reader.Peek(len(come) + 1); err != nil {
			return 0
		}
	}
}

// exchange writes a request and reads its answer until the deadline. The last result tells whether the
// connection can carry another call. A spoilt answer, one that cannot be read to its end, may stand for a push that
// ran, whatever its head says; alone with one message it is true if its first line reads 200.
func (c *Conn) exchange(req *fasthttp.Request, resp *fasthttp.Response, alone bool, deadline time.Time) (End, bool) {
	if c.conn.SetDeadline(deadline) != nil {
		return WriteFailed, false
	}
	if c.recorder != nil {
		c.recorder.length = 0
	}
	if err := req.Write(c.writer); err != nil {
		return WriteFailed, false
	}
	if err := c.writer.Flush(); err != nil {
		return WriteFailed, false
	}
	if err := c.awaitFirstByte(deadline); err != nil {
		switch {
		case c.closed.Load():
			return Cancelled, false
		case deadlineExceeded(err):
			return ResponseTimeout, false
		}
		return ConnectionLost, false
	}
	err := c.readHead(resp, deadline)
	for err == nil && resp.StatusCode() < fasthttp.StatusOK { // on its way
		if err = c.awaitFirstByte(deadline); err == nil {
			err = c.readHead(resp, deadline)
		}
	}
	done := err == nil && resp.StatusCode() == fasthttp.StatusOK
	if err != nil {
		begun, _ := c.reader.Peek(c.reader.Buffered())
		done = statusOKLine.Match(begun)
		if told := retryAfterLine.FindSubmatch(begun); told != nil { // it binds, though the rest of the head is missing
			resp.Header.SetBytesV("Retry-After", told[1])
		}
	} else if code := resp.StatusCode(); code != fasthttp.StatusNoContent && code != fasthttp.StatusNotModified {
		err = c.readBody(resp)
	}
	if err == nil {
		err = c.conn.SetDeadline(time.Time{}) // an idle connection has none: one that passed would look like its end
		return endOfResponse(resp), err == nil && !resp.ConnectionClose() && c.reader.Buffered() == 0
	}
	switch {
	case alone && done:
		return Delivered, false
	case c.closed.Load():
		return Cancelled, false
	}
	return InvalidResponse, false
}

// readBody reads an answer's body to its end. That of a chunked one is behind its trailer section: cut off before it, an answer
// is not whole, and what the library reads as its body may be a part of what the endpoint wrote.
func (c *Conn) readBody(resp *fasthttp.Response) error {
	chunked := resp.Header.ContentLength() == chunkedLength
	if err := resp.ReadBody(c.reader, maxResponseBody); err != nil || !chunked {
		return err
	}
	return resp.Header.ReadTrailer(c.reader)
}

// awaitFirstByte waits for an answer's first byte. One found after the deadline counts as none: a process that stood still
// cannot tell whether it came in time, and a late one may stand for nothing. Taken as delivered it would end a
// message that nobody else holds to be over. It does harm where the process often stands still.
func (c *Conn) awaitFirstByte(deadline time.Time) error {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	if err == nil && time.Now().After(deadline) {
		return os.ErrDeadlineExceeded
	}
	return err
}

// readHead reads an answer's head; its rest and its body have to follow soon and within the call's time, so that an answer
// that never ends holds neither a slot nor a message's end. This does harm where an endpoint takes longer between
// the first byte of its answer and the last.
func (c *Conn) readHead(resp *fasthttp.Response, deadline time.Time) error {
	now := time.Now()
	soon := now.Add(min(maxRestTimeout, max(minRestTimeout, deadline.Sub(now))))
	if err := c.conn.SetDeadline(soon); err != nil {
		return err
	}
	resp.Header.Reset()
	return resp.Header.Read(c.reader)
}

// endOfResponse reads the status line and what goes with it.
func endOfResponse(resp *fasthttp.Response) End {
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return Delivered
	case fasthttp.StatusTooManyRequests:
		return Throttled
	case fasthttp.StatusServiceUnavailable:
		if len(resp.Header.Peek("X-Over-Slots")) > 0 {
			return NoFreeSlot
		}
		if resp.ConnectionClose() && len(resp.Header.Peek("Retry-After")) == 0 {
			return ConnectionLimit
		}
		return Throttled
	case fasthttp.StatusGatewayTimeout:
		return AttemptsExhausted
	case fasthttp.StatusGone:
		return AlreadySettled
	case fasthttp.StatusInternalServerError:
		return Failed
	case fasthttp.StatusBadRequest, fasthttp.StatusRequestEntityTooLarge:
		return Rejected
	}
	return InvalidResponse
}

// deadlineExceeded tells that our own deadline has passed. A connection that the system gave up (ETIMEDOUT) has broken, though the
// error it gives says Timeout as well.
func deadlineExceeded(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
