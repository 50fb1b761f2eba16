package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/gateway"
	"orchiddrift/intake"
	"orchiddrift/sock"
)

// validRequest is a complete request with a message. sendAndPrint changes its line ends to CRLF.
const validRequest = "POST /api HTTP/1.1\nHost: origin.svc\nX-Call-Id: a1\nX-Call-Class: order\nX-Caller: acme\n" +
	"Cookie: about=7f3a\nX-Budget: 480m\nIdempotency-Key: 5c0f\nContent-Length: 5\nX-Addressing: dest=7\n\nhello"

const fewConns, manyConns = 10, 100 // connection limits; with manyConns, closed connections that still count do not matter

// startServer starts a server whose gateway gives the same reply to each message. It returns the server and its address.
func startServer(reply gateway.Reply) (*intake.Server, string) {
	return startServerOn(listen(), manyConns, reply)
}

// listen returns a listener on loopback.
func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return ln
}

// startServerOn starts a server on a listener. It prints each message and gives the same reply to all.
func startServerOn(ln net.Listener, maxConns int, reply gateway.Reply) (*intake.Server, string) {
	ttl := func(topic string) (float64, bool) { return 9, topic == "order" }
	s := intake.NewServer(func() float64 { return 1000 }, ttl, func(e gateway.Event) {
		m := e.(gateway.Arrived).Message
		fmt.Printf("%s %s %s %s %q until %g: %q %q\n", m.ID, m.Topic, m.Tenant, m.Dest, m.Key, m.ExpiresAt, m.IdempotencyKey, m.Body)
		e.(gateway.Arrived).Respond(reply)
	}, maxConns, zerolog.Nop())
	go func() { _ = s.Serve(ln) }()
	return s, ln.Addr().String()
}

// sendAndPrint sends a request and prints the response.
func sendAndPrint(addr, request string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer conn.Close()
	fmt.Fprint(conn, strings.ReplaceAll(request, "\n", "\r\n"))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
}

// Accepted and refused messages, one without key and idempotency key, and a server with keep-alives disabled.
func Example_messages() {
	_, addr := startServer(gateway.Reply{Accepted: true})
	sendAndPrint(addr, validRequest)
	sendAndPrint(addr, strings.NewReplacer("Cookie: about=7f3a\n", "", "Idempotency-Key: 5c0f\n", "", "480m", "250000u").Replace(validRequest))
	sendAndPrint(addr, strings.Replace(validRequest, "480m", "99999999m", 1))
	sendAndPrint(addr, "GET /_health HTTP/1.1\nHost: a\n\n")
	s, addr := startServer(gateway.Reply{RetryIn: 0.25})
	s.DisableKeepAlives()
	sendAndPrint(addr, validRequest)
	// Output:
	// a1 order acme 7 "7f3a" until 1000.48: "5c0f" "hello"
	// 202  false
	// a1 order acme 7 "" until 1000.25: "" "hello"
	// 202  false
	// a1 order acme 7 "7f3a" until 1009: "5c0f" "hello"
	// 202  false
	// 200  false
	// a1 order acme 7 "7f3a" until 1000.48: "5c0f" "hello"
	// 503 0.250 true
}

// Bad requests are answered with an error status and do not reach the gateway.
func Example_badRequests() {
	_, addr := startServer(gateway.Reply{Accepted: true})
	for _, change := range [][2]string{{"X-Call-Id: a1\n", ""}, {"order", "letter"}, {"dest=7", "dest=x"},
		{"dest=7", "to=7"}, {"480m", "480"}, {"480m", "-1m"}, {"480m", "NaNm"}, {"X-Budget: 480m\n", ""},
		{"Length: 5", "Length: 65537"}, {"POST", "GET"}, {"/api", "/other"}, {"HTTP/1.1", "what"},
		{"Length: 5", "Length: 5\nContent-Length: 4"}, {"Length: 5", "Length: -5"}} {
		fmt.Printf("%q for %q: ", change[1], change[0])
		sendAndPrint(addr, strings.Replace(validRequest, change[0], change[1], 1))
	}
	// Output:
	// "" for "X-Call-Id: a1\n": 400  false
	// "letter" for "order": 400  false
	// "dest=x" for "dest=7": 400  false
	// "to=7" for "dest=7": 400  false
	// "480" for "480m": 400  false
	// "-1m" for "480m": 400  false
	// "NaNm" for "480m": 400  false
	// "" for "X-Budget: 480m\n": 400  false
	// "Length: 65537" for "Length: 5": 400  true
	// "GET" for "POST": 405  false
	// "/other" for "/api": 404  false
	// "what" for "HTTP/1.1": 400  true
	// "Length: 5\nContent-Length: 4" for "Length: 5": 400  true
	// "Length: -5" for "Length: 5": 400  true
}

// A request with both Content-Length and Transfer-Encoding is rejected, and a request smuggled in its body is not processed.
func Example_requestSmuggling() {
	_, addr := startServer(gateway.Reply{Accepted: true})
	sendAndPrint(addr, strings.NewReplacer("Length: 5", "Length: 5\nTransfer-Encoding: chunked", "hello", "0\n\n"+validRequest).Replace(validRequest))
	// Output:
	// 400  true
}

// Connections that send nothing or only part of a request are evicted to admit one with a request, the oldest first, and the
// others end by timeout. Each connection is read before the next one connects: one that is not read yet would be passed over
// (Example_unreadRequest), and in one of some hundred runs another connection would be evicted.
func Example_silentClients() {
	read := make(chan bool, 64)
	ln, err := sock.Listen("127.0.0.1:0", notifyingCalls{read: read})
	if err != nil {
		panic(err)
	}
	_, addr := startServerOn(ln, fewConns, gateway.Reply{Accepted: true})
	idle, _ := net.Dial("tcp", addr)
	fmt.Fprint(idle, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
	_, _ = http.ReadResponse(bufio.NewReader(idle), nil)
	<-read
	startTime := time.Now()
	closedAfter := make([]chan time.Duration, 15)
	for i := range closedAfter {
		conn, _ := net.Dial("tcp", addr)
		fmt.Fprint(conn, "POST /api HTTP/1.1\r\nX-Call-Id: ")
		<-read
		closedAfter[i] = make(chan time.Duration, 1)
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			closedAfter[i] <- time.Since(startTime)
		}()
	}
	sendAndPrint(addr, validRequest)
	fmt.Fprint(idle, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(idle), nil)
	fmt.Println(resp.StatusCode, err)
	evicted, last := "", time.Duration(0)
	for _, closed := range closedAfter {
		elapsed := <-closed
		last = max(last, elapsed)
		evicted += map[bool]string{true: "x", false: "."}[elapsed < time.Second]
	}
	fmt.Println(evicted, last < 3*time.Second)
	// Output:
	// a1 order acme 7 "7f3a" until 1000.48: "5c0f" "hello"
	// 202  false
	// 200 <nil>
	// xxxxxxx........ true
}

// notifyingCalls are socket calls that send to read whenever they have read bytes.
type notifyingCalls struct {
	sock.HostCalls
	read chan bool
}

// Read reads bytes and reports it.
func (c notifyingCalls) Read(fd int, b []byte) (int, error) {
	n, err := c.HostCalls.Read(fd, b)
	if n > 0 {
		c.read <- true
	}
	return n, err
}

// Clients that send one request and stay connected: beyond a third of the connection limit, connections are closed with their
// response.
func Example_keepAliveLimit() {
	_, addr := startServerOn(listen(), fewConns, gateway.Reply{Accepted: true})
	for range 5 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			panic(err)
		}
		defer conn.Close() // stays open to the end: a connection without references would be collected and closed
		fmt.Fprint(conn, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		fmt.Println(resp.StatusCode, resp.Close, err)
	}
	// Output:
	// 200 false <nil>
	// 200 false <nil>
	// 200 false <nil>
	// 200 true <nil>
	// 200 true <nil>
}
