// Package ledger keeps what a dispatcher owes in the folder that outlives its process: as records in a segmented log, and
// in memory what they come to. The oldest segment is emptied a little with each write, by writing the few notifications
// that are still owed in it anew.
package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"

	"orchiddrift/disk"
	"orchiddrift/message"
	"orchiddrift/seglog"
)

// ErrFull tells that a record does not fit the folder.
var ErrFull = errors.New("no room in the ledger")

const (
	slop       = 4096     // kept free for the folder itself
	files      = 48       // the folder is cut into, where that makes them large enough for a message
	least      = 72 << 10 // a message with its body fits
	most       = 4 << 20  // larger ones gain nothing
	fewest     = 8        // files that a ledger works with
	reserved   = 2        // files kept free: ends are written into them where the disk has no room
	fill       = 0.65     // of the files but the reserved and the newest may hold what is owed
	rest       = 256      // what a notification's later records may take, ids and endpoints aside
	leastMoved = 2048     // bytes moved with a write, at least
	twice      = 2        // and so many times what is written
	patience   = 32       // writes between two tries to make files on a disk without room
	old        = "ledger" // the whole ledger before there were segments
	unknown    = 1        // when a push may have run whose record is lost: so long ago that nobody knows its mark
)

// Owed is a notification that still needs its end.
type Owed struct {
	Message *message.Message // with its pushes, and the first that may have run
	Notice  *Record          // its notice, if that is all it still needs
	out     *Record          // the push that was out
	seq     int
	size    int // bytes that it counts for
	segment int // where its oldest record is that is still needed
	over    bool
}

// Ledger is the open folder.
type Ledger struct {
	log     *seglog.Log
	room    int // for records in a file
	live    int // bytes that the owed count for
	owed    map[string]*Owed
	members map[int][]*Owed // by segment: those taken, or written anew, there
	cursor  int             // members of the oldest segment that were seen to
	taken   int
	moved   int // bytes written anew, in all
	tight   int // writes until files are asked for again: the disk had no room for the reserve
	why     error
	payload [][]byte
	buf     []byte
}

// Report tells what opening found.
type Report struct {
	seglog.Report
	TakenOver int `json:"taken_over,omitempty"` // records out of the old single file
	Strangers int `json:"strangers,omitempty"`  // records of notifications whose taking is lost or over
	Owed      int `json:"owed"`
	Live      int `json:"live_bytes"`
}

// size cuts a folder of so many bytes into files.
func size(limit int) (file, count int) {
	usable := limit - slop
	file = min(max(usable/files, min(least, usable/fewest)), most)
	return file, usable / file
}

// Options say how a ledger is kept.
type Options struct {
	Limit int  // bytes that all files together may take, in whole blocks
	Sync  bool // what is written is on the disk when Write returns
	Read  bool // only read: the folder stays as it is
}

// Open reads the folder, and returns what is still owed in the order it was taken. A push that was out when the process
// ended may have run; so may all that was owed when a part of the records cannot be read.
func Open(folder disk.Folder, o Options) (*Ledger, []Owed, Report, error) {
	l := &Ledger{owed: map[string]*Owed{}, members: map[int][]*Owed{}}
	var report Report
	fail := func(err error) (*Ledger, []Owed, Report, error) {
		return nil, nil, report, fmt.Errorf("ledger: %w", err)
	}
	var before []byte
	var err error
	if !o.Read {
		if before, err = takeover(folder); err != nil {
			return fail(err)
		}
	}
	file, count := size(o.Limit)
	l.room = file - seglog.Head
	l.log, report.Report, err = seglog.Open(folder, seglog.Options{Segment: file, Files: count, Sync: o.Sync, Read: o.Read},
		func(segment int, b []byte) {
			r, err := decode(b)
			if err != nil || r.Kind != Taken && r.Kind != Anew && l.owed[r.ID] == nil {
				report.Strangers++
				return
			}
			l.apply(r, segment, len(b))
		},
		func(seglog.Damage) { l.doubt() })
	if err != nil {
		return fail(err)
	}
	if !o.Read {
		l.reserve() // a disk without room takes nothing new on, but what is owed goes on
	}
	if before != nil {
		if report.TakenOver, err = l.takeOver(folder, before); err != nil {
			return fail(err)
		}
	}
	var list []Owed
	for _, x := range l.inOrder() {
		x.mayHaveRun()
		list = append(list, *x)
	}
	report.Owed, report.Live = len(list), l.live
	return l, list, report, nil
}

// takeover reads the old single file, where there is one. While it is there segments hold at most a part of it, of a
// takeover that was cut short, and go.
func takeover(folder disk.Folder) ([]byte, error) {
	names, err := folder.List()
	if err != nil || !slices.Contains(names, old) {
		return nil, err
	}
	f, err := folder.Open(old)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	n, err := f.Size()
	if err != nil {
		return nil, err
	}
	text := make([]byte, n)
	if _, err := f.ReadAt(text, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	for _, name := range names {
		if name != old {
			if err := folder.Remove(name); err != nil {
				return nil, err
			}
		}
	}
	return text, nil
}

// takeOver writes what the old file owes into segments, then removes it. Both together may take more than the limit for
// that moment, by what is owed.
func (l *Ledger) takeOver(folder disk.Folder, text []byte) (int, error) {
	n := 0
	for len(text) > 0 {
		r, size, err := decodeOld(text)
		if err != nil {
			break // the tail was being written when the process ended
		}
		if r.Kind == Taken || l.owed[r.ID] != nil {
			l.apply(r, 0, size)
		}
		text, n = text[size:], n+1
	}
	for _, x := range l.inOrder() {
		if err := l.anew(x); err != nil {
			return n, err
		}
	}
	return n, folder.Remove(old)
}

// Room tells whether a new notification with so large a body fits, with room left for what will be told of it.
func (l *Ledger) Room(body int) bool {
	const head = 1024 // its other fields
	n := l.log.Most() - reserved - 1
	return l.log.Fits(body+head) && float64(l.live+l.counts(body+head)) <= fill*float64(n*l.room)
}

// counts is what a record of a taking counts for: where few of its size go into a segment, its part of all of it.
func (l *Ledger) counts(record int) int {
	n := l.room / (record + seglog.Overhead + rest)
	return l.room / max(1, n)
}

// Group is how many bytes of records are best written in one go: so many surely fit a segment.
func (l *Ledger) Group() int {
	const part = 3 // of a segment
	return l.room / part
}

// Write appends records in one go. Takings among them need files in reserve, ends do not: where the disk has no room they
// use those.
func (l *Ledger) Write(records ...Record) error {
	l.buf, l.payload = l.buf[:0], l.payload[:0]
	takes := false
	for i := range records {
		if r := &records[i]; r.Kind == Taken && r.Seq == 0 {
			l.taken++
			r.Seq = l.taken
		}
		at := len(l.buf)
		l.buf = encode(l.buf, records[i])
		l.payload = append(l.payload, l.buf[at:len(l.buf):len(l.buf)])
		takes = takes || records[i].Kind == Taken
	}
	bytes := len(l.buf) + len(records)*seglog.Overhead
	if err := l.compact(bytes, takes); err != nil && takes {
		return err
	}
	segment, err := l.log.Append(l.payload...)
	if errors.Is(err, seglog.ErrFull) || errors.Is(err, seglog.ErrLarge) {
		return ErrFull
	}
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	for i, r := range records {
		l.apply(r, segment, len(l.payload[i]))
	}
	return nil
}

// compact empties the oldest segment by a little more than is about to be written, and makes sure of the reserve. Its
// work is bounded by what is written, and by going once through the segments where too few files are free.
func (l *Ledger) compact(bytes int, takes bool) error {
	l.reserve()
	budget, free := max(leastMoved, twice*bytes), 1
	if takes {
		free = reserved
	}
	for last := l.log.Newest(); l.log.Used() > 1 && l.log.Oldest() <= last && l.worthwhile(); {
		did, err := l.step(max(budget, leastMoved))
		if err != nil {
			return fmt.Errorf("ledger: %w", err)
		}
		if budget -= did; budget <= 0 && l.log.Free() >= free {
			break
		}
	}
	if takes && !l.reserve() {
		return l.why
	}
	return nil
}

// reserve tells whether enough files are free, after making them where that can be. On a disk without room it tries
// only now and then.
func (l *Ledger) reserve() bool {
	if l.log.Free() >= reserved {
		l.tight = 0
		return true
	}
	if l.tight--; l.tight > 0 {
		return false
	}
	err := l.log.Reserve(reserved)
	if l.tight = 0; err == nil {
		return true
	}
	l.tight, l.why = patience, fmt.Errorf("ledger: %w", err)
	if errors.Is(err, seglog.ErrFull) {
		l.why = ErrFull
	}
	return false
}

// worthwhile tells whether emptying the oldest segment wins room that is wanted: more is in use than twice what is owed,
// or no more files can be had.
func (l *Ledger) worthwhile() bool {
	const beside = 2 // segments: the newest, and one that is being emptied
	used := (l.log.Used() - beside) * l.room
	return used > twice*l.live || l.log.Free() < reserved
}

// step writes anew what is owed in the oldest segment, up to so many bytes, and gives it back once nothing is. It tells
// the bytes it wrote, or looked at.
func (l *Ledger) step(budget int) (int, error) {
	const look = 16 // what passing over one that is over counts for
	oldest, did := l.log.Oldest(), 0
	list := l.members[oldest]
	for ; l.cursor < len(list); l.cursor++ {
		x := list[l.cursor]
		if x.over || x.segment != oldest {
			did += look
			continue
		}
		if did >= budget {
			return did, nil
		}
		if err := l.anew(x); err != nil {
			return did, err
		}
		did += x.size
	}
	delete(l.members, oldest)
	l.cursor = 0
	return did + look, l.log.Release()
}

// anew writes all that is needed of a notification into the newest segment, as one record: a part of it would make a push
// that may have run one that never did.
func (l *Ledger) anew(x *Owed) error {
	b := encode(nil, Record{Kind: Anew, ID: x.Message.ID, Parts: x.records()})
	segment, err := l.log.Append(b)
	if err != nil {
		return err
	}
	x.segment = segment
	l.members[segment] = append(l.members[segment], x)
	l.moved += len(b) + seglog.Overhead
	return nil
}

// Compact writes all that is owed anew, gives the room of the rest back to the disk, and keeps the reserve.
func (l *Ledger) Compact() error {
	for last := l.log.Newest(); l.log.Used() > 1 && l.log.Oldest() < last; {
		if _, err := l.step(most); err != nil {
			return fmt.Errorf("ledger: %w", err)
		}
	}
	l.log.Trim(reserved)
	return nil
}

// Moved is how many bytes were written anew so far.
func (l *Ledger) Moved() int { return l.moved }

// Live is how many bytes what is owed counts for, of how many the files hold.
func (l *Ledger) Live() (live, of int) {
	return l.live, (l.log.Used() + l.log.Free()) * l.room
}

// Close closes the files.
func (l *Ledger) Close() error { return l.log.Close() }

// apply takes a record of so many bytes in a segment into what is owed.
func (l *Ledger) apply(r Record, segment, bytes int) {
	x := l.owed[r.ID]
	switch {
	case r.Kind == Anew:
		for _, part := range r.Parts {
			l.apply(part, segment, bytes)
		}
	case r.Kind == Taken:
		if x != nil { // it is told anew
			l.live -= x.size
			x.over, x.Message = true, nil
		}
		m := *r.Message
		m.Pushes = r.Pushes
		if r.Seq == 0 {
			r.Seq = l.taken + 1
		}
		l.taken = max(l.taken, r.Seq)
		x = &Owed{Message: &m, seq: r.Seq, size: l.counts(bytes), segment: segment}
		l.owed[r.ID] = x
		l.live += x.size
		l.members[segment] = append(l.members[segment], x)
	case x == nil: // already over
	case r.Kind == Began:
		if x.out != nil { // a process ended while that was out
			x.mayHaveRun()
		}
		x.Message.Pushes++
		x.out = &r
	case r.Kind == NotRun:
		x.out = nil
	case r.Kind == MayRun:
		x.mayHaveRun()
	case r.Kind == Noticed:
		x.Notice = &r
	case r.Kind == Over:
		l.live -= x.size
		x.over, x.Message, x.Notice, x.out = true, nil, nil, nil // its segment goes later
		delete(l.owed, r.ID)
	}
}

// mayHaveRun notes that the push that was out may have run.
func (x *Owed) mayHaveRun() {
	if x.out != nil && x.Message.RanAt == 0 {
		x.Message.RanAt, x.Message.RanTo = x.out.At, x.out.To
	}
	x.out = nil
}

// doubt takes all that is owed as what may have run: records are lost, and one may have told of a push. It does harm to
// notifications that never ran: those that may not be repeated are given up.
func (l *Ledger) doubt() {
	for _, x := range l.owed {
		if x.Message.RanAt == 0 {
			x.Message.RanAt = unknown
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

// inOrder lists what is owed as it was taken.
func (l *Ledger) inOrder() []*Owed {
	list := make([]*Owed, 0, len(l.owed))
	for _, x := range l.owed {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *Owed) int { return cmp.Compare(a.seq, b.seq) })
	return list
}
