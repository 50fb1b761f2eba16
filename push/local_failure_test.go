package push

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"orchiddrift/message"
)

// unwritableConn is a connection whose writes fail on this machine.
type unwritableConn struct{ scriptedConn }

func (*unwritableConn) Write([]byte) (int, error) {
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ENOBUFS)}
}

// Guards against a write that fails on this machine and is held against the endpoint: the push was not sent.
func TestUnsentForLocalFailure(t *testing.T) {
	conn, _ := Dialer(func(string, time.Duration) (net.Conn, error) { return &unwritableConn{}, nil }).Dial("e1:80", 1)
	result := conn.Send([]*message.Message{{Body: []byte("hello")}}, 0.05)
	if result.Ends[0] != NoSocket || !result.Ends[0].Outcome().Unsent || result.Ends[0].MayHaveRun() {
		t.Errorf("ended as %v", result.Ends[0])
	}
}
