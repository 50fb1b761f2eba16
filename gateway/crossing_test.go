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

// A message comes twice before the first one's record is written, and the write fails: both are refused, nothing is
// promised. Once the disk takes records again it is taken on like any other.
func Example_twiceUnwritten() {
	folder := faulty.New()
	book, _, _, err := ledger.Open(folder, ledger.Options{Limit: 3e6})
	if err != nil {
		panic(err)
	}
	r := runner(book, func() float64 { return 1000 })
	replies := make(chan bool, 9)
	hand := func() {
		r.Post(gateway.Arrived{Message: reading(1020), Reply: func(a gateway.Reply) { replies <- a.Accepted }})
	}
	run := func() {
		stop := make(chan struct{})
		close(stop)
		r.Run(stop) // one batch: all that waits is taken in before a record is written
		for len(replies) > 0 {
			fmt.Println("taken", <-replies)
		}
	}
	folder.WriteErr = errors.New("the disk is gone")
	hand()
	hand()
	run()
	folder.WriteErr = nil
	hand()
	hand()
	run()
	_, owed, _, _ := ledger.Open(folder, ledger.Options{Limit: 3e6, ReadOnly: true})
	fmt.Println("owed", len(owed))
	// Output:
	// taken false
	// taken false
	// taken true
	// taken true
	// owed 1
}

// After a start no push goes out by the list known before, as long as discovery may still tell what changed: an endpoint
// that drained meanwhile gets none. Where nothing is told, the time that was set ends the wait; a loss does so as well.
func Example_firstWord() {
	b := newBench("A1")
	b.g.AwaitFirstList(1000.5)
	b.take("reading", "A1", "A2")
	b.at(0.1)
	b.step(gateway.Listed{Endpoints: []directory.Endpoint{b.line("A1", directory.Draining), b.line("A2", directory.Ready)}})
	b.at(0.2)
	b = newBench("A1")
	b.g.AwaitFirstList(1000.5)
	b.take("reading", "A1")
	b.at(0.1)
	b.at(0.5)
	b = newBench("A1")
	b.g.AwaitFirstList(1000.5)
	b.take("reading", "A1")
	b.step(gateway.ListLost{})
	b.at(0.1)
	// Output:
	// 0.00  accept A1
	// 0.00  accept A2
	// 0.20  dial A2 for A1+A2 within 1.50
	// 0.20  nothing to wait for
	// 0.00  accept A1
	// 0.50  dial A1 for A1 within 1.50
	// 0.50  nothing to wait for
	// 0.00  accept A1
	// 0.10  dial A1 for A1 within 1.50
	// 0.10  nothing to wait for
}

// A repeat whose record takes the ledger so long that its mark is forgotten meanwhile does not leave, also not on a
// connection that was there already: the first write takes 1.5 s here, and the mark is known for one more second.
func Example_lateRepeat() {
	for _, slow := range []float64{0, 1.5} {
		asked := make(chan string, 9)
		partner := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { asked <- r.Header.Get("X-Call-Id") }))
		folder := faulty.New()
		book, _, _, err := ledger.Open(folder, ledger.Options{Limit: 3e6})
		if err != nil {
			panic(err)
		}
		a := reading(1020)
		a.Topic, a.IdempotencyKey, a.RanAt, a.RanTo, a.Pushes = "tally", "m1", 996, "A", 1
		if err := book.Write(ledger.Record{Kind: ledger.Accepted, ID: "A1", Message: a}); err != nil {
			panic(err)
		}
		before := folder.Writes
		r := runner(book, func() float64 { return 1000 + slow*float64(min(1, folder.Writes-before)) }, strings.TrimPrefix(partner.URL, "http://"))
		r.Restore([]ledger.Pending{{Message: a}})
		_, sent := runUntil(r, asked)
		fmt.Println("sent", sent)
		partner.Close()
	}
	// Output:
	// sent true
	// sent false
}

// No descriptor for a new connection: what rests is closed for it, the push is made again, and nothing is held against
// the endpoint.
func Example_noSocket() {
	b := newBench("A1", "B1")
	b.take("reading", "B1")
	b.at(0)
	b.open("B1")
	b.end("B1", push.CallResult{Ends: []push.End{push.Delivered}, Reusable: true})
	b.take("reading", "A1")
	b.at(0.1)
	b.step(gateway.Dialed{Call: b.calls["A1"], End: push.NoSocket})
	b.at(0.2)
	// Output:
	// 0.00  accept B1
	// 0.00  dial B1 for B1 within 1.50
	// 0.00  nothing to wait for
	// 0.00  begin B1 to B1 within 4.00, keep began B1 #1
	// 0.00  keep over B1
	// 0.00  accept A1
	// 0.10  dial A1 for A1 within 1.50
	// 0.10  shut
	// 0.20  dial A1 for A1 within 1.50
}

// A message whose record was written, but not synced, and could not be wiped either was refused, and pushed by the next process, which
// read the record. Seen by this test on the folder: refused at once, then owed. The refusal is told now once no process can read
// the record; until then its client hears nothing.
func TestRefusedOnceSettled(t *testing.T) {
	for _, heals := range []bool{true, false} {
		folder := faulty.New()
		book, _, _, err := ledger.Open(folder, ledger.Options{Limit: 3e6, Sync: true})
		if err != nil {
			t.Fatal(err)
		}
		folder.SyncErr, folder.FailWritesAfterSyncErr = syscall.EIO, true
		now := 1000.0
		r := runner(book, func() float64 { return now }, "127.0.0.1:1")
		var replies []gateway.Reply
		r.Post(gateway.Arrived{Message: reading(1020), Reply: func(reply gateway.Reply) { replies = append(replies, reply) }})
		loop := func() {
			stop := make(chan struct{})
			time.AfterFunc(200*time.Millisecond, func() { close(stop) })
			r.Run(stop)
		}
		loop()
		if len(replies) > 0 {
			t.Errorf("answered %+v while the next process would push it", replies)
		}
		if heals {
			folder.SyncErr, folder.WriteErr = nil, nil
		} else {
			now = 1020.1 // nobody can push it any more
		}
		loop()
		if len(replies) != 1 || replies[0].Accepted || replies[0].Reason != gateway.LedgerFailed {
			t.Errorf("heals %v: answered %+v", heals, replies)
		}
		if _, owed, _, err := ledger.Open(folder.Restart(), ledger.Options{Limit: 3e6, Sync: true}); err != nil || heals && len(owed) > 0 {
			t.Errorf("heals %v: the next process owes %d, %v", heals, len(owed), err)
		}
	}
}
