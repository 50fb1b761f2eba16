package gateway_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/disk/faulty"
	"orchiddrift/gateway"
	"orchiddrift/ledger"
)

// Guards against an endpoint that is held to be down because one connection never came up: a second one is dialed, and the call is
// sent on it long before the time-out of the first. Where none comes up the call ends with that time-out. The dial timeout of
// newRunner is 1 s.
func TestConnectionThatNeverComesUp(t *testing.T) {
	for _, lost := range []int32{1, 2} {
		requests := make(chan time.Time, 9)
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests <- time.Now() }))
		defer server.Close()
		store, _, _, err := ledger.Open(faulty.New(), ledger.Options{LimitBytes: 3e6})
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		r := newRunner(store, func() float64 { return 1000 + time.Since(start).Seconds() }, strings.TrimPrefix(server.URL, "http://"))
		var dials atomic.Int32
		r.Dialer = func(addr string, timeout time.Duration) (net.Conn, error) {
			if dials.Add(1) <= lost {
				time.Sleep(timeout)
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
			}
			return net.DialTimeout("tcp", addr, timeout)
		}
		m := newMessage(1020)
		if err := store.Write(ledger.Record{Kind: ledger.Accepted, ID: "A1", Message: m}); err != nil {
			t.Fatal(err)
		}
		r.Restore([]ledger.Pending{{Message: m}})
		stop, done := make(chan struct{}), make(chan struct{})
		go func() { r.Run(stop); close(done) }()
		select {
		case at := <-requests:
			if took := at.Sub(start); (took < 700*time.Millisecond) != (lost == 1) {
				t.Errorf("%d lost: sent after %v", lost, took)
			}
		case <-time.After(6 * time.Second):
			t.Errorf("%d lost: not sent", lost)
		}
		close(stop)
		<-done
	}
}

// Guards against a connection that comes up after its call has gone on another one: it is kept for the next call, and closed if its
// endpoint is not listed any more.
func TestSpareConnection(t *testing.T) {
	f := newFixture("A")
	defer f.listener.Close()
	f.submit("reading", "A1")
	f.placeDueAt(0)
	f.connect("A1")
	spare := gateway.SpareDialed{Endpoint: f.callByMessage["A1"].Endpoint, Conn: f.newConn()}
	if effects := f.gateway.Step(f.now, spare); len(effects) != 0 {
		t.Errorf("listed: %d effects, want none", len(effects))
	}
	gone := spare
	gone.Endpoint.ID, gone.Conn = "B", f.newConn()
	if effects := f.gateway.Step(f.now, gone); len(effects) != 1 || effects[0] != (gateway.CloseConn{Conn: gone.Conn}) {
		t.Errorf("not listed: %v, want it closed", effects)
	}
	f.submit("reading", "A2")
	f.now = 1000.1
	effects, _ := f.gateway.PlaceDue(f.now)
	for _, e := range effects {
		if send, ok := e.(gateway.SendCall); ok && send.Call.Conn == spare.Conn {
			return
		}
	}
	t.Errorf("the next call was not sent on the spare connection: %v", effects)
}
