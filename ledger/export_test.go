package ledger

import (
	"encoding/binary"
	"hash/crc32"
)

// LegacyFile returns the content of a legacy file with the given records.
func LegacyFile(records ...Record) []byte {
	var b []byte
	for _, r := range records {
		encoded := encode(nil, r)
		if r.Kind == Accepted {
			encoded = encoded[:len(encoded)-1] // the legacy format has no AcceptedSeq, which is 0 here and takes one byte
		}
		b = binary.LittleEndian.AppendUint32(b, uint32(len(encoded)))
		b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(encoded))
		b = append(b, encoded...)
	}
	return b
}

// EncodeRecord returns the encoded form of a record.
func EncodeRecord(r Record) []byte { return encode(nil, r) }

// IndexedNotifications returns how many notifications the lists of the segments hold.
func (l *Ledger) IndexedNotifications() int {
	n := 0
	for _, list := range l.bySegment {
		for _, p := range list {
			if p != nil {
				n++
			}
		}
	}
	return n
}
