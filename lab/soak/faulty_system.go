package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"orchiddrift/disk"
	"orchiddrift/dispatcher"
)

// The environment variables that set the faults of a dispatcher process.
const (
	// seedEnv holds the seed of the soak run.
	seedEnv = "ORCHIDDRIFT_SOAK_SEED"
	// folderEnv holds the directory in which the process counts its starts.
	folderEnv = "ORCHIDDRIFT_SOAK_FOLDER"
	// clockStepEnv is "no" if the wall clock must not be offset.
	clockStepEnv = "ORCHIDDRIFT_SOAK_STEPS"
)

// RunFaultyDispatcher runs a dispatcher on a host with injected faults. The faults and their times follow from the seed in the
// environment, the name of the dispatcher and the number of its earlier starts.
func RunFaultyDispatcher(getenv func(string) string, logs dispatcher.LogOptions) error {
	start, err := countStart(filepath.Join(getenv(folderEnv), getenv("ROUTER_NAME")+".starts"))
	if err != nil {
		return err
	}
	seed, err := strconv.ParseUint(getenv(seedEnv), 10, 64)
	if err != nil {
		return fmt.Errorf("%s is %q, but must be a non-negative integer", seedEnv, getenv(seedEnv))
	}
	number, _ := strconv.ParseUint(strings.TrimPrefix(getenv("ROUTER_NAME"), "d"), 10, 64)
	injector := newFaultInjector(rand.New(rand.NewPCG(seed, number<<32|uint64(start))), getenv(clockStepEnv) != "no")
	system := dispatcher.HostSystem(getenv)
	system.PanicOnViolation = true
	return dispatcher.RunOn(injector.wrap(system), logs)
}

// countStart returns the number of earlier starts that the file records, and adds one.
func countStart(path string) (int, error) {
	marks, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	return len(marks), os.WriteFile(path, append(marks, '+'), 0o600)
}

// faultInjector holds the faults of a process's host. mu guards random and startFailures.
type faultInjector struct {
	mu            sync.Mutex
	random        *rand.Rand
	startedAt     time.Time
	clockStep     time.Duration // offset of the wall clock
	diskFaults    []faultWindow // writes and syncs fail
	slowWrites    []faultWindow // writes are slow
	dialFaults    []faultWindow // dials fail with a local error
	startFailures int           // number of further calls to open the folder, read the configuration or listen that fail
}

// faultWindow is a period with a fault. Its bounds count from the start of the process.
type faultWindow struct{ from, until time.Duration }

// The frequencies and sizes of the faults.
const (
	// The mean time between two fault windows of a kind and the mean lengths of the windows, in seconds.
	meanFaultInterval, meanDiskFault, meanSlowWrites, meanDialFault = 6.0, 0.7, 0.4, 0.3
	// faultHorizon is the time since the start of the process, in seconds, after which no fault window begins.
	faultHorizon = 60.0
	// maxClockStep is the largest offset of the wall clock in either direction, in seconds.
	maxClockStep = 3600.0
	// startFailureBound is the exclusive upper bound of the number of failures at the start.
	startFailureBound = 3
	// maxWriteDelay is the upper bound of the delay of a slow write.
	maxWriteDelay = 10 * time.Millisecond
	// acceptFaultShare is the share of accepts that fail.
	acceptFaultShare = 0.03
	// dialFaultShare is the share of dials that fail outside of fault windows.
	dialFaultShare = 0.01
	// readFaultShare is the share of reads that fail if no data arrives shortly.
	readFaultShare = 0.01
	// writeFaultShare is the share of writes after whose first bytes the connection breaks.
	writeFaultShare = 0.01
	// slowDialShare is the share of dials that are delayed.
	slowDialShare = 0.03
	// maxDialDelay is the upper bound of the delay of a dial.
	maxDialDelay = 1200 * time.Millisecond
	// maxReadFaultDelay is the upper bound of the time before a read fails.
	maxReadFaultDelay = 20 * time.Millisecond
	// splitWriteShare is the share of writes that are split in two.
	splitWriteShare = 0.1
)

// newFaultInjector draws the faults of a process. If stepClock is true, the wall clock of about half of the processes is offset.
func newFaultInjector(random *rand.Rand, stepClock bool) *faultInjector {
	in := &faultInjector{random: random, startedAt: time.Now(), startFailures: random.IntN(startFailureBound)}
	if stepClock && random.IntN(2) == 0 {
		in.clockStep = time.Duration((2*random.Float64() - 1) * maxClockStep * float64(time.Second))
	}
	drawWindows := func(mean float64) (windows []faultWindow) {
		for at := 0.0; at < faultHorizon; {
			at += meanFaultInterval * random.ExpFloat64()
			from := time.Duration(at * float64(time.Second))
			at += mean * random.ExpFloat64()
			windows = append(windows, faultWindow{from, time.Duration(at * float64(time.Second))})
		}
		return windows
	}
	in.diskFaults, in.slowWrites, in.dialFaults = drawWindows(meanDiskFault), drawWindows(meanSlowWrites), drawWindows(meanDialFault)
	return in
}

// active reports whether the process is in one of the windows now.
func (in *faultInjector) active(windows []faultWindow) bool {
	elapsed := time.Since(in.startedAt)
	for _, window := range windows {
		if elapsed >= window.from && elapsed < window.until {
			return true
		}
	}
	return false
}

// occurs draws whether an event of probability p occurs.
func (in *faultInjector) occurs(p float64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.random.Float64() < p
}

// pickError returns a random one of the errors.
func (in *faultInjector) pickError(errs ...error) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return errs[in.random.IntN(len(errs))]
}

// randomBelow returns a random number in [0, n).
func (in *faultInjector) randomBelow(n int) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.random.IntN(n)
}

// startFault returns an error while startFailures is positive, and counts it down.
func (in *faultInjector) startFault() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.startFailures--; in.startFailures >= 0 {
		return &os.PathError{Op: "open", Path: "soak", Err: syscall.EIO}
	}
	return nil
}

// wrap returns system with the faults of the injector.
func (in *faultInjector) wrap(system dispatcher.System) dispatcher.System {
	host := system
	system.ClockSource.Wall = func() time.Time { return host.ClockSource.Wall().Add(in.clockStep) }
	system.ReadFile = func(path string) ([]byte, error) {
		if err := in.startFault(); err != nil {
			return nil, err
		}
		return host.ReadFile(path)
	}
	system.OpenFolder = func(path string) (dispatcher.StateFolder, error) {
		if err := in.startFault(); err != nil {
			return nil, err
		}
		folder, err := host.OpenFolder(path)
		if err != nil {
			return nil, err
		}
		return faultyFolder{folder, in}, nil
	}
	system.Listen = func(address string) (net.Listener, error) {
		if err := in.startFault(); err != nil {
			return nil, err
		}
		ln, err := host.Listen(address)
		if err != nil {
			return nil, err
		}
		return &faultyListener{ln, in}, nil
	}
	system.Dial = func(address string, within time.Duration) (net.Conn, error) {
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
		conn, err := host.Dial(address, within)
		if err != nil {
			return nil, err
		}
		return &faultyConn{conn.(*net.TCPConn), in}, nil
	}
	return system
}

// faultyFolder is a folder with failing and slow writes.
type faultyFolder struct {
	dispatcher.StateFolder
	*faultInjector
}

// Create creates a file, or fails while the disk fails.
func (f faultyFolder) Create(name string) (disk.File, error) {
	if f.active(f.diskFaults) {
		return nil, f.diskError("open")
	}
	file, err := f.StateFolder.Create(name)
	return faultyFile{file, f.faultInjector}, err
}

// Open opens a file, also while the disk fails.
func (f faultyFolder) Open(name string) (disk.File, error) {
	file, err := f.StateFolder.Open(name)
	return faultyFile{file, f.faultInjector}, err
}

// diskError returns a random error of a failing disk.
func (in *faultInjector) diskError(op string) error {
	return &os.PathError{Op: op, Path: "soak", Err: in.pickError(syscall.EIO, syscall.ENOSPC)}
}

// faultyFile is a file with failing and slow writes.
type faultyFile struct {
	disk.File
	*faultInjector
}

// WriteAt writes b, or only a part of it or nothing while the disk fails.
func (f faultyFile) WriteAt(b []byte, at int64) (int, error) {
	if f.active(f.slowWrites) {
		time.Sleep(time.Duration(f.randomBelow(int(maxWriteDelay))))
	}
	if !f.active(f.diskFaults) {
		return f.File.WriteAt(b, at)
	}
	n := 0
	if f.occurs(0.5) && len(b) > 0 {
		n, _ = f.File.WriteAt(b[:f.randomBelow(len(b))], at)
	}
	return n, f.diskError("write")
}

// Sync syncs the file, or fails while the disk fails.
func (f faultyFile) Sync() error {
	if f.active(f.diskFaults) {
		return f.diskError("sync")
	}
	return f.File.Sync()
}

// faultyListener is a listener of which some accepts fail.
type faultyListener struct {
	net.Listener
	*faultInjector
}

// Accept returns the next connection or a random error.
func (l *faultyListener) Accept() (net.Conn, error) {
	if l.occurs(acceptFaultShare) {
		errno := l.pickError(syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO, syscall.ENETDOWN,
			syscall.EHOSTUNREACH, syscall.EINTR, syscall.EPERM)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// faultyConn is a connection to an endpoint with short reads and split writes. Some reads and writes break it.
type faultyConn struct {
	*net.TCPConn
	*faultInjector
}

// Read reads a random number of bytes, up to len(b), or breaks the connection and returns an error.
func (c *faultyConn) Read(b []byte) (int, error) {
	if c.occurs(readFaultShare) && c.breakIfIdle() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.pickError(syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET))}
	}
	if len(b) > 1 {
		b = b[:1+c.randomBelow(len(b)-1)]
	}
	return c.TCPConn.Read(b)
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
		return c.TCPConn.Write(b)
	}
	first := 1 + c.randomBelow(len(b)-1)
	n, err := c.TCPConn.Write(b[:first])
	if err != nil {
		return n, err
	}
	time.Sleep(time.Millisecond)
	rest, err := c.TCPConn.Write(b[first:])
	return n + rest, err
}
