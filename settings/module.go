package settings

import (
	"fmt"

	"orchiddrift/decide"
	"orchiddrift/directory"
)

// NewScheduler returns a scheduler that is seeded with seed, reads endpoints from dir and is configured with the settings.
// The error names the first setting that is missing or invalid.
func (s *Values) NewScheduler(seed uint64, dir *directory.Directory) (*decide.Scheduler, error) {
	feeByZone := byName(s.List("azs"), s.Floats("family-info.fee-by-zone"), func(f float64) float64 { return f })
	quotas := decide.TenantQuotas{Rate: map[string]float64{}, OverQuotaBenefit: s.FloatOr("over-share-worth", 1)}
	for i := range int(s.FloatOr("tenants.count", 0)) {
		prefix := fmt.Sprintf("tenants.%d.", i)
		quotas.Rate[s.Text(prefix+"name")] = s.Float(prefix + "quota-rps")
	}
	weightKind := s.oneOf("weight-kind", "", "silent", "nominal", "rough", "live")
	scheduler := decide.New(seed, dir, s.topics(),
		decide.Capacity{MaxCalls: s.Int("family-info.max-calls"), MaxHeld: s.Int("policy-limits.most-held"), BatchSize: s.BatchSizes()},
		decide.Routes{SeparateKinds: s.SeparateRoutes(), FeeByZone: feeByZone, FreeRefusals: s.FloatOr("family-info.refusal-cost", 1) == 0},
		decide.Recovery{InitialCapacityShare: s.Float("guarantees.cold-from"), WarmUp: s.Seconds("guarantees.cold-ms"),
			OverloadFactor: s.Float("guarantees.overload-factor"), OverloadSpan: s.Seconds("guarantees.fall-ms"),
			Dispatchers: s.Int("balancers"), RatesUnlisted: weightKind == "silent"},
		decide.PushPolicy{MaxPushes: s.Int("policy-limits.max-attempts"),
			KeyCooldown: s.FloatOr("guarantees.turn-gap-ms", 0) / 1000, Tick: s.Seconds("tick-ms"),
			IdleTimeout: s.FloatOr("policy-limits.idle-close-ms", 0) / 1000},
		quotas, s.ListOnDemand())
	return scheduler, s.err
}

// SeparateRoutes returns, by kind, whether each endpoint of a destination is a separate route.
func (s *Values) SeparateRoutes() map[string]bool {
	return byName(s.List("kinds"), s.List("family-info.separate-routes"), func(separate string) bool { return separate == "true" })
}

// BatchSizes returns, by kind, the maximum number of notifications in a call.
func (s *Values) BatchSizes() map[string]int {
	return byName(s.List("kinds"), s.Floats("family-info.batch-by-kind"), func(size float64) int { return int(size) })
}

// byName maps the i-th name to the i-th converted value. Surplus names and values are ignored.
func byName[V, T any](names []string, values []V, convert func(V) T) map[string]T {
	converted := map[string]T{}
	for i, v := range values[:min(len(names), len(values))] {
		converted[names[i]] = convert(v)
	}
	return converted
}

// ListOnDemand reports whether discovery sends the list of endpoints only on request.
func (s *Values) ListOnDemand() bool { return s.Text("membership-mode") == "ask" }

// topics returns the topics that the settings define under the path "classes".
func (s *Values) topics() []decide.Topic {
	var list []decide.Topic
	lateDecay := s.oneOf("family-info.loses-worth", "line", "line", "halves")
	for i := range s.Int("classes.count") {
		prefix := fmt.Sprintf("classes.%d.", i)
		list = append(list, decide.Topic{
			Name: s.Text(prefix + "name"), Repeat: decide.RepeatPolicy(s.Text(prefix + "repeat")),
			DedupWindow: s.FloatOr(prefix+"memory-span-ms", 0) / 1000, DedupScope: s.Text(prefix + "group"),
			Objective: s.Seconds(prefix + "promise-ms"), TTL: s.Seconds(prefix + "deadline-ms"),
			Benefit: s.Float(prefix + "importance"), LateBenefit: s.FloatOr(prefix+"late-worth", 0),
			ExponentialDecay: lateDecay == "halves",
			Ordered:          s.Bool(prefix + "sequential")})
	}
	return list
}
