package decide

import (
	"fmt"

	"orchiddrift/directory"
)

// What is kept of endpoints, destinations, throttles, keys and tenants goes once the list, a told wait, an outage
// seen and a resting key need it no more.
func Example_evictUnused() {
	dir := directory.New()
	m := New(7, dir, []Topic{{Name: "order", Repeat: OnceOnly, TTL: 20, Objective: 2, Benefit: 1, Ordered: true}},
		Capacity{MaxCalls: 40, MaxHeld: 40}, Routes{}, Recovery{WarmUp: 10, Dispatchers: 1},
		PushPolicy{MaxPushes: 8, KeyCooldown: 1.5, Tick: 0.005, IdleTimeout: 2}, TenantQuotas{}, false)
	ends := map[string]Outcome{"A": {Result: Delivered}, "B": {Result: Throttled, Wait: 9},
		"C": {Result: TimedOut}, "D": {Result: Delivered}}
	list := func(now float64, stage string) {
		for _, id := range []string{"A", "B", "C"} {
			dir.Apply([]directory.Endpoint{{ID: id, Dest: id, Stage: stage, Rate: 10}})
		}
		dir.Apply([]directory.Endpoint{{ID: "D", Dest: "D", Stage: directory.Ready, Rate: 10}})
		for wait, id := m.NextTurn(now); wait == 0 && id == ""; wait, id = m.NextTurn(now) {
			m.Place(now, Notification{})
		}
		fmt.Println(now, len(m.endpoints), len(m.destinations), len(m.throttles), len(m.keys), len(m.tenantArrivals))
	}
	list(0, directory.Ready)
	for _, id := range []string{"A", "B", "C", "D"} {
		for n := range 2 {
			ntf := Notification{ID: fmt.Sprint(id, n), Topic: "order", Tenant: id, Dest: id, Key: fmt.Sprint(id, n), TimeLeft: 20}
			m.Place(1, ntf)
			m.Place(1, ntf)
			o := ends[id]
			o.NotificationID, o.Endpoint, o.Final = ntf.ID, id, o.Result == Delivered
			m.HandleOutcome(1, o)
			m.HandleOutcome(1, Outcome{NotificationID: ntf.ID, Result: Withdrawn})
		}
	}
	list(2, directory.Ready)
	list(3, directory.Ready)
	list(6, directory.Gone)
	dir.Replace(nil)
	list(8, directory.Gone)
	dir.Replace(nil)
	list(20, directory.Gone)
	// Output:
	// 0 0 0 0 0 0
	// 2 4 4 4 2 4
	// 3 4 4 4 0 4
	// 6 1 4 4 0 0
	// 8 1 1 2 0 0
	// 20 1 1 2 0 0
}
