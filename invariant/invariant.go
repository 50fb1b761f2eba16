// Package invariant checks at run time what a dispatcher promises whatever fails. Its checks keep accounts of their own,
// apart from those that decisions are made from; each violation is counted by name and logged with the notification's id.
// A check changes nothing: what must not happen is prevented elsewhere, and a count above zero is a defect there.
package invariant

import (
	"fmt"
	"io"
	"sync"

	"github.com/rs/zerolog"
)

// Name is an invariant's name in metrics and logs.
type Name string

// The invariants.
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

// All are the invariants in the order of the metrics.
var All = []Name{SentAfterFinal, SentWhileInFlight, SentOutsideWindow, SentToLeaving, SentDuringWait, SentOverRecovery, SentOutOfOrder,
	SentBeforeList, ClosedUnanswered, ReadAfterClose}

// Counters counts violations. The zero value counts and logs nothing but its counts; nil does nothing at all.
type Counters struct {
	Log    zerolog.Logger
	Strict bool // a violation panics: for tests

	lock   sync.Mutex
	counts map[Name]int
}

// Report counts a violation by a notification, "" for none, and logs it.
func (c *Counters) Report(name Name, id, format string, args ...any) {
	if c == nil {
		return
	}
	text := fmt.Sprintf(format, args...)
	c.lock.Lock()
	if c.counts == nil {
		c.counts = map[Name]int{}
	}
	c.counts[name]++
	c.lock.Unlock()
	c.Log.Error().Str("invariant", string(name)).Str("ntf", id).Str("detail", text).Msg("invariant violated")
	if c.Strict {
		panic(fmt.Sprintf("invariant %s violated by %q: %s", name, id, text))
	}
}

// Count is how often an invariant was violated.
func (c *Counters) Count(name Name) int {
	if c == nil {
		return 0
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.counts[name]
}

// Write writes all counts in the text format of Prometheus.
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
