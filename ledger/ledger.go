// Package ledger keeps what a dispatcher owes in the folder that outlives its process: as records in a segmented log, and
// in memory what they come to. The oldest segment is emptied a little with each write, by writing the few notifications
// that are still owed in it again.
//
// The records of a notification may be of several processes, one after another. What an earlier one left behind is never
// taken back by a later one: each call has a number, and the record of its end names it (state.go).
package ledger

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"orchiddrift/disk"
	"orchiddrift/seglog"
)

// ErrFull tells that a record does not fit the folder.
var ErrFull = errors.New("no room in the ledger")

// How a folder is cut into files. Sizes are bytes.
const (
	folderOverhead  = 4096     // kept free for the folder itself
	segments        = 48       // the folder is cut into so many, where that makes them large enough for a message
	smallestSegment = 72 << 10 // a message with its body fits
	largestSegment  = 4 << 20  // larger ones gain nothing
	fewestSegments  = 8        // files that a ledger works with
	reservedFiles   = 2        // kept free: ends are written into them where the disk has no room
	fillShare       = 0.65     // of the files but the reserved and the newest may hold what is owed
	laterRecords    = 256      // what a notification's later records may take, ids and endpoints aside
)

// Ledger is the open folder. It is one goroutine's.
type Ledger struct {
	log      *seglog.Log
	room     int // bytes for records in a file
	live     int // bytes that the owed count for
	owed     map[string]*Pending
	members  map[int][]*Pending // by segment: those taken, or written again, there
	cursor   int                // members of the oldest segment that were seen to
	taken    int                // the place of the last taking in the order of all
	lastCall uint64             // the highest number of a call that a record names
	moved    int                // bytes written again, in all
	tight    int                // writes until files are asked for again: the disk had no room for the reserve
	why      error              // that there is no reserve
	buf      []byte             // what is being written
	part     []byte             // one record of it
}

// Report tells what opening found.
type Report struct {
	seglog.Report
	Migrated  int `json:"taken_over,omitempty"` // records out of the old single file
	Orphaned  int `json:"strangers,omitempty"`  // records of notifications whose taking is lost or over
	Pending   int `json:"owed"`
	LiveBytes int `json:"live_bytes"`
}

// cutFolder cuts a folder of so many bytes into files.
func cutFolder(limit int) (file, count int) {
	usable := limit - folderOverhead
	file = min(max(usable/segments, min(smallestSegment, usable/fewestSegments)), largestSegment)
	return file, usable / file
}

// Options say how a ledger is kept.
type Options struct {
	Limit    int  // bytes that all files together may take, in whole blocks
	Sync     bool // what is written is on the disk when Write returns
	ReadOnly bool // only read: the folder stays as it is
}

// Open reads the folder, and returns what is still owed in the order it was taken. A push that was out when its process
// ended may have run; so may all that was owed when a part of the records cannot be read.
func Open(folder disk.Folder, o Options) (*Ledger, []Pending, Report, error) {
	l := &Ledger{owed: map[string]*Pending{}, members: map[int][]*Pending{}}
	var report Report
	fail := func(err error) (*Ledger, []Pending, Report, error) {
		return nil, nil, report, fmt.Errorf("ledger: %w", err)
	}
	var legacy []byte
	var err error
	if !o.ReadOnly {
		if legacy, err = readLegacy(folder); err != nil {
			return fail(err)
		}
	}
	file, count := cutFolder(o.Limit)
	l.room = file - seglog.HeaderSize
	l.log, report.Report, err = seglog.Open(folder, seglog.Options{SegmentBytes: file, MaxFiles: count, Sync: o.Sync, ReadOnly: o.ReadOnly},
		func(segment int, b []byte) {
			r, err := decode(b)
			if err != nil || r.Kind != Accepted && r.Kind != Batch && l.owed[r.ID] == nil {
				report.Orphaned++
				return
			}
			l.apply(r, segment, len(b))
		},
		func(seglog.Damage) { l.recordsLost() })
	if err != nil {
		return fail(err)
	}
	if !o.ReadOnly {
		l.reserve() // a disk without room takes nothing new on, but what is owed goes on
	}
	if legacy != nil {
		if report.Migrated, err = l.takeOver(folder, legacy); err != nil {
			return fail(err)
		}
	}
	l.lastCall = max(l.lastCall, l.log.LastSeq())
	var list []Pending
	for _, x := range l.inOrder() {
		x.leftOut()
		o, m := *x, *x.Message // the caller's own: what is written later changes the ledger's
		o.Message = &m
		list = append(list, o)
	}
	report.Pending, report.LiveBytes = len(list), l.live
	return l, list, report, nil
}

// LastCallNumber is a number that no call in the folder exceeds, nor one of a process before: calls are numbered from there on.
func (l *Ledger) LastCallNumber() uint64 { return l.lastCall }

// HasRoom tells whether a new notification with so large a body fits, with room left for what will be told of it.
func (l *Ledger) HasRoom(body int) bool {
	const head = 1024 // its other fields
	n := l.log.MaxFiles() - reservedFiles - 1
	return l.log.Fits(body+head) && float64(l.live+l.counts(body+head)) <= fillShare*float64(n*l.room)
}

// counts is what a record of a taking counts for: where few of its size go into a segment, its part of all of it.
func (l *Ledger) counts(record int) int {
	n := l.room / (record + seglog.RecordOverhead + laterRecords)
	return l.room / max(1, n)
}

// BatchBytes is how many bytes of records are best written in one go: so many surely fit a segment.
func (l *Ledger) BatchBytes() int {
	const part = 3 // of a segment
	return l.room / part
}

// Write appends records in one go: all of them are there afterwards, or none is, also where the write fails part-way, what it
// left cannot be wiped and the process ends. Takings among them need files in reserve, ends do not: where the disk has no room
// they use those.
//
// It guards against takings that were refused as the folder failed, and that the next process calls all the same.
func (l *Ledger) Write(records ...Record) error {
	takes := false
	for i := range records {
		if r := &records[i]; r.Kind == Accepted && r.Seq == 0 {
			l.taken++
			r.Seq = l.taken
		}
		takes = takes || records[i].Kind == Accepted
	}
	l.encode(records)
	if err := l.compact(len(l.buf)+seglog.RecordOverhead, takes); err != nil && takes {
		return err
	}
	segment, err := l.log.Append(l.buf)
	if errors.Is(err, seglog.ErrFull) || errors.Is(err, seglog.ErrTooLarge) {
		return ErrFull
	}
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	for _, r := range records {
		l.apply(r, segment, r.size)
	}
	return nil
}

// DiscardFailedWrite makes sure that no later process reads what a failed write left, and tells whether that is so. Until then a message
// whose taking failed must not be told as refused.
func (l *Ledger) DiscardFailedWrite() bool { return l.log.DiscardFailedWrite() == nil }

// encode puts records into the buffer as one, and notes what each of them takes.
func (l *Ledger) encode(records []Record) {
	l.buf = l.buf[:0]
	if len(records) == 1 {
		l.buf = encode(l.buf, records[0])
		records[0].size = len(l.buf)
		return
	}
	l.buf = putText(append(l.buf, byte(Batch)), "")
	for i := range records {
		l.part = encode(l.part[:0], records[i])
		records[i].size = len(l.part)
		l.buf = append(binary.AppendUvarint(l.buf, uint64(len(l.part))), l.part...)
	}
}

// RewrittenBytes is how many bytes were written again so far.
func (l *Ledger) RewrittenBytes() int { return l.moved }

// LiveBytes is how many bytes what is owed counts for, of how many the files hold.
func (l *Ledger) LiveBytes() (live, of int) {
	return l.live, (l.log.UsedFiles() + l.log.FreeFiles()) * l.room
}

// Close closes the files.
func (l *Ledger) Close() error { return l.log.Close() }

// inOrder lists what is owed as it was taken.
func (l *Ledger) inOrder() []*Pending {
	list := make([]*Pending, 0, len(l.owed))
	for _, x := range l.owed {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *Pending) int { return cmp.Compare(a.seq, b.seq) })
	return list
}
