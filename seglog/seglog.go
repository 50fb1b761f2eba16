// Package seglog implements an append-only log in numbered segments of a fixed size. Segment files are allocated at full
// size before use and are recycled, so that appending to an allocated segment needs no further disk space and removes no
// file. Records are opaque bytes to this package.
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
	// FormatVersion is the version of the segment format. Segments of another version are not read.
	FormatVersion = 1

	magic            = "ODLG" // first bytes of the header of a segment in use
	HeaderSize       = 24     // bytes of a segment's header: magic, version, segment number, base sequence number, checksum
	recordHeaderSize = 16     // bytes of a record's header: length, checksum, sequence number
	fileNamePrefix   = "segment-"
)

// RecordOverhead is the number of bytes that a record occupies in a segment in addition to its content.
const RecordOverhead = recordHeaderSize

// Errors returned by a Log.
var (
	ErrFull     = errors.New("no free segment")
	ErrTooLarge = errors.New("records do not fit in one segment")
	ErrVersion  = errors.New("unsupported segment format version")
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	folder              disk.Folder
	segmentBytes        int
	maxFiles            int // maximum number of segment files, in use and free
	sync                bool
	inUse               []*segment // oldest first; the last one is the active segment
	free                []*segment
	lastFileNumber      int    // highest number in a file name
	lastSegmentNumber   int    // number of the newest segment
	lastSeq             uint64 // sequence number of the last record, including records of failed writes
	lastGoodSeq         uint64 // sequence number of the last record that was written successfully
	failedWriteReadable bool   // a failed write has not been discarded: a process that opens the log now may read it
	// headerUncertain: writing the header of the next segment failed, and it may be stored nevertheless. Records appended to the
	// segment before it would then count as those of a failed write.
	headerUncertain bool
	buf             []byte // encoded records of the current or last Append
}

// segment is a segment file, in use or free.
type segment struct {
	name        string
	file        disk.File
	size        int  // of the file, in bytes
	number      int  // 0 if free
	writeOffset int  // offset of the next record, in bytes
	wipeFailed  bool // the rest of a failed write remains after writeOffset and may look like valid records
}

// Damage is an unreadable range of a segment that is followed by valid records, in the same or a later segment. Offset
// and Bytes are in bytes of the file.
type Damage struct {
	File   string `json:"file"`
	Offset int    `json:"at"`
	Bytes  int    `json:"bytes"`
}

// Report describes what Open found.
type Report struct {
	Segments int      `json:"segments"` // number of segments in use
	Free     int      `json:"free"`     // number of free segment files
	Records  int      `json:"records"`
	Bytes    int      `json:"bytes"` // size of the records with their headers
	Damaged  []Damage `json:"damaged,omitempty"`
}

// Options configures a log.
type Options struct {
	SegmentBytes int  // size of each segment file
	MaxFiles     int  // maximum number of segment files, in use and free
	Sync         bool // sync each write to disk before Append returns
	ReadOnly     bool // leave the files unchanged; nothing may be appended
}

// Open reads the segments, oldest first. It calls onRecord for each record with the number of its segment, and onDamage
// for each unreadable range before the records that follow it. The record passed to onRecord is only valid during the call.
// Unless ReadOnly is set, Open removes free files of a size other than SegmentBytes.
func Open(folder disk.Folder, options Options, onRecord func(segment int, record []byte), onDamage func(Damage)) (*Log, Report, error) {
	l := &Log{folder: folder, segmentBytes: options.SegmentBytes, maxFiles: options.MaxFiles, sync: options.Sync}
	report, err := l.open(options, onRecord, onDamage)
	if err != nil {
		_ = l.Close() // a retry opens the files again
		return nil, report, err
	}
	return l, report, nil
}

// open reads the segments into l, as described at Open. After an error, l may hold open files.
func (l *Log) open(options Options, onRecord func(segment int, record []byte), onDamage func(Damage)) (Report, error) {
	names, err := l.folder.List()
	if err != nil {
		return Report{}, err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, fileNamePrefix) {
			continue
		}
		s := &segment{name: name}
		if s.file, err = l.folder.Open(name); err != nil {
			return Report{}, err
		}
		var fileNumber int
		if _, err := fmt.Sscanf(name, fileNamePrefix+"%d", &fileNumber); err == nil {
			l.lastFileNumber = max(l.lastFileNumber, fileNumber)
		}
		size, err := s.file.Size()
		if err == nil {
			s.size = int(size)
			err = l.readHeader(s)
		}
		switch {
		case err != nil:
			_ = s.file.Close()
			return Report{}, fmt.Errorf("%s: %w", name, err)
		case s.number > 0:
			l.inUse = append(l.inUse, s)
		case s.size == l.segmentBytes || options.ReadOnly:
			l.free = append(l.free, s)
		default: // not fully allocated, or of another size
			l.removeFile(s)
		}
	}
	slices.SortFunc(l.inUse, func(a, b *segment) int { return a.number - b.number })
	report := Report{Segments: len(l.inUse), Free: len(l.free)}
	for i, s := range l.inUse {
		// Records in s with a higher sequence number than the base of the next segment are of a failed write.
		maxSeq := uint64(noNextSegment)
		if i+1 < len(l.inUse) {
			if maxSeq, err = l.readBaseSeq(l.inUse[i+1]); err != nil {
				return report, err
			}
		}
		if err := l.readRecords(s, maxSeq, &report, onRecord, onDamage); err != nil {
			return report, fmt.Errorf("%s: %w", s.name, err)
		}
		l.lastSegmentNumber = max(l.lastSegmentNumber, s.number)
	}
	l.lastGoodSeq = l.lastSeq
	return report, nil
}

// readHeader reads the header of a file and sets the segment number, which stays 0 if the file is free.
func (l *Log) readHeader(s *segment) error {
	b := make([]byte, HeaderSize)
	if n, err := s.file.ReadAt(b, 0); n < HeaderSize {
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		return nil // creation was interrupted
	}
	if string(b[:4]) != magic || crc32.Checksum(b[:HeaderSize-4], crcTable) != binary.LittleEndian.Uint32(b[HeaderSize-4:]) {
		return nil // never used, or the header write was interrupted: the segment holds no records
	}
	if b[4] != FormatVersion {
		return fmt.Errorf("%w: got %d, want %d", ErrVersion, b[4], FormatVersion)
	}
	s.number = int(binary.LittleEndian.Uint32(b[8:]))
	return nil
}

// readBaseSeq returns the base sequence number of a segment: that of the last valid record before it.
func (l *Log) readBaseSeq(s *segment) (uint64, error) {
	var b [8]byte
	_, err := s.file.ReadAt(b[:], 12)
	return binary.LittleEndian.Uint64(b[:]), err
}

// noNextSegment is used in place of the next segment's base sequence number when there is no next segment. It cannot be 0,
// which is the base sequence number of a segment before which no write succeeded.
const noNextSegment = math.MaxUint64

// readRecords reads the records of a segment with sequence numbers up to maxSeq, and adds them and the unreadable ranges
// to the report.
func (l *Log) readRecords(s *segment, maxSeq uint64, report *Report, onRecord func(int, []byte), onDamage func(Damage)) error {
	b := make([]byte, s.size)
	if n, err := s.file.ReadAt(b, 0); n < len(b) {
		return fmt.Errorf("read %d of %d bytes: %w", n, len(b), err)
	}
	baseSeq, err := l.readBaseSeq(s)
	if err != nil {
		return err
	}
	l.lastSeq = max(l.lastSeq, baseSeq)
	offset := HeaderSize
	for offset < len(b) {
		n, seq := parseRecord(b[offset:], l.lastSeq)
		if n > 0 && seq > maxSeq {
			break // of a failed write, after which the log continued in the next segment
		}
		if n == 0 {
			skip := findNextRecord(b[offset:], l.lastSeq, maxSeq)
			if skip == 0 {
				break
			}
			d := Damage{s.name, offset, skip}
			report.Damaged = append(report.Damaged, d)
			onDamage(d)
			offset += skip
			continue
		}
		onRecord(s.number, b[offset+recordHeaderSize:offset+n])
		report.Records++
		report.Bytes += n
		l.lastSeq, offset = seq, offset+n
	}
	s.writeOffset = offset                             // the bytes after it are of a torn write or an earlier use of the file
	if maxSeq != noNextSegment && maxSeq > l.lastSeq { // the last records of the segment are lost
		d := Damage{s.name, offset, len(b) - offset}
		report.Damaged = append(report.Damaged, d)
		onDamage(d)
	}
	return nil
}

// parseRecord returns the length, including the header, and the sequence number of the record at the start of b. Both are
// 0 unless the record is valid and its sequence number is greater than lastSeq.
func parseRecord(b []byte, lastSeq uint64) (int, uint64) {
	if len(b) < recordHeaderSize {
		return 0, 0
	}
	n, seq := int(binary.LittleEndian.Uint32(b)), binary.LittleEndian.Uint64(b[8:])
	if n < 1 || n > len(b)-recordHeaderSize || seq <= lastSeq {
		return 0, 0
	}
	if crc32.Checksum(b[8:recordHeaderSize+n], crcTable) != binary.LittleEndian.Uint32(b[4:]) {
		return 0, 0
	}
	return recordHeaderSize + n, seq
}

// findNextRecord returns the offset in b of the next valid record with a sequence number up to maxSeq, or 0 if there is none.
func findNextRecord(b []byte, lastSeq, maxSeq uint64) int {
	for skip := 1; skip+recordHeaderSize < len(b); skip++ {
		if n, seq := parseRecord(b[skip:], lastSeq); n > 0 && seq <= maxSeq {
			return skip
		}
	}
	return 0
}

// Fits reports whether a record of the given size fits in a segment.
func (l *Log) Fits(recordBytes int) bool {
	return HeaderSize+recordHeaderSize+recordBytes <= l.segmentBytes
}

// Append writes records to one segment in a single write and returns the number of the segment. If it fails, none of the
// records is part of the log.
func (l *Log) Append(records ...[]byte) (int, error) {
	l.buf = l.buf[:0]
	seq := l.lastSeq
	for _, r := range records {
		seq++
		offset := len(l.buf)
		l.buf = append(l.buf, make([]byte, recordHeaderSize)...)
		l.buf = append(l.buf, r...)
		binary.LittleEndian.PutUint32(l.buf[offset:], uint32(len(r)))
		binary.LittleEndian.PutUint64(l.buf[offset+8:], seq)
		binary.LittleEndian.PutUint32(l.buf[offset+4:], crc32.Checksum(l.buf[offset+8:], crcTable))
	}
	if HeaderSize+len(l.buf) > l.segmentBytes {
		return 0, ErrTooLarge
	}
	if err := l.DiscardFailedWrite(); err != nil {
		return 0, err
	}
	s := l.active()
	if s == nil || s.wipeFailed || l.headerUncertain || s.writeOffset+len(l.buf) > s.size {
		var err error
		if s, err = l.activateSegment(); err != nil {
			return 0, err
		}
	}
	l.lastSeq = seq // also if the write fails, so that what it leaves has lower numbers than the records that overwrite it
	if n, err := s.file.WriteAt(l.buf, int64(s.writeOffset)); n < len(l.buf) || err != nil {
		if l.mayBeStored(s) {
			l.wipeFailedWrite(s)
		}
		return 0, fmt.Errorf("%s: %w", s.name, orShortWrite(err))
	}
	if l.sync {
		if err := s.file.Sync(); err != nil {
			l.wipeFailedWrite(s)
			return 0, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	s.writeOffset += len(l.buf)
	l.lastGoodSeq = seq
	return s.number, nil
}

var errShortWrite = errors.New("short write")

// orShortWrite returns err, or errShortWrite if err is nil.
func orShortWrite(err error) error {
	if err == nil {
		return errShortWrite
	}
	return err
}

// mayBeStored reports whether a record of the write that has just failed may be stored, by reading what the file holds in its place.
// What was not stored then is not on the disk either: it would have come there from the same pages.
func (l *Log) mayBeStored(s *segment) bool {
	b := make([]byte, len(l.buf))
	if n, err := s.file.ReadAt(b, int64(s.writeOffset)); n < len(b) || err != nil && !errors.Is(err, io.EOF) {
		return true
	}
	n, _ := parseRecord(b, l.lastGoodSeq)
	return n > 0 || findNextRecord(b, l.lastGoodSeq, l.lastSeq) > 0
}

// wipeFailedWrite overwrites with zeros what a failed write may have left. If that fails too, the log continues in another
// segment, whose header holds the sequence number of the last valid record. Until that header is written, a process that
// opens the log may read the failed write.
func (l *Log) wipeFailedWrite(s *segment) {
	n, err := s.file.WriteAt(make([]byte, len(l.buf)), int64(s.writeOffset))
	if l.sync && err == nil {
		err = s.file.Sync()
	}
	if n == len(l.buf) && err == nil {
		return
	}
	s.wipeFailed, l.failedWriteReadable = true, true
	_ = l.DiscardFailedWrite()
}

// DiscardFailedWrite ensures that a process that opens the log does not read the records of a failed write. It does
// nothing if that is ensured already, and returns an error if it cannot be ensured now.
func (l *Log) DiscardFailedWrite() error {
	if !l.failedWriteReadable {
		return nil
	}
	s, err := l.active(), error(nil)
	if s.wipeFailed { // otherwise the new segment is active already, and only the sync of its header is missing
		s, err = l.activateSegment()
	}
	if err == nil && l.sync {
		err = s.file.Sync()
	}
	if err != nil {
		return fmt.Errorf("failed write could not be discarded: %w", err)
	}
	l.failedWriteReadable = false
	return nil
}

// active returns the newest segment, to which records are appended, or nil if there is none.
func (l *Log) active() *segment {
	if len(l.inUse) == 0 {
		return nil
	}
	return l.inUse[len(l.inUse)-1]
}

// activateSegment makes a free file the newest segment, allocating one if there is none. It does not sync the header.
func (l *Log) activateSegment() (*segment, error) {
	if len(l.free) == 0 {
		if err := l.Reserve(1); err != nil {
			return nil, err
		}
	}
	s := l.free[0]
	b := make([]byte, HeaderSize)
	copy(b, magic)
	b[4] = FormatVersion
	binary.LittleEndian.PutUint32(b[8:], uint32(l.lastSegmentNumber+1))
	binary.LittleEndian.PutUint64(b[12:], l.lastGoodSeq)
	binary.LittleEndian.PutUint32(b[HeaderSize-4:], crc32.Checksum(b[:HeaderSize-4], crcTable))
	l.headerUncertain = true
	if n, err := s.file.WriteAt(b, 0); n < len(b) || err != nil {
		return nil, fmt.Errorf("%s: %w", s.name, orShortWrite(err))
	}
	l.headerUncertain = false
	l.lastSegmentNumber++
	s.number, s.writeOffset, s.wipeFailed = l.lastSegmentNumber, HeaderSize, false
	l.free, l.inUse = l.free[1:], append(l.inUse, s)
	return s, nil
}

// Reserve allocates files until count files are free. It returns ErrFull if the maximum number of files is reached, and
// the underlying error if the disk is full or fails.
func (l *Log) Reserve(count int) error {
	for len(l.free) < count {
		if len(l.free)+len(l.inUse) >= l.maxFiles {
			return ErrFull
		}
		name := fmt.Sprintf("%s%06d", fileNamePrefix, l.lastFileNumber+1)
		f, err := l.folder.Create(name)
		if err != nil {
			return err
		}
		if wrote, err := f.WriteAt(make([]byte, l.segmentBytes), 0); wrote < l.segmentBytes || err != nil {
			l.removeFile(&segment{name: name, file: f})
			return fmt.Errorf("%s: %w", name, orShortWrite(err))
		}
		if l.sync {
			if err := errors.Join(f.Sync(), l.folder.Sync()); err != nil {
				l.removeFile(&segment{name: name, file: f})
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		l.lastFileNumber++
		l.free = append(l.free, &segment{name: name, file: f, size: l.segmentBytes})
	}
	return nil
}

// ReleaseOldest frees the oldest segment, so that its file can be reused. The caller must have copied the records that it
// still needs; with Sync, they must be on disk. The active segment is never released.
func (l *Log) ReleaseOldest() error {
	if len(l.inUse) < 2 {
		return nil
	}
	s := l.inUse[0]
	if n, err := s.file.WriteAt(make([]byte, HeaderSize), 0); n < HeaderSize || err != nil {
		return fmt.Errorf("%s: %w", s.name, orShortWrite(err))
	}
	s.number, s.writeOffset = 0, 0
	if l.inUse = l.inUse[1:]; s.size != l.segmentBytes { // allocated with another configured size
		l.removeFile(s)
		return nil
	}
	l.free = append(l.free, s)
	return nil
}

// removeFile closes and removes a file without records. Errors are ignored, since the next Open finds a remaining file again.
func (l *Log) removeFile(s *segment) {
	_ = s.file.Close()
	_ = l.folder.Remove(s.name)
}

// OldestSegment returns the number of the oldest segment in use, or 0 if there is none.
func (l *Log) OldestSegment() int {
	if len(l.inUse) == 0 {
		return 0
	}
	return l.inUse[0].number
}

// NewestSegment returns the number of the active segment, or 0 if there is none.
func (l *Log) NewestSegment() int {
	if s := l.active(); s != nil {
		return s.number
	}
	return 0
}

// LastSeq returns the sequence number of the last record, including records of failed writes. It does not decrease while the
// log is open. After the log is opened again it is at least that of the last successful write, unless that is damaged.
func (l *Log) LastSeq() uint64 { return l.lastSeq }

// UsedFiles returns the number of segment files in use.
func (l *Log) UsedFiles() int { return len(l.inUse) }

// FreeFiles returns the number of allocated segment files that are free.
func (l *Log) FreeFiles() int { return len(l.free) }

// MaxFiles returns the maximum number of segment files, in use and free.
func (l *Log) MaxFiles() int { return l.maxFiles }

// TrimFree removes free files until at most keep are left.
func (l *Log) TrimFree(keep int) {
	for len(l.free) > keep {
		l.removeFile(l.free[0])
		l.free = l.free[1:]
	}
}

// Close closes all segment files.
func (l *Log) Close() error {
	var err error
	for _, s := range slices.Concat(l.inUse, l.free) {
		err = errors.Join(err, s.file.Close())
	}
	return err
}
