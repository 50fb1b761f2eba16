// Package message defines a notification as decoded from a client's request.
package message

import "orchiddrift/decide"

// Message is a notification with the content that is sent to its endpoint.
type Message struct {
	decide.Notification
	ExpiresAt      float64 // end of the TTL, in Unix seconds
	IdempotencyKey string  // "" for none
	Body           []byte
	FirstRunCall   uint64 // number of the call that FirstRunAt refers to; 0 if unknown
	fingerprint    Fingerprint
	hasFingerprint bool // fingerprint is set
}

// Size returns the length of the message's body and texts, in bytes.
func (m *Message) Size() int {
	return len(m.Body) + len(m.ID) + len(m.Topic) + len(m.Tenant) + len(m.Dest) + len(m.Key) + len(m.IdempotencyKey)
}
