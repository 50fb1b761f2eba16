package rules

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"orchiddrift/lab/behaviour"
	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

// checkOverload checks the recovery of destinations after outages. An overload is a violation if at least minAwareShare of
// the calls that caused it came from dispatchers that had seen the outage.
func (c *checker) checkOverload() {
	for _, partner := range c.world.Partners {
		var outages []scenario.Fault
		for _, fault := range c.world.Faults {
			if fault.CausesOutage() && !fault.ReturnsWarm && fault.Endpoint == 0 && fault.Dests[partner.Dest] {
				outages = append(outages, fault)
			}
		}
		for _, outage := range outages {
			c.checkRecovery(partner, outage)
		}
	}
}

// checkRecovery checks one destination after one outage and reports at most one overload.
func (c *checker) checkRecovery(partner scenario.Partner, outage scenario.Fault) {
	detector := behaviour.OverloadDetector{OverloadFactor: c.world.Recovery.OverloadFactor, Span: c.world.Recovery.OverloadSpan,
		Capacity: func(now float64) float64 { return partner.Rate * c.world.CapacityShare(partner.Dest, now) }}
	var senders []int // the dispatcher of each call since the end of the outage
	for _, call := range c.journal.Calls {
		if call.Dest != partner.Dest || call.LastByteAt < outage.End() || call.LastByteAt > outage.End()+c.world.Recovery.WarmUp || c.world.InOutage(partner.Dest, call.LastByteAt) {
			continue
		}
		dispatcher := c.dispatcherOf(call)
		senders = append(senders, dispatcher)
		if !detector.AddCall(call.LastByteAt) {
			continue
		}
		recent, aware := len(detector.RecentCalls()), 0
		for _, sender := range senders[len(senders)-recent:] {
			if c.sawOutage(sender, partner.Dest, outage, call.LastByteAt) {
				aware++
			}
		}
		if float64(aware) >= minAwareShare*float64(recent) {
			c.report(Violation{Rule: Overload, At: call.LastByteAt, Dispatcher: dispatcher, ID: call.IDs[0], Endpoint: call.Endpoint, Evidence: fmt.Sprintf(
				"recovered at %.3f, capacity %.2f calls/s, got %d calls in %.1f s, %d of them from dispatchers that had seen the outage",
				outage.End(), partner.Rate*c.world.CapacityShare(partner.Dest, call.LastByteAt), recent, c.world.Recovery.OverloadSpan, aware)})
			return // the destination has collapsed
		}
	}
}

// sawOutage reports whether the dispatcher's process that runs at the time now had a call fail or a connection refused in an
// outage. A process that started after the outage had neither. The journal has no refused connections, so a dispatcher counts as
// refused if it had an accepted notification for the destination during the outage.
func (c *checker) sawOutage(dispatcher, dest int, outage scenario.Fault, now float64) bool {
	since := outage.At
	for _, event := range c.journal.ProcessEvents {
		if event.Dispatcher == dispatcher && event.Kind == record.Started && event.At <= now {
			since = max(since, event.At)
		}
	}
	if outage.Kind == scenario.RefuseConnections {
		return slices.ContainsFunc(c.journal.HandIns, func(h *record.HandIn) bool {
			return h.Dispatcher == dispatcher && h.Dest == dest && h.Accepted() && h.AnsweredAt < outage.End()-inFlightGrace && h.ExpiresAt > since && since < outage.End()
		})
	}
	return slices.ContainsFunc(c.journal.Calls, func(call *record.Call) bool {
		return call.Dest == dest && call.LastByteAt >= since && call.LastByteAt < outage.End() && c.dispatcherOf(call) == dispatcher &&
			(len(call.States) == 0 || call.States[0] != record.Delivered)
	})
}

// checkOrder checks ordered topics: each dispatcher pushes the notifications of a key one at a time, in the order in which
// it accepted them.
func (c *checker) checkOrder() {
	type queueKey struct {
		dispatcher int
		key        string
	}
	queues := map[queueKey][]*record.HandIn{}
	for _, h := range c.journal.HandIns {
		if h.Key != "" && h.Accepted() && c.topics[h.Topic].Ordered {
			queue := queueKey{h.Dispatcher, h.Key}
			queues[queue] = append(queues[queue], h)
		}
	}
	for _, queue := range queues {
		slices.SortStableFunc(queue, func(a, b *record.HandIn) int { return cmp.Compare(a.SentAt, b.SentAt) })
		freeAt, blocker := math.Inf(-1), "" // when the next notification may be pushed, and the notification that sets this time
		reason := ""
		for _, h := range queue {
			for _, p := range c.pushes[h.ID] {
				if p.FirstByteAt < freeAt-timingSlack {
					c.report(Violation{Rule: Order, At: p.FirstByteAt, Dispatcher: h.Dispatcher, ID: h.ID, Endpoint: p.Endpoint, Evidence: fmt.Sprintf(
						"pushed at %.3f; %s of the same key (%s) was accepted before it and %s until %.3f", p.FirstByteAt, blocker, h.Key, reason, freeAt)})
				}
			}
			answeredAt, _ := c.finalAnswer(h.ID)
			if answeredAt = min(answeredAt, h.ExpiresAt+answerGrace); answeredAt > freeAt {
				freeAt, blocker, reason = answeredAt, h.ID, "had no final answer"
			}
			for _, p := range c.pushes[h.ID] {
				end := p.EndedAt
				if end == 0 {
					end = math.Inf(1)
				} else if p.state == record.Unanswered {
					end += c.world.Dispatchers.KeyCooldown
				}
				if end > freeAt {
					freeAt, blocker, reason = end, h.ID, "had a push in flight or its key in cooldown"
				}
			}
		}
	}
}

// checkToldWaits checks that no dispatcher calls a destination during a told wait that it got, unless its process started since.
func (c *checker) checkToldWaits() {
	type pair struct{ dispatcher, dest int }
	active := map[pair]*record.Call{} // of the calls so far, the one whose told wait ends last
	announcing := slices.Clone(c.journal.Calls)
	announcing = slices.DeleteFunc(announcing, func(call *record.Call) bool { return call.ToldWait <= 0 || call.EndedAt == 0 || call.CallerClosed })
	slices.SortFunc(announcing, func(a, b *record.Call) int { return cmp.Compare(a.EndedAt, b.EndedAt) })
	for _, call := range c.journal.Calls { // in the order of their last bytes
		for len(announcing) > 0 && announcing[0].EndedAt <= call.LastByteAt-inFlightGrace-timingSlack {
			p := pair{c.dispatcherOf(announcing[0]), announcing[0].Dest}
			if latest := active[p]; latest == nil || latest.EndedAt+latest.ToldWait < announcing[0].EndedAt+announcing[0].ToldWait {
				active[p] = announcing[0]
			}
			announcing = announcing[1:]
		}
		p := pair{c.dispatcherOf(call), call.Dest}
		source := active[p]
		if source == nil || call.LastByteAt >= source.EndedAt+source.ToldWait-toldWaitTolerance || c.hasEvent(p.dispatcher, source.EndedAt-timingSlack, call.LastByteAt, record.Started) {
			continue
		}
		c.report(Violation{Rule: ToldWait, At: call.LastByteAt, Dispatcher: p.dispatcher, ID: call.IDs[0], Endpoint: call.Endpoint, Evidence: fmt.Sprintf(
			"called at %.3f; at %.3f %s told a wait until %.3f", call.LastByteAt, source.EndedAt, source.Endpoint, source.EndedAt+source.ToldWait)})
	}
}

// toldWaitTolerance, in seconds, is how early a told wait may end, because the wait is rounded to milliseconds and its
// answer takes time to arrive.
const toldWaitTolerance = 0.002
