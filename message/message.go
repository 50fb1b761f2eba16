// Package message holds a notification as a client handed it in, decoded once.
package message

import "orchiddrift/decide"

// Message is a notification with what its endpoint gets.
type Message struct {
	decide.Notification
	ExpiresAt      float64 // when its TTL ends, Unix time in seconds
	IdempotencyKey string  // the idempotency key, "" for none
	Body           []byte
	RanCall        uint64 // the number of the call of RanAt, 0 where that is not known
}
