package rules

import (
	"fmt"
	"slices"

	"orchiddrift/lab/behaviour"
	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

// Recovery describes how near a destination came to an overload after an outage: the span with the most calls, as a share of
// what it can take, among those that dispatchers with knowledge of the outage would be to blame for.
type Recovery struct {
	Dest       int     `json:"dest"`
	ReturnedAt float64 `json:"returned"`
	At         float64 `json:"at"` // end of the span
	Calls      int     `json:"calls"`
	Aware      int     `json:"aware"` // calls from dispatchers that had seen the outage
	Allowed    float64 `json:"allowed"`
}

// Use returns the calls of the span as a share of those that the destination can take.
func (r Recovery) Use() float64 { return float64(r.Calls) / r.Allowed }

// SpanCall is a call of the span in which a destination was overloaded.
type SpanCall struct {
	At         float64 `json:"at"`
	Dispatcher int     `json:"dispatcher"`
	ID         string  `json:"id"`
	Endpoint   string  `json:"endpoint"`
	Failures   int     `json:"failures"` // calls of its dispatcher to the destination that had failed in the outage by then
	Aware      bool    `json:"aware"`    // its dispatcher had seen the outage
	Process    int     `json:"process"`  // number of the dispatcher's process, from 1
}

// checkOverload checks the recovery of destinations after outages. An overload is a violation if at least minAwareShare of
// the calls that caused it came from dispatchers that had seen the outage.
func (c *checker) checkOverload() {
	for _, partner := range c.world.Partners {
		for _, fault := range c.world.Faults {
			if fault.CausesOutage() && !fault.ReturnsWarm && fault.Endpoint == 0 && fault.Dests[partner.Dest] {
				c.checkRecovery(partner, fault)
			}
		}
	}
}

// checkRecovery checks one destination after one outage, notes its worst span and reports at most one overload.
func (c *checker) checkRecovery(partner scenario.Partner, outage scenario.Fault) {
	detector := behaviour.OverloadDetector{OverloadFactor: c.world.Recovery.OverloadFactor, Span: c.world.Recovery.OverloadSpan,
		Capacity: func(now float64) float64 { return partner.Rate * c.world.CapacityShare(partner.Dest, now) }}
	var calls []*record.Call // since the end of the outage
	worst := Recovery{Dest: partner.Dest, ReturnedAt: outage.End(), Allowed: 1}
	defer func() { c.recoveries = append(c.recoveries, worst) }()
	for _, call := range c.journal.Calls {
		if call.Dest != partner.Dest || call.LastByteAt < outage.End() || call.LastByteAt > outage.End()+c.world.Recovery.WarmUp || c.world.InOutage(partner.Dest, call.LastByteAt) {
			continue
		}
		calls = append(calls, call)
		overloaded := detector.AddCall(call.LastByteAt)
		span := calls[len(calls)-len(detector.RecentCalls()):]
		aware := 0
		for _, recent := range span {
			if c.sawOutage(c.dispatcherOf(recent), partner.Dest, outage) {
				aware++
			}
		}
		if float64(aware) < minAwareShare*float64(len(span)) {
			continue
		}
		if current := (Recovery{partner.Dest, outage.End(), call.LastByteAt, len(span), aware, detector.Allowed(call.LastByteAt)}); current.Use() > worst.Use() {
			worst = current
		}
		if overloaded {
			c.report(Violation{Rule: Overload, At: call.LastByteAt, Dispatcher: c.dispatcherOf(call), ID: call.IDs[0], Endpoint: call.Endpoint, Evidence: fmt.Sprintf(
				"recovered at %.3f, capacity %.2f calls/s, got %d calls in %.1f s, %d of them from dispatchers that had seen the outage",
				outage.End(), partner.Rate*c.world.CapacityShare(partner.Dest, call.LastByteAt), len(span), c.world.Recovery.OverloadSpan, aware),
				Span: c.spanCalls(span, outage)})
			return // the destination has collapsed
		}
	}
}

// spanCalls describes the calls of a span after an outage.
func (c *checker) spanCalls(span []*record.Call, outage scenario.Fault) (calls []SpanCall) {
	for _, call := range span {
		dispatcher := c.dispatcherOf(call)
		entry := SpanCall{At: call.LastByteAt, Dispatcher: dispatcher, ID: call.IDs[0], Endpoint: call.Endpoint, Aware: c.sawOutage(dispatcher, call.Dest, outage)}
		for _, earlier := range c.journal.Calls {
			if earlier.Dest == call.Dest && earlier.LastByteAt >= outage.At && earlier.LastByteAt < outage.End() && c.dispatcherOf(earlier) == dispatcher && !deliveredFirst(earlier) {
				entry.Failures++
			}
		}
		for _, event := range c.journal.ProcessEvents {
			if event.Dispatcher == dispatcher && event.Kind == record.Started && event.At <= call.LastByteAt {
				entry.Process++
			}
		}
		calls = append(calls, entry)
	}
	return calls
}

// deliveredFirst reports whether the first notification of a call was delivered.
func deliveredFirst(call *record.Call) bool {
	return len(call.States) > 0 && call.States[0] == record.Delivered
}

// sawOutage reports whether a dispatcher had a call fail or a connection refused in an outage, also if its process has been
// restarted since: the folder that outlives the process could have told the next one. The journal has no refused connections, so
// a dispatcher counts as refused if it had an accepted notification for the destination during the outage.
func (c *checker) sawOutage(dispatcher, dest int, outage scenario.Fault) bool {
	key := outageKey{dispatcher, dest, outage.At}
	if seen, known := c.outagesSeen[key]; known {
		return seen
	}
	seen := c.findOutageSeen(dispatcher, dest, outage)
	c.outagesSeen[key] = seen
	return seen
}

// outageKey identifies an outage of a destination as one dispatcher may have seen it.
type outageKey struct {
	dispatcher, dest int
	at               float64
}

// findOutageSeen looks through the journal for what sawOutage reports.
func (c *checker) findOutageSeen(dispatcher, dest int, outage scenario.Fault) bool {
	if outage.Kind == scenario.RefuseConnections {
		return slices.ContainsFunc(c.journal.HandIns, func(h *record.HandIn) bool {
			return h.Dispatcher == dispatcher && h.Dest == dest && h.Accepted() && h.AnsweredAt < outage.End()-inFlightGrace && h.ExpiresAt > outage.At
		})
	}
	return slices.ContainsFunc(c.journal.Calls, func(call *record.Call) bool {
		return call.Dest == dest && call.LastByteAt >= outage.At && call.LastByteAt < outage.End() && c.dispatcherOf(call) == dispatcher && !deliveredFirst(call)
	})
}
