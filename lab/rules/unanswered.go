package rules

import (
	"fmt"
	"math"

	"orchiddrift/lab/record"
)

// Excuses for a connection that ended with no answer to a request that was written in full, as the result counts them.
const (
	ExcuseKilled  = "process killed"
	ExcuseClosing = "crossed a close between requests"
)

// At a planned stop idle connections are closed from stopClosesFrom after SIGTERM on. Such a close crosses a request if the end of
// the connection follows the write within MaxCrossing, as the sender has looked at the connection just before. In seconds.
const (
	stopClosesFrom = 0.45
	MaxCrossing    = 0.002
)

// checkUnanswered checks that no dispatcher ends a client's connection with no whole answer once the last byte of a request has
// been written to it. It is excused by a SIGKILL, by an end that the laboratory planned, and where a close between two requests
// crosses the request, which the protocol allows. Excuses are counted by name.
func (c *checker) checkUnanswered() {
	planned := map[string][]record.PlannedEnd{} // by the client's address, which later connections may use again
	for _, end := range c.journal.PlannedEnds {
		planned[end.Addr] = append(planned[end.Addr], end)
	}
	for _, h := range c.journal.HandIns {
		for _, attempt := range h.Unanswered {
			if h.Dispatcher < 0 || attempt.EndedAt > c.endedAt {
				continue
			}
			if excuse := c.excuseOf(h, attempt, planned); excuse != "" {
				c.excuses[excuse]++
				continue
			}
			c.report(Violation{Rule: Lost, At: attempt.EndedAt, Dispatcher: h.Dispatcher, ID: h.ID, Evidence: fmt.Sprintf(
				"written in full at %.4f on %s, its connection ended with no answer %.4f s later (reused %v, idle for %.3f s; pushed %d times)",
				attempt.WrittenAt, attempt.LocalAddr, attempt.EndedAt-attempt.WrittenAt, attempt.Reused, attempt.IdleFor, len(c.pushes[h.Message()]))})
		}
	}
}

// excuseOf returns what excuses the end of a connection, or "".
func (c *checker) excuseOf(h *record.HandIn, attempt record.Attempt, planned map[string][]record.PlannedEnd) string {
	crossed := attempt.EndedAt-attempt.WrittenAt <= MaxCrossing
	for _, end := range planned[attempt.LocalAddr] {
		switch {
		case end.At < attempt.WrittenAt-plannedEndAge || end.At > attempt.EndedAt+plannedEndDelay+timingSlack:
		case end.Cause == ExcuseClosing:
			crossed = true
		default:
			return end.Cause
		}
	}
	if c.hasEvent(h.Dispatcher, attempt.WrittenAt-timingSlack, attempt.EndedAt+timingSlack, record.Killed) || c.dying(h.Dispatcher, attempt) {
		return ExcuseKilled
	}
	if crossed && attempt.Reused && c.hasEvent(h.Dispatcher, attempt.EndedAt-stopTimeout, attempt.EndedAt-stopClosesFrom, record.TerminateSent) {
		return ExcuseClosing
	}
	return ""
}

// dying reports whether a request was written to a process that had been killed and still held its sockets: on a busy machine it
// may take the system a while to end it, and the connection ends with it.
func (c *checker) dying(dispatcher int, attempt record.Attempt) bool {
	killedAt := math.Inf(1)
	for _, event := range c.journal.ProcessEvents {
		switch {
		case event.Dispatcher != dispatcher:
		case event.Kind == record.Killed:
			killedAt = event.At
		case event.Kind == record.Exited:
			if attempt.WrittenAt >= killedAt && attempt.WrittenAt <= event.At && attempt.EndedAt <= event.At+timingSlack {
				return true
			}
			killedAt = math.Inf(1)
		}
	}
	return false
}

// plannedEndAge is how long before the last byte of a request its connection may have been ended by the plan, in seconds: the end
// may wait for bytes that are delayed. plannedEndDelay is how long after the end of the connection the proxy, which delays bytes for so
// long at most, sees that it did not reach the dispatcher before.
const plannedEndAge, plannedEndDelay = 0.2, 0.06

// stopTimeout is the time from SIGTERM to SIGKILL, in seconds.
const stopTimeout = 3.7
