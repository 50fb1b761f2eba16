package seglog

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"orchiddrift/disk"
)

// Damage is an unreadable range of a segment that is followed by valid records, in the same or a later segment. Offset
// and Bytes are in bytes of the file.
type Damage struct {
	File   string `json:"file"`
	Offset int    `json:"at"`
	Bytes  int    `json:"bytes"`
}

// Report describes what Open found.
type Report struct {
	Segments    int      `json:"segments"`               // number of segments in use
	OldSegments int      `json:"old_segments,omitempty"` // number of these that an earlier version wrote
	Free        int      `json:"free"`                   // number of free segment files
	Records     int      `json:"records"`
	Bytes       int      `json:"bytes"` // size of the records as they are stored
	Damaged     []Damage `json:"damaged,omitempty"`
}

// Options configures a log.
type Options struct {
	SegmentBytes int  // size of each segment file
	MaxFiles     int  // maximum number of segment files, in use and free
	Sync         bool // sync each write to disk before Append returns
	ReadOnly     bool // leave the files unchanged; nothing may be appended
}

// visitor receives what is read. It adds records and damaged ranges to the report.
type visitor struct {
	report   *Report
	onRecord func(segment int, record []byte)
	onDamage func(Damage)
}

// record passes on a record that takes storedBytes.
func (v visitor) record(s *segment, content []byte, storedBytes int) {
	v.onRecord(s.header.number, content)
	v.report.Records++
	v.report.Bytes += storedBytes
}

// damage passes on an unreadable range.
func (v visitor) damage(s *segment, offset, size int) {
	d := Damage{s.name, offset, size}
	v.report.Damaged = append(v.report.Damaged, d)
	v.onDamage(d)
}

// Open reads the segments, oldest first. It calls onRecord for each record with the number of its segment, and onDamage
// for each unreadable range before the records that follow it. The record passed to onRecord is only valid during the call.
// Unless ReadOnly is set, Open removes free files of a size other than SegmentBytes, and those that another version wrote.
func Open(folder disk.Folder, options Options, onRecord func(segment int, record []byte), onDamage func(Damage)) (*Log, Report, error) {
	l := &Log{folder: folder, segmentBytes: options.SegmentBytes, maxFiles: options.MaxFiles, sync: options.Sync}
	var report Report
	if err := l.open(options, visitor{&report, onRecord, onDamage}); err != nil {
		_ = l.Close() // a retry opens the files again
		return nil, report, err
	}
	return l, report, nil
}

// open reads the segments into l, as described at Open. After an error, l may hold open files.
func (l *Log) open(options Options, v visitor) error {
	if err := l.openFiles(options.ReadOnly); err != nil {
		return err
	}
	slices.SortFunc(l.inUse, func(a, b *segment) int { return a.header.number - b.header.number })
	v.report.Segments, v.report.Free = len(l.inUse), len(l.free)
	for i, s := range l.inUse {
		end := logEnd{}
		if i+1 < len(l.inUse) {
			end = logEnd{known: true, seq: l.inUse[i+1].header.baseSeq}
		}
		if s.header.version != FormatVersion {
			v.report.OldSegments++
		}
		if err := l.readSegment(s, end, v); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		l.lastSegmentNumber = s.header.number
	}
	return nil
}

// openFiles opens the segment files. Those of earlier versions that are free are removed, since the bytes in them are not stuffed.
func (l *Log) openFiles(readOnly bool) error {
	names, err := l.folder.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, fileNamePrefix) {
			continue
		}
		s, err := l.openFile(name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		switch {
		case s.header.number > 0:
			l.inUse = append(l.inUse, s)
		case s.header.version == FormatVersion && s.size == l.segmentBytes || readOnly:
			l.free = append(l.free, s)
		default: // not fully allocated, of another size, or of another version
			l.removeFile(s)
		}
	}
	return nil
}

// openFile opens a segment file and reads its header.
func (l *Log) openFile(name string) (*segment, error) {
	file, err := l.folder.Open(name)
	if err != nil {
		return nil, err
	}
	s := &segment{name: name, file: file}
	size, err := file.Size()
	if err == nil {
		err = s.readHeader()
	}
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	s.size = int(size)
	var fileNumber int
	if _, err := fmt.Sscanf(name, fileNamePrefix+"%d", &fileNumber); err == nil {
		l.lastFileNumber = max(l.lastFileNumber, fileNumber)
	}
	return s, nil
}

// logEnd says how far the records of a segment belong to the log: up to the sequence number that the next segment's header holds, as
// those behind it are of a failed write. There is no limit if the segment is the newest one.
type logEnd struct {
	known bool
	seq   uint64
}

// recordsAhead returns how many records can follow the one with the given number.
func (e logEnd) recordsAhead(lastSeq uint64) uint64 {
	if !e.known {
		return math.MaxUint64
	}
	return e.seq - lastSeq
}

// readSegment reads the records of a segment.
func (l *Log) readSegment(s *segment, end logEnd, v visitor) error {
	b := make([]byte, s.size)
	if n, err := s.file.ReadAt(b, 0); n < len(b) {
		return fmt.Errorf("read %d of %d bytes: %w", n, len(b), err)
	}
	l.lastSeq = s.header.baseSeq
	if s.header.version == versionOne {
		l.readRecordsV1(s, b, end, v)
	} else {
		l.readRecords(s, b, end, v)
	}
	if end.known && end.seq != l.lastSeq { // the last records of the segment are lost
		v.damage(s, s.writeOffset, len(b)-s.writeOffset)
	}
	return nil
}

// readRecords reads the records of a segment that holds b, and sets where the next one is to be written.
func (l *Log) readRecords(s *segment, b []byte, end logEnd, v visitor) {
	reader := frameReader{segment: b, salt: s.header.salt}
	s.writeOffset = HeaderSize
	for end.recordsAhead(l.lastSeq) > 0 {
		f, ok := reader.next(s.writeOffset, l.lastSeq, end.recordsAhead(l.lastSeq))
		if !ok {
			return // the bytes after it are of a torn or failed write, or of an earlier use of the file
		}
		if f.offset > s.writeOffset {
			v.damage(s, s.writeOffset, f.offset-s.writeOffset)
		}
		v.record(s, f.content, f.size)
		l.lastSeq, s.writeOffset = f.seq, f.offset+f.size
	}
}
