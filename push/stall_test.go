package push

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"time"

	"orchiddrift/message"
)

// stalled is a connection whose answer lies there when its deadline is found to have passed.
type stalled struct {
	net.Conn
	looked bool
}

func (s *stalled) SetDeadline(time.Time) error { return nil }
func (s *stalled) Write(b []byte) (int, error) { return len(b), nil }
func (s *stalled) Close() error                { return nil }
func (s *stalled) Read(b []byte) (n int, err error) {
	if !s.looked {
		s.looked = true
		return 0, os.ErrDeadlineExceeded
	}
	return copy(b, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), nil
}

// A process that stood still past a call's time takes the answer that has come meanwhile.
func Example_stall() {
	s := &stalled{}
	c := &Conn{addr: "e1:80", net: s, in: bufio.NewReader(s), out: bufio.NewWriter(&bytes.Buffer{})}
	fmt.Println(c.Send([]*message.Message{{Body: []byte("hello")}}, 1).Ends)
	// Output:
	// [done]
}
