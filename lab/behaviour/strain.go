package behaviour

import "orchiddrift/invariant"

// OverloadDetector tells when a destination in slow start falls: when it was sent more calls in a span than a multiple of what it can
// take then, with what the operators' terms grant to chance.
type OverloadDetector struct {
	OverloadFactor float64
	Span           float64                   // seconds
	Capacity       func(now float64) float64 // calls a second
	calls          []float64
}

// AddCall takes in a call and tells whether the destination falls over with it. Calls come in the order of their times.
func (s *OverloadDetector) AddCall(now float64) bool {
	s.calls = append(s.calls, now)
	for len(s.calls) > 0 && s.calls[0] <= now-s.Span {
		s.calls = s.calls[1:]
	}
	const middle = 0.5 // of the span: what it can take grows meanwhile
	return float64(len(s.calls)) > invariant.RecoveryBudget(s.OverloadFactor*s.Capacity(now-middle*s.Span)*s.Span)
}

// RecentCalls are those of the span so far.
func (s *OverloadDetector) RecentCalls() []float64 { return s.calls }
