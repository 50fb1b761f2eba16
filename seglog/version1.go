package seglog

import (
	"encoding/binary"
	"hash/crc32"
)

// Segments of version 1 hold records one behind the other, each as length, checksum, sequence number and content, which is not stuffed.
// What a record holds, or bytes of an earlier use of the file, cannot be told from a record by their looks. So records are read in
// their places only, each where the one before it ends:
//
//   - Behind the last record of the newest segment nothing is searched for. If a record of that segment is damaged, those behind it
//     are lost.
//   - In other segments, of which it is known how many records they hold, reading continues behind a damaged record where its
//     own length says, or where a series of records begins that ends with the segment's last one.
//
// A record of an earlier use that begins exactly where the newest segment's last record ends, with a number that is a little higher,
// cannot be told from one of this use. The first append begins a segment of the current version, whose header tells where version 1 ended.
const (
	versionOne         = 1
	headerSizeV1       = checksumOffset + checksumSize
	recordHeaderSizeV1 = 16
	// maxSeqGapV1 is by how much successive sequence numbers may differ. Failed writes used up a number each.
	maxSeqGapV1 = 1 << 20
)

// recordV1 is a record of a segment of version 1.
type recordV1 struct {
	size    int // with its header, in bytes
	seq     uint64
	content []byte
}

// parseRecordV1 returns the record at the start of b, and reports whether there is one that can follow lastSeq.
func parseRecordV1(b []byte, lastSeq uint64) (recordV1, bool) {
	size := recordSizeV1(b)
	if size == 0 {
		return recordV1{}, false
	}
	seq := binary.LittleEndian.Uint64(b[8:])
	if !isAhead(seq, lastSeq, maxSeqGapV1) || crc32.Checksum(b[8:size], crcTable) != binary.LittleEndian.Uint32(b[4:]) {
		return recordV1{}, false
	}
	return recordV1{size, seq, b[recordHeaderSizeV1:size]}, true
}

// recordSizeV1 returns the size of the record at the start of b as its header tells it, or 0 if b is too short for that.
func recordSizeV1(b []byte) int {
	if len(b) < recordHeaderSizeV1 {
		return 0
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n < 1 || n > len(b)-recordHeaderSizeV1 {
		return 0
	}
	return recordHeaderSizeV1 + n
}

// readRecordsV1 reads the records of a segment of version 1 that holds b.
func (l *Log) readRecordsV1(s *segment, b []byte, end logEnd, v visitor) {
	s.writeOffset = headerSizeV1
	for end.recordsAhead(l.lastSeq) > 0 {
		r, ok := parseRecordV1(b[s.writeOffset:], l.lastSeq)
		if !ok {
			skip := 0
			if end.known {
				skip = skipDamageV1(b[s.writeOffset:], l.lastSeq, end.seq)
			}
			if skip == 0 {
				return
			}
			v.damage(s, s.writeOffset, skip)
			s.writeOffset += skip
			continue
		}
		if r.seq-l.lastSeq > end.recordsAhead(l.lastSeq) { // a record of a failed write
			return
		}
		v.record(s, r.content, r.size)
		l.lastSeq, s.writeOffset = r.seq, s.writeOffset+r.size
	}
}

// skipDamageV1 returns how many bytes of b, which begins with a damaged record, have to be skipped to continue, or 0 if that is unknown.
func skipDamageV1(b []byte, lastSeq, endSeq uint64) int {
	if size := recordSizeV1(b); size > 0 {
		if r, ok := parseRecordV1(b[size:], lastSeq); ok && r.seq == lastSeq+2 {
			return size
		}
	}
	failed := map[int]bool{} // offsets from which no series leads to the end
	for skip := 1; skip < len(b); skip++ {
		if leadsToEndV1(b, skip, lastSeq, endSeq, failed) {
			return skip
		}
	}
	return 0
}

// leadsToEndV1 reports whether a series of records that begins at an offset ends with the one numbered endSeq. It adds the offsets of a
// series that does not to failed.
func leadsToEndV1(b []byte, offset int, lastSeq, endSeq uint64, failed map[int]bool) bool {
	for lastSeq != endSeq {
		if failed[offset] {
			return false
		}
		r, ok := parseRecordV1(b[offset:], lastSeq)
		if !ok {
			return false
		}
		failed[offset] = true
		lastSeq, offset = r.seq, offset+r.size
	}
	return true
}
