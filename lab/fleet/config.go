package fleet

import (
	"orchiddrift/lab/scenario"
)

// repeats are the platform's words for the repeat kinds.
var repeats = map[string]string{scenario.Repeatable: "free", scenario.Collapsible: "guarded", scenario.OnceOnly: "single_shot"}

const ms = 1000

// settings are a scenario's terms in the platform's form.
func settings(w *scenario.World) map[string]any {
	var kinds []string
	var batch []int
	var apart []bool
	for _, k := range w.Kinds {
		kinds, batch, apart = append(kinds, k.Name), append(batch, k.BatchSize), append(apart, false)
	}
	var topics []map[string]any
	for _, t := range w.Topics {
		topics = append(topics, map[string]any{"name": t.Name, "repeat": repeats[t.Repeat], "group": t.DedupScope,
			"memory-span-ms": t.DedupWindow * ms, "promise-ms": t.Objective * ms, "deadline-ms": t.TTL * ms,
			"importance": t.Benefit, "late-worth": t.LateBenefit, "sequential": t.Ordered})
	}
	shares := 0.0
	for _, t := range w.Tenants {
		shares += t.Share
	}
	var tenants []map[string]any
	for _, t := range w.Tenants {
		const ample = 1.5
		rate := t.QuotaRate
		if rate == 0 {
			rate = ample * w.Load.Rate * t.Share / shares
		}
		tenants = append(tenants, map[string]any{"name": t.Name, "quota-rps": rate})
	}
	d := w.Dispatchers
	return map[string]any{"balancers": d.Count, "azs": scenario.Zones, "kinds": kinds, "membership-mode": "push",
		"weight-kind": "nominal", "tick-ms": d.TickInterval * ms, "classes": topics, "tenants": tenants, "over-share-worth": 0.05,
		"family-info": map[string]any{"max-calls": d.MaxCalls, "batch-by-kind": batch, "separate-routes": apart},
		"policy-limits": map[string]any{"most-held": d.MaxHeld, "max-attempts": d.MaxPushes, "dial-timeout-ms": d.DialTimeout * ms,
			"idle-close-ms": w.MinIdleTimeout() * ms},
		"guarantees": map[string]any{"cold-from": w.Recovery.InitialCapacity, "cold-ms": w.Recovery.WarmUp * ms,
			"overload-factor": w.Recovery.OverloadFactor, "fall-ms": w.Recovery.OverloadSpan * ms, "turn-gap-ms": d.KeyCooldown * ms}}
}
