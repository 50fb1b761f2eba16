package decide

import "orchiddrift/directory"

// Topic gives a topic type by name.
func (m *Scheduler) Topic(name string) Topic { return m.topics[name] }

// KeyCooldown is how long, in seconds, a key rests after a push that may still run.
func (m *Scheduler) KeyCooldown() float64 { return m.pushes.KeyCooldown }

// RecoveryBudget tells how many calls the settings allow an endpoint's destination, or route, in the span given while it is in
// slow start after an outage that was seen here; false where none was seen, or what it takes is not known.
func (m *Scheduler) RecoveryBudget(now float64, e directory.Endpoint) (calls, span float64, ok bool) {
	g := m.gate(e)
	rate := m.rate(e, g)
	if !m.slowStart(now, g) || rate <= 0 {
		return 0, 0, false
	}
	return m.returns.OverloadFactor * m.warmth(now, g) * rate * m.returns.OverloadSpan, m.returns.OverloadSpan, true
}
