package rules_test

import (
	"fmt"

	"orchiddrift/lab/record"
	"orchiddrift/lab/rules"
	"orchiddrift/lab/scenario"
)

// world has one destination, 0, that takes 4 calls a second, hangs from 1 to 2 and drains its endpoint e0-0 from 20 on,
// and one that is left alone.
func world() *scenario.World {
	return scenario.NewWorld(&scenario.Scenario{Seed: 1, Length: 30, Kinds: []scenario.Kind{{Name: "k"}}, Load: scenario.Load{Rate: 1},
		Dispatchers: scenario.Dispatchers{Count: 1, MaxPushes: 3, DrainGrace: 0.5, KeyCooldown: 0.4, MemoryMB: 1, DiskMB: 1},
		Recovery:    scenario.Recovery{InitialCapacity: 0.25, WarmUp: 4, OverloadFactor: 2, OverloadSpan: 1.5},
		Groups:      []scenario.DestinationGroup{{Count: 2, Kind: "k", Endpoints: 1, Share: 1, CapacityFactor: 1, MinRate: 4}},
		Topics: []scenario.Topic{{Name: "once", Repeat: scenario.OnceOnly, TTL: 6, Ordered: true},
			{Name: "again", Repeat: scenario.Repeatable, TTL: 6}, {Name: "mark", Repeat: scenario.Collapsible, DedupWindow: 2, TTL: 6}},
		Troubles: []scenario.Trouble{{Kind: scenario.Hang, At: 1, Duration: 1, Destinations: []int{0}},
			{Kind: scenario.Drain, At: 20, Wait: 5, Destinations: []int{0}}}})
}

// trace builds a journal.
type trace struct{ record.Journal }

// take notes a hand-in, answered at once and good for 6 s.
func (t *trace) take(id, topic, key string, at float64) *trace {
	t.AddHandIn(&record.HandIn{ID: id, PlanIndex: len(t.HandIns), Topic: topic, Key: key, Dest: 1, PlannedAt: at, SentAt: at, ExpiresAt: at + 6,
		AnsweredAt: at, Status: 202})
	return t
}

// push notes a call of one notification that ends in a state.
func (t *trace) push(id string, from, to float64, state record.PushState, wait float64) *trace {
	status := map[record.PushState]int{record.Delivered: 200, record.Throttled: 503, record.Failed: 500}[state]
	t.AddCall(&record.Call{Endpoint: "e1-0", Dest: 1, IDs: []string{id}, FirstByteAt: from, LastByteAt: from, EndedAt: to, Status: status, ToldWait: wait,
		States: []record.PushState{state}, Ran: []bool{state != record.Throttled}, CallerClosed: state == record.Unanswered})
	return t
}

func (t *trace) notice(id, outcome string, at float64) *trace {
	t.AddNotice(record.Notice{ID: id, Outcome: outcome, At: at})
	return t
}

func (t *trace) life(what string, at float64) *trace {
	t.AddProcessEvent(record.ProcessEvent{Kind: what, At: at})
	return t
}

// to moves the last call to another endpoint of destination 0.
func (t *trace) to(endpoint string) *trace {
	t.Calls[len(t.Calls)-1].Endpoint, t.Calls[len(t.Calls)-1].Dest = endpoint, 0
	for _, id := range t.Calls[len(t.Calls)-1].IDs {
		for _, h := range t.HandIns {
			if h.ID == id {
				h.Dest = 0
			}
		}
	}
	return t
}

func judge(name string, t *trace) {
	found := rules.Check(world(), &t.Journal, 30)
	if len(found) == 0 {
		fmt.Println(name+":", "kept")
	}
	for _, v := range found {
		fmt.Println(name+":", v)
	}
}

// Each pair first keeps a rule narrowly, then breaks it.
func Example_lost() {
	judge("in time", (&trace{}).take("a", "once", "", 1).notice("a", record.GivenUp, 7.34))
	judge("overdue", (&trace{}).take("a", "once", "", 1).notice("a", record.GivenUp, 7.36))
	judge("none", (&trace{}).take("a", "again", "", 1).push("a", 1, 2, record.Throttled, 0))
	judge("restarted", (&trace{}).take("a", "again", "", 1).life(record.Killed, 6).life(record.Started, 7).life(record.Ready, 8).
		notice("a", record.GivenUp, 9.5))
	judge("restarted, late", (&trace{}).take("a", "again", "", 1).life(record.Killed, 6).life(record.Started, 7).life(record.Ready, 8).
		notice("a", record.GivenUp, 9.6))
	judge("not back", (&trace{}).take("a", "again", "", 1).life(record.Killed, 6))
	judge("as it ends", (&trace{}).take("a", "again", "", 1).notice("a", record.HandedBack, 2).push("a", 2.04, 2.1, record.Throttled, 0))
	judge("after its end", (&trace{}).take("a", "again", "", 1).notice("a", record.HandedBack, 2).push("a", 2.06, 2.1, record.Throttled, 0))
	still := (&trace{}).life(record.Stalled, 1.5).life(record.Resumed, 2.5).take("a", "again", "", 1)
	judge("stood still", still.push("a", 1, 2, record.Delivered, 0).push("a", 2.6, 2.7, record.Delivered, 0))
	judge("awake", (&trace{}).take("a", "again", "", 1).push("a", 1, 2, record.Delivered, 0).push("a", 2.6, 2.7, record.Delivered, 0))
	// Output:
	// in time: kept
	// overdue: lost at 7.350 s: dispatcher 0 a : taken on at 1.000, its TTL ended at 7.000, its answer was overdue at 7.350; it was given_up at 7.360
	// none: lost at 7.350 s: dispatcher 0 a : taken on at 1.000, its TTL ended at 7.000, its answer was overdue at 7.350; it had none at all
	// restarted: kept
	// restarted, late: lost at 9.550 s: dispatcher 0 a : taken on at 1.000, its TTL ended at 7.000, its answer was overdue at 9.550; it was given_up at 9.600
	// not back: kept
	// as it ends: kept
	// after its end: lost at 2.060 s: dispatcher 0 a e1-0: pushed at 2.060 although handed_back at 2.000
	// stood still: kept
	// awake: lost at 2.600 s: dispatcher 0 a e1-0: pushed at 2.600 although delivered at 2.000
}

func Example_twice() {
	judge("turned away", (&trace{}).take("a", "once", "", 1).push("a", 1, 1.1, record.Throttled, 0).push("a", 2, 2.1, record.Delivered, 0))
	judge("may have run", (&trace{}).take("a", "once", "", 1).push("a", 1, 1.1, record.Failed, 0).push("a", 2, 2.1, record.Throttled, 0).
		notice("a", record.GivenUp, 3))
	judge("ran twice", (&trace{}).take("a", "once", "", 1).push("a", 1, 1.1, record.Unreadable, 0).push("a", 2, 2.1, record.Delivered, 0))
	judge("one by one", (&trace{}).take("a", "again", "", 1).push("a", 1, 2.04, record.Unanswered, 0).push("a", 2, 2.1, record.Delivered, 0))
	judge("at once", (&trace{}).take("a", "again", "", 1).push("a", 1, 2.06, record.Unanswered, 0).push("a", 2, 2.1, record.Delivered, 0))
	judge("known", (&trace{}).take("a", "mark", "", 1).push("a", 1, 1.1, record.Failed, 0).push("a", 3.04, 3.1, record.Delivered, 0))
	judge("forgotten", (&trace{}).take("a", "mark", "", 1).push("a", 1, 1.1, record.Failed, 0).push("a", 3.06, 3.1, record.Delivered, 0))
	judge("given up", (&trace{}).take("a", "once", "", 1).push("a", 1, 2, record.Unanswered, 0).notice("a", record.GivenUp, 3))
	judge("handed back", (&trace{}).take("a", "once", "", 1).push("a", 1, 2, record.Unanswered, 0).notice("a", record.HandedBack, 3))
	judge("pushes", (&trace{}).take("a", "again", "", 1).push("a", 1, 1.1, record.Throttled, 0).push("a", 2, 2.1, record.Throttled, 0).
		push("a", 3, 3.1, record.Throttled, 0).push("a", 4, 4.1, record.Delivered, 0))
	// Output:
	// turned away: kept
	// may have run: twice at 2.000 s: dispatcher 0 a e1-0: once-only, pushed at 2.000: its push of 1.000 at e1-0 may have run (answered as failed)
	// ran twice: twice at 2.000 s: dispatcher 0 a e1-0: once-only, pushed at 2.000: its push of 1.000 at e1-0 may have run (a spoilt answer)
	// ran twice: twice at 2.000 s: dispatcher 0 a e1-0: once-only, it ran 2 times: at 1.000 and at 2.000
	// one by one: kept
	// at once: twice at 2.000 s: dispatcher 0 a e1-0: repeatable, pushed at 2.000: its push of 1.000 at e1-0 was still out
	// known: kept
	// forgotten: twice at 3.060 s: dispatcher 0 a e1-0: collapsible, pushed at 3.060: its mark was known until 3.050
	// given up: kept
	// handed back: twice at 3.000 s: dispatcher 0 a e1-0: handed back at 3.000 although its push of 1.000 may have run (its caller left)
	// pushes: twice at 4.000 s: dispatcher 0 a e1-0: repeatable, pushed at 4.000: it is push 4 of 3 at most
}

func Example_drains() {
	told := func(t *trace, state string, at float64) *trace {
		t.AddListUpdate(record.ListUpdate{At: at, Entries: []record.ListEntry{{ID: "e0-0", State: state}}})
		return t
	}
	judge("in grace", told((&trace{}).take("a", "again", "", 20).push("a", 21.54, 21.6, record.Delivered, 0).to("e0-0"), "draining", 21))
	judge("too late", told((&trace{}).take("a", "again", "", 20).push("a", 21.56, 21.6, record.Delivered, 0).to("e0-0"), "draining", 21))
	judge("never asked", (&trace{}).take("a", "again", "", 25).push("a", 26.56, 26.6, record.Delivered, 0).to("e0-0"))
	judge("started since", told((&trace{}).life(record.Started, 21.2).take("a", "again", "", 20).push("a", 21.56, 21.6, record.Delivered, 0).to("e0-0"),
		"draining", 21))
	judge("a stranger", (&trace{}).take("a", "again", "", 5).push("b", 5, 5.1, record.Delivered, 0).push("a", 5.1, 5.2, record.Delivered, 0))
	// Output:
	// in grace: kept
	// too late: drains at 21.560 s: dispatcher 0 a e0-0: called at 21.560; that it drains was told at 21.000, with 0.550 s of grace
	// never asked: drains at 26.560 s: dispatcher 0 a e0-0: called at 26.560; that it drains was told at 26.000, with 0.550 s of grace
	// started since: kept
	// a stranger: drains at 5.000 s: dispatcher -1 b e1-0: it is of another destination, or no client handed it in
}

// Back at 2 with 1 call a second; more than twice that in each third of 1.5 s pushes it over, where the dispatcher had seen
// the outage.
func Example_pushed() {
	calls := func(seen bool, gap float64) *trace {
		t := &trace{}
		t.take("a", "again", "", 1)
		if seen {
			t.push("a", 1.5, 1.9, record.Unanswered, 0).to("e0-0")
		}
		for i := range 30 {
			id := fmt.Sprint("c", i)
			at := 2.1 + float64(i)*gap
			t.take(id, "again", "", at).push(id, at, at+0.05, record.Delivered, 0).to("e0-0")
		}
		return t.notice("a", record.GivenUp, 2)
	}
	judge("gently", calls(true, 0.26))
	judge("not seen", calls(false, 0.1))
	judge("started since", calls(true, 0.1).life(record.Started, 2))
	judge("pushed over", calls(true, 0.1))
	// Output:
	// gently: kept
	// not seen: kept
	// started since: kept
	// pushed over: pushed at 3.400 s: dispatcher 0 c13 e0-0: back since 2.000, it can take 2.05 calls/s and got 14 in 1.5 s, 14 of them from dispatchers that had seen the outage
}

func Example_order() {
	two := func() *trace { return (&trace{}).take("a", "once", "k", 1).take("b", "once", "k", 2) }
	judge("one by one", two().push("a", 2, 3, record.Delivered, 0).push("b", 3, 3.5, record.Delivered, 0))
	judge("overtaken", two().push("b", 2.5, 2.6, record.Delivered, 0).push("a", 3, 3.5, record.Delivered, 0))
	judge("side by side", two().push("a", 2, 3, record.Delivered, 0).push("b", 2.9, 3.5, record.Delivered, 0))
	judge("rested", two().push("a", 2, 3, record.Unanswered, 0).notice("a", record.GivenUp, 3).push("b", 3.4, 3.5, record.Delivered, 0))
	judge("no rest", two().push("a", 2, 3, record.Unanswered, 0).notice("a", record.GivenUp, 3).push("b", 3.3, 3.5, record.Delivered, 0))
	judge("notice not answered", two().push("a", 2, 3, record.Failed, 0).notice("a", record.GivenUp, 4).push("b", 3.5, 3.6, record.Delivered, 0))
	judge("out of turn", two().push("a", 2, 3, record.Delivered, 0).notice("b", record.HandedBack, 2.5))
	// Output:
	// one by one: kept
	// overtaken: order at 2.500 s: dispatcher 0 b e1-0: pushed at 2.500; a of the same key (k) was taken before it and was not over until 3.500
	// side by side: order at 2.900 s: dispatcher 0 b e1-0: pushed at 2.900; a of the same key (k) was taken before it and was not over until 3.000
	// rested: kept
	// no rest: order at 3.300 s: dispatcher 0 b e1-0: pushed at 3.300; a of the same key (k) was taken before it and had a push that was out, or rested, until 3.400
	// notice not answered: order at 3.500 s: dispatcher 0 b e1-0: pushed at 3.500; a of the same key (k) was taken before it and was not over until 4.000
	// out of turn: kept
}

func Example_waits() {
	told := func(at float64) *trace {
		return (&trace{}).take("a", "again", "", 1).take("b", "again", "", 1).push("a", 1, 1.1, record.Throttled, 2).
			push("b", at, at+0.1, record.Delivered, 0).notice("a", record.HandedBack, 5)
	}
	judge("on its way", told(1.24))
	judge("in the wait", told(1.3))
	judge("after it", told(3.1))
	judge("restarted", told(2).life(record.Started, 1.5))
	// Output:
	// on its way: kept
	// in the wait: waits at 1.300 s: dispatcher 0 b e1-0: called at 1.300; at 1.100 e1-0 had told it to wait until 3.100
	// after it: kept
	// restarted: kept
}

func Example_crash() {
	judge("as told", (&trace{}).life(record.Killed, 1).life(record.Exited, 1))
	crash := &trace{}
	crash.AddProcessEvent(record.ProcessEvent{Kind: record.Crashed, At: 3, Detail: "it ended with exit status 2"})
	judge("unasked", crash)
	// Output:
	// as told: kept
	// unasked: crash at 3.000 s: dispatcher 0  : it ended with exit status 2
}

// A push that was left before the next was made, and read only after that by its endpoint, is no second copy; two that are out
// together are.
func Example_readLate() {
	left := func(t *trace, from, to float64) *trace {
		t.push("a", from, to, record.Unanswered, 0)
		return t
	}
	judge("left, then read", left((&trace{}).take("a", "again", "", 1).push("a", 2, 2.5, record.Delivered, 0), 2.0003, 2.0004))
	judge("left later", left((&trace{}).take("a", "again", "", 1).push("a", 2, 2.5, record.Delivered, 0), 2.0003, 2.1))
	judge("sent after", left((&trace{}).take("a", "again", "", 1).push("a", 2, 2.5, record.Delivered, 0), 2.2, 2.2004))
	// Output:
	// left, then read: kept
	// left later: twice at 2.000 s: dispatcher 0 a e1-0: repeatable, pushed at 2.000: its push of 2.000 at e1-0 was still out
	// sent after: twice at 2.200 s: dispatcher 0 a e1-0: repeatable, pushed at 2.200: its push of 2.000 at e1-0 was still out
}

// A collapsible notification that is known in one zone may be pushed again there alone; one that never ran may go anywhere.
func Example_zone() {
	for _, first := range []record.PushState{record.Failed, record.Throttled} {
		for _, second := range []string{"e1-0", "e1-1"} {
			w := world()
			w.Topics = append(w.Topics, scenario.Topic{Name: "zoned", Repeat: scenario.Collapsible, DedupScope: scenario.DedupScopeZone, DedupWindow: 2, TTL: 6})
			w.Partners[1].Endpoints = append(w.Partners[1].Endpoints, scenario.Endpoint{ID: "e1-1", Dest: 1, Zone: "b"})
			t := (&trace{}).take("a", "zoned", "", 1).push("a", 1, 1.5, first, 0).push("a", 2, 2.5, record.Delivered, 0)
			t.Calls[1].Endpoint = second
			fmt.Println(first, second, rules.Check(w, &t.Journal, 30))
		}
	}
	// Output:
	// failed e1-0 []
	// failed e1-1 [twice at 2.000 s: dispatcher 0 a e1-1: collapsible, pushed at 2.000: zone "b"; its push of 1.000 at e1-0 in zone "a" may have run (answered as failed)]
	// busy e1-0 []
	// busy e1-1 []
}

// What was refused is not pushed: its client may have handed it in again elsewhere.
func Example_refused() {
	t := (&trace{}).take("a", "again", "", 1)
	t.HandIns[0].Status = 503
	judge("refused", t)
	judge("refused, and pushed", t.push("a", 2, 2.5, record.Delivered, 0))
	// Output:
	// refused: kept
	// refused, and pushed: twice at 2.000 s: dispatcher 0 a e1-0: repeatable, pushed at 2.000: its client was told at 1.000 that it was refused
}
