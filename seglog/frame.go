package seglog

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A record is stored in a frame: the frame marker, the size of the stuffed bytes, and, stuffed, the checksum, the sequence number and the
// content. The marker is two pairs that stuffing removes, so that it stands nowhere but at the start of a frame, and damage has to
// change two bytes of a record in their right places before one appears in it. The checksum also covers the salt of the segment,
// which is drawn anew each time the file is used: frames of an earlier use of the file do not have it.
const (
	frameLengthSize  = 3                   // bytes of the size of the stuffed bytes, digits of base lengthRadix
	frameHeaderSize  = 4 + frameLengthSize // marker and size
	recordHeaderSize = 12                  // stuffed with the content: checksum, sequence number
	minFrameSize     = frameHeaderSize + recordHeaderSize + lengthSize
)

// RecordOverhead is the number of bytes that a record of up to 64,000 bytes occupies in a segment in addition to its content, at most.
const RecordOverhead = minFrameSize + lengthSize

var frameMarker = []byte{pairFirst, pairSecond, pairFirst, pairSecond}

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// frame is a frame as read from a segment.
type frame struct {
	offset  int // of the frame in the segment, in bytes
	size    int // in bytes
	seq     uint64
	content []byte // only valid until the next frame is read
}

// frameSize returns the largest size of the frame of a record, in bytes.
func frameSize(recordBytes int) int {
	return frameHeaderSize + stuffedSize(recordHeaderSize+recordBytes)
}

// frameWriter encodes records as frames. Its buffers are reused.
type frameWriter struct {
	frame  []byte
	record []byte // copy of a record that has to be cut into pieces
}

// encode returns the frame of a record, which is valid until the next call.
func (w *frameWriter) encode(salt, seq uint64, content []byte) []byte {
	w.frame = append(w.frame[:0], frameMarker...)
	w.frame = append(w.frame, make([]byte, frameLengthSize+lengthSize+recordHeaderSize)...)
	w.frame = append(w.frame, content...)
	record := w.frame[frameHeaderSize+lengthSize:]
	binary.LittleEndian.PutUint64(record[4:], seq)
	binary.LittleEndian.PutUint32(record, checksum(salt, record[4:]))
	if isOnePiece(record) {
		putDigits(w.frame[frameHeaderSize:], lengthSize, len(record))
	} else {
		w.record = append(w.record[:0], record...)
		w.frame = appendStuffed(w.frame[:frameHeaderSize], w.record)
	}
	putDigits(w.frame[len(frameMarker):], frameLengthSize, len(w.frame)-frameHeaderSize)
	return w.frame
}

// checksum returns the checksum of a sequence number and content in a segment with the given salt.
func checksum(salt uint64, b []byte) uint32 {
	var s [8]byte
	binary.LittleEndian.PutUint64(s[:], salt)
	return crc32.Update(crc32.Checksum(s[:], crcTable), crcTable, b)
}

// frameReader decodes the frames of a segment.
type frameReader struct {
	segment []byte // the segment's file
	salt    uint64
	record  []byte // the last record that had to be copied; reused
}

// at decodes the frame that starts at an offset, and reports whether a valid one does.
func (r *frameReader) at(offset int) (frame, bool) {
	b := r.segment[offset:]
	if len(b) < minFrameSize || !bytes.HasPrefix(b, frameMarker) {
		return frame{}, false
	}
	stuffed := digits(b[len(frameMarker):], frameLengthSize)
	if stuffed > len(b)-frameHeaderSize {
		return frame{}, false
	}
	record, ok := r.unstuff(b[frameHeaderSize : frameHeaderSize+stuffed])
	if !ok || len(record) <= recordHeaderSize || checksum(r.salt, record[4:]) != binary.LittleEndian.Uint32(record) {
		return frame{}, false
	}
	return frame{offset: offset, size: frameHeaderSize + stuffed, seq: binary.LittleEndian.Uint64(record[4:]),
		content: record[recordHeaderSize:]}, true
}

// unstuff returns the record that b is the stuffed form of, and reports whether it is one. A record of one piece is not copied.
func (r *frameReader) unstuff(b []byte) ([]byte, bool) {
	if len(b) >= lengthSize && digits(b, lengthSize) == len(b)-lengthSize && len(b)-lengthSize < maxPiece {
		return b[lengthSize:], true
	}
	var ok bool
	r.record, ok = appendUnstuffed(r.record[:0], b)
	return r.record, ok
}

// next returns the frame at an offset if it continues the log, which has lastSeq, or else the first one behind that offset that the
// bytes in between can have made room for. The log has at most maxAhead further records.
func (r *frameReader) next(offset int, lastSeq, maxAhead uint64) (frame, bool) {
	for start := offset; ; offset++ {
		skip := bytes.Index(r.segment[offset:], frameMarker)
		if skip < 0 {
			return frame{}, false
		}
		offset += skip
		lost := uint64((offset - start) / minFrameSize) // records that may have stood in between
		if f, ok := r.at(offset); ok && isAhead(f.seq, lastSeq, min(1+lost, maxAhead)) {
			return f, true
		}
	}
}

// isAhead reports whether a sequence number is one of the next count ones after last. Numbers wrap around.
func isAhead(seq, last, count uint64) bool { return seq-last-1 < count }
