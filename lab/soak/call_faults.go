package soak

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"orchiddrift/sock"
)

// callKind is a kind of system call of which single calls fail.
type callKind int

// The kinds of calls.
const (
	clientAccept callKind = iota
	clientRegister
	clientRead
	clientWrite
	clientPeek
	clientShutdown
	endpointRead
	endpointWrite
	agentDial
	agentRead
	agentWrite
	fileOpen
	fileRead
	folderList
	configRead
	bootIDRead
	uptimeRead
	callKinds // the number of kinds
)

// callErrors are the errors with which calls fail. They say nothing of the other side.
var callErrors = [callKinds][]error{
	clientAccept:   {syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.EINTR},
	clientRegister: {syscall.ENOMEM, syscall.ENOSPC},
	clientRead:     {syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO, syscall.EINTR},
	clientWrite:    {syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO, syscall.EINTR},
	clientPeek:     {syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR},
	clientShutdown: {syscall.ENOBUFS},
	endpointRead:   {syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO},
	endpointWrite:  {syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO},
	agentDial:      {syscall.ENOBUFS, syscall.EMFILE, syscall.EADDRNOTAVAIL},
	agentRead:      {syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO},
	agentWrite:     {syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO},
	fileOpen:       {syscall.EMFILE, syscall.ENFILE, syscall.EIO},
	fileRead:       {syscall.EIO, syscall.ENOMEM},
	folderList:     {syscall.EMFILE, syscall.EIO},
	configRead:     {syscall.EMFILE, syscall.EIO},
	bootIDRead:     {syscall.EMFILE, syscall.EIO},
	uptimeRead:     {syscall.EINTR, syscall.EIO},
}

// callWindow is a period in which one in interval calls of some kinds fails.
type callWindow struct {
	faultWindow
	kinds    [callKinds]bool
	interval int
}

// The frequencies and sizes of the windows with failing calls.
const (
	// meanCallInterval is the mean time between two windows, in seconds, besides those at the start and at the stop.
	meanCallInterval = 5.0
	// minCallWindow and maxCallWindow are the bounds of the length of a window.
	minCallWindow, maxCallWindow = 300 * time.Millisecond, 1500 * time.Millisecond
	// kindShare is the share of the kinds of calls that fail in a window.
	kindShare = 0.3
	// startWindowShare is the share of the processes with a window in the first second.
	startWindowShare = 0.4
	// stopWindowShare is the share of the processes with a window that begins between SIGTERM and SIGKILL.
	stopWindowShare = 0.7
	// killDelay is the earliest time of SIGKILL after SIGTERM.
	killDelay = 3700 * time.Millisecond
)

// callIntervals are the values of callWindow.interval: each call fails, each second, or fewer.
var callIntervals = []int{1, 2, 3, 29}

// drawCallWindow draws a window that begins at a time since the start of the process.
func (in *faultInjector) drawCallWindow(from time.Duration) callWindow {
	length := minCallWindow + time.Duration(in.random.Int64N(int64(maxCallWindow-minCallWindow)))
	w := callWindow{faultWindow: faultWindow{from, from + length}, interval: callIntervals[in.random.IntN(len(callIntervals))]}
	for kind := range w.kinds {
		w.kinds[kind] = in.random.Float64() < kindShare
	}
	if w.interval == 1 {
		// No final answer can be in time while each call to the agent fails, and an endpoint's answer that stays unreadable until its call
		// is given up is as good as lost, although the partner counts it as given.
		w.kinds[agentDial], w.kinds[agentRead], w.kinds[agentWrite], w.kinds[endpointRead] = false, false, false, false
	}
	return w
}

// drawCallWindows draws the windows at random times and, for a share of the processes, in the first second.
func (in *faultInjector) drawCallWindows() {
	if in.random.Float64() < startWindowShare {
		in.callWindows = append(in.callWindows, in.drawCallWindow(time.Duration(in.random.Int64N(int64(time.Second)))))
	}
	for at := 0.0; at < faultHorizon; {
		at += meanCallInterval * in.random.ExpFloat64()
		w := in.drawCallWindow(time.Duration(at * float64(time.Second)))
		in.callWindows = append(in.callWindows, w)
		at = w.until.Seconds()
	}
}

// aimAtStop adds, for a share of the processes, a window that begins between SIGTERM and SIGKILL.
func (in *faultInjector) aimAtStop() {
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	go func() {
		<-terminated
		in.mu.Lock()
		defer in.mu.Unlock()
		if in.random.Float64() < stopWindowShare {
			delay := time.Duration(in.random.Int64N(int64(killDelay)))
			in.callWindows = append(in.callWindows, in.drawCallWindow(time.Since(in.startedAt)+delay))
		}
	}()
}

// callError returns the error with which a call fails now, or nil.
func (in *faultInjector) callError(kind callKind) error {
	elapsed := time.Since(in.startedAt)
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, w := range in.callWindows {
		if elapsed >= w.from && elapsed < w.until && w.kinds[kind] && in.random.IntN(w.interval) == 0 {
			return callErrors[kind][in.random.IntN(len(callErrors[kind]))]
		}
	}
	return nil
}

// faultySocketCalls are calls on clients' sockets of which some fail. Reads and writes may handle only a part of the bytes.
type faultySocketCalls struct {
	sock.HostCalls
	*faultInjector
}

// Accept accepts a connection, or fails.
func (c faultySocketCalls) Accept(fd int) (int, syscall.Sockaddr, error) {
	if err := c.callError(clientAccept); err != nil {
		return -1, nil, err
	}
	return c.HostCalls.Accept(fd)
}

// Register hands a descriptor to the poller, or reports a failure.
func (c faultySocketCalls) Register(fd int) (*os.File, error) {
	if err := c.callError(clientRegister); err != nil {
		return os.NewFile(uintptr(fd), "tcp"), err
	}
	return c.HostCalls.Register(fd)
}

// Read reads at most a random number of bytes, or fails.
func (c faultySocketCalls) Read(fd int, b []byte) (int, error) {
	if err := c.callError(clientRead); err != nil {
		return -1, err
	}
	return c.HostCalls.Read(fd, c.part(b))
}

// Write writes at most a random number of bytes, or fails.
func (c faultySocketCalls) Write(fd int, b []byte) (int, error) {
	if err := c.callError(clientWrite); err != nil {
		return -1, err
	}
	return c.HostCalls.Write(fd, c.part(b))
}

// part returns b, or in some cases the first bytes of it.
func (c faultySocketCalls) part(b []byte) []byte {
	if len(b) > 1 && c.occurs(splitWriteShare) {
		return b[:1+c.randomBelow(len(b)-1)]
	}
	return b
}

// Peek looks at a socket, or fails.
func (c faultySocketCalls) Peek(fd int) (int, error) {
	if err := c.callError(clientPeek); err != nil {
		return -1, err
	}
	return c.HostCalls.Peek(fd)
}

// ShutdownWrite shuts down the write side of a socket, or fails.
func (c faultySocketCalls) ShutdownWrite(fd int) error {
	if err := c.callError(clientShutdown); err != nil {
		return err
	}
	return c.HostCalls.ShutdownWrite(fd)
}
