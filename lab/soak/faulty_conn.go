package soak

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// dialEndpoint connects to an endpoint with dial. It may fail with a local error or be delayed.
func (in *faultInjector) dialEndpoint(dial func(string, time.Duration) (net.Conn, error), address string, within time.Duration) (net.Conn, error) {
	if in.active(in.dialFaults) || in.occurs(dialFaultShare) {
		errno := in.pickError(syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
	}
	if in.occurs(slowDialShare) {
		delay := time.Duration(in.randomBelow(int(maxDialDelay)))
		time.Sleep(min(delay, within))
		if within -= delay; within <= 0 {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
	}
	conn, err := dial(address, within)
	if err != nil {
		return nil, err
	}
	return &faultyConn{failingCallsConn{conn.(*net.TCPConn), in, endpointRead, endpointWrite}}, nil
}

// failingCallsConn is a connection of which single reads and writes fail and leave it as it is.
type failingCallsConn struct {
	*net.TCPConn
	*faultInjector
	readKind, writeKind callKind
}

// Read reads from the connection, or fails.
func (c *failingCallsConn) Read(b []byte) (int, error) {
	if err := c.callError(c.readKind); err != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
	}
	return c.TCPConn.Read(b)
}

// Write writes b, or only a part of it and fails.
func (c *failingCallsConn) Write(b []byte) (int, error) {
	if err := c.callError(c.writeKind); err != nil && len(b) > 0 {
		n, _ := c.TCPConn.Write(b[:c.randomBelow(len(b))])
		return n, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", err)}
	}
	return c.TCPConn.Write(b)
}

// faultyConn is a connection to an endpoint with short reads and split writes. Some reads and writes break it, others fail and
// leave it as it is.
type faultyConn struct {
	failingCallsConn
}

// Read reads a random number of bytes, up to len(b), or breaks the connection and returns an error.
func (c *faultyConn) Read(b []byte) (int, error) {
	if c.occurs(readFaultShare) && c.breakIfIdle() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.pickError(syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET))}
	}
	if len(b) > 1 {
		b = b[:1+c.randomBelow(len(b)-1)]
	}
	return c.failingCallsConn.Read(b)
}

// breakIfIdle waits for a random time, breaks the connection if no data has arrived by then, and reports whether it did. A
// connection with data stays open, because the endpoint has already recorded that answer as written.
func (c *faultyConn) breakIfIdle() bool {
	time.Sleep(time.Duration(c.randomBelow(int(maxReadFaultDelay))))
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
	})
	if err != nil || !idle {
		return false
	}
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
	return true
}

// breakMidWrite writes a part of b, breaks the connection, and returns the number of bytes written with an error.
func (c *faultyConn) breakMidWrite(b []byte) (int, error) {
	n, _ := c.TCPConn.Write(b[:c.randomBelow(len(b))])
	if c.occurs(0.5) {
		_ = c.SetLinger(0)
	}
	_ = c.TCPConn.Close()
	return n, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.pickError(syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT))}
}

// Write writes b, in one or two parts, or breaks the connection.
func (c *faultyConn) Write(b []byte) (int, error) {
	if len(b) > 0 && c.occurs(writeFaultShare) {
		return c.breakMidWrite(b)
	}
	if len(b) < 2 || !c.occurs(splitWriteShare) {
		return c.failingCallsConn.Write(b)
	}
	first := 1 + c.randomBelow(len(b)-1)
	n, err := c.failingCallsConn.Write(b[:first])
	if err != nil {
		return n, err
	}
	time.Sleep(time.Millisecond)
	rest, err := c.failingCallsConn.Write(b[first:])
	return n + rest, err
}
