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

	"orchiddrift/dispatcher"
	"orchiddrift/sock"
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
	injector.aimAtStop()
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

// faultInjector holds the faults of a process's host. mu guards random, startFailures and callWindows.
type faultInjector struct {
	mu            sync.Mutex
	random        *rand.Rand
	startedAt     time.Time
	clockStep     time.Duration // offset of the wall clock
	diskFaults    []faultWindow // writes and syncs fail
	slowWrites    []faultWindow // writes are slow
	dialFaults    []faultWindow // dials fail with a local error
	startFailures int           // number of further calls to open the folder, read the configuration or listen that fail
	callWindows   []callWindow  // single calls fail
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
	in.drawCallWindows()
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
	system.ClockSource.BootID = func() (string, error) {
		if err := in.callError(bootIDRead); err != nil {
			return "", err
		}
		return host.ClockSource.BootID()
	}
	system.ClockSource.SinceBoot = func() (time.Duration, error) {
		if err := in.callError(uptimeRead); err != nil {
			return 0, err
		}
		return host.ClockSource.SinceBoot()
	}
	system.ReadFile = func(path string) ([]byte, error) {
		if err := errors.Join(in.startFault(), in.callError(configRead)); err != nil {
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
		return sock.Listen(address, faultySocketCalls{faultInjector: in})
	}
	system.Dial = func(address string, within time.Duration) (net.Conn, error) {
		return in.dialEndpoint(host.Dial, address, within)
	}
	system.DialAgent = func(address string, within time.Duration) (net.Conn, error) {
		if err := in.callError(agentDial); err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
		}
		conn, err := host.DialAgent(address, within)
		if err != nil {
			return nil, err
		}
		return &failingCallsConn{conn.(*net.TCPConn), in, agentRead, agentWrite}, nil
	}
	return system
}
