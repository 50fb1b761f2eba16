// Package ledger persists the pending notifications of a dispatcher: those accepted from clients and not completed yet.
// Changes are appended as records to a segmented log, and the resulting state is held in memory. Compaction is
// incremental: each write also rewrites a few of the notifications in the oldest segment that are still pending.
//
// The records of a notification may come from several successive processes. A later process never turns a call of an earlier
// one that may have run into one that never ran: each call has a number, and the record of its end refers to it (see state.go).
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

// ErrFull is returned when records do not fit in the space that the ledger may use.
var ErrFull = errors.New("no space left in the ledger")

// Layout of the folder.
const (
	folderOverheadBytes = 4096     // part of the limit that is left for the directory itself
	targetSegments      = 48       // number of segments, unless they would be smaller than minSegmentBytes
	minSegmentBytes     = 72 << 10 // so that a message with the largest body fits
	maxSegmentBytes     = 4 << 20  // larger segments bring no benefit
	minSegments         = 8        // smallest number of segments that the ledger works with
	reservedFiles       = 2        // free files kept so that pending notifications can be completed while the disk is full
	maxFillRatio        = 0.65     // part of the capacity, less the reserved and the newest segments, for pending notifications
	laterRecords        = 4        // records that a notification has after it was accepted: start and end of a call, notice, end
	laterRecordsBytes   = 256      // allowance for the later records of a notification, without IDs and endpoints
)

// Ledger is an open ledger. It is not safe for concurrent use.
type Ledger struct {
	log                *seglog.Log
	segmentCapacity    int                 // space for records in a segment, in bytes
	liveBytes          int                 // space charged for all pending notifications, in bytes
	pending            map[string]*Pending // by ID
	bySegment          map[int][]*Pending  // by number of the segment that they were accepted or rewritten in; nil for one that left it
	compactCursor      int                 // index of the next notification to compact in the oldest segment
	lastAcceptedSeq    int                 // highest sequence number of an accepted notification
	lastCallNumber     uint64              // highest call number in a record
	rewrittenBytes     int                 // total size of the records that compaction has rewritten
	writesUntilReserve int                 // writes until allocating the reserved files is retried; 0 if it succeeded
	reserveErr         error               // error of the last failed allocation of the reserved files
	buf                []byte              // encoded records of the current write
	recordBuf          []byte              // one encoded record of a batch
}

// Report describes what Open found.
type Report struct {
	seglog.Report
	MigratedRecords int `json:"taken_over,omitempty"` // records migrated from the legacy file
	IgnoredRecords  int `json:"strangers,omitempty"`  // records that are undecodable, or of a completed or unknown notification
	Pending         int `json:"owed"`                 // number of pending notifications
	LiveBytes       int `json:"live_bytes"`           // space charged for pending notifications, in bytes
}

// segmentLayout returns the size and number of the segments for a folder of limit bytes.
func segmentLayout(limit int) (segmentBytes, segmentCount int) {
	usable := limit - folderOverheadBytes
	segmentBytes = min(max(usable/targetSegments, min(minSegmentBytes, usable/minSegments)), maxSegmentBytes)
	return segmentBytes, usable / segmentBytes
}

// Options configures a ledger.
type Options struct {
	LimitBytes int  // maximum total size of the files in whole blocks, in bytes
	Sync       bool // sync records to disk before Write returns
	ReadOnly   bool // leave the folder unchanged
}

// Open reads the ledger and returns the pending notifications in the order in which they were accepted. A call that was
// open when its process ended counts as one that may have run. If a range of the log is damaged, all notifications that were
// pending at that point of the log count as having a call that may have run. Unless ReadOnly is set, Open rewrites the segments of
// earlier format versions.
func Open(folder disk.Folder, options Options) (*Ledger, []Pending, Report, error) {
	l := &Ledger{pending: map[string]*Pending{}, bySegment: map[int][]*Pending{}}
	var report Report
	fail := func(err error) (*Ledger, []Pending, Report, error) {
		return nil, nil, report, fmt.Errorf("ledger: %w", err)
	}
	var legacy []byte
	var err error
	if !options.ReadOnly {
		if legacy, err = readLegacy(folder); err != nil {
			return fail(err)
		}
	}
	segmentBytes, segmentCount := segmentLayout(options.LimitBytes)
	l.segmentCapacity = segmentBytes - seglog.HeaderSize
	l.log, report.Report, err = seglog.Open(folder, seglog.Options{SegmentBytes: segmentBytes, MaxFiles: segmentCount, Sync: options.Sync, ReadOnly: options.ReadOnly},
		func(segment int, b []byte) {
			r, err := decode(b)
			if err != nil || r.Kind != Accepted && r.Kind != Batch && l.pending[r.ID] == nil {
				report.IgnoredRecords++
				return
			}
			l.apply(r, segment, len(b))
		},
		func(seglog.Damage) { l.assumeAllMayHaveRun() })
	if err != nil {
		return fail(err)
	}
	if !options.ReadOnly {
		l.reserve() // failure is no error: on a full disk, pending notifications can still be completed
	}
	if legacy != nil {
		if report.MigratedRecords, err = l.migrateLegacy(folder, legacy); err != nil {
			return fail(err)
		}
	}
	if !options.ReadOnly {
		l.migrateSegments()
	}
	l.countCallNumber(l.log.LastSeq())
	var list []Pending
	for _, p := range l.pendingInOrder() {
		p.assumeOpenCallRan()
		pending, message := *p, *p.Message // copies, since later writes change the ledger's own state
		pending.Message = &message
		list = append(list, pending)
	}
	report.Pending, report.LiveBytes = len(list), l.liveBytes
	return l, list, report, nil
}

// LastCallNumber returns a number that no call of this or an earlier process exceeds. New calls must be given higher
// numbers.
func (l *Ledger) LastCallNumber() uint64 { return l.lastCallNumber }

// maxCallNumber is the highest call number that a record is believed to hold; higher ones are damage.
const maxCallNumber = 1 << 62

// countCallNumber makes the numbers of new calls higher than number.
func (l *Ledger) countCallNumber(number uint64) {
	if number <= maxCallNumber {
		l.lastCallNumber = max(l.lastCallNumber, number)
	}
}

// HasRoom reports whether there is space for a new notification whose body and texts have the given size, with an ID of the given length,
// and for its later records.
func (l *Ledger) HasRoom(contentBytes, idBytes int) bool {
	const otherFieldsBytes = 1024 // allowance for the fields of a message that are set later
	recordBytes := contentBytes + otherFieldsBytes
	usableSegments := l.log.MaxFiles() - reservedFiles - 1
	return l.log.Fits(recordBytes) && float64(l.liveBytes+l.chargedBytes(recordBytes, idBytes)) <= maxFillRatio*float64(usableSegments*l.segmentCapacity)
}

// chargedBytes returns the space that an Accepted record of the given size is charged for. Records do not span segments,
// so it is the segment capacity divided by the number of such notifications that fit in a segment. Each later record has the ID.
func (l *Ledger) chargedBytes(recordBytes, idBytes int) int {
	recordsPerSegment := l.segmentCapacity / (recordBytes + seglog.RecordOverhead + laterRecordsBytes + laterRecords*idBytes)
	return l.segmentCapacity / max(1, recordsPerSegment)
}

// RecommendedBatchBytes returns the recommended size of the records in one Write. A batch of that size always fits in a segment.
func (l *Ledger) RecommendedBatchBytes() int {
	const batchesPerSegment = 3           // number of batches of the recommended size per segment
	const maxRecommendedBytes = 128 << 10 // a batch is held in memory while it is written
	return min(l.segmentCapacity/batchesPerSegment, maxRecommendedBytes)
}

// Write appends records atomically: either all of them are stored or none is, even if the write fails part-way, what it left
// cannot be wiped, and the process then ends. Accepted records require the reserved files to be free; other records may use
// these files when the disk is full. After an error, DiscardFailedWrite ensures that no later process reads the records.
//
// Atomicity ensures that a later process does not push a notification that was refused because its write failed.
func (l *Ledger) Write(records ...Record) error {
	hasAccepted := false
	for i := range records {
		if r := &records[i]; r.Kind == Accepted && r.AcceptedSeq == 0 {
			l.lastAcceptedSeq++
			r.AcceptedSeq = l.lastAcceptedSeq
		}
		hasAccepted = hasAccepted || records[i].Kind == Accepted
	}
	l.encode(records)
	if err := l.compact(len(l.buf)+seglog.RecordOverhead, hasAccepted); err != nil && hasAccepted {
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
		l.apply(r, segment, r.encodedBytes)
	}
	return nil
}

// DiscardFailedWrite ensures that no later process reads the records of a failed write, and reports whether that is
// ensured. Until then, a message whose Accepted record failed to be written must not be answered as refused.
func (l *Ledger) DiscardFailedWrite() bool { return l.log.DiscardFailedWrite() == nil }

// encode encodes the records into the buffer, several of them as one Batch record, and sets the size of each.
func (l *Ledger) encode(records []Record) {
	l.buf = l.buf[:0]
	if len(records) == 1 {
		l.buf = encode(l.buf, records[0])
		records[0].encodedBytes = len(l.buf)
		return
	}
	l.buf = appendString(append(l.buf, byte(Batch)), "")
	for i := range records {
		l.recordBuf = encode(l.recordBuf[:0], records[i])
		records[i].encodedBytes = len(l.recordBuf)
		l.buf = append(binary.AppendUvarint(l.buf, uint64(len(l.recordBuf))), l.recordBuf...)
	}
}

// RewrittenBytes returns the total size of the records that compaction has rewritten.
func (l *Ledger) RewrittenBytes() int { return l.rewrittenBytes }

// LiveBytes returns the space charged for pending notifications and the capacity of all allocated files.
func (l *Ledger) LiveBytes() (live, capacity int) {
	return l.liveBytes, (l.log.UsedFiles() + l.log.FreeFiles()) * l.segmentCapacity
}

// Close closes the files of the ledger.
func (l *Ledger) Close() error { return l.log.Close() }

// pendingInOrder returns the pending notifications in the order in which they were accepted.
func (l *Ledger) pendingInOrder() []*Pending {
	list := make([]*Pending, 0, len(l.pending))
	for _, p := range l.pending {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Pending) int { return cmp.Compare(a.acceptedSeq, b.acceptedSeq) })
	return list
}
