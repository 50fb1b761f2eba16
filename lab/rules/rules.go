// Package rules judges a run by the six rules, from what clients, partners, the agent and the starters of processes
// saw. It asks no dispatcher.
package rules

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

// The rules.
const (
	Lost      = "lost"   // each notification taken on gets one final answer in time, and nothing is sent after it
	Duplicate = "twice"  // no effect happens twice, and no push goes out that could make it so
	Draining  = "drains" // nothing new goes to an endpoint that drains or is gone, or to one of another destination
	Overload  = "pushed" // a destination that returns is not pushed over
	Order     = "order"  // notifications of a key go one at a time, in the order taken
	ToldWait  = "waits"  // nothing goes to a destination that told a wait
	Crash     = "crash"  // no dispatcher ends unasked or takes more than its limits
)

// All lists the rules.
var All = []string{Lost, Duplicate, Draining, Overload, Order, ToldWait, Crash}

// What sockets and clocks may blur, in seconds.
const (
	slack     = 0.05 // every time limit is so much longer
	overdue   = 0.3  // after its time is up a notification is lost
	backIn    = 1.5  // and not before so long after its dispatcher is ready again
	letPass   = 0.1  // calls that come so soon after a wait was told are let through
	toldIn    = 6.0  // what the list has to tell counts as told after so long
	seenShare = 2.0 / 3
)

// Violation is a broken rule with its evidence.
type Violation struct {
	Rule       string  `json:"rule"`
	At         float64 `json:"at"`
	Dispatcher int     `json:"dispatcher"`
	ID         string  `json:"id,omitempty"`
	Endpoint   string  `json:"endpoint,omitempty"`
	Evidence   string  `json:"evidence"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: dispatcher %d %s %s: %s", v.Rule, v.At, v.Dispatcher, v.ID, v.Endpoint, v.Evidence)
}

// push is one notification's part in a call.
type push struct {
	*record.Call
	state record.PushState
	ran   bool
}

// over tells whether the answer delivered the notification.
func (p push) delivered() bool {
	return p.state == record.Delivered && p.EndedAt > 0 && !p.CallerClosed
}

// mayHaveRun tells whether its dispatcher has to take it so.
func (p push) mayHaveRun() bool { return p.state != record.Throttled }

// check is a run being judged.
type check struct {
	world   *scenario.World
	journal *record.Journal
	end     float64 // of the run
	topics  map[string]scenario.Topic
	handIns map[string]*record.HandIn
	pushes  map[string][]push // by notification, as their last bytes came
	notices map[string]record.Notice
	found   []Violation
}

// Check judges a run that ended at a moment. Violations come rule by rule, then in time.
func Check(w *scenario.World, j *record.Journal, end float64) []Violation {
	c := &check{world: w, journal: j, end: end, topics: map[string]scenario.Topic{}, handIns: map[string]*record.HandIn{},
		pushes: map[string][]push{}, notices: map[string]record.Notice{}}
	for _, t := range w.Topics {
		c.topics[t.Name] = t
	}
	for _, h := range j.HandIns {
		c.handIns[h.ID] = h
	}
	slices.SortStableFunc(j.Calls, func(a, b *record.Call) int { return cmp.Compare(a.LastByteAt, b.LastByteAt) })
	for _, call := range j.Calls {
		for i, id := range call.IDs {
			p := push{Call: call}
			if i < len(call.States) {
				p.state, p.ran = call.States[i], call.Ran[i]
			}
			c.pushes[id] = append(c.pushes[id], p)
		}
	}
	for _, n := range j.Notices {
		if _, again := c.notices[n.ID]; !again {
			c.notices[n.ID] = n
		}
	}
	c.lost()
	c.twice()
	c.drains()
	c.pushed()
	c.order()
	c.waits()
	for _, l := range j.ProcessEvents {
		if l.Kind == record.Crashed || l.Kind == record.LimitExceeded {
			c.broken(Violation{Rule: Crash, At: l.At, Dispatcher: l.Dispatcher, Evidence: l.Detail})
		}
	}
	slices.SortStableFunc(c.found, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(slices.Index(All, a.Rule), slices.Index(All, b.Rule)), cmp.Compare(a.At, b.At),
			strings.Compare(a.ID, b.ID))
	})
	return c.found
}

func (c *check) broken(v Violation) { c.found = append(c.found, v) }

// delivered is the final answer that no notice tells.
const delivered = "delivered"

// stalled tells whether a dispatcher stood still at a moment, or was about to: an answer written then was not read in
// its time. What may be repeated may then be pushed again; once-only is judged by rule twice all the same.
func (c *check) stalled(dispatcher int, at float64) bool {
	from := math.Inf(1)
	for _, l := range c.journal.ProcessEvents {
		switch {
		case l.Dispatcher != dispatcher:
		case l.Kind == record.Stalled:
			from = l.At - slack
		case l.Kind == record.Resumed:
			if at >= from && at <= l.At+slack {
				return true
			}
			from = math.Inf(1)
		}
	}
	return at >= from
}

// over is when a notification had its final answer, and by what; infinite where it had none.
func (c *check) over(id string) (float64, string) {
	at, by := math.Inf(1), ""
	for _, p := range c.pushes[id] {
		if p.delivered() && p.EndedAt < at {
			at, by = p.EndedAt, delivered
		}
	}
	if n, ok := c.notices[id]; ok && n.At < at {
		at, by = n.At, n.Outcome
	}
	return at, by
}

// due is when a notification's final answer is overdue: later where its dispatcher was told to end or killed, or stood still
// then, and never where that did not come back.
func (c *check) due(h *record.HandIn) float64 {
	due, down, stalled := h.ExpiresAt+overdue+slack, false, false
	for _, l := range c.journal.ProcessEvents {
		if l.Dispatcher != h.Dispatcher || l.At > due && !down && !stalled {
			continue
		}
		switch l.Kind {
		case record.Stalled:
			stalled = true
		case record.Resumed: // a process that stands still ends nothing
			if stalled && l.At > h.ExpiresAt {
				due = max(due, l.At+overdue+slack)
			}
			stalled = false
		case record.TerminateSent, record.Killed:
			down = true
		case record.Ready:
			if down {
				due, down = max(due, l.At+backIn+slack), false
			}
		}
	}
	if down {
		return math.Inf(1)
	}
	return due
}

// between tells whether something of a kind happened to a dispatcher's process between two moments.
func (c *check) between(dispatcher int, from, to float64, what ...string) bool {
	return slices.ContainsFunc(c.journal.ProcessEvents, func(l record.ProcessEvent) bool {
		return l.Dispatcher == dispatcher && l.At >= from && l.At <= to && slices.Contains(what, l.Kind)
	})
}

// lost judges that each notification taken on has one final answer in time and nothing is sent after it.
func (c *check) lost() {
	for _, h := range c.journal.HandIns {
		over, by := c.over(h.ID)
		if due := c.due(h); h.Accepted() && over > due && due <= c.end {
			text := "it had none at all"
			if !math.IsInf(over, 1) {
				text = fmt.Sprintf("it was %s at %.3f", by, over)
			}
			c.broken(Violation{Rule: Lost, At: due, Dispatcher: h.Dispatcher, ID: h.ID, Evidence: fmt.Sprintf(
				"taken on at %.3f, its TTL ended at %.3f, its answer was overdue at %.3f; %s", h.AnsweredAt, h.ExpiresAt, due, text)})
		}
		for _, p := range c.pushes[h.ID] {
			if p.FirstByteAt > over+slack && !c.between(h.Dispatcher, over-slack, p.FirstByteAt, record.Started) &&
				!(by == delivered && c.stalled(h.Dispatcher, over)) {
				c.broken(Violation{Rule: Lost, At: p.FirstByteAt, Dispatcher: h.Dispatcher, ID: h.ID, Endpoint: p.Endpoint,
					Evidence: fmt.Sprintf("pushed at %.3f although %s at %.3f", p.FirstByteAt, by, over)})
			}
		}
	}
}

// twice judges what was pushed again.
func (c *check) twice() {
	runs := map[int][]push{} // once-only, by notification of the plan
	for _, h := range c.journal.HandIns {
		topic, list := c.topics[h.Topic], c.pushes[h.ID]
		bad := func(p push, format string, args ...any) {
			c.broken(Violation{Rule: Duplicate, At: p.LastByteAt, Dispatcher: h.Dispatcher, ID: h.ID, Endpoint: p.Endpoint,
				Evidence: fmt.Sprintf("%s, pushed at %.3f: ", topic.Repeat, p.LastByteAt) + fmt.Sprintf(format, args...)})
		}
		if h.Refused() && len(list) > 0 {
			bad(list[0], "its client was told at %.3f that it was refused", h.AnsweredAt)
		}
		if len(list) > c.world.Dispatchers.MaxPushes {
			bad(list[len(list)-1], "it is push %d of %d at most", len(list), c.world.Dispatchers.MaxPushes)
		}
		known := math.Inf(1) // until when a collapsible one's mark is known
		for i, p := range list {
			if topic.Repeat == scenario.Collapsible && p.LastByteAt > known {
				bad(p, "its mark was known until %.3f", known)
			}
			for _, before := range list[:i] {
				switch {
				case readLate(p, before):
				case before.EndedAt == 0 || before.EndedAt > p.LastByteAt+slack:
					bad(p, "its push of %.3f at %s was still out", before.LastByteAt, before.Endpoint)
				case topic.DedupScope == scenario.DedupScopeZone && topic.Repeat == scenario.Collapsible && before.mayHaveRun() && c.zone(before) != c.zone(p):
					bad(p, "zone %q; its push of %.3f at %s in zone %q may have run (%s)", c.zone(p), before.LastByteAt, before.Endpoint,
						c.zone(before), ending(before))
				case topic.Repeat == scenario.OnceOnly && before.mayHaveRun():
					bad(p, "its push of %.3f at %s may have run (%s)", before.LastByteAt, before.Endpoint, ending(before))
				}
			}
			if p.mayHaveRun() {
				known = min(known, p.FirstByteAt+topic.DedupWindow+slack)
			}
			if p.ran && topic.Repeat == scenario.OnceOnly {
				runs[h.PlanIndex] = append(runs[h.PlanIndex], p)
			}
		}
		if n := c.notices[h.ID]; n.Outcome == record.HandedBack && topic.Repeat == scenario.OnceOnly {
			if i := slices.IndexFunc(list, push.mayHaveRun); i >= 0 {
				c.broken(Violation{Rule: Duplicate, At: n.At, Dispatcher: h.Dispatcher, ID: h.ID, Endpoint: list[i].Endpoint, Evidence: fmt.Sprintf(
					"handed back at %.3f although its push of %.3f may have run (%s)", n.At, list[i].LastByteAt, ending(list[i]))})
			}
		}
	}
	for _, list := range runs {
		if len(list) > 1 {
			p := list[len(list)-1]
			c.broken(Violation{Rule: Duplicate, At: p.LastByteAt, Dispatcher: c.dispatcher(p.Call), ID: p.IDs[0], Endpoint: p.Endpoint,
				Evidence: fmt.Sprintf("once-only, it ran %d times: at %.3f and at %.3f", len(list), list[0].LastByteAt, p.LastByteAt)})
		}
	}
}

// readLate tells that a push was left by its caller before another was made, and only read after it: the bytes had waited
// in its endpoint's socket. Its connection was at its end as it was read, and the other came within the time that sockets blur.
// Two pushes that are out together are not passed over by it: there the one read second stays out.
func readLate(p, other push) bool {
	const atOnce = 0.001
	return p.CallerClosed && p.EndedAt > 0 && p.EndedAt-p.LastByteAt <= atOnce && other.FirstByteAt >= p.EndedAt-slack && other.FirstByteAt <= p.LastByteAt
}

// zone is that of the endpoint of a push.
func (c *check) zone(p push) string {
	for _, e := range c.world.Partners[p.Dest].Endpoints {
		if e.ID == p.Endpoint {
			return e.Zone
		}
	}
	return ""
}

// ending says how a push ended.
func ending(p push) string {
	switch {
	case p.state == record.Failed:
		return "answered as failed"
	case p.state == record.Unreadable:
		return "a spoilt answer"
	case p.CallerClosed:
		return "its caller left"
	case p.state == record.Delivered:
		return "delivered"
	}
	return "no answer"
}

// dispatcher is the one that a call came from, -1 where no client handed its notification in.
func (c *check) dispatcher(call *record.Call) int {
	for _, id := range call.IDs {
		if h := c.handIns[id]; h != nil {
			return h.Dispatcher
		}
	}
	return -1
}

// drains judges where calls went.
func (c *check) drains() {
	grace := c.world.Dispatchers.DrainGrace + slack
	endpoints := map[string]scenario.Endpoint{}
	for _, p := range c.world.Partners {
		for _, e := range p.Endpoints {
			endpoints[e.ID] = e
		}
	}
	for _, call := range c.journal.Calls {
		d := c.dispatcher(call)
		for _, id := range call.IDs {
			if h := c.handIns[id]; h == nil || h.Dest != call.Dest {
				c.broken(Violation{Rule: Draining, At: call.FirstByteAt, Dispatcher: d, ID: id, Endpoint: call.Endpoint,
					Evidence: "it is of another destination, or no client handed it in"})
			}
		}
		e, ok := endpoints[call.Endpoint]
		if !ok || e.DrainsAt == 0 || d < 0 {
			continue
		}
		if told := c.told(d, e, call.FirstByteAt); call.FirstByteAt > told+grace {
			c.broken(Violation{Rule: Draining, At: call.FirstByteAt, Dispatcher: d, ID: call.IDs[0], Endpoint: call.Endpoint,
				Evidence: fmt.Sprintf("called at %.3f; that it drains was told at %.3f, with %.3f s of grace", call.FirstByteAt, told, grace)})
		}
	}
}

// told is when a dispatcher's present process was told, or counts as told, that an endpoint drains.
func (c *check) told(d int, e scenario.Endpoint, now float64) float64 {
	started := -1.0
	for _, l := range c.journal.ProcessEvents {
		if l.Dispatcher == d && l.Kind == record.Started && l.At <= now {
			started = l.At
		}
	}
	at := max(e.DrainsAt+c.world.ListDelay(e), started) + toldIn
	for _, t := range c.world.Troubles {
		if t.Kind == scenario.ListDown && t.AppliesToDispatcher(d) && t.At < at && t.End() > e.DrainsAt {
			at = math.Inf(1) // it could not learn by itself
		}
	}
	for _, t := range c.journal.ListUpdates {
		if t.Dispatcher != d || t.At < started || t.At >= at {
			continue
		}
		i := slices.IndexFunc(t.Entries, func(x record.ListEntry) bool { return x.ID == e.ID })
		lacked := i < 0 && t.Full && t.At >= e.AddedAt+c.world.ListDelay(e) // before that no list could name it
		if i >= 0 && t.Entries[i].State != "ready" || lacked {
			at = t.At
		}
	}
	return at
}
