// Package fleet starts real dispatcher processes on loopback, kills and restarts them as a scenario says, and reads what
// they use. Every process it starts it ends.
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

	"github.com/prometheus/procfs"

	"orchiddrift/lab/loop"
	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

// Command starts a dispatcher; the ROUTER_ variables are added.
type Command struct {
	Path       string
	Args       []string
	Env        []string
	CPUProfile bool // a CPU profile of each goes beside its log
}

// Usage is what a dispatcher's processes used.
type Usage struct {
	CPUSeconds      float64 `json:"cpu_s"`       // seconds, over the load
	PeakBytes       int     `json:"peak_bytes"`  // resident memory
	IdleBytes       int     `json:"rest_bytes"`  // resident once ready
	PeakDescriptors int     `json:"descriptors"` // most
	PeakDiskBytes   int     `json:"disk_bytes"`  // most that its folder held, in whole blocks
}

// Fleet is all dispatchers of a run.
type Fleet struct {
	world   *scenario.World
	journal *record.Journal
	clock   *loop.Clock
	network loop.Network
	known   any // the list, in the platform's form
	command Command
	dir     string
	all     []*process
	done    sync.WaitGroup
}

type process struct {
	number int
	state  string
	turn   sync.Mutex // one trouble at a time
	lock   sync.Mutex
	cmd    *exec.Cmd
	begun  time.Time // its present process
	asked  bool      // to end
	ended  chan struct{}
	usage  Usage
	cpu    float64 // of the present process, read last
	spare  float64 // what it had used when it was ready
	over   [2]bool // a limit was passed and noted: memory, disk
}

const (
	readyIn = 10 * time.Second
	endIn   = 3700 * time.Millisecond // from SIGTERM to SIGKILL, as on the platform
	sample  = 200 * time.Millisecond
)

// Start writes each dispatcher's configuration into dir and starts them all; it returns once all are ready.
func Start(ctx context.Context, w *scenario.World, j *record.Journal, clock *loop.Clock, network loop.Network,
	known any, command Command, dir, state string) (*Fleet, error) {
	f := &Fleet{world: w, journal: j, clock: clock, network: network, known: known, command: command, dir: dir}
	for i := range w.Dispatchers.Count {
		p := &process{number: i, state: filepath.Join(state, fmt.Sprintf("d%d.state", i))}
		f.all = append(f.all, p)
		if err := errors.Join(f.configure(i, network.AgentAddr(i)), os.MkdirAll(p.state, 0o700)); err != nil {
			return f, err
		}
	}
	errs := make(chan error, len(f.all))
	for _, p := range f.all {
		go func() { errs <- f.start(ctx, p) }()
	}
	var err error
	for range f.all {
		err = errors.Join(err, <-errs)
	}
	return f, err
}

// configure writes a dispatcher's configuration.
func (f *Fleet) configure(i int, discovery string) error {
	d := f.world.Dispatchers
	text, err := json.Marshal(map[string]any{"name": fmt.Sprintf("d%d", i), "listen": f.network.DispatcherAddr(i),
		"discovery": discovery, "seed": fmt.Sprintf("%x", f.world.Seed*1000+uint64(i)), "known": f.known,
		"limits":   map[string]any{"cores": d.Cores, "memory_mb": d.MemoryMB, "sockets": d.Sockets, "disk_mb": d.DiskMB},
		"settings": settings(f.world)})
	if err != nil {
		return err
	}
	next := f.config(i) + ".next"
	return errors.Join(os.WriteFile(next, text, 0o600), os.Rename(next, f.config(i)))
}

func (f *Fleet) config(i int) string { return filepath.Join(f.dir, fmt.Sprintf("d%d.json", i)) }

// LogPath is where a dispatcher's log goes.
func (f *Fleet) LogPath(i int) string { return filepath.Join(f.dir, fmt.Sprintf("d%d.log", i)) }

// start starts a dispatcher and waits until it is ready.
func (f *Fleet) start(ctx context.Context, p *process) error {
	cmd, ended, err := f.launch(p)
	if err != nil {
		return err
	}
	return f.awaitReady(ctx, p, cmd, ended)
}

// launch starts a dispatcher.
func (f *Fleet) launch(p *process) (*exec.Cmd, chan struct{}, error) {
	log, err := os.OpenFile(f.LogPath(p.number), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	defer log.Close()
	args := slices.Clone(f.command.Args)
	if f.command.CPUProfile {
		args = append(args, "--cpuprofile", filepath.Join(f.dir, fmt.Sprintf("d%d.pprof", p.number)))
	}
	cmd := exec.Command(f.command.Path, args...)
	cmd.Env = append(append(os.Environ(), f.command.Env...), "ROUTER_CONFIG="+f.config(p.number), "ROUTER_STATE="+p.state,
		fmt.Sprintf("ROUTER_NAME=d%d", p.number), "ROUTER_LISTEN="+f.network.DispatcherAddr(p.number),
		"ROUTER_DISCOVERY="+f.network.AgentAddr(p.number))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // Ctrl-C is ours: we end it in order
	if err := cmd.Start(); err != nil {
		return nil, nil, fmt.Errorf("dispatcher %d: %w", p.number, err)
	}
	ended := make(chan struct{})
	p.lock.Lock()
	p.cmd, p.asked, p.ended, p.cpu, p.spare, p.begun = cmd, false, ended, 0, 0, time.Now()
	p.lock.Unlock()
	f.life(p, record.Started, "")
	f.done.Go(func() { f.await(p, cmd, ended) })
	return cmd, ended, nil
}

// awaitReady waits until a dispatcher that was started is ready. One that was told to end meanwhile is none.
func (f *Fleet) awaitReady(ctx context.Context, p *process, cmd *exec.Cmd, ended chan struct{}) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for begun := time.Now(); time.Since(begun) < readyIn && ctx.Err() == nil; {
		resp, err := client.Get("http://" + f.network.DispatcherAddr(p.number) + "/_health")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.ready(p, cmd)
				return nil
			}
		}
		select {
		case <-ended:
			return fmt.Errorf("dispatcher %d ended before it was ready: its log is %s", p.number, f.LogPath(p.number))
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("dispatcher %d was not ready in %v: its log is %s", p.number, readyIn, f.LogPath(p.number))
}

// ready notes that a process is ready, unless it was told to end meanwhile.
func (f *Fleet) ready(p *process, cmd *exec.Cmd) {
	p.lock.Lock()
	if p.cmd != cmd || p.asked {
		p.lock.Unlock()
		return
	}
	f.life(p, record.Ready, "")
	p.lock.Unlock()
	f.read(p)
	p.lock.Lock()
	defer p.lock.Unlock()
	p.usage.IdleBytes = max(p.usage.IdleBytes, p.usage.PeakBytes)
	p.spare = p.cpu
}

// await notes how a process ended.
func (f *Fleet) await(p *process, cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.lock.Lock()
	asked := p.asked
	p.usage.CPUSeconds += (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds() - p.spare
	p.cpu, p.spare = 0, 0
	p.lock.Unlock()
	if asked {
		f.life(p, record.Exited, "")
	} else {
		f.life(p, record.Crashed, fmt.Sprint("it ended with ", cmd.ProcessState, errorText(err)))
	}
	close(ended)
}

// asked tells that a process was told to end, or has been followed by another.
func (f *Fleet) asked(p *process, cmd *exec.Cmd) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.cmd != cmd || p.asked
}

func errorText(err error) string {
	var exit *exec.ExitError
	if err == nil || errors.As(err, &exit) {
		return ""
	}
	return ": " + err.Error()
}

func (f *Fleet) life(p *process, what, text string) {
	f.journal.AddProcessEvent(record.ProcessEvent{Dispatcher: p.number, At: f.clock.Now(), Kind: what, Detail: text})
}

// signal sends a signal to a dispatcher's process if it stands.
func (f *Fleet) signal(p *process, s os.Signal, asks bool) {
	p.lock.Lock()
	cmd := p.cmd
	p.asked = p.asked || asks
	p.lock.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(s) // one that has ended already is as good
	}
}

// kill kills a dispatcher's process outright, and notes it.
func (f *Fleet) kill(p *process) {
	f.signal(p, syscall.SIGKILL, true)
	f.life(p, record.Killed, "")
}

// term tells a dispatcher's process to end, and notes it.
func (f *Fleet) term(p *process) {
	f.signal(p, syscall.SIGTERM, true)
	f.life(p, record.TerminateSent, "")
}

// InjectFaults carries out the dispatchers' troubles until the run is over.
func (f *Fleet) InjectFaults(ctx context.Context) {
	for _, t := range f.world.Troubles {
		for _, p := range f.all {
			if t.AffectsDispatchers() && t.Kind != scenario.ListDown && t.Kind != scenario.ListSlow && t.AppliesToDispatcher(p.number) {
				f.done.Go(func() { f.trouble(ctx, p, t) })
			}
		}
	}
	f.done.Go(func() {
		for ctx.Err() == nil {
			for _, p := range f.all {
				f.read(p)
			}
			pause(ctx, sample)
		}
	})
}

func (f *Fleet) trouble(ctx context.Context, p *process, t scenario.Trouble) {
	if !pause(ctx, f.clock.Until(t.At)) {
		return
	}
	if t.Kind == scenario.MoveAgent { // whatever else goes on: the agent has moved
		f.move(ctx, p)
		return
	}
	p.turn.Lock()
	defer p.turn.Unlock()
	switch t.Kind {
	case scenario.Stall:
		f.stall(ctx, p, t.Duration)
		return
	case scenario.SignalSeries:
		f.series(ctx, p, t)
		return
	case scenario.Kill:
		f.kill(p)
	case scenario.Restart:
		f.term(p)
		f.ending(p)
	}
	if !pause(ctx, seconds(t.Wait)) {
		return
	}
	f.ending(p)
	if err := f.start(ctx, p); err != nil && ctx.Err() == nil {
		f.life(p, record.Crashed, err.Error())
	}
}

// handlersIn is how long a process may take until SIGHUP no longer ends it.
const handlersIn = 300 * time.Millisecond

// move tells a dispatcher that its agent has moved, by a new configuration and SIGHUP. A process that starts meanwhile reads the new
// configuration, whole: it takes the place of the old one at once.
func (f *Fleet) move(ctx context.Context, p *process) {
	if err := f.configure(p.number, f.network.MovedAgentAddr(p.number)); err != nil {
		f.life(p, record.Crashed, err.Error())
	}
	for {
		p.lock.Lock()
		young := time.Since(p.begun) < handlersIn
		p.lock.Unlock()
		if !young {
			break
		}
		if !pause(ctx, handlersIn) {
			return
		}
	}
	f.signal(p, syscall.SIGHUP, false)
}

// ending waits for a process that was told to end, and kills it where it does not in time.
func (f *Fleet) ending(p *process) {
	p.lock.Lock()
	ended := p.ended
	p.lock.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(endIn):
		f.signal(p, syscall.SIGKILL, true)
		<-ended
	}
}

// Stop tells all to end, and ends those that do not.
func (f *Fleet) Stop() {
	for _, p := range f.all {
		f.signal(p, syscall.SIGCONT, false)
		f.signal(p, syscall.SIGTERM, true)
	}
	for _, p := range f.all {
		f.ending(p)
	}
	f.done.Wait()
}

// read takes a sample of what a dispatcher uses, and notes where that is over its limits.
func (f *Fleet) read(p *process) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.cmd == nil {
		return
	}
	u := &p.usage
	if proc, err := procfs.NewProc(p.cmd.Process.Pid); err == nil {
		if stat, err := proc.Stat(); err == nil {
			p.cpu = stat.CPUTime()
			u.PeakBytes = max(u.PeakBytes, stat.ResidentMemory())
		}
		if n, err := proc.FileDescriptorsLen(); err == nil {
			u.PeakDescriptors = max(u.PeakDescriptors, n)
		}
	}
	held := 0
	files, _ := os.ReadDir(p.state) // one that cannot be read holds nothing
	for _, file := range files {
		if info, err := file.Info(); err == nil {
			const block = 512
			held += int(info.Size()+block-1) / block * block
		}
	}
	u.PeakDiskBytes = max(u.PeakDiskBytes, held)
	for i, x := range []struct {
		what string
		used int
		most float64
	}{{"memory", u.PeakBytes, f.world.Dispatchers.MemoryMB}, {"disk", u.PeakDiskBytes, f.world.Dispatchers.DiskMB}} {
		if float64(x.used) > x.most*1e6 && !p.over[i] {
			p.over[i] = true
			f.life(p, record.LimitExceeded, fmt.Sprintf("%s: %d bytes, where %.0f MB are its limit", x.what, x.used, x.most))
		}
	}
}

// Usage tells what each dispatcher used since the load began.
func (f *Fleet) Usage() []Usage {
	var list []Usage
	for _, p := range f.all {
		p.lock.Lock()
		u := p.usage
		u.CPUSeconds += p.cpu - p.spare
		list = append(list, u)
		p.lock.Unlock()
	}
	return list
}

// pause waits; it tells whether the run still goes on.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
