package push

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"orchiddrift/message"
)

// scriptedConn is a connection from which a response can be read, and then a read error: io.EOF for a FIN, ECONNRESET for a
// reset.
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

// resultOf returns the result of a call with count messages, sent over a scriptedConn with the response and the read error. It
// panics if the connection can carry another call then.
func resultOf(response string, readErr error, count int) CallResult {
	s := &scriptedConn{response: strings.NewReader(response), readErr: readErr}
	c := newConn("e1:80", s)
	var messages []*message.Message
	for i := range count {
		m := &message.Message{Body: []byte("hello")}
		m.ID = fmt.Sprint("m", i)
		messages = append(messages, m)
	}
	result := c.Send(messages, 1)
	if c.Usable() {
		panic("the connection can carry another call")
	}
	return result
}

// onlyInterim reports whether a text consists of complete interim responses, or is empty.
func onlyInterim(text string) bool {
	for text != "" {
		head, rest, complete := strings.Cut(text, "\r\n\r\n")
		if !complete || !strings.HasPrefix(head, "HTTP/1.1 1") {
			return false
		}
		text = rest
	}
	return true
}

// A call of which only interim responses came has no response: it is silent or lost, and may still run. It counted as a failure that was
// answered, so that an ordered key moved on at once (review/7).
func TestOnlyInterimResponses(t *testing.T) {
	for _, interim := range []string{"HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
		for readErr, want := range map[error]End{os.ErrDeadlineExceeded: ResponseTimeout, io.EOF: ConnectionLost, syscall.ECONNRESET: ConnectionLost} {
			for count := range 3 {
				if result := resultOf(interim, readErr, count+1); result.Ends[count] != want || !result.Ends[count].MayStillRun() {
					t.Errorf("%q, then %v: %v, want %v", interim, readErr, result.Ends, want)
				}
			}
		}
	}
}

// Guards against taking a truncated response for a complete one: each kind of response is truncated after each byte, by a FIN
// and by a reset. A batch must count as delivered only if the response is complete, including the last chunk, the trailer
// section and the final empty line. A single message counts as delivered once a status line with status 200 has arrived. No
// connection may be used again.
func TestTruncatedResponses(t *testing.T) {
	const states = `[{"id":"m0","state":"done"},{"id":"m1","state":"done"}]`
	sized := func(head string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(states), states)
	}
	chunks := fmt.Sprintf("14\r\n%s\r\n%x;x=1\r\n%s\r\n0\r\n", states[:20], len(states)-20, states[20:])
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	for name, test := range map[string]struct {
		text       string
		untilClose bool // only the end of the connection ends the response
	}{
		"length":       {text: sized("")},
		"length close": {text: sized("Connection: close\r\n")},
		"interim":      {text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + sized("")},
		"chunked":      {text: chunked + "\r\n" + chunks + "\r\n"},
		"trailers":     {text: chunked + "Trailer: X-A, X-B\r\n\r\n" + chunks + "X-A: 1\r\nX-B: 22\r\n\r\n"},
		"until close":  {text: "HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n" + states, untilClose: true},
	} {
		statusLineEnd := strings.Index(test.text, "200 OK\r\n") + len("200 OK\r\n")
		for cut := range len(test.text) + 1 {
			for _, readErr := range []error{io.EOF, syscall.ECONNRESET} {
				complete := cut == len(test.text) && (!test.untilClose || readErr == io.EOF)
				want := InvalidResponse
				if onlyInterim(test.text[:cut]) {
					want = ConnectionLost // nothing of the response came
				}
				batch, single := want, want
				if complete {
					batch = Delivered
				}
				if cut >= statusLineEnd {
					single = Delivered
				}
				where := fmt.Sprintf("%s, %v after %q", name, readErr, test.text[:cut])
				if result := resultOf(test.text[:cut], readErr, 2); result.Ends[0] != batch || result.Ends[1] != batch {
					t.Errorf("%s: two messages: got %v, want %v", where, result.Ends, batch)
				}
				if result := resultOf(test.text[:cut], readErr, 1); result.Ends[0] != single {
					t.Errorf("%s: one message: got %v, want %v", where, result.Ends, single)
				}
			}
		}
	}
}

// A response that counts as delivered for a message of a batch must be complete for net/http as well. No value read from a
// response may be negative.
func FuzzBatchResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\n[{\"id\":\"m0\",\"state\":\"done\"}]\r\n0\r\nX: 1\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 27\r\nRetry-After: 1.5\r\n\r\n[{\"id\":\"m0\",\"state\":\"done\"}]")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n")
	f.Fuzz(func(t *testing.T, response string) {
		result := resultOf(response, io.EOF, 2)
		if result.RetryAfter < 0 || result.LoadShare < 0 || result.LoadLimit < 0 {
			t.Fatalf("%q: wait %v, share %v, limit %v", response, result.RetryAfter, result.LoadShare, result.LoadLimit)
		}
		if result.Ends[0] != Delivered && result.Ends[1] != Delivered {
			return
		}
		in := bufio.NewReader(strings.NewReader(response))
		for {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Skip("net/http rejects the response")
			}
			if resp.StatusCode >= 200 {
				if _, err := io.ReadAll(resp.Body); err != nil && strings.Contains(err.Error(), "unexpected EOF") {
					t.Fatalf("%q: got %v for a truncated response: %v", response, result.Ends, err)
				}
				return
			}
		}
	})
}

// Guards against taking a connection that the system gave up for one on which the call's own deadline has passed: the Timeout
// method of ETIMEDOUT returns true as well. Such a call must end as ConnectionLost, as with EHOSTUNREACH and ECONNRESET.
func TestSystemTimeoutIsConnectionLost(t *testing.T) {
	for _, errno := range []error{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET} {
		if result := resultOf("", errno, 1); result.Ends[0] != ConnectionLost || result.LateResponsePending {
			t.Errorf("%v before any byte: %v, late %v", errno, result.Ends, result.LateResponsePending)
		}
	}
}
