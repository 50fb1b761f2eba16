package sock

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// failingRegister are calls of which the first registrations fail.
type failingRegister struct {
	HostCalls
	failures int
}

func (c *failingRegister) Register(fd int) (*os.File, error) {
	if c.failures--; c.failures >= 0 {
		return os.NewFile(uintptr(fd), "tcp"), syscall.ENOMEM
	}
	return c.HostCalls.Register(fd)
}

// pair returns both ends of a connection.
func pair(t *testing.T, calls Calls) (*Listener, net.Conn, net.Conn) {
	t.Helper()
	l, err := Listen("127.0.0.1:0", calls)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return l, client, server
}

// Guards against a connection that is closed with its request because the poller could not register it for a moment. Its
// deadlines and its halves must work afterwards.
func TestConnectionOutlivesFailedRegistration(t *testing.T) {
	for failures := range 4 {
		_, client, server := pair(t, &failingRegister{failures: failures})
		if _, err := client.Write([]byte("hello")); err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 9)
		if n, err := server.Read(b); err != nil || string(b[:n]) != "hello" {
			t.Fatalf("%d failures: %q, %v", failures, b[:n], err)
		}
		_ = server.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := server.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%d failures: %v, want a passed deadline", failures, err)
		}
		if _, err := server.Write([]byte("bye")); err != nil {
			t.Error(err)
		}
		if err := server.(*Conn).CloseWrite(); err != nil {
			t.Error(err)
		}
		if text, err := io.ReadAll(client); string(text) != "bye" || err != nil {
			t.Errorf("%q, %v", text, err)
		}
		if server.RemoteAddr().String() != client.LocalAddr().String() || server.LocalAddr().String() != client.RemoteAddr().String() {
			t.Errorf("addresses %v, %v; the client has %v, %v", server.RemoteAddr(), server.LocalAddr(), client.LocalAddr(), client.RemoteAddr())
		}
	}
}

// A listener tells which connections are set up already, and ends a waiting Accept when it is closed.
func TestAcceptPending(t *testing.T) {
	l, _, _ := pair(t, HostCalls{})
	if _, err := l.AcceptPending(); !errors.Is(err, ErrNonePending) {
		t.Errorf("%v, want none pending", err)
	}
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := l.AcceptPending()
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	waiting := make(chan error, 1)
	go func() { _, err := l.Accept(); waiting <- err }()
	time.Sleep(10 * time.Millisecond)
	if err := l.Drain(); err != nil {
		t.Fatal(err)
	}
	if err := <-waiting; !errors.Is(err, ErrNonePending) {
		t.Errorf("%v, want none pending after Drain", err)
	}
	l, _, _ = pair(t, HostCalls{})
	done := make(chan error, 1)
	go func() { _, err := l.Accept(); done <- err }()
	time.Sleep(10 * time.Millisecond)
	l.Close()
	if err := <-done; !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v, want a closed listener", err)
	}
}
