package ledger

import "orchiddrift/message"

// unknownTime is when a push may have run whose record is lost: so long ago that nobody knows its mark.
const unknownTime = 1

// Pending is a notification that still needs its end.
type Pending struct {
	Message  *message.Message // with its pushes, and the first that may have run
	Notice   *Record          // its notice, if that is all it still needs
	LastCall Call             // its last call, as far as records of it are still there
	out      *Record          // the Began of the call that has no end yet
	seq      int
	size     int // bytes that it counts for
	segment  int // where its oldest record is that is still needed
	over     bool
}

// CallEnd says what the records tell of how a call ended.
type CallEnd string

// The ends of a call.
const (
	EndNone       CallEnd = ""             // there is no call, or none whose record is still needed
	EndUnanswered CallEnd = "unanswered"   // it was out when its process ended
	EndNeverRan   CallEnd = "never ran"    // it never ran
	EndMayHaveRun CallEnd = "may have run" // it was answered so, or went unheard
)

// Call is a call as its records tell it.
type Call struct {
	Number    uint64  // its number
	StartedAt float64 // when it began, seconds of the dispatcher's clock
	Endpoint  string  // the endpoint
	End       CallEnd
}

// State is what is to become of a notification that is owed.
type State int

// The states.
const (
	Untried          State = iota // no call of it was ever begun
	Tried                         // its calls never ran
	Uncertain                     // one of its calls may have run
	NoticeUnanswered              // it waits for the answer to its notice
)

// String is the state's name in logs and metrics.
func (s State) String() string {
	return [...]string{"untried", "tried", "may have run", "notice unanswered"}[s]
}

// State tells what is to become of it.
func (x Pending) State() State {
	switch {
	case x.Notice != nil:
		return NoticeUnanswered
	case x.Message.RanAt > 0:
		return Uncertain
	case x.Message.Pushes > 0:
		return Tried
	}
	return Untried
}

// apply takes a record of so many bytes in a segment into what is owed.
func (l *Ledger) apply(r Record, segment, bytes int) {
	x := l.owed[r.ID]
	l.lastCall = max(l.lastCall, r.CallNumber)
	switch {
	case r.Kind == Batch:
		for _, part := range r.Parts {
			l.apply(part, segment, part.size)
		}
	case r.Kind == Accepted:
		l.take(r, segment, bytes)
	case x == nil: // already over
	case r.Kind == CallStarted:
		x.began(&r)
	case r.Kind == CallNotRun:
		x.notRun(r)
	case r.Kind == CallMayHaveRun:
		x.mayRun(r)
	case r.Kind == NoticePending:
		x.Notice = &r
	case r.Kind == Completed:
		l.live -= x.size
		x.over, x.Message, x.Notice, x.out = true, nil, nil, nil // its segment goes later
		delete(l.owed, r.ID)
	}
}

// take takes in the taking of a notification, or what a group tells again.
func (l *Ledger) take(r Record, segment, bytes int) {
	if x := l.owed[r.ID]; x != nil {
		l.live -= x.size
		x.over, x.Message = true, nil
	}
	m := *r.Message
	m.Pushes = r.Pushes
	if r.Seq == 0 {
		r.Seq = l.taken + 1
	}
	l.taken = max(l.taken, r.Seq)
	x := &Pending{Message: &m, seq: r.Seq, size: l.counts(bytes), segment: segment}
	l.owed[r.ID] = x
	l.live += x.size
	l.members[segment] = append(l.members[segment], x)
}

// began takes in that a call is about to be written. One that had no end by then is of a process that ended.
func (x *Pending) began(r *Record) {
	x.leftOut()
	x.Message.Pushes++
	x.out = r
	x.LastCall = Call{Number: r.CallNumber, StartedAt: r.StartedAt, Endpoint: r.Endpoint, End: EndUnanswered}
}

// notRun takes in that a call never ran. It counts for that call alone: an end that names another, or none, as records of
// earlier versions do, may be of a later process whose own attempt came to nothing, while the call without an end is of
// a process that was killed. It does harm to what an earlier version was owing when it ended: calls that were turned away
// then count as what may have run.
//
// It guards against a repeat outside its window and group after two restarts (incident of 2026-12-02).
func (x *Pending) notRun(r Record) {
	if x.out == nil || r.CallNumber == 0 || x.out.CallNumber != r.CallNumber {
		return
	}
	x.out, x.LastCall.End = nil, EndNeverRan
	if r.Unsent {
		x.Message.Pushes--
	}
}

// mayRun takes in that a call may have run. One whose beginning is not among the records may have run long ago.
func (x *Pending) mayRun(r Record) {
	if x.out != nil && x.out.CallNumber == r.CallNumber {
		x.ran()
		x.LastCall.End = EndMayHaveRun
		return
	}
	x.leftOut()
	if x.Message.RanAt == 0 {
		x.Message.RanAt = unknownTime
	}
}

// leftOut concludes of a call without an end that it may have run: its process ended while it was out. Nothing that is
// written later takes that back, so that it need not be written itself: each process that reads the records concludes the same.
func (x *Pending) leftOut() {
	if x.out != nil {
		x.ran()
	}
}

// ran notes that the call that was out may have run. The first such call counts.
func (x *Pending) ran() {
	if m := x.Message; m.RanAt == 0 {
		m.RanAt, m.RanTo, m.RanZone, m.RanCall = x.out.StartedAt, x.out.Endpoint, x.out.Zone, x.out.CallNumber
	}
	x.out = nil
}

// recordsLost takes all that is owed as what may have run: records are lost, and one may have told of a push. It does harm
// to notifications that never ran: those that may not be repeated are given up.
func (l *Ledger) recordsLost() {
	for _, x := range l.owed {
		if x.Message.RanAt == 0 {
			x.Message.RanAt = unknownTime
		}
	}
}

// records are the fewest that tell what is owed of a notification.
func (x *Pending) records() []Record {
	list := []Record{{Kind: Accepted, ID: x.Message.ID, Message: x.Message, Pushes: x.Message.Pushes, Seq: x.seq}}
	if x.out != nil {
		list[0].Pushes--
		list = append(list, *x.out)
	}
	if x.Notice != nil {
		list = append(list, *x.Notice)
	}
	return list
}
