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

// A wait that an endpoint told as its call was given up binds like any other, for what has its connection already too.
func Example_toldLate() {
	b := newBench("A1", "Ab")
	b.take("reading", "A1")
	b.at(0)
	b.open("A1")
	b.at(4)
	b.end("A1", push.CallResult{Ends: []push.End{push.ResponseTimeout}, LateResponsePending: true})
	b.take("reading", "A2")
	b.at(4)
	b.now += 0.02
	b.step(gateway.LateWait{Endpoint: b.line("A1", directory.Ready), Wait: 3})
	b.open("A2")
	b.at(6.9)
	b.at(7.1)
	// Output:
	// 0.00  accept A1
	// 0.00  dial A1 for A1 within 1.50
	// 0.00  nothing to wait for
	// 0.00  begin A1 to A1 within 4.00, keep began A1 #1
	// 4.00  nothing to wait for
	// 4.00  keep mayrun A1 #1
	// 4.00  accept A2
	// 4.00  dial Ab for A1+A2 within 1.50
	// 7.10  begin A1+A2 to Ab within 4.00, keep began A1 #2, began A2 #2
}

// A wait that is here as the turns are due is known before they are: both are there as the loop looks. Before, chance
// chose which went first.
func Example_answersBeforeTurns() {
	sent := 0
	for range 12 {
		asked := make(chan string, 9)
		partner := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { asked <- r.Header.Get("X-Call-Id") }))
		addr := strings.TrimPrefix(partner.URL, "http://")
		book, _, _, err := ledger.Open(faulty.New(), ledger.Options{Limit: 3e6})
		if err != nil {
			panic(err)
		}
		r := runner(book, func() float64 { return 1000 }, addr)
		r.Gateway.Step(1000, gateway.Arrived{Message: reading(1020), Reply: func(gateway.Reply) {}}) // it waits for its turn
		r.Post(gateway.LateWait{Endpoint: directory.Endpoint{ID: addr, Dest: "A", Kind: "bulk"}, Wait: 9})
		if _, ok := runUntil(r, asked); ok {
			sent++
		}
		partner.Close()
	}
	fmt.Println("sent", sent)
	// Output:
	// sent 0
}

// The whole way on real sockets: the endpoint writes its wait once it sees that the call was given up, and the next push
// there leaves after that wait.
func Example_crossingWait() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	again := make(chan time.Time, 1)
	go func() {
		first, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, first)
		fmt.Fprint(first, "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n")
		for { // the first message may dial once more in its last millisecond, and send nothing
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && req.Header.Get("X-Call-Id") == "A2" {
				again <- time.Now()
			}
		}
	}()
	book, _, _, err := ledger.Open(faulty.New(), ledger.Options{Limit: 3e6})
	if err != nil {
		panic(err)
	}
	start := time.Now()
	r := runner(book, func() float64 { return 1000 + time.Since(start).Seconds() }, ln.Addr().String())
	heard := make(chan time.Time, 1)
	r.Log = zerolog.New(lineWith{"endpoint told a wait after its call was given up", heard})
	stop, ended := make(chan struct{}), make(chan bool)
	go func() { r.Run(stop); close(ended) }()
	r.Post(gateway.Arrived{Message: reading(1000.3), Reply: func(gateway.Reply) {}})
	var at time.Time
	select {
	case at = <-heard:
	case <-time.After(2 * time.Second):
		fmt.Println("not heard")
	}
	taken := make(chan bool, 1)
	for took := false; !took; { // while the first still stands in the queue there may be no room: a client comes again
		next := reading(1020)
		next.ID = "A2"
		r.Post(gateway.Arrived{Message: next, Reply: func(x gateway.Reply) { taken <- x.Accepted }})
		if took = <-taken; !took {
			time.Sleep(10 * time.Millisecond)
		}
	}
	select {
	case called := <-again:
		fmt.Println("kept", called.Sub(at) > 650*time.Millisecond)
	case <-time.After(15 * time.Second):
		fmt.Println("not called")
	}
	close(stop)
	<-ended
	// Output:
	// kept true
}

// lineWith tells when a line with a text is logged.
type lineWith struct {
	text string
	seen chan<- time.Time
}

func (l lineWith) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(l.text)) {
		l.seen <- time.Now()
	}
	return len(line), nil
}

// A push of the process before may still run although its message was over, and nothing is owed of it: ordered keys rest
// for the stated time from the restart on. Other messages do not wait.
func Example_keysRestAfterRestart() {
	b := newBench("A", "B")
	b.show(b.g.Restore(b.now, nil))
	b.take("order", "A1")
	b.take("reading", "B1")
	b.at(0)
	b.at(0.9)
	b.at(1.1)
	// Output:
	// 0.00  accept A1
	// 0.00  accept B1
	// 0.00  dial B for B1 within 1.50
	// 1.10  dial A for A1 within 1.50
	// 1.10  nothing to wait for
}
