// Package fleet starts real dispatcher processes on loopback, stalls, kills and restarts them as a scenario specifies, and
// measures the resources that they use. It terminates every process that it started.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"orchiddrift/lab/loop"
	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

// Command is the command line that starts a dispatcher. The ROUTER_ variables are added to its environment.
type Command struct {
	Path       string
	Args       []string
	Env        []string
	CPUProfile bool // each dispatcher writes a CPU profile beside its log
}

// Fleet runs all dispatchers of a run.
type Fleet struct {
	world       *scenario.World
	journal     *record.Journal
	clock       *loop.Clock
	network     loop.Network
	initialList any // the list of endpoints at the start of the run, in the platform's form
	command     Command
	dir         string // for configurations, logs and profiles
	processes   []*process
	running     sync.WaitGroup // goroutines that watch processes, inject faults and sample usage
	launchMu    sync.Mutex     // held while a process is launched
	stopped     bool           // Stop was called: no process is launched any more; guarded by launchMu
}

// errStopped reports that a process is not launched because Stop was called.
var errStopped = errors.New("the fleet is stopped")

// process is the state of one dispatcher and of its current operating-system process. mu guards the fields below it.
type process struct {
	index         int
	stateDir      string
	faultMu       sync.Mutex // held while a trouble acts on the dispatcher, so that only moves of its agent overlap with others
	mu            sync.Mutex
	cmd           *exec.Cmd
	startedAt     time.Time     // of the current process
	ready         bool          // the current process has answered that it is ready
	stopRequested bool          // SIGTERM or SIGKILL was sent to the current process
	exited        chan struct{} // closed when the current process has exited; nil before the first start
	usage         Usage
	cpuSeconds    float64 // CPU time of the current process at the last sample
	cpuAtReady    float64 // CPU time of the current process when it became ready
	limitExceeded [2]bool // for memory and disk: a violation of the limit has been recorded
}

const (
	readyTimeout   = 10 * time.Second
	stopTimeout    = 3700 * time.Millisecond // from SIGTERM to SIGKILL, as on the platform
	sampleInterval = 100 * time.Millisecond  // between two samples of resource usage
)

// StateDir returns the lasting folder of a dispatcher in the folder of a run.
func StateDir(dir string, dispatcher int) string {
	return filepath.Join(dir, fmt.Sprintf("d%d.state", dispatcher))
}

// Start writes the dispatchers' configurations into dir and starts them all. It returns once all are ready, or with an
// error once each is ready or has failed. The fleet is returned with an error too: the caller stops it.
func Start(ctx context.Context, world *scenario.World, journal *record.Journal, clock *loop.Clock, network loop.Network,
	initialList any, command Command, dir, stateDir string) (*Fleet, error) {
	f := &Fleet{world: world, journal: journal, clock: clock, network: network, initialList: initialList, command: command, dir: dir}
	for i := range world.Dispatchers.Count {
		p := &process{index: i, stateDir: StateDir(stateDir, i)}
		f.processes = append(f.processes, p)
		if err := errors.Join(f.writeConfig(i, network.AgentAddr(i)), os.MkdirAll(p.stateDir, 0o700)); err != nil {
			return f, err
		}
	}
	errs := make(chan error, len(f.processes))
	for _, p := range f.processes {
		go func() { errs <- f.start(ctx, p) }()
	}
	var err error
	for range f.processes {
		err = errors.Join(err, <-errs)
	}
	return f, err
}

// writeConfig writes a dispatcher's configuration. It replaces an existing file atomically.
func (f *Fleet) writeConfig(i int, agentAddr string) error {
	d := f.world.Dispatchers
	text, err := json.Marshal(map[string]any{"name": fmt.Sprintf("d%d", i), "listen": f.network.DispatcherAddr(i),
		"discovery": agentAddr, "seed": fmt.Sprintf("%x", f.world.Seed*1000+uint64(i)), "known": f.initialList,
		"limits":   map[string]any{"cores": d.Cores, "memory_mb": d.MemoryMB, "sockets": d.Sockets, "disk_mb": d.DiskMB},
		"settings": settings(f.world)})
	if err != nil {
		return err
	}
	tempPath := f.configPath(i) + ".next"
	return errors.Join(os.WriteFile(tempPath, text, 0o600), os.Rename(tempPath, f.configPath(i)))
}

// configPath returns the path of a dispatcher's configuration.
func (f *Fleet) configPath(i int) string { return filepath.Join(f.dir, fmt.Sprintf("d%d.json", i)) }

// LogPath returns the path of a dispatcher's log.
func (f *Fleet) LogPath(i int) string { return filepath.Join(f.dir, LogName(i)) }

// LogName returns the file name of a dispatcher's log.
func LogName(i int) string { return fmt.Sprintf("d%d.log", i) }

// start launches a dispatcher and waits until it is ready.
func (f *Fleet) start(ctx context.Context, p *process) error {
	cmd, exited, err := f.launch(p)
	if err != nil {
		return err
	}
	return f.waitReady(ctx, p, cmd, exited)
}

// launch starts a dispatcher's process, unless the fleet is stopped. The returned channel is closed when the process has exited.
func (f *Fleet) launch(p *process) (*exec.Cmd, chan struct{}, error) {
	f.launchMu.Lock()
	defer f.launchMu.Unlock()
	if f.stopped {
		return nil, nil, errStopped
	}
	log, err := os.OpenFile(f.LogPath(p.index), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	defer log.Close()
	args := slices.Clone(f.command.Args)
	if f.command.CPUProfile {
		args = append(args, "--cpuprofile", filepath.Join(f.dir, fmt.Sprintf("d%d.pprof", p.index)))
	}
	cmd := exec.Command(f.command.Path, args...)
	cmd.Env = append(append(os.Environ(), f.command.Env...), "ROUTER_CONFIG="+f.configPath(p.index), "ROUTER_STATE="+p.stateDir,
		fmt.Sprintf("ROUTER_NAME=d%d", p.index), "ROUTER_LISTEN="+f.network.DispatcherAddr(p.index),
		"ROUTER_DISCOVERY="+f.network.AgentAddr(p.index))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // the terminal's SIGINT must not reach it: Stop terminates it
	if err := cmd.Start(); err != nil {
		return nil, nil, fmt.Errorf("dispatcher %d: %w", p.index, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.stopRequested, p.exited, p.cpuSeconds, p.cpuAtReady, p.startedAt, p.ready = cmd, false, exited, 0, 0, time.Now(), false
	p.mu.Unlock()
	f.recordEvent(p, record.Started, "")
	f.running.Go(func() { f.waitExit(p, cmd, exited) })
	return cmd, exited, nil
}

// waitReady waits until a launched dispatcher is ready. It returns an error if the process exits first or readyTimeout
// passes.
func (f *Fleet) waitReady(ctx context.Context, p *process, cmd *exec.Cmd, exited chan struct{}) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for start := time.Now(); time.Since(start) < readyTimeout && ctx.Err() == nil; {
		resp, err := client.Get("http://" + f.network.DispatcherAddr(p.index) + "/_health")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.markReady(p, cmd)
				return nil
			}
		}
		select {
		case <-exited:
			return fmt.Errorf("dispatcher %d ended before it was ready: see its log %s", p.index, f.LogPath(p.index))
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("dispatcher %d was not ready within %v: see its log %s", p.index, readyTimeout, f.LogPath(p.index))
}

// markReady records that a process is ready and what it uses then, unless it has been stopped or replaced meanwhile.
func (f *Fleet) markReady(p *process, cmd *exec.Cmd) {
	p.mu.Lock()
	if p.cmd != cmd || p.stopRequested {
		p.mu.Unlock()
		return
	}
	p.ready = true
	f.recordEvent(p, record.Ready, "")
	p.mu.Unlock()
	f.sampleUsage(p, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage.IdleBytes = max(p.usage.IdleBytes, p.usage.PeakBytes)
	p.cpuAtReady = p.cpuSeconds
}

// waitExit waits for a process to exit, and records its CPU time and whether it exited unexpectedly.
func (f *Fleet) waitExit(p *process, cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	stopRequested := p.stopRequested
	p.usage.CPUSeconds += (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds() - p.cpuAtReady
	p.cpuSeconds, p.cpuAtReady = 0, 0
	p.mu.Unlock()
	if stopRequested {
		f.recordEvent(p, record.Exited, "")
	} else {
		f.recordEvent(p, record.Crashed, fmt.Sprint("exited unexpectedly: ", cmd.ProcessState, waitErrorText(err)))
	}
	close(exited)
}

// stoppedOrReplaced reports whether a process was asked to stop or is no longer the dispatcher's current one.
func (f *Fleet) stoppedOrReplaced(p *process, cmd *exec.Cmd) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != cmd || p.stopRequested
}

// waitErrorText returns a suffix for an error of waiting for a process. It is empty for an exit status, which the
// process state already states.
func waitErrorText(err error) string {
	var exit *exec.ExitError
	if err == nil || errors.As(err, &exit) {
		return ""
	}
	return ": " + err.Error()
}

// recordEvent adds an event of a dispatcher's process to the journal.
func (f *Fleet) recordEvent(p *process, event, detail string) {
	f.journal.AddProcessEvent(record.ProcessEvent{Dispatcher: p.index, At: f.clock.Now(), Kind: event, Detail: detail})
}

// signal sends a signal to a dispatcher's current process, if any. stop marks the process as asked to stop, so that its
// exit does not count as a crash.
func (f *Fleet) signal(p *process, s os.Signal, stop bool) {
	p.mu.Lock()
	cmd := p.cmd
	p.stopRequested = p.stopRequested || stop
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(s) // fails only if the process has exited already
	}
}

// kill sends SIGKILL to a dispatcher's process and records it.
func (f *Fleet) kill(p *process) {
	f.signal(p, syscall.SIGKILL, true)
	f.recordEvent(p, record.Killed, "")
}

// terminate sends SIGTERM to a dispatcher's process and records it.
func (f *Fleet) terminate(p *process) {
	f.signal(p, syscall.SIGTERM, true)
	f.recordEvent(p, record.TerminateSent, "")
}

// InjectFaults starts to carry out the troubles of dispatchers, and to sample their resource usage, until ctx is done.
// It does not wait for either.
func (f *Fleet) InjectFaults(ctx context.Context) {
	for _, t := range f.world.Troubles {
		for _, p := range f.processes {
			if t.AffectsDispatchers() && t.Kind != scenario.ListDown && t.Kind != scenario.ListSlow && t.AppliesToDispatcher(p.index) {
				f.running.Go(func() { f.injectFault(ctx, p, t) })
			}
		}
	}
	f.running.Go(func() {
		for ctx.Err() == nil {
			f.sampleAll()
			sleep(ctx, sampleInterval)
		}
	})
}

// injectFault waits for the time of a trouble and carries it out on one dispatcher.
func (f *Fleet) injectFault(ctx context.Context, p *process, t scenario.Trouble) {
	if !sleep(ctx, f.clock.Until(t.At)) {
		return
	}
	if t.Kind == scenario.MoveAgent { // without faultMu: the agent moves at this time whatever else happens to the dispatcher
		f.moveAgent(ctx, p)
		return
	}
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	switch t.Kind {
	case scenario.Stall:
		f.stall(ctx, p, t.Duration)
		return
	case scenario.SignalSeries:
		f.injectSeries(ctx, p, t)
		return
	case scenario.Kill:
		f.kill(p)
	case scenario.Restart:
		f.terminate(p)
		f.waitStopped(p)
	}
	if !sleep(ctx, secondsToDuration(t.Wait)) {
		return
	}
	f.waitStopped(p)
	if err := f.start(ctx, p); err != nil && ctx.Err() == nil && !errors.Is(err, errStopped) {
		f.recordEvent(p, record.Crashed, err.Error())
	}
}

// quietStart is the time after a start in which the platform sends no SIGHUP, which it never does before the process is ready.
const quietStart = time.Second

// hangUp sends SIGHUP to a dispatcher's current process, and reports whether it did: not in its quietStart, nor before it is ready. A
// new process that has not installed its signal handlers would be terminated by it.
func (f *Fleet) hangUp(p *process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready || time.Since(p.startedAt) < quietStart {
		return false
	}
	_ = p.cmd.Process.Signal(syscall.SIGHUP) // fails only if the process has exited already
	return true
}

// moveAgent announces the agent's new address to a dispatcher by a new configuration and SIGHUP. Because the
// configuration is replaced atomically, a process that starts meanwhile reads a complete one.
func (f *Fleet) moveAgent(ctx context.Context, p *process) {
	if err := f.writeConfig(p.index, f.network.MovedAgentAddr(p.index)); err != nil {
		f.recordEvent(p, record.Crashed, err.Error())
	}
	const retryInterval = 100 * time.Millisecond
	for !f.hangUp(p) {
		if !sleep(ctx, retryInterval) {
			return
		}
	}
}

// waitStopped waits until a process that was asked to stop has exited, and kills it after stopTimeout.
func (f *Fleet) waitStopped(p *process) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		f.kill(p)
		<-exited
	}
}

// Stop terminates all dispatchers, kills those that do not exit within stopTimeout, and waits for the fleet's
// goroutines. It resumes stalled processes first, since those would not handle SIGTERM. A process launched after that
// would never be told to end.
func (f *Fleet) Stop() {
	f.launchMu.Lock()
	f.stopped = true
	f.launchMu.Unlock()
	for _, p := range f.processes {
		f.signal(p, syscall.SIGCONT, false)
		f.signal(p, syscall.SIGTERM, true)
	}
	for _, p := range f.processes {
		f.waitStopped(p)
	}
	f.running.Wait()
}

// sleep waits for d and reports whether it passed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// secondsToDuration converts seconds to a time.Duration.
func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
