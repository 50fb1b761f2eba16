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

// randomSeriesCount is the number of series in TestRandomSeries unless the flag -rapid.checks sets another.
const randomSeriesCount = "3000"

// TestMain sets the default number of random series.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", randomSeriesCount); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// seriesRun is the number of series that all tests have run so far.
var seriesRun atomic.Int64

// runPlan runs a plan in virtual time.
func runPlan(t *testing.T, plan Plan, fault Fault) (violations []string, operations []int) {
	t.Helper()
	seriesRun.Add(1)
	synctest.Test(t, func(*testing.T) { violations, operations = Run(plan, fault) })
	return violations, operations
}

// singleMessageAttempts are the outcomes of attempts in exhaustive series, other than those that need a call with several messages.
var singleMessageAttempts = []AttemptOutcome{RefuseConnection, ConnectLate, ToldWaitOnConnect, RejectBusy, AnswerError, Hang, ResetUnanswered, TruncateRequest, KillMidRequest, KillAfterRequest}

// sharedCallAttempts adds the outcomes that differ between the messages of a call.
var sharedCallAttempts = append([]AttemptOutcome{DeliverFirstOnly, FailLastOnly}, singleMessageAttempts...)

// planRunner runs plans on all cores and reports the first violations.
type planRunner struct {
	t               *testing.T
	plans           chan Plan
	done            sync.WaitGroup
	seriesRunBefore int64 // value of seriesRun at the start
	violations      atomic.Int64
}

// newPlanRunner returns a runner that applies check, which returns violations, to each plan sent to plans.
func newPlanRunner(t *testing.T, check func(Plan) []string) *planRunner {
	r := &planRunner{t: t, plans: make(chan Plan), seriesRunBefore: seriesRun.Load()}
	for range runtime.GOMAXPROCS(0) {
		r.done.Go(func() {
			for plan := range r.plans {
				for _, text := range check(plan) {
					if r.violations.Add(1) <= 10 {
						t.Errorf("%v: %s", plan, text)
					}
				}
			}
		})
	}
	return r
}

// wait waits until all plans have been run, and logs how many series that took.
func (r *planRunner) wait() {
	close(r.plans)
	r.done.Wait()
	r.t.Logf("%d series", seriesRun.Load()-r.seriesRunBefore)
}

// Runs all series of three processes in which each attempt of a process has the same outcome, and each process is killed after
// DefaultLifetime or by its attempt. A fourth process without faults follows. There are 1,000 series for each topic.
func TestThreeKilledProcesses(t *testing.T) {
	r := newPlanRunner(t, func(p Plan) []string { found, _ := runPlan(t, p, NoFault); return found })
	for _, topic := range Topics {
		for _, a := range singleMessageAttempts {
			for _, b := range singleMessageAttempts {
				for _, c := range singleMessageAttempts {
					r.plans <- Plan{Topic: topic, SharedCalls: false, Processes: []Process{{Attempts: []AttemptOutcome{a}}, {Attempts: []AttemptOutcome{b}}, {Attempts: []AttemptOutcome{c}}}}
				}
			}
		}
	}
	r.wait()
}

// Runs all series of two processes with two messages that share calls, and all series of two processes with each combination
// of list modes: complete, delayed, withheld, without the endpoint of the first call, or with that endpoint in another zone.
func TestSharedCallsAndListModes(t *testing.T) {
	r := newPlanRunner(t, func(p Plan) []string { found, _ := runPlan(t, p, NoFault); return found })
	for _, topic := range Topics {
		for _, a := range sharedCallAttempts {
			for _, b := range sharedCallAttempts {
				r.plans <- Plan{Topic: topic, SharedCalls: true, Processes: []Process{{Attempts: []AttemptOutcome{a}}, {Attempts: []AttemptOutcome{b}}, {Attempts: []AttemptOutcome{RefuseConnection}}}}
				for first := range listModeCount {
					for second := range listModeCount {
						r.plans <- Plan{Topic: topic, SharedCalls: false, Processes: []Process{{Attempts: []AttemptOutcome{a}, List: first}, {Attempts: []AttemptOutcome{b}, List: second}}}
					}
				}
			}
		}
	}
	r.wait()
}

// Guards against a call for a refused message after a restart. The disk fails while two messages are handed in, any part of
// the failing write reaches the file, and the process is killed before it can write again.
func TestRefusedMessageNotCalled(t *testing.T) {
	r := newPlanRunner(t, func(p Plan) []string { found, _ := runPlan(t, p, NoFault); return found })
	for _, topic := range Topics {
		for part := range 600 {
			r.plans <- Plan{Topic: topic, ExtraMessagesAt: 0.1, Processes: []Process{
				{Attempts: []AttemptOutcome{Deliver}, DiskFaultAt: 0.05, DiskFaultDuration: 5, FailedWriteBytes: part, Lifetime: 0.4}}}
		}
	}
	r.wait()
}

// Runs all series of two processes of which one is killed at any one of its operations: file writes, of which nothing or a
// part reaches the file, connections, calls, notices and answers to clients.
func TestKilledAtAnyOperation(t *testing.T) {
	r := newPlanRunner(t, func(base Plan) (violations []string) {
		for which := range base.Processes {
			for _, keep := range []int{0, 30} {
				for op := 1; ; op++ {
					plan := Plan{Topic: base.Topic, SharedCalls: base.SharedCalls, Processes: append([]Process{}, base.Processes...)}
					plan.Processes[which].KillAtOp, plan.Processes[which].TornWriteBytes = op, keep
					found, operations := runPlan(t, plan, NoFault)
					for _, text := range found {
						violations = append(violations, plan.String()+": "+text)
					}
					if operations[which] < op || len(violations) > 0 {
						break
					}
				}
			}
		}
		return violations
	})
	for _, topic := range Topics {
		for _, a := range singleMessageAttempts {
			for _, b := range singleMessageAttempts {
				r.plans <- Plan{Topic: topic, SharedCalls: false, Processes: []Process{{Attempts: []AttemptOutcome{a}}, {Attempts: []AttemptOutcome{b}}}}
			}
		}
	}
	r.wait()
}

// Guards against a judge that takes it for a message given up without an attempt if its process was killed at the first byte of its call, on
// a connection that was made before the message came.
func TestKilledAtFirstByteOfCall(t *testing.T) {
	plan := Plan{Topic: "once", SharedCalls: true, ExtraMessagesAt: 0.25, Processes: []Process{{Attempts: []AttemptOutcome{ToldWaitOnConnect}, KillAtOp: 13, Lifetime: 1}}}
	if found, operations := runPlan(t, plan, NoFault); len(found) > 0 || operations[0] < plan.Processes[0].KillAtOp {
		t.Errorf("%v: %q, operations %v", plan, found, operations)
	}
}

// Runs longer random series: up to five processes, several outcomes of attempts in each, all list modes, disk faults,
// graceful stops and unanswered notices.
func TestRandomSeries(t *testing.T) {
	attempt := rapid.Map(rapid.IntRange(0, int(attemptOutcomeCount)-1), func(i int) AttemptOutcome { return AttemptOutcome(i) })
	process := rapid.Custom(func(t *rapid.T) Process {
		p := Process{Attempts: rapid.SliceOfN(attempt, 1, 4).Draw(t, "attempts"), List: ListMode(rapid.IntRange(0, int(listModeCount)-1).Draw(t, "list")),
			GracefulStop: rapid.IntRange(0, 3).Draw(t, "graceful stop") == 0, NoticesUnanswered: rapid.IntRange(0, 3).Draw(t, "notices unanswered") == 0,
			Lifetime: rapid.Float64Range(0.05, 3).Draw(t, "lifetime")}
		if rapid.IntRange(0, 2).Draw(t, "kill") == 0 {
			p.KillAtOp, p.TornWriteBytes = rapid.IntRange(1, 20).Draw(t, "kill operation"), rapid.IntRange(0, 80).Draw(t, "torn write bytes")
		}
		if rapid.IntRange(0, 3).Draw(t, "stop") == 0 {
			p.StopAtOp = rapid.IntRange(1, 20).Draw(t, "stop operation")
		}
		if rapid.IntRange(0, 2).Draw(t, "disk fault") == 0 {
			p.DiskFaultAt, p.DiskFaultDuration = rapid.Float64Range(0, 1.5).Draw(t, "disk fault start"), rapid.Float64Range(0.05, 1).Draw(t, "disk fault duration")
			p.FailedWriteBytes = rapid.IntRange(0, 400).Draw(t, "failed write bytes")
		}
		return p
	})
	rapid.Check(t, func(rt *rapid.T) {
		plan := Plan{rapid.SampledFrom(Topics).Draw(rt, "topic"), rapid.Bool().Draw(rt, "shared"), rapid.SliceOfN(process, 1, 5).Draw(rt, "processes"),
			rapid.Float64Range(0, 0.5).Draw(rt, "extra messages")}
		if found, _ := runPlan(t, plan, NoFault); len(found) > 0 {
			rt.Fatalf("%v: %q", plan, found)
		}
	})
}

// Guards against a checker that detects nothing: each fault must lead to a violation, and the same plan without it to none.
func TestPlanted(t *testing.T) {
	hang, refuse, unanswered := Process{Attempts: []AttemptOutcome{Hang}}, Process{Attempts: []AttemptOutcome{RefuseConnection}}, Process{Attempts: []AttemptOutcome{ResetUnanswered}, NoticesUnanswered: true}
	for name, c := range map[string]struct {
		fault Fault
		plan  Plan
	}{
		"lost record of a call":       {ForgetMayHaveRun, Plan{Topic: "once", Processes: []Process{hang}}},
		"lost start of the window":    {ForgetMayHaveRun, Plan{Topic: "known", Processes: []Process{hang, refuse, refuse}}},
		"lost zone of the first call": {ForgetMayHaveRun, Plan{Topic: "zoned", Processes: []Process{hang, refuse}}},
		"window from the last call":   {WindowFromLastCall, Plan{Topic: "known", Processes: []Process{{Attempts: []AttemptOutcome{AnswerError}}, {Attempts: []AttemptOutcome{RefuseConnection, AnswerError}, Lifetime: 1}, {Attempts: []AttemptOutcome{RefuseConnection}, Lifetime: 0.6}}}},
		"lost notice":                 {LoseNotice, Plan{Topic: "once", Processes: []Process{unanswered}}},
		"duplicate calls":             {DuplicateCalls, Plan{Topic: "free", Processes: nil}},
	} {
		if found, _ := runPlan(t, c.plan, c.fault); len(found) == 0 {
			t.Errorf("%s: no violation found", name)
		}
		if found, _ := runPlan(t, c.plan, NoFault); len(found) > 0 {
			t.Errorf("%s: violations without the fault: %q", name, found)
		}
	}
}
