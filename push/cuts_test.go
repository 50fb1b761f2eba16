package push

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"orchiddrift/message"
)

// scriptedConn is a connection on which an answer comes and then an error: io.EOF for a FIN, ECONNRESET for a reset.
type scriptedConn struct {
	net.Conn
	response io.Reader
	readErr  error
}

func (s *scriptedConn) SetDeadline(time.Time) error     { return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error { return nil }
func (s *scriptedConn) Write(b []byte) (int, error)     { return len(b), nil }
func (s *scriptedConn) Close() error                    { return nil }
func (s *scriptedConn) Read(b []byte) (int, error) {
	if n, err := s.response.Read(b); err == nil {
		return n, nil
	}
	return 0, s.readErr
}

// resultOf sends a call with so many messages, to which the text and then the error come.
func resultOf(text string, end error, messages int) CallResult {
	s := &scriptedConn{response: strings.NewReader(text), readErr: end}
	c := &Conn{addr: "e1:80", conn: s, reader: bufio.NewReader(s), writer: bufio.NewWriter(&bytes.Buffer{})}
	var list []*message.Message
	for i := range messages {
		m := &message.Message{Body: []byte("hello")}
		m.ID = fmt.Sprint("m", i)
		list = append(list, m)
	}
	return c.Send(list, 1)
}

// Every kind of answer, cut at every byte by a FIN and by a reset. Several messages are delivered by a whole answer alone
// (its last chunk, its trailer section and the empty line behind them included); one message is once the first line that
// reads 200 has come. A cut answer is never taken for a connection that can be used again.
func TestTruncatedResponses(t *testing.T) {
	const states = `[{"id":"m0","state":"done"},{"id":"m1","state":"done"}]`
	sized := func(head string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(states), states)
	}
	chunks := fmt.Sprintf("14\r\n%s\r\n%x;x=1\r\n%s\r\n0\r\n", states[:20], len(states)-20, states[20:])
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	for name, kind := range map[string]struct {
		text   string
		closes bool // the end of the connection ends the answer
		close  bool // the answer asks for it
	}{
		"length":       {text: sized("")},
		"length close": {text: sized("Connection: close\r\n"), close: true},
		"interim":      {text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + sized("")},
		"chunked":      {text: chunked + "\r\n" + chunks + "\r\n"},
		"trailers":     {text: chunked + "Trailer: X-A, X-B\r\n\r\n" + chunks + "X-A: 1\r\nX-B: 22\r\n\r\n"},
		"until close":  {text: "HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n" + states, closes: true, close: true},
	} {
		first := strings.Index(kind.text, "200 OK\r\n") + len("200 OK\r\n")
		for cut := range len(kind.text) + 1 {
			for _, end := range []error{io.EOF, syscall.ECONNRESET} {
				whole := cut == len(kind.text) && (!kind.closes || end == io.EOF)
				want := InvalidResponse
				if cut == 0 {
					want = ConnectionLost
				}
				batch, single := want, want
				if whole {
					batch = Delivered
				}
				if cut >= first {
					single = Delivered
				}
				at := fmt.Sprintf("%s, %v after %q", name, end, kind.text[:cut])
				if a := resultOf(kind.text[:cut], end, 2); a.Ends[0] != batch || a.Ends[1] != batch || a.Reusable != (whole && !kind.close) {
					t.Errorf("%s: two messages: %v, reusable %v, not %v", at, a.Ends, a.Reusable, batch)
				}
				if a := resultOf(kind.text[:cut], end, 1); a.Ends[0] != single || a.Reusable != (whole && !kind.close) {
					t.Errorf("%s: one message: %v, reusable %v, not %v", at, a.Ends, a.Reusable, single)
				}
			}
		}
	}
}

// Whatever comes is never read as delivered for several messages unless the standard library reads it whole as well.
func FuzzAnswer(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\n[{\"id\":\"m0\",\"state\":\"done\"}]\r\n0\r\nX: 1\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 27\r\nRetry-After: 1.5\r\n\r\n[{\"id\":\"m0\",\"state\":\"done\"}]")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		a := resultOf(text, io.EOF, 2)
		if a.RetryAfter < 0 || a.LoadShare < 0 || a.LoadLimit < 0 {
			t.Fatalf("%q: wait %v, share %v, limit %v", text, a.RetryAfter, a.LoadShare, a.LoadLimit)
		}
		if a.Ends[0] != Delivered && a.Ends[1] != Delivered {
			return
		}
		in := bufio.NewReader(strings.NewReader(text))
		for {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Skip("read more strictly there")
			}
			if resp.StatusCode >= 200 {
				if _, err := io.ReadAll(resp.Body); err != nil && strings.Contains(err.Error(), "unexpected EOF") {
					t.Fatalf("%q: %v, and the answer is cut: %v", text, a.Ends, err)
				}
				return
			}
		}
	})
}

// A connection that the system gives up (ETIMEDOUT, EHOSTUNREACH) broke; it is not the silence that our own deadline ends.
func TestSystemTimeoutIsConnectionLost(t *testing.T) {
	for _, errno := range []error{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET} {
		if a := resultOf("", errno, 1); a.Ends[0] != ConnectionLost || a.LateResponsePending {
			t.Errorf("%v before any byte: %v, late %v", errno, a.Ends, a.LateResponsePending)
		}
	}
}
