package push_test

import (
	"fmt"
	"io"
	"net"
	"time"

	"orchiddrift/message"
	"orchiddrift/push"
)

// Guards against missing a told wait in a response that the endpoint writes just as the call is abandoned. Here the endpoint
// waits for the half close, so that this always happens. The call ends as ResponseTimeout whatever the response says, but a
// complete Retry-After line in it must be returned, even if the rest of the response is missing.
func Example_lateResponse() {
	for _, response := range []string{
		"HTTP/1.1 429 Too Many Requests\r\nretry-after: 2.5\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1.5\r\nConte",
		"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1.",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"",
	} {
		sawEnd := make(chan bool, 1)
		conn, _ := push.Dial(startLateEndpoint(response, sawEnd), 1)
		result := conn.Send([]*message.Message{newMessage("a")}, 0.03)
		start := time.Now()
		wait := conn.ReadLateRetryAfter()
		fmt.Println(result.Ends, result.LateResponsePending, wait, time.Since(start) < time.Second, <-sawEnd)
	}
	// Output:
	// [silent] true 2.5 true true
	// [silent] true 1.5 true true
	// [silent] true 0 true true
	// [silent] true 0 true true
	// [silent] true 0 true true
}

// startLateEndpoint starts an endpoint that writes its response only after the caller has shut down its write side, and returns
// its address. The endpoint sends to sawEnd whether it could read up to that end.
func startLateEndpoint(response string, sawEnd chan<- bool) string {
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
		_, _ = io.WriteString(conn, response)
		sawEnd <- err == nil
		_, _ = io.Copy(io.Discard, conn)
		_ = ln.Close()
	}()
	return ln.Addr().String()
}
