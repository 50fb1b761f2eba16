package gateway

import (
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/decide"
)

// Guards against descriptors that run out while endpoints do not answer: only so many second connections are dialed at once, and
// each call still ends.
func TestSecondDialsAreLimited(t *testing.T) {
	const calls, timeout = 3 * decide.MaxSecondDials, 0.3
	var dials atomic.Int32
	r := &Runner{Events: make(chan Event, calls), Dialer: func(_ string, timeout time.Duration) (net.Conn, error) {
		dials.Add(1)
		time.Sleep(timeout)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}}
	for range calls {
		go r.dialForCall(Dial{Call: &Call{}, Timeout: timeout, AgainAfter: 0.01})
	}
	for range calls {
		if e, ok := (<-r.Events).(Dialed); !ok || e.Conn != nil {
			t.Errorf("got %+v", e)
		}
	}
	if got := dials.Load(); got != calls+decide.MaxSecondDials {
		t.Errorf("%d connections were dialed, want %d", got, calls+decide.MaxSecondDials)
	}
	for deadline := time.Now().Add(time.Second); r.secondDials.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d second dials are still counted", r.secondDials.Load())
		}
	}
}
