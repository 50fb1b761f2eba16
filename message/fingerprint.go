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
	var h maphash.Hash
	h.SetSeed(fingerprintKey)
	var length [8]byte
	for _, field := range []string{m.Topic, m.Tenant, m.Dest, m.Key, m.IdempotencyKey} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.WriteString(field)
	}
	_, _ = h.Write(m.Body)
	return Fingerprint(h.Sum64())
}
