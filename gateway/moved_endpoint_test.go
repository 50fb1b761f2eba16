package gateway_test

import (
	"testing"

	"orchiddrift/directory"
	"orchiddrift/gateway"
	"orchiddrift/message"
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

// Guards against a new process that is taken for the one that had its address before: once the list tells that an endpoint is gone and
// another destination's endpoint has its address, neither the call that was being connected nor its connection is used.
func TestAnotherEndpointAtTheAddress(t *testing.T) {
	f := newFixture("A")
	f.gateway.Step(f.now, gateway.Arrived{Message: requestFor(nil)})
	effects, _ := f.gateway.PlaceDue(f.now)
	call := effects[0].(gateway.Dial).Call
	gone, other := f.endpoint("A", directory.Gone), f.endpoint("B", directory.Ready)
	other.Addr = call.Endpoint.Addr
	f.gateway.Step(f.now, gateway.Listed{Endpoints: []directory.Endpoint{gone, other}})
	conn := f.newConn()
	closed := false
	effects = append(f.gateway.Step(f.now, gateway.Dialed{Call: call, Conn: conn}), f.gateway.Step(f.now, gateway.Listed{})...)
	for _, e := range effects {
		switch e := e.(type) {
		case gateway.SendCall:
			t.Errorf("the call for A is sent to %s", e.Call.Endpoint.ID)
		case gateway.CloseConn:
			closed = closed || e.Conn == conn
		}
	}
	if !closed {
		t.Error("the connection that was dialed for the endpoint that has gone is kept")
	}
	f.gateway.Step(f.now, gateway.Arrived{Message: requestFor(func(m *message.Message) { m.ID, m.Dest, m.Key = "B1", "B", "" })})
	effects, _ = f.gateway.PlaceDue(f.now)
	for _, e := range effects {
		if send, ok := e.(gateway.SendCall); ok {
			t.Errorf("a call for B is sent on a connection of %s", send.Call.Endpoint.ID)
		}
	}
}
