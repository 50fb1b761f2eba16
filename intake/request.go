package intake

import (
	"bytes"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"orchiddrift/admission"
	"orchiddrift/syserr"
)

// headBuffer holds the head of a request, and the bytes that were read behind it.
type headBuffer [maxHeadBytes]byte

// headBuffers are the buffers that no connection uses: a connection has one only while bytes of a request wait in it.
var headBuffers = sync.Pool{New: func() any { return new(headBuffer) }}

// readAhead is what was read from a connection and not used yet. Only the goroutine that serves the connection uses it.
type readAhead struct {
	buffer     *headBuffer // nil while empty
	start, end int         // of the bytes in buffer
}

// bytes returns the bytes that were read and not used yet.
func (r *readAhead) bytes() []byte {
	if r.buffer == nil {
		return nil
	}
	return r.buffer[r.start:r.end]
}

// take removes n bytes from the front and returns them. They are valid until the next call of fill.
func (r *readAhead) take(n int) []byte {
	b := r.buffer[r.start : r.start+n]
	r.start += n
	return b
}

// releaseIfEmpty gives the buffer back if no bytes wait in it.
func (r *readAhead) releaseIfEmpty() {
	if r.buffer != nil && r.start == r.end {
		headBuffers.Put(r.buffer)
		r.buffer, r.start, r.end = nil, 0, 0
	}
}

// release drops the bytes and gives the buffer back.
func (r *readAhead) release() {
	r.start = r.end
	r.releaseIfEmpty()
}

// fill reads further bytes into the buffer. It returns errHeadTooLarge if the buffer is full.
func (c *clientConn) fill() error {
	r := &c.ahead
	if r.buffer == nil {
		n, err := c.readIntoNewBuffer()
		r.end = n
		return err
	}
	if r.start > 0 {
		r.end = copy(r.buffer[:], r.buffer[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.buffer) {
		return errHeadTooLarge
	}
	n, err := c.Read(r.buffer[r.end:])
	r.end += n
	return err
}

// awaitRequest waits for the first byte of a request, for as long as the connection may be idle. It returns an error if none comes.
func (c *clientConn) awaitRequest() error {
	r := &c.ahead
	timeout := idleTimeout
	if isFirst := !c.servedBefore; isFirst {
		timeout = ioTimeout
	}
	for deadlineSet := false; ; {
		if r.buffer != nil {
			r.start = r.end - len(bytes.TrimLeft(r.bytes(), "\r\n")) // empty lines before a request are ignored
		}
		if r.releaseIfEmpty(); r.buffer != nil {
			return nil
		}
		if !deadlineSet {
			deadlineSet = true
			_ = c.SetReadDeadline(time.Now().Add(timeout))
		}
		if err := c.fill(); err != nil {
			return err
		}
	}
}

// readHead reads the head of the request whose first byte has come. The head is valid until the next read.
func (c *clientConn) readHead() (requestHead, error) {
	for {
		head, size, err := parseHead(c.ahead.bytes())
		if err != nil {
			return requestHead{}, err
		}
		if size > 0 {
			c.ahead.take(size)
			return head, nil
		}
		if err := c.fill(); err != nil {
			return requestHead{}, incomplete(err)
		}
	}
}

// incomplete returns the error of a request that was not read completely for the given reason.
func incomplete(err error) error {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, os.ErrDeadlineExceeded), syserr.ConnMayPass(err):
		return errIncomplete
	}
	return err
}

// smallBody is the size in bytes up to which a body belongs to what its connection is charged for.
const smallBody = 2 << 10

// body is the body of a request in memory, and what is reserved for it.
type body struct {
	budget   *admission.Budget
	bytes    []byte
	reserved int
}

// errNoMemory reports that no memory could be reserved for the body of a request. What was not read of it is left on the connection.
var errNoMemory = errors.New("no memory for the body of the request")

// grow makes room for n more bytes and returns them. It returns errNoMemory if they cannot be reserved.
func (b *body) grow(n int) ([]byte, error) {
	size := len(b.bytes) + n
	if size > maxBodyBytes {
		return nil, errBodyTooLarge
	}
	if size > smallBody && size > b.reserved {
		if !b.budget.Reserve(admission.Requests, size-b.reserved) {
			return nil, errNoMemory
		}
		b.reserved = size
	}
	grown := make([]byte, size)
	copy(grown, b.bytes)
	added := grown[len(b.bytes):]
	b.bytes = grown
	return added, nil
}

// release gives back what is reserved.
func (b *body) release() {
	b.budget.Release(admission.Requests, b.reserved)
	b.reserved = 0
}

// bodyReader reads what follows the head of a request, into memory or to drop it. The zero bodyReader is not usable.
type bodyReader struct {
	conn    *clientConn
	chunks  chunkDecoder
	chunked bool
	left    int // bytes of the body, or of its current chunk, that were not read yet
}

// newBodyReader returns the reader of the body behind a head.
func newBodyReader(c *clientConn, head *requestHead) *bodyReader {
	return &bodyReader{conn: c, chunked: head.chunked, left: head.contentLength}
}

// next returns the number of bytes that come next, a part of the body, or 0 at its end.
func (r *bodyReader) next() (int, error) {
	for r.left == 0 && r.chunked && !r.chunks.done {
		line, err := r.conn.readLine()
		if err != nil {
			return 0, err
		}
		if r.left, err = r.chunks.line(line); err != nil {
			return 0, err
		}
	}
	return r.left, nil
}

// readInto reads the body into memory. After errNoMemory the rest is still to be read.
func (r *bodyReader) readInto(b *body) error {
	for {
		n, err := r.next()
		if n == 0 || err != nil {
			return err
		}
		space, err := b.grow(n)
		if err != nil {
			return err
		}
		for len(space) > 0 {
			read, err := r.conn.readSome(space)
			r.left -= read
			if space = space[read:]; err != nil {
				return incomplete(err)
			}
		}
	}
}

// forEach reads the body without holding it, and calls f for each part.
func (r *bodyReader) forEach(f func(part []byte)) error {
	for {
		n, err := r.next()
		if n == 0 || err != nil {
			return err
		}
		if len(r.conn.ahead.bytes()) == 0 {
			if err := r.conn.fill(); err != nil {
				return incomplete(err)
			}
		}
		part := r.conn.ahead.take(min(n, len(r.conn.ahead.bytes())))
		r.left -= len(part)
		f(part)
		r.conn.ahead.releaseIfEmpty()
	}
}

// discard reads the body and drops it, at a pace that all connections share unless the connection ends with it: then it would only take
// the place of others.
func (r *bodyReader) discard(server *Server, last bool) error {
	return r.forEach(func(part []byte) {
		if !last {
			server.paceOut(r.conn, len(part))
		}
	})
}

// readSome reads some bytes of a body, first those that were read ahead.
func (c *clientConn) readSome(b []byte) (int, error) {
	if ahead := c.ahead.bytes(); len(ahead) > 0 {
		n := copy(b, ahead)
		c.ahead.take(n)
		c.ahead.releaseIfEmpty()
		return n, nil
	}
	return c.Read(b)
}

// readLine reads a line of a chunked body and returns it without its line feed. It is valid until the next read.
func (c *clientConn) readLine() ([]byte, error) {
	for {
		if end := bytes.IndexByte(c.ahead.bytes(), '\n'); end >= 0 {
			line := c.ahead.take(end + 1)
			return line[:end], nil
		}
		if err := c.fill(); err != nil {
			return nil, incomplete(err)
		}
	}
}
