package ledger

import "orchiddrift/message"

// unknownRunTime is the FirstRunAt, in Unix seconds, of a push that may have run and whose record is lost. It is so long ago
// that no endpoint still stores the idempotency key.
const unknownRunTime = 1

// Pending is a notification that was accepted and is not completed yet.
type Pending struct {
	Message      *message.Message // with the number of pushes and the first call that may have run
	Notice       *Record          // the notice that has to be answered, or nil if the notification still has to be pushed
	LastCall     Call             // the last call, if its records are still stored
	openCall     *Record          // the CallStarted record of the call without an end, or nil
	acceptedSeq  int              // position in the order of acceptance
	chargedBytes int              // space charged for the notification, in bytes
	segment      int              // number of the segment with its oldest record that is still needed
	position     int              // index in the list of its segment
}

// CallEnd describes how a call ended, according to its records.
type CallEnd string

// Ends of a call.
const (
	EndNone       CallEnd = ""             // no call, or its records are no longer stored
	EndUnanswered CallEnd = "unanswered"   // its process ended before an end was recorded
	EndNeverRan   CallEnd = "never ran"    // the call never ran
	EndMayHaveRun CallEnd = "may have run" // the answer left open whether it ran, or there was none
)

// Call is a call as described by its records.
type Call struct {
	Number    uint64  // call number
	StartedAt float64 // start of the call, in seconds of the dispatcher's clock
	Endpoint  string  // ID of the endpoint
	End       CallEnd
}

// State describes how far a pending notification has been processed.
type State int

// States of a pending notification.
const (
	Untried          State = iota // no call was started
	Tried                         // calls were started, but none of them ran
	MayHaveRun                    // a call may have run
	NoticeUnanswered              // the notice was not answered yet
)

// String returns the name of the state in logs and metrics.
func (s State) String() string {
	return [...]string{"untried", "tried", "may have run", "notice unanswered"}[s]
}

// State returns the state of the notification.
func (p Pending) State() State {
	switch {
	case p.Notice != nil:
		return NoticeUnanswered
	case p.Message.FirstRunAt > 0:
		return MayHaveRun
	case p.Message.Pushes > 0:
		return Tried
	}
	return Untried
}

// apply updates the state in memory with a record of the given encoded size in a segment.
func (l *Ledger) apply(r Record, segment, recordBytes int) {
	p := l.pending[r.ID]
	l.countCallNumber(r.CallNumber)
	switch {
	case r.Kind == Batch:
		for _, part := range r.Parts {
			l.apply(part, segment, part.encodedBytes)
		}
	case r.Kind == Accepted:
		l.applyAccepted(r, segment, recordBytes)
	case p == nil: // already completed
	case r.Kind == CallStarted:
		p.applyCallStarted(&r)
	case r.Kind == CallNotRun:
		p.applyCallNotRun(r)
	case r.Kind == CallMayHaveRun:
		p.applyCallMayHaveRun(r)
	case r.Kind == NoticePending:
		p.Notice = &r
	case r.Kind == Completed:
		l.liveBytes -= p.chargedBytes
		l.dropFromSegment(p)
		delete(l.pending, r.ID)
	}
}

// applyAccepted adds a notification, or replaces it if the record was rewritten by compaction.
func (l *Ledger) applyAccepted(r Record, segment, recordBytes int) {
	if replaced := l.pending[r.ID]; replaced != nil {
		l.liveBytes -= replaced.chargedBytes
		l.dropFromSegment(replaced)
	}
	m := *r.Message
	m.Pushes = r.Pushes
	if r.AcceptedSeq == 0 {
		r.AcceptedSeq = l.lastAcceptedSeq + 1
	}
	l.lastAcceptedSeq = max(l.lastAcceptedSeq, r.AcceptedSeq)
	p := &Pending{Message: &m, acceptedSeq: r.AcceptedSeq, chargedBytes: l.chargedBytes(recordBytes, len(r.ID))}
	l.pending[r.ID] = p
	l.liveBytes += p.chargedBytes
	l.addToSegment(p, segment)
}

// addToSegment records that the oldest record of a notification that is still needed is in a segment.
func (l *Ledger) addToSegment(p *Pending, segment int) {
	p.segment, p.position = segment, len(l.bySegment[segment])
	l.bySegment[segment] = append(l.bySegment[segment], p)
}

// dropFromSegment removes a notification from the list of its segment, which keeps an empty place: compaction counts the places that it
// has passed.
func (l *Ledger) dropFromSegment(p *Pending) {
	if list := l.bySegment[p.segment]; p.position < len(list) && list[p.position] == p {
		list[p.position] = nil
	}
}

// applyCallStarted applies the start of a call. If another call is still open, the process that made it has ended.
func (p *Pending) applyCallStarted(r *Record) {
	p.assumeOpenCallRan()
	p.Message.Pushes++
	p.openCall = r
	p.LastCall = Call{Number: r.CallNumber, StartedAt: r.StartedAt, Endpoint: r.Endpoint, End: EndUnanswered}
}

// applyCallNotRun applies a record that a call never ran. It has no effect unless the call number matches the open call. A record
// with another number, or none as in records of earlier versions, may be of a later process whose own call was not sent,
// while the open call is of a process that was killed. The drawback concerns notifications left pending by an earlier
// version: their calls that never ran count as ones that may have run.
//
// This prevents a repeat outside its window and group after two restarts (incident of 2026-12-02).
func (p *Pending) applyCallNotRun(r Record) {
	if p.openCall == nil || r.CallNumber == 0 || p.openCall.CallNumber != r.CallNumber {
		return
	}
	p.openCall, p.LastCall.End = nil, EndNeverRan
	if r.Unsent {
		p.Message.Pushes--
	}
}

// applyCallMayHaveRun applies a record that a call may have run. If the start of the call is not recorded, its time is
// unknown.
func (p *Pending) applyCallMayHaveRun(r Record) {
	if p.openCall != nil && p.openCall.CallNumber == r.CallNumber {
		p.markOpenCallMayHaveRun()
		p.LastCall.End = EndMayHaveRun
		return
	}
	p.assumeOpenCallRan()
	if p.Message.FirstRunAt == 0 {
		p.Message.FirstRunAt = unknownRunTime
	}
}

// assumeOpenCallRan treats a call without an end as one that may have run, since its process ended during the call. No
// later record revokes this, so it is not recorded: every process that reads the records concludes the same.
func (p *Pending) assumeOpenCallRan() {
	if p.openCall != nil {
		p.markOpenCallMayHaveRun()
	}
}

// markOpenCallMayHaveRun closes the open call as one that may have run. Only the first such call is kept in the message.
func (p *Pending) markOpenCallMayHaveRun() {
	if m := p.Message; m.FirstRunAt == 0 {
		m.FirstRunAt, m.FirstRunEndpoint, m.FirstRunZone, m.FirstRunCall = p.openCall.StartedAt, p.openCall.Endpoint, p.openCall.Zone, p.openCall.CallNumber
	}
	p.openCall = nil
}

// assumeAllMayHaveRun treats all pending notifications as ones that may have run, since a lost record may have been the
// start of a call. The drawback is that notifications that never ran and may not be repeated are given up.
func (l *Ledger) assumeAllMayHaveRun() {
	for _, p := range l.pending {
		if p.Message.FirstRunAt == 0 {
			p.Message.FirstRunAt = unknownRunTime
		}
	}
}

// minimalRecords returns the fewest records from which the state of the notification can be restored.
func (p *Pending) minimalRecords() []Record {
	list := []Record{{Kind: Accepted, ID: p.Message.ID, Message: p.Message, Pushes: p.Message.Pushes, AcceptedSeq: p.acceptedSeq}}
	if p.openCall != nil {
		list[0].Pushes--
		list = append(list, *p.openCall)
	}
	if p.Notice != nil {
		list = append(list, *p.Notice)
	}
	return list
}
