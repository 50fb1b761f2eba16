package push_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"orchiddrift/message"
	"orchiddrift/push"
)

// startEndpoint starts an endpoint and returns its address. On each connection, the endpoint answers the requests with the
// responses in turn and then closes the connection. The response "hang" stands for none: the connection is closed after 1 s.
func startEndpoint(printRequests bool, responses ...string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveResponses(conn, printRequests, responses)
		}
	}()
	return ln.Addr().String()
}

// serveResponses answers the requests on a connection with the responses in turn.
func serveResponses(conn net.Conn, printRequests bool, responses []string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for _, response := range responses {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		if printRequests {
			fmt.Println(req.Method, req.URL, req.Header.Get("X-Call-Id"), req.Header.Get("Idempotency-Key"),
				req.Header.Get("X-Budget"), string(body))
		}
		if response == "hang" {
			time.Sleep(time.Second)
			return
		}
		fmt.Fprint(conn, strings.ReplaceAll(response, "\n", "\r\n"))
	}
}

// newMessage returns a message with a key and a body that contain its ID.
func newMessage(id string) *message.Message {
	m := &message.Message{IdempotencyKey: "k" + id, Body: []byte("hello " + id)}
	m.ID = id
	return m
}

// sendAndPrint sends a call on a new connection and prints its result, or why there is no connection.
func sendAndPrint(addr string, timeout float64, messages ...*message.Message) {
	conn, end := push.Dial(addr, 1)
	if conn == nil {
		fmt.Println(end)
		return
	}
	result := conn.Send(messages, timeout)
	fmt.Println(result.Ends, result.RetryAfter, result.HasLoadReport, result.LoadShare, result.LoadLimit, conn.Usable())
	conn.Close()
}

// The end of a call for each response status and each way in which a connection can fail.
func Example_ends() {
	for _, response := range []string{
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"HTTP/1.1 200 OK\nX-Load-Report: TEXT x0=0.4, x1=25\nContent-Length: 0\n\n",
		"HTTP/1.1 200 OK\nX-Load-Report: TEXT x0=NaN, x1=25\nConnection: close\nContent-Length: 0\n\n",
		"HTTP/1.1 102 Processing\n\nHTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"HTTP/1.1 204 No Content\n\n",
		"HTTP/1.1 200 OK\nContent-Le", // delivered, since the status line is complete
		"HTTP/1.1 500 Internal Server Error\nContent-Length: 0\n\n",
		"HTTP/1.1 429 Too Many Requests\nRetry-After: 0.75\nContent-Length: 0\n\n",
		"HTTP/1.1 429 Too Many Requests\nRetry-After: soon\nContent-Length: 0\n\n",
		"HTTP/1.1 503 Service Unavailable\nContent-Length: 0\n\n",
		"HTTP/1.1 503 Service Unavailable\nConnection: close\nContent-Length: 0\n\n",
		"HTTP/1.1 503 Service Unavailable\nConnection: close\nRetry-After: 0.3\nContent-Length: 0\n\n",
		"HTTP/1.1 503 Service Unavailable\nX-Over-Slots: 1\nContent-Length: 0\n\n",
		"HTTP/1.1 504 Gateway Timeout\nContent-Length: 0\n\n",
		"HTTP/1.1 410 Gone\nContent-Length: 0\n\n",
		"HTTP/1.1 418 I'm a teapot\nContent-Length: 0\n\n",
		"HTTP/1.1 20", "gibberish\n\n", "", "hang",
	} {
		sendAndPrint(startEndpoint(false, response), 0.2, newMessage("a"))
	}
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	ln.Close()
	sendAndPrint(ln.Addr().String(), 0.2, newMessage("a"))
	// Output:
	// [done] 0 false 0 0 false
	// [done] 0 true 0.4 25 false
	// [done] 0 false 0 0 false
	// [done] 0 false 0 0 false
	// [unreadable] 0 false 0 0 false
	// [done] 0 false 0 0 false
	// [erred] 0 false 0 0 false
	// [turned away] 0.75 false 0 0 false
	// [turned away] 0 false 0 0 false
	// [turned away] 0 false 0 0 false
	// [crowded] 0 false 0 0 false
	// [turned away] 0.3 false 0 0 false
	// [over slots] 0 false 0 0 false
	// [spent] 0 false 0 0 false
	// [void] 0 false 0 0 false
	// [unreadable] 0 false 0 0 false
	// [unreadable] 0 false 0 0 false
	// [unreadable] 0 false 0 0 false
	// [broke late] 0 false 0 0 false
	// [silent] 0 false 0 0 false
	// refused
}

// A single message is sent to /hook as it is. Several are sent to /hook/batch as a list, and each has its own end. No call is
// retried.
func Example_calls() {
	sendAndPrint(startEndpoint(true, "HTTP/1.1 200 OK\nContent-Length: 0\n\n"), 1.5, newMessage("a"))
	states := `[{"id":"c","state":"busy"},{"id":"a","state":"done"},{"id":"b","state":"failed"},` +
		`{"id":"d","state":"void"},{"id":"e","state":"used_up"},{"id":"f","state":"odd"}]`
	head := fmt.Sprintf("HTTP/1.1 200 OK\nRetry-After: 0.3\nContent-Length: %d\n\n", len(states))
	messages := []*message.Message{newMessage("a"), newMessage("b"), newMessage("c"), newMessage("d"), newMessage("e"),
		newMessage("f"), newMessage("g")}
	sendAndPrint(startEndpoint(true, head+states), 1.5, messages...)
	sendAndPrint(startEndpoint(false, "HTTP/1.1 503 Service Unavailable\nContent-Length: 0\n\n"), 1.5,
		newMessage("a"), newMessage("b"))
	sendAndPrint(startEndpoint(true, ""), 1.5, newMessage("a"))
	// Output:
	// POST /hook a ka 1500m hello a
	// [done] 0 false 0 0 false
	// POST /hook/batch   1500m [{"id":"a","key":"ka","body":"aGVsbG8gYQ=="},{"id":"b","key":"kb","body":"aGVsbG8gYg=="},{"id":"c","key":"kc","body":"aGVsbG8gYw=="},{"id":"d","key":"kd","body":"aGVsbG8gZA=="},{"id":"e","key":"ke","body":"aGVsbG8gZQ=="},{"id":"f","key":"kf","body":"aGVsbG8gZg=="},{"id":"g","key":"kg","body":"aGVsbG8gZw=="}]
	// [done erred turned away void spent unreadable unreadable] 0.3 false 0 0 false
	// [turned away turned away] 0 false 0 0 false
	// POST /hook a ka 1500m hello a
	// [broke late] 0 false 0 0 false
}

// A connection that has carried no call can be used until the endpoint closes it or writes to it. Close ends a call in progress as
// Cancelled.
func Example_idle() {
	const done = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for _, response := range []string{"", done} {
		ln, _ := net.Listen("tcp", "127.0.0.1:0")
		conn, _ := push.Dial(ln.Addr().String(), 1)
		other, _ := ln.Accept()
		fmt.Println(conn.Usable())
		fmt.Fprint(other, response)
		if response == "" {
			other.Close()
		}
		for conn.Usable() {
			time.Sleep(time.Millisecond)
		}
		fmt.Println(conn.Send([]*message.Message{newMessage("a")}, 1).Ends)
	}
	conn, _ := push.Dial(startEndpoint(false, "hang"), 1)
	time.AfterFunc(20*time.Millisecond, conn.Close)
	fmt.Println(conn.Send([]*message.Message{newMessage("a")}, 1).Ends)
	// Output:
	// true
	// [broke early]
	// true
	// [broke early]
	// [cut off]
}

// Guards against a second call on a connection, whatever the first one was answered: it must end as one that the endpoint has not
// begun.
func TestConnectionCarriesOneCall(t *testing.T) {
	for _, response := range []string{"HTTP/1.1 200 OK\nContent-Length: 0\n\n", "HTTP/1.1 503 Service Unavailable\nContent-Length: 0\n\n",
		"HTTP/1.1 500 Internal Server Error\nContent-Length: 0\n\n", "HTTP/1.1 418 I'm a teapot\nContent-Length: 0\n\n", "gibberish\n\n", "hang"} {
		const delivered = "HTTP/1.1 200 OK\nContent-Length: 0\n\n" // of the second call, if it came
		conn, _ := push.Dial(startEndpoint(false, response, delivered), 1)
		first := conn.Send([]*message.Message{newMessage("a")}, 0.1)
		if conn.Usable() {
			t.Errorf("%q: the connection can be used after a call that ended as %v", response, first.Ends)
		}
		if second := conn.Send([]*message.Message{newMessage("b")}, 0.1); second.Ends[0].MayHaveRun() {
			t.Errorf("%q: the second call ended as %v", response, second.Ends)
		}
	}
}

// Malformed responses on connections that stay open. A single message counts as delivered if the status line has status 200.
// Otherwise the push may have run, whatever the status. No such response may delay the result of a call until its deadline. A
// connection must not be used again after any of them.
func Example_malformedResponses() {
	start := time.Now()
	for _, response := range []string{
		"HTTP/1.1 200 OK\nContent-Length: 9\n\nhalf", "HTTP/1.1 200 OK\nX-No-End: 1\n", "HTTP/1.1 200 OK\n\n",
		"HTTP/1.1 200 OK\nContent-Length: 3000000000\n\nlots", "HTTP/1.1 200 OK\nContent-Length: what\n\n",
		"HTTP/1.1 503 Service Unavailable\nContent-Length: 9\n\nhalf", "HTTP/1.1 429 Too Many", "\x01\x02\x03 noise",
		"HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"HTTP/1.1 200 OK\nContent-Length: 0\n\nHTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"HTTP/1.1 400 Bad Request\nContent-Length: 0\n\n",
	} {
		sendAndPrint(startEndpoint(false, response, "hang"), 5, newMessage("a"))
		sendAndPrint(startEndpoint(false, response, "hang"), 5, newMessage("a"), newMessage("b"))
	}
	fmt.Println(time.Since(start) < 4*time.Second)
	// Output:
	// [done] 0 false 0 0 false
	// [unreadable unreadable] 0 false 0 0 false
	// [done] 0 false 0 0 false
	// [unreadable unreadable] 0 false 0 0 false
	// [done] 0 false 0 0 false
	// [unreadable unreadable] 0 false 0 0 false
	// [done] 0 false 0 0 false
	// [unreadable unreadable] 0 false 0 0 false
	// [done] 0 false 0 0 false
	// [unreadable unreadable] 0 false 0 0 false
	// [unreadable] 0 false 0 0 false
	// [unreadable unreadable] 0 false 0 0 false
	// [unreadable] 0 false 0 0 false
	// [unreadable unreadable] 0 false 0 0 false
	// [unreadable] 0 false 0 0 false
	// [unreadable unreadable] 0 false 0 0 false
	// [done] 0 false 0 0 false
	// [unreadable unreadable] 0 false 0 0 false
	// [done] 0 false 0 0 false
	// [unreadable unreadable] 0 false 0 0 false
	// [unusable] 0 false 0 0 false
	// [list unusable list unusable] 0 false 0 0 false
	// true
}
