package message

import (
	"encoding/binary"
	"hash/maphash"
)

// Fingerprint tells messages apart that have the same ID. Fingerprints of one process can be compared with each other; they are keyed,
// so that no client can find a message with the fingerprint of another one.
type Fingerprint uint64

// fingerprintKey is the key of this process.
var fingerprintKey = maphash.MakeSeed()

// Fingerprint returns the fingerprint of what the client asks for: topic, tenant, destination, ordering key, idempotency key and body.
// The time that is left is not part of it, as a client that sends a request once more may allow less. It is computed once: those
// fields must not change afterwards.
func (m *Message) Fingerprint() Fingerprint {
	if !m.hasFingerprint {
		m.fingerprint, m.hasFingerprint = m.computeFingerprint(), true
	}
	return m.fingerprint
}

// computeFingerprint returns the message's fingerprint.
func (m *Message) computeFingerprint() Fingerprint {
	f := NewFingerprinter(m)
	f.Write(m.Body)
	return f.Sum()
}

// Fingerprinter computes the fingerprint of a message whose body comes in parts.
type Fingerprinter struct{ hash maphash.Hash }

// NewFingerprinter returns a Fingerprinter for a message, whose Body it does not use.
func NewFingerprinter(m *Message) *Fingerprinter {
	f := &Fingerprinter{}
	f.hash.SetSeed(fingerprintKey)
	var length [8]byte
	for _, field := range []string{m.Topic, m.Tenant, m.Dest, m.Key, m.IdempotencyKey} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = f.hash.Write(length[:])
		_, _ = f.hash.WriteString(field)
	}
	return f
}

// Write adds the next part of the body.
func (f *Fingerprinter) Write(part []byte) { _, _ = f.hash.Write(part) }

// Sum returns the fingerprint of the message with the body so far.
func (f *Fingerprinter) Sum() Fingerprint { return Fingerprint(f.hash.Sum64()) }

// IDHash stands for the ID of a message where an ID of any length must not take more memory than another. Hashes of one process can be
// compared with each other; they are keyed, so that no client can find two IDs with the same hash.
type IDHash uint64

// HashID returns the hash of an ID.
func HashID(id string) IDHash { return IDHash(maphash.String(fingerprintKey, id)) }
