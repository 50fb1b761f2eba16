package intake

import (
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
	page        []byte // the body where it is longer; it is not changed
	close       bool   // the connection ends with the answer
}

// timeFormat is the form of the Date field.
const timeFormat = "Mon, 02 Jan 2006 15:04:05 GMT"

// appendTo appends the response as it is sent, without its page.
func (r response) appendTo(b []byte) []byte {
	length := len(r.text) + len(r.page)
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
	if length > 0 {
		contentType := r.contentType
		if contentType == "" {
			contentType = "text/plain; charset=utf-8"
		}
		b = append(append(b, "\r\nContent-Type: "...), contentType...)
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(length), 10)
	return append(append(b, "\r\n\r\n"...), r.text...)
}

// writeResponse writes a response to the client.
func (c *clientConn) writeResponse(r response) error {
	buffer := headBuffers.Get().(*headBuffer)
	defer headBuffers.Put(buffer)
	_ = c.SetWriteDeadline(time.Now().Add(ioTimeout))
	head := r.appendTo(buffer[:0])
	if len(r.page) == 0 {
		_, err := c.Write(head)
		return err
	}
	if _, err := c.writePart(head, false); err != nil {
		return err
	}
	_, err := c.Write(r.page)
	return err
}

// writeContinue tells a client that waits for it to send the body of its request.
func (c *clientConn) writeContinue() error {
	_ = c.SetWriteDeadline(time.Now().Add(ioTimeout))
	_, err := c.writeBytes([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}
