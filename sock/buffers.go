package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Sizes of the kernel's buffers of a socket, in bytes, as they are asked for: the kernel doubles them, as its own structures count in. A
// size that is set turns the kernel's growth off, which goes by what the other side sends and does not read.
const (
	// queuedReceiveBytes is the size while a connection waits to be accepted: hundreds may.
	queuedReceiveBytes = 2304
	// acceptedReceiveBytes lets a body of 64,000 bytes come in 16 round trips.
	acceptedReceiveBytes = 4096
	// largeReceiveBytes is the size after EnlargeReceiveBuffer.
	largeReceiveBytes = 32768
	// acceptedSendBytes is the smallest size that the kernel has. Answers are small.
	acceptedSendBytes = 2304
	// dialledBytes is the size of both buffers of a connection to an endpoint or the agent.
	dialledBytes = 4096
	// StructureBytes is counted for a socket beside its buffers: its structures in the kernel, its inode, its file and its entry in the poller.
	StructureBytes = 4096
	// MaxWrite is the most that is written at a time. The kernel takes one write as a whole, whatever the size of the buffer.
	MaxWrite = 2048
	// unsentTimeout is how long the kernel keeps what the other side does not take, also once the connection is closed.
	unsentTimeout = 3 * time.Second
	// defaultBacklog is the length of the queue of connections to be accepted until SetBacklog.
	defaultBacklog = 64
)

// setBuffers sets the sizes of a socket's buffers. It has to come before the socket listens, so that accepted ones inherit them, or
// connects. A system that refuses it bounds the buffers by its own settings.
func setBuffers(raw syscall.RawConn, receive, send int) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, send)
	})
}

// limitUnsent makes the kernel give up a connection whose other side takes nothing for unsentTimeout. Accepted connections inherit it.
func limitUnsent(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unsentTimeout.Milliseconds()))
}

// ResetOnClose makes the kernel drop what was not sent, and reset the connection, once the socket is closed.
func ResetOnClose(fd int) {
	_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
}

// listenTCP returns a listening socket whose connections have buffers of the sizes for those that wait to be accepted.
func listenTCP(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return errors.Join(setBuffers(raw, queuedReceiveBytes, acceptedSendBytes), raw.Control(func(fd uintptr) { limitUnsent(int(fd)) }))
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Dial connects to a TCP address, with buffers of the sizes for dialled connections. The connection is a *net.TCPConn.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return setBuffers(raw, dialledBytes, dialledBytes)
	}}
	return dialer.Dial("tcp", address)
}

// SetBacklog sets how many connections may wait to be accepted. The kernel holds what their clients have sent.
func (l *Listener) SetBacklog(connections int) error {
	var callErr error
	err := l.raw.Control(func(fd uintptr) { callErr = unix.Listen(int(fd), connections) })
	return errors.Join(err, callErr)
}

// EnlargeReceiveBuffer gives a connected socket a large receive buffer.
func EnlargeReceiveBuffer(fd int) {
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, largeReceiveBytes)
}

// unsentRetryInterval is the time between two looks whether the other side has taken what was written.
const unsentRetryInterval = time.Millisecond

// AwaitRoom waits until less than MaxWrite bytes wait in the kernel to be sent, and reports whether that came before stop returned true.
// The kernel adds to the last segment that waits, whatever the size of the buffer. waiting is called before the first wait.
func AwaitRoom(raw syscall.RawConn, stop func() bool, waiting func()) bool {
	for first := true; ; first = false {
		unsent := 0
		err := raw.Control(func(fd uintptr) { unsent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD) })
		if err != nil || unsent < MaxWrite {
			return true // the write tells the error
		}
		if first {
			waiting()
		}
		if stop() {
			return false
		}
		time.Sleep(unsentRetryInterval)
	}
}

// The values of SO_MEMINFO (socket(7), sock_diag(7)): bytes received and unread, allocated ahead, queued to send, and received while the
// socket was in use.
const (
	memInfoReceived = 0
	memInfoForward  = 4
	memInfoQueued   = 5
	memInfoBacklog  = 7
	memInfoCount    = 9
)

// BufferedBytes returns the memory that the kernel holds for the buffers of a socket, in bytes. It returns an error for a descriptor of
// anything else.
func BufferedBytes(fd int) (int, error) {
	var info [memInfoCount]uint32
	size := uint32(unsafe.Sizeof(info))
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(fd), unix.SOL_SOCKET, unix.SO_MEMINFO, uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 {
		return 0, errno
	}
	return int(info[memInfoReceived]) + int(info[memInfoForward]) + int(info[memInfoQueued]) + int(info[memInfoBacklog]), nil
}
