// Package push sends calls to endpoints over HTTP/1.1. A connection carries one call, and no call is retried.
package push

import (
	"bufio"
	"errors"
	"math"
	"net"
	"os"
	"regexp"
	"time"

	"github.com/valyala/fasthttp"

	"orchiddrift/admission"
	"orchiddrift/exchange"
	"orchiddrift/sock"
	"orchiddrift/syserr"
)

// statusOKLine matches the status line of a response with status 200.
var statusOKLine = regexp.MustCompile(`^HTTP/1\.[01] 200\b[^\n]*\n`)

// retryAfterLine matches the Retry-After line in the head of a response.
var retryAfterLine = regexp.MustCompile(`(?i)\r?\nRetry-After:([^\r\n]*)\r?\n`)

const (
	// minResponseRestTimeout is the time allowed for the rest of a response, after its first byte, if less is left until
	// the deadline of the call.
	minResponseRestTimeout = time.Millisecond
	// chunkedLength is the content length that fasthttp reports for a chunked body.
	chunkedLength = -1
	// maxResponseRestTimeout is the maximum time allowed for the rest of a response after its first byte.
	maxResponseRestTimeout = 250 * time.Millisecond
	// lateResponseTimeout is the maximum wait for a response that the endpoint wrote before it saw that the call was
	// abandoned.
	lateResponseTimeout = 100 * time.Millisecond
)

// Conn is a connection to an endpoint. Close may be called concurrently with the other methods; these must not be called
// concurrently with each other.
type Conn struct {
	addr    string // host and port of the endpoint
	conn    *exchange.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	writeBy time.Time // latest time for the last byte of the request; zero for none

	budget   *admission.Budget // of the memory for responses; may be nil
	reserved int               // bytes reserved for the response
}

// UseBudget sets the accounts from which memory for the response is reserved.
func (c *Conn) UseBudget(budget *admission.Budget) { c.budget = budget }

// maxWriteRetry limits the time in which a request is written again after a local error. A request that is written later might reach
// its endpoint during a wait that was told meanwhile, or after the endpoint has begun to drain.
const maxWriteRetry = 50 * time.Millisecond

// WriteWithin limits the time, in seconds from now, in which the request has to be written.
func (c *Conn) WriteWithin(seconds float64) {
	c.writeBy = time.Time{}
	if !math.IsInf(seconds, 1) {
		c.writeBy = time.Now().Add(toDuration(seconds))
	}
}

// limitWriteRetry ends the attempts to write a request again after maxWriteRetry, or at writeBy if that is earlier.
func (c *Conn) limitWriteRetry() {
	until := time.Now().Add(maxWriteRetry)
	if !c.writeBy.IsZero() && c.writeBy.Before(until) {
		until = c.writeBy
	}
	c.conn.LimitWriteRetry(until)
}

// Dialer opens a TCP connection to an address within a timeout.
type Dialer func(addr string, timeout time.Duration) (net.Conn, error)

// Dial opens a connection to an endpoint with sock.Dial. The timeout is in seconds. If that fails, the Conn is nil and
// the End says how; otherwise the End is Delivered.
func Dial(addr string, timeout float64) (*Conn, End) {
	return Dialer(sock.Dial).Dial(addr, timeout)
}

// Dial opens a connection to an endpoint with d. The timeout is in seconds. If that fails, the Conn is nil and the End says
// how; otherwise the End is Delivered.
func (d Dialer) Dial(addr string, timeout float64) (*Conn, End) {
	conn, err := d(addr, toDuration(timeout))
	if err != nil {
		return nil, endOfDialError(err)
	}
	return newConn(addr, conn), Delivered
}

// newConn returns a connection to the endpoint with an address. conn may be an exchange.Conn already.
func newConn(addr string, conn net.Conn) *Conn {
	owned := exchange.Own(conn, exchange.Endpoint)
	return &Conn{addr: addr, conn: owned, reader: bufio.NewReaderSize(owned, bufferSize),
		writer: bufio.NewWriterSize(owned, bufferSize)}
}

// bufferSize is the size of a connection's buffers for reading and for writing, in bytes.
const bufferSize = 4 << 10

// endOfDialError returns the end of a push whose connection failed with the given error.
func endOfDialError(err error) End {
	if syserr.Local(err) {
		return NoSocket
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() { // the dial timeout, or ETIMEDOUT from the system
		return ConnectTimeout
	}
	return ConnectFailed
}

// Usable reports whether the connection can carry a call: it has carried none, and the endpoint has neither closed it nor written
// to it.
func (c *Conn) Usable() bool { return c.conn.Usable() }

// ID returns the number of the connection, which is unique in the process.
func (c *Conn) ID() uint64 { return c.conn.ID() }

// Addr returns the address of the endpoint.
func (c *Conn) Addr() string { return c.addr }

// Close closes the connection. A call in progress on it ends as Cancelled.
func (c *Conn) Close() { c.closeFor(exchange.ClosedUnused) }

// closeFor closes the connection for a reason.
func (c *Conn) closeFor(reason exchange.CloseReason) { _ = c.conn.CloseFor(reason) }

// closeWrite shuts down the write side of the connection, so that the endpoint can detect that the call was abandoned.
// ReadLateRetryAfter can still read a response that is on its way. A connection that cannot be half closed is closed.
func (c *Conn) closeWrite() {
	if c.conn.CloseWrite() != nil {
		c.closeFor(exchange.ClosedGivenUp)
	}
}

// ReadLateRetryAfter waits up to lateResponseTimeout for the late response to an abandoned call, and returns its Retry-After
// in seconds, 0 for none. It closes the connection. The endpoint may write a response just as the call is abandoned, or this
// process may have been suspended and read it too late. Such a response does not change how the push ended, but its told
// wait applies from then on, and without it the next call would violate that wait. A told wait is missed if the endpoint
// detects the half close only after lateResponseTimeout and responds after that.
func (c *Conn) ReadLateRetryAfter() float64 {
	defer c.closeFor(exchange.ClosedGivenUp)
	_ = c.conn.SetReadDeadline(time.Now().Add(lateResponseTimeout))
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if match := retryAfterLine.FindSubmatch(buffered); match != nil {
			return parseSeconds(string(match[1]))
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			return 0
		}
	}
}

// exchange writes a request and reads its response until the deadline. The label names the request in the log. A malformed or
// truncated response gives InvalidResponse whatever its status code, since the push may have run. The exception is a call with a
// single message: it counts as delivered once the status line with status 200 was read.
func (c *Conn) exchange(label string, req *fasthttp.Request, resp *fasthttp.Response, singleMessage bool, deadline time.Time) End {
	if c.conn.SetDeadline(deadline) != nil {
		return WriteFailed
	}
	err := c.writeRequest(label, req)
	switch {
	case syserr.Local(err): // for as long as it was tried again
		return NoSocket
	case err != nil:
		return WriteFailed
	}
	if err := c.awaitFirstByte(deadline); err != nil {
		return c.endWithoutResponse(err)
	}
	statusOK, err := c.readResponse(resp, deadline)
	var missing *finalResponseMissing
	if errors.As(err, &missing) {
		return c.endWithoutResponse(missing.cause)
	}
	if err == nil {
		extra, _ := c.reader.Peek(c.reader.Buffered())
		c.conn.ReadAnswer(extra)
		return endOfResponse(resp)
	}
	switch {
	case singleMessage && statusOK:
		return Delivered
	case c.conn.Closed():
		return Cancelled
	}
	return InvalidResponse
}

// endWithoutResponse returns the end of a call whose response failed to come with the given error.
func (c *Conn) endWithoutResponse(err error) End {
	switch {
	case c.conn.Closed():
		return Cancelled
	case deadlineExceeded(err):
		return ResponseTimeout
	}
	return ConnectionLost
}

// finalResponseMissing is the error of a call of which only interim responses came.
type finalResponseMissing struct{ cause error }

func (e *finalResponseMissing) Error() string { return "no final response: " + e.cause.Error() }

// readResponse reads a response, after any interim ones, once its first byte has come. It also reports whether the status line has
// status 200, which it may although the rest is missing. The error is a finalResponseMissing if no byte of the final response came.
func (c *Conn) readResponse(resp *fasthttp.Response, deadline time.Time) (statusOK bool, err error) {
	err = c.readHead(resp, deadline)
	for err == nil && resp.StatusCode() < fasthttp.StatusOK { // interim 1xx responses
		if err = c.awaitFirstByte(deadline); err != nil {
			return false, &finalResponseMissing{err}
		}
		err = c.readHead(resp, deadline)
	}
	if err != nil {
		return c.readPartialHead(resp), err
	}
	if code := resp.StatusCode(); code != fasthttp.StatusNoContent && code != fasthttp.StatusNotModified {
		err = c.readBody(resp)
	}
	return resp.StatusCode() == fasthttp.StatusOK, err
}

// readPartialHead takes the told wait from a head that is not complete, since it applies all the same, and reports whether its
// status line has status 200.
func (c *Conn) readPartialHead(resp *fasthttp.Response) (statusOK bool) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if match := retryAfterLine.FindSubmatch(buffered); match != nil {
		resp.Header.SetBytesV("Retry-After", match[1])
	}
	return statusOKLine.Match(buffered)
}

// writeRequest writes a request. An error means that the endpoint has not got all of it, and has not begun the call.
func (c *Conn) writeRequest(label string, req *fasthttp.Request) error {
	if err := c.conn.Begin(label); err != nil {
		return err
	}
	c.limitWriteRetry()
	if err := req.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	c.conn.Written()
	return nil
}

// readBody reads the body of a response to its end. A chunked response ends with its trailer section. fasthttp may return a
// part of the body without an error if the response is truncated before that, so the trailer section is read as well.
func (c *Conn) readBody(resp *fasthttp.Response) error {
	chunked := resp.Header.ContentLength() == chunkedLength
	if err := resp.ReadBody(c.reader, c.responseLimit(resp.Header.ContentLength())); err != nil || !chunked {
		return err
	}
	return resp.Header.ReadTrailer(c.reader)
}

// responseLimit returns the largest body that may be read, for a response that announces a length; below 0 it announces none. A body
// over smallResponseBody needs memory that is reserved.
func (c *Conn) responseLimit(length int) int {
	if length >= 0 && length <= smallResponseBody {
		return smallResponseBody
	}
	if length > maxResponseBody || c.reserved == 0 && !c.budget.Reserve(admission.Responses, maxResponseBody) {
		return smallResponseBody
	}
	c.reserved = maxResponseBody
	return maxResponseBody
}

// releaseResponse gives back what a response took. One with very many fields is not used again, as it would keep the memory for them.
func (c *Conn) releaseResponse(resp *fasthttp.Response) {
	c.budget.Release(admission.Responses, c.reserved)
	c.reserved = 0
	if resp.Header.Len() <= maxReusedFields {
		fasthttp.ReleaseResponse(resp)
	}
}

// awaitFirstByte waits for the first byte of a response. A byte read after the deadline counts as a timeout: a process that
// was suspended cannot determine whether the response arrived in time, and the endpoint disregards one that it sent too
// late. Taking it as delivered would settle a message that the endpoint does not consider settled. A process that is suspended
// often loses valid responses this way.
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

// readHead reads the head of a response, and sets the deadline for the rest of the response: the deadline of the call, but at
// least minResponseRestTimeout and at most maxResponseRestTimeout from now. A response that never ends thus delays neither
// the release of a slot nor the result of a message. A response that is not complete by then counts as truncated.
func (c *Conn) readHead(resp *fasthttp.Response, deadline time.Time) error {
	now := time.Now()
	restDeadline := now.Add(min(maxResponseRestTimeout, max(minResponseRestTimeout, deadline.Sub(now))))
	if err := c.conn.SetDeadline(restDeadline); err != nil {
		return err
	}
	resp.Header.Reset()
	return resp.Header.Read(c.reader)
}

// endOfResponse returns the end of a call with a complete response, by its status code and headers.
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

// deadlineExceeded reports whether err means that the call's own deadline has passed. It is false for ETIMEDOUT, the error of
// a connection that the system gave up, although the Timeout method of that error returns true as well.
func deadlineExceeded(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// toDuration converts a number of seconds.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
