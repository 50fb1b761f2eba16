package rules

import (
	"fmt"

	"orchiddrift/lab/record"
)

// checkContent checks that what comes to an endpoint under an ID was handed in under it. IDs that nobody handed in are those of
// checkDraining.
func (c *checker) checkContent() {
	for _, call := range c.journal.Calls {
		for i, id := range call.IDs {
			sharing := c.sharedIDs[id]
			if len(sharing) == 0 || c.handIns[call.Message(i)] != nil {
				continue
			}
			c.report(Violation{Rule: Content, At: call.LastByteAt, Dispatcher: sharing[0].Dispatcher, ID: id, Endpoint: call.Endpoint,
				Evidence: fmt.Sprintf("body or idempotency key differ from what was handed in: digest %x, want %x", call.Message(i).Content, sharing[0].Content)})
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
	for _, other := range c.sharedIDs[h.ID] {
		if other.Accepted() {
			return record.Notice{}, false
		}
	}
	return notice, true
}
