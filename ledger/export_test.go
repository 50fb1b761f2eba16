package ledger

import (
	"encoding/binary"
	"hash/crc32"
)

// OldFile writes records as the single file held them before there were segments.
func OldFile(records ...Record) []byte {
	var b []byte
	for _, r := range records {
		body := encode(nil, r)
		if r.Kind == Accepted {
			body = body[:len(body)-1] // it had no number of its own, which is 0 here and takes one byte
		}
		b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
		b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(body))
		b = append(b, body...)
	}
	return b
}
