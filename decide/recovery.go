package decide

import "orchiddrift/directory"

// Topic returns the settings of a topic, or the zero Topic if there is no topic of that name.
func (s *Scheduler) Topic(name string) Topic { return s.topics[name] }

// KeyCooldown returns how long, in seconds, a key pauses after a push that may still run.
func (s *Scheduler) KeyCooldown() float64 { return s.policy.KeyCooldown }

// LimitCalls lowers the number of calls in flight to what the process has memory for.
func (s *Scheduler) LimitCalls(most int) { s.capacity.MaxCalls = min(s.capacity.MaxCalls, most) }

// OverloadSpan returns the time, in seconds, over which a returning destination must not get more calls than it can take.
func (s *Scheduler) OverloadSpan() float64 { return s.recovery.OverloadSpan }

// RecoveryBudget returns the recovery budget of the destination, or separate route, of an endpoint: how many calls in any span
// of the returned length, in seconds, the settings allow all dispatchers together. ok is false if this dispatcher has
// detected no outage of it, if slow start is over, or if its capacity is unknown.
func (s *Scheduler) RecoveryBudget(now float64, entry directory.Endpoint) (calls, span float64, ok bool) {
	t := s.throttle(entry)
	rate := s.destinationRate(entry, t)
	if !t.budget.bound() || t.budget.slowStartOver(now, s.recovery.WarmUp) || rate <= 0 {
		return 0, 0, false
	}
	return s.recovery.OverloadFactor * s.capacityShare(now, t) * rate * s.recovery.OverloadSpan, s.recovery.OverloadSpan, true
}

// RecoveryTerms say what a destination or separate route can take, from all dispatchers together, as it returns from an outage.
type RecoveryTerms struct {
	ColdRate float64 // calls per second just after its return; 0 if its capacity is unknown
	WarmRate float64 // calls per second once it is warm
	Recovery         // the settings
}

// RecoveryTerms returns the terms of the destination, or separate route, of an endpoint.
func (s *Scheduler) RecoveryTerms(entry directory.Endpoint) RecoveryTerms {
	warm := s.warmRate(entry, s.throttle(entry))
	return RecoveryTerms{ColdRate: s.recovery.InitialCapacityShare * warm, WarmRate: warm, Recovery: s.recovery}
}
