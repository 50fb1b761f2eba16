package gateway_test

import (
	"testing"
	"time"

	"orchiddrift/gateway"
	"orchiddrift/ledger"
	"orchiddrift/message"
	"orchiddrift/push"
)

// requestFor returns the message of a request with the ID A1, changed.
func requestFor(change func(m *message.Message)) *message.Message {
	m := &message.Message{ExpiresAt: 1020, IdempotencyKey: "mark", Body: []byte("content")}
	m.ID, m.Topic, m.Tenant, m.Dest, m.Key = "A1", "order", "acme", "A", "k"
	if change != nil {
		change(m)
	}
	return m
}

// otherRequests are changes that make another request of a request with the same ID.
var otherRequests = map[string]func(m *message.Message){
	"body":            func(m *message.Message) { m.Body = []byte("other") },
	"last byte":       func(m *message.Message) { m.Body = []byte("contenu") },
	"empty body":      func(m *message.Message) { m.Body = nil },
	"topic":           func(m *message.Message) { m.Topic = "reading" },
	"tenant":          func(m *message.Message) { m.Tenant = "other" },
	"destination":     func(m *message.Message) { m.Dest = "B" },
	"key":             func(m *message.Message) { m.Key = "l" },
	"idempotency key": func(m *message.Message) { m.IdempotencyKey = "mark2" },
}

// idStates bring a gateway into a state in which the request with the ID A1 is known.
var idStates = map[string]func(f *fixture){
	"pending": func(f *fixture) { f.gateway.Step(f.now, gateway.Arrived{Message: requestFor(nil)}) },
	"settled": func(f *fixture) {
		f.gateway.Step(f.now, gateway.Arrived{Message: requestFor(nil)})
		effects, _ := f.gateway.PlaceDue(f.now)
		call := effects[0].(gateway.Dial).Call
		f.gateway.Step(f.now, gateway.Dialed{Call: call, Conn: f.newConn()})
		f.gateway.Step(f.now, gateway.CallEnded{Call: call, Result: push.UniformResult(1, push.Delivered)})
		if f.gateway.Pending() > 0 {
			panic("not settled")
		}
	},
	"notice pending": func(f *fixture) {
		f.gateway.Restore(f.now, []ledger.Pending{{Message: requestFor(nil), Notice: &ledger.Record{Kind: ledger.NoticePending, ID: "A1"}}})
	},
	"restored": func(f *fixture) { f.gateway.Restore(f.now, []ledger.Pending{{Message: requestFor(nil)}}) },
}

// answerTo returns the reply to a request, and whether it comes with no record to be written first.
func answerTo(f *fixture, m *message.Message) (gateway.Reply, bool) {
	for _, e := range f.gateway.Step(f.now, gateway.Arrived{Message: m}) {
		if answer, ok := e.(gateway.Answer); ok {
			return answer.Reply, true
		}
	}
	return gateway.Reply{}, false
}

// Guards against a message that is lost although it was answered as accepted: its ID is that of another request, which is pending or
// settled. The same request once more, with another time to live, is answered as accepted.
func TestIDOfAnotherRequest(t *testing.T) {
	for state, prepare := range idStates {
		for name, change := range otherRequests {
			f := newFixture("A", "B")
			prepare(f)
			pending := f.gateway.Pending()
			reply, ok := answerTo(f, requestFor(change))
			if !ok || reply.Accepted || reply.Reason != gateway.IDInUse {
				t.Errorf("%s, other %s: answered %v, %+v", state, name, ok, reply)
			}
			if f.gateway.Pending() != pending {
				t.Errorf("%s, other %s: %d messages pending, want %d", state, name, f.gateway.Pending(), pending)
			}
			reply, ok = answerTo(f, requestFor(func(m *message.Message) { m.ExpiresAt -= 3 }))
			if !ok || !reply.Accepted {
				t.Errorf("%s, after other %s: the same request is answered %v, %+v", state, name, ok, reply)
			}
		}
	}
}

// Guards against an ID that stays in use although its request was refused, or its message could not be stored, or its TTL has ended.
func TestIDOfAnEndedRequest(t *testing.T) {
	other := func() *message.Message { return requestFor(otherRequests["body"]) }
	f := newFixture("A")
	f.gateway.Step(f.now, gateway.Arrived{Message: requestFor(nil)})
	f.gateway.Step(f.now, gateway.AcceptFailed{ID: "A1"})
	if _, answered := answerTo(f, other()); answered {
		t.Error("not taken on after the first one could not be stored")
	}
	f = newFixture("A")
	f.hasRoom = false
	f.gateway.Step(f.now, gateway.Arrived{Message: requestFor(nil)})
	f.hasRoom = true
	if _, answered := answerTo(f, other()); answered {
		t.Error("not taken on after the first one was refused")
	}
	f = newFixture("A")
	idStates["settled"](f)
	f.now += 21
	f.gateway.Step(f.now, gateway.Listed{})
	m := other()
	m.ExpiresAt += 20
	if _, answered := answerTo(f, m); answered {
		t.Error("not taken on after the TTL of the first one")
	}
}

// Guards against a message that runs twice because its request comes again after its short TTL: a copy that waited unread on another
// connection has the time that its client allowed still before it.
func TestCopyAfterTheEndOfItsTime(t *testing.T) {
	f := newFixture("A")
	short := func(m *message.Message) { m.ExpiresAt = f.now + 0.1 }
	f.gateway.Step(f.now, gateway.Arrived{Message: requestFor(short)})
	effects, _ := f.gateway.PlaceDue(f.now)
	call := effects[0].(gateway.Dial).Call
	f.gateway.Step(f.now, gateway.Dialed{Call: call, Conn: f.newConn()})
	f.gateway.Step(f.now, gateway.CallEnded{Call: call, Result: push.UniformResult(1, push.Delivered)})
	for range 4 {
		f.now++
		f.gateway.Step(f.now, gateway.Listed{})
		if reply, answered := answerTo(f, requestFor(short)); !answered || !reply.Accepted || f.gateway.Pending() > 0 {
			t.Fatalf("at %g s the request is taken on once more: %v, %+v", f.now-1000, answered, reply)
		}
	}
}

// Guards against replies that are mixed up where two requests with one ID are taken in at once, and the write of the first one's
// record fails: the other one is refused at once, and the same request once more is not confirmed.
func TestIDOfARequestThatIsNotStored(t *testing.T) {
	r := newDiskFixture(t, time.Now())
	r.failWrites.Store(true)
	r.blocked.Lock()
	r.Post(gateway.NoticeAnswered{ID: "earlier"})
	time.Sleep(50 * time.Millisecond) // the loop waits in the write that follows from it: the next events are taken in together
	replies := map[string]chan gateway.Reply{}
	submit := func(name string, m *message.Message) {
		reply := make(chan gateway.Reply, 1)
		replies[name] = reply
		r.Post(gateway.Arrived{Message: m, Respond: func(answer gateway.Reply) { reply <- answer }})
	}
	other := newMessage(1020)
	other.Body = []byte("other")
	submit("first", newMessage(1020))
	submit("same", newMessage(1020))
	submit("other", other)
	r.blocked.Unlock()
	for name, want := range map[string]gateway.Refusal{"first": gateway.LedgerFailed, "same": gateway.LedgerFailed, "other": gateway.IDInUse} {
		select {
		case reply := <-replies[name]:
			if reply.Accepted || reply.Reason != want {
				t.Errorf("%s: %+v, want %s", name, reply, want)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s: no reply", name)
		}
	}
	r.failWrites.Store(false)
	r.stop()
	if n := r.pendingAfterRestart(t); n != 0 {
		t.Errorf("%d messages pending after a restart, want none", n)
	}
}
