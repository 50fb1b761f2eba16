package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Several faults coincide with a graceful stop: an agent that accepts connections and never answers, a partner that
// hangs, a SIGHUP between two SIGTERMs, and a client in the middle of a request. The dispatcher exits in time, answers
// the request, and delivers the accepted notifications after the next start.
func TestStopDuringFaults(t *testing.T) {
	var partnerHangs atomic.Bool
	partnerHangs.Store(true)
	delivered := make(chan string, 9)
	partner := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // otherwise the server does not notice that the caller disconnects
		if partnerHangs.Load() {
			<-r.Context().Done()
			return
		}
		delivered <- r.Header.Get("X-Call-Id")
	}))
	defer partner.Close()
	agent, err := net.Listen("tcp", "127.0.0.1:0") // connections are accepted by the backlog and never read
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	known := []map[string]any{{"id": "s-1", "addr": strings.TrimPrefix(partner.URL, "http://"), "zone": "here", "kind": "plain",
		"cell": 1, "state": "ready", "weight": 10.0, "started_ms": 0}}
	d := configure(t, agent.Addr().String(), known, func(map[string]any) {})
	d.start(t)
	if !d.submit("a1", 1) {
		t.Fatal("a1 was not accepted")
	}
	conn, err := net.Dial("tcp", d.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: a2\r\nX-Call-Class: reading\r\n")
	time.Sleep(50 * time.Millisecond) // the dispatcher is reading the request by then
	d.signal(t, syscall.SIGTERM)
	d.signal(t, syscall.SIGHUP)
	time.Sleep(900 * time.Millisecond) // the listener is closed by then
	d.signal(t, syscall.SIGTERM)
	fmt.Fprint(conn, "X-Caller: acme\r\nX-Budget: 9000m\r\nX-Addressing: dest=1\r\nContent-Length: 2\r\n\r\nhi")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("answer to a request begun before the stop: %v, %v", resp, err)
	}
	d.waitForExit(t)
	partnerHangs.Store(false)
	d.start(t)
	want := map[string]bool{"a1": true, "a2": true}
	for len(want) > 0 {
		select {
		case id := <-delivered:
			if !want[id] {
				t.Errorf("%s was pushed again", id)
			}
			delete(want, id)
		case <-time.After(8 * time.Second):
			t.Fatalf("not delivered: %v", want)
		}
	}
	d.signal(t, syscall.SIGTERM)
	d.waitForExit(t)
}
