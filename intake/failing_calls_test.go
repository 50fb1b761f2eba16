package intake

import (
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"orchiddrift/sock"
)

// failingCalls are socket calls of which some fail on demand, with ENOMEM.
type failingCalls struct {
	sock.HostCalls
	peek atomic.Bool
}

func (c *failingCalls) Peek(fd int) (int, error) {
	if c.peek.Load() {
		return -1, syscall.ENOMEM
	}
	return c.HostCalls.Peek(fd)
}

// listenWith returns a limitListener for 2 connections whose socket calls are those given.
func listenWith(t *testing.T, calls sock.Calls) *limitListener {
	t.Helper()
	ln, err := sock.Listen("127.0.0.1:0", calls)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return &limitListener{Listener: ln, maxConns: 2, open: map[*clientConn]bool{}, log: zerolog.Nop()}
}

// acceptWithRequest connects, accepts the connection, and returns it once a request stands in its socket.
func acceptWithRequest(t *testing.T, l *limitListener) *clientConn {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(client, validRequest)
	c := conn.(*clientConn)
	waitFor(t, "the request stands in the socket", func() bool { return c.hasUnreadBytes() })
	return c
}

// Guards against closing a connection with a request in its socket because the look at the socket failed: neither a planned stop
// nor another connection that needs room may close it.
func TestConnectionOpenAfterFailedLook(t *testing.T) {
	calls := &failingCalls{}
	l := listenWith(t, calls)
	c := acceptWithRequest(t, l)
	calls.peek.Store(true)
	if l.evictOne() || l.closeIdle() != 1 || c.readClosed {
		t.Error("the connection was closed over a request")
	}
	if c.peerClosed(false) {
		t.Error("the client counts as gone")
	}
}
