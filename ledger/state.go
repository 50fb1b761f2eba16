package ledger

import "orchiddrift/message"

// unknownTime is when a push may have run whose record is lost: so long ago that nobody knows its mark.
const unknownTime = 1

// Owed is a notification that still needs its end.
type Owed struct {
	Message *message.Message // with its pushes, and the first that may have run
	Notice  *Record          // its notice, if that is all it still needs
	Last    Attempt          // its last call, as far as records of it are still there
	out     *Record          // the Began of the call that has no end yet
	seq     int
	size    int // bytes that it counts for
	segment int // where its oldest record is that is still needed
	over    bool
}

// AttemptEnd says what the records tell of how a call ended.
type AttemptEnd string

// The ends of a call.
const (
	NeverCalled AttemptEnd = ""             // there is no call, or none whose record is still needed
	Unanswered  AttemptEnd = "unanswered"   // it was out when its process ended
	NeverRan    AttemptEnd = "never ran"    // it never ran
	MayHaveRun  AttemptEnd = "may have run" // it was answered so, or went unheard
)

// Attempt is a call as its records tell it.
type Attempt struct {
	Call uint64  // its number
	At   float64 // when it began, seconds of the dispatcher's clock
	To   string  // the endpoint
	End  AttemptEnd
}

// State is what is to become of a notification that is owed.
type State int

// The states.
const (
	Untried   State = iota // no call of it was ever begun
	Tried                  // its calls never ran
	Uncertain              // one of its calls may have run
	Ending                 // it waits for the answer to its notice
)

// String is the state's name in logs and metrics.
func (s State) String() string {
	return [...]string{"untried", "tried", "may have run", "notice unanswered"}[s]
}

// State tells what is to become of it.
func (x Owed) State() State {
	switch {
	case x.Notice != nil:
		return Ending
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
	l.lastCall = max(l.lastCall, r.Call)
	switch {
	case r.Kind == Group:
		for _, part := range r.Parts {
			l.apply(part, segment, part.size)
		}
	case r.Kind == Taken:
		l.take(r, segment, bytes)
	case x == nil: // already over
	case r.Kind == Began:
		x.began(&r)
	case r.Kind == NotRun:
		x.notRun(r)
	case r.Kind == MayRun:
		x.mayRun(r)
	case r.Kind == Noticed:
		x.Notice = &r
	case r.Kind == Over:
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
	x := &Owed{Message: &m, seq: r.Seq, size: l.counts(bytes), segment: segment}
	l.owed[r.ID] = x
	l.live += x.size
	l.members[segment] = append(l.members[segment], x)
}

// began takes in that a call is about to be written. One that had no end by then is of a process that ended.
func (x *Owed) began(r *Record) {
	x.leftOut()
	x.Message.Pushes++
	x.out = r
	x.Last = Attempt{Call: r.Call, At: r.At, To: r.To, End: Unanswered}
}

// notRun takes in that a call never ran. It counts for that call alone: an end that names another, or none, as records of
// earlier versions do, may be of a later process whose own attempt came to nothing, while the call without an end is of
// a process that was killed. It does harm to what an earlier version was owing when it ended: calls that were turned away
// then count as what may have run.
//
// It guards against a repeat outside its window and group after two restarts (incident of 2026-12-02).
func (x *Owed) notRun(r Record) {
	if x.out == nil || r.Call == 0 || x.out.Call != r.Call {
		return
	}
	x.out, x.Last.End = nil, NeverRan
	if r.Unsent {
		x.Message.Pushes--
	}
}

// mayRun takes in that a call may have run. One whose beginning is not among the records may have run long ago.
func (x *Owed) mayRun(r Record) {
	if x.out != nil && x.out.Call == r.Call {
		x.ran()
		x.Last.End = MayHaveRun
		return
	}
	x.leftOut()
	if x.Message.RanAt == 0 {
		x.Message.RanAt = unknownTime
	}
}

// leftOut concludes of a call without an end that it may have run: its process ended while it was out. Nothing that is
// written later takes that back, so that it need not be written itself: each process that reads the records concludes the same.
func (x *Owed) leftOut() {
	if x.out != nil {
		x.ran()
	}
}

// ran notes that the call that was out may have run. The first such call counts.
func (x *Owed) ran() {
	if m := x.Message; m.RanAt == 0 {
		m.RanAt, m.RanTo, m.RanZone, m.RanCall = x.out.At, x.out.To, x.out.Zone, x.out.Call
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
func (x *Owed) records() []Record {
	list := []Record{{Kind: Taken, ID: x.Message.ID, Message: x.Message, Pushes: x.Message.Pushes, Seq: x.seq}}
	if x.out != nil {
		list[0].Pushes--
		list = append(list, *x.out)
	}
	if x.Notice != nil {
		list = append(list, *x.Notice)
	}
	return list
}
