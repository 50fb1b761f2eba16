package decide

import (
	"fmt"
	"testing"

	"orchiddrift/directory"
)

// benchEndpoints returns ready endpoints in two zones, spread evenly over the destinations.
func benchEndpoints(endpoints, dests int) []directory.Endpoint {
	var list []directory.Endpoint
	for i := range endpoints {
		list = append(list, directory.Endpoint{ID: fmt.Sprint("s-", i), Zone: []string{"a", "b"}[i%2], Kind: "plain",
			Dest: fmt.Sprint(i % dests), Stage: directory.Ready, Rate: 10})
	}
	return list
}

// BenchmarkNextTurn measures NextTurn with 50 held notifications, none of which may start.
func BenchmarkNextTurn(b *testing.B) {
	for _, n := range []int{30, 480, 3200} {
		for _, dests := range []int{10, max(10, n/2)} {
			b.Run(fmt.Sprint(n, "/", dests), func(b *testing.B) {
				dir := directory.New()
				dir.Replace(benchEndpoints(n, dests))
				s := New(1, dir,
					[]Topic{{Name: "t", Repeat: Collapsible, DedupWindow: 5, DedupScope: "all", Objective: 2, TTL: 1e6, Benefit: 1}},
					Capacity{MaxCalls: 0, MaxHeld: 1000}, Routes{},
					Recovery{InitialCapacityShare: .2, WarmUp: 10, OverloadFactor: 2, OverloadSpan: 1, Dispatchers: 300},
					PushPolicy{MaxPushes: 8, Tick: .005}, TenantQuotas{}, false)
				s.capacity.MaxCalls = 1000
				for i := range 50 {
					s.Place(1000, Notification{ID: fmt.Sprint(i), Topic: "t", Dest: fmt.Sprint(i % 10), TimeLeft: 1e6, Restored: true,
						FirstRunAt: 999, FirstRunEndpoint: "s-0"})
				}
				for _, e := range benchEndpoints(n, dests) {
					s.throttle(e).blockedUntil = 1e9
					s.endpoint(e.ID).setAsideUntil = 1e9
				}
				b.ResetTimer()
				for range b.N {
					s.NextTurn(1000.5)
				}
			})
		}
	}
}

// BenchmarkReplace measures replacing the whole list of endpoints.
func BenchmarkReplace(b *testing.B) {
	for _, n := range []int{30, 480, 3200} {
		list := benchEndpoints(n, 10)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := directory.New()
			for range b.N {
				dir.Replace(list)
			}
		})
	}
}
