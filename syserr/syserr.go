// Package syserr classifies the errors of system calls, counts and logs them, and paces the attempts to repeat a call.
//
// An error of a system call says either that the other side is gone, or only that this machine could not carry out the
// call just now. In the second case the call has to be tried again: the connection, the file or the request that it
// belongs to is still there.
package syserr

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Kind is what an error says about its cause.
type Kind int

// The kinds of errors.
const (
	Unknown     Kind = iota // no error of a system call, or one that is not listed
	PeerGone                // the other side has closed or reset the connection, or the system has given it up
	Closed                  // this process has closed the connection or the file
	Deadline                // a deadline of this process has passed
	TimedOut                // the system has waited for too long
	Exhausted               // descriptors, memory, buffers, ports or disk space are used up
	Interrupted             // the call was interrupted, or would have had to wait
	AddressUsed             // the address is still in use
	NetworkDown             // there is no network, or no route
	Storage                 // the device or the file system failed
	Denied                  // there is no permission; for connections, a rule of the local firewall
)

// kinds lists the errors of the system by kind.
var kinds = map[syscall.Errno]Kind{
	syscall.ECONNRESET: PeerGone, syscall.EPIPE: PeerGone, syscall.ENOTCONN: PeerGone, syscall.ESHUTDOWN: PeerGone,
	syscall.ECONNABORTED: PeerGone,
	syscall.EBADF:        Closed,
	syscall.ETIMEDOUT:    TimedOut,
	syscall.EMFILE:       Exhausted, syscall.ENFILE: Exhausted, syscall.ENOMEM: Exhausted, syscall.ENOBUFS: Exhausted,
	syscall.ENOSPC: Exhausted, syscall.EDQUOT: Exhausted, syscall.EADDRNOTAVAIL: Exhausted,
	syscall.EAGAIN: Interrupted, syscall.EINTR: Interrupted, syscall.EBUSY: Interrupted,
	syscall.EADDRINUSE: AddressUsed,
	syscall.ENETDOWN:   NetworkDown, syscall.ENETUNREACH: NetworkDown,
	syscall.EIO: Storage, syscall.ESTALE: Storage,
	syscall.EPERM: Denied, syscall.EACCES: Denied,
}

// KindOf returns the kind of an error.
func KindOf(err error) Kind {
	var errno syscall.Errno
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Deadline
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrClosed), errors.Is(err, io.ErrClosedPipe):
		return Closed
	case errors.Is(err, io.EOF):
		return PeerGone
	case errors.As(err, &errno):
		return kinds[errno]
	}
	return Unknown
}

// ConnMayPass reports whether a read, a write or a look at an established connection may succeed if it is repeated. That
// is so for each error of the system, unless it says that the connection is gone.
func ConnMayPass(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch KindOf(err) {
	case PeerGone, Closed, Deadline, TimedOut:
		return false
	}
	return true
}

// ConnGone reports whether the other side of a connection is gone.
func ConnGone(err error) bool {
	kind := KindOf(err)
	return kind == PeerGone || kind == TimedOut
}

// StepMayPass reports whether a step may succeed if it is repeated, such as opening a file, listening on an address, or
// reading a clock.
func StepMayPass(err error) bool {
	switch KindOf(err) {
	case TimedOut, Exhausted, Interrupted, AddressUsed, NetworkDown, Storage:
		return true
	}
	return false
}

// Local reports whether an attempt to connect failed because of this machine, and not because of the endpoint.
func Local(err error) bool {
	switch KindOf(err) {
	case Exhausted, Interrupted, AddressUsed, NetworkDown, Storage, Denied:
		return true
	}
	return false
}

// OutOfResources reports whether descriptors, memory, buffers, ports or disk space are used up.
func OutOfResources(err error) bool { return KindOf(err) == Exhausted }
