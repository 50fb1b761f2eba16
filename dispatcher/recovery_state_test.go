package dispatcher_test

import (
	"fmt"
	"testing"
	"time"
)

// One of 34 dispatchers has connections to a destination refused, is killed, and starts again as the destination is back. It may
// send no more than its part of what the destination can take, although the ledger has no call that failed: it sent four, all that its slots allowed
// (report b8470f).
func TestOutageForgottenByRestart(t *testing.T) {
	const span, maxCalls = 1500 * time.Millisecond, 1
	e := newEndpoint(t)
	e.ln.Close()
	list := partnerList("s-1", e.addr, "ready")
	agent, _ := newAgent(t, list)
	d := configure(t, agent, list, func(config map[string]any) { config["settings"].(map[string]any)["balancers"] = 34 })
	first := d.startProcess(t, "first")
	if !d.submit("a0", 1) {
		t.Fatal("not accepted")
	}
	eventually(t, "an outage", func() bool { return first.logContains(`"state":"ejected"`) })
	time.Sleep(200 * time.Millisecond) // what it knows is in the folder
	first.kill()
	e.open(t)
	second := d.startProcess(t, "second")
	for i := range 8 {
		if !d.submit(fmt.Sprint("b", i), 1) {
			t.Fatal("not accepted")
		}
	}
	time.Sleep(span)
	if n := len(e.calls); n > maxCalls {
		t.Errorf("%d calls within %v of the restart, at most %d allowed", n, span, maxCalls)
	}
	if !second.logContains(`"why":"as the previous process left it"`) {
		t.Error("the restored state is not logged")
	}
}
