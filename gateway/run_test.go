package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/disk"
	"orchiddrift/disk/faulty"
	"orchiddrift/gateway"
	"orchiddrift/ledger"
	"orchiddrift/message"
)

// What was told before the process ends is in the ledger, whichever the loop looks at first: of notifications whose
// notice was answered none is owed after the restart.
func Example_last() {
	owed := 0
	for range 32 {
		dir, err := os.MkdirTemp("", "last")
		if err != nil {
			panic(err)
		}
		folder, _ := disk.OpenDir(dir)
		book, _, _, err := ledger.Open(folder, ledger.Options{Limit: 3e6})
		if err != nil {
			panic(err)
		}
		r := runner(book, func() float64 { return 1000 })
		a := reading(1020)
		if err := book.Write(ledger.Record{Kind: ledger.Accepted, ID: "A1", Message: a}); err != nil {
			panic(err)
		}
		r.Restore([]ledger.Pending{{Message: a}})
		r.Post(gateway.NoticeAnswered{ID: "A1"})
		stop := make(chan struct{})
		close(stop)
		r.Run(stop)
		_, list, _, _ := ledger.Open(folder, ledger.Options{Limit: 3e6, ReadOnly: true})
		owed += len(list)
		_ = os.RemoveAll(dir)
	}
	fmt.Println("owed", owed)
	// Output:
	// owed 0
}

// A call tells its endpoint the time that is left as it is sent: each write to the disk takes half a second here, and
// those before the push come off. Where nothing is left, nothing is sent.
func Example_leftAsSent() {
	for _, until := range []float64{1020, 1001.7} {
		asked := make(chan string, 1)
		partner := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { asked <- r.Header.Get("X-Budget") }))
		folder := faulty.New()
		book, _, _, err := ledger.Open(folder, ledger.Options{Limit: 3e6})
		if err != nil {
			panic(err)
		}
		before := folder.Writes
		r := runner(book, func() float64 { return 1000 + 0.5*float64(folder.Writes-before) }, strings.TrimPrefix(partner.URL, "http://"))
		a := reading(until)
		r.Post(gateway.Arrived{Message: a, Reply: func(gateway.Reply) {}})
		if left, ok := runUntil(r, asked); ok {
			fmt.Println("told", left)
		} else {
			fmt.Println("not sent")
		}
		partner.Close()
	}
	// Output:
	// told 3000m
	// not sent
}

// runUntil runs the loop until the endpoint was asked, or could have been, and tells what it was asked.
func runUntil(r *gateway.Runner, asked <-chan string) (what string, ok bool) {
	stop, ended := make(chan struct{}), make(chan bool)
	go func() { r.Run(stop); close(ended) }()
	select {
	case what = <-asked:
		ok = true
	case <-time.After(200 * time.Millisecond):
	}
	close(stop)
	<-ended
	return what, ok
}

// runner runs a gateway over a ledger, by a clock, with destination A behind the addresses.
func runner(book *ledger.Ledger, clock func() float64, addrs ...string) *gateway.Runner {
	known := directory.New()
	for _, addr := range addrs {
		known.Apply([]directory.Endpoint{{ID: addr, Dest: "A", Kind: "bulk", Stage: directory.Ready, Addr: addr}})
	}
	m := decide.New(1, known, []decide.Topic{{Name: "reading", Repeat: decide.Repeatable, Objective: 2, TTL: 20},
		{Name: "tally", Repeat: decide.Collapsible, DedupWindow: 5, DedupScope: "all", Objective: 2, TTL: 20}},
		decide.Capacity{MaxCalls: 6, MaxHeld: 9}, decide.Routes{},
		decide.Recovery{InitialCapacity: 0.2, WarmUp: 10, OverloadFactor: 2, OverloadSpan: 2, Dispatchers: 2}, decide.PushPolicy{MaxPushes: 8, Tick: 0.005}, decide.TenantQuotas{}, false)
	return &gateway.Runner{Gateway: gateway.New(m, known, book.HasRoom, nil, nil, 1), Ledger: book, Log: zerolog.Nop(),
		Platform: nobody{}, Clock: clock, Events: make(chan gateway.Event, 9)}
}

// reading is a message A1 for destination A.
func reading(until float64) *message.Message {
	m := &message.Message{ExpiresAt: until}
	m.ID, m.Topic, m.Dest = "A1", "reading", "A"
	return m
}

// nobody is a platform that answers nothing.
type nobody struct{}

func (nobody) Watch(func(gateway.Event))                  {}
func (nobody) Fetch(func(gateway.Event))                  {}
func (nobody) Notify(gateway.Notify, func(gateway.Event)) {}
