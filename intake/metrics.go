package intake

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"orchiddrift/admission"
)

// refusalReason is the reason why a request was refused before it reached the gateway.
type refusalReason string

// The reasons, beside those of package admission.
const (
	refusedUnreadable refusalReason = "unreadable"
	refusedInvalid    refusalReason = "invalid"
	refusedPath       refusalReason = "no such page"
	refusedNoMemory                 = refusalReason(admission.NoMemory)
	refusedClientLeft refusalReason = "client left"
)

// metricSet counts what happens to requests before they reach the gateway.
type metricSet struct {
	set     *metrics.Set
	refusal map[refusalReason]*metrics.Counter
	pauses  *metrics.Counter
}

// newMetricSet returns counters for all reasons.
func newMetricSet() *metricSet {
	m := &metricSet{set: metrics.NewSet(), refusal: map[refusalReason]*metrics.Counter{}}
	for _, reason := range []refusalReason{refusedUnreadable, refusedInvalid, refusedPath, refusedNoMemory, refusedClientLeft,
		refusalReason(admission.NoRoom), refusalReason(admission.OverShare)} {
		m.refusal[reason] = m.set.NewCounter(fmt.Sprintf("orchiddrift_intake_refusals_total{why=%q}", reason))
	}
	m.pauses = m.set.NewCounter("orchiddrift_intake_pauses_total")
	return m
}

// refused counts a refused request.
func (m *metricSet) refused(reason refusalReason) { m.refusal[reason].Inc() }

// paused counts a pause of a connection.
func (m *metricSet) paused() { m.pauses.Inc() }

// write writes all counters in the Prometheus text format.
func (m *metricSet) write(w io.Writer) { m.set.WritePrometheus(w) }
