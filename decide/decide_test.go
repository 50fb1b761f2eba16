package decide_test

import (
	"fmt"
	"testing"

	"orchiddrift/decide"
	"orchiddrift/directory"
)

// Outcomes of pushes, for harness.finish.
var (
	delivered          = decide.Outcome{Result: decide.Delivered}
	throttled          = decide.Outcome{Result: decide.Throttled}
	failed             = decide.Outcome{Result: decide.Failed}
	timedOut           = decide.Outcome{Result: decide.TimedOut, Latency: 4}
	tooManyConnections = decide.Outcome{Result: decide.Throttled, TooManyConnections: true}
	notConnected       = decide.Outcome{Result: decide.NotConnected}
	reset              = decide.Outcome{Result: decide.Reset}
)

// With one slot, destinations with a long and a short queue are served in turn.
func Example_deficitRoundRobin() {
	h := newHarness(1, 40, "A", "B")
	h.submit("reading", "A1", "A2", "A3", "A4", "B1", "B2")
	for i, id := range []string{"A1", "B1", "A2", "B2", "A3", "A4"} {
		h.runAt(float64(i) / 10)
		h.finish(id[:1], delivered, id)
	}
	// Output:
	// 0.00  push A1 to A
	// 0.10  push B1 to B
	// 0.20  push A2 to A
	// 0.30  push B2 to B
	// 0.40  push A3 to A
	// 0.50  push A4 to A
}

// The quantum is proportional to the benefit: three orders are pushed for each reading.
func Example_quantumByBenefit() {
	h := newHarness(1, 40, "A", "B")
	h.submit("reading", "A1", "A2", "A3")
	h.submit("order", "B1", "B2", "B3", "B4")
	for i, id := range []string{"A1", "B1", "B2", "B3", "A2", "B4", "A3"} {
		h.runAt(float64(i) / 10)
		h.finish(id[:1], delivered, id)
	}
	// Output:
	// 0.00  push A1 to A
	// 0.10  push B1 to B
	// 0.20  push B2 to B
	// 0.30  push B3 to B
	// 0.40  push A2 to A
	// 0.50  push B4 to B
	// 0.60  push A3 to A
}

// Where no connection was refused, an idle connection is kept for five seconds, so that it can be reused without another
// handshake.
func Example_idleConnectionKept() {
	h := newHarnessWith(func(dep *deployment) { dep.policy.IdleTimeout, dep.recovery.Dispatchers = 15, 100 }, 4, 40, "A")
	h.printCloses = true
	h.submit("reading", "A1")
	h.runAt(0)
	h.finish("A", delivered, "A1")
	h.runAt(4.9)
	h.runAt(5)
	// Output:
	// 0.00  push A1 to A
	// 5.00  close idle connections to A
}

// A report of 30% left of a limit of 10 calls per second allows three more calls. With no call in flight the allowance
// expires.
func Example_allowance() {
	h := newHarness(12, 40, "A")
	h.submit("order", "A1")
	h.runAt(0)
	h.finish("A", decide.Outcome{Result: decide.Delivered, LimitReported: true, LimitLeft: 0.3, Limit: 10}, "A1")
	h.submit("order", "A2", "A3", "A4", "A5")
	h.runAt(0.1)
	h.finish("A", decide.Outcome{Result: decide.Delivered, LimitReported: true, LimitLeft: 0.1, Limit: 10}, "A2", "A3", "A4")
	h.submit("reading", "A6")
	h.runAt(0.2)
	h.finish("A", decide.Outcome{Result: decide.Delivered, LimitReported: true, LimitLeft: 0, Limit: 10}, "A5")
	h.printWait()
	h.runAt(0.31)
	// Output:
	// 0.00  push A1 to A
	// 0.10  push A2 to A
	// 0.10  push A3 to A
	// 0.10  push A4 to A
	// 0.10  push A5 to A
	// 0.20  wait 0.10
	// 0.31  push A6 to A
}

// Notifications of low benefit leave a tenth of the limit unused.
func Example_reservedLimit() {
	h := newHarness(12, 40, "A")
	h.submit("order", "A1")
	h.runAt(0)
	h.finish("A", decide.Outcome{Result: decide.Delivered, LimitReported: true, LimitLeft: 0.3, Limit: 10}, "A1")
	h.submit("reading", "A2", "A3", "A4")
	h.submit("order", "A5")
	h.runAt(0.05)
	// Output:
	// 0.00  push A1 to A
	// 0.05  push A2 to A
	// 0.05  push A3 to A
	// 0.05  push A5 to A
}

// A told wait applies to all endpoints of the destination. A refusal without one stops pushes for half a second.
func Example_toldWait() {
	h := newHarness(8, 40, "A", "Ab")
	h.submit("reading", "A1", "A2")
	h.runAt(0)
	h.finish("A", decide.Outcome{Result: decide.Throttled, ToldWait: 1.5}, "A1")
	h.submit("reading", "A3")
	h.runAt(0.1)
	h.finish("Ab", throttled, "A2")
	h.runAt(1.2)
	h.printWait()
	h.runAt(1.5)
	h.runAt(1.7)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to Ab
	// 1.20  wait 0.30
	// 1.70  push A1 to Ab
}

// A destination gets six of eight slots, and four while it recovers, so that slots remain for others.
func Example_maxConcurrent() {
	h := newHarness(8, 60, "A", "B")
	h.submit("reading", "A1", "A2", "A3", "A4", "A5", "A6", "A7")
	h.runAt(0)
	h.finish("A", delivered, "A1", "A2", "A3", "A4", "A5", "A6")
	h.runAt(0)
	h.finish("A", notConnected, "A7")
	h.runAt(2)
	h.finish("A", notConnected, "A7")
	h.runAt(5)
	h.finish("A", notConnected, "A7")
	h.runAt(10)
	h.finish("A", delivered, "A7")
	h.submit("reading", "A8", "A9", "Aa", "Ab", "Ac", "Ad")
	h.submit("reading", "B1")
	h.runAt(17)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  push A3 to A
	// 0.00  push A4 to A
	// 0.00  push A5 to A
	// 0.00  push A6 to A
	// 0.00  push A7 to A
	// 2.00  push A7 to A
	// 5.00  push A7 to A
	// 10.00  push A7 to A
	// 17.00  push A8 to A
	// 17.00  push B1 to B
	// 17.00  push A9 to A
	// 17.00  push Aa to A
	// 17.00  push Ab to A
}

// A notification that was never pushed is throttled at its TTL. The timeout of a push does not exceed the TTL, and a once-only
// notification whose push timed out expires.
func Example_finalAnswerAtTTL() {
	h := newHarness(1, 40, "A", "B")
	h.submit("order", "A1")
	h.runAt(0)
	h.submit("reading", "B1", "C1")
	h.runAt(19.996)
	h.finish("A", timedOut, "A1")
	// Output:
	// 0.00  push A1 to A
	// 20.00  throttle B1
	// 20.00  throttle C1
	// 20.00  expire A1
}

// A once-only notification is pushed again only if no push can have run, a collapsible one only within its dedup window.
func Example_repeatPolicy() {
	h := newHarness(8, 40, "A", "B", "C")
	h.submit("order", "A1", "B2")
	h.submit("tally", "C1")
	h.runAt(0)
	h.finish("A", failed, "A1")
	h.finish("B", notConnected, "B2")
	h.runAt(4)
	h.finish("C", timedOut, "C1")
	h.runAt(5)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push B2 to B
	// 0.00  push C1 to C
	// 0.00  expire A1
	// 4.00  push B2 to B
	// 5.00  throttle C1
}

// Nothing is pushed to an endpoint that drains or is gone. Pushes go to another endpoint of the destination.
func Example_drain() {
	h := newHarness(8, 40, "A", "Ab")
	h.setEndpoint("A", "plain", directory.Draining)
	h.submit("reading", "A1", "A2")
	h.runAt(0)
	h.setEndpoint("Ab", "plain", directory.Gone)
	h.submit("reading", "A3")
	h.runAt(1)
	// Output:
	// 0.00  push A1 to Ab
	// 0.00  push A2 to Ab
}

// In an outage one push at a time is tried. After the first answer the destination gets what it can take while cold.
func Example_slowStart() {
	h := newHarness(12, 60, "A")
	h.submit("reading", "A1", "A2")
	h.runAt(0)
	h.finish("A", notConnected, "A1", "A2")
	h.submit("reading", "A3", "A4", "A5", "A6", "A7")
	h.runAt(0.1)
	h.runAt(2.6)
	h.finish("A", delivered, "A1")
	h.runAt(2.7)
	h.runAt(4)
	h.runAt(4.7)
	h.runAt(6)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 2.60  push A1 to A
	// 2.70  push A2 to A
	// 2.70  push A3 to A
	// 2.70  push A4 to A
	// 4.00  push A5 to A
	// 4.00  push A6 to A
	// 4.70  push A7 to A
}

// Notifications with the same key are pushed one after the other, after a timeout with the key cooldown in between. Other keys
// are not blocked.
func Example_orderedKey() {
	h := newHarness(8, 40, "A", "B")
	h.submit("order", "A1", "B1b", "A2")
	h.runAt(0)
	h.finish("A", timedOut, "A1")
	h.runAt(0.5)
	h.runAt(1)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  expire A1
	// 1.00  push B1b to B
}

// Pushes of one turn to one endpoint share a call, here up to three, which takes one slot.
func Example_sharedCall() {
	h := newHarness(2, 40, "B")
	h.setEndpoint("A", "bulk", directory.Ready)
	h.submit("reading", "A1", "A2", "A3", "A4", "B1")
	h.runAt(0)
	h.finish("A", delivered, "A1", "A2")
	h.runAt(0.1)
	h.finish("A", delivered, "A3")
	h.runAt(0.2)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  push A3 to A
	// 0.00  push B1 to B
	// 0.20  push A4 to A
}

// A told wait of a separate route does not apply to the other routes.
func Example_separateRoutes() {
	h := newHarness(8, 40)
	h.setEndpoint("A", "apart", directory.Ready)
	h.setEndpoint("Ab", "apart", directory.Ready)
	h.submit("reading", "A1")
	h.runAt(0)
	h.finish("A", decide.Outcome{Result: decide.Throttled, ToldWait: 5}, "A1")
	h.runAt(0.1)
	// Output:
	// 0.00  push A1 to A
	// 0.10  push A1 to Ab
}

// Guards against pushing at the old rate after a destination lowers its limit. Retries after a refusal do not count as
// demand, and the dispatcher's share falls with the limit: to half of two calls per second here, although 40 notifications
// are held.
func Example_loweredLimit() {
	h := newHarness(12, 60, "A")
	for i := range 40 {
		id := fmt.Sprintf("A%02d", i)
		h.notifications[id] = decide.Notification{ID: id, Topic: "order", Key: id, Dest: "A", TimeLeft: 15}
		h.scheduler.Place(h.now, h.notifications[id])
	}
	reported := decide.Outcome{Result: decide.Delivered, LimitReported: true, LimitLeft: 0.2, Limit: 10}
	lowered := decide.Outcome{Result: decide.Throttled, LimitReported: true, Limit: 2}
	h.runAt(0)
	h.finish("A", reported, "A00", "A01", "A02", "A03", "A04", "A05", "A06", "A07")
	h.finish("A", lowered, "A08")
	for i := range 40 {
		h.runAt(float64(i) / 10)
	}
	// Output:
	// 0.00  push A00 to A
	// 0.00  push A01 to A
	// 0.00  push A02 to A
	// 0.00  push A03 to A
	// 0.00  push A04 to A
	// 0.00  push A05 to A
	// 0.00  push A06 to A
	// 0.00  push A07 to A
	// 0.00  push A08 to A
	// 1.50  push A08 to A
	// 2.00  push A09 to A
}

// Guards against pushes that end before their answer is read. A push with 33 ms left was given up as its refusal arrived, the
// wait told in the refusal was lost, and the next push violated it. No push starts with less time left than the mean latency.
func Example_minimumTimeLeft() {
	h := newHarness(12, 60, "A")
	h.submit("reading", "A1", "A2", "A3")
	h.runAt(0)
	h.finish("A", delivered, "A1", "A2", "A3")
	h.notifications["A4"] = decide.Notification{ID: "A4", Topic: "reading", Dest: "A", TimeLeft: 0.05}
	h.notifications["A5"] = decide.Notification{ID: "A5", Topic: "reading", Dest: "A", TimeLeft: 0.07}
	h.apply(h.scheduler.Place(h.now, h.notifications["A4"]))
	h.apply(h.scheduler.Place(h.now, h.notifications["A5"]))
	h.runAt(0)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  push A3 to A
	// 0.00  throttle A4
	// 0.00  push A5 to A
}

// Guards against sending the whole queue to a destination that refuses, each time its wait is over.
func Example_paceAfterRefusals() {
	h := newHarness(12, 60, "A")
	h.submit("reading", "A1", "A2", "A3", "A4", "A5", "A6", "A7", "A8")
	h.runAt(0)
	h.finish("A", delivered, "A1", "A2", "A3", "A4", "A5", "A6")
	h.finish("A", throttled, "A7", "A8")
	h.submit("reading", "A9", "Aa", "Ab")
	h.runAt(0.5)
	h.runAt(0.7)
	h.runAt(1)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  push A3 to A
	// 0.00  push A4 to A
	// 0.00  push A5 to A
	// 0.00  push A6 to A
	// 0.00  push A7 to A
	// 0.00  push A8 to A
	// 0.70  push A7 to A
}

// Guards against pacing a destination for 33 seconds after one refusal where refusals cost nothing. Only a pause with jitter
// follows the wait, until half of the pushes are refused.
func Example_freeRefusals() {
	h := newHarnessWith(func(dep *deployment) { dep.routes.FreeRefusals = true }, 12, 60, "A")
	h.submit("reading", "A1", "A2", "A3", "A4", "A5", "A6", "A7")
	h.runAt(0)
	h.finish("A", delivered, "A1", "A2", "A3", "A4", "A5", "A6")
	h.finish("A", throttled, "A7")
	h.submit("reading", "A8", "A9")
	h.runAt(0.5)
	h.runAt(1.5)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  push A3 to A
	// 0.00  push A4 to A
	// 0.00  push A5 to A
	// 0.00  push A6 to A
	// 0.00  push A7 to A
	// 1.50  push A7 to A
	// 1.50  push A8 to A
	// 1.50  push A9 to A
}

// Guards against hundreds of dispatchers that overload a returning route because each has had only one failure. For a separate
// route an outage is detected after one failure, or after two refusals with much of its limit left.
func Example_routeOutage() {
	h := newHarnessWith(func(dep *deployment) { dep.recovery.Dispatchers, dep.routes.FreeRefusals = 200, true }, 12, 60)
	h.setEndpoint("A", "apart", directory.Ready)
	h.setEndpoint("Ab", "apart", directory.Draining)
	h.submit("reading", "A1")
	h.runAt(0)
	h.finish("A", notConnected, "A1")
	h.submit("reading", "A2", "A3", "A4")
	h.runAt(1.6)
	h.setEndpoint("B", "apart", directory.Ready)
	h.submit("reading", "B1")
	refusedWithLimitLeft := decide.Outcome{Result: decide.Throttled, LimitReported: true, LimitLeft: 0.9, Limit: 10}
	h.runAt(5)
	h.finish("B", refusedWithLimitLeft, "B1")
	h.runAt(14.2)
	h.finish("B", refusedWithLimitLeft, "B1")
	h.runAt(18.9)
	// Output:
	// 0.00  push A1 to A
	// 5.00  push B1 to B
	// 5.00  push A1 to A
	// 14.20  push B1 to B
}

// Guards against trials at full rate before any limit is reported. The rate of trials is lower where a call carries several
// notifications, where the destination has several routes, and where the failed push took long: pushes that wait for a
// connection to a silent destination all arrive together when it returns.
func Example_trialRate() {
	for _, tc := range []struct {
		kind   string
		routes int
		lasts  float64
	}{{"apart", 1, 0}, {"apart", 2, 0}, {"both", 1, 0}, {"apart", 1, 1.5}} {
		h := newHarnessWith(func(dep *deployment) {
			dep.recovery.Dispatchers, dep.recovery.RatesUnlisted = 200, true
			dep.capacity.BatchSize["both"], dep.routes.SeparateKinds = 10, map[string]bool{"apart": true, "both": true}
		}, 12, 60)
		h.setEndpoint("A", tc.kind, directory.Ready)
		h.submit("reading", "A1", "A2", "A3", "A4")
		h.runAt(0)
		h.now += tc.lasts
		h.finish("A", notConnected, "A1", "A2", "A3", "A4")
		if tc.routes > 1 {
			h.setEndpoint("Ab", tc.kind, directory.Ready)
			h.runAt(tc.lasts)
			h.finish("Ab", decide.Outcome{Result: decide.Throttled, ToldWait: 60}, "A1", "A2", "A3", "A4")
		}
		h.runAt(tc.lasts + 1)
		h.printWait()
	}
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  push A3 to A
	// 0.00  push A4 to A
	// 1.00  wait 0.40
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  push A3 to A
	// 0.00  push A4 to A
	// 0.00  push A1 to Ab
	// 0.00  push A2 to Ab
	// 0.00  push A3 to Ab
	// 0.00  push A4 to Ab
	// 1.00  wait 0.77
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  push A3 to A
	// 0.00  push A4 to A
	// 1.00  wait 0.55
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  push A3 to A
	// 0.00  push A4 to A
	// 2.50  wait 0.55
}

// RetryIn of a rejected notification is the time until the first route may get a push, not the last one. An unavailable route
// does not shorten it.
func Example_retryIn() {
	h := newHarnessWith(func(dep *deployment) { dep.recovery.Dispatchers = 200 }, 12, 3)
	for _, id := range []string{"A", "Ab"} {
		h.setEndpoint(id, "apart", directory.Ready)
	}
	h.submit("reading", "A1", "A2")
	h.runAt(0)
	h.finish("A", decide.Outcome{Result: decide.Throttled, ToldWait: 1.9}, "A1")
	h.finish("Ab", decide.Outcome{Result: decide.Throttled, ToldWait: 1.4}, "A2")
	fmt.Printf("%.1f\n", h.scheduler.Place(h.now, decide.Notification{ID: "A3", Topic: "reading", Dest: "A", TimeLeft: 20}).RetryIn)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to Ab
	// 1.4
}

// Where the benefit decays exponentially, a notification past its objective loses little more by waiting. It is pushed after
// those that are in time.
func Example_lateAfterTimely() {
	h := newHarnessWith(func(dep *deployment) { dep.topics[0].ExponentialDecay = true }, 1, 40, "A", "B")
	h.submit("reading", "B1", "A1", "A2")
	h.runAt(0)
	h.now = 102.5
	h.submit("reading", "A3")
	h.runAt(2.5)
	h.finish("B", delivered, "B1")
	h.runAt(2.6)
	h.finish("A", delivered, "A3")
	h.runAt(2.7)
	// Output:
	// 0.00  push B1 to B
	// 2.60  push A3 to A
	// 2.70  push A1 to A
}

// In a list without rates each endpoint has weight one, which must not be taken for one call per second. Until an answer
// reports the limit, the trial rate is derived from the arrivals at this dispatcher.
func Example_unlistedRate() {
	for _, unlisted := range []bool{false, true} {
		h := newHarnessWith(func(dep *deployment) { dep.recovery.RatesUnlisted, dep.recovery.Dispatchers = unlisted, 200 }, 12, 60)
		h.dir.Apply([]directory.Endpoint{{ID: "A", Kind: "plain", Dest: "A", Stage: directory.Ready, Rate: 1}})
		for i := range 20 {
			h.submit("reading", fmt.Sprint("A", i))
		}
		h.run(0, 15, notConnected)
	}
	// Output:
	// 0.0 A0, 0.0 A1, 0.0 A2, 0.0 A3, 0.0 A4, 0.0 A5, 0.0 A6, 0.0 A7, 0.0 A8
	// 0.0 A0, 0.0 A1, 0.0 A2, 0.0 A3, 0.0 A4, 0.0 A5, 0.0 A6, 0.0 A7, 0.0 A8, 1.5 A0, 3.0 A0
}

// An endpoint that fails one topic and accepts the others is avoided for that topic only, while another endpoint can take it.
func Example_topicAvoidance() {
	h := newHarness(12, 60, "A", "Ab")
	h.submit("reading", "A1", "A2")
	h.runAt(0)
	h.finish("Ab", delivered, "A2")
	h.finish("A", failed, "A1")
	h.runAt(0.1)
	h.finish("Ab", delivered, "A1") // the destination answers: the failure limits no pushes any more
	h.submit("reading", "A3", "A4")
	h.submit("tally", "A5", "A6")
	h.runAt(0.2)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to Ab
	// 0.10  push A1 to Ab
	// 0.20  push A3 to Ab
	// 0.20  push A4 to Ab
	// 0.20  push A5 to A
	// 0.20  push A6 to A
}

// An endpoint that delivers a topic and occasionally answers with an error is not avoided after one failure, but after two in
// a row.
func Example_singleTopicFailure() {
	h := newHarness(12, 60, "A", "Ab")
	for i, outcome := range []decide.Outcome{delivered, failed, failed, delivered} {
		reading, tally := fmt.Sprint("A", i), fmt.Sprint("A", i, "t")
		h.submit("reading", reading)
		h.runAt(float64(i))
		h.finish("A", outcome, reading)
		h.scheduler.HandleOutcome(h.now, decide.Outcome{NotificationID: reading, Result: decide.Withdrawn, Final: true})
		h.submit("tally", tally)
		h.runAt(float64(i) + 0.1)
		h.finish("A", delivered, tally)
	}
	// Output:
	// 0.00  push A0 to A
	// 0.10  push A0t to A
	// 1.00  push A1 to A
	// 1.10  push A1t to A
	// 2.00  push A2 to A
	// 2.10  push A2t to A
	// 3.00  push A3 to Ab
	// 3.10  push A3t to Ab
}

// Guards against sending a small route, after an outage, all that arrived for its destination. Trials are rarer there,
// according to the reported limits, and refused pushes are repeated over a longer time, longest where much of the limit was
// left.
func Example_smallRoute() {
	refusal := func(share, limit float64) decide.Outcome {
		return decide.Outcome{Result: decide.Throttled, LimitReported: true, LimitLeft: share, Limit: limit}
	}
	for _, tc := range []struct{ share, limit float64 }{{0, 10}, {0, 1}, {0.9, 1}} {
		h := newHarnessWith(func(dep *deployment) {
			dep.recovery.Dispatchers, dep.recovery.RatesUnlisted, dep.routes.FreeRefusals = 200, true, true
		}, 12, 60)
		for _, id := range []string{"A", "Ab"} {
			h.setEndpoint(id, "apart", directory.Ready)
		}
		h.submit("reading", "A1", "A2")
		h.runAt(0)
		otherRefusal := refusal(0, 10)
		otherRefusal.ToldWait = 60
		h.finish("A", refusal(tc.share, tc.limit), "A1")
		h.finish("Ab", otherRefusal, "A2")
		h.runAt(1.1)
		h.printWait()
	}
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to Ab
	// 1.10  wait 3.53
	// 0.00  push A1 to A
	// 0.00  push A2 to Ab
	// 1.10  wait 3.71
	// 0.00  push A1 to A
	// 0.00  push A2 to Ab
	// 1.10  wait 16.63
}

// Guards against a failed destination that fills the room for notifications. Its queue may be as long as the room that is
// left, times the relative benefit: two orders are queued beside the readings, and the third displaces the reading worth
// least.
func Example_queueBound() {
	h := newHarness(8, 8, "B")
	h.submit("reading", "A1", "A2", "A3", "A4", "A5")
	h.submit("order", "A6", "A7", "A8")
	h.runAt(0)
	h.submit("reading", "B1")
	h.runAt(0.1)
	// Output:
	// 0.00  throttle A5
	// 0.00  throttle A1
	// 0.10  push B1 to B
}

// Guards against a new outage being detected from timeouts of pushes that were sent before a later delivery.
func Example_staleTimeouts() {
	h := newHarness(12, 60, "A", "Ab")
	h.submit("reading", "A1", "A2")
	h.runAt(0)
	h.submit("reading", "A3")
	h.runAt(0.2)
	h.finish("A", delivered, "A3")
	h.runAt(4)
	h.finish("Ab", timedOut, "A1", "A2")
	h.runAt(4.1)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to Ab
	// 0.20  push A3 to A
	// 4.10  push A1 to A
	// 4.10  push A2 to A
}

// A single timeout among deliveries does not limit the pushes to a destination.
func Example_occasionalTimeout() {
	h := newHarness(12, 60, "A")
	h.submit("reading", "A1", "A2", "A3")
	h.runAt(0)
	h.finish("A", delivered, "A1")
	h.runAt(1)
	h.finish("A", delivered, "A2")
	h.runAt(2)
	h.finish("A", timedOut, "A3")
	h.submit("reading", "A4", "A5")
	h.runAt(2.1)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  push A3 to A
	// 2.10  push A3 to A
	// 2.10  push A4 to A
	// 2.10  push A5 to A
}

// Guards against hung destinations that take all slots. After two failed pushes to each, together they get a quarter of the
// slots. One failure alone is not treated as an outage.
func Example_hungDestinations() {
	h := newHarness(4, 60, "A", "B", "C")
	h.submit("reading", "A1", "B1")
	h.runAt(0)
	h.runAt(4)
	h.finish("A", timedOut, "A1")
	h.finish("B", timedOut, "B1")
	h.runAt(6)
	h.runAt(10)
	h.finish("A", timedOut, "A1")
	h.finish("B", timedOut, "B1")
	h.runAt(13)
	h.submit("reading", "C1")
	h.runAt(13.1)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push B1 to B
	// 6.00  push A1 to A
	// 6.00  push B1 to B
	// 13.00  push A1 to A
	// 13.10  push C1 to C
}

// Guards against setting an endpoint aside for pushes that had half a second left: their timeouts say nothing about the
// endpoint. Notifications with little time left are pushed before those with more.
func Example_shortTimeLeft() {
	h := newHarness(2, 40, "A")
	for i, id := range []string{"A1", "A2", "A3"} {
		h.runAt(float64(i))
		h.notifications[id] = decide.Notification{ID: id, Topic: "order", Dest: "A", TimeLeft: 0.5}
		h.apply(h.scheduler.Place(h.now, h.notifications[id]))
		h.runAt(float64(i))
		h.runAt(float64(i) + 0.5)
		h.finish("A", timedOut, id)
	}
	h.submit("reading", "A4", "A5")
	h.notifications["A6"] = decide.Notification{ID: "A6", Topic: "reading", Dest: "A", TimeLeft: 0.5}
	h.apply(h.scheduler.Place(h.now, h.notifications["A6"]))
	h.runAt(2.6)
	// Output:
	// 0.00  push A1 to A
	// 0.50  expire A1
	// 1.00  push A2 to A
	// 1.50  expire A2
	// 2.00  push A3 to A
	// 2.50  expire A3
	// 2.60  push A6 to A
}

// Guards against a tenant that takes the room of others. Its tenth notification in five seconds is over quota and is displaced.
func Example_tenantOverQuota() {
	h := newHarness(1, 20, "B")
	for _, digit := range "123456789" {
		ntf := decide.Notification{ID: "A" + string(digit), Topic: "reading", Dest: "A", Tenant: "big", TimeLeft: 20}
		h.notifications[ntf.ID] = ntf
		h.apply(h.scheduler.Place(h.now, ntf))
	}
	h.notifications["Ax"] = decide.Notification{ID: "Ax", Topic: "reading", Dest: "A", Tenant: "big", TimeLeft: 20}
	h.apply(h.scheduler.Place(h.now, h.notifications["Ax"]))
	h.submit("reading", "Ay")
	h.runAt(0.1)
	// Output:
	// 0.10  throttle Ax
}

// A list that is sent only on request is requested at start, and again some time after a failure.
func Example_listRequests() {
	dir := directory.New()
	s := decide.New(7, dir, topics, decide.Capacity{MaxCalls: 4, MaxHeld: 9}, decide.Routes{}, decide.Recovery{},
		decide.PushPolicy{MaxPushes: 8}, decide.TenantQuotas{}, true)
	for _, now := range []float64{0, 0.1, 0.2, 2.3} {
		if now == 0.2 {
			dir.RecordFailure()
		}
		wait, id := s.NextTurn(now)
		if wait <= 0 && id == "" {
			fmt.Printf("%.1f  %s\n", now, actionNames[s.Place(now, decide.Notification{}).Action])
		}
	}
	// Output:
	// 0.0  watch the list
	// 2.3  watch the list
}

// Guards against idle connections of many dispatchers that fill the connection tables of endpoints. Each of two dispatchers
// keeps an idle connection for the whole idle timeout, and for half of it once a connection was refused.
func Example_scarceConnections() {
	h := newHarness(4, 40, "A", "B")
	h.printCloses = true
	h.submit("reading", "A1")
	h.runAt(0)
	h.finish("A", delivered, "A1")
	h.runAt(0.9)
	h.runAt(1)
	h.submit("reading", "A2", "B1")
	h.runAt(2)
	h.finish("A", notConnected, "A2")
	h.finish("B", delivered, "B1")
	h.runAt(2.5)
	// Output:
	// 0.00  push A1 to A
	// 1.00  close idle connections to A
	// 2.00  push A2 to A
	// 2.00  push B1 to B
	// 2.50  close idle connections to A
	// 2.50  close idle connections to B
}

// Guards against treating a full connection table as a limit or an outage, where idle connections of hundreds of dispatchers
// fill an endpoint and it rejects pushes and closes their connections. Only that endpoint is set aside, for half a second
// plus jitter. The other endpoints of the destination get its pushes, pushes are not paced afterwards, and idle connections
// are closed at once, since this dispatcher calls less often than its share of the idle timeout.
func Example_tooManyConnections() {
	h := newHarness(12, 60, "A", "A'")
	h.printCloses = true
	h.submit("reading", "A1", "A2")
	h.runAt(0)
	h.finish("A", tooManyConnections, "A1")
	h.finish("A'", delivered, "A2")
	h.runAt(0.01)
	h.finish("A'", tooManyConnections, "A1")
	h.runAt(0.4)
	for i := 1; i < 5; i++ {
		h.runAt(1.1 * float64(i))
		h.finish("A'", tooManyConnections, "A1")
		h.runAt(1.1*float64(i) + 0.05)
	}
	h.submit("reading", "A3", "A4", "A5")
	h.runAt(5.5)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to A'
	// 0.01  push A1 to A'
	// 1.10  close idle connections to A
	// 1.10  close idle connections to A'
	// 1.10  push A1 to A'
	// 1.15  close idle connections to A'
	// 1.15  push A1 to A
	// 2.25  close idle connections to A
	// 2.25  push A1 to A'
	// 3.35  close idle connections to A'
	// 3.35  push A1 to A
	// 4.45  close idle connections to A
	// 4.45  push A1 to A'
	// 5.50  push A3 to A
	// 5.50  push A4 to A
	// 5.50  push A5 to A'
}

// Guards against lost answers that occupy all slots. The timeout of the push in the last slot is at most eight mean latencies,
// those of all endpoints where the endpoint has few samples.
func Example_lastSlotTimeout() {
	h := newHarness(2, 40, "A", "B")
	h.submit("reading", "A1", "A2", "A3", "A4")
	for i, id := range []string{"A1", "A2", "A3", "A4"} {
		h.runAt(float64(i) / 10)
		h.finish("A", delivered, id)
	}
	for _, id := range []string{"B1", "A5"} {
		h.notifications[id] = decide.Notification{ID: id, Topic: "reading", Dest: id[:1], TimeLeft: 20}
		h.scheduler.Place(h.now, h.notifications[id])
		push := h.scheduler.Place(h.now, h.notifications[id])
		fmt.Printf("%s waits %.2f\n", push.NotificationID, push.Timeout)
	}
	// Output:
	// 0.00  push A1 to A
	// 0.10  push A2 to A
	// 0.20  push A3 to A
	// 0.30  push A4 to A
	// B1 waits 2.00
	// A5 waits 1.16
}

// Guards against all dispatchers choosing the endpoint that is listed first. The first choice is random. Afterwards the
// endpoint that delivered last is preferred, until it refuses.
func Example_endpointTies() {
	h := newHarness(8, 40, "B", "A", "Ab", "Ac", "Ad")
	h.submit("reading", "B1", "A1")
	h.runAt(0)
	h.finish("Ab", delivered, "A1")
	h.submit("reading", "A2")
	h.runAt(0.1)
	h.finish("Ab", throttled, "A2")
	h.runAt(0.9)
	// Output:
	// 0.00  push B1 to B
	// 0.00  push A1 to Ab
	// 0.10  push A2 to Ab
	// 0.90  push A2 to A
}

// Guards against pacing by refusals from an outage, such as those of a hung partner with a full queue, which would allow one
// push in several seconds. After the first answer only the recovery budget applies.
func Example_refusalsBeforeRecovery() {
	h := newHarness(12, 60, "A")
	h.submit("reading", "A1", "A2", "A3", "A4")
	h.runAt(0)
	h.finish("A", throttled, "A1", "A2")
	h.runAt(2)
	h.finish("A", throttled, "A3", "A4")
	h.runAt(5)
	h.finish("A", delivered, "A1")
	h.runAt(5.1)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  push A3 to A
	// 0.00  push A4 to A
	// 5.00  push A1 to A
	// 5.10  push A2 to A
	// 5.10  push A3 to A
	// 5.10  push A4 to A
}

// Guards against overloading a returning destination for which far more arrives than it takes. Shares by arrivals then add up
// to more than its recovery budget, so the share is even: five pushes in two seconds, not eight.
func Example_overloadedRecovery() {
	h := newHarness(24, 200, "A")
	h.submit("reading", "A0")
	h.runAt(0)
	h.finish("A", notConnected, "A0")
	h.runAt(2)
	h.finish("A", notConnected, "A0")
	for i := range 70 {
		h.submit("reading", fmt.Sprint("A", i+1))
	}
	h.runAt(6)
	h.finish("A", delivered, "A0")
	h.runAt(6.1)
	// Output:
	// 0.00  push A0 to A
	// 2.00  push A0 to A
	// 6.00  push A0 to A
	// 6.10  push A1 to A
	// 6.10  push A2 to A
	// 6.10  push A3 to A
	// 6.10  push A4 to A
}

// After a restart a notification that may have run is pushed again only if its topic allows it, and a once-only one expires.
// A key stays blocked while the notice of an earlier notification is unacknowledged. Pushes before the restart count.
func Example_restart() {
	h := newHarness(6, 1, "A", "B", "C", "D")
	h.restore("order", "A1", decide.Notification{NoticePending: true})
	h.restore("order", "A1'", decide.Notification{})
	h.restore("reading", "B1", decide.Notification{Pushes: 7, FirstRunAt: 98, FirstRunEndpoint: "B"})
	h.restore("order", "C2", decide.Notification{Pushes: 1, FirstRunAt: 98, FirstRunEndpoint: "C"})
	h.restore("order", "C2'", decide.Notification{})
	h.restore("tally", "D1", decide.Notification{Pushes: 1, FirstRunAt: 94, FirstRunEndpoint: "D"})
	h.runAt(0)
	h.runAt(0.2)
	h.finish("B", failed, "B1")
	h.runAt(0.3)
	h.scheduler.HandleOutcome(h.now, decide.Outcome{NotificationID: "A1", Result: decide.Withdrawn, Final: true})
	h.runAt(0.4)
	h.runAt(1.2)
	// Output:
	// 0.00  expire C2
	// 0.00  throttle D1
	// 0.20  push B1 to B
	// 0.20  throttle B1
	// 0.40  push A1' to A
	// 1.20  push C2' to C
}

// An untried notification read back after a restart is not displaced by new ones that are worth more. One that was pushed
// before may be displaced.
func Example_restartUntried() {
	h := newHarness(6, 5, "A")
	h.setEndpoint("A", "plain", directory.Draining) // no push may start yet
	h.restore("reading", "A1", decide.Notification{})
	h.restore("reading", "A2", decide.Notification{Pushes: 1})
	h.restore("reading", "A3", decide.Notification{})
	h.submit("order", "A4", "A5", "A6", "A7")
	h.runAt(0.1)
	h.setEndpoint("A", "plain", directory.Ready)
	h.runAt(4)
	// Output:
	// 0.00  throttle A6
	// 0.00  throttle A7
	// 0.10  throttle A2
	// 4.00  push A1 to A
	// 4.00  push A3 to A
	// 4.00  push A4 to A
	// 4.00  push A5 to A
}

// A lost list is requested again after half a second to one second. With a poll that hung before, and a second loss, this
// must stay below the six seconds after which the dispatcher must apply a change of the list.
func TestListRequestDelay(t *testing.T) {
	for seed := range uint64(200) {
		dir := directory.New()
		s := decide.New(seed<<40+seed, dir, topics, decide.Capacity{MaxCalls: 4, MaxHeld: 9}, decide.Routes{}, decide.Recovery{},
			decide.PushPolicy{MaxPushes: 8}, decide.TenantQuotas{}, true)
		s.Place(0, decide.Notification{})
		dir.RecordFailure()
		if wait, id := s.NextTurn(1); id != "" || wait < 0.5 || wait > 1 {
			t.Fatalf("seed %d: asked again after %.2f s", seed, wait)
		}
	}
}

// A final answer that the client has not received yet keeps its key blocked.
func Example_unconfirmedFinalAnswer() {
	h := newHarness(6, 40, "A")
	h.unconfirmed = true
	h.submit("order", "A1", "A1'")
	h.runAt(0)
	h.finish("A", failed, "A1")
	h.runAt(0.1)
	h.scheduler.HandleOutcome(h.now, decide.Outcome{NotificationID: "A1", Result: decide.Withdrawn, Final: true})
	h.runAt(0.2)
	// Output:
	// 0.00  push A1 to A
	// 0.00  expire A1
	// 0.20  push A1' to A
}

// A told wait applies whatever the rest of the answer says: here the push was delivered.
func Example_waitWithDelivery() {
	h := newHarness(6, 40, "A")
	h.submit("reading", "A1")
	h.runAt(0)
	h.finish("A", decide.Outcome{Result: decide.Delivered, ToldWait: 0.7}, "A1")
	h.submit("reading", "A2")
	h.runAt(0.1)
	h.printWait()
	h.runAt(0.8)
	// Output:
	// 0.00  push A1 to A
	// 0.10  wait 0.60
	// 0.80  push A2 to A
}

// A push that is returned unsent does not count towards MaxPushes, which is eight. One that was not attempted for another
// reason does.
func Example_unsentPushNotCounted() {
	h := newHarness(6, 40, "A")
	h.submit("reading", "A1")
	for i, outcome := range []decide.Outcome{{Result: decide.NotAttempted, Unsent: true}, {Result: decide.NotAttempted}} {
		for range 8 {
			h.runAt(float64(i))
			h.finish("A", outcome, "A1")
		}
	}
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A1 to A
	// 0.00  push A1 to A
	// 0.00  push A1 to A
	// 0.00  push A1 to A
	// 0.00  push A1 to A
	// 0.00  push A1 to A
	// 0.00  push A1 to A
	// 1.00  push A1 to A
	// 1.00  push A1 to A
	// 1.00  push A1 to A
	// 1.00  push A1 to A
	// 1.00  push A1 to A
	// 1.00  push A1 to A
	// 1.00  push A1 to A
	// 1.00  push A1 to A
	// 1.00  throttle A1
}

// A notification for a destination that was never listed is rejected. One whose destination has no endpoint for now is held.
// A message that no endpoint can read is given up with its first push.
func Example_unknownDestination() {
	h := newHarness(8, 40, "A", "D")
	h.submit("reading", "X1")
	h.setEndpoint("D", "plain", directory.Gone)
	h.submit("reading", "D1", "A1")
	h.runAt(0)
	h.finish("A", decide.Outcome{Result: decide.NotAttempted, NoMorePushes: true}, "A1")
	// Output:
	// 0.00  throttle X1
	// 0.00  push A1 to A
	// 0.00  throttle A1
}

// Guards against sending all held notifications, after each wait, to a partner that limits its concurrent calls. It
// gets as many calls as it was processing when it refused, then slowly more. If it was processing none, the refusal comes
// from an outage and says nothing about that number.
func Example_concurrencyLimit() {
	h := newHarness(40, 200, "A")
	h.submit("reading", "A1", "A2", "A3", "A4", "A5", "A6")
	h.runAt(0)
	h.finish("A", throttled, "A4", "A5", "A6")
	h.runAt(0.6)
	h.finish("A", delivered, "A1")
	h.runAt(0.61)
	h.finish("A", delivered, "A2")
	h.runAt(0.62)
	// Output:
	// 0.00  push A1 to A
	// 0.00  push A2 to A
	// 0.00  push A3 to A
	// 0.00  push A4 to A
	// 0.00  push A5 to A
	// 0.00  push A6 to A
	// 0.61  push A4 to A
}

// Guards against detecting an outage from single connections that break, here those of one call in four. Breaks count once the
// endpoint has been unusually silent since the first. Until then a once-only push uses a new connection.
func Example_isolatedConnectionBreaks() {
	h := newHarness(8, 40, "A")
	for i := range 6 {
		h.submit("reading", "A1")
		h.runAt(0.2 * float64(i))
		h.runAt(0.2*float64(i) + 0.1)
		h.finish("A", delivered, "A1")
	}
	h.submit("reading", "A2", "A3")
	h.runAt(1.2)
	h.runAt(1.3)
	h.finish("A", reset, "A2", "A3")
	h.submit("order", "A4")
	h.runAt(1.4)
	h.runAt(2)
	h.finish("A", reset, "A2", "A3")
	h.runAt(2.1)
	// Output:
	// 0.00  push A1 to A
	// 0.20  push A1 to A
	// 0.40  push A1 to A
	// 0.60  push A1 to A
	// 0.80  push A1 to A
	// 1.00  push A1 to A
	// 1.20  push A2 to A
	// 1.20  push A3 to A
	// 1.40  push A2 to A
	// 1.40  push A3 to A
	// 1.40  push A4 to A on a new connection
}

// An answer in the last tick of the TTL may be late for the client, whose TTL began earlier, so the push does not wait for it.
func Example_lastTick() {
	h := newHarness(8, 40, "A")
	h.submit("reading", "A1")
	h.now = 119
	_, id := h.scheduler.NextTurn(h.now)
	push := h.scheduler.Place(h.now, h.notifications[id])
	fmt.Printf("%s waits %.3f, counts %.3f\n", push.NotificationID, push.Timeout, push.AnswerValidFor)
	// Output:
	// A1 waits 0.995, counts 0.995
}
