// Package soak plays random troubles against real dispatchers on loopback: partners, discovery, clients, signals, and
// machines that fail, several at once, all from one seed. The laboratory's rules judge what was seen from outside, and the
// dispatchers' own invariants what they saw themselves.
package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"orchiddrift/lab"
	"orchiddrift/lab/fleet"
	"orchiddrift/lab/load"
	"orchiddrift/lab/loop"
	"orchiddrift/lab/record"
	"orchiddrift/lab/report"
	"orchiddrift/lab/scenario"
)

// Options say how a soak is played.
type Options struct {
	Command    fleet.Command // starts a dispatcher on a machine that fails: Child
	KeepDir    string        // a folder for what was seen; "" to throw it away
	StepClocks bool          // wall clocks are stepped
}

// Result is what a seed showed.
type Result struct {
	Seed               uint64
	DispatcherCount    int      // how many there were
	Troubles           []string // what was played, in its order
	Findings           []string // what was broken; none where all was kept
	MisbehavingClients int      // visits of clients that misbehave, judged
	Overlaps           Overlaps // which troubles were on together
	EndpointCount      int      // listed
	Flooded            bool     // idle clients filled the descriptors of some dispatchers
	UnplannedStalls    []string // stalls that nobody played: the machine was too busy for a verdict
	*report.Result
}

// Run plays a seed for so many seconds of load.
func Run(ctx context.Context, seed uint64, length float64, o Options) (*Result, error) {
	planned, err := plan(seed, length)
	if err != nil {
		return nil, err
	}
	s := planned.Scenario
	dir := o.KeepDir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "orchiddrift-soak-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	steps := "no"
	if o.StepClocks {
		steps = "yes"
	}
	command := o.Command
	command.Env = append(append([]string{}, command.Env...), fmt.Sprint(seedVariable, "=", seed), folderVariable+"="+dir,
		stepVariable+"="+steps)
	b := &beside{seed: seed, count: s.Dispatchers.Count, crowded: planned.FloodedDispatchers}
	a := &answers{chance: chanceOf(seed, forAnswers)}
	r, j, err := lab.Run(ctx, s, lab.Options{Command: command, KeepDir: dir, AnswerShape: a.shape, Hooks: b})
	if err != nil {
		return nil, err
	}
	result := &Result{Seed: seed, DispatcherCount: s.Dispatchers.Count, Result: r, MisbehavingClients: b.rude.tried}
	for _, t := range s.Troubles {
		result.Troubles = append(result.Troubles, describe(t))
	}
	result.Overlaps = overlaps(s)
	result.EndpointCount = endpoints(s)
	result.Flooded = len(planned.FloodedDispatchers) > 0
	for _, v := range r.Violations {
		result.Findings = append(result.Findings, v.String())
	}
	result.Findings = append(result.Findings, b.rude.found...)
	result.Findings = append(result.Findings, starts(j)...)
	found, stalls, err := said(dir, s.Dispatchers.Count)
	result.Findings = append(result.Findings, found...)
	result.UnplannedStalls = unplayed(stalls, s)
	return result, err
}

func chanceOf(seed, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }

func describe(t scenario.Trouble) string {
	text := fmt.Sprintf("%6.2f s  %-9s for %.2f", t.At, t.Kind, t.Duration)
	if len(t.Dispatchers) > 0 {
		text += fmt.Sprintf(" dispatchers %v", t.Dispatchers)
	}
	if len(t.Destinations) > 0 {
		text += fmt.Sprintf(" destinations %v", t.Destinations)
	}
	return text
}

// readyBy is how long nine in ten restarts may take.
const readyBy = 10.0

// starts judges how soon dispatchers were ready.
func starts(j *record.Journal) []string {
	begun, late, all := map[int]float64{}, 0, 0
	j.WithLock(func() {
		for _, l := range j.ProcessEvents {
			switch l.Kind {
			case record.Started:
				begun[l.Dispatcher] = l.At
			case record.Ready:
				if all++; l.At > begun[l.Dispatcher]+readyBy {
					late++
				}
			}
		}
	})
	if late*10 > all {
		return []string{fmt.Sprintf("starts: %d of %d took over %.0f s", late, all, readyBy)}
	}
	return nil
}

// starving is a stall, in seconds, from which on a run says more of the machine than of the dispatchers.
const starving = 0.3

// unplayed tells of long stalls of dispatchers that the plan let run on.
func unplayed(stalls map[int]float64, s *scenario.Scenario) (list []string) {
	for i := range s.Dispatchers.Count {
		played := slices.ContainsFunc(s.Troubles, func(t scenario.Trouble) bool {
			return (t.Kind == scenario.Stall || t.Kind == scenario.SignalSeries) && t.AppliesToDispatcher(i)
		})
		if stalls[i] > starving && !played {
			list = append(list, fmt.Sprintf("dispatcher %d stood still for %.2f s", i, stalls[i]))
		}
	}
	return list
}

// said reads what dispatchers logged of themselves: violated invariants, the ends of processes that failed, and the longest
// stall of each.
func said(dir string, count int) (found []string, stalls map[int]float64, err error) {
	const most = 1 << 20
	stalls = map[int]float64{}
	for i := range count {
		f, err := os.Open(filepath.Join(dir, fmt.Sprintf("d%d.log", i)))
		if err != nil {
			return found, stalls, err
		}
		in := bufio.NewScanner(f)
		in.Buffer(nil, most)
		for in.Scan() {
			line := in.Text()
			var entry struct {
				Message, Invariant, Ntf, Detail string
				Late                            float64
			}
			if json.Unmarshal([]byte(line), &entry) == nil {
				stalls[i] = max(stalls[i], entry.Late)
				if entry.Invariant != "" {
					found = append(found, fmt.Sprintf("invariant: dispatcher %d: %s %s: %s", i, entry.Invariant, entry.Ntf, entry.Detail))
				}
			} else if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				found = append(found, fmt.Sprintf("crash: dispatcher %d: %s", i, line))
			}
		}
		_ = f.Close()
		if err := in.Err(); err != nil {
			return found, stalls, err
		}
	}
	return found, stalls, nil
}

// beside is what the soak adds to a run: proxies before the dispatchers, and clients that misbehave.
type beside struct {
	seed  uint64
	count int
	rude  rude
	over  context.CancelFunc
	ended chan struct{}
	all   []*proxy
	// crowded are the dispatchers that a crowd comes to: misbehaving clients are not judged there, whose connections may be shut
	// unread then.
	crowded []int
}

// BeforeLoad opens the proxies and lets the clients come.
func (b *beside) BeforeLoad(ctx context.Context, n loop.Network, j *record.Journal, c *loop.Clock, to load.Balancer) (load.Balancer, error) {
	ctx, b.over = context.WithCancel(ctx)
	for i := range b.count {
		p, err := newProxy(ctx, n.ProxyAddr(i), n.DispatcherAddr(i), chanceOf(b.seed, forProxies<<32|uint64(i)))
		if err != nil {
			b.over()
			return nil, fmt.Errorf("proxy: %w", err)
		}
		b.all = append(b.all, p)
	}
	up := func(i int, from, to time.Time) bool {
		return !slices.Contains(b.crowded, i) && served(j, i, c.Now()-time.Since(from).Seconds(), c.Now()-time.Since(to).Seconds())
	}
	for _, i := range b.crowded {
		go crowd(ctx, n.DispatcherAddr(i))
	}
	b.rude = rude{addr: n.DispatcherAddr, count: b.count, up: up, chance: chanceOf(b.seed, forClients)}
	b.ended = make(chan struct{})
	go func() {
		b.rude.run(ctx)
		close(b.ended)
	}()
	return front{to, b.all, newLeaving(j, b.seed)}, nil
}

// AfterLoad ends both.
func (b *beside) AfterLoad() {
	b.over()
	<-b.ended
	for _, p := range b.all {
		p.done.Wait()
	}
}

// served tells whether a dispatcher was ready, and nothing befell it, from a moment to another.
func served(j *record.Journal, dispatcher int, from, to float64) bool {
	const settled = 0.5
	ready := false
	j.WithLock(func() {
		for _, l := range j.ProcessEvents {
			if l.Dispatcher != dispatcher || l.At > to {
				continue
			}
			if l.At > from-settled && l.At > 0 {
				ready = false
				return
			}
			ready = l.Kind == record.Ready || l.Kind == record.Resumed
		}
	})
	return ready
}
