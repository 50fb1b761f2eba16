package decide_test

import (
	"fmt"
	"slices"

	"orchiddrift/decide"
	"orchiddrift/directory"
)

// harness drives one Scheduler as its caller does, and prints the decisions. Times are in seconds; the clock starts at 100.
type harness struct {
	scheduler     *decide.Scheduler
	dir           *directory.Directory
	notifications map[string]decide.Notification
	now           float64

	pushed      map[string]bool // by ID: whether a notification was pushed
	printCloses bool            // print CloseIdle decisions too
	quiet       bool            // print no decisions
	unconfirmed bool            // do not confirm that clients received final answers
}

// topics are the topics of a harness. Their TTL is the time left of the notifications that submit and restore place.
var topics = []decide.Topic{
	{Name: "reading", Repeat: decide.Repeatable, DedupScope: "all", Objective: 2, TTL: 20, Benefit: 1, LateBenefit: 0.4},
	{Name: "tally", Repeat: decide.Collapsible, DedupWindow: 5, DedupScope: "all", Objective: 2, TTL: 20, Benefit: 1},
	{Name: "order", Repeat: decide.OnceOnly, DedupScope: "all", Objective: 2, TTL: 20, Benefit: 3, LateBenefit: 0.4,
		Ordered: true},
}

// deployment holds the arguments of decide.New.
type deployment struct {
	topics   []decide.Topic
	capacity decide.Capacity
	routes   decide.Routes
	recovery decide.Recovery
	policy   decide.PushPolicy
	quotas   decide.TenantQuotas
	seed     uint64 // of the Scheduler's random numbers
}

// newHarness returns a harness with ready endpoints. The first letter of an ID names its destination.
func newHarness(maxCalls, maxHeld int, endpoints ...string) *harness {
	return newHarnessWith(func(*deployment) {}, maxCalls, maxHeld, endpoints...)
}

// newHarnessWith returns a harness as newHarness does, with a modified deployment.
func newHarnessWith(modify func(*deployment), maxCalls, maxHeld int, endpoints ...string) *harness {
	h := &harness{dir: directory.New(), notifications: map[string]decide.Notification{}, pushed: map[string]bool{}, now: 100}
	dep := deployment{topics: slices.Clone(topics),
		capacity: decide.Capacity{MaxCalls: maxCalls, MaxHeld: maxHeld, BatchSize: map[string]int{"bulk": 3}},
		routes:   decide.Routes{SeparateKinds: map[string]bool{"apart": true}},
		recovery: decide.Recovery{InitialCapacityShare: 0.2, WarmUp: 10, OverloadFactor: 2, OverloadSpan: 2, Dispatchers: 2},
		policy:   decide.PushPolicy{MaxPushes: 8, KeyCooldown: 1, Tick: 0.005, IdleTimeout: 1},
		quotas:   decide.TenantQuotas{Rate: map[string]float64{"big": 2}, OverQuotaBenefit: 0.05}}
	dep.seed = 7
	modify(&dep)
	h.scheduler = decide.New(dep.seed, h.dir, dep.topics, dep.capacity, dep.routes, dep.recovery, dep.policy, dep.quotas, false)
	for _, dest := range "ABC" { // listed, without a ready endpoint
		h.setEndpoint(string(dest)+" drains", "plain", directory.Draining)
	}
	for _, e := range endpoints {
		h.setEndpoint(e, "plain", directory.Ready)
	}
	return h
}

// setEndpoint lists an endpoint with the given kind and stage. The first letter of its ID names its destination.
func (h *harness) setEndpoint(id, kind, stage string) {
	h.dir.Apply([]directory.Endpoint{{ID: id, Kind: kind, Dest: id[:1], Stage: stage, Rate: 10}})
}

// submit places new notifications. The first letter of an ID names the destination, the second the key of an order.
func (h *harness) submit(topic string, ids ...string) {
	for _, id := range ids {
		ntf := decide.Notification{ID: id, Topic: topic, Dest: id[:1], TimeLeft: 20}
		if topic == "order" {
			ntf.Key = id[1:2]
		}
		h.notifications[id] = ntf
		h.apply(h.scheduler.Place(h.now, ntf))
	}
}

// restore places a notification as one read back after a restart.
func (h *harness) restore(topic, id string, ntf decide.Notification) {
	ntf.ID, ntf.Topic, ntf.Dest, ntf.TimeLeft, ntf.Restored = id, topic, id[:1], 20, true
	if topic == "order" {
		ntf.Key = id[1:2]
	}
	h.notifications[id] = ntf
	h.apply(h.scheduler.Place(h.now, ntf))
}

// runAt sets the clock and places every notification whose turn has come.
func (h *harness) runAt(now float64) {
	h.now = 100 + now
	for range 100 {
		wait, id := h.scheduler.NextTurn(h.now)
		if wait > 0 {
			return
		}
		h.apply(h.scheduler.Place(h.now, h.notifications[id]))
	}
	fmt.Println("NextTurn returned no wait in 100 turns")
}

// printWait prints the time until the next turn.
func (h *harness) printWait() {
	wait, _ := h.scheduler.NextTurn(h.now)
	fmt.Printf("%.2f  wait %.2f\n", h.now-100, wait)
}

// finish reports the outcome of pushes to an endpoint.
func (h *harness) finish(endpoint string, outcome decide.Outcome, ids ...string) {
	for _, id := range ids {
		outcome.NotificationID, outcome.Endpoint = id, endpoint
		outcome.Final = outcome.Result == decide.Delivered
		if outcome.Latency == 0 {
			outcome.Latency = 0.1
		}
		h.apply(h.scheduler.HandleOutcome(h.now, outcome))
	}
}

// actionNames holds the actions as harness.apply prints them.
var actionNames = map[decide.Action]string{decide.Push: "push", decide.Throttle: "throttle", decide.Expire: "expire",
	decide.WatchList: "watch the list"}

// apply prints a decision, unless the harness is quiet, and confirms a final answer as received by the client, unless
// unconfirmed is set.
func (h *harness) apply(decision decide.Decision) {
	if decision.Action == decide.Push {
		h.pushed[decision.NotificationID] = true
	}
	if h.quiet {
		if decision.Action == decide.Throttle || decision.Action == decide.Expire {
			h.scheduler.HandleOutcome(h.now,
				decide.Outcome{NotificationID: decision.NotificationID, Result: decide.Withdrawn, Final: true})
		}
		return
	}
	switch decision.Action {
	case decide.Hold, decide.CloseIdle:
		if decision.Action == decide.CloseIdle && h.printCloses {
			fmt.Printf("%.2f  close idle connections to %s\n", h.now-100, decision.Endpoint)
		}
	case decide.Push:
		suffix := ""
		if decision.NewConnection {
			suffix = " on a new connection"
		}
		fmt.Printf("%.2f  push %s to %s%s\n", h.now-100, decision.NotificationID, decision.Endpoint, suffix)
	default:
		fmt.Printf("%.2f  %s %s\n", h.now-100, actionNames[decision.Action], decision.NotificationID)
		if !h.unconfirmed {
			h.scheduler.HandleOutcome(h.now,
				decide.Outcome{NotificationID: decision.NotificationID, Result: decide.Withdrawn, Final: true})
		}
	}
}
