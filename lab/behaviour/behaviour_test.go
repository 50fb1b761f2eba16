package behaviour_test

import (
	"fmt"

	"orchiddrift/lab/behaviour"
	"orchiddrift/lab/scenario"
)

// partner is a destination of one kind, with troubles, that takes 4 calls a second.
func partner(kind scenario.Kind, troubles ...scenario.Trouble) *behaviour.Partner {
	kind.Name = "k"
	for i := range troubles {
		troubles[i].Destinations = []int{0}
	}
	s := &scenario.Scenario{Seed: 1, Length: 20, Kinds: []scenario.Kind{kind}, Troubles: troubles,
		Recovery: scenario.Recovery{InitialCapacity: 0.25, WarmUp: 4, OverloadFactor: 2, OverloadSpan: 1.5}, Load: scenario.Load{Rate: 1},
		Groups: []scenario.DestinationGroup{{Count: 1, Kind: "k", Endpoints: 1, Share: 1, CapacityFactor: 1, MinRate: 4, ServiceTime: 0.25}}}
	w := scenario.NewWorld(s)
	return behaviour.New(w, w.Partners[0])
}

// show prints what becomes of calls, one at each moment.
func show(p *behaviour.Partner, at ...float64) {
	for i, t := range at {
		f := p.HandleCall(t, 0, behaviour.Call{IDs: []string{fmt.Sprint("n", i)}})
		fmt.Printf("%.2f: way %d status %d after %.2f wait %.2f %q ran %v because %q", t, f.End, f.Status, f.Delay, f.ToldWait, f.States[0], f.Ran[0], f.Cause)
		if f.HasLoadReport {
			fmt.Printf(" left %.2f of %.2f", f.LoadShare, f.LoadLimit)
		}
		fmt.Println()
	}
}

// A plain rate lets half a second's calls through at once, then as many as come back; it tells when.
func Example_rate() {
	show(partner(scenario.Kind{LimitKind: scenario.RateLimit, ToldWaitShare: 1, MinToldWait: 0.1, ReportsLoad: true, QueueLength: 9}), 1, 1, 1, 1.25, 1.3)
	// Output:
	// 1.00: way 0 status 200 after 0.25 wait 0.00 "done" ran true because "" left 0.25 of 4.00
	// 1.00: way 0 status 200 after 0.25 wait 0.00 "done" ran true because "" left 0.00 of 4.00
	// 1.00: way 0 status 429 after 0.00 wait 0.25 "busy" ran false because "" left 0.00 of 4.00
	// 1.25: way 0 status 200 after 0.25 wait 0.00 "done" ran true because "" left 0.00 of 4.00
	// 1.30: way 0 status 429 after 0.00 wait 0.20 "busy" ran false because "" left 0.05 of 4.00
}

// A windowed limit that counts refused calls, and one lowered in silence: the report tells the old.
func Example_window() {
	show(partner(scenario.Kind{LimitKind: scenario.WindowLimit, LimitWindow: 1, CountRejected: true, ToldWaitShare: 1, MinToldWait: 0.1, ReportsLoad: true, QueueLength: 9},
		scenario.Trouble{Kind: scenario.ChangeLimit, At: 2, Duration: 2, Factor: 0.25}), 1.9, 2.1, 2.2, 3.1)
	// Output:
	// 1.90: way 0 status 200 after 0.25 wait 0.00 "done" ran true because "" left 0.75 of 4.00
	// 2.10: way 0 status 200 after 0.25 wait 0.00 "done" ran true because "" left 0.00 of 4.00
	// 2.20: way 0 status 429 after 0.00 wait 0.80 "busy" ran false because "" left 0.00 of 4.00
	// 3.10: way 0 status 200 after 0.25 wait 0.00 "done" ran true because "" left 0.00 of 4.00
}

// Slots, then a queue, then refusals; work takes longer while cold.
func Example_queue() {
	show(partner(scenario.Kind{QueueLength: 1}), 1, 1, 1, 1)
	show(partner(scenario.Kind{QueueLength: 1}, scenario.Trouble{Kind: scenario.RejectAll, At: 1, Duration: 1, Announced: true}), 1.5, 2, 4, 9)
	// Output:
	// 1.00: way 0 status 200 after 0.25 wait 0.00 "done" ran true because ""
	// 1.00: way 0 status 200 after 0.25 wait 0.00 "done" ran true because ""
	// 1.00: way 0 status 200 after 0.50 wait 0.00 "done" ran true because ""
	// 1.00: way 0 status 503 after 0.00 wait 0.00 "busy" ran false because "queue full"
	// 1.50: way 0 status 429 after 0.00 wait 0.50 "busy" ran false because "shut"
	// 2.00: way 0 status 200 after 1.00 wait 0.00 "done" ran true because ""
	// 4.00: way 0 status 200 after 0.40 wait 0.00 "done" ran true because ""
	// 9.00: way 0 status 200 after 0.25 wait 0.00 "done" ran true because ""
}

// Cold at 1 call a second and twice that allowed, it falls with the first call beyond N + 3 sqrt(N) + 3 in 1.5 seconds, N
// being 3 or a little more as it warms, whether they come in a burst or not.
func Example_fall() {
	for _, n := range []int{11, 12} {
		burst := partner(scenario.Kind{QueueLength: 99}, scenario.Trouble{Kind: scenario.Hang, At: 0, Duration: 1})
		for i := range n {
			burst.HandleCall(1.1, 0, behaviour.Call{IDs: []string{fmt.Sprint(i)}})
		}
		fmt.Println("a burst of", n, burst.Collapsed())
	}
	steady := partner(scenario.Kind{QueueLength: 99}, scenario.Trouble{Kind: scenario.Hang, At: 0, Duration: 1})
	for i := 0; !steady.Collapsed() && i < 40; i++ {
		at := 1.1 + float64(i)*0.1
		if steady.HandleCall(at, 0, behaviour.Call{IDs: []string{fmt.Sprint(i)}}); steady.Collapsed() {
			fmt.Printf("ten a second: fallen at %.1f\n", at)
		}
	}
	show(steady, 6)
	// Output:
	// a burst of 11 false
	// a burst of 12 true
	// ten a second: fallen at 2.4
	// 6.00: way 0 status 503 after 0.00 wait 0.00 "busy" ran false because "fallen over"
}

// The faults, one each: what has run is told by nobody but the partner.
func Example_faults() {
	for _, kind := range []string{scenario.Hang, scenario.FailCalls, scenario.LoseAnswers, scenario.ResetConnections, scenario.LateAnswers, scenario.TruncateAnswers, scenario.CorruptAnswers, scenario.CloseAfterAnswer} {
		show(partner(scenario.Kind{QueueLength: 9}, scenario.Trouble{Kind: kind, At: 1, Duration: 1, Share: 1}), 1.5)
	}
	p := partner(scenario.Kind{QueueLength: 9}, scenario.Trouble{Kind: scenario.BreakReused, At: 1, Duration: 1, Share: 1},
		scenario.Trouble{Kind: scenario.RefuseConnections, At: 3, Duration: 1}, scenario.Trouble{Kind: scenario.Drain, At: 5, Wait: 1})
	fmt.Println(p.HandleCall(1.5, 0, behaviour.Call{IDs: []string{"a"}, Reused: true}).End, p.HandleCall(1.5, 0, behaviour.Call{IDs: []string{"b"}}).End)
	fmt.Println(p.AcceptsConnections(2, 0), p.AcceptsConnections(3.5, 0), p.AcceptsConnections(6.5, 0), p.AcceptsConnections(7.1, 0), "and its follower", p.AcceptsConnections(4, 1), p.AcceptsConnections(5, 1))
	// Output:
	// 1.50: way 1 status 0 after 0.00 wait 0.00 "" ran false because "hang"
	// 1.50: way 0 status 500 after 0.01 wait 0.00 "failed" ran true because "errors"
	// 1.50: way 1 status 200 after 0.25 wait 0.00 "" ran true because "lost"
	// 1.50: way 2 status 200 after 0.25 wait 0.00 "" ran true because "reset"
	// 1.50: way 5 status 200 after 0.25 wait 0.00 "" ran true because "late"
	// 1.50: way 3 status 200 after 0.25 wait 0.00 "odd" ran true because "cut"
	// 1.50: way 4 status 200 after 0.25 wait 0.00 "odd" ran true because "spoil"
	// 1.50: way 6 status 200 after 0.25 wait 0.00 "done" ran true because "close"
	// 2 0
	// true false true false and its follower false true
}
