package invariant

import "orchiddrift/message"

// ReplyChecker checks that each request gets one answer that is true, and that the process does not end before. It is not safe for
// concurrent use. A nil ReplyChecker checks nothing.
type ReplyChecker struct {
	counters *Counters
	open     map[Request]int  // arrivals without an answer
	stored   map[Request]bool // the record of its message was written; until its arrivals are answered
}

// Request identifies a request by what it asks for: two that have one ID need not be the same.
type Request struct {
	ID          string
	Fingerprint message.Fingerprint
}

// RequestOf returns the request that a message came with.
func RequestOf(m *message.Message) Request { return Request{m.ID, m.Fingerprint()} }

// NewReplyChecker returns a ReplyChecker that reports violations to counters.
func NewReplyChecker(counters *Counters) *ReplyChecker {
	return &ReplyChecker{counters: counters, open: map[Request]int{}, stored: map[Request]bool{}}
}

// Arrived records that a request with a message was read.
func (c *ReplyChecker) Arrived(request Request) {
	if c != nil {
		c.open[request]++
	}
}

// Stored records that the message's record was written.
func (c *ReplyChecker) Stored(request Request) {
	if c != nil && c.open[request] > 0 {
		c.stored[request] = true
	}
}

// Confirming checks that the record of a new message was written before its request is answered as accepted.
func (c *ReplyChecker) Confirming(request Request) {
	if c != nil && !c.stored[request] {
		c.counters.Report(ConfirmedUnwritten, request.ID, "no record of it was written since its request arrived")
	}
}

// Answered checks an answer to a request.
func (c *ReplyChecker) Answered(request Request, accepted bool) {
	if c == nil {
		return
	}
	if c.open[request] == 0 {
		c.counters.Report(AnsweredTwice, request.ID, "no request of it is without an answer; accepted %v", accepted)
		return
	}
	if c.open[request]--; c.open[request] > 0 {
		return
	}
	delete(c.open, request)
	delete(c.stored, request)
}

// Ended checks the end of the process, with a number of records that wait to be written.
func (c *ReplyChecker) Ended(unwritten int) {
	if c == nil {
		return
	}
	for request := range c.open {
		c.counters.Report(EndedUnanswered, request.ID, "the process ends")
	}
	if unwritten > 0 {
		c.counters.Report(EndedUnwritten, "", "the process ends with %d records", unwritten)
	}
}
