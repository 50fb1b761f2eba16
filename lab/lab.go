// Package lab runs scenarios: it starts real dispatcher processes with simulated partners, platform agents and clients, all on
// loopback, checks the delivery rules and computes the figures of the run. It imports the product; the product never imports it.
package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"orchiddrift/lab/agent"
	"orchiddrift/lab/content"
	"orchiddrift/lab/crowd"
	"orchiddrift/lab/fleet"
	"orchiddrift/lab/load"
	"orchiddrift/lab/loop"
	"orchiddrift/lab/partner"
	"orchiddrift/lab/record"
	"orchiddrift/lab/report"
	"orchiddrift/lab/rules"
	"orchiddrift/lab/scenario"
)

// Options configures a run.
type Options struct {
	Command         fleet.Command           // starts a dispatcher
	Direct          bool                    // call the partners directly, without dispatchers
	StateDir        string                  // parent of the dispatchers' state directories; "" for the temporary directory
	KeepDir         string                  // directory for configurations, logs and the journal; "" to discard them
	Network         loop.Network            // 0 picks a free one
	Progress        func(Progress)          // called about once per second; may be nil
	ResponseEncoder partner.ResponseEncoder // encodes the endpoints' answers; nil: with a Content-Length
	Hooks           Hooks                   // may be nil
}

// Hooks lets a caller act during a run.
type Hooks interface {
	// BeforeLoad is called when partners, agents and dispatchers are running and before the load starts. It gets the
	// clients' balancer and returns the one that they use instead.
	BeforeLoad(ctx context.Context, network loop.Network, journal *record.Journal, clock *loop.Clock, balancer load.Balancer) (load.Balancer, error)
	// AfterLoad is called when the load is over and the run needs no more final answers, while the dispatchers still run.
	AfterLoad()
}

// Progress is the state of a run in progress.
type Progress struct {
	At, Length        float64 // time since the start and duration of the load, in seconds
	HandedIn, Planned int     // notifications of the load plan
	Calls, Notices    int     // received by the endpoints and by the agents
	LoadDone          bool    // the load is over, and the run waits for final answers
}

const (
	pollInterval     = 100 * time.Millisecond
	progressInterval = time.Second
	// finalAnswerMargin, in seconds, is the time from the last TTL to the end of the run. It is longer than the time after the TTL
	// in which a final answer is still in time, so that rules.Lost can be checked for all notifications.
	finalAnswerMargin = 0.4
)

// Run runs a scenario and returns its result and journal. If ctx is cancelled, the result covers the run until then and is marked
// as interrupted.
func Run(ctx context.Context, s *scenario.Scenario, options Options) (*report.Result, *record.Journal, error) {
	world := scenario.NewWorld(s)
	journal, clock := &record.Journal{}, &loop.Clock{}
	dir, err := makeDir(options.KeepDir)
	if err != nil {
		return nil, nil, err
	}
	if options.KeepDir == "" {
		defer os.RemoveAll(dir)
	}
	stateDir, err := os.MkdirTemp(options.StateDir, "orchiddrift-state-")
	if err != nil {
		return nil, nil, fmt.Errorf("--state: %w", err)
	}
	defer os.RemoveAll(stateDir)
	network := options.Network
	if network == 0 {
		var release func()
		if network, release, err = loop.AcquireNetwork(); err != nil {
			return nil, nil, err
		}
		defer release()
	}
	partners, err := partner.Start(world, journal, clock, network, options.ResponseEncoder)
	if err != nil {
		return nil, nil, err
	}
	defer partners.Close()
	agents, err := agent.Start(world, journal, clock, network, partners.Addr)
	if err != nil {
		return nil, nil, err
	}
	defer agents.Close()

	clients := &load.Generator{World: world, Journal: journal, Clock: clock, Arrivals: world.Arrivals(), Balancer: load.NewRoundRobin(world, network, clock),
		Content: &content.Source{Seed: world.Seed, Size: s.Load.BodyBytes, Plain: s.Load.ClosedLoop > 0}}
	for i := range s.Dispatchers.Count {
		clients.Content.Folders = append(clients.Content.Folders, fleet.StateDir(stateDir, i))
	}
	var dispatchers *fleet.Fleet
	if options.Direct {
		clients.Balancer = &load.Direct{World: world, Addr: partners.Addr}
	} else {
		dispatchers, err = fleet.Start(ctx, world, journal, clock, network, agents.InitialList(), options.Command, dir, stateDir)
		if err != nil {
			dispatchers.Stop()
			return nil, nil, err
		}
	}
	runCtx, endRun := context.WithCancel(ctx)
	defer endRun()
	clock.Start()
	if dispatchers != nil {
		dispatchers.InjectFaults(runCtx)
	}
	go busyDisk(runCtx, world, clock, stateDir)
	if options.Hooks != nil {
		if clients.Balancer, err = options.Hooks.BeforeLoad(runCtx, network, journal, clock, clients.Balancer); err != nil {
			dispatchers.Stop()
			return nil, nil, err
		}
	}
	crowds := &crowd.Crowd{World: world, Journal: journal, Clock: clock, Addr: network.DispatcherAddr}
	if dispatchers != nil {
		crowds.Start(runCtx)
	}
	loadDone := make(chan struct{})
	go func() {
		clients.Run(runCtx)
		close(loadDone)
	}()
	awaitEnd(ctx, world, journal, clock, clients, loadDone, options)
	endedAt := clock.Now()
	if options.Hooks != nil {
		options.Hooks.AfterLoad()
	}
	endRun()
	<-loadDone
	neglected := crowds.Wait()
	var usage []fleet.Usage
	if dispatchers != nil {
		usage = dispatchers.Usage()
		dispatchers.Stop()
	}

	var result *report.Result
	journal.WithLock(func() {
		result = report.New(report.RunData{World: world, Journal: journal, EndedAt: endedAt, HandedIn: clients.Submitted(), Planned: clients.Planned(),
			Lateness: clients.Lateness(), Usage: usage})
		if !options.Direct {
			verdict := rules.CheckAll(world, journal, endedAt)
			result.Violations, result.ExcusedEnds, result.Recoveries = verdict.Violations, verdict.ExcusedEnds, verdict.Recoveries
		}
	})
	result.NeglectedClients = neglected
	result.Direct, result.Interrupted = options.Direct, ctx.Err() != nil
	if lateness := result.Lateness.P99; s.Load.ClosedLoop == 0 && lateness > s.Load.MaxLateness {
		result.VoidReason = fmt.Sprintf("load generator was late by %.0f ms at p99, more than the %.0f ms allowed: lower load.rate or free CPU cores",
			lateness*1e3, s.Load.MaxLateness*1e3)
	}
	result.Overloads = explainOverloads(dir, result.Violations)
	if options.KeepDir != "" {
		err = writeJournal(journal, filepath.Join(dir, "journal.jsonl"))
	}
	return result, journal, err
}

// awaitEnd returns when the load is over and all accepted notifications have their final answer, or when the time in which
// they could get one has passed. It reports progress meanwhile.
func awaitEnd(ctx context.Context, world *scenario.World, journal *record.Journal, clock *loop.Clock, clients *load.Generator,
	loadDone <-chan struct{}, options Options) {
	maxTTL := 0.0
	for _, t := range world.Topics {
		maxTTL = max(maxTTL, t.TTL)
	}
	loadOver := false
	for lastProgress := time.Now(); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
		select {
		case <-loadDone:
			loadOver = true
		default:
		}
		if loadOver && (options.Direct || clock.Now() > world.Length+maxTTL+finalAnswerMargin || report.CountOwed(journal) == 0 && clock.Now() >= world.Length) {
			return
		}
		if options.Progress != nil && time.Since(lastProgress) >= progressInterval {
			lastProgress = time.Now()
			p := Progress{At: clock.Now(), Length: world.Length, HandedIn: clients.Submitted(), Planned: clients.Planned(), LoadDone: loadOver}
			journal.WithLock(func() { p.Calls, p.Notices = len(journal.Calls), len(journal.Notices) })
			options.Progress(p)
		}
	}
}

// makeDir creates the directory for configurations and logs, a temporary one if no path is given.
func makeDir(path string) (string, error) {
	if path == "" {
		return os.MkdirTemp("", "orchiddrift-lab-")
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return "", fmt.Errorf("--keep: %w", err)
	}
	return path, nil
}

// writeJournal writes the journal to a file.
func writeJournal(j *record.Journal, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(j.Write(f), f.Close())
}

// busyDisk writes files to the disk of the dispatchers' state directories and syncs them, during each busy-disk trouble.
func busyDisk(ctx context.Context, world *scenario.World, clock *loop.Clock, dir string) {
	const fileSize, blockSize = 32 << 20, 1 << 20
	if !slices.ContainsFunc(world.Troubles, func(t scenario.Trouble) bool { return t.Kind == scenario.BusyDisk }) {
		return // saves the random data below
	}
	data := make([]byte, blockSize)
	rng := rand.New(rand.NewPCG(world.Seed, 0))
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	for _, t := range world.Troubles {
		if t.Kind != scenario.BusyDisk {
			continue
		}
		select {
		case <-time.After(clock.Until(t.At)):
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil && clock.Now() < t.End() {
			f, err := os.CreateTemp(dir, "busy-")
			if err != nil {
				return
			}
			for n := 0; n < fileSize && err == nil; n += blockSize {
				_, err = f.Write(data)
			}
			_ = f.Sync()
			_ = os.Remove(f.Name())
			_ = f.Close() // frees the blocks, as the file is already unlinked
		}
	}
}
