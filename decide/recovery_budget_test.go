package decide_test

import (
	"fmt"
	"maps"
	"slices"

	"orchiddrift/decide"
	"orchiddrift/directory"
)

// sweepDispatchers is the number of dispatchers in the sweep: the part of one is far below a call in a span.
const sweepDispatchers = 34

// sweepStates are the states in which the end of a push can meet a destination. Each function brings it into its state.
var sweepStates = []struct {
	name  string
	reach func(h *harness)
}{
	{"unknown", func(*harness) {}},
	{"known", func(h *harness) { h.endNext(delivered); h.now += 5 }},
	{"known, delivered just now", func(h *harness) { h.endNext(delivered) }},
	{"suspected", func(h *harness) { h.endNext(failed) }},
	{"ejected", func(h *harness) { h.endNext(notConnected); h.endNext(notConnected) }},
	{"slow start", func(h *harness) { h.endNext(notConnected); h.endNext(notConnected); h.endNext(delivered) }},
	{"restored", func(h *harness) {
		h.scheduler.RestoreRecovery(h.now, []decide.RecoveryState{{Owner: "A", BoundSince: h.now - 5}})
	}},
}

// sweepEnds are the ways in which a push can end.
var sweepEnds = []struct {
	name    string
	outcome decide.Outcome
	cut     bool // it has so little time left that its timeout is cut short
}{
	{"delivered", delivered, false},
	{"error", failed, false},
	{"timed out", timedOut, false},
	{"timed out, cut short", timedOut, true},
	{"not connected", notConnected, false},
	{"reset", reset, false},
	{"refused, limit left", decide.Outcome{Result: decide.Throttled, LimitReported: true, Limit: 10, LimitLeft: 0.8}, false},
	{"refused, no limit told", throttled, false},
	{"refused, limit used up", decide.Outcome{Result: decide.Throttled, LimitReported: true, Limit: 10}, false},
	{"too many connections", decide.Outcome{Result: decide.Throttled, TooManyConnections: true}, false},
	{"not attempted", decide.Outcome{Result: decide.NotAttempted, Unsent: true}, false},
}

// endNext submits notifications until one is pushed, and ends its push, and any that started with it, 0.1 s later.
func (h *harness) endNext(outcome decide.Outcome) { h.endNextOf(outcome, 20) }

// endNextOf is endNext with notifications that have the given time left.
func (h *harness) endNextOf(outcome decide.Outcome, timeLeft float64) {
	const maxSubmitted, step = 300, 0.05
	for range maxSubmitted {
		id := fmt.Sprint("A", len(h.notifications))
		h.notifications[id] = decide.Notification{ID: id, Topic: "reading", Dest: "A", TimeLeft: timeLeft}
		h.apply(h.scheduler.Place(h.now, h.notifications[id]))
		for end := h.now + min(timeLeft, 1); h.now < end; h.now += step {
			known := maps.Clone(h.pushed)
			h.runAt(h.now - 100)
			if len(h.pushed) == len(known) {
				continue
			}
			h.now += 0.1
			for _, pushed := range slices.Sorted(maps.Keys(h.pushed)) {
				if !known[pushed] {
					h.finish("A", outcome, pushed)
					delete(h.pushed, pushed)
				}
			}
			return
		}
	}
	panic("no push")
}

// callsInSpan submits notifications and returns how many of them are pushed within an overload span.
func (h *harness) callsInSpan() int {
	const submitted, span, step = 8, 2.0, 0.05
	before := len(h.pushed)
	h.now += 1.6 // endpoints are not set aside any more, and no default wait after a refusal applies
	for i := range submitted {
		h.submit("reading", fmt.Sprint("Anew", i))
	}
	for end := h.now + span; h.now < end; h.now += step {
		h.runAt(h.now - 100)
	}
	return len(h.pushed) - before
}

// The sweep: each way in which a push can end, in each state in which it can meet a destination, at one of 34 dispatchers. It prints the
// state that follows and how many of eight notifications, submitted 1.6 s later, and of the one that was not delivered are pushed within
// a span. After any failure or refusal
// that is at most one, but for a refusal that tells its limit as used up, one for too many connections, and a failure that is
// followed by a delivery within a span; so it is in slow start and in an outage whatever ends there. (Report b8470f.)
func Example_sweep() {
	fmt.Printf("%-26s", "")
	for _, end := range sweepEnds {
		fmt.Printf(" | %s", end.name)
	}
	fmt.Println()
	for _, state := range sweepStates {
		fmt.Printf("%-26s", state.name)
		for _, end := range sweepEnds {
			h := newHarnessWith(func(dep *deployment) { dep.recovery.Dispatchers = sweepDispatchers }, 12, 60, "A")
			h.quiet = true
			state.reach(h)
			timeLeft := 20.0
			if end.cut {
				timeLeft = 0.5
			}
			h.endNextOf(end.outcome, timeLeft)
			status := h.scheduler.RecoveryStatus(h.now, directory.Endpoint{ID: "A", Kind: "plain", Dest: "A", Rate: 10}).State
			fmt.Printf(" | %s %d", status, h.callsInSpan())
		}
		fmt.Println()
	}
	// Output:
	// | delivered | error | timed out | timed out, cut short | not connected | reset | refused, limit left | refused, no limit told | refused, limit used up | too many connections | not attempted
	// unknown                    | healthy 8 | suspected 1 | suspected 1 | suspected 1 | ejected 0 | ejected 0 | suspected 1 | suspected 1 | healthy 2 | healthy 9 | healthy 9
	// known                      | healthy 8 | suspected 1 | suspected 1 | suspected 1 | suspected 1 | suspected 1 | suspected 1 | suspected 1 | healthy 2 | healthy 9 | healthy 9
	// known, delivered just now  | healthy 8 | suspected 1 | suspected 1 | suspected 1 | suspected 1 | suspected 1 | suspected 1 | suspected 1 | healthy 2 | healthy 9 | healthy 9
	// suspected                  | slow start 1 | ejected 1 | ejected 1 | ejected 1 | ejected 1 | ejected 1 | suspected 1 | suspected 1 | suspected 1 | suspected 1 | suspected 1
	// ejected                    | slow start 1 | ejected 1 | ejected 1 | ejected 0 | ejected 1 | ejected 1 | ejected 1 | ejected 1 | ejected 1 | ejected 1 | ejected 1
	// slow start                 | slow start 1 | suspected 0 | suspected 0 | suspected 0 | ejected 1 | suspected 0 | suspected 0 | suspected 0 | slow start 1 | slow start 1 | slow start 1
	// restored                   | slow start 1 | ejected 1 | ejected 1 | ejected 1 | ejected 1 | ejected 1 | ejected 1 | ejected 1 | ejected 1 | ejected 1 | ejected 1
}

// Guards against a single failure among deliveries that slows a healthy destination down: two deliveries that were sent within a
// span leave no room for an outage.
func Example_failureBetweenDeliveries() {
	for _, gap := range []float64{0.5, 5} {
		h := newHarnessWith(func(dep *deployment) { dep.recovery.Dispatchers = sweepDispatchers }, 12, 60, "A")
		h.quiet = true
		h.endNext(delivered)
		h.endNext(failed)
		h.now += gap
		h.endNext(delivered)
		fmt.Printf("%.1f s: %d of 9\n", gap, h.callsInSpan())
	}
	// Output:
	// 0.5 s: 9 of 9
	// 5.0 s: 1 of 9
}

// Guards against a push that was not sent and yet uses up this dispatcher's part: the next one then waited for up to a hundred spans, while
// nothing was out that could end the wait.
func Example_unsentPushUsesNoPart() {
	h := newHarnessWith(func(dep *deployment) { dep.recovery.Dispatchers = 1000 }, 12, 60, "A")
	h.quiet = true
	h.endNext(failed)
	h.now++
	h.endNext(decide.Outcome{Result: decide.NotAttempted, Unsent: true})
	h.runAt(h.now - 100)
	fmt.Println(len(h.pushed), "sent at once")
	// Output:
	// 1 sent at once
}
