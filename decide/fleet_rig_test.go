package decide_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/invariant"
)

// failureMode is how a destination fails calls in an outage.
type failureMode int

const (
	hangs   failureMode = iota // it takes calls and answers none
	refuses                    // it refuses connections
	errs                       // it answers with an error
	rejects                    // it rejects calls before processing, and reports that most of its limit is left
	resets                     // it takes calls and resets their connections
	mixed                      // each call fails in one of these ways
	shuts                      // it rejects calls before processing, and tells with some of the answers when it opens
	closes                     // it rejects calls before processing and closes their connections, as one that holds no more of them does
)

var failureModeNames = [...]string{"hangs", "refuses", "errs", "rejects", "resets", "mixed", "shuts", "closes"}

func (m failureMode) String() string { return failureModeNames[m] }

// reportMode is what a destination reports with its answers.
type reportMode int

const (
	reportsUsage reportMode = iota // its limit, and what is left of it
	reportsZero                    // that there is no limit
	reportsNone                    // nothing
	reportsInUse                   // its limit, of which little is left
)

var reportModeNames = [...]string{"usage", "no limit", "nothing", "a limit in use"}

func (m reportMode) String() string { return reportModeNames[m] }

// restartMode says which dispatchers restart during an outage.
type restartMode int

const (
	restartsTogether restartMode = iota // fleetScenario.restartShare of them, at once, and what was told is forgotten
	restartsApart                       // fleetScenario.restartShare of them, each at a random time, and the rule remembers what was told
)

// fleetScenario describes many dispatchers that push to one destination. The destination fails for a while, then answers and
// is cold.
type fleetScenario struct {
	dispatchers    int
	rate           float64 // calls per second that the destination takes when warm
	load           float64 // notifications per second that arrive for it, divided by rate
	recovery       decide.Recovery
	unevenLoad     bool    // some dispatchers get several times the mean load
	restartShare   float64 // share of dispatchers that restart during the outage and lose their measurements
	restarts       restartMode
	outageDuration float64 // seconds; 0 for 20
	endpoints      int     // endpoints of the destination, which share its rate; 0 for one
	failure        failureMode
	deliveredShare float64 // share of the calls that are delivered during the outage
	clumpSize      int     // notifications that arrive together at one dispatcher; 0 for one
	ttl            float64 // seconds; 0 for 20
	resubmits      bool    // clients submit again, to any dispatcher, what was handed back to them
	otherTraffic   bool    // a second destination, which stays healthy, gets as many notifications
	countEachCall  bool    // calls of one dispatcher in one tick count each; otherwise as one
	// judgedAtLastCall takes the capacity of a span at its last call, as the operators do ("what the settings allow it then"); else it is
	// that at the first one, which is less.
	judgedAtLastCall bool
	reports          reportMode
	tellsOneIn       int     // shuts: one refusal in this many tells when the destination opens, the first one included; 0 for none
	toldLate         float64 // seconds by which the wait that is told ends after the return; may be negative
	freeRefusals     bool
	maxCalls         int // in flight, of a dispatcher; 0 for 12
	maxHeld          int // of a dispatcher; 0 for 60
}

const (
	outageStart   = 20.0  // seconds after the start of the simulation
	fleetTick     = 0.005 // seconds
	answerLatency = 0.1   // seconds
	// refusalLatency is the time, in seconds, in which a destination that is shut rejects a call.
	refusalLatency = 0.02
	failingDest    = "D"
	healthyDest    = "H"
)

// returnsAt returns when the destination answers again, in seconds.
func (f fleetScenario) returnsAt() float64 { return outageStart + cmp.Or(f.outageDuration, 20) }

// timeToLive returns the TTL of each notification, in seconds.
func (f fleetScenario) timeToLive() float64 { return cmp.Or(f.ttl, 20) }

// listed returns the list of endpoints, all of them ready.
func (f fleetScenario) listed() []directory.Endpoint {
	var list []directory.Endpoint
	for i := range max(1, f.endpoints) {
		list = append(list, directory.Endpoint{ID: fmt.Sprint("e", i), Kind: "plain", Dest: failingDest, Stage: directory.Ready, Rate: f.rate})
	}
	if f.otherTraffic {
		list = append(list, directory.Endpoint{ID: "healthy", Kind: "plain", Dest: healthyDest, Stage: directory.Ready, Rate: f.rate})
	}
	return list
}

// arrival is a call that reached the destination after the outage. sawOutage says that an earlier push of its dispatcher
// failed.
type arrival struct {
	at         float64
	dispatcher int
	sawOutage  bool
	failures   int                // failed pushes of its dispatcher since the outage began
	state      decide.HealthState // what its dispatcher assumed before it was sent
}

// pushInFlight is a push that has not ended yet. Times are in seconds.
type pushInFlight struct {
	id        string // of the notification
	dest      string
	endpoint  string
	startedAt float64
	endsAt    float64
	result    decide.Result // with which it will end
	toldWait  float64       // that it will be told, in seconds from its end
}

// trackedNotification is a notification that a dispatcher holds, with what its ledger would record of it.
type trackedNotification struct {
	decide.Notification         // as submitted
	expiresAt           float64 // seconds
	pushes              int
	firstRunAt          float64 // seconds; 0 for none
	lastFailed          bool    // its last push ended without being delivered
}

// simulatedDispatcher is a dispatcher of a simulated fleet.
type simulatedDispatcher struct {
	index         int
	scheduler     *decide.Scheduler
	notifications map[string]*trackedNotification
	inFlight      []pushInFlight
	loadShare     float64
	wakeAt        float64
	restartAt     float64 // never unless restarts are apart
	sawOutage     bool
	failures      int
}

// simulatedFleet is the state of one simulation.
type simulatedFleet struct {
	fleetScenario
	rng         *rand.Rand
	now         float64
	dispatchers []*simulatedDispatcher
	meanRate    float64   // notifications per second, for a dispatcher with a load share of 1
	arrivals    []arrival // calls that reached the destination after the outage
	answered    []float64 // start times of the calls to it that were answered
	resubmitted []decide.Notification
	refused     int // calls that the destination rejected
	lastID      int
}

// simulateFleet simulates a scenario in steps of one tick and returns the calls that reached the destination after the outage.
func simulateFleet(f fleetScenario, seed uint64) []arrival {
	fleet := &simulatedFleet{fleetScenario: f, rng: rand.New(rand.NewPCG(seed, 1))}
	fleet.start()
	restarted := f.restarts != restartsTogether
	for end := f.returnsAt() + 20; fleet.now < end; fleet.now += fleetTick {
		if !restarted && fleet.now >= f.returnsAt()-0.4*(f.returnsAt()-outageStart) {
			restarted = true
			fleet.restartTogether()
		}
		for i, disp := range fleet.dispatchers {
			if disp.restartAt <= fleet.now {
				fleet.restart(i)
			}
			fleet.step(fleet.dispatchers[i])
		}
	}
	return fleet.arrivals
}

// start creates the dispatchers.
func (f *simulatedFleet) start() {
	f.dispatchers = make([]*simulatedDispatcher, f.fleetScenario.dispatchers)
	shareSum := 0.0
	for i := range f.dispatchers {
		disp := f.newDispatcher(i)
		f.dispatchers[i] = disp
		disp.loadShare = 1
		if f.unevenLoad {
			disp.loadShare = math.Exp(f.rng.NormFloat64())
		}
		shareSum += disp.loadShare
	}
	f.meanRate = f.rate * f.load / shareSum
	if f.restarts == restartsApart {
		for _, disp := range f.dispatchers {
			if f.rng.Float64() < f.restartShare {
				disp.restartAt = outageStart + f.rng.Float64()*(f.returnsAt()-outageStart)
			}
		}
	}
}

// newDispatcher returns a dispatcher whose process has just started.
func (f *simulatedFleet) newDispatcher(index int) *simulatedDispatcher {
	dir := directory.New()
	dir.Apply(f.listed())
	return &simulatedDispatcher{index: index, notifications: map[string]*trackedNotification{}, restartAt: math.Inf(1),
		scheduler: decide.New(f.rng.Uint64(), dir, []decide.Topic{{Name: "reading", Repeat: decide.Repeatable, DedupScope: "all",
			Objective: 2.5, TTL: f.timeToLive(), Benefit: 1, LateBenefit: 0.4}},
			decide.Capacity{MaxCalls: cmp.Or(f.maxCalls, 12), MaxHeld: cmp.Or(f.maxHeld, 60)}, decide.Routes{FreeRefusals: f.freeRefusals}, f.recovery,
			decide.PushPolicy{MaxPushes: 8, Tick: fleetTick, IdleTimeout: 15}, decide.TenantQuotas{}, false)}
}

// restartTogether restarts a share of the dispatchers. Their pushes in flight are not recorded as failed, and what they were
// told is forgotten.
func (f *simulatedFleet) restartTogether() {
	for i, disp := range f.dispatchers {
		if f.rng.Float64() >= f.restartShare {
			continue
		}
		fresh := f.newDispatcher(i)
		fresh.loadShare = disp.loadShare
		for _, id := range slices.Sorted(maps.Keys(disp.notifications)) {
			tracked := disp.notifications[id]
			ntf := tracked.Notification
			if ntf.TimeLeft = tracked.expiresAt - f.now; ntf.TimeLeft > 0 {
				ntf.Restored = true
				fresh.scheduler.Place(f.now, ntf)
				fresh.notifications[id] = tracked
			}
		}
		f.dispatchers[i] = fresh
	}
}

// restart restarts one dispatcher, which restores its notifications with what its ledger recorded. What it was told still
// counts.
func (f *simulatedFleet) restart(index int) {
	disp := f.dispatchers[index]
	fresh := f.newDispatcher(index)
	fresh.loadShare, fresh.sawOutage, fresh.failures = disp.loadShare, disp.sawOutage, disp.failures
	for _, push := range disp.inFlight { // without an end in the ledger: it may have run
		if tracked := disp.notifications[push.id]; tracked != nil {
			tracked.firstRunAt, tracked.lastFailed = cmp.Or(tracked.firstRunAt, push.startedAt), true
		}
	}
	fresh.scheduler.HandleRestart(f.now)
	fresh.scheduler.RestoreRecovery(f.now, disp.scheduler.RecoveryStates(f.now))
	for _, id := range slices.Sorted(maps.Keys(disp.notifications)) {
		tracked := disp.notifications[id]
		ntf := tracked.Notification
		if ntf.TimeLeft = tracked.expiresAt - f.now; ntf.TimeLeft <= 0 {
			continue
		}
		ntf.Restored, ntf.Pushes, ntf.FirstRunAt, ntf.LastPushFailed = true, tracked.pushes, tracked.firstRunAt, tracked.lastFailed
		ntf.FirstRunEndpoint = "e0"
		fresh.scheduler.Place(f.now, ntf)
		fresh.notifications[id] = tracked
	}
	f.dispatchers[index] = fresh
}

// step ends the pushes of a dispatcher that are due, submits notifications that arrive, and places those whose turn has come.
func (f *simulatedFleet) step(disp *simulatedDispatcher) {
	changed := f.endPushes(disp)
	if f.rng.Float64() < disp.loadShare*f.meanRate*fleetTick/float64(max(1, f.clumpSize)) {
		changed = true
		for range max(1, f.clumpSize) {
			f.submit(disp, failingDest)
		}
	}
	if f.otherTraffic && f.rng.Float64() < disp.loadShare*f.meanRate*fleetTick {
		changed = true
		f.submit(disp, healthyDest)
	}
	if n := len(f.resubmitted); n > 0 && f.rng.Float64() < float64(n)*fleetTick/float64(len(f.dispatchers)) {
		changed = true
		f.resubmitted = f.resubmitted[:n-1]
		f.submit(disp, failingDest)
	}
	if changed || f.now >= disp.wakeAt {
		f.place(disp)
	}
}

// submit submits a new notification to a dispatcher.
func (f *simulatedFleet) submit(disp *simulatedDispatcher, dest string) {
	f.lastID++
	ntf := decide.Notification{ID: fmt.Sprint(f.lastID), Topic: "reading", Dest: dest, TimeLeft: f.timeToLive()}
	if decision := disp.scheduler.Place(f.now, ntf); decision.Action == decide.Hold {
		disp.notifications[ntf.ID] = &trackedNotification{Notification: ntf, expiresAt: f.now + ntf.TimeLeft}
	} else if f.resubmits {
		f.resubmitted = append(f.resubmitted, ntf)
	}
}

// endPushes ends the pushes of a dispatcher that are due, and reports whether there were any.
func (f *simulatedFleet) endPushes(disp *simulatedDispatcher) bool {
	changed := false
	disp.inFlight = slices.DeleteFunc(disp.inFlight, func(push pushInFlight) bool {
		if push.endsAt > f.now {
			return false
		}
		changed = true
		f.endPush(disp, push)
		return true
	})
	return changed
}

// endPush reports the outcome of a push to its dispatcher.
func (f *simulatedFleet) endPush(disp *simulatedDispatcher, push pushInFlight) {
	outcome := decide.Outcome{NotificationID: push.id, Endpoint: push.endpoint, Result: push.result,
		Latency: f.now - push.startedAt, Final: push.result == decide.Delivered}
	tracked := disp.notifications[push.id]
	if push.result != decide.Delivered && push.dest == failingDest {
		disp.sawOutage = true
		disp.failures++
	}
	outcome.TooManyConnections = push.result == decide.Throttled && f.failure == closes
	if push.dest == failingDest && (outcome.Final || push.result == decide.Throttled) { // it reports its limit, and what is left of it
		f.report(&outcome)
	}
	outcome.ToldWait = push.toldWait
	if tracked != nil {
		tracked.lastFailed = push.result != decide.Delivered
		if push.result != decide.NotConnected && push.result != decide.Throttled {
			tracked.firstRunAt = cmp.Or(tracked.firstRunAt, push.startedAt)
		}
	}
	decision := disp.scheduler.HandleOutcome(f.now, outcome)
	if push.result == decide.Delivered {
		delete(disp.notifications, push.id)
	}
	f.confirmFinal(disp, decision)
}

// littleLeft is the share of its limit that a destination has left whose limit is in use.
const littleLeft = 0.2

// report adds to an outcome what the destination reports of its limit.
func (f *simulatedFleet) report(outcome *decide.Outcome) {
	switch f.reports {
	case reportsUsage:
		outcome.LimitReported, outcome.Limit, outcome.LimitLeft = true, f.rate, math.Max(0, 1-f.answeredLately()/f.rate)
	case reportsZero:
		outcome.LimitReported = true
	case reportsInUse:
		outcome.LimitReported, outcome.Limit, outcome.LimitLeft = true, f.rate, littleLeft
	}
}

// answeredLately returns the number of calls to the destination in the last second that were answered.
func (f *simulatedFleet) answeredLately() float64 {
	recent := 0
	for i := len(f.answered) - 1; i >= 0 && f.answered[i] > f.now-1; i-- {
		recent++
	}
	return float64(recent)
}

// place places the notifications of a dispatcher whose turn has come.
func (f *simulatedFleet) place(disp *simulatedDispatcher) {
	lastCall := math.Inf(-1)
	for range 200 {
		wait, id := disp.scheduler.NextTurn(f.now)
		if wait > 0 {
			disp.wakeAt = f.now + wait
			return
		}
		var ntf decide.Notification
		if tracked := disp.notifications[id]; tracked != nil {
			ntf = tracked.Notification
		}
		state := disp.scheduler.RecoveryStatus(f.now, directory.Endpoint{ID: "e0", Kind: "plain", Dest: failingDest, Rate: f.rate}).State
		decision := disp.scheduler.Place(f.now, ntf)
		if decision.Action != decide.Push {
			f.confirmFinal(disp, decision)
			continue
		}
		disp.notifications[id].pushes++
		push := f.send(ntf.Dest, decision)
		disp.inFlight = append(disp.inFlight, push)
		if ntf.Dest != failingDest {
			continue
		}
		if f.now >= f.returnsAt() && (f.countEachCall || lastCall != f.now) {
			f.arrivals = append(f.arrivals, arrival{f.now, disp.index, disp.sawOutage, disp.failures, state})
		}
		if lastCall != f.now && push.result == decide.Delivered {
			f.answered = append(f.answered, f.now)
		}
		lastCall = f.now
	}
}

// send returns the push that a decision starts.
func (f *simulatedFleet) send(dest string, decision decide.Decision) pushInFlight {
	push := pushInFlight{id: decision.NotificationID, dest: dest, endpoint: decision.Endpoint, startedAt: f.now,
		endsAt: f.now + answerLatency, result: decide.Delivered}
	outage := dest == failingDest && f.now >= outageStart && f.now < f.returnsAt()
	if !outage || f.deliveredShare > 0 && f.rng.Float64() < f.deliveredShare {
		return push
	}
	mode := f.failure
	if mode == mixed {
		mode = failureMode(f.rng.IntN(int(mixed)))
	}
	switch mode {
	case hangs:
		push.endsAt, push.result = f.now+decision.Timeout, decide.TimedOut
	case refuses:
		push.endsAt, push.result = f.now+0.02, decide.NotConnected
	case errs:
		push.endsAt, push.result = f.now+0.1+0.3*f.rng.Float64(), decide.Failed
	case rejects:
		push.endsAt, push.result = f.now+0.02, decide.Throttled
	case shuts:
		push.endsAt, push.result = f.now+refusalLatency, decide.Throttled
		if f.tellsOneIn > 0 && f.refused%f.tellsOneIn == 0 {
			push.toldWait = max(0, f.returnsAt()+f.toldLate-push.endsAt)
		}
		f.refused++
	case closes:
		push.endsAt, push.result = f.now+refusalLatency, decide.Throttled
	case resets:
		push.endsAt, push.result = f.now+0.05+0.25*f.rng.Float64(), decide.Reset
	}
	return push
}

// confirmFinal confirms that the client received the final answer, if the decision is one, and removes its notification.
func (f *simulatedFleet) confirmFinal(disp *simulatedDispatcher, decision decide.Decision) {
	if decision.Action != decide.Throttle && decision.Action != decide.Expire {
		return
	}
	if tracked := disp.notifications[decision.NotificationID]; f.resubmits && tracked != nil && tracked.Dest == failingDest &&
		decision.Action == decide.Throttle {
		f.resubmitted = append(f.resubmitted, tracked.Notification)
	}
	delete(disp.notifications, decision.NotificationID)
	disp.scheduler.HandleOutcome(f.now, decide.Outcome{NotificationID: decision.NotificationID, Result: decide.Withdrawn, Final: true})
}

// describeSpan counts the calls of a span after the return by the state that their dispatchers assumed and the failures that they had
// met.
func describeSpan(f fleetScenario, arrivals []arrival, from float64) string {
	count := map[string]int{}
	for _, a := range arrivals {
		if a.at >= f.returnsAt()+from && a.at < f.returnsAt()+from+f.recovery.OverloadSpan {
			count[fmt.Sprintf("%v after %d failures", a.state, min(a.failures, 3))]++
		}
	}
	return fmt.Sprint(count)
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
		judgedAt := first.at
		if f.judgedAtLastCall {
			judgedAt = arrivals[j-1].at
		}
		capacity := f.recovery.InitialCapacityShare + (1-f.recovery.InitialCapacityShare)*math.Min(1, (judgedAt-returnsAt)/f.recovery.WarmUp)
		budget := f.recovery.OverloadFactor * capacity * f.rate * f.recovery.OverloadSpan
		if excess := float64(j-i) - budget - f.margin(budget); excess > worstExcess && 3*sawOutageCalls > 2*(j-i) {
			worstExcess, calls, allowed, at = excess, j-i, budget, first.at-returnsAt
		}
	}
	return calls, allowed, at
}

// margin returns how many calls beyond a budget of n the destination takes in a scenario. Scenarios of restartsApart use the
// operators' tolerance.
func (f fleetScenario) margin(n float64) float64 {
	if f.restarts == restartsApart {
		return invariant.RecoveryBudget(n) - n
	}
	return chanceMargin(n)
}

// chanceMargin returns how many calls beyond a budget of n are attributed to random variation.
func chanceMargin(n float64) float64 { return 2*math.Sqrt(n) + 2 }
