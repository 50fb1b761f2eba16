package behaviour_test

import (
	"fmt"

	"orchiddrift/lab/behaviour"
	"orchiddrift/lab/scenario"
)

// newPartner returns a destination of one kind, with troubles, that takes 4 calls per second.
func newPartner(kind scenario.Kind, troubles ...scenario.Trouble) *behaviour.Partner {
	kind.Name = "k"
	for i := range troubles {
		troubles[i].Destinations = []int{0}
	}
	s := &scenario.Scenario{Seed: 1, Length: 20, Kinds: []scenario.Kind{kind}, Troubles: troubles,
		Recovery: scenario.Recovery{InitialCapacityShare: 0.25, WarmUp: 4, OverloadFactor: 2, OverloadSpan: 1.5}, Load: scenario.Load{Rate: 1},
		Groups: []scenario.DestinationGroup{{Count: 1, Kind: "k", Endpoints: 1, Share: 1, CapacityFactor: 1, MinRate: 4, ServiceTime: 0.25}}}
	w := scenario.NewWorld(s)
	return behaviour.New(w, w.Partners[0])
}

// printOutcomes prints the outcomes of calls, one at each of the times.
func printOutcomes(p *behaviour.Partner, at ...float64) {
	for i, t := range at {
		o := p.HandleCall(t, 0, behaviour.Call{IDs: []string{fmt.Sprint("n", i)}})
		fmt.Printf("%.2f: end %d status %d after %.2f wait %.2f %q ran %v because %q", t, o.End, o.Status, o.Delay, o.ToldWait, o.States[0], o.Ran[0], o.Cause)
		if o.HasLoadReport {
			fmt.Printf(" left %.2f of %.2f", o.LoadShare, o.LoadLimit)
		}
		fmt.Println()
	}
}

// A plain rate limit admits a burst of half a second's calls, then calls at its rate. Rejections carry a told wait.
func Example_rateLimit() {
	printOutcomes(newPartner(scenario.Kind{LimitKind: scenario.RateLimit, ToldWaitShare: 1, MinToldWait: 0.1, ReportsLoad: true, QueueLength: 9}), 1, 1, 1, 1.25, 1.3)
	// Output:
	// 1.00: end 0 status 200 after 0.25 wait 0.00 "done" ran true because "" left 0.25 of 4.00
	// 1.00: end 0 status 200 after 0.25 wait 0.00 "done" ran true because "" left 0.00 of 4.00
	// 1.00: end 0 status 429 after 0.00 wait 0.25 "busy" ran false because "" left 0.00 of 4.00
	// 1.25: end 0 status 200 after 0.25 wait 0.00 "done" ran true because "" left 0.00 of 4.00
	// 1.30: end 0 status 429 after 0.00 wait 0.20 "busy" ran false because "" left 0.05 of 4.00
}

// A windowed limit that counts rejected calls too and is lowered without announcement: load reports still show the old limit.
func Example_windowLimit() {
	printOutcomes(newPartner(scenario.Kind{LimitKind: scenario.WindowLimit, LimitWindow: 1, CountRejected: true, ToldWaitShare: 1, MinToldWait: 0.1, ReportsLoad: true, QueueLength: 9},
		scenario.Trouble{Kind: scenario.ChangeLimit, At: 2, Duration: 2, Factor: 0.25}), 1.9, 2.1, 2.2, 3.1)
	// Output:
	// 1.90: end 0 status 200 after 0.25 wait 0.00 "done" ran true because "" left 0.75 of 4.00
	// 2.10: end 0 status 200 after 0.25 wait 0.00 "done" ran true because "" left 0.00 of 4.00
	// 2.20: end 0 status 429 after 0.00 wait 0.80 "busy" ran false because "" left 0.00 of 4.00
	// 3.10: end 0 status 200 after 0.25 wait 0.00 "done" ran true because "" left 0.00 of 4.00
}

// Calls take the free slots, then the queue, then are refused. Service takes longer during slow start.
func Example_queue() {
	printOutcomes(newPartner(scenario.Kind{QueueLength: 1}), 1, 1, 1, 1)
	printOutcomes(newPartner(scenario.Kind{QueueLength: 1}, scenario.Trouble{Kind: scenario.RejectAll, At: 1, Duration: 1, Announced: true}), 1.5, 2, 4, 9)
	// Output:
	// 1.00: end 0 status 200 after 0.25 wait 0.00 "done" ran true because ""
	// 1.00: end 0 status 200 after 0.25 wait 0.00 "done" ran true because ""
	// 1.00: end 0 status 200 after 0.50 wait 0.00 "done" ran true because ""
	// 1.00: end 0 status 503 after 0.00 wait 0.00 "busy" ran false because "queue full"
	// 1.50: end 0 status 429 after 0.00 wait 0.50 "busy" ran false because "shut"
	// 2.00: end 0 status 200 after 1.00 wait 0.00 "done" ran true because ""
	// 4.00: end 0 status 200 after 0.40 wait 0.00 "done" ran true because ""
	// 9.00: end 0 status 200 after 0.25 wait 0.00 "done" ran true because ""
}

// In slow start at 1 call per second and an overload factor of 2, a partner collapses with the first call beyond
// N + 3 sqrt(N) + 3 in 1.5 seconds, in a burst or at a steady rate. N is 3, and grows a little during slow start.
func Example_collapse() {
	for _, n := range []int{11, 12} {
		burst := newPartner(scenario.Kind{QueueLength: 99}, scenario.Trouble{Kind: scenario.Hang, At: 0, Duration: 1})
		for i := range n {
			burst.HandleCall(1.1, 0, behaviour.Call{IDs: []string{fmt.Sprint(i)}})
		}
		fmt.Println("collapsed by a burst of", n, burst.Collapsed())
	}
	steady := newPartner(scenario.Kind{QueueLength: 99}, scenario.Trouble{Kind: scenario.Hang, At: 0, Duration: 1})
	for i := 0; !steady.Collapsed() && i < 40; i++ {
		at := 1.1 + float64(i)*0.1
		if steady.HandleCall(at, 0, behaviour.Call{IDs: []string{fmt.Sprint(i)}}); steady.Collapsed() {
			fmt.Printf("10 calls per second: collapsed at %.1f\n", at)
		}
	}
	printOutcomes(steady, 6)
	// Output:
	// collapsed by a burst of 11 false
	// collapsed by a burst of 12 true
	// 10 calls per second: collapsed at 2.4
	// 6.00: end 0 status 503 after 0.00 wait 0.00 "busy" ran false because "fallen over"
}

// Each fault on its own. Ran, not the answer, states whether a push was executed.
func Example_faults() {
	for _, kind := range []string{scenario.Hang, scenario.FailCalls, scenario.LoseAnswers, scenario.ResetConnections, scenario.LateAnswers, scenario.TruncateAnswers, scenario.CorruptAnswers, scenario.CloseAfterAnswer} {
		printOutcomes(newPartner(scenario.Kind{QueueLength: 9}, scenario.Trouble{Kind: kind, At: 1, Duration: 1, Share: 1}), 1.5)
	}
	p := newPartner(scenario.Kind{QueueLength: 9}, scenario.Trouble{Kind: scenario.BreakReused, At: 1, Duration: 1, Share: 1},
		scenario.Trouble{Kind: scenario.RefuseConnections, At: 3, Duration: 1}, scenario.Trouble{Kind: scenario.Drain, At: 5, Wait: 1})
	fmt.Println(p.HandleCall(1.5, 0, behaviour.Call{IDs: []string{"a"}, Reused: true}).End, p.HandleCall(1.5, 0, behaviour.Call{IDs: []string{"b"}}).End)
	fmt.Println(p.AcceptsConnections(2, 0), p.AcceptsConnections(3.5, 0), p.AcceptsConnections(6.5, 0), p.AcceptsConnections(7.1, 0), "and its replacement", p.AcceptsConnections(4, 1), p.AcceptsConnections(5, 1))
	// Output:
	// 1.50: end 1 status 0 after 0.00 wait 0.00 "" ran false because "hang"
	// 1.50: end 0 status 500 after 0.01 wait 0.00 "failed" ran true because "errors"
	// 1.50: end 1 status 200 after 0.25 wait 0.00 "" ran true because "lost"
	// 1.50: end 2 status 200 after 0.25 wait 0.00 "" ran true because "reset"
	// 1.50: end 5 status 200 after 0.25 wait 0.00 "" ran true because "late"
	// 1.50: end 3 status 200 after 0.25 wait 0.00 "odd" ran true because "cut"
	// 1.50: end 4 status 200 after 0.25 wait 0.00 "odd" ran true because "spoil"
	// 1.50: end 6 status 200 after 0.25 wait 0.00 "done" ran true because "close"
	// 2 0
	// true false true false and its replacement false true
}
