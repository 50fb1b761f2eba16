package behaviour

import "orchiddrift/invariant"

// OverloadDetector detects when a destination in slow start is overloaded: when the calls within a sliding window exceed
// OverloadFactor times its capacity by more than the tolerance for random variation that the operators allow.
type OverloadDetector struct {
	OverloadFactor float64
	Span           float64                   // length of the window, in seconds
	Capacity       func(now float64) float64 // calls per second
	calls          []float64                 // times of the calls in the window
}

// AddCall records a call and reports whether the destination is overloaded with it. Calls must come in order of time.
func (d *OverloadDetector) AddCall(now float64) bool {
	d.calls = append(d.calls, now)
	for len(d.calls) > 0 && d.calls[0] <= now-d.Span {
		d.calls = d.calls[1:]
	}
	return float64(len(d.calls)) > d.Allowed(now)
}

// Allowed returns how many calls the destination can take in the window that ends now.
func (d *OverloadDetector) Allowed(now float64) float64 {
	const middle = 0.5 // share of the window; the capacity grows during it, and its value at the middle is taken as the average
	return invariant.RecoveryBudget(d.OverloadFactor * d.Capacity(now-middle*d.Span) * d.Span)
}

// RecentCalls returns the times of the calls in the window.
func (d *OverloadDetector) RecentCalls() []float64 { return d.calls }
