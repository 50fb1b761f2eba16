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

// pushed judges the returns of destinations: one is pushed over where two thirds of what did it came from dispatchers
// that had seen it fail.
func (c *check) pushed() {
	for _, p := range c.world.Partners {
		var back []scenario.Fault
		for _, f := range c.world.Faults {
			if f.CausesOutage() && !f.ReturnsWarm && f.Endpoint == 0 && f.Dests[p.Dest] {
				back = append(back, f)
			}
		}
		for _, f := range back {
			c.returned(p, f)
		}
	}
}

func (c *check) returned(p scenario.Partner, f scenario.Fault) {
	strain := behaviour.OverloadDetector{OverloadFactor: c.world.Recovery.OverloadFactor, Span: c.world.Recovery.OverloadSpan, Capacity: func(now float64) float64 {
		return p.Rate * c.world.CapacityShare(p.Dest, now)
	}}
	var by []int // the dispatchers of the calls since its return
	for _, call := range c.journal.Calls {
		if call.Dest != p.Dest || call.LastByteAt < f.End() || call.LastByteAt > f.End()+c.world.Recovery.WarmUp || c.world.InOutage(p.Dest, call.LastByteAt) {
			continue
		}
		d := c.dispatcher(call)
		by = append(by, d)
		if !strain.AddCall(call.LastByteAt) {
			continue
		}
		n, seen := len(strain.RecentCalls()), 0
		for _, d := range by[len(by)-n:] {
			if c.saw(d, p.Dest, f, call.LastByteAt) {
				seen++
			}
		}
		if float64(seen) >= seenShare*float64(n) {
			c.broken(Violation{Rule: Overload, At: call.LastByteAt, Dispatcher: d, ID: call.IDs[0], Endpoint: call.Endpoint, Evidence: fmt.Sprintf(
				"back since %.3f, it can take %.2f calls/s and got %d in %.1f s, %d of them from dispatchers that had seen the outage",
				f.End(), p.Rate*c.world.CapacityShare(p.Dest, call.LastByteAt), n, c.world.Recovery.OverloadSpan, seen)})
			return // it has fallen
		}
	}
}

// saw tells whether a dispatcher's process of a moment had seen a call fail, or be refused, in an outage; one started
// since knows nothing of it. Refused connections reach no journal: there, one that had something to push counts as
// having tried.
func (c *check) saw(d, dest int, f scenario.Fault, now float64) bool {
	from := f.At
	for _, l := range c.journal.ProcessEvents {
		if l.Dispatcher == d && l.Kind == record.Started && l.At <= now {
			from = max(from, l.At)
		}
	}
	if f.Kind == scenario.RefuseConnections {
		return slices.ContainsFunc(c.journal.HandIns, func(h *record.HandIn) bool {
			return h.Dispatcher == d && h.Dest == dest && h.Accepted() && h.AnsweredAt < f.End()-letPass && h.ExpiresAt > from && from < f.End()
		})
	}
	return slices.ContainsFunc(c.journal.Calls, func(call *record.Call) bool {
		return call.Dest == dest && call.LastByteAt >= from && call.LastByteAt < f.End() && c.dispatcher(call) == d &&
			(len(call.States) == 0 || call.States[0] != record.Delivered)
	})
}

// order judges ordered topic types: by dispatcher and key, one at a time, as they were taken.
func (c *check) order() {
	type line struct {
		dispatcher int
		key        string
	}
	lines := map[line][]*record.HandIn{}
	for _, h := range c.journal.HandIns {
		if h.Key != "" && h.Accepted() && c.topics[h.Topic].Ordered {
			l := line{h.Dispatcher, h.Key}
			lines[l] = append(lines[l], h)
		}
	}
	for _, list := range lines {
		slices.SortStableFunc(list, func(a, b *record.HandIn) int { return cmp.Compare(a.SentAt, b.SentAt) })
		free, last := math.Inf(-1), "" // when all that came before was over and out of the way, and which was the last of it
		why := ""
		for _, h := range list {
			for _, p := range c.pushes[h.ID] {
				if p.FirstByteAt < free-slack {
					c.broken(Violation{Rule: Order, At: p.FirstByteAt, Dispatcher: h.Dispatcher, ID: h.ID, Endpoint: p.Endpoint, Evidence: fmt.Sprintf(
						"pushed at %.3f; %s of the same key (%s) was taken before it and %s until %.3f", p.FirstByteAt, last, h.Key, why, free)})
				}
			}
			over, _ := c.over(h.ID)
			if over = min(over, h.ExpiresAt+overdue); over > free {
				free, last, why = over, h.ID, "was not over"
			}
			for _, p := range c.pushes[h.ID] {
				end := p.EndedAt
				if end == 0 {
					end = math.Inf(1)
				} else if p.state == record.Unanswered {
					end += c.world.Dispatchers.KeyCooldown
				}
				if end > free {
					free, last, why = end, h.ID, "had a push that was out, or rested,"
				}
			}
		}
	}
}

// waits judges calls that came while a told wait ran.
func (c *check) waits() {
	type pair struct{ dispatcher, dest int }
	running := map[pair]*record.Call{} // the one that ends last
	told := slices.Clone(c.journal.Calls)
	told = slices.DeleteFunc(told, func(x *record.Call) bool { return x.ToldWait <= 0 || x.EndedAt == 0 || x.CallerClosed })
	slices.SortFunc(told, func(a, b *record.Call) int { return cmp.Compare(a.EndedAt, b.EndedAt) })
	for _, call := range c.journal.Calls { // they stand in the order of their last bytes
		for len(told) > 0 && told[0].EndedAt <= call.LastByteAt-letPass-slack {
			p := pair{c.dispatcher(told[0]), told[0].Dest}
			if r := running[p]; r == nil || r.EndedAt+r.ToldWait < told[0].EndedAt+told[0].ToldWait {
				running[p] = told[0]
			}
			told = told[1:]
		}
		p := pair{c.dispatcher(call), call.Dest}
		r := running[p]
		if r == nil || call.LastByteAt >= r.EndedAt+r.ToldWait-clocks || c.between(p.dispatcher, r.EndedAt-slack, call.LastByteAt, record.Started) {
			continue
		}
		c.broken(Violation{Rule: ToldWait, At: call.LastByteAt, Dispatcher: p.dispatcher, ID: call.IDs[0], Endpoint: call.Endpoint, Evidence: fmt.Sprintf(
			"called at %.3f; at %.3f %s had told it to wait until %.3f", call.LastByteAt, r.EndedAt, r.Endpoint, r.EndedAt+r.ToldWait)})
	}
}

// clocks is what a wait's rounding to milliseconds and the way of its answer may take off its end.
const clocks = 0.002
