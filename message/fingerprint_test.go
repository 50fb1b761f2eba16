package message_test

import (
	"bytes"
	"testing"

	"orchiddrift/message"
)

// newMessage returns a message with all fields set.
func newMessage() *message.Message {
	m := &message.Message{ExpiresAt: 1000, IdempotencyKey: "mark", Body: bytes.Repeat([]byte("a"), 64<<10)}
	m.ID, m.Topic, m.Tenant, m.Dest, m.Key = "m1", "order", "acme", "7", "account"
	return m
}

// Guards against two requests that are taken for one because they differ in one field, in the last byte of the body, or in where a
// field ends, and against one request that is taken for two because it comes with another time to live.
func TestFingerprint(t *testing.T) {
	for name, change := range map[string]func(m *message.Message){
		"topic":           func(m *message.Message) { m.Topic = "status" },
		"tenant":          func(m *message.Message) { m.Tenant = "other" },
		"destination":     func(m *message.Message) { m.Dest = "8" },
		"key":             func(m *message.Message) { m.Key = "" },
		"idempotency key": func(m *message.Message) { m.IdempotencyKey = "mark2" },
		"last byte":       func(m *message.Message) { m.Body[len(m.Body)-1] = 'b' },
		"no body":         func(m *message.Message) { m.Body = nil },
		"shorter body":    func(m *message.Message) { m.Body = m.Body[1:] },
		"end of a field":  func(m *message.Message) { m.Topic, m.Tenant = "ordera", "cme" },
		"end of the key":  func(m *message.Message) { m.IdempotencyKey, m.Body = "marka", m.Body[1:] },
	} {
		changed := newMessage()
		if change(changed); changed.Fingerprint() == newMessage().Fingerprint() {
			t.Errorf("%s: the same fingerprint", name)
		}
	}
	again := newMessage()
	again.ExpiresAt, again.TimeLeft, again.Pushes, again.FirstRunCall = 900, 3, 2, 5
	if again.Fingerprint() != newMessage().Fingerprint() {
		t.Error("the same request has two fingerprints")
	}
}
