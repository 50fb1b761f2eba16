// Package lab plays scenarios: it surrounds real dispatcher processes with partners, the platform's agent and clients, all
// on loopback, and judges and counts what happened. It imports the product; the product never imports it.
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
	"orchiddrift/lab/fleet"
	"orchiddrift/lab/load"
	"orchiddrift/lab/loop"
	"orchiddrift/lab/partner"
	"orchiddrift/lab/record"
	"orchiddrift/lab/report"
	"orchiddrift/lab/rules"
	"orchiddrift/lab/scenario"
)

// Options say how a scenario is played.
type Options struct {
	Command     fleet.Command           // starts a dispatcher
	Direct      bool                    // hand in straight to the partners, with no dispatcher
	StateDir    string                  // where the dispatchers' lasting folders are made; "" for the temporary folder
	KeepDir     string                  // a folder for configurations, logs and the journal; "" to throw them away
	Network     loop.Network            // 0 to find a free one
	Progress    func(Progress)          // called once a second
	AnswerShape partner.ResponseEncoder // of endpoints' answers on the wire; nil: with a length
	Hooks       Hooks                   // nil for nothing
}

// Hooks is what else goes on in a run: Begin is called once all stands, before the load comes, and gives the front that
// clients go through; Over is called once the load is over and all that was taken on is too, while the dispatchers still run.
type Hooks interface {
	BeforeLoad(ctx context.Context, n loop.Network, j *record.Journal, c *loop.Clock, front load.Balancer) (load.Balancer, error)
	AfterLoad()
}

// Progress is how far a run is.
type Progress struct {
	At, Length        float64
	HandedIn, Planned int
	Calls, Notices    int
	LoadDone          bool // the load is over, and what was taken on is waited for
}

const (
	lookEvery = 100 * time.Millisecond
	tellEvery = time.Second
	goOn      = 0.4 // after the last moment at which a rule could still be judged
)

// Run plays a scenario. When ctx ends early the result is of what was played, and says so; the journal comes too.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*report.Result, *record.Journal, error) {
	w := scenario.NewWorld(s)
	j, clock := &record.Journal{}, &loop.Clock{}
	dir, err := folder(o.KeepDir)
	if err != nil {
		return nil, nil, err
	}
	if o.KeepDir == "" {
		defer os.RemoveAll(dir)
	}
	state, err := os.MkdirTemp(o.StateDir, "orchiddrift-state-")
	if err != nil {
		return nil, nil, fmt.Errorf("--state: %w", err)
	}
	defer os.RemoveAll(state)
	network := o.Network
	if network == 0 {
		var release func()
		if network, release, err = loop.AcquireNetwork(); err != nil {
			return nil, nil, err
		}
		defer release()
	}
	partners, err := partner.Start(w, j, clock, network, o.AnswerShape)
	if err != nil {
		return nil, nil, err
	}
	defer partners.Close()
	agents, err := agent.Start(w, j, clock, network, partners.Addr)
	if err != nil {
		return nil, nil, err
	}
	defer agents.Close()

	clients := &load.Generator{World: w, Journal: j, Clock: clock, Arrivals: w.Arrivals(), Balancer: load.NewRoundRobin(w, network, clock)}
	var dispatchers *fleet.Fleet
	if o.Direct {
		clients.Balancer = &load.Direct{World: w, Addr: partners.Addr}
	} else {
		dispatchers, err = fleet.Start(ctx, w, j, clock, network, agents.InitialList(), o.Command, dir, state)
		if err != nil {
			dispatchers.Stop()
			return nil, nil, err
		}
	}
	playing, played := context.WithCancel(ctx)
	defer played()
	clock.Start()
	if dispatchers != nil {
		dispatchers.InjectFaults(playing)
	}
	go busyDisk(playing, w, clock, state)
	if o.Hooks != nil {
		if clients.Balancer, err = o.Hooks.BeforeLoad(playing, network, j, clock, clients.Balancer); err != nil {
			dispatchers.Stop()
			return nil, nil, err
		}
	}
	loaded := make(chan struct{})
	go func() {
		clients.Run(playing)
		close(loaded)
	}()
	await(ctx, w, j, clock, clients, loaded, o)
	ended := clock.Now()
	if o.Hooks != nil {
		o.Hooks.AfterLoad()
	}
	played()
	<-loaded
	var usage []fleet.Usage
	if dispatchers != nil {
		usage = dispatchers.Usage()
		dispatchers.Stop()
	}

	var result *report.Result
	j.WithLock(func() {
		result = report.New(report.RunData{World: w, Journal: j, EndedAt: ended, HandedIn: clients.Submitted(), Planned: clients.Planned(),
			Lateness: clients.Lateness(), Usage: usage})
		if !o.Direct {
			result.Violations = rules.Check(w, j, ended)
		}
	})
	result.Direct, result.Interrupted = o.Direct, ctx.Err() != nil
	if late := result.Lateness.P99; s.Load.ClosedLoop == 0 && late > s.Load.MaxLateness {
		result.VoidReason = fmt.Sprintf("the generator itself was late by %.0f ms at p99, of %.0f ms allowed: lower load.rate or free cores",
			late*1e3, s.Load.MaxLateness*1e3)
	}
	if o.KeepDir != "" {
		err = keep(j, filepath.Join(dir, "journal.jsonl"))
	}
	return result, j, err
}

// await returns when the load is over and so is all that was taken on, or when nothing of it can be judged any more.
func await(ctx context.Context, w *scenario.World, j *record.Journal, clock *loop.Clock, clients *load.Generator,
	loaded <-chan struct{}, o Options) {
	longest := 0.0
	for _, t := range w.Topics {
		longest = max(longest, t.TTL)
	}
	over := false
	for told := time.Now(); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lookEvery):
		}
		select {
		case <-loaded:
			over = true
		default:
		}
		if over && (o.Direct || clock.Now() > w.Length+longest+goOn || report.CountOwed(j) == 0 && clock.Now() >= w.Length) {
			return
		}
		if o.Progress != nil && time.Since(told) >= tellEvery {
			told = time.Now()
			p := Progress{At: clock.Now(), Length: w.Length, HandedIn: clients.Submitted(), Planned: clients.Planned(), LoadDone: over}
			j.WithLock(func() { p.Calls, p.Notices = len(j.Calls), len(j.Notices) })
			o.Progress(p)
		}
	}
}

func folder(keep string) (string, error) {
	if keep == "" {
		return os.MkdirTemp("", "orchiddrift-lab-")
	}
	if err := os.MkdirAll(keep, 0o755); err != nil {
		return "", fmt.Errorf("--keep: %w", err)
	}
	return keep, nil
}

func keep(j *record.Journal, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(j.Write(f), f.Close())
}

// busyDisk writes to the disk of the dispatchers' folders, and syncs, while a trouble says so.
func busyDisk(ctx context.Context, w *scenario.World, clock *loop.Clock, dir string) {
	const size, block = 32 << 20, 1 << 20
	if !slices.ContainsFunc(w.Troubles, func(t scenario.Trouble) bool { return t.Kind == scenario.BusyDisk }) {
		return // the noise below is worth making only for one that does
	}
	noise := make([]byte, block)
	chance := rand.New(rand.NewPCG(w.Seed, 0))
	for i := range noise {
		noise[i] = byte(chance.Uint32())
	}
	for _, t := range w.Troubles {
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
			for n := 0; n < size && err == nil; n += block {
				_, err = f.Write(noise)
			}
			_ = f.Sync()
			_ = os.Remove(f.Name())
			_ = f.Close() // the blocks of a file without a name go here
		}
	}
}
