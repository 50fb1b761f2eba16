package appconfig

import (
	"encoding/json"
	"slices"
)

// platformRepeats holds the platform's value for each repeat kind.
var platformRepeats = map[string]string{Repeatable: "free", Collapsible: "guarded", OnceOnly: "single_shot"}

// PlatformConfig returns the configuration in the platform's JSON format, the format of the file that ROUTER_CONFIG names.
// The partners' endpoints become the list that is known at the start. Endpoints without a zone are in the zone "here".
func (a *App) PlatformConfig() ([]byte, error) {
	const msPerSecond = 1000
	var kinds []string
	var batch []int
	var separateRoutes []bool
	zones := []string{}
	servers := []map[string]any{}
	for _, partner := range a.Partners {
		if !slices.Contains(kinds, partner.Kind) {
			kinds, batch, separateRoutes = append(kinds, partner.Kind), append(batch, partner.Batch), append(separateRoutes, partner.Routes == RoutesSeparate)
		}
		for _, e := range partner.Endpoints {
			zone := e.Zone
			if zone == "" {
				zone = "here"
			}
			if !slices.Contains(zones, zone) {
				zones = append(zones, zone)
			}
			servers = append(servers, map[string]any{"id": e.ID, "addr": e.Addr, "zone": zone, "kind": partner.Kind, "cell": partner.Dest,
				"state": "ready", "weight": a.weight(partner), "started_ms": 0})
		}
	}
	var topics []map[string]any
	for _, topic := range a.Topics {
		topics = append(topics, map[string]any{"name": topic.Name, "repeat": platformRepeats[topic.Repeat], "group": "all", "memory-span-ms": topic.Memory.Seconds * msPerSecond,
			"promise-ms": topic.Objective.Seconds * msPerSecond, "deadline-ms": topic.TTL.Seconds * msPerSecond, "importance": topic.Benefit, "late-worth": topic.LateBenefit,
			"sequential": topic.Ordered})
	}
	tenants := []map[string]any{}
	for _, t := range a.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "quota-rps": t.Rate})
	}
	dispatcher := a.Dispatcher
	family := map[string]any{"max-calls": dispatcher.Slots, "batch-by-kind": batch, "separate-routes": separateRoutes}
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
		"settings": map[string]any{"balancers": dispatcher.Count, "azs": zones, "kinds": kinds, "membership-mode": membershipMode, "weight-kind": weightKind,
			"tick-ms": dispatcher.Tick.Seconds * msPerSecond, "classes": topics, "tenants": tenants, "over-share-worth": 0.05,
			"family-info": family,
			"policy-limits": map[string]any{"most-held": dispatcher.Held, "max-attempts": dispatcher.Pushes, "dial-timeout-ms": dispatcher.Dial.Seconds * msPerSecond,
				"idle-close-ms": dispatcher.Idle.Seconds * msPerSecond},
			"guarantees": map[string]any{"cold-from": a.Returns.ColdFrom, "cold-ms": a.Returns.ColdSpan.Seconds * msPerSecond,
				"overload-factor": a.Returns.Multiple, "fall-ms": a.Returns.Fall.Seconds * msPerSecond, "turn-gap-ms": dispatcher.Rest.Seconds * msPerSecond}}}, "", " ")
}

// weight returns the weight that a partner's endpoints have in the list: its rate, or 1 if the list has no rates.
func (a *App) weight(p Partner) float64 {
	if a.Layout.Rates == RatesNone {
		return 1
	}
	return p.Rate
}

// fees returns the fees of zones, in the same order. A zone that the file does not list has a fee of 0.
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
