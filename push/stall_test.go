package push

import (
	"fmt"
	"net"
	"time"

	"orchiddrift/message"
)

// stalledConn is a connection whose response is read after the deadline, as if the process had been suspended meanwhile.
type stalledConn struct{ net.Conn }

func (s *stalledConn) SetDeadline(time.Time) error { return nil }
func (s *stalledConn) Write(b []byte) (int, error) { return len(b), nil }
func (s *stalledConn) Close() error                { return nil }
func (s *stalledConn) Read(b []byte) (n int, err error) {
	time.Sleep(30 * time.Millisecond)
	return copy(b, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), nil
}

// Guards against taking a response as delivered that was read after the deadline of the call, because the process was
// suspended: it cannot determine whether the response arrived in time. The call must end as ResponseTimeout.
func Example_stalledProcess() {
	s := &stalledConn{}
	c := newConn("e1:80", s)
	fmt.Println(c.Send([]*message.Message{{Body: []byte("hello")}}, 0.02).Ends)
	// Output:
	// [silent]
}
