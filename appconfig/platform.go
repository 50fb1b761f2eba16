package appconfig

import (
	"encoding/json"
	"slices"
)

// repeats are the platform's words for the repeat kinds.
var repeats = map[string]string{Repeatable: "free", Collapsible: "guarded", OnceOnly: "single_shot"}

// PlatformConfig is the application's configuration in the platform's form, which ROUTER_CONFIG names. The partners' endpoints
// are its list known last.
func (a *App) PlatformConfig() ([]byte, error) {
	const ms = 1000
	var kinds []string
	var batch []int
	var apart []bool
	zones := []string{}
	servers := []map[string]any{}
	for _, p := range a.Partners {
		if !slices.Contains(kinds, p.Kind) {
			kinds, batch, apart = append(kinds, p.Kind), append(batch, p.Batch), append(apart, p.Routes == RoutesSeparate)
		}
		for _, e := range p.Endpoints {
			zone := e.Zone
			if zone == "" {
				zone = "here"
			}
			if !slices.Contains(zones, zone) {
				zones = append(zones, zone)
			}
			servers = append(servers, map[string]any{"id": e.ID, "addr": e.Addr, "zone": zone, "kind": p.Kind, "cell": p.Dest,
				"state": "ready", "weight": a.weight(p), "started_ms": 0})
		}
	}
	var topics []map[string]any
	for _, t := range a.Topics {
		topics = append(topics, map[string]any{"name": t.Name, "repeat": repeats[t.Repeat], "group": "all", "memory-span-ms": t.Memory.Seconds * ms,
			"promise-ms": t.Objective.Seconds * ms, "deadline-ms": t.TTL.Seconds * ms, "importance": t.Benefit, "late-worth": t.LateBenefit,
			"sequential": t.Ordered})
	}
	tenants := []map[string]any{}
	for _, t := range a.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "quota-rps": t.Rate})
	}
	d := a.Dispatcher
	family := map[string]any{"max-calls": d.Slots, "batch-by-kind": batch, "separate-routes": apart}
	if fees := a.fees(zones); slices.Max(append(fees, 0)) > 0 {
		family["fee-by-zone"] = fees
	}
	if a.Layout.Late == LateHalving {
		family["loses-worth"] = "halves"
	}
	if a.Layout.Refusals == RefusalsFree {
		family["refusal-cost"] = 0
	}
	list, weights := "push", "nominal"
	if a.Layout.List == ListOnDemand {
		list = "ask"
	}
	if a.Layout.Rates == RatesNone {
		weights = "silent"
	}
	return json.MarshalIndent(map[string]any{"name": a.Name, "listen": a.Listen, "discovery": a.Discovery, "seed": a.Seed,
		"limits": map[string]any{"cores": a.Limits.Cores, "memory_mb": a.Limits.MemoryMB, "sockets": a.Limits.Sockets, "disk_mb": a.Limits.DiskMB},
		"ledger": map[string]any{"sync": a.Ledger.Sync},
		"known":  map[string]any{"version": 0, "full": true, "servers": servers},
		"settings": map[string]any{"balancers": d.Count, "azs": zones, "kinds": kinds, "membership-mode": list, "weight-kind": weights,
			"tick-ms": d.Tick.Seconds * ms, "classes": topics, "tenants": tenants, "over-share-worth": 0.05,
			"family-info": family,
			"policy-limits": map[string]any{"most-held": d.Held, "max-attempts": d.Pushes, "dial-timeout-ms": d.Dial.Seconds * ms,
				"idle-close-ms": d.Idle.Seconds * ms},
			"guarantees": map[string]any{"cold-from": a.Returns.ColdFrom, "cold-ms": a.Returns.ColdSpan.Seconds * ms,
				"overload-factor": a.Returns.Multiple, "fall-ms": a.Returns.Fall.Seconds * ms, "turn-gap-ms": d.Rest.Seconds * ms}}}, "", " ")
}

// weight is what the list tells of a partner: its rate, or 1 for all where it tells none.
func (a *App) weight(p Partner) float64 {
	if a.Layout.Rates == RatesNone {
		return 1
	}
	return p.Rate
}

// fees gives each zone's fee, in the zones' order.
func (a *App) fees(zones []string) []float64 {
	fees := make([]float64, len(zones))
	for i, name := range zones {
		for _, z := range a.Zones {
			if z.Name == name {
				fees[i] = z.Fee
			}
		}
	}
	return fees
}
