package sock_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"orchiddrift/admission"
	"orchiddrift/sock"
)

// fill writes to a connection until nothing more is taken, a chunk at a time.
func fill(t *testing.T, conn net.Conn, chunk int) {
	t.Helper()
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := conn.Write(make([]byte, chunk)); os.IsTimeout(err) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// bufferedBytes returns what the kernel holds for a connection.
func bufferedBytes(t *testing.T, conn net.Conn) (bytes int) {
	t.Helper()
	raw, err := conn.(interface {
		SyscallConn() (syscall.RawConn, error)
	}).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { bytes, err = sock.BufferedBytes(int(fd)) }); err != nil {
		t.Fatal(err)
	}
	return bytes
}

// Guards against sockets for which the kernel holds more than they are charged for, in both directions and whatever the size of writes:
// accepted ones, those with a large receive buffer, dialled ones, and those that nobody has accepted.
func TestSocketsStayUnderTheirCharge(t *testing.T) {
	for _, chunk := range []int{300, sock.MaxWrite, 64_000} {
		ln, err := sock.Listen("127.0.0.1:0", sock.HostCalls{})
		if err != nil {
			t.Fatal(err)
		}
		for _, large := range []bool{false, true} {
			client, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			queued := !large
			if queued {
				fill(t, client, chunk)
			}
			served, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if held := bufferedBytes(t, served) + sock.StructureBytes; queued && held > admission.QueuedSocketBytes+sock.StructureBytes/2 {
				t.Errorf("chunks of %d: %d bytes for a connection in the queue", chunk, held)
			}
			limit := admission.ClientSocketBytes
			if large {
				raw, _ := served.(*sock.Conn).SyscallConn()
				_ = raw.Control(func(fd uintptr) { sock.EnlargeReceiveBuffer(int(fd)) })
				limit += admission.LargeReceiveBytes
			}
			fill(t, client, chunk)
			fill(t, sock.NewRetryingConn(served, nil, "", ""), chunk)
			if held := bufferedBytes(t, served) + sock.StructureBytes; held > limit {
				t.Errorf("chunks of %d, large %v: %d bytes, %d are charged", chunk, large, held, limit)
			}
			_, _ = client.Close(), served.Close()
		}
		_ = ln.Close()
	}
}

// Guards against connections to endpoints for which the kernel holds more than they are charged for, when these read nothing and write
// without end.
func TestDialledSocketsStayUnderTheirCharge(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, chunk := range []int{300, 64_000} {
		conn, err := sock.Dial(ln.Addr().String(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		endpoint, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		fill(t, endpoint, chunk)
		fill(t, sock.NewRetryingConn(conn, nil, "", ""), chunk)
		if held := bufferedBytes(t, conn) + sock.StructureBytes; held > admission.OutgoingSocketBytes {
			t.Errorf("chunks of %d: %d bytes, %d are charged", chunk, held, admission.OutgoingSocketBytes)
		}
		go func() { _, _ = io.Copy(io.Discard, endpoint) }()
		_, _ = conn.Close(), endpoint.Close()
	}
}
