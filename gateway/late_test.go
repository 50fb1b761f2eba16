package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/directory"
	"orchiddrift/disk/faulty"
	"orchiddrift/gateway"
	"orchiddrift/ledger"
	"orchiddrift/push"
)

// A wait told after its call was given up applies like any other, also to calls whose connection is being established. After one that is
// too long for a limit the first call is a trial, whose time is drawn at random.
func Example_lateWait() {
	for _, wait := range []float64{1.9, 3} {
		f := newFixture("A1", "Ab")
		f.submit("reading", "A1")
		f.placeDueAt(0)
		f.connect("A1")
		f.placeDueAt(4)
		f.endCall("A1", push.CallResult{Ends: []push.End{push.ResponseTimeout}, LateResponsePending: true})
		f.submit("reading", "A2")
		f.placeDueAt(4)
		f.now += 0.02
		f.step(gateway.LateWait{Endpoint: f.endpoint("A1", directory.Ready), Wait: wait})
		f.connect("A2")
		for tick := 41; tick < 90; tick++ {
			f.placeDueAt(float64(tick) / 10)
		}
	}
	// Output:
	// 0.00  accept A1
	// 0.00  dial A1 for A1 within 1.50
	// 0.00  nothing scheduled
	// 0.00  send A1 to A1 within 4.00, write started A1 #1
	// 4.00  nothing scheduled
	// 4.00  write may-have-run A1 #1
	// 4.00  accept A2
	// 4.00  dial Ab for A1+A2 within 1.50
	// 6.00  send A1+A2 to Ab within 4.00, write started A1 #2, started A2 #2
	// 0.00  accept A1
	// 0.00  dial A1 for A1 within 1.50
	// 0.00  nothing scheduled
	// 0.00  send A1 to A1 within 4.00, write started A1 #1
	// 4.00  nothing scheduled
	// 4.00  write may-have-run A1 #1
	// 4.00  accept A2
	// 4.00  dial Ab for A1+A2 within 1.50
	// 8.10  dial A1 for A1+A2 within 1.50
}

// Guards against placing messages before the events that are already queued are applied: here a told wait. The select
// statement of the loop takes a random one of the channels that are ready, so the test runs several times.
func Example_eventsBeforeRound() {
	sent := 0
	for range 12 {
		requests := make(chan string, 9)
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			requests <- r.Header.Get("X-Call-Id")
		}))
		addr := strings.TrimPrefix(server.URL, "http://")
		store, _, _, err := ledger.Open(faulty.New(), ledger.Options{LimitBytes: 3e6})
		if err != nil {
			panic(err)
		}
		r := newRunner(store, func() float64 { return 1000 }, addr)
		r.Gateway.Step(1000, gateway.Arrived{Message: newMessage(1020), Respond: func(gateway.Reply) {}}) // it waits for its turn
		r.Post(gateway.LateWait{Endpoint: directory.Endpoint{ID: addr, Dest: "A", Kind: "bulk"}, Wait: 9})
		if _, ok := runUntil(r, requests); ok {
			sent++
		}
		server.Close()
	}
	fmt.Println("sent", sent)
	// Output:
	// sent 0
}

// A wait told after the call was given up, over TCP: the endpoint writes its response once the connection is half closed,
// and the next push must be sent after the wait.
func Example_lateWaitOverTCP() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	called := make(chan time.Time, 1)
	go func() {
		first, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, first)
		fmt.Fprint(first, "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n")
		for { // the first message may be dialed once more shortly before its TTL ends, without a request
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && req.Header.Get("X-Call-Id") == "A2" {
				called <- time.Now()
			}
		}
	}()
	store, _, _, err := ledger.Open(faulty.New(), ledger.Options{LimitBytes: 3e6})
	if err != nil {
		panic(err)
	}
	start := time.Now()
	r := newRunner(store, func() float64 { return 1000 + time.Since(start).Seconds() }, ln.Addr().String())
	logged := make(chan time.Time, 1)
	r.Log = zerolog.New(logWatcher{"endpoint told a wait after its call was given up", logged})
	stop, done := make(chan struct{}), make(chan bool)
	go func() { r.Run(stop); close(done) }()
	r.Post(gateway.Arrived{Message: newMessage(1000.3), Respond: func(gateway.Reply) {}})
	var loggedAt time.Time
	select {
	case loggedAt = <-logged:
	case <-time.After(2 * time.Second):
		fmt.Println("late wait not logged")
	}
	accepted := make(chan bool, 1)
	for ok := false; !ok; { // retry while the first message still occupies the only place
		next := newMessage(1020)
		next.ID = "A2"
		r.Post(gateway.Arrived{Message: next, Respond: func(reply gateway.Reply) { accepted <- reply.Accepted }})
		if ok = <-accepted; !ok {
			time.Sleep(10 * time.Millisecond)
		}
	}
	select {
	case sentAt := <-called:
		fmt.Println("wait obeyed", sentAt.Sub(loggedAt) > 650*time.Millisecond)
	case <-time.After(15 * time.Second):
		fmt.Println("no second call")
	}
	close(stop)
	<-done
	// Output:
	// wait obeyed true
}

// logWatcher is a log writer that sends the time of each line that contains a text.
type logWatcher struct {
	text string
	seen chan<- time.Time
}

func (l logWatcher) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(l.text)) {
		l.seen <- time.Now()
	}
	return len(line), nil
}

// Guards against breaking the order of a key after a restart: a push of the previous process may still run although its
// message is settled, so messages with an ordered key must wait for the key cooldown. Other messages do not wait.
func Example_keysHeldAfterRestart() {
	f := newFixture("A", "B")
	f.print(f.gateway.Restore(f.now, nil))
	f.submit("order", "A1")
	f.submit("reading", "B1")
	f.placeDueAt(0)
	f.placeDueAt(0.9)
	f.placeDueAt(1.1)
	// Output:
	// 0.00  accept A1
	// 0.00  accept B1
	// 0.00  dial B for B1 within 1.50
	// 1.10  dial A for A1 within 1.50
	// 1.10  nothing scheduled
}
