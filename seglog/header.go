package seglog

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Layout of a segment's header. Version 1 ends with the first checksum; later versions keep that part as it is, so that each version can
// tell which one wrote a file.
const (
	// FormatVersion is the version of the segment format that is written. Segments of version 1 are read; others are not.
	FormatVersion = 2

	// HeaderSize is the size of a segment's header, in bytes.
	HeaderSize = 36

	magic             = "ODLG" // first bytes of the header
	versionOffset     = 4
	numberOffset      = 8
	baseSeqOffset     = 12
	checksumOffset    = 20 // of the bytes before it
	saltOffset        = 24
	endChecksumOffset = 32 // of the bytes before it
	checksumSize      = 4
)

// segmentHeader is the header of a segment file.
type segmentHeader struct {
	version byte   // 0 if the file has no valid header
	number  int    // number of the segment; 0 if the file is free
	baseSeq uint64 // sequence number of the last record before the segment
	salt    uint64 // drawn anew each time the file is used; 0 in version 1
}

// newHeader returns the header of a segment that begins now, with a new salt.
func newHeader(number int, baseSeq uint64) segmentHeader {
	var salt [8]byte
	_, _ = rand.Read(salt[:]) // never fails
	return segmentHeader{FormatVersion, number, baseSeq, binary.LittleEndian.Uint64(salt[:])}
}

// freeHeader returns the header of a file that holds no records.
func freeHeader() segmentHeader { return segmentHeader{version: FormatVersion} }

// encode returns the header's bytes.
func (h segmentHeader) encode() []byte {
	b := make([]byte, HeaderSize)
	copy(b, magic)
	b[versionOffset] = h.version
	binary.LittleEndian.PutUint32(b[numberOffset:], uint32(h.number))
	binary.LittleEndian.PutUint64(b[baseSeqOffset:], h.baseSeq)
	binary.LittleEndian.PutUint32(b[checksumOffset:], crc32.Checksum(b[:checksumOffset], crcTable))
	binary.LittleEndian.PutUint64(b[saltOffset:], h.salt)
	binary.LittleEndian.PutUint32(b[endChecksumOffset:], crc32.Checksum(b[:endChecksumOffset], crcTable))
	return b
}

// hasChecksum reports whether the bytes before an offset have their checksum there.
func hasChecksum(b []byte, offset int) bool {
	return len(b) >= offset+checksumSize && crc32.Checksum(b[:offset], crcTable) == binary.LittleEndian.Uint32(b[offset:])
}

// decodeHeader decodes the first bytes of a file. Without a valid header, which has version 0 then, a file was never used, or a write of
// its header was interrupted, and it holds no records.
func decodeHeader(b []byte) (segmentHeader, error) {
	if len(b) < headerSizeV1 || string(b[:len(magic)]) != magic || !hasChecksum(b, checksumOffset) {
		return segmentHeader{}, nil
	}
	h := segmentHeader{version: b[versionOffset], number: int(binary.LittleEndian.Uint32(b[numberOffset:])),
		baseSeq: binary.LittleEndian.Uint64(b[baseSeqOffset:])}
	switch h.version {
	case versionOne:
		return h, nil
	case FormatVersion:
		if !hasChecksum(b, endChecksumOffset) {
			return segmentHeader{}, nil
		}
		h.salt = binary.LittleEndian.Uint64(b[saltOffset:])
		return h, nil
	}
	return segmentHeader{}, fmt.Errorf("%w: got %d, want at most %d", ErrVersion, h.version, FormatVersion)
}

// readHeader reads the header of a file into s.
func (s *segment) readHeader() error {
	b := make([]byte, HeaderSize)
	n, err := s.file.ReadAt(b, 0)
	if n < len(b) && err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	s.header, err = decodeHeader(b[:n])
	return err
}

// writeHeader writes the header of a file. The header is only set in s if that succeeds.
func (s *segment) writeHeader(h segmentHeader) error {
	b := h.encode()
	if n, err := s.file.WriteAt(b, 0); n < len(b) || err != nil {
		return fmt.Errorf("%s: %w", s.name, orShortWrite(err))
	}
	s.header = h
	return nil
}
