package ledger

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"

	"orchiddrift/message"
)

// Kind is the kind of a record. Its values are part of the storage format.
type Kind byte

// Kinds of records.
const (
	Accepted       Kind = iota + 1 // a notification was accepted; holds the whole message
	CallStarted                    // a call with the notification is about to be sent
	CallNotRun                     // the call with the given number never ran
	CallMayHaveRun                 // the call with the given number may have run
	NoticePending                  // a notice has to be sent to end the notification
	Completed                      // the notification is completed
	Batch                          // several records, stored atomically
)

// Record is one entry of the ledger. The field comments start with the kinds of records that use the field.
type Record struct {
	Kind         Kind
	ID           string
	Message      *message.Message // Accepted
	StartedAt    float64          // CallStarted: start of the call, in seconds of the dispatcher's clock
	Endpoint     string           // CallStarted: ID of the endpoint
	Zone         string           // CallStarted: zone of the endpoint, as listed at that time
	CallNumber   uint64           // CallStarted, CallNotRun, CallMayHaveRun: 0 in records of versions without call numbers
	Unsent       bool             // CallNotRun: nothing of the call was sent, so that it does not count as a push
	Outcome      string           // NoticePending: outcome that the notice reports
	RetryIn      float64          // NoticePending: seconds, 0 for none
	Pushes       int              // Accepted: pushes so far, when rewritten by compaction
	AcceptedSeq  int              // Accepted: position in the order of acceptance; 0 if not assigned yet
	Parts        []Record         // Batch
	encodedBytes int              // size of the encoded record, in bytes
}

// errTornRecord is returned for bytes that are not a complete and valid record.
var errTornRecord = errors.New("torn or invalid record")

// Records of earlier versions lack the fields added later: Accepted may end before AcceptedSeq, or before FirstRunZone and FirstRunCall,
// CallStarted before Zone, CallNotRun and CallMayHaveRun before CallNumber. Earlier versions ignore the additional fields.

// encode appends the encoded record to b.
func encode(b []byte, r Record) []byte {
	b = append(b, byte(r.Kind))
	b = appendString(b, r.ID)
	switch r.Kind {
	case Accepted:
		m := r.Message
		for _, s := range []string{m.Topic, m.Tenant, m.Dest, m.Key, m.IdempotencyKey, m.FirstRunEndpoint} {
			b = appendString(b, s)
		}
		b = append(binary.AppendUvarint(b, uint64(len(m.Body))), m.Body...)
		b = appendFloat(appendFloat(b, m.ExpiresAt), m.FirstRunAt)
		b = binary.AppendUvarint(b, uint64(r.Pushes))
		b = binary.AppendUvarint(b, uint64(r.AcceptedSeq))
		if m.FirstRunAt > 0 {
			b = binary.AppendUvarint(appendString(b, m.FirstRunZone), m.FirstRunCall)
		}
	case Batch:
		for _, part := range r.Parts {
			b = appendString(b, string(encode(nil, part)))
		}
	case CallStarted:
		b = appendString(appendString(appendFloat(b, r.StartedAt), r.Endpoint), r.Zone)
		b = binary.AppendUvarint(b, r.CallNumber)
	case CallNotRun, CallMayHaveRun:
		b = binary.AppendUvarint(b, r.CallNumber)
		b = append(b, encodeBool(r.Unsent))
	case NoticePending:
		b = appendFloat(appendString(b, r.Outcome), r.RetryIn)
	}
	return b
}

// decode decodes a record. It does not retain b. A Batch within a Batch is invalid.
func decode(b []byte) (Record, error) {
	if len(b) == 0 {
		return Record{}, errTornRecord
	}
	f := &fieldReader{remaining: b[1:]}
	r := Record{Kind: Kind(b[0]), ID: f.readString()}
	switch r.Kind {
	case Accepted:
		m := &message.Message{}
		m.ID = r.ID
		for _, s := range []*string{&m.Topic, &m.Tenant, &m.Dest, &m.Key, &m.IdempotencyKey, &m.FirstRunEndpoint} {
			*s = f.readString()
		}
		m.Body = []byte(f.readString())
		m.ExpiresAt, m.FirstRunAt = f.readFloat(), f.readFloat()
		if r.Message, r.Pushes = m, int(f.readUint()); len(f.remaining) > 0 { // the legacy file has no AcceptedSeq
			r.AcceptedSeq = int(f.readUint())
		}
		if len(f.remaining) > 0 {
			m.FirstRunZone, m.FirstRunCall = f.readString(), f.readUint()
		}
	case Batch:
		for len(f.remaining) > 0 {
			encoded := f.readString()
			part, err := decode([]byte(encoded))
			if err != nil || part.Kind == Batch {
				return Record{}, errTornRecord
			}
			part.encodedBytes = len(encoded)
			r.Parts = append(r.Parts, part)
		}
	case CallStarted:
		r.StartedAt, r.Endpoint = f.readFloat(), f.readString()
		if len(f.remaining) > 0 {
			r.Zone, r.CallNumber = f.readString(), f.readUint()
		}
	case CallNotRun, CallMayHaveRun:
		if len(f.remaining) > 0 {
			r.CallNumber, r.Unsent = f.readUint(), f.readUint() > 0
		}
	case NoticePending:
		r.Outcome, r.RetryIn = f.readString(), f.readFloat()
	}
	if f.truncated || r.Kind < Accepted || r.Kind > Batch {
		return Record{}, errTornRecord
	}
	return r, nil
}

// legacyHeaderSize is the size of a record's header in the legacy file, in bytes: length and checksum.
const legacyHeaderSize = 8

// decodeLegacy decodes the first record in b, in the format of the legacy file. It returns the record and its size with
// the header.
func decodeLegacy(b []byte) (Record, int, error) {
	if len(b) < legacyHeaderSize {
		return Record{}, 0, errTornRecord
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n < 1 || n > len(b)-legacyHeaderSize || crc32.ChecksumIEEE(b[legacyHeaderSize:legacyHeaderSize+n]) != binary.LittleEndian.Uint32(b[4:]) {
		return Record{}, 0, errTornRecord
	}
	r, err := decode(b[legacyHeaderSize : legacyHeaderSize+n])
	return r, legacyHeaderSize + n, err
}

// appendString appends the length of s, as a varint, and s.
func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendFloat appends v in 8 bytes, little-endian.
func appendFloat(b []byte, v float64) []byte {
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(v))
}

// encodeBool returns the encoding of a boolean: 1 for true, 0 for false.
func encodeBool(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// fieldReader reads the encoded fields of a record in order. After the end of the data, all fields are read as zero values.
type fieldReader struct {
	remaining []byte // data not read yet
	truncated bool   // the data ended within a field, or a field was invalid
}

// readUint reads a varint.
func (f *fieldReader) readUint() uint64 {
	v, n := binary.Uvarint(f.remaining)
	if n <= 0 {
		f.truncated, f.remaining = true, nil
		return 0
	}
	f.remaining = f.remaining[n:]
	return v
}

// readString reads a string written by appendString.
func (f *fieldReader) readString() string {
	n := f.readUint()
	if n > uint64(len(f.remaining)) {
		f.truncated, f.remaining = true, nil
		return ""
	}
	s := string(f.remaining[:n])
	f.remaining = f.remaining[n:]
	return s
}

// readFloat reads a number written by appendFloat.
func (f *fieldReader) readFloat() float64 {
	if len(f.remaining) < 8 {
		f.truncated, f.remaining = true, nil
		return 0
	}
	v := math.Float64frombits(binary.LittleEndian.Uint64(f.remaining))
	f.remaining = f.remaining[8:]
	return v
}
