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

// Guards against losing events that were queued when the process ends: a message whose notice was answered must not be
// pending after the restart. The loop may see the stop before the event, so the test runs several times.
func Example_drainEventsOnStop() {
	pending := 0
	for range 32 {
		dir, err := os.MkdirTemp("", "drain")
		if err != nil {
			panic(err)
		}
		folder, _ := disk.OpenDir(dir)
		store, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: 3e6})
		if err != nil {
			panic(err)
		}
		r := newRunner(store, func() float64 { return 1000 })
		m := newMessage(1020)
		if err := store.Write(ledger.Record{Kind: ledger.Accepted, ID: "A1", Message: m}); err != nil {
			panic(err)
		}
		r.Restore([]ledger.Pending{{Message: m}})
		r.Post(gateway.NoticeAnswered{ID: "A1"})
		stop := make(chan struct{})
		close(stop)
		r.Run(stop)
		_, list, _, _ := ledger.Open(folder, ledger.Options{LimitBytes: 3e6, ReadOnly: true})
		pending += len(list)
		_ = os.RemoveAll(dir)
	}
	fmt.Println("pending", pending)
	// Output:
	// pending 0
}

// Guards against sending an outdated budget: each write takes half a second here, and the writes before the push reduce
// the budget. If no time is left, the call is not sent.
func Example_budgetWhenSent() {
	for _, expiresAt := range []float64{1020, 1001.7} {
		requests := make(chan string, 1)
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			requests <- r.Header.Get("X-Budget")
		}))
		folder := faulty.New()
		store, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: 3e6})
		if err != nil {
			panic(err)
		}
		before := folder.Writes
		r := newRunner(store, func() float64 { return 1000 + 0.5*float64(folder.Writes-before) },
			strings.TrimPrefix(server.URL, "http://"))
		m := newMessage(expiresAt)
		r.Post(gateway.Arrived{Message: m, Respond: func(gateway.Reply) {}})
		if left, ok := runUntil(r, requests); ok {
			fmt.Println("budget", left)
		} else {
			fmt.Println("not sent")
		}
		server.Close()
	}
	// Output:
	// budget 3000m
	// not sent
}

// runUntil runs the loop until the endpoint gets a request, or for 200 ms, and returns the value that was received.
func runUntil(r *gateway.Runner, requests <-chan string) (value string, ok bool) {
	stop, done := make(chan struct{}), make(chan bool)
	go func() { r.Run(stop); close(done) }()
	select {
	case value = <-requests:
		ok = true
	case <-time.After(200 * time.Millisecond):
	}
	close(stop)
	<-done
	return value, ok
}

// newRunner returns a Runner on a ledger and a clock, with destination A at the addresses.
func newRunner(store *ledger.Ledger, clock func() float64, addrs ...string) *gateway.Runner {
	dir := directory.New()
	for _, addr := range addrs {
		dir.Apply([]directory.Endpoint{{ID: addr, Dest: "A", Kind: "bulk", Stage: directory.Ready, Addr: addr}})
	}
	scheduler := decide.New(1, dir, []decide.Topic{{Name: "reading", Repeat: decide.Repeatable, Objective: 2, TTL: 20},
		{Name: "tally", Repeat: decide.Collapsible, DedupWindow: 5, DedupScope: "all", Objective: 2, TTL: 20}},
		decide.Capacity{MaxCalls: 6, MaxHeld: 9}, decide.Routes{},
		decide.Recovery{InitialCapacityShare: 0.2, WarmUp: 10, OverloadFactor: 2, OverloadSpan: 2, Dispatchers: 2},
		decide.PushPolicy{MaxPushes: 8, Tick: 0.005}, decide.TenantQuotas{}, false)
	return &gateway.Runner{Gateway: gateway.New(scheduler, dir, store.HasRoom, nil, nil, 1), Ledger: store, Log: zerolog.Nop(),
		Platform: silentPlatform{}, Clock: clock, Events: make(chan gateway.Event, 9)}
}

// newMessage returns message A1 for destination A.
func newMessage(expiresAt float64) *message.Message {
	m := &message.Message{ExpiresAt: expiresAt}
	m.ID, m.Topic, m.Dest = "A1", "reading", "A"
	return m
}

// silentPlatform is a platform that never answers.
type silentPlatform struct{}

func (silentPlatform) Watch(func(gateway.Event))                  {}
func (silentPlatform) FetchOnce(func(gateway.Event))              {}
func (silentPlatform) Notify(gateway.Notify, func(gateway.Event)) {}
