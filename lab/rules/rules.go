// Package rules checks a run of the laboratory against the delivery rules. It uses only what clients, partners, the agent
// and the process supervisor recorded, and takes no data from the dispatchers under test. All times are in seconds since
// the start of the run.
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

// The names of the rules, as reports and the command line spell them.
const (
	// Lost: each accepted notification gets one final answer in time, and is not pushed after it, and each request that was
	// written in full gets an answer.
	Lost = "lost"
	// Duplicate: no notification takes effect twice, and no push is sent that could cause it.
	Duplicate = "twice"
	// Draining: no new call goes to an endpoint that is draining or gone, or that belongs to another destination.
	Draining = "drains"
	// Overload: a destination that recovers from an outage is not overloaded.
	Overload = "pushed"
	// Order: the notifications of a key are pushed one at a time, in the order in which they were accepted.
	Order = "order"
	// ToldWait: no call goes to a destination during a told wait.
	ToldWait = "waits"
	// Content: an endpoint gets what was handed in under an ID, to the byte.
	Content = "content"
	// Crash: no dispatcher exits without being asked to or exceeds its resource limits.
	Crash = "crash"
)

// All lists the names of all rules in the order of the reports.
var All = []string{Lost, Duplicate, Draining, Overload, Order, ToldWait, Content, Crash}

// The tolerances of the rules.
const (
	// timingSlack, in seconds, extends every time limit, for delays in sockets and differences between clock readings.
	timingSlack = 0.05
	// answerGrace, in seconds after the TTL, is how late a final answer may come before the notification counts as lost.
	answerGrace = 0.3
	// restartGrace, in seconds after a restarted dispatcher is ready, is how late final answers may come that fell due meanwhile.
	restartGrace = 1.5
	// inFlightGrace, in seconds, is the time for a call to reach its endpoint: calls that arrive this soon after a told wait
	// are allowed, and a hand-in counts as tried in an outage only if it was accepted this long before the outage's end.
	inFlightGrace = 0.1
	// maxListDelay, in seconds, is the time after which a dispatcher counts as having received a change of the endpoint list.
	maxListDelay = 6.0
	// minAwareShare is the share of the calls in an overload that must come from dispatchers that saw the outage.
	minAwareShare = 2.0 / 3
)

// Violation is one breach of a rule, with its evidence.
type Violation struct {
	Rule       string  `json:"rule"`
	At         float64 `json:"at"`         // seconds since the start of the run
	Dispatcher int     `json:"dispatcher"` // index of the dispatcher, -1 if unknown
	ID         string  `json:"id,omitempty"`
	Endpoint   string  `json:"endpoint,omitempty"`
	Evidence   string  `json:"evidence"`

	Span []SpanCall `json:"span,omitempty"` // of an Overload: the calls that caused it
}

// String returns the violation as one line of a report.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: dispatcher %d %s %s: %s", v.Rule, v.At, v.Dispatcher, v.ID, v.Endpoint, v.Evidence)
}

// push is the part of a call that carries one notification.
type push struct {
	*record.Call
	state record.PushState
	ran   bool
}

// delivered reports whether the dispatcher got an answer that confirms the delivery.
func (p push) delivered() bool {
	return p.state == record.Delivered && p.EndedAt > 0 && !p.CallerClosed
}

// mayHaveRun reports whether the dispatcher has to assume that the push took effect.
func (p push) mayHaveRun() bool { return p.state != record.Throttled }

// checker checks one run.
type checker struct {
	world       *scenario.World
	journal     *record.Journal
	endedAt     float64 // when the run ended
	topics      map[string]scenario.Topic
	handIns     map[string][]*record.HandIn  // by ID; more than one, to one dispatcher, if a bad client used the ID of another client's hand-in
	pushes      map[record.MessageKey][]push // by notification, in the order of their last bytes
	notices     map[string]record.Notice
	violations  []Violation
	recoveries  []Recovery
	outagesSeen map[outageKey]bool // results of sawOutage
	excuses     map[string]int     // requests whose connection ended unanswered for a reason that is allowed, by reason
}

// Check returns the violations in a run that ended at the given time, ordered by rule, then by time. It sorts the calls of
// the journal by their last byte.
func Check(world *scenario.World, journal *record.Journal, end float64) []Violation {
	return CheckAll(world, journal, end).Violations
}

// Verdict is the result of checking a run.
type Verdict struct {
	Violations  []Violation
	ExcusedEnds map[string]int // requests whose connection ended unanswered for a reason that is allowed, by reason
	Recoveries  []Recovery     // one for each return of a destination from an outage
}

// CheckAll is Check, and also returns what is allowed but worth a report.
func CheckAll(world *scenario.World, journal *record.Journal, end float64) Verdict {
	c := &checker{world: world, journal: journal, endedAt: end, topics: map[string]scenario.Topic{}, handIns: map[string][]*record.HandIn{},
		pushes: map[record.MessageKey][]push{}, notices: map[string]record.Notice{}, excuses: map[string]int{}, outagesSeen: map[outageKey]bool{}}
	for _, t := range world.Topics {
		c.topics[t.Name] = t
	}
	for _, h := range journal.HandIns {
		c.handIns[h.ID] = append(c.handIns[h.ID], h)
	}
	slices.SortStableFunc(journal.Calls, func(a, b *record.Call) int { return cmp.Compare(a.LastByteAt, b.LastByteAt) })
	for _, call := range journal.Calls {
		for i := range call.IDs {
			p := push{Call: call}
			if i < len(call.States) {
				p.state, p.ran = call.States[i], call.Ran[i]
			}
			key := call.Message(i)
			c.pushes[key] = append(c.pushes[key], p)
		}
	}
	for _, n := range journal.Notices {
		if _, seen := c.notices[n.ID]; !seen {
			c.notices[n.ID] = n
		}
	}
	c.checkLost()
	c.checkUnanswered()
	c.checkDuplicates()
	c.checkDraining()
	c.checkOverload()
	c.checkOrder()
	c.checkToldWaits()
	c.checkContent()
	for _, event := range journal.ProcessEvents {
		if event.Kind == record.Crashed || event.Kind == record.LimitExceeded {
			c.report(Violation{Rule: Crash, At: event.At, Dispatcher: event.Dispatcher, Evidence: event.Detail})
		}
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(slices.Index(All, a.Rule), slices.Index(All, b.Rule)), cmp.Compare(a.At, b.At),
			strings.Compare(a.ID, b.ID))
	})
	return Verdict{c.violations, c.excuses, c.recoveries}
}

// report records a violation.
func (c *checker) report(v Violation) { c.violations = append(c.violations, v) }

// outcomeDelivered stands for a final answer that came from an endpoint instead of a notice.
const outcomeDelivered = "delivered"

// stalledAt reports whether a dispatcher's process was stalled within timingSlack of the given time. Such a process may not have
// read an answer in time, and may push a repeatable notification again. checkDuplicates still reports repeats of once-only ones.
func (c *checker) stalledAt(dispatcher int, at float64) bool {
	stalledFrom := math.Inf(1)
	for _, event := range c.journal.ProcessEvents {
		switch {
		case event.Dispatcher != dispatcher:
		case event.Kind == record.Stalled:
			stalledFrom = event.At - timingSlack
		case event.Kind == record.Resumed:
			if at >= stalledFrom && at <= event.At+timingSlack {
				return true
			}
			stalledFrom = math.Inf(1)
		}
	}
	return at >= stalledFrom
}

// finalAnswer returns the time and the outcome of a notification's final answer, or an infinite time if there is none.
func (c *checker) finalAnswer(h *record.HandIn) (float64, string) {
	at, outcome := math.Inf(1), ""
	for _, p := range c.pushes[h.Message()] {
		if p.delivered() && p.EndedAt < at {
			at, outcome = p.EndedAt, outcomeDelivered
		}
	}
	if n, ok := c.noticeOf(h); ok && n.At < at {
		at, outcome = n.At, n.Outcome
	}
	return at, outcome
}

// answerDeadline returns the time after which a notification's final answer is overdue. It is later if the dispatcher was
// terminated, killed or stalled before that, and infinite if the dispatcher did not get ready again.
func (c *checker) answerDeadline(h *record.HandIn) float64 {
	due, down, stalled := h.ExpiresAt+answerGrace+timingSlack, false, false
	for _, event := range c.journal.ProcessEvents {
		if event.Dispatcher != h.Dispatcher || event.At > due && !down && !stalled {
			continue
		}
		switch event.Kind {
		case record.Stalled:
			stalled = true
		case record.Resumed: // a stalled process can answer nothing until it resumes
			if stalled && event.At > h.ExpiresAt {
				due = max(due, event.At+answerGrace+timingSlack)
			}
			stalled = false
		case record.TerminateSent, record.Killed:
			down = true
		case record.Ready:
			if down {
				due, down = max(due, event.At+restartGrace+timingSlack), false
			}
		}
	}
	if down {
		return math.Inf(1)
	}
	return due
}

// hasEvent reports whether the journal has an event of one of the kinds for a dispatcher in the interval [from, to].
func (c *checker) hasEvent(dispatcher int, from, to float64, kinds ...string) bool {
	return slices.ContainsFunc(c.journal.ProcessEvents, func(event record.ProcessEvent) bool {
		return event.Dispatcher == dispatcher && event.At >= from && event.At <= to && slices.Contains(kinds, event.Kind)
	})
}

// checkLost checks that each accepted notification has a final answer in time and is not pushed after it.
func (c *checker) checkLost() {
	for _, h := range c.journal.HandIns {
		answeredAt, outcome := c.finalAnswer(h)
		if deadline := c.answerDeadline(h); h.Accepted() && answeredAt > deadline && deadline <= c.endedAt {
			text := "no final answer"
			if !math.IsInf(answeredAt, 1) {
				text = fmt.Sprintf("%s at %.3f", outcome, answeredAt)
			}
			c.report(Violation{Rule: Lost, At: deadline, Dispatcher: h.Dispatcher, ID: h.ID, Evidence: fmt.Sprintf(
				"accepted at %.3f, TTL expired at %.3f, final answer due by %.3f; %s", h.AnsweredAt, h.ExpiresAt, deadline, text)})
		}
		for _, p := range c.pushes[h.Message()] {
			if p.FirstByteAt > answeredAt+timingSlack && !c.hasEvent(h.Dispatcher, answeredAt-timingSlack, p.FirstByteAt, record.Started) &&
				!(outcome == outcomeDelivered && c.stalledAt(h.Dispatcher, answeredAt)) {
				c.report(Violation{Rule: Lost, At: p.FirstByteAt, Dispatcher: h.Dispatcher, ID: h.ID, Endpoint: p.Endpoint,
					Evidence: fmt.Sprintf("pushed at %.3f, after it was %s at %.3f", p.FirstByteAt, outcome, answeredAt)})
			}
		}
	}
}

// checkDuplicates checks the repeated pushes of each notification against the repeat rules of its topic.
func (c *checker) checkDuplicates() {
	executions := map[int][]push{} // pushes of once-only notifications that took effect, by index in the plan
	for _, h := range c.journal.HandIns {
		topic, pushes := c.topics[h.Topic], c.pushes[h.Message()]
		reportPush := func(p push, format string, args ...any) {
			c.report(Violation{Rule: Duplicate, At: p.LastByteAt, Dispatcher: h.Dispatcher, ID: h.ID, Endpoint: p.Endpoint,
				Evidence: fmt.Sprintf("%s, pushed at %.3f: ", topic.Repeat, p.LastByteAt) + fmt.Sprintf(format, args...)})
		}
		if h.Refused() && len(pushes) > 0 {
			reportPush(pushes[0], "its client got a refusal at %.3f", h.AnsweredAt)
		}
		if len(pushes) > c.world.Dispatchers.MaxPushes {
			reportPush(pushes[len(pushes)-1], "push %d exceeds the limit of %d", len(pushes), c.world.Dispatchers.MaxPushes)
		}
		dedupUntil := math.Inf(1) // end of the window in which endpoints recognize a repeat of a collapsible notification
		for i, current := range pushes {
			if topic.Repeat == scenario.Collapsible && current.LastByteAt > dedupUntil {
				reportPush(current, "its deduplication window ended at %.3f", dedupUntil)
			}
			for _, earlier := range pushes[:i] {
				switch {
				case closedBeforeRead(current, earlier):
				case earlier.EndedAt == 0 || earlier.EndedAt > current.LastByteAt+timingSlack:
					reportPush(current, "its push of %.3f to %s was still in flight", earlier.LastByteAt, earlier.Endpoint)
				case topic.DedupScope == scenario.DedupScopeZone && topic.Repeat == scenario.Collapsible && earlier.mayHaveRun() && c.zoneOf(earlier) != c.zoneOf(current):
					reportPush(current, "sent to zone %q, but its push of %.3f to %s in zone %q may have run (%s)", c.zoneOf(current), earlier.LastByteAt, earlier.Endpoint,
						c.zoneOf(earlier), describeEnd(earlier))
				case topic.Repeat == scenario.OnceOnly && earlier.mayHaveRun():
					reportPush(current, "its push of %.3f to %s may have run (%s)", earlier.LastByteAt, earlier.Endpoint, describeEnd(earlier))
				}
			}
			if current.mayHaveRun() {
				dedupUntil = min(dedupUntil, current.FirstByteAt+topic.DedupWindow+timingSlack)
			}
			if current.ran && topic.Repeat == scenario.OnceOnly {
				executions[h.PlanIndex] = append(executions[h.PlanIndex], current)
			}
		}
		if n, _ := c.noticeOf(h); n.Outcome == record.HandedBack && topic.Repeat == scenario.OnceOnly {
			if i := slices.IndexFunc(pushes, push.mayHaveRun); i >= 0 {
				c.report(Violation{Rule: Duplicate, At: n.At, Dispatcher: h.Dispatcher, ID: h.ID, Endpoint: pushes[i].Endpoint, Evidence: fmt.Sprintf(
					"handed back at %.3f, but its push of %.3f may have run (%s)", n.At, pushes[i].LastByteAt, describeEnd(pushes[i]))})
			}
		}
	}
	for _, pushes := range executions {
		if len(pushes) > 1 {
			p := pushes[len(pushes)-1]
			c.report(Violation{Rule: Duplicate, At: p.LastByteAt, Dispatcher: c.dispatcherOf(p.Call), ID: p.IDs[0], Endpoint: p.Endpoint,
				Evidence: fmt.Sprintf("once-only, took effect %d times: first at %.3f, last at %.3f", len(pushes), pushes[0].LastByteAt, p.LastByteAt)})
		}
	}
}

// closedBeforeRead reports whether the caller had closed the connection of the push late before it sent the push other, and the
// endpoint read late only after that, from the socket's receive buffer. This is assumed if the connection of late ended within
// maxReadToClose of its last byte, and other began to arrive before that byte, at most timingSlack before the end of late. Two
// pushes in flight together do not meet this, because the connection of the one that is read second is then still open.
func closedBeforeRead(late, other push) bool {
	const maxReadToClose = 0.001 // seconds between the last byte and the end of the connection
	return late.CallerClosed && late.EndedAt > 0 && late.EndedAt-late.LastByteAt <= maxReadToClose && other.FirstByteAt >= late.EndedAt-timingSlack && other.FirstByteAt <= late.LastByteAt
}

// zoneOf returns the zone of the endpoint that got a push, or "" if the endpoint is unknown.
func (c *checker) zoneOf(p push) string {
	for _, e := range c.world.Partners[p.Dest].Endpoints {
		if e.ID == p.Endpoint {
			return e.Zone
		}
	}
	return ""
}

// describeEnd describes how a push ended, for the evidence of a violation.
func describeEnd(p push) string {
	switch {
	case p.state == record.Failed:
		return "answered as failed"
	case p.state == record.Unreadable:
		return "unreadable answer"
	case p.CallerClosed:
		return "caller closed the connection"
	case p.state == record.Delivered:
		return "delivered"
	}
	return "no answer"
}

// dispatcherOf returns the dispatcher that sent a call, or -1 if no client handed in any of its notifications.
func (c *checker) dispatcherOf(call *record.Call) int {
	for _, id := range call.IDs {
		if sharing := c.handIns[id]; len(sharing) > 0 {
			return sharing[0].Dispatcher
		}
	}
	return -1
}

// checkDraining checks that calls go to endpoints of the right destination that are not draining or gone.
func (c *checker) checkDraining() {
	grace := c.world.Dispatchers.DrainGrace + timingSlack
	endpoints := map[string]scenario.Endpoint{}
	for _, p := range c.world.Partners {
		for _, e := range p.Endpoints {
			endpoints[e.ID] = e
		}
	}
	for _, call := range c.journal.Calls {
		dispatcher := c.dispatcherOf(call)
		for _, id := range call.IDs {
			if sharing := c.handIns[id]; len(sharing) == 0 || sharing[0].Dest != call.Dest {
				c.report(Violation{Rule: Draining, At: call.FirstByteAt, Dispatcher: dispatcher, ID: id, Endpoint: call.Endpoint,
					Evidence: "endpoint of another destination, or a notification that no client handed in"})
			}
		}
		endpoint, ok := endpoints[call.Endpoint]
		if !ok || endpoint.DrainsAt == 0 || dispatcher < 0 {
			continue
		}
		if listedAt := c.drainListedAt(dispatcher, endpoint, call.FirstByteAt); call.FirstByteAt > listedAt+grace {
			c.report(Violation{Rule: Draining, At: call.FirstByteAt, Dispatcher: dispatcher, ID: call.IDs[0], Endpoint: call.Endpoint,
				Evidence: fmt.Sprintf("called at %.3f; listed as draining at %.3f, with a grace period of %.3f s", call.FirstByteAt, listedAt, grace)})
		}
	}
}

// drainListedAt returns the time at which the dispatcher's process that runs at now received a list in which the endpoint
// is draining or gone, or counts as having received it. It has to know what an earlier process was told.
func (c *checker) drainListedAt(dispatcher int, endpoint scenario.Endpoint, now float64) float64 {
	startedAt := -1.0
	for _, event := range c.journal.ProcessEvents {
		if event.Dispatcher == dispatcher && event.Kind == record.Started && event.At <= now {
			startedAt = event.At
		}
	}
	listedAt := max(endpoint.DrainsAt+c.world.ListDelay(endpoint), startedAt) + maxListDelay
	for _, trouble := range c.world.Troubles {
		if trouble.Kind == scenario.ListDown && trouble.AppliesToDispatcher(dispatcher) && trouble.At < listedAt && trouble.End() > endpoint.DrainsAt {
			listedAt = math.Inf(1) // the list may not have reached the dispatcher
		}
	}
	for _, update := range c.journal.ListUpdates {
		toldAt := c.listKnownAt(update, startedAt)
		if update.Dispatcher != dispatcher || toldAt >= listedAt {
			continue
		}
		i := slices.IndexFunc(update.Entries, func(entry record.ListEntry) bool { return entry.ID == endpoint.ID })
		// A list that was sent before the endpoint is listed cannot contain it.
		missing := i < 0 && update.Full && update.At >= endpoint.AddedAt+c.world.ListDelay(endpoint)
		if i >= 0 && update.Entries[i].State != "ready" || missing {
			listedAt = toldAt
		}
	}
	return listedAt
}

// listKnownAt returns the time from which a process that started at startedAt has to know an update of the list: that of the update, or
// its start if the update came to an earlier process that ran on for the grace period of a drain, in which it had to store it; +Inf if
// that process was killed before.
func (c *checker) listKnownAt(update record.ListUpdate, startedAt float64) float64 {
	if update.At >= startedAt {
		return update.At
	}
	for _, event := range c.journal.ProcessEvents {
		ended := event.Kind == record.Killed || event.Kind == record.Exited || event.Kind == record.Crashed
		if ended && event.Dispatcher == update.Dispatcher && event.At >= update.At {
			if event.At < update.At+c.world.Dispatchers.DrainGrace {
				return math.Inf(1)
			}
			break
		}
	}
	return startedAt
}
