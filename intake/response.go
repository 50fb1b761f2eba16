package intake

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// response is the answer to a request.
type response struct {
	status      int
	retryAfter  float64 // seconds; 0 for none
	text        string  // the body, as plain text
	contentType string
	write       func(io.Writer) // writes a longer body; may be nil
	close       bool            // the connection ends with the answer
}

// timeFormat is the form of the Date field.
const timeFormat = "Mon, 02 Jan 2006 15:04:05 GMT"

// appendTo appends the response as it is sent.
func (r response) appendTo(b []byte) []byte {
	body := []byte(r.text)
	if r.write != nil {
		var buffer bytes.Buffer
		r.write(&buffer)
		body = buffer.Bytes()
	}
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.status), 10)
	b = append(append(b, ' '), fasthttp.StatusMessage(r.status)...)
	b = time.Now().UTC().AppendFormat(append(b, "\r\nDate: "...), timeFormat)
	if r.close {
		b = append(b, "\r\nConnection: close"...)
	}
	if r.retryAfter > 0 {
		b = strconv.AppendFloat(append(b, "\r\nRetry-After: "...), r.retryAfter, 'f', 3, 64)
	}
	if len(body) > 0 {
		contentType := r.contentType
		if contentType == "" {
			contentType = "text/plain; charset=utf-8"
		}
		b = append(append(b, "\r\nContent-Type: "...), contentType...)
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// writeResponse writes a response to the client.
func (c *clientConn) writeResponse(r response) error {
	buffer := headBuffers.Get().(*headBuffer)
	defer headBuffers.Put(buffer)
	_ = c.SetWriteDeadline(time.Now().Add(ioTimeout))
	_, err := c.Write(r.appendTo(buffer[:0]))
	return err
}

// writeContinue tells a client that waits for it to send the body of its request.
func (c *clientConn) writeContinue() error {
	_ = c.SetWriteDeadline(time.Now().Add(ioTimeout))
	_, err := c.writeBytes([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}
