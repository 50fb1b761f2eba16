// Package soak runs real dispatchers on loopback under random faults of partners, discovery, clients, processes and hosts.
// Several faults are active at once, and all follow from one seed. The rules of the laboratory check what was recorded
// outside the dispatchers, and the dispatchers log violations of their own invariants.
package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
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

// Options holds the settings of a soak run.
type Options struct {
	Command      fleet.Command // starts a dispatcher process that calls RunFaultyDispatcher
	KeepDir      string        // directory that keeps the journal and the logs; "" for a temporary one
	OffsetClocks bool          // whether the wall clocks of some processes are offset
}

// Result is the result of a soak run with one seed.
type Result struct {
	Seed            uint64
	DispatcherCount int
	Troubles        []string // the planned faults, in the order in which they were drawn
	Findings        []string // violations of rules and invariants, crashes, slow starts, wrong answers to misbehaving clients
	CheckedVisits   int      // checked visits of misbehaving clients
	Overlaps        Overlaps // which kinds of faults were active together
	EndpointCount   int      // endpoints listed at the start
	HasFloods       bool     // whether idle connections exhausted the file descriptors of some dispatchers
	UnplannedStalls []string // stalls that were not planned: the host was too busy for the findings to count
	*report.Result
}

// Run runs the plan of a seed with length seconds of load. Findings are part of the result; an error means that the run itself
// failed or that a log could not be read.
func Run(ctx context.Context, seed uint64, length float64, options Options) (*Result, error) {
	plan, err := newPlan(seed, length)
	if err != nil {
		return nil, err
	}
	s := plan.Scenario
	dir := options.KeepDir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "orchiddrift-soak-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	stepClocks := "no"
	if options.OffsetClocks {
		stepClocks = "yes"
	}
	command := options.Command
	command.Env = append(append([]string{}, command.Env...), fmt.Sprint(seedEnv, "=", seed), folderEnv+"="+dir,
		clockStepEnv+"="+stepClocks)
	hooks := &soakHooks{seed: seed, dispatcherCount: s.Dispatchers.Count, flooded: plan.FloodedDispatchers}
	encoder := &randomEncoder{random: newRand(seed, answerStream)}
	runResult, journal, err := lab.Run(ctx, s, lab.Options{Command: command, KeepDir: dir, ResponseEncoder: encoder.encode, Hooks: hooks})
	if err != nil {
		return nil, err
	}
	result := &Result{Seed: seed, DispatcherCount: s.Dispatchers.Count, Result: runResult, CheckedVisits: hooks.clients.visits}
	for _, t := range s.Troubles {
		result.Troubles = append(result.Troubles, describeTrouble(t))
	}
	result.Overlaps = countOverlaps(s)
	result.EndpointCount = countEndpoints(s)
	result.HasFloods = len(plan.FloodedDispatchers) > 0
	for _, v := range runResult.Violations {
		result.Findings = append(result.Findings, v.String())
	}
	result.Findings = append(result.Findings, hooks.clients.findings...)
	if result.NeglectedClients > 0 {
		result.Findings = append(result.Findings, fmt.Sprintf("crowds: %d connections got neither an answer nor their end in time", result.NeglectedClients))
	}
	result.Findings = append(result.Findings, slowStarts(journal)...)
	logFindings, stalls, err := readLogs(dir, s.Dispatchers.Count)
	result.Findings = append(result.Findings, logFindings...)
	result.UnplannedStalls = unplannedStalls(stalls, s)
	return result, err
}

// newRand returns the random number generator of a seed for one purpose, one of the stream constants.
func newRand(seed, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }

// describeTrouble describes a planned fault in one line; times are in seconds.
func describeTrouble(trouble scenario.Trouble) string {
	text := fmt.Sprintf("%6.2f s  %-9s for %.2f", trouble.At, trouble.Kind, trouble.Duration)
	if trouble.IsCrowd() {
		text += fmt.Sprintf(" clients %d %s", trouble.Count, trouble.Traffic)
	}
	if len(trouble.Dispatchers) > 0 {
		text += fmt.Sprintf(" dispatchers %v", trouble.Dispatchers)
	}
	if len(trouble.Destinations) > 0 {
		text += fmt.Sprintf(" destinations %v", trouble.Destinations)
	}
	return text
}

// maxStartTime is the time, in seconds, within which at least nine in ten starts must get ready.
const maxStartTime = 10.0

// slowStarts returns a finding if more than one in ten starts took longer than maxStartTime.
func slowStarts(j *record.Journal) []string {
	startedAt, late, total := map[int]float64{}, 0, 0
	j.WithLock(func() {
		for _, event := range j.ProcessEvents {
			switch event.Kind {
			case record.Started:
				startedAt[event.Dispatcher] = event.At
			case record.Ready:
				if total++; event.At > startedAt[event.Dispatcher]+maxStartTime {
					late++
				}
			}
		}
	})
	if late*10 > total {
		return []string{fmt.Sprintf("starts: %d of %d took over %.0f s", late, total, maxStartTime)}
	}
	return nil
}

// maxUnplannedStall is the longest unplanned stall of a dispatcher, in seconds, with which findings count. After a longer one the
// cause of a finding may be an overloaded host instead of the dispatchers.
const maxUnplannedStall = 0.3

// unplannedStalls describes the stalls longer than maxUnplannedStall of dispatchers for which s plans neither a stall nor a series
// of signals. stalls holds the longest stall of each dispatcher in seconds.
func unplannedStalls(stalls map[int]float64, s *scenario.Scenario) (unplanned []string) {
	for i := range s.Dispatchers.Count {
		planned := slices.ContainsFunc(s.Troubles, func(t scenario.Trouble) bool {
			return (t.Kind == scenario.Stall || t.Kind == scenario.SignalSeries) && t.AppliesToDispatcher(i)
		})
		if stalls[i] > maxUnplannedStall && !planned {
			unplanned = append(unplanned, fmt.Sprintf("dispatcher %d stalled for %.2f s", i, stalls[i]))
		}
	}
	return unplanned
}

// readLogs reads the logs of the dispatchers. It returns the violated invariants and the crashes as findings, and the longest
// stall of each dispatcher in seconds.
func readLogs(dir string, count int) (findings []string, stalls map[int]float64, err error) {
	const maxLine = 1 << 20 // bytes
	stalls = map[int]float64{}
	for i := range count {
		f, err := os.Open(filepath.Join(dir, fmt.Sprintf("d%d.log", i)))
		if err != nil {
			return findings, stalls, err
		}
		scanner := bufio.NewScanner(f)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			line := scanner.Text()
			var entry struct {
				Message, Invariant, Ntf, Detail string
				Late                            float64
			}
			if json.Unmarshal([]byte(line), &entry) == nil {
				stalls[i] = max(stalls[i], entry.Late)
				if entry.Invariant != "" {
					findings = append(findings, fmt.Sprintf("invariant: dispatcher %d: %s %s: %s", i, entry.Invariant, entry.Ntf, entry.Detail))
				}
			} else if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				findings = append(findings, fmt.Sprintf("crash: dispatcher %d: %s", i, line))
			}
		}
		_ = f.Close()
		if err := scanner.Err(); err != nil {
			return findings, stalls, err
		}
	}
	return findings, stalls, nil
}

// soakHooks adds to a laboratory run the proxies in front of the dispatchers, the floods of idle connections and the
// misbehaving clients.
type soakHooks struct {
	seed            uint64
	dispatcherCount int
	clients         misbehavingClients
	stop            context.CancelFunc
	clientsDone     chan struct{}
	proxies         []*proxy
	// flooded lists the dispatchers that get floods of idle connections. The answers that misbehaving clients get there are not
	// checked, because such a dispatcher may close connections before it reads from them.
	flooded []int
}

// BeforeLoad starts the proxies, the floods and the misbehaving clients, and returns a balancer that sends the load through
// the proxies.
func (h *soakHooks) BeforeLoad(ctx context.Context, network loop.Network, journal *record.Journal, clock *loop.Clock, balancer load.Balancer) (load.Balancer, error) {
	ctx, h.stop = context.WithCancel(ctx)
	for i := range h.dispatcherCount {
		p, err := newProxy(ctx, network.ProxyAddr(i), network.DispatcherAddr(i), newRand(h.seed, proxyStream<<32|uint64(i)),
			func(client net.Addr, cause string) {
				journal.AddPlannedEnd(record.PlannedEnd{Addr: client.String(), At: clock.Now(), Cause: cause})
			}, slices.Contains(h.flooded, i))
		if err != nil {
			h.stop()
			return nil, fmt.Errorf("proxy: %w", err)
		}
		h.proxies = append(h.proxies, p)
	}
	ready := func(i int, from, to time.Time) bool {
		return !slices.Contains(h.flooded, i) && readyThroughout(journal, i, clock.Now()-time.Since(from).Seconds(), clock.Now()-time.Since(to).Seconds())
	}
	for _, i := range h.flooded {
		go floodConnections(ctx, network.DispatcherAddr(i))
	}
	h.clients = misbehavingClients{addr: network.DispatcherAddr, dispatcherCount: h.dispatcherCount, ready: ready, random: newRand(h.seed, clientStream)}
	h.clientsDone = make(chan struct{})
	go func() {
		h.clients.run(ctx)
		close(h.clientsDone)
	}()
	return proxyBalancer{balancer, h.proxies, newTerminatingPicker(journal, h.seed)}, nil
}

// AfterLoad stops the proxies, the floods and the misbehaving clients, and waits for the proxies and the clients to end.
func (h *soakHooks) AfterLoad() {
	h.stop()
	<-h.clientsDone
	for _, p := range h.proxies {
		p.done.Wait()
	}
}

// readyThroughout reports whether a dispatcher was ready from one time to another, without any event of its process between
// them or in the settleTime before them.
func readyThroughout(j *record.Journal, dispatcher int, from, to float64) bool {
	const settleTime = 0.5 // seconds
	ready := false
	j.WithLock(func() {
		for _, event := range j.ProcessEvents {
			if event.Dispatcher != dispatcher || event.At > to {
				continue
			}
			if event.At > from-settleTime && event.At > 0 {
				ready = false
				return
			}
			ready = event.Kind == record.Ready || event.Kind == record.Resumed
		}
	})
	return ready
}
