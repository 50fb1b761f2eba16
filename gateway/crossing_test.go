package gateway_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"orchiddrift/directory"
	"orchiddrift/disk/faulty"
	"orchiddrift/gateway"
	"orchiddrift/ledger"
	"orchiddrift/push"
)

// Guards against confirming a duplicate that arrives before the record of its message is written, if that write fails:
// both must be refused. Once the ledger can be written to again, both are accepted, and the message is pending once.
func Example_duplicateWithFailedWrite() {
	folder := faulty.New()
	store, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: 3e6})
	if err != nil {
		panic(err)
	}
	r := newRunner(store, func() float64 { return 1000 })
	replies := make(chan bool, 9)
	submit := func() {
		r.Post(gateway.Arrived{Message: newMessage(1020), Respond: func(reply gateway.Reply) { replies <- reply.Accepted }})
	}
	run := func() {
		stop := make(chan struct{})
		close(stop)
		r.Run(stop) // all queued events are applied before any record is written
		for len(replies) > 0 {
			fmt.Println("accepted", <-replies)
		}
	}
	folder.WriteErr = errors.New("disk failure")
	submit()
	submit()
	run()
	folder.WriteErr = nil
	submit()
	submit()
	run()
	_, pending, _, _ := ledger.Open(folder, ledger.Options{LimitBytes: 3e6, ReadOnly: true})
	fmt.Println("pending", len(pending))
	// Output:
	// accepted false
	// accepted false
	// accepted true
	// accepted true
	// pending 1
}

// Guards against pushing after a start according to the list of the previous process while discovery may have an update:
// an endpoint that has become draining meanwhile must not be called. The wait for the first list ends with a response or
// a failure of discovery, or at the given time.
func Example_awaitFirstList() {
	f := newFixture("A1")
	f.gateway.AwaitFirstList(1000.5)
	f.submit("reading", "A1", "A2")
	f.placeDueAt(0.1)
	f.step(gateway.Listed{Endpoints: []directory.Endpoint{f.endpoint("A1", directory.Draining),
		f.endpoint("A2", directory.Ready)}})
	f.placeDueAt(0.2)
	f = newFixture("A1")
	f.gateway.AwaitFirstList(1000.5)
	f.submit("reading", "A1")
	f.placeDueAt(0.1)
	f.placeDueAt(0.5)
	f = newFixture("A1")
	f.gateway.AwaitFirstList(1000.5)
	f.submit("reading", "A1")
	f.step(gateway.ListLost{})
	f.placeDueAt(0.1)
	// Output:
	// 0.00  accept A1
	// 0.00  accept A2
	// 0.20  dial A2 for A1+A2 within 1.50
	// 0.20  nothing scheduled
	// 0.00  accept A1
	// 0.50  dial A1 for A1 within 1.50
	// 0.50  nothing scheduled
	// 0.00  accept A1
	// 0.10  dial A1 for A1 within 1.50
	// 0.10  nothing scheduled
}

// Guards against sending a repeat after the endpoint has discarded its idempotency key, because the write of its record
// took too long. In the second case the write takes 1.5 s, while the key is kept for one more second. The failure does not
// depend on a new connection.
func Example_repeatAfterSlowWrite() {
	for _, writeTime := range []float64{0, 1.5} {
		requests := make(chan string, 9)
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			requests <- r.Header.Get("X-Call-Id")
		}))
		folder := faulty.New()
		store, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: 3e6})
		if err != nil {
			panic(err)
		}
		m := newMessage(1020)
		m.Topic, m.IdempotencyKey, m.FirstRunAt, m.FirstRunEndpoint, m.Pushes = "tally", "m1", 996, "A", 1
		if err := store.Write(ledger.Record{Kind: ledger.Accepted, ID: "A1", Message: m}); err != nil {
			panic(err)
		}
		before := folder.Writes
		r := newRunner(store, func() float64 { return 1000 + writeTime*float64(min(1, folder.Writes-before)) },
			strings.TrimPrefix(server.URL, "http://"))
		r.Restore([]ledger.Pending{{Message: m}})
		_, sent := runUntil(r, requests)
		fmt.Println("sent", sent)
		server.Close()
	}
	// Output:
	// sent true
	// sent false
}

// If no socket can be opened, idle connections are closed and the push is tried again. This does not count as a failure of
// the endpoint.
func Example_noSocket() {
	f := newFixture("A1", "B1")
	f.submit("reading", "B1")
	f.placeDueAt(0)
	f.connect("B1")
	f.endCall("B1", push.CallResult{Ends: []push.End{push.Delivered}})
	f.leaveIdle("B1")
	f.submit("reading", "A1")
	f.placeDueAt(0.1)
	f.step(gateway.Dialed{Call: f.callByMessage["A1"], End: push.NoSocket})
	f.placeDueAt(0.2)
	// Output:
	// 0.00  accept B1
	// 0.00  dial B1 for B1 within 1.50
	// 0.00  nothing scheduled
	// 0.00  send B1 to B1 within 4.00, write started B1 #1
	// 0.00  write completed B1
	// 0.00  accept A1
	// 0.10  dial A1 for A1 within 1.50
	// 0.10  close
	// 0.20  dial A1 for A1 within 1.50
}

// Guards against refusing a message that the next process pushes: its record was written but neither synced nor
// discarded, so that the next process reads it. The refusal has to wait until no process can read the record, or until the
// message's TTL has ended.
func TestRefusalWaitsForLedger(t *testing.T) {
	for _, recovers := range []bool{true, false} {
		folder := faulty.New()
		store, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: 3e6, Sync: true})
		if err != nil {
			t.Fatal(err)
		}
		folder.SyncErr, folder.FailWritesAfterSyncErr = syscall.EIO, true
		now := 1000.0
		r := newRunner(store, func() float64 { return now }, "127.0.0.1:1")
		var replies []gateway.Reply
		r.Post(gateway.Arrived{Message: newMessage(1020), Respond: func(reply gateway.Reply) { replies = append(replies, reply) }})
		run := func() {
			stop := make(chan struct{})
			time.AfterFunc(200*time.Millisecond, func() { close(stop) })
			r.Run(stop)
		}
		run()
		if len(replies) > 0 {
			t.Errorf("answered %+v although the next process would push the message", replies)
		}
		if recovers {
			folder.SyncErr, folder.WriteErr = nil, nil
		} else {
			now = 1020.1 // the TTL has ended: no process can push it any more
		}
		run()
		if len(replies) != 1 || replies[0].Accepted || replies[0].Reason != gateway.LedgerFailed {
			t.Errorf("ledger recovers %v: answered %+v", recovers, replies)
		}
		if _, pending, _, err := ledger.Open(folder.Restart(), ledger.Options{LimitBytes: 3e6, Sync: true}); err != nil ||
			recovers && len(pending) > 0 {
			t.Errorf("ledger recovers %v: %d messages pending after the restart, %v", recovers, len(pending), err)
		}
	}
}
