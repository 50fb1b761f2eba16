// Package invariant checks at run time the guarantees that a dispatcher gives under any failure. The checks keep their
// own state, separate from the state on which decisions are based. Each violation is counted by the name of the
// invariant and logged with the notification's ID. The checks prevent nothing: a count above zero is a defect in the
// code checked.
package invariant

import (
	"fmt"
	"io"
	"sync"

	"github.com/rs/zerolog"
)

// Name is the name of an invariant in metrics and logs.
type Name string

// Names of the invariants.
const (
	SentAfterFinal    Name = "sent_after_final_answer"
	SentWhileInFlight Name = "sent_while_out"
	SentOutsideWindow Name = "sent_outside_window"
	SentToLeaving     Name = "sent_to_leaving_endpoint"
	SentDuringWait    Name = "sent_during_told_wait"
	SentOverRecovery  Name = "sent_over_recovery_budget"
	SentOutOfOrder    Name = "sent_out_of_key_order"
	SentBeforeList    Name = "sent_before_first_list"
	ClosedUnanswered  Name = "closed_with_request_unanswered"
	ReadAfterClose    Name = "read_after_close"
)

// All lists the invariants in the order of the metrics.
var All = []Name{SentAfterFinal, SentWhileInFlight, SentOutsideWindow, SentToLeaving, SentDuringWait, SentOverRecovery,
	SentOutOfOrder, SentBeforeList, ClosedUnanswered, ReadAfterClose}

// Counters counts violations. The zero value counts them without logging; a nil Counters does neither.
type Counters struct {
	Log    zerolog.Logger
	Strict bool // panic on each violation; for tests

	mu     sync.Mutex
	counts map[Name]int
}

// Report counts and logs a violation by a notification; id is empty if there is none.
func (c *Counters) Report(name Name, id, format string, args ...any) {
	if c == nil {
		return
	}
	text := fmt.Sprintf(format, args...)
	c.mu.Lock()
	if c.counts == nil {
		c.counts = map[Name]int{}
	}
	c.counts[name]++
	c.mu.Unlock()
	c.Log.Error().Str("invariant", string(name)).Str("ntf", id).Str("detail", text).Msg("invariant violated")
	if c.Strict {
		panic(fmt.Sprintf("invariant %s violated by %q: %s", name, id, text))
	}
}

// Count returns the number of violations of an invariant.
func (c *Counters) Count(name Name) int {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// Write writes all counts in the Prometheus text format.
func (c *Counters) Write(w io.Writer) error {
	const metric = "orchiddrift_invariant_violations_total"
	if _, err := fmt.Fprintf(w, "# TYPE %s counter\n", metric); err != nil {
		return err
	}
	for _, name := range All {
		if _, err := fmt.Fprintf(w, "%s{invariant=%q} %d\n", metric, name, c.Count(name)); err != nil {
			return err
		}
	}
	return nil
}
