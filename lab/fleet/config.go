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
		kinds, batch, apart = append(kinds, k.Name), append(batch, k.Batch), append(apart, false)
	}
	var topics []map[string]any
	for _, t := range w.Topics {
		topics = append(topics, map[string]any{"name": t.Name, "repeat": repeats[t.Repeat], "group": t.Group,
			"memory-span-ms": t.Memory * ms, "promise-ms": t.Objective * ms, "deadline-ms": t.TTL * ms,
			"importance": t.Benefit, "late-worth": t.LateBenefit, "sequential": t.Ordered})
	}
	shares := 0.0
	for _, t := range w.Tenants {
		shares += t.Share
	}
	var tenants []map[string]any
	for _, t := range w.Tenants {
		const ample = 1.5
		rate := t.Rate
		if rate == 0 {
			rate = ample * w.Load.Rate * t.Share / shares
		}
		tenants = append(tenants, map[string]any{"name": t.Name, "quota-rps": rate})
	}
	d := w.Dispatchers
	return map[string]any{"balancers": d.Count, "azs": scenario.Zones, "kinds": kinds, "membership-mode": "push",
		"weight-kind": "nominal", "tick-ms": d.Tick * ms, "classes": topics, "tenants": tenants, "over-share-worth": 0.05,
		"family-info": map[string]any{"max-calls": d.Slots, "batch-by-kind": batch, "separate-routes": apart},
		"policy-limits": map[string]any{"most-held": d.Held, "max-attempts": d.Pushes, "dial-timeout-ms": d.Dial * ms,
			"idle-close-ms": w.Idle() * ms},
		"guarantees": map[string]any{"cold-from": w.Returns.ColdFrom, "cold-ms": w.Returns.ColdSpan * ms,
			"overload-factor": w.Returns.Multiple, "fall-ms": w.Returns.Fall * ms, "turn-gap-ms": d.KeyRest * ms}}
}
