package gateway

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"orchiddrift/ledger"
	"orchiddrift/push"
)

// Metrics counts what becomes of messages, in the text format of Prometheus. A nil Metrics counts nothing.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics with nothing counted.
func NewMetrics() *Metrics { return &Metrics{metrics.NewSet()} }

// Write writes all metrics.
func (m *Metrics) Write(w io.Writer) {
	if m != nil {
		m.set.WritePrometheus(w)
	}
}

// count counts one more under a name with a label.
func (m *Metrics) count(name, label, value string) {
	if m != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf("orchiddrift_%s_total{%s=%q}", name, label, value)).Inc()
	}
}

// ended counts a message's push by how it ended, one whose connection did not come up too.
func (m *Metrics) ended(end push.End) { m.count("pushes", "end", end.String()) }

// noticed counts a final answer by its outcome.
func (m *Metrics) noticed(outcome string) { m.count("notices", "outcome", outcome) }

// refused counts a message that was not taken on.
func (m *Metrics) refused(why Refusal) { m.count("refusals", "why", string(why)) }

// owed counts a message that a process before left behind.
func (m *Metrics) owed(state ledger.State) { m.count("restored", "state", state.String()) }

// repeated counts a push of a message whose earlier push may have run.
func (m *Metrics) repeated() {
	if m != nil {
		m.set.GetOrCreateCounter("orchiddrift_repeats_total").Inc()
	}
}

// unwritten counts a write of the ledger that failed.
func (m *Metrics) unwritten() {
	if m != nil {
		m.set.GetOrCreateCounter("orchiddrift_ledger_write_errors_total").Inc()
	}
}
