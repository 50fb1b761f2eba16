package push

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"orchiddrift/message"
	"orchiddrift/sock"
)

// unwritableConn is a connection whose writes fail on this machine.
type unwritableConn struct{ scriptedConn }

func (*unwritableConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (*unwritableConn) SetWriteDeadline(time.Time) error { return nil }

func (*unwritableConn) Write([]byte) (int, error) {
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ENOBUFS)}
}

// Guards against a request that is written long after it was decided on, as a write fails for a moment: a told wait, a drain or the
// end of a repeat's window may have come meanwhile.
func TestLateWriteIsGivenUp(t *testing.T) {
	for _, limit := range []time.Duration{maxWriteRetry, 10 * time.Millisecond} {
		failing := &unwritableConn{}
		conn, _ := Dialer(func(string, time.Duration) (net.Conn, error) {
			return sock.NewRetryingConn(failing, nil, "", ""), nil
		}).Dial("e1:80", 1)
		conn.WriteWithin(limit.Seconds())
		start := time.Now()
		result := conn.Send([]*message.Message{{Body: []byte("hello")}}, 3)
		if took := time.Since(start); result.Ends[0] != NoSocket || took < limit || took > limit+40*time.Millisecond {
			t.Errorf("ended as %v after %v, want %v", result.Ends[0], took, limit)
		}
	}
}

// Guards against a write that fails on this machine and is held against the endpoint: the push was not sent.
func TestUnsentForLocalFailure(t *testing.T) {
	conn, _ := Dialer(func(string, time.Duration) (net.Conn, error) { return &unwritableConn{}, nil }).Dial("e1:80", 1)
	result := conn.Send([]*message.Message{{Body: []byte("hello")}}, 0.05)
	if result.Ends[0] != NoSocket || !result.Ends[0].Outcome().Unsent || result.Ends[0].MayHaveRun() {
		t.Errorf("ended as %v", result.Ends[0])
	}
}
