package ledger

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"

	"orchiddrift/message"
)

// Kind says what a record tells of its notification.
type Kind byte

// The kinds of record.
const (
	Accepted       Kind = iota + 1 // taken on, with all of it
	CallStarted                    // a push is about to be written
	CallNotRun                     // the call that it names never ran
	CallMayHaveRun                 // the call that it names may have run
	NoticePending                  // it is to be ended by a notice
	Completed                      // nothing more is owed
	Batch                          // several records in one: they are there whole or not at all
)

// Record is one line of the ledger.
type Record struct {
	Kind       Kind
	ID         string
	Message    *message.Message // Taken
	StartedAt  float64          // Began: when
	Endpoint   string           // Began: the endpoint
	Zone       string           // Began: the endpoint's zone, as listed then
	CallNumber uint64           // Began, NotRun, MayRun: the call's number; 0 in records of versions that had none
	Unsent     bool             // NotRun: nothing of it was sent, and it counts as no push
	Outcome    string           // Noticed: its wording
	RetryIn    float64          // Noticed: seconds, 0 for none
	Pushes     int              // Taken: pushes so far, where a group tells again all that is needed of it
	Seq        int              // Taken: its place in the order of takings
	Parts      []Record         // Group
	size       int              // bytes that it takes, as it was read
}

var errTorn = errors.New("torn record")

// Records of earlier versions lack the fields that came later: a Taken ends before Seq, or before RanZone and RanCall, a
// Began before Zone, a NotRun and a MayRun before Call. Those versions pass over what they do not know.

// encode appends a record's fields to b.
func encode(b []byte, r Record) []byte {
	b = append(b, byte(r.Kind))
	b = putText(b, r.ID)
	switch r.Kind {
	case Accepted:
		m := r.Message
		for _, s := range []string{m.Topic, m.Tenant, m.Dest, m.Key, m.IdempotencyKey, m.RanTo} {
			b = putText(b, s)
		}
		b = append(binary.AppendUvarint(b, uint64(len(m.Body))), m.Body...)
		b = putFloat(putFloat(b, m.ExpiresAt), m.RanAt)
		b = binary.AppendUvarint(b, uint64(r.Pushes))
		b = binary.AppendUvarint(b, uint64(r.Seq))
		if m.RanAt > 0 {
			b = binary.AppendUvarint(putText(b, m.RanZone), m.RanCall)
		}
	case Batch:
		for _, part := range r.Parts {
			b = putText(b, string(encode(nil, part)))
		}
	case CallStarted:
		b = putText(putText(putFloat(b, r.StartedAt), r.Endpoint), r.Zone)
		b = binary.AppendUvarint(b, r.CallNumber)
	case CallNotRun, CallMayHaveRun:
		b = binary.AppendUvarint(b, r.CallNumber)
		b = append(b, flag(r.Unsent))
	case NoticePending:
		b = putFloat(putText(b, r.Outcome), r.RetryIn)
	}
	return b
}

// decode reads a record's fields. It keeps no part of b.
func decode(b []byte) (Record, error) {
	if len(b) == 0 {
		return Record{}, errTorn
	}
	f := &fields{b: b[1:]}
	r := Record{Kind: Kind(b[0]), ID: f.text()}
	switch r.Kind {
	case Accepted:
		m := &message.Message{}
		m.ID = r.ID
		for _, s := range []*string{&m.Topic, &m.Tenant, &m.Dest, &m.Key, &m.IdempotencyKey, &m.RanTo} {
			*s = f.text()
		}
		m.Body = []byte(f.text())
		m.ExpiresAt, m.RanAt = f.float(), f.float()
		if r.Message, r.Pushes = m, int(f.uint()); len(f.b) > 0 { // the old single file has no such number
			r.Seq = int(f.uint())
		}
		if len(f.b) > 0 {
			m.RanZone, m.RanCall = f.text(), f.uint()
		}
	case Batch:
		for len(f.b) > 0 {
			text := f.text()
			part, err := decode([]byte(text))
			if err != nil || part.Kind == Batch {
				return Record{}, errTorn
			}
			part.size = len(text)
			r.Parts = append(r.Parts, part)
		}
	case CallStarted:
		r.StartedAt, r.Endpoint = f.float(), f.text()
		if len(f.b) > 0 {
			r.Zone, r.CallNumber = f.text(), f.uint()
		}
	case CallNotRun, CallMayHaveRun:
		if len(f.b) > 0 {
			r.CallNumber, r.Unsent = f.uint(), f.uint() > 0
		}
	case NoticePending:
		r.Outcome, r.RetryIn = f.text(), f.float()
	}
	if f.short || r.Kind < Accepted || r.Kind > Batch {
		return Record{}, errTorn
	}
	return r, nil
}

// frame is a record's length and checksum in the file that was the whole ledger before there were segments.
const frame = 8

// decodeOld reads the first record of such a file and tells its length.
func decodeOld(b []byte) (Record, int, error) {
	if len(b) < frame {
		return Record{}, 0, errTorn
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n < 1 || n > len(b)-frame || crc32.ChecksumIEEE(b[frame:frame+n]) != binary.LittleEndian.Uint32(b[4:]) {
		return Record{}, 0, errTorn
	}
	r, err := decode(b[frame : frame+n])
	return r, frame + n, err
}

func putText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func putFloat(b []byte, v float64) []byte {
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(v))
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// fields reads a record's fields one after another; short tells that it held too little.
type fields struct {
	b     []byte
	short bool
}

func (f *fields) uint() uint64 {
	v, n := binary.Uvarint(f.b)
	if n <= 0 {
		f.short, f.b = true, nil
		return 0
	}
	f.b = f.b[n:]
	return v
}

func (f *fields) text() string {
	n := f.uint()
	if n > uint64(len(f.b)) {
		f.short, f.b = true, nil
		return ""
	}
	s := string(f.b[:n])
	f.b = f.b[n:]
	return s
}

func (f *fields) float() float64 {
	if len(f.b) < 8 {
		f.short, f.b = true, nil
		return 0
	}
	v := math.Float64frombits(binary.LittleEndian.Uint64(f.b))
	f.b = f.b[8:]
	return v
}
