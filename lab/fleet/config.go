package fleet

import (
	"orchiddrift/lab/scenario"
)

// repeatNames maps the repeat policies of a scenario to the platform's names.
var repeatNames = map[string]string{scenario.Repeatable: "free", scenario.Collapsible: "guarded", scenario.OnceOnly: "single_shot"}

const msPerSecond = 1000

// settings returns a scenario's settings in the platform's form.
func settings(w *scenario.World) map[string]any {
	var kinds []string
	var batch []int
	var separateRoutes []bool
	for _, k := range w.Kinds {
		kinds, batch, separateRoutes = append(kinds, k.Name), append(batch, k.BatchSize), append(separateRoutes, false)
	}
	var topics []map[string]any
	for _, t := range w.Topics {
		topics = append(topics, map[string]any{"name": t.Name, "repeat": repeatNames[t.Repeat], "group": t.DedupScope,
			"memory-span-ms": t.DedupWindow * msPerSecond, "promise-ms": t.Objective * msPerSecond, "deadline-ms": t.TTL * msPerSecond,
			"importance": t.Benefit, "late-worth": t.LateBenefit, "sequential": t.Ordered})
	}
	totalShare := 0.0
	for _, t := range w.Tenants {
		totalShare += t.Share
	}
	var tenants []map[string]any
	for _, t := range w.Tenants {
		const quotaHeadroom = 1.5 // default quota as a multiple of the tenant's share of the load
		rate := t.QuotaRate
		if rate == 0 {
			rate = quotaHeadroom * w.Load.Rate * t.Share / totalShare
		}
		tenants = append(tenants, map[string]any{"name": t.Name, "quota-rps": rate})
	}
	d := w.Dispatchers
	return map[string]any{"balancers": d.Count, "azs": scenario.Zones, "kinds": kinds, "membership-mode": "push",
		"weight-kind": "nominal", "tick-ms": d.TickInterval * msPerSecond, "classes": topics, "tenants": tenants, "over-share-worth": 0.05,
		"family-info": map[string]any{"max-calls": d.MaxCalls, "batch-by-kind": batch, "separate-routes": separateRoutes},
		"policy-limits": map[string]any{"most-held": d.MaxHeld, "max-attempts": d.MaxPushes, "dial-timeout-ms": d.DialTimeout * msPerSecond,
			"idle-close-ms": w.MinIdleTimeout() * msPerSecond},
		"guarantees": map[string]any{"cold-from": w.Recovery.InitialCapacityShare, "cold-ms": w.Recovery.WarmUp * msPerSecond,
			"overload-factor": w.Recovery.OverloadFactor, "fall-ms": w.Recovery.OverloadSpan * msPerSecond, "turn-gap-ms": d.KeyCooldown * msPerSecond}}
}
