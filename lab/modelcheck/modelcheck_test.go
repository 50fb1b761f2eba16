package modelcheck

import (
	"flag"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// randomSeries are the series that TestRandomSeries plays where the command line does not say how many.
const randomSeries = "3000"

// TestMain sets how many series are played at random.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", randomSeries); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// played counts the series of a run of the tests.
var played atomic.Int64

// play plays a plan in virtual time.
func play(t *testing.T, plan Plan, fault Fault) (found []string, operations []int) {
	t.Helper()
	played.Add(1)
	synctest.Test(t, func(*testing.T) { found, operations = Run(plan, fault) })
	return found, operations
}

// killed are the attempts that a process may make before it is killed.
var killed = []Attempt{RefuseConnection, ConnectLate, ToldWaitOnConnect, RejectBusy, AnswerError, Hang, ResetUnanswered, TruncateRequest, KillMidRequest, KillAfterRequest}

// shared are those that differ where two messages share a call.
var shared = append([]Attempt{DeliverFirstOnly, FailLastOnly}, killed...)

// runner plays plans on all cores, and stops after a few that were broken.
type runner struct {
	t      *testing.T
	plans  chan Plan
	done   sync.WaitGroup
	before int64 // series played when it began
	broken atomic.Int64
}

func newRunner(t *testing.T, each func(Plan) []string) *runner {
	r := &runner{t: t, plans: make(chan Plan), before: played.Load()}
	for range runtime.GOMAXPROCS(0) {
		r.done.Go(func() {
			for plan := range r.plans {
				for _, text := range each(plan) {
					if r.broken.Add(1) <= 10 {
						t.Errorf("%v: %s", plan, text)
					}
				}
			}
		})
	}
	return r
}

func (r *runner) wait() {
	close(r.plans)
	r.done.Wait()
	r.t.Logf("%d series", played.Load()-r.before)
}

// All series of three processes, each with one kind of attempt, killed after 1.2 s or by its attempt, and of a fourth to
// which nothing happens: 1,000 for each kind of message.
func TestThreeKilled(t *testing.T) {
	r := newRunner(t, func(p Plan) []string { found, _ := play(t, p, NoFault); return found })
	for _, topic := range Topics {
		for _, a := range killed {
			for _, b := range killed {
				for _, c := range killed {
					r.plans <- Plan{Topic: topic, SharedCalls: false, Processes: []Process{{Attempts: []Attempt{a}}, {Attempts: []Attempt{b}}, {Attempts: []Attempt{c}}}}
				}
			}
		}
	}
	r.wait()
}

// The same with two messages that share calls, over two processes, and with every list that the processes may be told: a whole one,
// late, none, without the endpoint of the first call, or with that in another zone.
func TestSharedAndLists(t *testing.T) {
	r := newRunner(t, func(p Plan) []string { found, _ := play(t, p, NoFault); return found })
	for _, topic := range Topics {
		for _, a := range shared {
			for _, b := range shared {
				r.plans <- Plan{Topic: topic, SharedCalls: true, Processes: []Process{{Attempts: []Attempt{a}}, {Attempts: []Attempt{b}}, {Attempts: []Attempt{RefuseConnection}}}}
				for first := range lists {
					for second := range lists {
						r.plans <- Plan{Topic: topic, SharedCalls: false, Processes: []Process{{Attempts: []Attempt{a}, List: first}, {Attempts: []Attempt{b}, List: second}}}
					}
				}
			}
		}
	}
	r.wait()
}

// A folder fails as two messages are handed in, with any part of the writes there, and the process is killed before it can be
// written to again: what was refused is not called by the next.
func TestRefusedStaysRefused(t *testing.T) {
	r := newRunner(t, func(p Plan) []string { found, _ := play(t, p, NoFault); return found })
	for _, topic := range Topics {
		for part := range 600 {
			r.plans <- Plan{Topic: topic, ExtraMessagesAt: 0.1, Processes: []Process{
				{Attempts: []Attempt{Deliver}, DiskFaultAt: 0.05, DiskFaultDuration: 5, FailedWriteBytes: part, Lifetime: 0.4}}}
		}
	}
	r.wait()
}

// All series of two processes of which one is killed at any of its operations: writes of files, of which nothing or a part is
// there, connections, calls, notices and answers.
func TestKilledAnywhere(t *testing.T) {
	r := newRunner(t, func(p Plan) (found []string) {
		for which := range p.Processes {
			for _, keep := range []int{0, 30} {
				for op := 1; ; op++ {
					plan := Plan{Topic: p.Topic, SharedCalls: p.SharedCalls, Processes: append([]Process{}, p.Processes...)}
					plan.Processes[which].KillAtOp, plan.Processes[which].TornWriteBytes = op, keep
					broken, operations := play(t, plan, NoFault)
					for _, text := range broken {
						found = append(found, plan.String()+": "+text)
					}
					if operations[which] < op || len(found) > 0 {
						break
					}
				}
			}
		}
		return found
	})
	for _, topic := range Topics {
		for _, a := range killed {
			for _, b := range killed {
				r.plans <- Plan{Topic: topic, SharedCalls: false, Processes: []Process{{Attempts: []Attempt{a}}, {Attempts: []Attempt{b}}}}
			}
		}
	}
	r.wait()
}

// Longer series at random: up to five processes, several attempts in each, lists that are old, late, without an endpoint or
// with one in another zone, folders that fail, planned stops, notices without an answer.
func TestRandomSeries(t *testing.T) {
	attempt := rapid.Map(rapid.IntRange(0, int(attempts)-1), func(i int) Attempt { return Attempt(i) })
	process := rapid.Custom(func(t *rapid.T) Process {
		p := Process{Attempts: rapid.SliceOfN(attempt, 1, 4).Draw(t, "attempts"), List: ListMode(rapid.IntRange(0, int(lists)-1).Draw(t, "list")),
			GracefulStop: rapid.IntRange(0, 3).Draw(t, "ends") == 0, NoticesUnanswered: rapid.IntRange(0, 3).Draw(t, "unheard") == 0,
			Lifetime: rapid.Float64Range(0.05, 3).Draw(t, "lives")}
		if rapid.IntRange(0, 2).Draw(t, "at") == 0 {
			p.KillAtOp, p.TornWriteBytes = rapid.IntRange(1, 20).Draw(t, "operation"), rapid.IntRange(0, 80).Draw(t, "keep")
		}
		if rapid.IntRange(0, 3).Draw(t, "told") == 0 {
			p.StopAtOp = rapid.IntRange(1, 20).Draw(t, "told at")
		}
		if rapid.IntRange(0, 2).Draw(t, "disk") == 0 {
			p.DiskFaultAt, p.DiskFaultDuration = rapid.Float64Range(0, 1.5).Draw(t, "from"), rapid.Float64Range(0.05, 1).Draw(t, "for")
			p.FailedWriteBytes = rapid.IntRange(0, 400).Draw(t, "part")
		}
		return p
	})
	rapid.Check(t, func(rt *rapid.T) {
		plan := Plan{rapid.SampledFrom(Topics).Draw(rt, "topic"), rapid.Bool().Draw(rt, "shared"), rapid.SliceOfN(process, 1, 5).Draw(rt, "processes"),
			rapid.Float64Range(0, 0.5).Draw(rt, "handed in")}
		if found, _ := play(t, plan, NoFault); len(found) > 0 {
			rt.Fatalf("%v: %q", plan, found)
		}
	})
}

// The judge sees each planted fault.
func TestPlanted(t *testing.T) {
	hang, refuse, unheard := Process{Attempts: []Attempt{Hang}}, Process{Attempts: []Attempt{RefuseConnection}}, Process{Attempts: []Attempt{ResetUnanswered}, NoticesUnanswered: true}
	for name, c := range map[string]struct {
		fault Fault
		plan  Plan
	}{
		"forgotten call":     {ForgetMayHaveRun, Plan{Topic: "once", Processes: []Process{hang}}},
		"forgotten window":   {ForgetMayHaveRun, Plan{Topic: "known", Processes: []Process{hang, refuse, refuse}}},
		"forgotten zone":     {ForgetMayHaveRun, Plan{Topic: "zoned", Processes: []Process{hang, refuse}}},
		"window of the last": {WindowFromLastCall, Plan{Topic: "known", Processes: []Process{{Attempts: []Attempt{AnswerError}}, {Attempts: []Attempt{RefuseConnection, AnswerError}, Lifetime: 1}, {Attempts: []Attempt{RefuseConnection}, Lifetime: 0.6}}}},
		"lost notice":        {LoseNotice, Plan{Topic: "once", Processes: []Process{unheard}}},
		"two calls":          {DuplicateCalls, Plan{Topic: "free", Processes: nil}},
	} {
		if found, _ := play(t, c.plan, c.fault); len(found) == 0 {
			t.Errorf("%s: not seen", name)
		}
		if found, _ := play(t, c.plan, NoFault); len(found) > 0 {
			t.Errorf("%s: broken without the fault: %q", name, found)
		}
	}
}
