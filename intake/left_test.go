package intake

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/gateway"
	"orchiddrift/sock"
)

// startSlow returns a server whose gateway takes on the first message only once release is closed, and a channel of the IDs of all messages
// that it gets.
func startSlow(t *testing.T, release <-chan struct{}) (*testServer, chan string) {
	t.Helper()
	submitted := make(chan string, 99)
	ts := newTestServer(t)
	ln, err := sock.Listen("127.0.0.1:0", sock.HostCalls{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	ts.Listener = ln
	ts.Server = NewServer(func() float64 { return 1000 }, func(string) (float64, bool) { return 9, true }, func(e gateway.Event) {
		arrived := e.(gateway.Arrived)
		submitted <- arrived.Message.ID
		<-release
		arrived.Respond(gateway.Reply{Accepted: true})
	}, 10, zerolog.Nop())
	ts.serve()
	return ts, submitted
}

// Guards against requests that are sent on after their client has left: those behind the one that was being taken on are dropped, whether
// the client ended its connection or reset it, and whether they were read ahead or wait in the socket.
func TestRequestsOfClientThatLeft(t *testing.T) {
	var many strings.Builder
	for i := range 60 { // more than one buffer
		many.WriteString(requestWithID(fmt.Sprintf("b%03d", i)))
	}
	for name, leave := range map[string]func(conn net.Conn){
		"ends":   func(conn net.Conn) { _ = conn.Close() },
		"resets": func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0); _ = conn.Close() },
		"half":   func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			ts, submitted := startSlow(t, release)
			conn := ts.dial(t)
			fmt.Fprint(conn, requestWithID("a1")+many.String())
			if id := <-submitted; id != "a1" {
				t.Fatal(id)
			}
			leave(conn)
			time.Sleep(20 * time.Millisecond)
			close(release)
			waitFor(t, "the connection is closed", func() bool { open, _ := ts.connCounts(); return open == 0 })
			if n := len(submitted); n > 0 {
				t.Errorf("%d requests were handed on after their client had left, first %s", n, <-submitted)
			}
		})
	}
}

// Guards against a message that gets its final answer too late because its request waited behind others on its connection: the time that it
// may have waited is taken off its time, while a request that comes alone keeps all of its own.
func TestTimeOfRequestsThatWaited(t *testing.T) {
	const wait = 150 * time.Millisecond
	release, started := make(chan struct{}), make(chan gateway.Arrived, 9)
	ts, _ := startSlow(t, release)
	ts.submit = func(e gateway.Event) {
		arrived := e.(gateway.Arrived)
		started <- arrived
		if arrived.Message.ID == "a1" {
			time.Sleep(wait)
		}
		arrived.Respond(gateway.Reply{Accepted: true})
	}
	conn := ts.dial(t)
	fmt.Fprint(conn, requestWithID("a1"))
	first := <-started
	fmt.Fprint(conn, requestWithID("a2")) // while the first one is being taken on
	second := <-started
	readResponse(t, conn)
	time.Sleep(200 * time.Millisecond)
	fmt.Fprint(conn, requestWithID("a3"))
	third := <-started
	const now, budget = 1000, 0.48
	for id, c := range map[string]struct{ got, least, most float64 }{
		"a1": {first.Message.ExpiresAt, now + budget - 0.05, now + budget},
		"a2": {second.Message.ExpiresAt, now + budget - 0.4, now + budget - wait.Seconds()},
		"a3": {third.Message.ExpiresAt, now + budget - 0.05, now + budget},
	} {
		if c.got < c.least || c.got > c.most {
			t.Errorf("%s has time until %.3f, want %.3f to %.3f", id, c.got, c.least, c.most)
		}
	}
}
