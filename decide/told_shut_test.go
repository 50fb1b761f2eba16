package decide_test

import (
	"fmt"
	"testing"

	"orchiddrift/decide"
	"orchiddrift/directory"
)

// refusedFor returns an outcome of a refused push that tells a wait, in seconds.
func refusedFor(wait float64) decide.Outcome {
	return decide.Outcome{Result: decide.Throttled, ToldWait: wait}
}

// status returns what a harness assumes of its destination A.
func (h *harness) status() decide.RecoveryStatus {
	return h.scheduler.RecoveryStatus(h.now, directory.Endpoint{ID: "A1", Kind: "plain", Dest: "A", Rate: 10})
}

// placeAll places every notification whose turn has come, however many there are.
func (h *harness) placeAll() {
	for wait, id := h.scheduler.NextTurn(h.now); wait <= 0; wait, id = h.scheduler.NextTurn(h.now) {
		h.apply(h.scheduler.Place(h.now, h.notifications[id]))
	}
}

// newQuietHarness returns a harness with one endpoint and two dispatchers that prints nothing.
func newQuietHarness() *harness {
	h := newHarness(8, 400, "A1")
	h.quiet = true
	return h
}

// A wait that is too long for a limit tells of an outage, whatever is reported of a limit and in whichever answer it stands: such a
// refusal counted as one of a limit that others have used up, and bound nothing (issue 87, review/8).
func TestLongWaitIsAnOutage(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome decide.Outcome
		want    decide.HealthState
	}{
		{"reports no limit", decide.Outcome{Result: decide.Throttled, ToldWait: 21, LimitReported: true}, decide.Ejected},
		{"reports a limit in use", decide.Outcome{Result: decide.Throttled, ToldWait: 21, LimitReported: true, LimitLeft: 0.1, Limit: 10}, decide.Ejected},
		{"reports nothing", refusedFor(21), decide.Ejected},
		{"not attempted", decide.Outcome{Result: decide.NotAttempted, ToldWait: 21}, decide.Ejected},
		{"no limit, no wait", decide.Outcome{Result: decide.Throttled, LimitReported: true}, decide.Suspected},
		{"a limit in use, a short wait", decide.Outcome{Result: decide.Throttled, ToldWait: 0.7, LimitReported: true, LimitLeft: 0.1, Limit: 10}, decide.Healthy},
	} {
		h := newQuietHarness()
		h.submit("reading", "Aa")
		h.runAt(0)
		h.finish("A1", test.outcome, "Aa")
		if got := h.status().State; got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
	h := newQuietHarness()
	h.submit("reading", "Aa")
	h.runAt(0)
	h.finish("A1", decide.Outcome{Result: decide.TimedOut}, "Aa")
	h.scheduler.HandleOutcome(h.now, decide.Outcome{Dest: "A", Endpoint: "A1", ToldWait: 21})
	if got := h.status().State; got != decide.Ejected {
		t.Errorf("told after the push had ended: %v", got)
	}
}

// Deliveries of calls that were sent before a refusal, or before a failure, was known do not end the outage: slow start ran off while
// the destination was still shut (issue 87, review/8).
func TestEarlierCallsDoNotEndAnOutage(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome decide.Outcome
		want    decide.HealthState
	}{
		{"told to wait", refusedFor(15), decide.Ejected},
		{"refused", decide.Outcome{Result: decide.Throttled}, decide.Suspected},
		{"failed", decide.Outcome{Result: decide.Failed}, decide.Suspected},
		{"reset", decide.Outcome{Result: decide.Reset}, decide.Suspected},
	} {
		h := newQuietHarness()
		h.submit("reading", "Aa", "Ab", "Ac")
		h.runAt(0)
		h.runAt(0.02)
		h.finish("A1", test.outcome, "Aa")
		h.runAt(0.1)
		h.finish("A1", decide.Outcome{Result: decide.Delivered}, "Ab", "Ac")
		if got := h.status().State; got != test.want {
			t.Errorf("%s, then calls of before delivered: %v, want %v", test.name, got, test.want)
		}
		for at := 0.2; h.status().State == test.want && at < 60; at += 0.1 { // a call sent since is delivered
			h.submit("reading", fmt.Sprint("Ad", at))
			clear(h.pushed)
			h.runAt(at)
			for id := range h.pushed {
				h.finish("A1", decide.Outcome{Result: decide.Delivered}, id)
			}
		}
		if got := h.status().State; got != decide.SlowStart && got != decide.Healthy {
			t.Errorf("%s, then a later call delivered: %v", test.name, got)
		}
	}
}

// A destination that was shut and told so is cold as it opens: it was taken for half warm, since nothing had been tried during the wait
// (issue 87, review/8).
func TestColdAtTheEndOfAToldWait(t *testing.T) {
	const wait, warmUp = 15.0, 10.0
	h := newQuietHarness()
	h.submit("reading", "Aa")
	h.runAt(0)
	h.finish("A1", refusedFor(wait), "Aa")
	clear(h.pushed)
	at := 0.0
	for ; len(h.pushed) == 0 && at < 60; at += 0.1 {
		h.submit("reading", fmt.Sprint("Ab", at))
		h.runAt(at)
	}
	if at < wait {
		t.Fatalf("pushed at %.1f, told to wait until %.1f", at, wait)
	}
	for id := range h.pushed {
		h.finish("A1", decide.Outcome{Result: decide.Delivered}, id)
	}
	share := 0.2 + 0.8*(h.now-100-wait)/warmUp // that the destination has of its capacity, at most
	evenShare := 10.0 / 2                      // of one of two dispatchers; more arrives
	if got, most := h.status().Part, 2*share*evenShare*2; h.status().State != decide.SlowStart || got > most {
		t.Errorf("%v at %.1f: part %.1f, at most %.1f", h.status().State, h.now-100, got, most)
	}
}

// A destination that takes hundreds of calls a second is held to its budget too: only the last 256 pushes were counted, so that a budget
// of more was none, and slow start ended early.
func TestBudgetOfManyCalls(t *testing.T) {
	const rate, warmUp, share, span, arrivals, rounding = 400.0, 14.0, 0.2, 1.5, 600.0, 1e-9
	h := newHarnessWith(func(d *deployment) {
		d.capacity = decide.Capacity{MaxCalls: 4000, MaxHeld: 20000}
		d.recovery = decide.Recovery{InitialCapacityShare: share, WarmUp: warmUp, OverloadFactor: 2, OverloadSpan: span, Dispatchers: 1}
	}, 4000, 20000)
	h.quiet = true
	h.dir.Apply([]directory.Endpoint{{ID: "A1", Kind: "plain", Dest: "A", Stage: directory.Ready, Rate: rate}})
	h.submit("reading", "Aa")
	h.runAt(0)
	h.finish("A1", refusedFor(5), "Aa")
	var sent []float64
	returnedAt, submitted := 0.0, 0
	for tick := range 4000 { // of 5 ms
		at := float64(tick) / 200
		h.now = 100 + at
		for ; float64(submitted) < at*arrivals; submitted++ {
			h.submit("reading", fmt.Sprint("A", submitted))
		}
		clear(h.pushed)
		h.placeAll()
		for id := range h.pushed { // answered at once
			sent = append(sent, at)
			h.finish("A1", decide.Outcome{Result: decide.Delivered}, id)
			if returnedAt == 0 {
				returnedAt = at
			}
		}
		for len(sent) > 0 && sent[0] <= at-span+rounding {
			sent = sent[1:]
		}
		allowed := 2 * rate * span * (share + (1-share)*min(1, (at-5)/warmUp))
		if at >= 5 && at < 5+warmUp && float64(len(sent)) > allowed {
			t.Fatalf("%d calls in the span that ends at %.2f, %.0f are allowed; returned at %.2f", len(sent), at, allowed, returnedAt)
		}
	}
	if returnedAt == 0 || len(sent) == 0 {
		t.Fatal("nothing was sent after the return")
	}
}

// Pushes to a cold destination that answers carry notifications with time for an answer: of a long queue the oldest were tried first, with
// too little time left to be answered, so that a return was not seen for longer than the TTL.
func TestTrialsHaveTimeForAnAnswer(t *testing.T) {
	const wait, coldLatency, ttl = 18.5, 1.0, 20.0
	h := newQuietHarness()
	h.submit("reading", "A-first")
	h.runAt(0)
	h.finish("A1", refusedFor(wait), "A-first")
	for tick := range 400 {
		at := float64(tick) / 10
		h.now = 100 + at
		h.submit("reading", fmt.Sprintf("A%03d", tick))
		clear(h.pushed)
		h.runAt(at)
		for id := range h.pushed {
			submittedAt := 0.0
			fmt.Sscanf(id, "A%f", &submittedAt)
			if left := ttl - (at - submittedAt/10); left < coldLatency {
				t.Fatalf("at %.1f %s is pushed with %.1f s left, an answer takes %.1f s", at, id, left, coldLatency)
			}
			h.finish("A1", decide.Outcome{Result: decide.Delivered, Latency: coldLatency}, id)
		}
	}
	if got := h.status().State; got != decide.Healthy && got != decide.SlowStart {
		t.Errorf("%v after the return", got)
	}
}
