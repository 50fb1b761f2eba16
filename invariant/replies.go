package invariant

// ReplyChecker checks that each request gets one answer that is true, and that the process does not end before. It is not safe for
// concurrent use. A nil ReplyChecker checks nothing.
type ReplyChecker struct {
	counters *Counters
	open     map[string]int  // by message: arrivals without an answer
	stored   map[string]bool // by message: its record was written; until its arrivals are answered
}

// NewReplyChecker returns a ReplyChecker that reports violations to counters.
func NewReplyChecker(counters *Counters) *ReplyChecker {
	return &ReplyChecker{counters: counters, open: map[string]int{}, stored: map[string]bool{}}
}

// Arrived records that a request with a message was read.
func (c *ReplyChecker) Arrived(id string) {
	if c != nil {
		c.open[id]++
	}
}

// Stored records that the message's record was written.
func (c *ReplyChecker) Stored(id string) {
	if c != nil && c.open[id] > 0 {
		c.stored[id] = true
	}
}

// Confirming checks that the record of a new message was written before its request is answered as accepted.
func (c *ReplyChecker) Confirming(id string) {
	if c != nil && !c.stored[id] {
		c.counters.Report(ConfirmedUnwritten, id, "no record of it was written since its request arrived")
	}
}

// Answered checks an answer to a request.
func (c *ReplyChecker) Answered(id string, accepted bool) {
	if c == nil {
		return
	}
	if c.open[id] == 0 {
		c.counters.Report(AnsweredTwice, id, "no request of it is without an answer; accepted %v", accepted)
		return
	}
	if c.open[id]--; c.open[id] > 0 {
		return
	}
	delete(c.open, id)
	delete(c.stored, id)
}

// Ended checks the end of the process, with a number of records that wait to be written.
func (c *ReplyChecker) Ended(unwritten int) {
	if c == nil {
		return
	}
	for id := range c.open {
		c.counters.Report(EndedUnanswered, id, "the process ends")
	}
	if unwritten > 0 {
		c.counters.Report(EndedUnwritten, "", "the process ends with %d records", unwritten)
	}
}
