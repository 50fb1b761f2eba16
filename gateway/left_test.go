package gateway_test

import (
	"testing"

	"orchiddrift/disk/faulty"
	"orchiddrift/gateway"
	"orchiddrift/ledger"
)

// Guards against a message that is taken on although its client left while it waited for the loop: it is refused and leaves no record.
func TestClientLeftWhileWaiting(t *testing.T) {
	for name, test := range map[string]struct {
		waited         float64 // seconds
		left, accepted bool
	}{"left": {0.2, true, false}, "stayed": {0.2, false, true}, "just submitted": {0, true, true}} {
		t.Run(name, func(t *testing.T) {
			folder := faulty.New()
			store, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: 3e6})
			if err != nil {
				t.Fatal(err)
			}
			r := newRunner(store, func() float64 { return 1000 })
			var reply gateway.Reply
			r.Post(gateway.Arrived{Message: newMessage(1020), SubmittedAt: 1000 - test.waited, ClientLeft: func() bool { return test.left },
				Respond: func(got gateway.Reply) { reply = got }})
			stop := make(chan struct{})
			close(stop)
			r.Run(stop)
			if reply.Accepted != test.accepted || !test.accepted && reply.Reason != gateway.ClientLeft {
				t.Errorf("got %+v", reply)
			}
			_, pending, _, err := ledger.Open(folder, ledger.Options{LimitBytes: 3e6, ReadOnly: true})
			if err != nil || len(pending) == 1 != test.accepted {
				t.Errorf("%d messages in the ledger, %v", len(pending), err)
			}
		})
	}
}
