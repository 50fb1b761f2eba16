// Package seglog is an append-only log in numbered segments of one size. Files are made whole before they are used and
// are used again, so that appending neither needs new room on the disk nor removes a file. It knows nothing of what its
// records say.
package seglog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"slices"
	"strings"

	"orchiddrift/disk"
)

const (
	// Version of the format; a segment of another is not read.
	Version = 1

	magic      = "ODLG"
	HeaderSize = 24 // bytes: magic, version, number, the number of the last record before it, checksum
	frame      = 16 // a record's length, checksum and number
	prefix     = "segment-"
)

// RecordOverhead is what a record takes beyond its own bytes.
const RecordOverhead = frame

// The errors.
var (
	ErrFull     = errors.New("no free segment")
	ErrTooLarge = errors.New("the record is larger than a segment")
	ErrVersion  = errors.New("the segment's format is of another version")
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Log is an open log. It is one goroutine's.
type Log struct {
	folder disk.Folder
	size   int
	most   int // files
	sync   bool
	used   []*segment // the oldest first; the last is written to
	free   []*segment
	names  int    // given so far
	number int    // of the segment made last
	seq    uint64 // of the record written last, failed ones too
	good   uint64 // of the last that was written whole
	doubt  bool   // a failed write could not be taken back: a process that opens the log now may read it
	buf    []byte
}

// segment is a file with what it holds.
type segment struct {
	name   string
	file   disk.File
	size   int  // of the file
	number int  // 0: free
	end    int  // where the next record goes
	spoilt bool // a write failed: what stands behind end may look whole
}

// Damage is a part of a segment that cannot be read, with good records behind it or in a later segment.
type Damage struct {
	File   string `json:"file"`
	Offset int    `json:"at"`
	Bytes  int    `json:"bytes"`
}

// Report tells what opening found.
type Report struct {
	Segments int      `json:"segments"`
	Free     int      `json:"free"`
	Records  int      `json:"records"`
	Bytes    int      `json:"bytes"` // of records and their frames
	Damaged  []Damage `json:"damaged,omitempty"`
}

// Options size a log.
type Options struct {
	SegmentBytes int  // bytes of each file
	MaxFiles     int  // at most
	Sync         bool // records are on the disk when Append returns
	ReadOnly     bool // only read: files stay as they are, and nothing is appended
}

// Open reads the segments, oldest first, and gives each record to each with its segment's number; damaged is called where
// part of a segment could not be read, before what comes after it. A record is its caller's during the call only.
func Open(folder disk.Folder, o Options, each func(segment int, record []byte), damaged func(Damage)) (*Log, Report, error) {
	l := &Log{folder: folder, size: o.SegmentBytes, most: o.MaxFiles, sync: o.Sync}
	report, err := l.open(o, each, damaged)
	if err != nil {
		_ = l.Close() // whoever tries again opens them again
		return nil, report, err
	}
	return l, report, nil
}

func (l *Log) open(o Options, each func(segment int, record []byte), damaged func(Damage)) (Report, error) {
	names, err := l.folder.List()
	if err != nil {
		return Report{}, err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		s := &segment{name: name}
		if s.file, err = l.folder.Open(name); err != nil {
			return Report{}, err
		}
		var n int
		if _, err := fmt.Sscanf(name, prefix+"%d", &n); err == nil {
			l.names = max(l.names, n)
		}
		size, err := s.file.Size()
		if err == nil {
			s.size = int(size)
			err = l.head(s)
		}
		switch {
		case err != nil:
			_ = s.file.Close()
			return Report{}, fmt.Errorf("%s: %w", name, err)
		case s.number > 0:
			l.used = append(l.used, s)
		case s.size == l.size || o.ReadOnly:
			l.free = append(l.free, s)
		default: // never made whole, or of another size
			l.remove(s)
		}
	}
	slices.SortFunc(l.used, func(a, b *segment) int { return a.number - b.number })
	report := Report{Segments: len(l.used), Free: len(l.free)}
	for i, s := range l.used {
		next := uint64(newest) // the last record before the next segment: what follows it here is of a write that failed
		if i+1 < len(l.used) {
			if next, err = l.base(l.used[i+1]); err != nil {
				return report, err
			}
		}
		if err := l.read(s, next, &report, each, damaged); err != nil {
			return report, fmt.Errorf("%s: %w", s.name, err)
		}
		l.number = max(l.number, s.number)
	}
	l.good = l.seq
	return report, nil
}

// head reads what a file is: a segment in use, or free.
func (l *Log) head(s *segment) error {
	b := make([]byte, HeaderSize)
	if n, err := s.file.ReadAt(b, 0); n < HeaderSize {
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		return nil // made and never filled: it is free
	}
	if string(b[:4]) != magic || crc32.Checksum(b[:HeaderSize-4], table) != binary.LittleEndian.Uint32(b[HeaderSize-4:]) {
		return nil // never used, or being taken into use when the process ended: nothing was in it yet
	}
	if b[4] != Version {
		return fmt.Errorf("%w: %d, this program reads %d", ErrVersion, b[4], Version)
	}
	s.number = int(binary.LittleEndian.Uint32(b[8:]))
	return nil
}

// base is the number of the last record before a segment.
func (l *Log) base(s *segment) (uint64, error) {
	var b [8]byte
	_, err := s.file.ReadAt(b[:], 12)
	return binary.LittleEndian.Uint64(b[:]), err
}

// newest stands for the last record before a next segment where there is none yet. It is not 0: that is the last record
// before a segment where no write succeeded before it.
const newest = math.MaxUint64

// read reads a segment's records.
func (l *Log) read(s *segment, next uint64, report *Report, each func(int, []byte), damaged func(Damage)) error {
	b := make([]byte, s.size)
	if n, err := s.file.ReadAt(b, 0); n < len(b) {
		return fmt.Errorf("%d bytes of %d: %w", n, len(b), err)
	}
	base, err := l.base(s)
	if err != nil {
		return err
	}
	l.seq = max(l.seq, base)
	at := HeaderSize
	for at < len(b) {
		n, seq := whole(b[at:], l.seq)
		if n > 0 && seq > next {
			break // of a write that failed, before the log went on in the next segment
		}
		if n == 0 {
			skip := behind(b[at:], l.seq, next)
			if skip == 0 {
				break
			}
			d := Damage{s.name, at, skip}
			report.Damaged = append(report.Damaged, d)
			damaged(d)
			at += skip
			continue
		}
		each(s.number, b[at+frame:at+n])
		report.Records++
		report.Bytes += n
		l.seq, at = seq, at+n
	}
	s.end = at                          // what is behind it is a torn tail, or what the file held before
	if next != newest && next > l.seq { // the segment's last records are lost
		d := Damage{s.name, at, len(b) - at}
		report.Damaged = append(report.Damaged, d)
		damaged(d)
	}
	return nil
}

// whole tells the length of the record at the start of b, and its number, where it is whole and newer than the last.
func whole(b []byte, last uint64) (int, uint64) {
	if len(b) < frame {
		return 0, 0
	}
	n, seq := int(binary.LittleEndian.Uint32(b)), binary.LittleEndian.Uint64(b[8:])
	if n < 1 || n > len(b)-frame || seq <= last {
		return 0, 0
	}
	if crc32.Checksum(b[8:frame+n], table) != binary.LittleEndian.Uint32(b[4:]) {
		return 0, 0
	}
	return frame + n, seq
}

// behind tells how far on the next whole record stands, 0 for none.
func behind(b []byte, last, next uint64) int {
	for skip := 1; skip+frame < len(b); skip++ {
		if n, seq := whole(b[skip:], last); n > 0 && seq <= next {
			return skip
		}
	}
	return 0
}

// Fits tells whether a record is no larger than a segment.
func (l *Log) Fits(record int) bool { return HeaderSize+frame+record <= l.size }

// Append writes records in one go, into one segment, and tells its number. When it fails none of them counts.
func (l *Log) Append(records ...[]byte) (int, error) {
	l.buf = l.buf[:0]
	seq := l.seq
	for _, r := range records {
		seq++
		at := len(l.buf)
		l.buf = append(l.buf, make([]byte, frame)...)
		l.buf = append(l.buf, r...)
		binary.LittleEndian.PutUint32(l.buf[at:], uint32(len(r)))
		binary.LittleEndian.PutUint64(l.buf[at+8:], seq)
		binary.LittleEndian.PutUint32(l.buf[at+4:], crc32.Checksum(l.buf[at+8:], table))
	}
	if HeaderSize+len(l.buf) > l.size {
		return 0, ErrTooLarge
	}
	if err := l.DiscardFailedWrite(); err != nil {
		return 0, err
	}
	s := l.active()
	if s == nil || s.spoilt || s.end+len(l.buf) > s.size {
		var err error
		if s, err = l.roll(); err != nil {
			return 0, err
		}
	}
	l.seq = seq // a number is never given twice: what a failed write left is older than what comes over it
	if n, err := s.file.WriteAt(l.buf, int64(s.end)); n < len(l.buf) || err != nil {
		l.undo(s)
		return 0, fmt.Errorf("%s: %w", s.name, orShort(err))
	}
	if l.sync {
		if err := s.file.Sync(); err != nil {
			l.undo(s)
			return 0, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	s.end += len(l.buf)
	l.good = seq
	return s.number, nil
}

var errShort = errors.New("short write")

func orShort(err error) error {
	if err == nil {
		return errShort
	}
	return err
}

// undo takes back what a failed write may have left. Where that fails too, the log goes on in another segment, whose head
// tells which record was the last good one; until that stands, what the write left is in doubt.
func (l *Log) undo(s *segment) {
	n, err := s.file.WriteAt(make([]byte, len(l.buf)), int64(s.end))
	if l.sync && err == nil {
		err = s.file.Sync()
	}
	if n == len(l.buf) && err == nil {
		return
	}
	s.spoilt, l.doubt = true, true
	_ = l.DiscardFailedWrite()
}

// DiscardFailedWrite makes sure that nobody who opens the log reads what a failed write left. It does nothing where that is so already;
// an error tells that it is not.
func (l *Log) DiscardFailedWrite() error {
	if !l.doubt {
		return nil
	}
	s, err := l.active(), error(nil)
	if s.spoilt { // else its head was written before, and is not synced yet
		s, err = l.roll()
	}
	if err == nil && l.sync {
		err = s.file.Sync()
	}
	if err != nil {
		return fmt.Errorf("a failed write cannot be taken back: %w", err)
	}
	l.doubt = false
	return nil
}

func (l *Log) active() *segment {
	if len(l.used) == 0 {
		return nil
	}
	return l.used[len(l.used)-1]
}

// roll takes a free file into use as the newest segment.
func (l *Log) roll() (*segment, error) {
	if len(l.free) == 0 {
		if err := l.Reserve(1); err != nil {
			return nil, err
		}
	}
	s := l.free[0]
	b := make([]byte, HeaderSize)
	copy(b, magic)
	b[4] = Version
	binary.LittleEndian.PutUint32(b[8:], uint32(l.number+1))
	binary.LittleEndian.PutUint64(b[12:], l.good)
	binary.LittleEndian.PutUint32(b[HeaderSize-4:], crc32.Checksum(b[:HeaderSize-4], table))
	if n, err := s.file.WriteAt(b, 0); n < len(b) || err != nil {
		return nil, fmt.Errorf("%s: %w", s.name, orShort(err))
	}
	l.number++
	s.number, s.end, s.spoilt = l.number, HeaderSize, false
	l.free, l.used = l.free[1:], append(l.used, s)
	return s, nil
}

// Reserve makes files until so many are free. ErrFull tells that no more are allowed; another error that the disk has no
// room, or fails.
func (l *Log) Reserve(n int) error {
	for len(l.free) < n {
		if len(l.free)+len(l.used) >= l.most {
			return ErrFull
		}
		name := fmt.Sprintf("%s%06d", prefix, l.names+1)
		f, err := l.folder.Create(name)
		if err != nil {
			return err
		}
		if wrote, err := f.WriteAt(make([]byte, l.size), 0); wrote < l.size || err != nil {
			l.remove(&segment{name: name, file: f})
			return fmt.Errorf("%s: %w", name, orShort(err))
		}
		if l.sync {
			if err := errors.Join(f.Sync(), l.folder.Sync()); err != nil {
				return err
			}
		}
		l.names++
		l.free = append(l.free, &segment{name: name, file: f, size: l.size})
	}
	return nil
}

// ReleaseOldest gives the oldest segment's file back to be used again. Its caller has moved all it needs; with Sync that is on
// the disk. The segment written to is never released.
func (l *Log) ReleaseOldest() error {
	if len(l.used) < 2 {
		return nil
	}
	s := l.used[0]
	if n, err := s.file.WriteAt(make([]byte, HeaderSize), 0); n < HeaderSize || err != nil {
		return fmt.Errorf("%s: %w", s.name, orShort(err))
	}
	s.number, s.end = 0, 0
	if l.used = l.used[1:]; s.size != l.size { // it is of another size than files are now
		l.remove(s)
		return nil
	}
	l.free = append(l.free, s)
	return nil
}

// remove removes a file that holds nothing. One that cannot be removed is tried again at the next start.
func (l *Log) remove(s *segment) {
	_ = s.file.Close()
	_ = l.folder.Remove(s.name)
}

// OldestSegment and Newest are the numbers of segments in use, 0 where there is none.
func (l *Log) OldestSegment() int {
	if len(l.used) == 0 {
		return 0
	}
	return l.used[0].number
}

// NewestSegment is the number of the segment written to.
func (l *Log) NewestSegment() int {
	if s := l.active(); s != nil {
		return s.number
	}
	return 0
}

// LastSeq is the number of the last record, failed writes included. It only grows, also from one process to the next.
func (l *Log) LastSeq() uint64 { return l.seq }

// UsedFiles counts the files that hold records.
func (l *Log) UsedFiles() int { return len(l.used) }

// FreeFiles counts the files ready to be used.
func (l *Log) FreeFiles() int { return len(l.free) }

// MaxFiles is how many files there may be.
func (l *Log) MaxFiles() int { return l.most }

// TrimFree removes free files beyond so many.
func (l *Log) TrimFree(keep int) {
	for len(l.free) > keep {
		l.remove(l.free[0])
		l.free = l.free[1:]
	}
}

// Close closes the files.
func (l *Log) Close() error {
	var err error
	for _, s := range slices.Concat(l.used, l.free) {
		err = errors.Join(err, s.file.Close())
	}
	return err
}
