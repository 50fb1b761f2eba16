package rules

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"orchiddrift/lab/record"
)

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
			for _, p := range c.pushes[h.Message()] {
				if p.FirstByteAt < freeAt-timingSlack {
					c.report(Violation{Rule: Order, At: p.FirstByteAt, Dispatcher: h.Dispatcher, ID: h.ID, Endpoint: p.Endpoint, Evidence: fmt.Sprintf(
						"pushed at %.3f; %s of the same key (%s) was accepted before it and %s until %.3f", p.FirstByteAt, blocker, h.Key, reason, freeAt)})
				}
			}
			answeredAt, _ := c.finalAnswer(h)
			if answeredAt = min(answeredAt, h.ExpiresAt+answerGrace); answeredAt > freeAt {
				freeAt, blocker, reason = answeredAt, h.ID, "had no final answer"
			}
			for _, p := range c.pushes[h.Message()] {
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
