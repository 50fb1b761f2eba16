package settings

import (
	"fmt"

	"orchiddrift/decide"
	"orchiddrift/directory"
)

// NewModule starts a decision module from a seed, with each of its parts' own settings.
func (s *Values) NewModule(seed uint64, dir *directory.Directory) (*decide.Scheduler, error) {
	fee := byName(s.List("azs"), s.Floats("family-info.fee-by-zone"), func(f float64) float64 { return f })
	shares := decide.TenantQuotas{Rate: map[string]float64{}, OverQuotaBenefit: s.FloatOr("over-share-worth", 1)}
	for i := range int(s.FloatOr("tenants.count", 0)) {
		at := fmt.Sprintf("tenants.%d.", i)
		shares.Rate[s.Text(at+"name")] = s.Float(at + "quota-rps")
	}
	weights := s.oneOf("weight-kind", "", "silent", "nominal", "rough", "live")
	m := decide.New(seed, dir, s.topics(),
		decide.Capacity{MaxCalls: s.Int("family-info.max-calls"), MaxHeld: s.Int("policy-limits.most-held"), BatchSize: s.BatchSizes()},
		decide.Routes{SeparateByKind: s.SeparateRoutes(), FeeByZone: fee, FreeRefusals: s.FloatOr("family-info.refusal-cost", 1) == 0},
		decide.Recovery{InitialCapacity: s.Float("guarantees.cold-from"), WarmUp: s.Seconds("guarantees.cold-ms"),
			OverloadFactor: s.Float("guarantees.overload-factor"), OverloadSpan: s.Seconds("guarantees.fall-ms"),
			Dispatchers: s.Int("balancers"), RatesUnlisted: weights == "silent"},
		decide.PushPolicy{MaxPushes: s.Int("policy-limits.max-attempts"),
			KeyCooldown: s.FloatOr("guarantees.turn-gap-ms", 0) / 1000, Tick: s.Seconds("tick-ms"),
			IdleTimeout: s.FloatOr("policy-limits.idle-close-ms", 0) / 1000},
		shares, s.ListOnDemand())
	return m, s.err
}

// SeparateRoutes tells by kind whether the endpoints of a destination are routes apart.
func (s *Values) SeparateRoutes() map[string]bool {
	return byName(s.List("kinds"), s.List("family-info.separate-routes"), func(alone string) bool { return alone == "true" })
}

// BatchSizes gives by kind how many notifications may share a call.
func (s *Values) BatchSizes() map[string]int {
	return byName(s.List("kinds"), s.Floats("family-info.batch-by-kind"), func(b float64) int { return int(b) })
}

// byName gives each value, as it is read, to the name at its place; values beyond the names do no harm.
func byName[V, T any](names []string, values []V, read func(V) T) map[string]T {
	all := map[string]T{}
	for i, v := range values[:min(len(names), len(values))] {
		all[names[i]] = read(v)
	}
	return all
}

// ListOnDemand tells that the list answers only when asked.
func (s *Values) ListOnDemand() bool { return s.Text("membership-mode") == "ask" }

func (s *Values) topics() []decide.Topic {
	var list []decide.Topic
	late := s.oneOf("family-info.loses-worth", "line", "line", "halves")
	for i := range s.Int("classes.count") {
		at := fmt.Sprintf("classes.%d.", i)
		list = append(list, decide.Topic{
			Name: s.Text(at + "name"), Repeat: decide.RepeatPolicy(s.Text(at + "repeat")),
			DedupWindow: s.FloatOr(at+"memory-span-ms", 0) / 1000, DedupScope: s.Text(at + "group"),
			Objective: s.Seconds(at + "promise-ms"), TTL: s.Seconds(at + "deadline-ms"),
			Benefit: s.Float(at + "importance"), LateBenefit: s.FloatOr(at+"late-worth", 0),
			ExponentialDecay: late == "halves",
			Ordered:          s.Bool(at + "sequential")})
	}
	return list
}
