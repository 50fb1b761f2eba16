package rules

import (
	"fmt"
	"slices"

	"orchiddrift/lab/record"
)

// checkContent checks that what comes to an endpoint under an ID was handed in under it. IDs that nobody handed in are those of
// checkDraining.
func (c *checker) checkContent() {
	for _, call := range c.journal.Calls {
		for i, id := range call.IDs {
			message, sharing := call.Message(i), c.handIns[id]
			handedIn := func(h *record.HandIn) bool { return h.Message() == message }
			if len(sharing) == 0 || slices.ContainsFunc(sharing, handedIn) {
				continue
			}
			c.report(Violation{Rule: Content, At: call.LastByteAt, Dispatcher: sharing[0].Dispatcher, ID: id, Endpoint: call.Endpoint,
				Evidence: fmt.Sprintf("body or idempotency key differ from what was handed in: digest %x, want %x", message.Content, sharing[0].Content)})
		}
	}
}

// noticeOf returns the notice that ended a hand-in, and reports whether there is one. A notice names an ID: of several hand-ins with
// one ID it ends those that were accepted, if any was.
func (c *checker) noticeOf(h *record.HandIn) (record.Notice, bool) {
	notice, ok := c.notices[h.ID]
	if !ok || h.Accepted() {
		return notice, ok
	}
	if slices.ContainsFunc(c.handIns[h.ID], (*record.HandIn).Accepted) {
		return record.Notice{}, false
	}
	return notice, true
}
