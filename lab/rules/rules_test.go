package rules_test

import (
	"fmt"

	"orchiddrift/lab/record"
	"orchiddrift/lab/rules"
	"orchiddrift/lab/scenario"
)

// newWorld returns a world with two destinations. Destination 0 takes 4 calls a second, hangs from 1 s to 2 s and drains its
// endpoint e0-0 from 20 s on; destination 1 has no faults.
func newWorld() *scenario.World {
	return scenario.NewWorld(&scenario.Scenario{Seed: 1, Length: 30, Kinds: []scenario.Kind{{Name: "k"}}, Load: scenario.Load{Rate: 1},
		Dispatchers: scenario.Dispatchers{Count: 1, MaxPushes: 3, DrainGrace: 0.5, KeyCooldown: 0.4, MemoryMB: 1, DiskMB: 1},
		Recovery:    scenario.Recovery{InitialCapacityShare: 0.25, WarmUp: 4, OverloadFactor: 2, OverloadSpan: 1.5},
		Groups:      []scenario.DestinationGroup{{Count: 2, Kind: "k", Endpoints: 1, Share: 1, CapacityFactor: 1, MinRate: 4}},
		Topics: []scenario.Topic{{Name: "once", Repeat: scenario.OnceOnly, TTL: 6, Ordered: true},
			{Name: "again", Repeat: scenario.Repeatable, TTL: 6}, {Name: "mark", Repeat: scenario.Collapsible, DedupWindow: 2, TTL: 6}},
		Troubles: []scenario.Trouble{{Kind: scenario.Hang, At: 1, Duration: 1, Destinations: []int{0}},
			{Kind: scenario.Drain, At: 20, Wait: 5, Destinations: []int{0}}}})
}

// journalBuilder builds a journal by chained calls.
type journalBuilder struct{ record.Journal }

// accept adds a hand-in that is accepted at once and has a TTL of 6 s.
func (b *journalBuilder) accept(id, topic, key string, at float64) *journalBuilder {
	b.AddHandIn(&record.HandIn{ID: id, PlanIndex: len(b.HandIns), Topic: topic, Key: key, Dest: 1, PlannedAt: at, SentAt: at, ExpiresAt: at + 6,
		AnsweredAt: at, Status: 202})
	return b
}

// push adds a call with one notification. It lasts from one time to another and ends in the given state; wait is the told wait
// of its answer in seconds, or 0.
func (b *journalBuilder) push(id string, from, to float64, state record.PushState, wait float64) *journalBuilder {
	status := map[record.PushState]int{record.Delivered: 200, record.Throttled: 503, record.Failed: 500}[state]
	b.AddCall(&record.Call{Endpoint: "e1-0", Dest: 1, IDs: []string{id}, FirstByteAt: from, LastByteAt: from, EndedAt: to, Status: status, ToldWait: wait,
		States: []record.PushState{state}, Ran: []bool{state != record.Throttled}, CallerClosed: state == record.Unanswered})
	return b
}

// notice adds a notice.
func (b *journalBuilder) notice(id, outcome string, at float64) *journalBuilder {
	b.AddNotice(record.Notice{ID: id, Outcome: outcome, At: at})
	return b
}

// event adds an event of the dispatcher's process.
func (b *journalBuilder) event(kind string, at float64) *journalBuilder {
	b.AddProcessEvent(record.ProcessEvent{Kind: kind, At: at})
	return b
}

// redirect moves the last call and its notifications to an endpoint of destination 0.
func (b *journalBuilder) redirect(endpoint string) *journalBuilder {
	b.Calls[len(b.Calls)-1].Endpoint, b.Calls[len(b.Calls)-1].Dest = endpoint, 0
	for _, id := range b.Calls[len(b.Calls)-1].IDs {
		for _, h := range b.HandIns {
			if h.ID == id {
				h.Dest = 0
			}
		}
	}
	return b
}

// printViolations prints the violations in a journal, or that all rules were kept, after the name of the case.
func printViolations(name string, b *journalBuilder) {
	violations := rules.Check(newWorld(), &b.Journal, 30)
	if len(violations) == 0 {
		fmt.Println(name+":", "kept")
	}
	for _, v := range violations {
		fmt.Println(name+":", v)
	}
}

// An accepted notification gets its final answer in time, with an extension after a restart, and is not pushed after it. Most
// journals come in pairs: the first keeps a limit by a small margin, the second exceeds it.
func Example_lost() {
	printViolations("answered in time", (&journalBuilder{}).accept("a", "once", "", 1).notice("a", record.GivenUp, 7.34))
	printViolations("overdue", (&journalBuilder{}).accept("a", "once", "", 1).notice("a", record.GivenUp, 7.36))
	printViolations("unanswered", (&journalBuilder{}).accept("a", "again", "", 1).push("a", 1, 2, record.Throttled, 0))
	printViolations("restarted", (&journalBuilder{}).accept("a", "again", "", 1).event(record.Killed, 6).event(record.Started, 7).event(record.Ready, 8).
		notice("a", record.GivenUp, 9.5))
	printViolations("restarted, overdue", (&journalBuilder{}).accept("a", "again", "", 1).event(record.Killed, 6).event(record.Started, 7).event(record.Ready, 8).
		notice("a", record.GivenUp, 9.6))
	printViolations("not restarted", (&journalBuilder{}).accept("a", "again", "", 1).event(record.Killed, 6))
	printViolations("within slack of its end", (&journalBuilder{}).accept("a", "again", "", 1).notice("a", record.HandedBack, 2).push("a", 2.04, 2.1, record.Throttled, 0))
	printViolations("after its end", (&journalBuilder{}).accept("a", "again", "", 1).notice("a", record.HandedBack, 2).push("a", 2.06, 2.1, record.Throttled, 0))
	stalled := (&journalBuilder{}).event(record.Stalled, 1.5).event(record.Resumed, 2.5).accept("a", "again", "", 1)
	printViolations("stalled", stalled.push("a", 1, 2, record.Delivered, 0).push("a", 2.6, 2.7, record.Delivered, 0))
	printViolations("not stalled", (&journalBuilder{}).accept("a", "again", "", 1).push("a", 1, 2, record.Delivered, 0).push("a", 2.6, 2.7, record.Delivered, 0))
	// Output:
	// answered in time: kept
	// overdue: lost at 7.350 s: dispatcher 0 a : accepted at 1.000, TTL expired at 7.000, final answer due by 7.350; given_up at 7.360
	// unanswered: lost at 7.350 s: dispatcher 0 a : accepted at 1.000, TTL expired at 7.000, final answer due by 7.350; no final answer
	// restarted: kept
	// restarted, overdue: lost at 9.550 s: dispatcher 0 a : accepted at 1.000, TTL expired at 7.000, final answer due by 9.550; given_up at 9.600
	// not restarted: kept
	// within slack of its end: kept
	// after its end: lost at 2.060 s: dispatcher 0 a e1-0: pushed at 2.060, after it was handed_back at 2.000
	// stalled: kept
	// not stalled: lost at 2.600 s: dispatcher 0 a e1-0: pushed at 2.600, after it was delivered at 2.000
}

// unanswered adds a request on a connection that ended without an answer.
func (b *journalBuilder) unanswered(id string, attempt record.Attempt) *journalBuilder {
	attempt.LocalAddr = "client"
	b.AddHandIn(&record.HandIn{ID: id, PlanIndex: len(b.HandIns), Topic: "again", Dest: 1, SentAt: attempt.WrittenAt, ExpiresAt: attempt.WrittenAt + 6,
		Unanswered: []record.Attempt{attempt}})
	return b
}

// A request that was written in full gets an answer, unless its process is killed, the laboratory ends the connection, or a planned
// stop closes an idle connection in the same moment.
func Example_unanswered() {
	const wait = 0.1
	fresh, reused := record.Attempt{WrittenAt: 5, EndedAt: 5 + wait}, record.Attempt{WrittenAt: 5, EndedAt: 5.001, Reused: true}
	printViolations("closed", (&journalBuilder{}).unanswered("a", fresh))
	printViolations("killed", (&journalBuilder{}).unanswered("a", fresh).event(record.Killed, 5.09))
	printViolations("killed later", (&journalBuilder{}).unanswered("a", fresh).event(record.Killed, 5.2))
	printViolations("killed, and still ending", (&journalBuilder{}).unanswered("a", fresh).event(record.Killed, 4.9).event(record.Exited, 5.08))
	printViolations("killed, ended and started before", (&journalBuilder{}).unanswered("a", fresh).event(record.Killed, 4.8).event(record.Exited, 4.9).event(record.Started, 4.95))
	printViolations("ended by itself", (&journalBuilder{}).unanswered("a", fresh).event(record.TerminateSent, 1).event(record.Exited, 5.1))
	printViolations("crossed a close at a stop", (&journalBuilder{}).unanswered("a", reused).event(record.TerminateSent, 4.5))
	printViolations("reused, closed at once, no stop", (&journalBuilder{}).unanswered("a", reused))
	printViolations("new connection at a stop", (&journalBuilder{}).unanswered("a", record.Attempt{WrittenAt: 5, EndedAt: 5.001}).event(record.TerminateSent, 4.5))
	cut := (&journalBuilder{}).unanswered("a", fresh)
	cut.AddPlannedEnd(record.PlannedEnd{Addr: "client", At: 5.09, Cause: "cut by the proxy"})
	printViolations("cut", cut)
	cutLater := (&journalBuilder{}).unanswered("a", fresh)
	cutLater.AddPlannedEnd(record.PlannedEnd{Addr: "client", At: 5.3, Cause: "cut by the proxy"})
	printViolations("another connection of the same address cut later", cutLater)
	// Output:
	// closed: lost at 5.100 s: dispatcher 0 a : written in full at 5.0000 on client, its connection ended with no answer 0.1000 s later (reused false, idle for 0.000 s; pushed 0 times)
	// killed: kept
	// killed later: lost at 5.100 s: dispatcher 0 a : written in full at 5.0000 on client, its connection ended with no answer 0.1000 s later (reused false, idle for 0.000 s; pushed 0 times)
	// killed, and still ending: kept
	// killed, ended and started before: lost at 5.100 s: dispatcher 0 a : written in full at 5.0000 on client, its connection ended with no answer 0.1000 s later (reused false, idle for 0.000 s; pushed 0 times)
	// ended by itself: lost at 5.100 s: dispatcher 0 a : written in full at 5.0000 on client, its connection ended with no answer 0.1000 s later (reused false, idle for 0.000 s; pushed 0 times)
	// crossed a close at a stop: kept
	// reused, closed at once, no stop: lost at 5.001 s: dispatcher 0 a : written in full at 5.0000 on client, its connection ended with no answer 0.0010 s later (reused true, idle for 0.000 s; pushed 0 times)
	// new connection at a stop: lost at 5.001 s: dispatcher 0 a : written in full at 5.0000 on client, its connection ended with no answer 0.0010 s later (reused false, idle for 0.000 s; pushed 0 times)
	// cut: kept
	// another connection of the same address cut later: lost at 5.100 s: dispatcher 0 a : written in full at 5.0000 on client, its connection ended with no answer 0.1000 s later (reused false, idle for 0.000 s; pushed 0 times)
}

// A notification is repeated only as far as its topic allows, never while a push is in flight, and never beyond the push limit. One
// that may have run and is once-only is not handed back.
func Example_duplicate() {
	printViolations("throttled", (&journalBuilder{}).accept("a", "once", "", 1).push("a", 1, 1.1, record.Throttled, 0).push("a", 2, 2.1, record.Delivered, 0))
	printViolations("may have run", (&journalBuilder{}).accept("a", "once", "", 1).push("a", 1, 1.1, record.Failed, 0).push("a", 2, 2.1, record.Throttled, 0).
		notice("a", record.GivenUp, 3))
	printViolations("ran twice", (&journalBuilder{}).accept("a", "once", "", 1).push("a", 1, 1.1, record.Unreadable, 0).push("a", 2, 2.1, record.Delivered, 0))
	printViolations("in sequence", (&journalBuilder{}).accept("a", "again", "", 1).push("a", 1, 2.04, record.Unanswered, 0).push("a", 2, 2.1, record.Delivered, 0))
	printViolations("concurrent", (&journalBuilder{}).accept("a", "again", "", 1).push("a", 1, 2.06, record.Unanswered, 0).push("a", 2, 2.1, record.Delivered, 0))
	printViolations("within window", (&journalBuilder{}).accept("a", "mark", "", 1).push("a", 1, 1.1, record.Failed, 0).push("a", 3.04, 3.1, record.Delivered, 0))
	printViolations("outside window", (&journalBuilder{}).accept("a", "mark", "", 1).push("a", 1, 1.1, record.Failed, 0).push("a", 3.06, 3.1, record.Delivered, 0))
	printViolations("given up", (&journalBuilder{}).accept("a", "once", "", 1).push("a", 1, 2, record.Unanswered, 0).notice("a", record.GivenUp, 3))
	printViolations("handed back", (&journalBuilder{}).accept("a", "once", "", 1).push("a", 1, 2, record.Unanswered, 0).notice("a", record.HandedBack, 3))
	printViolations("push limit", (&journalBuilder{}).accept("a", "again", "", 1).push("a", 1, 1.1, record.Throttled, 0).push("a", 2, 2.1, record.Throttled, 0).
		push("a", 3, 3.1, record.Throttled, 0).push("a", 4, 4.1, record.Delivered, 0))
	// Output:
	// throttled: kept
	// may have run: twice at 2.000 s: dispatcher 0 a e1-0: once-only, pushed at 2.000: its push of 1.000 to e1-0 may have run (answered as failed)
	// ran twice: twice at 2.000 s: dispatcher 0 a e1-0: once-only, pushed at 2.000: its push of 1.000 to e1-0 may have run (unreadable answer)
	// ran twice: twice at 2.000 s: dispatcher 0 a e1-0: once-only, took effect 2 times: first at 1.000, last at 2.000
	// in sequence: kept
	// concurrent: twice at 2.000 s: dispatcher 0 a e1-0: repeatable, pushed at 2.000: its push of 1.000 to e1-0 was still in flight
	// within window: kept
	// outside window: twice at 3.060 s: dispatcher 0 a e1-0: collapsible, pushed at 3.060: its deduplication window ended at 3.050
	// given up: kept
	// handed back: twice at 3.000 s: dispatcher 0 a e1-0: handed back at 3.000, but its push of 1.000 may have run (caller closed the connection)
	// push limit: twice at 4.000 s: dispatcher 0 a e1-0: repeatable, pushed at 4.000: push 4 exceeds the limit of 3
}

// Calls may go to a draining endpoint only for a grace period after the dispatcher received the list. A dispatcher that got no list
// counts as having received it after 6 s. One that restarted knows what the process before was told, unless that was killed within the
// grace period after it. The same rule forbids calls with notifications that no client handed in.
func Example_draining() {
	listed := func(b *journalBuilder, state string, at float64) *journalBuilder {
		b.AddListUpdate(record.ListUpdate{At: at, Entries: []record.ListEntry{{ID: "e0-0", State: state}}})
		return b
	}
	printViolations("within grace period", listed((&journalBuilder{}).accept("a", "again", "", 20).push("a", 21.54, 21.6, record.Delivered, 0).redirect("e0-0"), "draining", 21))
	printViolations("after grace period", listed((&journalBuilder{}).accept("a", "again", "", 20).push("a", 21.56, 21.6, record.Delivered, 0).redirect("e0-0"), "draining", 21))
	printViolations("no list received", (&journalBuilder{}).accept("a", "again", "", 25).push("a", 26.56, 26.6, record.Delivered, 0).redirect("e0-0"))
	printViolations("killed within grace period", listed((&journalBuilder{}).event(record.Killed, 21.1).event(record.Started, 21.2).accept("a", "again", "", 20).push("a", 21.56, 21.6, record.Delivered, 0).redirect("e0-0"),
		"draining", 21))
	printViolations("killed after grace period", listed((&journalBuilder{}).event(record.Killed, 21.6).event(record.Started, 21.7).accept("a", "again", "", 20).push("a", 22.3, 22.4, record.Delivered, 0).redirect("e0-0"),
		"draining", 21))
	printViolations("unknown notification", (&journalBuilder{}).accept("a", "again", "", 5).push("b", 5, 5.1, record.Delivered, 0).push("a", 5.1, 5.2, record.Delivered, 0))
	// Output:
	// within grace period: kept
	// after grace period: drains at 21.560 s: dispatcher 0 a e0-0: called at 21.560; listed as draining at 21.000, with a grace period of 0.550 s
	// no list received: drains at 26.560 s: dispatcher 0 a e0-0: called at 26.560; listed as draining at 26.000, with a grace period of 0.550 s
	// killed within grace period: kept
	// killed after grace period: drains at 22.300 s: dispatcher 0 a e0-0: called at 22.300; listed as draining at 21.700, with a grace period of 0.550 s
	// unknown notification: drains at 5.000 s: dispatcher -1 b e1-0: endpoint of another destination, or a notification that no client handed in
}

// The destination recovers at 2 s with a capacity of 1 call per second. It is overloaded by more calls within 1.5 s than twice its
// capacity, plus a tolerance for random variation. That breaks the rule if the dispatcher had seen the outage.
func Example_overload() {
	calls := func(sawOutage bool, gap float64) *journalBuilder {
		b := &journalBuilder{}
		b.accept("a", "again", "", 1)
		if sawOutage {
			b.push("a", 1.5, 1.9, record.Unanswered, 0).redirect("e0-0")
		}
		for i := range 30 {
			id := fmt.Sprint("c", i)
			at := 2.1 + float64(i)*gap
			b.accept(id, "again", "", at).push(id, at, at+0.05, record.Delivered, 0).redirect("e0-0")
		}
		return b.notice("a", record.GivenUp, 2)
	}
	printViolations("below overload", calls(true, 0.26))
	printViolations("outage not seen", calls(false, 0.1))
	printViolations("started since", calls(true, 0.1).event(record.Started, 2))
	printViolations("overloaded", calls(true, 0.1))
	// Output:
	// below overload: kept
	// outage not seen: kept
	// started since: pushed at 3.400 s: dispatcher 0 c13 e0-0: recovered at 2.000, capacity 2.05 calls/s, got 14 calls in 1.5 s, 14 of them from dispatchers that had seen the outage
	// overloaded: pushed at 3.400 s: dispatcher 0 c13 e0-0: recovered at 2.000, capacity 2.05 calls/s, got 14 calls in 1.5 s, 14 of them from dispatchers that had seen the outage
}

// The notifications of a key are pushed in the order in which they were accepted, each after the final answer of the one before and
// after the cooldown of the key. A notification may be handed back before its turn.
func Example_order() {
	twoAccepted := func() *journalBuilder {
		return (&journalBuilder{}).accept("a", "once", "k", 1).accept("b", "once", "k", 2)
	}
	printViolations("in sequence", twoAccepted().push("a", 2, 3, record.Delivered, 0).push("b", 3, 3.5, record.Delivered, 0))
	printViolations("reordered", twoAccepted().push("b", 2.5, 2.6, record.Delivered, 0).push("a", 3, 3.5, record.Delivered, 0))
	printViolations("concurrent", twoAccepted().push("a", 2, 3, record.Delivered, 0).push("b", 2.9, 3.5, record.Delivered, 0))
	printViolations("after cooldown", twoAccepted().push("a", 2, 3, record.Unanswered, 0).notice("a", record.GivenUp, 3).push("b", 3.4, 3.5, record.Delivered, 0))
	printViolations("during cooldown", twoAccepted().push("a", 2, 3, record.Unanswered, 0).notice("a", record.GivenUp, 3).push("b", 3.3, 3.5, record.Delivered, 0))
	printViolations("before the notice", twoAccepted().push("a", 2, 3, record.Failed, 0).notice("a", record.GivenUp, 4).push("b", 3.5, 3.6, record.Delivered, 0))
	printViolations("handed back early", twoAccepted().push("a", 2, 3, record.Delivered, 0).notice("b", record.HandedBack, 2.5))
	// Output:
	// in sequence: kept
	// reordered: order at 2.500 s: dispatcher 0 b e1-0: pushed at 2.500; a of the same key (k) was accepted before it and had no final answer until 3.500
	// concurrent: order at 2.900 s: dispatcher 0 b e1-0: pushed at 2.900; a of the same key (k) was accepted before it and had no final answer until 3.000
	// after cooldown: kept
	// during cooldown: order at 3.300 s: dispatcher 0 b e1-0: pushed at 3.300; a of the same key (k) was accepted before it and had a push in flight or its key in cooldown until 3.400
	// before the notice: order at 3.500 s: dispatcher 0 b e1-0: pushed at 3.500; a of the same key (k) was accepted before it and had no final answer until 4.000
	// handed back early: kept
}

// No call may reach a destination during a told wait, except calls that were already in flight and those of a restarted process.
func Example_toldWait() {
	calledAt := func(at float64) *journalBuilder {
		return (&journalBuilder{}).accept("a", "again", "", 1).accept("b", "again", "", 1).push("a", 1, 1.1, record.Throttled, 2).
			push("b", at, at+0.1, record.Delivered, 0).notice("a", record.HandedBack, 5)
	}
	printViolations("in flight", calledAt(1.24))
	printViolations("during the wait", calledAt(1.3))
	printViolations("after the wait", calledAt(3.1))
	printViolations("restarted", calledAt(2).event(record.Started, 1.5))
	// Output:
	// in flight: kept
	// during the wait: waits at 1.300 s: dispatcher 0 b e1-0: called at 1.300; at 1.100 e1-0 told a wait until 3.100
	// after the wait: kept
	// restarted: kept
}

// An exit that was requested keeps the rule, and an unexpected one breaks it.
func Example_crash() {
	printViolations("as requested", (&journalBuilder{}).event(record.Killed, 1).event(record.Exited, 1))
	crash := &journalBuilder{}
	crash.AddProcessEvent(record.ProcessEvent{Kind: record.Crashed, At: 3, Detail: "it ended with exit status 2"})
	printViolations("unexpected", crash)
	// Output:
	// as requested: kept
	// unexpected: crash at 3.000 s: dispatcher 0  : it ended with exit status 2
}

// A push whose connection the caller closed before it sent the next one does not count as concurrent, even if the endpoint
// reads it only after that. Two pushes that are in flight together do.
func Example_closedBeforeRead() {
	withUnanswered := func(b *journalBuilder, from, to float64) *journalBuilder {
		b.push("a", from, to, record.Unanswered, 0)
		return b
	}
	printViolations("closed, then read", withUnanswered((&journalBuilder{}).accept("a", "again", "", 1).push("a", 2, 2.5, record.Delivered, 0), 2.0003, 2.0004))
	printViolations("closed later", withUnanswered((&journalBuilder{}).accept("a", "again", "", 1).push("a", 2, 2.5, record.Delivered, 0), 2.0003, 2.1))
	printViolations("sent later", withUnanswered((&journalBuilder{}).accept("a", "again", "", 1).push("a", 2, 2.5, record.Delivered, 0), 2.2, 2.2004))
	// Output:
	// closed, then read: kept
	// closed later: twice at 2.000 s: dispatcher 0 a e1-0: repeatable, pushed at 2.000: its push of 2.000 to e1-0 was still in flight
	// sent later: twice at 2.200 s: dispatcher 0 a e1-0: repeatable, pushed at 2.200: its push of 2.000 to e1-0 was still in flight
}

// A collapsible notification with deduplication by zone may be repeated only in the zone of a push that may have run. One
// that never ran may go to any zone.
func Example_zoneScope() {
	for _, first := range []record.PushState{record.Failed, record.Throttled} {
		for _, second := range []string{"e1-0", "e1-1"} {
			w := newWorld()
			w.Topics = append(w.Topics, scenario.Topic{Name: "zoned", Repeat: scenario.Collapsible, DedupScope: scenario.DedupScopeZone, DedupWindow: 2, TTL: 6})
			w.Partners[1].Endpoints = append(w.Partners[1].Endpoints, scenario.Endpoint{ID: "e1-1", Dest: 1, Zone: "b"})
			b := (&journalBuilder{}).accept("a", "zoned", "", 1).push("a", 1, 1.5, first, 0).push("a", 2, 2.5, record.Delivered, 0)
			b.Calls[1].Endpoint = second
			fmt.Println(first, second, rules.Check(w, &b.Journal, 30))
		}
	}
	// Output:
	// failed e1-0 []
	// failed e1-1 [twice at 2.000 s: dispatcher 0 a e1-1: collapsible, pushed at 2.000: sent to zone "b", but its push of 1.000 to e1-0 in zone "a" may have run (answered as failed)]
	// busy e1-0 []
	// busy e1-1 []
}

// A refused notification must not be pushed, because its client may have handed it in again elsewhere.
func Example_refused() {
	b := (&journalBuilder{}).accept("a", "again", "", 1)
	b.HandIns[0].Status = 503
	printViolations("refused", b)
	printViolations("refused and pushed", b.push("a", 2, 2.5, record.Delivered, 0))
	// Output:
	// refused: kept
	// refused and pushed: twice at 2.000 s: dispatcher 0 a e1-0: repeatable, pushed at 2.000: its client got a refusal at 1.000
}
