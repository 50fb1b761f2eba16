package gateway

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"orchiddrift/decide"
	"orchiddrift/ledger"
	"orchiddrift/push"
)

// Metrics counts the outcomes of messages and pushes. A nil Metrics counts nothing. Only one goroutine at a time may count;
// Write may be called concurrently.
type Metrics struct {
	set      *metrics.Set
	pushes   map[push.End]*metrics.Counter // counters of pushes by end, also in counters
	counters map[series]*metrics.Counter   // all counters
}

// series identifies a counter by its name, without the prefix and suffix that all names have, and its label with the value.
// An empty label stands for none.
type series struct{ name, label, value string }

// NewMetrics returns a Metrics with no counters.
func NewMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet(), pushes: map[push.End]*metrics.Counter{}, counters: map[series]*metrics.Counter{}}
}

// Write writes all counters in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	if m != nil {
		m.set.WritePrometheus(w)
	}
}

// counter returns the counter of a series, and creates it on first use. The full name is built only then.
func (m *Metrics) counter(s series) *metrics.Counter {
	c := m.counters[s]
	if c == nil {
		name := "orchiddrift_" + s.name + "_total"
		if s.label != "" {
			name = fmt.Sprintf("%s{%s=%q}", name, s.label, s.value)
		}
		c = m.set.GetOrCreateCounter(name)
		m.counters[s] = c
	}
	return c
}

// count increments the counter of a series. It does nothing if m is nil.
func (m *Metrics) count(name, label, value string) {
	if m != nil {
		m.counter(series{name, label, value}).Inc()
	}
}

// pushEnded counts a push by its end, including pushes without a connection.
func (m *Metrics) pushEnded(end push.End) {
	if m == nil {
		return
	}
	c := m.pushes[end]
	if c == nil {
		c = m.counter(series{"pushes", "end", end.String()})
		m.pushes[end] = c
	}
	c.Inc()
}

// noticeSent counts a notice by its outcome.
func (m *Metrics) noticeSent(outcome string) { m.count("notices", "outcome", outcome) }

// messageRefused counts a refused message by the reason.
func (m *Metrics) messageRefused(reason Refusal) { m.count("refusals", "why", string(reason)) }

// messageRestored counts a message that an earlier process left in the ledger, by its state.
func (m *Metrics) messageRestored(state ledger.State) { m.count("restored", "state", state.String()) }

// pushRepeated counts a push of a message with an earlier push that may have run.
func (m *Metrics) pushRepeated() { m.count("repeats", "", "") }

// ledgerWriteFailed counts a failed write of the ledger.
func (m *Metrics) ledgerWriteFailed() { m.count("ledger_write_errors", "", "") }

// healthChanged counts a change of what the scheduler assumes about a destination or route, by the new state.
func (m *Metrics) healthChanged(state decide.HealthState) {
	m.count("health_changes", "state", string(state))
}

// failureSeen counts a failed or refused push by what the scheduler made of it.
func (m *Metrics) failureSeen(reason decide.HealthReason) {
	m.count("failures_seen", "why", string(reason))
}

// recoveryPushSent counts a call to a destination or route that is not healthy, by its state.
func (m *Metrics) recoveryPushSent(state decide.HealthState) {
	m.count("recovery_calls", "state", string(state))
}
