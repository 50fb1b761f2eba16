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

// brokenPipeConn is one end of a pipe whose calls fail while failures is above 0; writes then take one byte.
type brokenPipeConn struct {
	net.Conn
	failures int
	err      error
}

func (c *brokenPipeConn) Read(b []byte) (int, error) {
	if c.failures--; c.failures >= 0 {
		return 0, c.err
	}
	return c.Conn.Read(b)
}

func (c *brokenPipeConn) Write(b []byte) (int, error) {
	if c.failures--; c.failures >= 0 {
		n, _ := c.Conn.Write(b[:1])
		return n, c.err
	}
	return c.Conn.Write(b)
}

// Guards against a connection given up, or bytes written twice, because calls fail for a moment; and against endless attempts.
func TestRetryingConn(t *testing.T) {
	local, peer := net.Pipe()
	faulty := &brokenPipeConn{Conn: local, failures: 3, err: syscall.ENOBUFS}
	conn := NewRetryingConn(faulty, nil, "", "")
	go func() { _, _ = conn.Write([]byte("hello")); _ = local.Close() }()
	if text, err := io.ReadAll(peer); string(text) != "hello" || err != nil {
		t.Errorf("the peer got %q, %v", text, err)
	}
	local, peer = net.Pipe()
	faulty = &brokenPipeConn{Conn: local, failures: 3, err: syscall.ENOMEM}
	conn = NewRetryingConn(faulty, nil, "", "")
	go func() { _, _ = peer.Write([]byte("hello")); _ = peer.Close() }()
	if text, err := io.ReadAll(conn); string(text) != "hello" || err != nil {
		t.Errorf("read %q, %v", text, err)
	}
	faulty.failures = 1 << 30
	for deadline, calls := range map[time.Duration]func() error{
		50 * time.Millisecond: func() error { _, err := conn.Read(make([]byte, 1)); return err },
		60 * time.Millisecond: func() error { _, err := conn.Write([]byte("x")); return err },
	} {
		start := time.Now()
		_ = conn.SetDeadline(start.Add(deadline))
		err := calls()
		if took := time.Since(start); took < deadline-10*time.Millisecond || took > time.Second {
			t.Errorf("%v, want the deadline after %v", took, deadline)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.ENOMEM) {
			t.Error(err)
		}
	}
	faulty.err, faulty.failures = syscall.ECONNRESET, 2
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) || faulty.failures != 1 {
		t.Errorf("a reset is final: %v, %d failures left", err, faulty.failures)
	}
}
