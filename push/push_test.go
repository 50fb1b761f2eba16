package push_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"orchiddrift/message"
	"orchiddrift/push"
)

// startEndpoint answers each connection's requests with the texts, then closes it; "hang" answers nothing.
func startEndpoint(show bool, texts ...string) string {
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
			go serveResponses(conn, show, texts)
		}
	}()
	return ln.Addr().String()
}

func serveResponses(conn net.Conn, show bool, texts []string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for _, text := range texts {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		if show {
			fmt.Println(req.Method, req.URL, req.Header.Get("X-Call-Id"), req.Header.Get("Idempotency-Key"),
				req.Header.Get("X-Budget"), string(body))
		}
		if text == "hang" {
			time.Sleep(time.Second)
			return
		}
		fmt.Fprint(conn, strings.ReplaceAll(text, "\n", "\r\n"))
	}
}

func newMessage(id string) *message.Message {
	m := &message.Message{IdempotencyKey: "k" + id, Body: []byte("hello " + id)}
	m.ID = id
	return m
}

func sendAndPrint(addr string, wait float64, list ...*message.Message) {
	conn, end := push.Dial(addr, 1)
	if conn == nil {
		fmt.Println(end)
		return
	}
	a := conn.Send(list, wait)
	fmt.Println(a.Ends, a.RetryAfter, a.HasLoadReport, a.LoadShare, a.LoadLimit, a.Reusable)
	conn.Close()
}

// Every answer and every way in which a connection ends.
func Example_ends() {
	for _, text := range []string{
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"HTTP/1.1 200 OK\nX-Load-Report: TEXT x0=0.4, x1=25\nContent-Length: 0\n\n",
		"HTTP/1.1 200 OK\nX-Load-Report: TEXT x0=NaN, x1=25\nConnection: close\nContent-Length: 0\n\n",
		"HTTP/1.1 102 Processing\n\nHTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"HTTP/1.1 204 No Content\n\n",
		"HTTP/1.1 200 OK\nContent-Le", // delivered once the first line has come
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
		sendAndPrint(startEndpoint(false, text), 0.2, newMessage("a"))
	}
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	ln.Close()
	sendAndPrint(ln.Addr().String(), 0.2, newMessage("a"))
	// Output:
	// [done] 0 false 0 0 true
	// [done] 0 true 0.4 25 true
	// [done] 0 false 0 0 false
	// [done] 0 false 0 0 true
	// [unreadable] 0 false 0 0 true
	// [done] 0 false 0 0 false
	// [erred] 0 false 0 0 true
	// [turned away] 0.75 false 0 0 true
	// [turned away] 0 false 0 0 true
	// [turned away] 0 false 0 0 true
	// [crowded] 0 false 0 0 false
	// [turned away] 0.3 false 0 0 false
	// [over slots] 0 false 0 0 true
	// [spent] 0 false 0 0 true
	// [void] 0 false 0 0 true
	// [unreadable] 0 false 0 0 true
	// [unreadable] 0 false 0 0 false
	// [unreadable] 0 false 0 0 false
	// [broke late] 0 false 0 0 false
	// [silent] 0 false 0 0 false
	// refused
}

// What is sent: a message alone goes as it is, several go as a list and end one by one. Nothing goes twice.
func Example_calls() {
	sendAndPrint(startEndpoint(true, "HTTP/1.1 200 OK\nContent-Length: 0\n\n"), 1.5, newMessage("a"))
	states := `[{"id":"c","state":"busy"},{"id":"a","state":"done"},{"id":"b","state":"failed"},` +
		`{"id":"d","state":"void"},{"id":"e","state":"used_up"},{"id":"f","state":"odd"}]`
	head := fmt.Sprintf("HTTP/1.1 200 OK\nRetry-After: 0.3\nContent-Length: %d\n\n", len(states))
	list := []*message.Message{newMessage("a"), newMessage("b"), newMessage("c"), newMessage("d"), newMessage("e"), newMessage("f"), newMessage("g")}
	sendAndPrint(startEndpoint(true, head+states), 1.5, list...)
	sendAndPrint(startEndpoint(false, "HTTP/1.1 503 Service Unavailable\nContent-Length: 0\n\n"), 1.5, newMessage("a"), newMessage("b"))
	sendAndPrint(startEndpoint(true, ""), 1.5, newMessage("a"))
	// Output:
	// POST /hook a ka 1500m hello a
	// [done] 0 false 0 0 true
	// POST /hook/batch   1500m [{"id":"a","key":"ka","body":"aGVsbG8gYQ=="},{"id":"b","key":"kb","body":"aGVsbG8gYg=="},{"id":"c","key":"kc","body":"aGVsbG8gYw=="},{"id":"d","key":"kd","body":"aGVsbG8gZA=="},{"id":"e","key":"ke","body":"aGVsbG8gZQ=="},{"id":"f","key":"kf","body":"aGVsbG8gZg=="},{"id":"g","key":"kg","body":"aGVsbG8gZw=="}]
	// [done erred turned away void spent unreadable unreadable] 0.3 false 0 0 true
	// [turned away turned away] 0 false 0 0 true
	// POST /hook a ka 1500m hello a
	// [broke late] 0 false 0 0 false
}

// A connection left idle is alive until the other side closes it, also past the last call's time. Closing it ourselves ends a call on it.
func Example_idle() {
	const done = "HTTP/1.1 200 OK\nContent-Length: 0\n\n"
	conn, _ := push.Dial(startEndpoint(false, done, done), 1)
	conn.Send([]*message.Message{newMessage("a")}, 0.05)
	time.Sleep(60 * time.Millisecond)
	fmt.Println(conn.Alive())
	conn.Send([]*message.Message{newMessage("b")}, 1)
	for conn.Alive() { // the endpoint closes it now
		time.Sleep(time.Millisecond)
	}
	fmt.Println(conn.Alive())
	conn, _ = push.Dial(startEndpoint(false, "hang"), 1)
	time.AfterFunc(20*time.Millisecond, conn.Close)
	fmt.Println(conn.Send([]*message.Message{newMessage("a")}, 1).Ends)
	// Output:
	// true
	// false
	// [cut off]
}

// Spoilt answers on connections that stay open: true alone if the first line reads 200, else they may have run
// whatever their head says; none is waited for to the end of the call's time. What comes behind an answer ends its
// connection.
func Example_malformedResponses() {
	begun := time.Now()
	for _, text := range []string{
		"HTTP/1.1 200 OK\nContent-Length: 9\n\nhalf", "HTTP/1.1 200 OK\nX-No-End: 1\n", "HTTP/1.1 200 OK\n\n",
		"HTTP/1.1 200 OK\nContent-Length: 3000000000\n\nlots", "HTTP/1.1 200 OK\nContent-Length: what\n\n",
		"HTTP/1.1 503 Service Unavailable\nContent-Length: 9\n\nhalf", "HTTP/1.1 429 Too Many", "\x01\x02\x03 noise",
		"HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"HTTP/1.1 200 OK\nContent-Length: 0\n\nHTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"HTTP/1.1 400 Bad Request\nContent-Length: 0\n\n",
	} {
		sendAndPrint(startEndpoint(false, text, "hang"), 5, newMessage("a"))
		sendAndPrint(startEndpoint(false, text, "hang"), 5, newMessage("a"), newMessage("b"))
	}
	fmt.Println(time.Since(begun) < 4*time.Second)
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
	// [done] 0 false 0 0 true
	// [unreadable unreadable] 0 false 0 0 true
	// [done] 0 false 0 0 false
	// [unreadable unreadable] 0 false 0 0 false
	// [unusable] 0 false 0 0 true
	// [list unusable list unusable] 0 false 0 0 true
	// true
}
