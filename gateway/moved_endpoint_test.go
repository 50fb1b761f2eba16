package gateway_test

import (
	"testing"

	"orchiddrift/directory"
	"orchiddrift/gateway"
)

// Guards against a call that goes to an address which its endpoint has left, where another destination's endpoint may be by now: the
// ID is listed with another address while the call's connection comes up, or between the record of its start and its sending.
func TestEndpointMovesToAnotherAddress(t *testing.T) {
	for name, connectFirst := range map[string]bool{"while the connection comes up": false, "before the call is sent": true} {
		f := newFixture("A")
		f.gateway.Step(f.now, gateway.Arrived{Message: requestFor(nil)})
		effects, _ := f.gateway.PlaceDue(f.now)
		call := effects[0].(gateway.Dial).Call
		moved := f.endpoint("A", directory.Ready)
		moved.Addr = "127.0.0.1:1"
		dialed := gateway.Dialed{Call: call, Conn: f.newConn()}
		if connectFirst {
			f.gateway.Step(f.now, dialed)
			f.gateway.Step(f.now, gateway.Listed{Endpoints: []directory.Endpoint{moved}})
			if f.gateway.MaySend(f.now, call) {
				t.Errorf("%s: the call may be sent", name)
			}
			continue
		}
		f.gateway.Step(f.now, gateway.Listed{Endpoints: []directory.Endpoint{moved}})
		for _, e := range f.gateway.Step(f.now, dialed) {
			if _, ok := e.(gateway.SendCall); ok {
				t.Errorf("%s: the call is sent", name)
			}
		}
	}
}
