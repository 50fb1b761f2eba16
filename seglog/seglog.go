// Package seglog implements an append-only log in numbered segments of a fixed size. Segment files are allocated at full
// size before use and are recycled, so that appending to an allocated segment needs no further disk space and removes no
// file. Records are opaque bytes to this package, and nothing that a record holds can be read as another record.
//
// Files: header.go has the segments' headers, frame.go and stuffing.go the form of a record, read.go reads a folder, and version1.go
// segments of version 1.
package seglog

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"orchiddrift/disk"
)

const fileNamePrefix = "segment-"

// Errors returned by a Log.
var (
	ErrFull     = errors.New("no free segment")
	ErrTooLarge = errors.New("records do not fit in one segment")
	ErrVersion  = errors.New("unsupported segment format version")
)

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
	lastSeq             uint64 // sequence number of the last record; the numbers of successive records are consecutive
	failedWriteReadable bool   // a failed write has not been discarded: a process that opens the log now may read it
	// headerUncertain: writing the header of the next segment failed, and it may be stored nevertheless. Records appended to the
	// segment before it would then count as those of a failed write.
	headerUncertain bool
	encoder         frameWriter
}

// segment is a segment file, in use or free.
type segment struct {
	name        string
	file        disk.File
	header      segmentHeader
	size        int  // of the file, in bytes
	writeOffset int  // offset of the next record, in bytes
	wipeFailed  bool // a failed write remains after writeOffset and may be a valid record
}

// Fits reports whether a record of the given size fits in a segment.
func (l *Log) Fits(recordBytes int) bool {
	return HeaderSize+frameSize(recordBytes) <= l.segmentBytes
}

// Append writes a record, which must not be empty, in a single write and returns the number of its segment. If it fails, the record
// is not part of the log.
func (l *Log) Append(record []byte) (int, error) {
	if !l.Fits(len(record)) {
		return 0, ErrTooLarge
	}
	if err := l.DiscardFailedWrite(); err != nil {
		return 0, err
	}
	s := l.active()
	if s == nil || !l.appendable(s) || s.writeOffset+frameSize(len(record)) > s.size {
		var err error
		if s, err = l.activateSegment(); err != nil {
			return 0, err
		}
	}
	b := l.encoder.encode(s.header.salt, l.lastSeq+1, record)
	if n, err := s.file.WriteAt(b, int64(s.writeOffset)); n < len(b) || err != nil {
		if l.mayBeStored(s, len(b)) {
			l.wipeFailedWrite(s, len(b))
		}
		return 0, fmt.Errorf("%s: %w", s.name, orShortWrite(err))
	}
	if l.sync {
		if err := s.file.Sync(); err != nil {
			l.wipeFailedWrite(s, len(b))
			return 0, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	s.writeOffset += len(b)
	l.lastSeq++
	return s.header.number, nil
}

// appendable reports whether records may be appended to the active segment.
func (l *Log) appendable(s *segment) bool {
	return s.header.version == FormatVersion && !s.wipeFailed && !l.headerUncertain
}

var errShortWrite = errors.New("short write")

// orShortWrite returns err, or errShortWrite if err is nil.
func orShortWrite(err error) error {
	if err == nil {
		return errShortWrite
	}
	return err
}

// mayBeStored reports whether the record of the write that has just failed may be stored, by reading what the file holds in its place.
// What was not stored then is not on the disk either: it would have come there from the same pages.
func (l *Log) mayBeStored(s *segment, size int) bool {
	b := make([]byte, size)
	if n, err := s.file.ReadAt(b, int64(s.writeOffset)); n < len(b) || err != nil && !errors.Is(err, io.EOF) {
		return true
	}
	reader := frameReader{segment: b, salt: s.header.salt}
	_, stored := reader.at(0)
	return stored
}

// wipeFailedWrite overwrites with zeros what a failed write may have left. If that fails too, the log continues in another
// segment, whose header holds the sequence number of the last valid record. Until that header is written, a process that
// opens the log may read the failed write.
func (l *Log) wipeFailedWrite(s *segment, size int) {
	n, err := s.file.WriteAt(make([]byte, size), int64(s.writeOffset))
	if l.sync && err == nil {
		err = s.file.Sync()
	}
	if n == size && err == nil {
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
	l.headerUncertain = true
	if err := s.writeHeader(newHeader(l.lastSegmentNumber+1, l.lastSeq)); err != nil {
		return nil, err
	}
	l.headerUncertain = false
	l.lastSegmentNumber++
	s.writeOffset, s.wipeFailed = HeaderSize, false
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
		if err := fillFreeSegment(f, l.segmentBytes); err != nil {
			l.removeFile(&segment{name: name, file: f})
			return fmt.Errorf("%s: %w", name, err)
		}
		if l.sync {
			if err := errors.Join(f.Sync(), l.folder.Sync()); err != nil {
				l.removeFile(&segment{name: name, file: f})
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		l.lastFileNumber++
		l.free = append(l.free, &segment{name: name, file: f, header: freeHeader(), size: l.segmentBytes})
	}
	return nil
}

// fillBytes is how much of a new file is written at a time.
const fillBytes = 128 << 10

// fillFreeSegment writes a segment without records, so that its file has all of its size.
func fillFreeSegment(f disk.File, size int) error {
	content := make([]byte, min(size, fillBytes))
	copy(content, freeHeader().encode())
	for offset := 0; offset < size; offset += fillBytes {
		part := content[:min(len(content), size-offset)]
		if wrote, err := f.WriteAt(part, int64(offset)); wrote < len(part) || err != nil {
			return orShortWrite(err)
		}
		clear(content)
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
	written := s.header.version
	if err := s.writeHeader(freeHeader()); err != nil {
		return err
	}
	s.writeOffset = 0
	if l.inUse = l.inUse[1:]; s.size != l.segmentBytes || written != FormatVersion { // of another configured size, or not stuffed
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
	return l.inUse[0].header.number
}

// OldestVersion returns the format version of the oldest segment in use, or FormatVersion if there is none.
func (l *Log) OldestVersion() int {
	if len(l.inUse) == 0 {
		return FormatVersion
	}
	return int(l.inUse[0].header.version)
}

// StartSegment begins a new segment, whose header tells where the log ended before it.
func (l *Log) StartSegment() error {
	s, err := l.activateSegment()
	if err == nil && l.sync {
		err = s.file.Sync()
	}
	return err
}

// NewestSegment returns the number of the active segment, or 0 if there is none.
func (l *Log) NewestSegment() int {
	if s := l.active(); s != nil {
		return s.header.number
	}
	return 0
}

// LastSeq returns the sequence number of the last record. It does not decrease while the log is open. After the log is opened again it
// is at least that of the last successful write, unless that is damaged.
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
