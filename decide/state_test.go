package decide

import (
	"fmt"
	"testing"

	"orchiddrift/directory"
)

// State of unlisted endpoints and destinations, of throttles, keys and tenants is removed once no told wait, outage, key
// cooldown or quota depends on it.
func Example_evictUnused() {
	dir := directory.New()
	s := New(7, dir, []Topic{{Name: "order", Repeat: OnceOnly, TTL: 20, Objective: 2, Benefit: 1, Ordered: true}},
		Capacity{MaxCalls: 40, MaxHeld: 40}, Routes{}, Recovery{WarmUp: 10, Dispatchers: 1},
		PushPolicy{MaxPushes: 8, KeyCooldown: 1.5, Tick: 0.005, IdleTimeout: 2},
		TenantQuotas{Rate: map[string]float64{"A": 1, "B": 1, "C": 1, "D": 1}, OverQuotaBenefit: 1}, false)
	outcomes := map[string]Outcome{"A": {Result: Delivered}, "B": {Result: Throttled, ToldWait: 9},
		"C": {Result: TimedOut}, "D": {Result: Delivered}}
	update := func(now float64, stage string) {
		for _, id := range []string{"A", "B", "C"} {
			dir.Apply([]directory.Endpoint{{ID: id, Dest: id, Stage: stage, Rate: 10}})
		}
		dir.Apply([]directory.Endpoint{{ID: "D", Dest: "D", Stage: directory.Ready, Rate: 10}})
		for wait, id := s.NextTurn(now); wait == 0 && id == ""; wait, id = s.NextTurn(now) {
			s.Place(now, Notification{})
		}
		fmt.Println(now, len(s.endpoints), len(s.destinations), len(s.throttles), len(s.heldByKey), len(s.tenantArrivals))
	}
	update(0, directory.Ready)
	for _, id := range []string{"A", "B", "C", "D"} {
		for n := range 2 {
			ntf := Notification{ID: fmt.Sprint(id, n), Topic: "order", Tenant: id, Dest: id, Key: fmt.Sprint(id, n), TimeLeft: 20}
			s.Place(1, ntf)
			s.Place(1, ntf)
			o := outcomes[id]
			o.NotificationID, o.Endpoint, o.Final = ntf.ID, id, o.Result == Delivered
			s.HandleOutcome(1, o)
			s.HandleOutcome(1, Outcome{NotificationID: ntf.ID, Result: Withdrawn})
		}
	}
	update(2, directory.Ready)
	update(3, directory.Ready)
	update(6, directory.Gone)
	dir.Replace(nil)
	update(8, directory.Gone)
	dir.Replace(nil)
	update(20, directory.Gone)
	// Output:
	// 0 0 0 0 0 0
	// 2 4 4 4 2 4
	// 3 4 4 4 0 4
	// 6 1 4 4 0 0
	// 8 1 1 2 0 0
	// 20 1 1 2 0 0
}

// Guards against tables that clients can make grow without end: ever new tenants, destinations, keys and IDs leave state only while
// their notifications are held.
func TestNamesOfStrangersLeaveNoState(t *testing.T) {
	dir := directory.New()
	dir.Apply([]directory.Endpoint{{ID: "A", Dest: "A", Stage: directory.Ready, Rate: 10}})
	s := New(7, dir, []Topic{{Name: "order", Repeat: Repeatable, TTL: 20, Objective: 2, Benefit: 1, Ordered: true}},
		Capacity{MaxCalls: 4, MaxHeld: 10}, Routes{}, Recovery{WarmUp: 10, Dispatchers: 1},
		PushPolicy{MaxPushes: 8, Tick: 0.005, IdleTimeout: 2}, TenantQuotas{Rate: map[string]float64{"known": 5}}, false)
	held := 0
	for n := range 2000 {
		name := fmt.Sprint("made-up-", n)
		for _, dest := range []string{"A", name} {
			ntf := Notification{ID: dest + name, Topic: "order", Tenant: name, Dest: dest, Key: name, TimeLeft: 20}
			if s.Place(1, ntf).Action != Throttle {
				held++
			}
		}
	}
	if held > 10 {
		t.Errorf("%d notifications held, at most 10 allowed", held)
	}
	sizes := []int{len(s.held), len(s.heldByKey), len(s.destinations), len(s.throttles), len(s.endpoints), len(s.tenantArrivals)}
	for i, size := range sizes {
		if size > held {
			t.Errorf("table %d has %d entries for %d notifications", i, size, held)
		}
	}
}
