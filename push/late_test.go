package push_test

import (
	"fmt"
	"io"
	"net"
	"time"

	"orchiddrift/message"
	"orchiddrift/push"
)

// An endpoint writes its answer in the moment in which the call is given up: here it waits for our end, so the two always
// cross. The call stays silent, whatever the answer says; a wait that stands in it is heard, also where the rest is cut off.
func Example_lateResponse() {
	for _, text := range []string{
		"HTTP/1.1 429 Too Many Requests\r\nretry-after: 2.5\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1.5\r\nConte",
		"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1.",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"",
	} {
		ended := make(chan bool, 1)
		conn, _ := push.Dial(startLateEndpoint(text, ended), 1)
		a := conn.Send([]*message.Message{newMessage("a")}, 0.03)
		begun := time.Now()
		wait := conn.ReadLateRetryAfter()
		fmt.Println(a.Ends, a.LateResponsePending, wait, time.Since(begun) < time.Second, <-ended)
	}
	// Output:
	// [silent] true 2.5 true true
	// [silent] true 1.5 true true
	// [silent] true 0 true true
	// [silent] true 0 true true
	// [silent] true 0 true true
}

// startLateEndpoint is an endpoint that reads until the other side has ended, and only then writes; nothing at all for "". It tells
// once it has seen that end.
func startLateEndpoint(text string, ended chan<- bool) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, conn)
		_, _ = io.WriteString(conn, text)
		ended <- err == nil
		_, _ = io.Copy(io.Discard, conn)
		_ = ln.Close()
	}()
	return ln.Addr().String()
}
