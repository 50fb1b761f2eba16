package gateway_test

import (
	"fmt"
	"math"
	"net"
	"strings"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/gateway"
	"orchiddrift/ledger"
	"orchiddrift/message"
	"orchiddrift/push"
)

// fixture applies events to a Gateway and prints its effects.
type fixture struct {
	gateway       *gateway.Gateway
	now           float64                  // current time, in seconds; 1000 at the start
	callByMessage map[string]*gateway.Call // by message ID
	listener      net.Listener             // accepts the connections to all endpoints
	hasRoom       bool                     // whether the ledger has room
}

// newFixture returns a fixture with the given endpoints listed as ready.
func newFixture(endpoints ...string) *fixture {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	f := &fixture{now: 1000, callByMessage: map[string]*gateway.Call{}, hasRoom: true, listener: ln}
	topics := []decide.Topic{
		{Name: "reading", Repeat: decide.Repeatable, DedupScope: "all", Objective: 2, TTL: 20, Benefit: 1},
		{Name: "tally", Repeat: decide.Collapsible, DedupWindow: 5, DedupScope: "all", Objective: 2, TTL: 20, Benefit: 1},
		{Name: "order", Repeat: decide.OnceOnly, DedupScope: "all", Objective: 4, TTL: 20, Benefit: 3, Ordered: true}}
	dir := directory.New()
	for _, e := range endpoints {
		dir.Apply([]directory.Endpoint{f.endpoint(e, directory.Ready)})
	}
	batchSize, separateRoutes := map[string]int{"bulk": 2}, map[string]bool{"apart": true}
	scheduler := decide.New(1, dir, topics, decide.Capacity{MaxCalls: 6, MaxHeld: 9, BatchSize: batchSize},
		decide.Routes{SeparateKinds: separateRoutes},
		decide.Recovery{InitialCapacityShare: 0.2, WarmUp: 10, OverloadFactor: 2, OverloadSpan: 2, Dispatchers: 2},
		decide.PushPolicy{MaxPushes: 8, KeyCooldown: 1, Tick: 0.005, IdleTimeout: 10}, decide.TenantQuotas{}, false)
	f.gateway = gateway.New(scheduler, dir, func(int, int) bool { return f.hasRoom }, separateRoutes, batchSize, 1.5)
	return f
}

// endpoint returns an endpoint of the destination that the first character of its ID names.
func (f *fixture) endpoint(id, stage string) directory.Endpoint {
	return directory.Endpoint{ID: id, Kind: "bulk", Dest: id[:1], Stage: stage, Rate: 10,
		Addr: f.listener.Addr().String()}
}

// submit submits messages. The first character of an ID is the destination, the second is the key for topic "order".
func (f *fixture) submit(topic string, ids ...string) {
	for _, id := range ids {
		m := &message.Message{ExpiresAt: f.now + 20}
		m.ID, m.Topic, m.Dest = id, topic, id[:1]
		if topic == "order" {
			m.Key = id[1:2]
		}
		f.step(gateway.Arrived{Message: m, Respond: func(gateway.Reply) {}})
	}
}

// step applies an event and prints the effects.
func (f *fixture) step(e gateway.Event) { f.print(f.gateway.Step(f.now, e)) }

// placeDueAt sets the clock to 1000 + now, places the messages that are due and prints the effects.
func (f *fixture) placeDueAt(now float64) {
	f.now = 1000 + now
	effects, wait := f.gateway.PlaceDue(f.now)
	f.print(effects)
	if math.IsInf(wait, 1) {
		f.printf("nothing scheduled")
	}
}

// connect establishes the connection of the call that carries a message.
func (f *fixture) connect(id string) {
	f.step(gateway.Dialed{Call: f.callByMessage[id], Conn: f.newConn()})
}

// newConn returns a new connection to an endpoint.
func (f *fixture) newConn() *push.Conn {
	conn, end := push.Dial(f.listener.Addr().String(), 1)
	if conn == nil {
		panic(end)
	}
	return conn
}

// leaveIdle establishes a connection for a call that has ended meanwhile: it is kept, as it has carried no call.
func (f *fixture) leaveIdle(id string) { f.connect(id) }

// endCall ends the call that carries a message.
func (f *fixture) endCall(id string, result push.CallResult) {
	f.step(gateway.CallEnded{Call: f.callByMessage[id], Result: result})
}

// printf prints a line with the time since the start.
func (f *fixture) printf(format string, args ...any) {
	fmt.Printf("%.2f  %s\n", f.now-1000, fmt.Sprintf(format, args...))
}

// print prints effects, and stores the calls among them in callByMessage.
func (f *fixture) print(effects []gateway.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case gateway.Accept:
			f.printf("accept %s", e.Message.ID)
		case gateway.Answer:
			f.printf("answer %+v", e.Reply)
		case gateway.WriteRecords:
			f.printf("write %s", describeRecords(e.Records))
		case gateway.Dial:
			f.remember(e.Call)
			f.printf("dial %s for %s within %.2f", e.Call.Endpoint.ID, messageIDs(e.Call), e.Timeout)
		case gateway.SendCall:
			f.remember(e.Call)
			f.printf("send %s to %s within %.2f, write %s", messageIDs(e.Call), e.Call.Endpoint.ID, e.Call.Remaining(f.now),
				describeRecords(e.Records))
		case gateway.Notify:
			f.printf("notify %s %s %.2f", e.ID, e.Outcome, e.RetryIn)
		case gateway.CloseConn:
			f.printf("close")
		default:
			f.printf("%T", e)
		}
	}
}

func (f *fixture) remember(c *gateway.Call) {
	for _, m := range c.Messages {
		f.callByMessage[m.ID] = c
	}
}

// messageIDs returns the IDs of the messages in a call, joined by "+".
func messageIDs(c *gateway.Call) string {
	var ids []string
	for _, m := range c.Messages {
		ids = append(ids, m.ID)
	}
	return strings.Join(ids, "+")
}

// describeRecords returns the kind, message ID and call number of each record.
func describeRecords(records []ledger.Record) string {
	names := []string{"", "accepted", "started", "not-run", "may-have-run", "notice", "completed"}
	var texts []string
	for _, r := range records {
		text := names[r.Kind] + " " + r.ID
		if r.CallNumber > 0 {
			text += fmt.Sprint(" #", r.CallNumber)
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ", ")
}

// Messages for one endpoint share a call and are settled separately.
func Example_sharedCall() {
	f := newFixture("A")
	f.submit("reading", "A1")
	f.submit("order", "A2")
	f.placeDueAt(0)
	f.connect("A2")
	f.now += 0.1
	f.endCall("A2", push.CallResult{Ends: []push.End{push.Delivered, push.Throttled}})
	f.placeDueAt(0.2)
	f.placeDueAt(1.5)
	f.connect("A2")
	f.endCall("A2", push.CallResult{Ends: []push.End{push.Delivered}})
	f.leaveIdle("A2")
	f.placeDueAt(10)
	// Output:
	// 0.00  accept A1
	// 0.00  accept A2
	// 0.00  dial A for A1+A2 within 1.50
	// 0.00  nothing scheduled
	// 0.00  send A1+A2 to A within 8.00, write started A1 #1, started A2 #1
	// 0.10  write completed A1, not-run A2 #1
	// 1.50  dial A for A2 within 1.50
	// 1.50  nothing scheduled
	// 1.50  send A2 to A within 8.00, write started A2 #2
	// 1.50  write completed A2
	// 10.00  close
	// 10.00  nothing scheduled
}

// A once-only message that may have run is given up. The next message with its key waits until the notice is answered.
func Example_noticeHoldsKey() {
	f := newFixture("A")
	f.submit("order", "A1", "A1'")
	f.placeDueAt(0)
	f.connect("A1")
	f.endCall("A1", push.UniformResult(1, push.ConnectionLost))
	f.placeDueAt(0.1)
	f.step(gateway.NoticeAnswered{ID: "A1"})
	f.placeDueAt(2)
	// Output:
	// 0.00  accept A1
	// 0.00  accept A1'
	// 0.00  dial A for A1 within 1.50
	// 0.00  send A1 to A within 8.00, write started A1 #1
	// 0.00  write may-have-run A1 #1
	// 0.00  write notice A1
	// 0.00  notify A1 given_up 0.00
	// 0.10  write completed A1
	// 2.00  dial A for A1' within 1.50
	// 2.00  nothing scheduled
}

// A notice carries the destination and the time left of the TTL for operators: a message given up early without a push
// had no room, one given up at the end of its TTL had a destination that took no calls.
func Example_noticeDetails() {
	f := newFixture("A")
	f.submit("order", "A1")
	f.placeDueAt(0)
	f.connect("A1")
	f.now += 0.5
	for _, e := range f.gateway.Step(f.now, gateway.CallEnded{Call: f.callByMessage["A1"],
		Result: push.UniformResult(1, push.ConnectionLost)}) {
		if n, ok := e.(gateway.Notify); ok {
			fmt.Printf("%s %s, to %s with %.1f s left\n", n.ID, n.Outcome, n.Dest, n.RemainingTTL)
		}
	}
	// Output:
	// 0.00  accept A1
	// 0.00  dial A for A1 within 1.50
	// 0.00  nothing scheduled
	// 0.00  send A1 to A within 8.00, write started A1 #1
	// A1 given_up, to A with 19.5 s left
}

// Guards against sending a call although a wait was told, or its endpoint listed as draining, while its connection was being
// established.
func Example_waitOrDrainDuringDial() {
	f := newFixture("A", "B")
	f.submit("reading", "A1", "A2", "A3")
	f.placeDueAt(0)
	f.connect("A1")
	f.now += 0.02
	f.endCall("A1", push.CallResult{Ends: []push.End{push.Throttled, push.Throttled}, RetryAfter: 0.4})
	f.connect("A3")
	f.submit("reading", "B1")
	f.placeDueAt(0.1)
	f.step(gateway.Listed{Endpoints: []directory.Endpoint{f.endpoint("B", directory.Draining)}})
	f.connect("B1")
	f.placeDueAt(0.2)
	f.placeDueAt(2)
	// Output:
	// 0.00  accept A1
	// 0.00  accept A2
	// 0.00  accept A3
	// 0.00  dial A for A1+A2 within 1.50
	// 0.00  dial A for A3 within 1.50
	// 0.00  nothing scheduled
	// 0.00  send A1+A2 to A within 4.00, write started A1 #1, started A2 #1
	// 0.02  write not-run A1 #1, not-run A2 #1
	// 0.02  accept B1
	// 0.10  dial B for B1 within 1.50
	// 2.00  send A1+A2 to A within 4.00, write started A1 #2, started A2 #2
}

// Guards against sending a repeat that the endpoint no longer recognizes, because its connection took a second to
// establish. The message is handed back, and the other message in the call is sent on the connection. The fleet test found
// this failure.
func Example_repeatWindowEndsDuringDial() {
	f := newFixture("A")
	defer f.listener.Close()
	f.submit("tally", "A1")
	f.placeDueAt(0)
	f.connect("A1")
	f.now += 2
	f.endCall("A1", push.UniformResult(1, push.ResponseTimeout))
	f.submit("reading", "A2")
	f.placeDueAt(4.5)
	f.now += 1.001
	f.connect("A2")
	f.placeDueAt(5.6)
	// Output:
	// 0.00  accept A1
	// 0.00  dial A for A1 within 1.50
	// 0.00  nothing scheduled
	// 0.00  send A1 to A within 4.00, write started A1 #1
	// 2.00  write may-have-run A1 #1
	// 2.00  accept A2
	// 4.50  dial A for A1+A2 within 1.50
	// 4.50  nothing scheduled
	// 5.50  write notice A1
	// 5.50  notify A1 handed_back 1.00
	// 5.50  send A2 to A within 3.00, write started A2 #2
	// 5.60  nothing scheduled
}

// Two messages with large bodies do not fit into one call: the second is sent in the next round, and no push is counted
// for its return.
func Example_largeBodies() {
	f := newFixture("A")
	for _, id := range []string{"A1", "A2"} {
		m := &message.Message{ExpiresAt: f.now + 20, Body: make([]byte, 30<<10)}
		m.ID, m.Topic, m.Dest = id, "reading", "A"
		f.step(gateway.Arrived{Message: m, Respond: func(gateway.Reply) {}})
	}
	f.placeDueAt(0)
	f.placeDueAt(0.01)
	// Output:
	// 0.00  accept A1
	// 0.00  accept A2
	// 0.00  dial A for A1 within 1.50
	// 0.01  dial A for A2 within 1.50
	// 0.01  nothing scheduled
}

// A duplicate is confirmed; a message without room in the ledger is refused; one that cannot be written there is
// removed.
func Example_notAccepted() {
	f := newFixture("A")
	f.submit("reading", "A1", "A1")
	f.hasRoom = false
	f.submit("reading", "A2")
	f.step(gateway.AcceptFailed{ID: "A1"})
	f.placeDueAt(0)
	// Output:
	// 0.00  accept A1
	// 0.00  answer {Accepted:true RetryIn:0 Reason:}
	// 0.00  answer {Accepted:false RetryIn:0 Reason:ledger full}
	// 0.00  nothing scheduled
}

// After a restart a once-only message that may have run is given up, an unanswered notice is sent again, and the others
// are pushed.
func Example_restart() {
	f := newFixture("A", "B")
	pendingMessage := func(id string, ranAt float64, notice *ledger.Record) ledger.Pending {
		m := &message.Message{ExpiresAt: f.now + 9}
		m.ID, m.Topic, m.Dest, m.Key, m.FirstRunAt, m.FirstRunEndpoint = id, "order", id[:1], id[1:2], ranAt, id[:1]
		return ledger.Pending{Message: m, Notice: notice}
	}
	f.print(f.gateway.Restore(f.now, []ledger.Pending{pendingMessage("A1", 998, nil), pendingMessage("A2", 0, nil),
		pendingMessage("B3", 0, &ledger.Record{ID: "B3", Outcome: gateway.HandedBack, RetryIn: 0.5}),
		pendingMessage("B3'", 0, nil)}))
	f.placeDueAt(0)
	f.placeDueAt(0.9)
	f.placeDueAt(1.2)
	f.step(gateway.NoticeAnswered{ID: "B3"})
	f.placeDueAt(1.4)
	// Output:
	// 0.00  notify B3 handed_back 0.50
	// 0.00  write notice A1
	// 0.00  notify A1 given_up 0.00
	// 1.20  dial A for A2 within 1.50
	// 1.20  write completed B3
	// 1.40  dial B for B3' within 1.50
	// 1.40  nothing scheduled
}

// During shutdown no push starts any more and no message is accepted. The process may exit once the pushes in flight have
// ended.
func Example_shutdown() {
	f := newFixture("A", "B")
	f.submit("reading", "A1")
	f.placeDueAt(0)
	f.connect("A1")
	f.step(gateway.IntakeClosed{})
	f.submit("reading", "B1")
	f.step(gateway.PushesStopped{})
	f.placeDueAt(0.1)
	fmt.Println(f.gateway.Finished())
	f.endCall("A1", push.UniformResult(1, push.Delivered))
	fmt.Println(f.gateway.Finished(), f.gateway.Pending())
	f.submit("reading", "B2")
	// Output:
	// 0.00  accept A1
	// 0.00  dial A for A1 within 1.50
	// 0.00  nothing scheduled
	// 0.00  send A1 to A within 4.00, write started A1 #1
	// 0.00  accept B1
	// 0.10  nothing scheduled
	// false
	// 0.10  write completed A1
	// true 1
	// 0.10  answer {Accepted:false RetryIn:0 Reason:stopping}
}

// Guards against losing the messages of a shared call through a response after the first of their TTLs has ended: an
// endpoint that hung answered such a call as delivered. The budget of the call must end with the first TTL, not with the
// longest timeout.
func Example_sharedBudget() {
	f := newFixture("A")
	defer f.listener.Close()
	f.submit("reading", "A1")
	f.now += 18
	f.submit("order", "A2")
	f.placeDueAt(18)
	f.connect("A1")
	f.now = 1019.999
	f.endCall("A2", push.UniformResult(2, push.ResponseTimeout))
	// Output:
	// 0.00  accept A1
	// 18.00  accept A2
	// 18.00  dial A for A1+A2 within 1.50
	// 18.00  nothing scheduled
	// 18.00  send A1+A2 to A within 2.00, write started A1 #1, started A2 #1
	// 20.00  write may-have-run A1 #1, may-have-run A2 #1
	// 20.00  write notice A1
	// 20.00  notify A1 handed_back 1.00
	// 20.00  write notice A2
	// 20.00  notify A2 given_up 0.00
}

// Idle connections to an endpoint are closed when it is reported as gone.
func Example_endpointGone() {
	f := newFixture("A")
	defer f.listener.Close()
	f.submit("reading", "A1")
	f.placeDueAt(0)
	f.connect("A1")
	f.endCall("A1", push.CallResult{Ends: []push.End{push.Delivered}})
	f.leaveIdle("A1")
	f.now++
	f.step(gateway.Listed{Endpoints: []directory.Endpoint{f.endpoint("A", directory.Gone)}})
	// Output:
	// 0.00  accept A1
	// 0.00  dial A for A1 within 1.50
	// 0.00  nothing scheduled
	// 0.00  send A1 to A within 4.00, write started A1 #1
	// 0.00  write completed A1
	// 1.00  close
}

// A once-only message is sent on a new connection if a connection to its endpoint has broken before. An idle connection is
// closed for it.
func Example_newConnectionAfterBreak() {
	f := newFixture("A")
	defer f.listener.Close()
	f.submit("reading", "A1")
	f.placeDueAt(0)
	f.connect("A1")
	f.endCall("A1", push.UniformResult(1, push.ConnectionLost))
	f.placeDueAt(2)
	f.connect("A1")
	f.endCall("A1", push.CallResult{Ends: []push.End{push.Delivered}})
	f.leaveIdle("A1")
	f.submit("reading", "A2")
	f.placeDueAt(2.1)
	f.endCall("A2", push.CallResult{Ends: []push.End{push.Delivered}})
	f.leaveIdle("A2")
	f.submit("order", "A3")
	f.placeDueAt(4)
	// Output:
	// 0.00  accept A1
	// 0.00  dial A for A1 within 1.50
	// 0.00  nothing scheduled
	// 0.00  send A1 to A within 4.00, write started A1 #1
	// 0.00  write may-have-run A1 #1
	// 2.00  dial A for A1 within 1.50
	// 2.00  nothing scheduled
	// 2.00  send A1 to A within 4.00, write started A1 #2
	// 2.00  write completed A1
	// 2.00  accept A2
	// 2.10  send A2 to A within 2.00, write started A2 #3
	// 2.10  nothing scheduled
	// 2.10  write completed A2
	// 2.10  accept A3
	// 4.00  close
	// 4.00  dial A for A3 within 1.50
	// 4.00  nothing scheduled
}

// Guards against pushing a message again if it is submitted again after its delivery: its ID must be kept until some
// seconds after its TTL, and no longer.
func Example_duplicateAfterDelivery() {
	f := newFixture("A")
	defer f.listener.Close()
	f.submit("order", "A1")
	f.placeDueAt(0)
	f.connect("A1")
	f.endCall("A1", push.UniformResult(1, push.Delivered))
	f.submit("order", "A1")
	f.placeDueAt(1)
	for range 2 {
		f.now += 20
		f.step(gateway.Listed{})
		f.submit("order", "A1")
	}
	// Output:
	// 0.00  accept A1
	// 0.00  dial A for A1 within 1.50
	// 0.00  nothing scheduled
	// 0.00  send A1 to A within 8.00, write started A1 #1
	// 0.00  write completed A1
	// 0.00  answer {Accepted:true RetryIn:0 Reason:}
	// 21.00  answer {Accepted:true RetryIn:0 Reason:}
	// 41.00  accept A1
}

// A wait told by an endpoint that is a route of its own applies to that route only: a call to another route whose
// connection is being established is still sent.
func Example_waitOfSeparateRoute() {
	f := newFixture()
	for _, id := range []string{"A", "Ab"} {
		e := f.endpoint(id, directory.Ready)
		e.Kind = "apart"
		f.step(gateway.Listed{Endpoints: []directory.Endpoint{e}})
	}
	f.submit("reading", "A1", "A2")
	f.placeDueAt(0)
	f.connect("A1")
	f.now += 0.02
	f.endCall("A1", push.CallResult{Ends: []push.End{push.Throttled}, RetryAfter: 0.4})
	f.connect("A2")
	// Output:
	// 0.00  accept A1
	// 0.00  accept A2
	// 0.00  dial A for A1 within 1.50
	// 0.00  dial Ab for A2 within 1.50
	// 0.00  nothing scheduled
	// 0.00  send A1 to A within 4.00, write started A1 #1
	// 0.02  write not-run A1 #1
	// 0.02  send A2 to Ab within 3.98, write started A2 #2
}
