// Package sock provides TCP listeners and connections whose system calls can be replaced, so that tests can make single
// calls fail. Unlike one of package net, a listener can return the connections that are already set up without waiting for
// another one.
package sock

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"orchiddrift/syserr"
)

// Calls are the system calls on the sockets of clients. Descriptors are non-blocking. Errors are of type syscall.Errno.
type Calls interface {
	Accept(fd int) (int, syscall.Sockaddr, error)
	// Register hands a descriptor to the runtime's poller. The file owns the descriptor, also after an error; operations on
	// it do not wait then.
	Register(fd int) (*os.File, error)
	Read(fd int, b []byte) (int, error)
	Write(fd int, b []byte) (int, error)
	Peek(fd int) (int, error) // returns 1 if bytes have arrived, and 0 without an error at the end of the stream
	// PeerEnded reports whether the other side has ended the stream or reset the connection, whatever bytes wait to be read.
	PeerEnded(fd int) (bool, error)
	ShutdownWrite(fd int) error
}

// HostCalls are the system calls of this machine.
type HostCalls struct{}

// Accept accepts the next connection of a listening socket.
func (HostCalls) Accept(fd int) (int, syscall.Sockaddr, error) {
	return syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
}

// Register returns the file of a descriptor. The runtime does not tell the poller's error, so it is ENOMEM.
func (HostCalls) Register(fd int) (*os.File, error) {
	file := os.NewFile(uintptr(fd), "tcp")
	if file.SetDeadline(time.Time{}) != nil {
		return file, syscall.ENOMEM
	}
	return file, nil
}

// Read reads what a socket holds.
func (HostCalls) Read(fd int, b []byte) (int, error) { return syscall.Read(fd, b) }

// Write writes what fits into the buffer of a socket.
func (HostCalls) Write(fd int, b []byte) (int, error) { return syscall.Write(fd, b) }

// Peek reports whether bytes have arrived, without reading them.
func (HostCalls) Peek(fd int) (int, error) {
	n, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// PeerEnded asks the system for the events of a socket without waiting.
func (HostCalls) PeerEnded(fd int) (bool, error) {
	events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	if _, err := unix.Poll(events, 0); err != nil {
		return false, err
	}
	return events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0, nil
}

// ShutdownWrite shuts down the write side of a socket.
func (HostCalls) ShutdownWrite(fd int) error { return syscall.Shutdown(fd, syscall.SHUT_WR) }

// ErrNonePending is returned by AcceptPending if no connection is set up.
var ErrNonePending = errors.New("no connection is pending")

// Listener is a listening TCP socket. Accept and AcceptPending may be called concurrently.
type Listener struct {
	file    *os.File
	raw     syscall.RawConn
	address net.Addr
	calls   Calls
	errors  *syserr.Recorder // may be nil
	closed  atomic.Bool      // Close was called
	drained atomic.Bool      // Drain was called
}

// Listen returns a listener on a TCP address, whose system calls are those given.
func Listen(address string, calls Calls) (*Listener, error) {
	ln, err := listenTCP(address)
	if err != nil {
		return nil, err
	}
	defer ln.Close() // the listener uses a duplicate of its descriptor
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	l := &Listener{file: file, raw: raw, address: ln.Addr(), calls: calls}
	if err := l.SetBacklog(defaultBacklog); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return l, nil
}

// SetErrorRecorder sets what records failed registrations. It must be called before Accept.
func (l *Listener) SetErrorRecorder(errors *syserr.Recorder) { l.errors = errors }

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() net.Addr { return l.address }

// Close closes the listening socket. Connections that nobody has accepted are reset.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.file.Close()
}

// Accept waits for the next connection. After Drain it returns ErrNonePending instead of waiting, and after Close net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.drained.Load() {
		conn, err := l.accept(l.raw.Read)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
	return l.AcceptPending()
}

// Drain makes Accept return only connections that are set up already, and ends a waiting one.
func (l *Listener) Drain() error {
	l.drained.Store(true)
	return l.file.SetReadDeadline(time.Unix(1, 0))
}

// AcceptPending returns a connection that is already set up, or ErrNonePending.
func (l *Listener) AcceptPending() (net.Conn, error) {
	return l.accept(func(try func(uintptr) bool) error { return l.raw.Control(func(fd uintptr) { try(fd) }) })
}

// accept accepts a connection. attempt calls its argument until that returns true, or once.
func (l *Listener) accept(attempt func(try func(fd uintptr) bool) error) (net.Conn, error) {
	var fd int
	var peer syscall.Sockaddr
	var callErr error
	err := attempt(func(listening uintptr) bool {
		fd, peer, callErr = l.calls.Accept(int(listening))
		return !errors.Is(callErr, syscall.EAGAIN)
	})
	switch {
	case err != nil && l.closed.Load():
		return nil, net.ErrClosed
	case err != nil:
		return nil, err
	case errors.Is(callErr, syscall.EAGAIN):
		return nil, ErrNonePending
	case callErr != nil:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: os.NewSyscallError("accept4", callErr)}
	}
	return l.connect(fd, peer)
}

// maxRegisterRetry limits the attempts to register a connection. Clients have left by then.
const maxRegisterRetry = 3 * time.Second

// connect returns the connection of an accepted descriptor. A connection that was set up may already hold a request, so it is
// not closed because the poller cannot register it just now.
func (l *Listener) connect(fd int, peer syscall.Sockaddr) (net.Conn, error) {
	acceptedAt := time.Now()
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) // small responses would only leave later
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, acceptedReceiveBytes)
	file, err := l.calls.Register(fd)
	for pause := syserr.NewBackoff(maxRegisterRetry); err != nil && pause.Wait(); {
		l.errors.Failed(syserr.Register, "", err)
		duplicate, dupErr := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0) // a descriptor cannot be registered twice
		if dupErr != nil {
			continue
		}
		_ = file.Close()
		fd = duplicate
		file, err = l.calls.Register(fd)
	}
	if err != nil {
		_ = file.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: os.NewSyscallError("epoll_ctl", err)}
	}
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return &Conn{file: file, raw: raw, local: l.address, remote: tcpAddr(peer), calls: l.calls, acceptedAt: acceptedAt}, nil
}

// tcpAddr returns the address of a peer.
func tcpAddr(peer syscall.Sockaddr) net.Addr {
	switch a := peer.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	}
	return &net.TCPAddr{}
}

// Conn is an accepted connection.
type Conn struct {
	file          *os.File
	raw           syscall.RawConn
	local, remote net.Addr
	calls         Calls
	acceptedAt    time.Time
}

// AcceptedAt returns when the connection was accepted. It may have been registered with the poller later.
func (c *Conn) AcceptedAt() time.Time { return c.acceptedAt }

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Calls returns the system calls that have to be used on the descriptor of the raw connection.
func (c *Conn) Calls() Calls { return c.calls }

// Read reads from the connection.
func (c *Conn) Read(b []byte) (int, error) { return c.file.Read(b) }

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) { return c.file.Write(b) }

// Close closes the connection.
func (c *Conn) Close() error { return c.file.Close() }

// CloseWrite shuts down the write side of the connection.
func (c *Conn) CloseWrite() error {
	var callErr error
	err := c.raw.Control(func(fd uintptr) { callErr = c.calls.ShutdownWrite(int(fd)) })
	return errors.Join(err, callErr)
}

// LocalAddr returns the address of the listener.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the client.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error { return c.file.SetDeadline(t) }

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.file.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of writes.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.file.SetWriteDeadline(t) }
