package intake

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/gateway"
)

// Guards against a connection that is closed for another one while its first request is on its way, because all others are busy.
func TestFirstRequestOnItsWayWhileOthersAreBusy(t *testing.T) {
	const maxConns = 10
	var lock sync.Mutex
	var unanswered []gateway.Arrived // guarded by lock
	server := NewServer(func() float64 { return 1000 }, func(string) (float64, bool) { return 9, true }, func(e gateway.Event) {
		lock.Lock()
		defer lock.Unlock()
		unanswered = append(unanswered, e.(gateway.Arrived))
	}, maxConns, zerolog.Nop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() { _ = server.Serve(listener) }()
	connect := func(request string) net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		fmt.Fprint(conn, request)
		return conn
	}
	openConns := func() int {
		server.listener.lock.Lock()
		defer server.listener.lock.Unlock()
		return len(server.listener.open)
	}
	requestsInProgress := func() int {
		lock.Lock()
		defer lock.Unlock()
		return len(unanswered)
	}
	for i := range maxConns - 1 {
		connect(fmt.Sprintf("POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: a%d\r\nX-Call-Class: order\r\nX-Addressing: dest=7\r\nX-Budget: 900m\r\n\r\n", i))
	}
	waitFor(t, "the requests are in progress", func() bool { return requestsInProgress() == maxConns-1 })
	const healthRequest = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"
	first := connect("")
	waitFor(t, "the connection is accepted", func() bool { return openConns() == maxConns })
	second := connect(healthRequest)
	time.Sleep(5 * time.Millisecond)
	fmt.Fprint(first, healthRequest)
	for name, conn := range map[string]net.Conn{"first": first, "second": second} {
		_ = conn.SetReadDeadline(time.Now().Add(clientPatience))
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: %v %v", name, resp, err)
		}
	}
	for _, a := range unanswered { // no more come
		a.Respond(gateway.Reply{Accepted: true})
	}
}
