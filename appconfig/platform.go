package appconfig

import (
	"encoding/json"
	"slices"
)

// platformRepeats maps the repeat kinds to the platform's values.
var platformRepeats = map[string]string{Repeatable: "free", Collapsible: "guarded", OnceOnly: "single_shot"}

// PlatformConfig returns the configuration in the platform's JSON format, which ROUTER_CONFIG names. The partners'
// endpoints become the list that is known at the start.
func (a *App) PlatformConfig() ([]byte, error) {
	const msPerSecond = 1000
	var kinds []string
	var batch []int
	var separateRoutes []bool
	zones := []string{}
	servers := []map[string]any{}
	for _, p := range a.Partners {
		if !slices.Contains(kinds, p.Kind) {
			kinds, batch, separateRoutes = append(kinds, p.Kind), append(batch, p.Batch), append(separateRoutes, p.Routes == RoutesSeparate)
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
		topics = append(topics, map[string]any{"name": t.Name, "repeat": platformRepeats[t.Repeat], "group": "all", "memory-span-ms": t.Memory.Seconds * msPerSecond,
			"promise-ms": t.Objective.Seconds * msPerSecond, "deadline-ms": t.TTL.Seconds * msPerSecond, "importance": t.Benefit, "late-worth": t.LateBenefit,
			"sequential": t.Ordered})
	}
	tenants := []map[string]any{}
	for _, t := range a.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "quota-rps": t.Rate})
	}
	d := a.Dispatcher
	family := map[string]any{"max-calls": d.Slots, "batch-by-kind": batch, "separate-routes": separateRoutes}
	if fees := a.fees(zones); slices.Max(append(fees, 0)) > 0 {
		family["fee-by-zone"] = fees
	}
	if a.Layout.Late == LateHalving {
		family["loses-worth"] = "halves"
	}
	if a.Layout.Refusals == RefusalsFree {
		family["refusal-cost"] = 0
	}
	membershipMode, weightKind := "push", "nominal"
	if a.Layout.List == ListOnDemand {
		membershipMode = "ask"
	}
	if a.Layout.Rates == RatesNone {
		weightKind = "silent"
	}
	return json.MarshalIndent(map[string]any{"name": a.Name, "listen": a.Listen, "discovery": a.Discovery, "seed": a.Seed,
		"limits": map[string]any{"cores": a.Limits.Cores, "memory_mb": a.Limits.MemoryMB, "sockets": a.Limits.Sockets, "disk_mb": a.Limits.DiskMB},
		"ledger": map[string]any{"sync": a.Ledger.Sync},
		"known":  map[string]any{"version": 0, "full": true, "servers": servers},
		"settings": map[string]any{"balancers": d.Count, "azs": zones, "kinds": kinds, "membership-mode": membershipMode, "weight-kind": weightKind,
			"tick-ms": d.Tick.Seconds * msPerSecond, "classes": topics, "tenants": tenants, "over-share-worth": 0.05,
			"family-info": family,
			"policy-limits": map[string]any{"most-held": d.Held, "max-attempts": d.Pushes, "dial-timeout-ms": d.Dial.Seconds * msPerSecond,
				"idle-close-ms": d.Idle.Seconds * msPerSecond},
			"guarantees": map[string]any{"cold-from": a.Returns.ColdFrom, "cold-ms": a.Returns.ColdSpan.Seconds * msPerSecond,
				"overload-factor": a.Returns.Multiple, "fall-ms": a.Returns.Fall.Seconds * msPerSecond, "turn-gap-ms": d.Rest.Seconds * msPerSecond}}}, "", " ")
}

// weight returns the weight of a partner's endpoints in the list: the partner's rate, or 1 if the list has no rates.
func (a *App) weight(p Partner) float64 {
	if a.Layout.Rates == RatesNone {
		return 1
	}
	return p.Rate
}

// fees returns the fee of each zone, 0 for a zone without one.
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
