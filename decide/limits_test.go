package decide_test

import (
	"fmt"
	"strings"

	"orchiddrift/decide"
)

// run places every notification whose turn comes between two times, in steps of 10 ms. Each push ends 50 ms later with the
// given outcome. It prints when the pushes started.
func (h *harness) run(from, to float64, outcome decide.Outcome) {
	type inFlightPush struct {
		id string
		at float64
	}
	var inFlight []inFlightPush
	var started []string
	for h.now = 100 + from; h.now < 100+to; h.now += 0.01 {
		for len(inFlight) > 0 && inFlight[0].at <= h.now-0.05 {
			h.finish("A", outcome, inFlight[0].id)
			inFlight = inFlight[1:]
		}
		for range 20 {
			wait, id := h.scheduler.NextTurn(h.now)
			if wait > 0 {
				break
			}
			if decision := h.scheduler.Place(h.now, h.notifications[id]); decision.Action == decide.Push {
				started = append(started, fmt.Sprintf("%.1f %s", h.now-100, decision.NotificationID))
				inFlight = append(inFlight, inFlightPush{decision.NotificationID, h.now})
			}
		}
	}
	fmt.Println(strings.Join(started, ", "))
}

// Guards against detecting an outage from two refusals, 1.8 s apart, that reported an exhausted limit: ordered notifications
// then waited for seven seconds although the destination accepted pushes of other dispatchers. Two refusals in a row may come
// from the limit. From the third on, or with much of the limit left, the destination may be in an outage.
func Example_exhaustedLimit() {
	for _, share := range []float64{0, 0.9} {
		h := newHarness(8, 40, "A")
		h.submit("reading", "A1")
		h.run(0, 0.5, delivered)
		h.submit("reading", "A2")
		refusal := decide.Outcome{Result: decide.Throttled, LimitReported: true, LimitLeft: share, Limit: 10, ToldWait: 1.5}
		h.run(0.5, 3.3, refusal)
		h.submit("reading", "A3", "A4", "A5")
		h.run(3.3, 8, delivered)
	}
	// Output:
	// 0.0 A1
	// 0.5 A2, 2.2 A2
	// 3.8 A2, 4.3 A3, 4.8 A4, 5.3 A5
	// 0.0 A1
	// 0.5 A2, 2.2 A2
	// 5.1 A2, 5.1 A3, 5.1 A4, 5.1 A5
}

// A notification that waits for an earlier one with its key needs room, but no push yet. It is taken although the queue of its
// destination is full, as long as a tenth of the room is left.
func Example_orderedKeyAdmission() {
	h := newHarness(8, 20, "B")
	h.submit("order", "A0", "A1", "A2", "A3", "A4", "A5", "A6", "A7", "A8", "A9")
	h.submit("order", "Ax")
	h.submit("order", "A1a", "A1b", "A1c", "A1d", "A1e", "A1f", "A1g", "A1h", "A1i")
	// Output:
	// 0.00  throttle Ax
	// 0.00  throttle A1i
}

// After refusals the pace depends on the benefit: notifications worth three times as much are pushed sooner.
func Example_paceByBenefit() {
	for _, topic := range []string{"reading", "order"} {
		h := newHarness(8, 40, "A")
		h.submit("reading", "A1")
		h.submit("order", "A2")
		h.run(0, 0.5, decide.Outcome{Result: decide.Delivered, LimitReported: true, LimitLeft: 0.3, Limit: 4})
		h.submit(topic, "A3")
		h.run(0.5, 0.6, decide.Outcome{Result: decide.Throttled, LimitReported: true, Limit: 4, ToldWait: 0.2})
		h.submit(topic, "A4", "A5", "A6")
		h.run(0.6, 5, decide.Outcome{Result: decide.Delivered, LimitReported: true, LimitLeft: 0.3, Limit: 4})
	}
	// Output:
	// 0.0 A1, 0.0 A2
	// 0.5 A3
	// 1.4 A3, 2.3 A4, 3.1 A5, 3.9 A6
	// 0.0 A1, 0.0 A2
	// 0.5 A3
	// 1.2 A3, 1.8 A4, 2.3 A5, 2.9 A6
}

// A wait that was told after its push had ended applies to the destination. After one that is too long for a limit the first push is a
// trial, whose time is drawn at random.
func Example_lateToldWait() {
	for _, wait := range []float64{1.9, 3} {
		h := newHarness(8, 40, "A")
		h.submit("reading", "A1")
		h.runAt(0)
		h.now += 4
		h.finish("A", timedOut, "A1")
		h.scheduler.HandleOutcome(h.now, decide.Outcome{Dest: "A", Endpoint: "A", ToldWait: wait})
		for tick := 400; tick < 1100; tick++ {
			h.runAt(float64(tick) / 100)
		}
	}
	// Output:
	// 0.00  push A1 to A
	// 5.90  push A1 to A
	// 0.00  push A1 to A
	// 8.44  push A1 to A
}
