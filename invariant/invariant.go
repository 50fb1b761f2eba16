// Package invariant checks at run time the invariants that a dispatcher guarantees under any failure. The checks keep
// their own state, separate from the state on which decisions are based. Each violation is counted by the name of the
// invariant and logged with the notification's ID. The checks prevent nothing: a count above zero shows a defect in the
// checked code.
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
	// SentAfterFinal is a push of a notification that was not accepted or already has its final answer.
	SentAfterFinal Name = "sent_after_final_answer"
	// SentWhileInFlight is a push of a notification while another push of it is in flight.
	SentWhileInFlight Name = "sent_while_out"
	// SentOutsideWindow is a push after the end of the TTL, or one that repeats a push that may have run although no repeat
	// is allowed any more.
	SentOutsideWindow Name = "sent_outside_window"
	// SentToLeaving is a push to an endpoint that has been listed as leaving for longer than the grace.
	SentToLeaving Name = "sent_to_leaving_endpoint"
	// SentDuringWait is a push to a destination or route before its told wait has ended.
	SentDuringWait Name = "sent_during_told_wait"
	// SentOverRecovery is a call above the budget of a destination or route that recovers from an outage.
	SentOverRecovery Name = "sent_over_recovery_budget"
	// SentOverPart is a call above this dispatcher's part of what a destination or route can take, after a push to it failed.
	SentOverPart Name = "sent_over_part_of_recovery_budget"
	// SentOutOfOrder is a push of a notification that is not the first of its key, or whose key is held for another one.
	SentOutOfOrder Name = "sent_out_of_key_order"
	// SentBeforeList is a push before the first response of discovery.
	SentBeforeList Name = "sent_before_first_list"
	// ConnectionUsedTwice is a call on a connection to an endpoint that has carried another one.
	ConnectionUsedTwice Name = "connection_used_twice"
	// ClosedUnanswered is a client connection that the dispatcher closes although a request read from it has no response.
	ClosedUnanswered Name = "closed_with_request_unanswered"
	// AnsweredTwice is an answer to a request that has one already.
	AnsweredTwice Name = "answered_twice"
	// ConfirmedUnwritten is a confirmation of a message whose record is not in the ledger.
	ConfirmedUnwritten Name = "confirmed_unwritten"
	// EndedUnanswered is a process that ends although a request that it has read has no answer.
	EndedUnanswered Name = "ended_with_request_unanswered"
	// EndedUnwritten is a process that ends although records wait to be written.
	EndedUnwritten Name = "ended_with_records_unwritten"
	// ReadAfterClose is the reading of bytes from a client connection that is closed for reading.
	ReadAfterClose Name = "read_after_close"
)

// All lists the invariants in the order of the metrics.
var All = []Name{SentAfterFinal, SentWhileInFlight, SentOutsideWindow, SentToLeaving, SentDuringWait, SentOverRecovery, SentOverPart,
	SentOutOfOrder, SentBeforeList, ConnectionUsedTwice, ClosedUnanswered, ReadAfterClose, AnsweredTwice, ConfirmedUnwritten, EndedUnanswered, EndedUnwritten}

// Counters counts and logs violations. The zero value counts them without logging; a nil Counters does neither. It is safe
// for concurrent use once Log and Strict are set.
type Counters struct {
	Log    zerolog.Logger
	Strict bool // panic on each violation; for tests

	mu     sync.Mutex
	counts map[Name]int // guarded by mu
}

// Report counts and logs a violation. id is the ID of the notification concerned, or empty if there is none.
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
