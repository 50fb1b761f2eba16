package decide_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"orchiddrift/decide"
	"orchiddrift/directory"
)

// fleetScenario describes many dispatchers that push to one destination. The destination hangs for a while, then answers and
// is cold.
type fleetScenario struct {
	dispatchers        int
	rate               float64 // calls per second that the destination takes when warm
	load               float64 // notifications per second that arrive for it, divided by rate
	recovery           decide.Recovery
	unevenLoad         bool    // some dispatchers get several times the mean load
	restartShare       float64 // share of dispatchers that restart during the outage and lose their measurements
	outageDuration     float64 // seconds; 0 for 20
	endpoints          int     // endpoints of the destination, which share its rate; 0 for one
	refusesConnections bool    // in the outage it refuses connections at once; otherwise it hangs
	countEachCall      bool    // calls of one dispatcher in one tick count each; otherwise as one
}

// returnsAt returns when the destination answers again, in seconds.
func (f fleetScenario) returnsAt() float64 { return outageStart + cmp.Or(f.outageDuration, 20) }

// listed returns the list of endpoints, all of them ready.
func (f fleetScenario) listed() []directory.Endpoint {
	var list []directory.Endpoint
	for i := range max(1, f.endpoints) {
		list = append(list, directory.Endpoint{ID: fmt.Sprint("e", i), Kind: "plain", Dest: "D", Stage: directory.Ready, Rate: f.rate})
	}
	return list
}

// arrival is a call that reached the destination after the outage. sawOutage says that an earlier push of its dispatcher
// failed.
type arrival struct {
	at        float64
	sawOutage bool
}

// pushInFlight is a push that has not ended yet. Times are in seconds.
type pushInFlight struct {
	id        string // of the notification
	endpoint  string
	startedAt float64
	endsAt    float64
	result    decide.Result // with which it will end
}

const outageStart = 20.0 // seconds after the start of the simulation

// simulateFleet simulates a scenario in steps of one tick and returns the calls that reached the destination after the outage.
func simulateFleet(f fleetScenario, seed uint64) []arrival {
	const tick, refusalLatency = 0.005, 0.02
	returnsAt, end := f.returnsAt(), f.returnsAt()+20
	rng := rand.New(rand.NewPCG(seed, 1))
	type dispatcher struct {
		scheduler     *decide.Scheduler
		notifications map[string]decide.Notification
		inFlight      []pushInFlight
		loadShare     float64
		wakeAt        float64
		sawOutage     bool
	}
	newDispatcher := func() *dispatcher {
		dir := directory.New()
		dir.Apply(f.listed())
		return &dispatcher{notifications: map[string]decide.Notification{}, scheduler: decide.New(rng.Uint64(), dir,
			[]decide.Topic{{Name: "reading", Repeat: decide.Repeatable, DedupScope: "all", Objective: 2.5, TTL: 20, Benefit: 1,
				LateBenefit: 0.4}},
			decide.Capacity{MaxCalls: 12, MaxHeld: 60}, decide.Routes{}, f.recovery,
			decide.PushPolicy{MaxPushes: 8, Tick: tick, IdleTimeout: 15}, decide.TenantQuotas{}, false)}
	}
	dispatchers := make([]*dispatcher, f.dispatchers)
	shareSum := 0.0
	for i := range dispatchers {
		dispatchers[i] = newDispatcher()
		dispatchers[i].loadShare = 1
		if f.unevenLoad {
			dispatchers[i].loadShare = math.Exp(rng.NormFloat64())
		}
		shareSum += dispatchers[i].loadShare
	}
	meanRate := f.rate * f.load / shareSum
	var arrivals []arrival
	var answered []float64 // start times of the calls that were answered
	restarted := false
	nextID := 0
	for now := 0.0; now < end; now += tick {
		if !restarted && now >= returnsAt-0.4*(returnsAt-outageStart) {
			restarted = true
			for i, disp := range dispatchers {
				if rng.Float64() < f.restartShare {
					fresh := newDispatcher()
					fresh.loadShare = disp.loadShare
					ids := make([]string, 0)
					for id := range disp.notifications {
						ids = append(ids, id)
					}
					slices.Sort(ids)
					for _, id := range ids {
						ntf := disp.notifications[id]
						if ntf.TimeLeft = ntf.TimeLeft - now; ntf.TimeLeft > 0 {
							ntf.Restored = true
							fresh.scheduler.Place(now, ntf)
							ntf.TimeLeft += now
							fresh.notifications[id] = ntf
						}
					}
					dispatchers[i] = fresh
				}
			}
		}
		for _, disp := range dispatchers {
			changed := false
			disp.inFlight = slices.DeleteFunc(disp.inFlight, func(push pushInFlight) bool {
				if push.endsAt > now {
					return false
				}
				changed = true
				disp.sawOutage = disp.sawOutage || push.result != decide.Delivered
				outcome := decide.Outcome{NotificationID: push.id, Endpoint: push.endpoint, Result: push.result,
					Latency: now - push.startedAt, Final: push.result == decide.Delivered}
				if outcome.Final { // it reports its limit, and what the calls of the last second have left of it
					recentCalls := 0
					for i := len(answered) - 1; i >= 0 && answered[i] > now-1; i-- {
						recentCalls++
					}
					outcome.LimitReported, outcome.Limit, outcome.LimitLeft = true, f.rate, math.Max(0, 1-float64(recentCalls)/f.rate)
				}
				decision := disp.scheduler.HandleOutcome(now, outcome)
				if push.result == decide.Delivered {
					delete(disp.notifications, push.id)
				}
				confirmFinal(disp.scheduler, disp.notifications, now, decision)
				return true
			})
			if rng.Float64() < disp.loadShare*meanRate*tick {
				changed = true
				nextID++
				ntf := decide.Notification{ID: fmt.Sprint(nextID), Topic: "reading", Dest: "D", TimeLeft: 20}
				decision := disp.scheduler.Place(now, ntf)
				if decision.Action == decide.Hold {
					ntf.TimeLeft += now
					disp.notifications[ntf.ID] = ntf
				}
			}
			if !changed && now < disp.wakeAt {
				continue
			}
			lastCall := math.Inf(-1)
			for range 200 {
				wait, id := disp.scheduler.NextTurn(now)
				if wait > 0 {
					disp.wakeAt = now + wait
					break
				}
				ntf := disp.notifications[id]
				decision := disp.scheduler.Place(now, ntf)
				if decision.Action != decide.Push {
					confirmFinal(disp.scheduler, disp.notifications, now, decision)
					continue
				}
				push := pushInFlight{id: id, endpoint: decision.Endpoint, startedAt: now, endsAt: now + 0.1, result: decide.Delivered}
				if now >= outageStart && now < returnsAt {
					push.endsAt, push.result = now+decision.Timeout, decide.TimedOut // it hangs until the timeout
					if f.refusesConnections {
						push.endsAt, push.result = now+refusalLatency, decide.NotConnected
					}
				} else if now >= returnsAt && (f.countEachCall || lastCall != now) {
					arrivals = append(arrivals, arrival{now, disp.sawOutage})
				}
				if lastCall != now && push.result == decide.Delivered {
					answered = append(answered, now)
				}
				lastCall = now
				disp.inFlight = append(disp.inFlight, push)
			}
		}
	}
	return arrivals
}

// confirmFinal confirms that the client received the final answer, if the decision is one, and removes its notification.
func confirmFinal(scheduler *decide.Scheduler, notifications map[string]decide.Notification, now float64,
	decision decide.Decision) {
	if decision.Action == decide.Throttle || decision.Action == decide.Expire {
		delete(notifications, decision.NotificationID)
		scheduler.HandleOutcome(now, decide.Outcome{NotificationID: decision.NotificationID, Result: decide.Withdrawn, Final: true})
	}
}

// worstSpan returns the overload span after the return with the most calls beyond the recovery budget: its calls, its budget
// and its start in seconds after the return. It considers only spans while the destination is cold in which more than two
// thirds of the calls are from dispatchers that saw the outage.
func worstSpan(f fleetScenario, arrivals []arrival) (calls int, allowed, at float64) {
	worstExcess, returnsAt := math.Inf(-1), f.returnsAt()
	for i, first := range arrivals {
		if first.at > returnsAt+f.recovery.WarmUp-f.recovery.OverloadSpan {
			break // the destination is warm
		}
		j, sawOutageCalls := i, 0
		for ; j < len(arrivals) && arrivals[j].at < first.at+f.recovery.OverloadSpan; j++ {
			if arrivals[j].sawOutage {
				sawOutageCalls++
			}
		}
		capacity := f.recovery.InitialCapacityShare + (1-f.recovery.InitialCapacityShare)*math.Min(1, (first.at-returnsAt)/f.recovery.WarmUp)
		budget := f.recovery.OverloadFactor * capacity * f.rate * f.recovery.OverloadSpan
		if excess := float64(j-i) - budget - chanceMargin(budget); excess > worstExcess && 3*sawOutageCalls > 2*(j-i) {
			worstExcess, calls, allowed, at = excess, j-i, budget, first.at-returnsAt
		}
	}
	return calls, allowed, at
}

// chanceMargin returns how many calls beyond a budget of n are attributed to random variation.
func chanceMargin(n float64) float64 { return 2*math.Sqrt(n) + 2 }

// recoveryTerms are the recovery settings of three deployments, each with the rate of one destination, and for the first
// deployment also with that of a second.
var recoveryTerms = []fleetScenario{
	{rate: 3, recovery: decide.Recovery{InitialCapacityShare: 0.22, WarmUp: 12, OverloadFactor: 2, OverloadSpan: 1.5}},
	{rate: 8, recovery: decide.Recovery{InitialCapacityShare: 0.22, WarmUp: 12, OverloadFactor: 2, OverloadSpan: 1.5}},
	{rate: 6, recovery: decide.Recovery{InitialCapacityShare: 0.2, WarmUp: 11, OverloadFactor: 2, OverloadSpan: 3}},
	{rate: 20, recovery: decide.Recovery{InitialCapacityShare: 0.3, WarmUp: 8, OverloadFactor: 2, OverloadSpan: 1}},
}

// simulateReturns simulates outages of a destination in which half of the dispatchers restart. It returns in how many runs the
// cold destination was overloaded, the number of runs, and the highest share of the recovery budget that dispatchers which
// saw the outage used in the first three seconds.
func simulateReturns(t *testing.T, dispatchers int, seeds uint64) (overloaded, runs int, maxBudgetUsed float64) {
	t.Helper()
	for _, f := range recoveryTerms {
		for _, load := range []float64{0.8, 1.3} {
			f.dispatchers, f.recovery.Dispatchers, f.load, f.restartShare, f.unevenLoad =
				dispatchers, dispatchers, load, 0.5, dispatchers > 10
			sent, overloads := 0, 0
			for seed := range seeds {
				arrivals := simulateFleet(f, seed)
				calls, allowed, _ := worstSpan(f, arrivals)
				if float64(calls) > allowed+chanceMargin(allowed) {
					overloads++
				}
				for _, a := range arrivals {
					if a.sawOutage && a.at < f.returnsAt()+3 {
						sent++
					}
				}
			}
			meanCapacity := f.recovery.InitialCapacityShare + (1-f.recovery.InitialCapacityShare)*1.5/f.recovery.WarmUp
			budgetUsed := float64(sent) / (float64(seeds) * 3 * f.recovery.OverloadFactor * f.rate * meanCapacity)
			t.Logf("%d dispatchers, %g/s, load %g: overloaded in %d of %d runs, used %.2f of the budget", dispatchers, f.rate, load,
				overloads, seeds, budgetUsed)
			overloaded, runs, maxBudgetUsed = overloaded+overloads, runs+int(seeds), max(maxBudgetUsed, budgetUsed)
		}
	}
	return overloaded, runs, maxBudgetUsed
}

// Guards against trials that overload a cold destination: those of 20 or 30 dispatchers, each at three times the rate of its
// budget, added up to 1.6 times what the destination may get. For a budget of N calls in a span, 2 sqrt(N) + 2 more are
// attributed to random variation. With some ten spans in a run, one run in fifty may exceed that; the test allows two.
func TestColdFleet(t *testing.T) {
	for _, n := range []int{2, 5, 20, 30} {
		overloaded, runs, budgetUsed := simulateReturns(t, n, 8)
		if budgetUsed > 1 || 50*overloaded > 2*runs {
			t.Errorf("%d dispatchers: overloaded in %d of %d runs, used %.2f of the budget", n, overloaded, runs, budgetUsed)
		}
	}
}

// Guards against an overload by hundreds of dispatchers. The budget of each is less than one call while the destination is
// cold, but together they hold more than it may get. It was overloaded in 18 of 24 runs, with 1.74 of the budget used, for
// three reasons: trials were too frequent, because a correction was applied twice and waits ran while nothing was held; one
// failure was not treated as an outage; and the first dispatcher to get an answer treated the destination as warm.
func TestColdHundreds(t *testing.T) {
	overloaded, runs, budgetUsed := simulateReturns(t, 350, 3)
	if budgetUsed > 1 || 50*overloaded > 2*runs {
		t.Errorf("overloaded in %d of %d runs, used %.2f of the budget", overloaded, runs, budgetUsed)
	}
}
