package push_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"

	"orchiddrift/message"
	"orchiddrift/push"
)

// realAnswer is the answer to the call of Example_outOfTurn: it was turned away.
const realAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// outOfTurnMoments are the moments at which an endpoint writes something. Each function gets the connection, and a function that
// reads the request; the call has a time-out of 0.1 s.
var outOfTurnMoments = []struct {
	name string
	act  func(conn net.Conn, something string, readRequest func())
}{
	{"idle", func(conn net.Conn, something string, readRequest func()) {
		fmt.Fprint(conn, something)
		readRequest()
		fmt.Fprint(conn, realAnswer)
	}},
	{"awaited", func(conn net.Conn, something string, readRequest func()) {
		readRequest()
		fmt.Fprint(conn, something)
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(conn, realAnswer)
	}},
	{"behind", func(conn net.Conn, something string, readRequest func()) {
		readRequest()
		fmt.Fprint(conn, realAnswer+something)
	}},
	{"later", func(conn net.Conn, something string, readRequest func()) {
		readRequest()
		fmt.Fprint(conn, realAnswer)
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(conn, something)
	}},
	{"given up", func(conn net.Conn, something string, readRequest func()) {
		readRequest()
		time.Sleep(130 * time.Millisecond)
		fmt.Fprint(conn, something)
	}},
}

// What an endpoint writes out of turn, at each moment: how the call ends, whether the connection carries another one, and the wait
// that is heeded. A call that met something before its request was written never ran. While the answer is awaited what comes first
// is the answer, if it can be one: on a connection that carries one call nothing but an answer to it may come, and an endpoint that
// writes something else there cannot be told from one that answers.
func Example_outOfTurn() {
	for _, something := range []struct{ name, text string }{
		{"200", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{"503", realAnswer},
		{"429", "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"},
		{"408", "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"},
		{"103", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"101", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
		{"half", "HTTP/1.1 5"},
		{"noise", "\x00\x01\r\n\r\n"},
	} {
		fmt.Print(something.name)
		for _, moment := range outOfTurnMoments {
			end, usable, wait := playOutOfTurn(something.text, moment.act, moment.name == "idle")
			fmt.Printf("; %s: %v %v %v", moment.name, end, usable, wait)
		}
		fmt.Println()
	}
	// Output:
	// 200; idle: broke early false 0; awaited: done false 0; behind: turned away false 0; later: turned away false 0; given up: silent false 0
	// 503; idle: broke early false 0; awaited: turned away false 0; behind: turned away false 0; later: turned away false 0; given up: silent false 0
	// 429; idle: broke early false 0; awaited: turned away false 2; behind: turned away false 0; later: turned away false 0; given up: silent false 2
	// 408; idle: broke early false 0; awaited: unreadable false 0; behind: turned away false 0; later: turned away false 0; given up: silent false 0
	// 103; idle: broke early false 0; awaited: turned away false 0; behind: turned away false 0; later: turned away false 0; given up: silent false 0
	// 101; idle: broke early false 0; awaited: turned away false 0; behind: turned away false 0; later: turned away false 0; given up: silent false 0
	// half; idle: broke early false 0; awaited: unreadable false 0; behind: turned away false 0; later: turned away false 0; given up: silent false 0
	// noise; idle: broke early false 0; awaited: unreadable false 0; behind: turned away false 0; later: turned away false 0; given up: silent false 0
}

// playOutOfTurn sends a call to an endpoint that writes something out of turn, and returns how it ends, whether its connection can
// carry another call, and the wait that it tells, in seconds.
func playOutOfTurn(something string, act func(net.Conn, string, func()), awaitBytes bool) (end push.End, usable bool, wait float64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		act(conn, something, func() { _, _ = http.ReadRequest(bufio.NewReader(conn)) })
		time.Sleep(50 * time.Millisecond)
	}()
	conn, _ := push.Dial(ln.Addr().String(), 1)
	for awaitBytes && conn.Usable() {
		time.Sleep(time.Millisecond)
	}
	result := conn.Send([]*message.Message{newMessage("a")}, 0.1)
	wait = result.RetryAfter
	if result.LateResponsePending {
		wait = max(wait, conn.ReadLateRetryAfter())
	}
	<-done
	return result.Ends[0], conn.Usable(), wait
}
