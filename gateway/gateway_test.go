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

// bench plays a gateway's surroundings and prints what it asks for.
type bench struct {
	g     *gateway.Gateway
	now   float64
	calls map[string]*gateway.Call // by message
	ln    net.Listener             // all endpoints are reached here
	room  bool
}

func newBench(ends ...string) *bench {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	b := &bench{now: 1000, calls: map[string]*gateway.Call{}, room: true, ln: ln}
	topics := []decide.Topic{
		{Name: "reading", Repeat: decide.Repeatable, DedupScope: "all", Objective: 2, TTL: 20, Benefit: 1},
		{Name: "tally", Repeat: decide.Collapsible, DedupWindow: 5, DedupScope: "all", Objective: 2, TTL: 20, Benefit: 1},
		{Name: "order", Repeat: decide.OnceOnly, DedupScope: "all", Objective: 4, TTL: 20, Benefit: 3, Ordered: true}}
	dir := directory.New()
	for _, e := range ends {
		dir.Apply([]directory.Endpoint{b.line(e, directory.Ready)})
	}
	batch, apart := map[string]int{"bulk": 2}, map[string]bool{"apart": true}
	m := decide.New(1, dir, topics, decide.Capacity{MaxCalls: 6, MaxHeld: 9, BatchSize: batch}, decide.Routes{SeparateByKind: apart},
		decide.Recovery{InitialCapacity: 0.2, WarmUp: 10, OverloadFactor: 2, OverloadSpan: 2, Dispatchers: 2},
		decide.PushPolicy{MaxPushes: 8, KeyCooldown: 1, Tick: 0.005, IdleTimeout: 10}, decide.TenantQuotas{}, false)
	b.g = gateway.New(m, dir, func(int) bool { return b.room }, apart, batch, 1.5)
	return b
}

func (b *bench) line(id, stage string) directory.Endpoint {
	return directory.Endpoint{ID: id, Kind: "bulk", Dest: id[:1], Stage: stage, Rate: 10,
		Addr: b.ln.Addr().String()}
}

// take hands in messages named topic, destination and key: "order A1".
func (b *bench) take(topic string, ids ...string) {
	for _, id := range ids {
		m := &message.Message{ExpiresAt: b.now + 20}
		m.ID, m.Topic, m.Dest = id, topic, id[:1]
		if topic == "order" {
			m.Key = id[1:2]
		}
		b.step(gateway.Arrived{Message: m, Reply: func(gateway.Reply) {}})
	}
}

func (b *bench) step(e gateway.Event) { b.show(b.g.Step(b.now, e)) }

// at moves the clock on and lets all go whose turn has come.
func (b *bench) at(now float64) {
	b.now = 1000 + now
	effects, wait := b.g.PlaceDue(b.now)
	b.show(effects)
	if math.IsInf(wait, 1) {
		b.say("nothing to wait for")
	}
}

// open lets a call's connection come up.
func (b *bench) open(id string) {
	conn, end := push.Dial(b.ln.Addr().String(), 1)
	b.step(gateway.Dialed{Call: b.calls[id], Conn: conn, End: end})
}

func (b *bench) end(id string, a push.CallResult) {
	b.step(gateway.CallEnded{Call: b.calls[id], Result: a})
}

func (b *bench) say(format string, args ...any) {
	fmt.Printf("%.2f  %s\n", b.now-1000, fmt.Sprintf(format, args...))
}

func (b *bench) show(effects []gateway.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case gateway.Accept:
			b.say("accept %s", e.Message.ID)
		case gateway.Answer:
			b.say("answer %+v", e.Reply)
		case gateway.WriteRecords:
			b.say("keep %s", records(e.Records))
		case gateway.Dial:
			b.note(e.Call)
			b.say("dial %s for %s within %.2f", e.Call.Endpoint.ID, items(e.Call), e.Timeout)
		case gateway.SendCall:
			b.note(e.Call)
			b.say("begin %s to %s within %.2f, keep %s", items(e.Call), e.Call.Endpoint.ID, e.Call.Remaining(b.now), records(e.Records))
		case gateway.Notify:
			b.say("notify %s %s %.2f", e.ID, e.Outcome, e.RetryIn)
		case gateway.CloseConn:
			b.say("shut")
		default:
			b.say("%T", e)
		}
	}
}

func (b *bench) note(c *gateway.Call) {
	for _, m := range c.Messages {
		b.calls[m.ID] = c
	}
}

func items(c *gateway.Call) string {
	var ids []string
	for _, m := range c.Messages {
		ids = append(ids, m.ID)
	}
	return strings.Join(ids, "+")
}

func records(list []ledger.Record) string {
	names := []string{"", "taken", "began", "notrun", "mayrun", "noticed", "over"}
	var texts []string
	for _, r := range list {
		text := names[r.Kind] + " " + r.ID
		if r.CallNumber > 0 {
			text += fmt.Sprint(" #", r.CallNumber)
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ", ")
}

// The life of messages: taken on, pushed together where they may share a call, over with their delivery.
func Example_life() {
	b := newBench("A")
	b.take("reading", "A1")
	b.take("order", "A2")
	b.at(0)
	b.open("A2")
	b.now += 0.1
	b.end("A2", push.CallResult{Ends: []push.End{push.Delivered, push.Throttled}, Reusable: true})
	b.at(0.2)
	b.at(1.5)
	b.end("A2", push.CallResult{Ends: []push.End{push.Delivered}, Reusable: true})
	b.at(10)
	// Output:
	// 0.00  accept A1
	// 0.00  accept A2
	// 0.00  dial A for A1+A2 within 1.50
	// 0.00  nothing to wait for
	// 0.00  begin A1+A2 to A within 8.00, keep began A1 #1, began A2 #1
	// 0.10  keep over A1, notrun A2 #1
	// 1.50  begin A2 to A within 8.00, keep began A2 #2
	// 1.50  nothing to wait for
	// 1.50  keep over A2
	// 10.00  shut
	// 10.00  nothing to wait for
}

// An order that may have run is given up. The next of its key waits until the notice was answered.
func Example_notice() {
	b := newBench("A")
	b.take("order", "A1", "A1'")
	b.at(0)
	b.open("A1")
	b.end("A1", push.UniformResult(1, push.ConnectionLost))
	b.at(0.1)
	b.step(gateway.NoticeAnswered{ID: "A1"})
	b.at(2)
	// Output:
	// 0.00  accept A1
	// 0.00  accept A1'
	// 0.00  dial A for A1 within 1.50
	// 0.00  begin A1 to A within 8.00, keep began A1 #1
	// 0.00  keep mayrun A1 #1
	// 0.00  keep noticed A1
	// 0.00  notify A1 given_up 0.00
	// 0.10  keep over A1
	// 2.00  dial A for A1' within 1.50
	// 2.00  nothing to wait for
}

// A notice says where its message was to go and how much of its TTL was left: a message given up early with
// no push tells on-call staff that there was no room for it, one with none left that its destination was shut.
func Example_noticeTellsWhere() {
	b := newBench("A")
	b.take("order", "A1")
	b.at(0)
	b.open("A1")
	b.now += 0.5
	for _, e := range b.g.Step(b.now, gateway.CallEnded{Call: b.calls["A1"], Result: push.UniformResult(1, push.ConnectionLost)}) {
		if n, ok := e.(gateway.Notify); ok {
			fmt.Printf("%s %s, to %s with %.1f s left\n", n.ID, n.Outcome, n.Dest, n.RemainingTTL)
		}
	}
	// Output:
	// 0.00  accept A1
	// 0.00  dial A for A1 within 1.50
	// 0.00  nothing to wait for
	// 0.00  begin A1 to A within 8.00, keep began A1 #1
	// A1 given_up, to A with 19.5 s left
}

// What was told while a connection came up holds: after a wait or a drain the call is not sent.
func Example_toldMeanwhile() {
	b := newBench("A", "B")
	b.take("reading", "A1", "A2", "A3")
	b.at(0)
	b.open("A1")
	b.now += 0.02
	b.end("A1", push.CallResult{Ends: []push.End{push.Throttled, push.Throttled}, RetryAfter: 0.4})
	b.open("A3")
	b.take("reading", "B1")
	b.at(0.1)
	b.step(gateway.Listed{Endpoints: []directory.Endpoint{b.line("B", directory.Draining)}})
	b.open("B1")
	b.at(0.2)
	b.at(2)
	// Output:
	// 0.00  accept A1
	// 0.00  accept A2
	// 0.00  accept A3
	// 0.00  dial A for A1+A2 within 1.50
	// 0.00  dial A for A3 within 1.50
	// 0.00  nothing to wait for
	// 0.00  begin A1+A2 to A within 4.00, keep began A1 #1, began A2 #1
	// 0.02  keep notrun A1 #1, notrun A2 #1
	// 0.02  accept B1
	// 0.10  dial B for B1 within 1.50
	// 2.00  begin A1+A2 to A within 4.00, keep began A1 #2, began A2 #2
}

// Found on the fleet trial: a push that may have run, its repeat placed while that was still known, and a connection that
// came up a second later. It is not sent any more, but given up; the connection is kept for what shared the call.
func Example_knownNoMore() {
	b := newBench("A")
	defer b.ln.Close()
	b.take("tally", "A1")
	b.at(0)
	b.open("A1")
	b.now += 2
	b.end("A1", push.UniformResult(1, push.ResponseTimeout))
	b.take("reading", "A2")
	b.at(4.5)
	b.now += 1.001
	b.open("A2")
	b.at(5.6)
	// Output:
	// 0.00  accept A1
	// 0.00  dial A for A1 within 1.50
	// 0.00  nothing to wait for
	// 0.00  begin A1 to A within 4.00, keep began A1 #1
	// 2.00  keep mayrun A1 #1
	// 2.00  accept A2
	// 4.50  dial A for A1+A2 within 1.50
	// 4.50  nothing to wait for
	// 5.50  keep noticed A1
	// 5.50  notify A1 handed_back 1.00
	// 5.50  begin A2 to A within 3.00, keep began A2 #2
	// 5.60  nothing to wait for
}

// Two large messages do not fit one call: the second goes with the next turn, and has used no push.
func Example_largeBodies() {
	b := newBench("A")
	for _, id := range []string{"A1", "A2"} {
		m := &message.Message{ExpiresAt: b.now + 20, Body: make([]byte, 30<<10)}
		m.ID, m.Topic, m.Dest = id, "reading", "A"
		b.step(gateway.Arrived{Message: m, Reply: func(gateway.Reply) {}})
	}
	b.at(0)
	b.at(0.01)
	// Output:
	// 0.00  accept A1
	// 0.00  accept A2
	// 0.00  dial A for A1 within 1.50
	// 0.01  dial A for A2 within 1.50
	// 0.01  nothing to wait for
}

// A message handed in twice, one that finds no room in the ledger, one that could not be written there.
func Example_notTaken() {
	b := newBench("A")
	b.take("reading", "A1", "A1")
	b.room = false
	b.take("reading", "A2")
	b.step(gateway.AcceptFailed{ID: "A1"})
	b.at(0)
	// Output:
	// 0.00  accept A1
	// 0.00  answer {Accepted:true RetryIn:0 Reason:}
	// 0.00  answer {Accepted:false RetryIn:0 Reason:ledger full}
	// 0.00  nothing to wait for
}

// After a restart: an order that may have run is given up, a notice is sent again, the rest is pushed.
func Example_restart() {
	b := newBench("A", "B")
	owed := func(id string, ranAt float64, notice *ledger.Record) ledger.Pending {
		m := &message.Message{ExpiresAt: b.now + 9}
		m.ID, m.Topic, m.Dest, m.Key, m.RanAt, m.RanTo = id, "order", id[:1], id[1:2], ranAt, id[:1]
		return ledger.Pending{Message: m, Notice: notice}
	}
	b.show(b.g.Restore(b.now, []ledger.Pending{owed("A1", 998, nil), owed("A2", 0, nil),
		owed("B3", 0, &ledger.Record{ID: "B3", Outcome: gateway.HandedBack, RetryIn: 0.5}), owed("B3'", 0, nil)}))
	b.at(0)
	b.at(0.9)
	b.at(1.2)
	b.step(gateway.NoticeAnswered{ID: "B3"})
	b.at(1.4)
	// Output:
	// 0.00  notify B3 handed_back 0.50
	// 0.00  keep noticed A1
	// 0.00  notify A1 given_up 0.00
	// 1.20  dial A for A2 within 1.50
	// 1.20  keep over B3
	// 1.40  dial B for B3' within 1.50
	// 1.40  nothing to wait for
}

// A planned stop: no push starts any more, what is out may end, and then the process may.
func Example_stop() {
	b := newBench("A", "B")
	b.take("reading", "A1")
	b.at(0)
	b.open("A1")
	b.step(gateway.IntakeClosed{})
	b.take("reading", "B1")
	b.step(gateway.PushesStopped{})
	b.at(0.1)
	fmt.Println(b.g.Finished())
	b.end("A1", push.UniformResult(1, push.Delivered))
	fmt.Println(b.g.Finished(), b.g.Pending())
	b.take("reading", "B2")
	// Output:
	// 0.00  accept A1
	// 0.00  dial A for A1 within 1.50
	// 0.00  nothing to wait for
	// 0.00  begin A1 to A within 4.00, keep began A1 #1
	// 0.00  accept B1
	// 0.10  nothing to wait for
	// false
	// 0.10  keep over A1
	// true 1
	// 0.10  answer {Accepted:false RetryIn:0 Reason:stopping}
}

// Two messages share a call: it tells, and is waited for, the time that the first TTL leaves, not the longest wait. An
// endpoint that hung once answered such a call as done after that time, and both were lost.
func Example_sharedTime() {
	b := newBench("A")
	defer b.ln.Close()
	b.take("reading", "A1")
	b.now += 18
	b.take("order", "A2")
	b.at(18)
	b.open("A1")
	b.now = 1019.999
	b.end("A2", push.UniformResult(2, push.ResponseTimeout))
	// Output:
	// 0.00  accept A1
	// 18.00  accept A2
	// 18.00  dial A for A1+A2 within 1.50
	// 18.00  nothing to wait for
	// 18.00  begin A1+A2 to A within 2.00, keep began A1 #1, began A2 #1
	// 20.00  keep mayrun A1 #1, mayrun A2 #1
	// 20.00  keep noticed A1
	// 20.00  notify A1 handed_back 1.00
	// 20.00  keep noticed A2
	// 20.00  notify A2 given_up 0.00
}

// Idle connections to an endpoint that is gone are closed with the news.
func Example_gone() {
	b := newBench("A")
	defer b.ln.Close()
	b.take("reading", "A1")
	b.at(0)
	b.open("A1")
	b.end("A1", push.CallResult{Ends: []push.End{push.Delivered}, Reusable: true})
	b.now++
	b.step(gateway.Listed{Endpoints: []directory.Endpoint{b.line("A", directory.Gone)}})
	// Output:
	// 0.00  accept A1
	// 0.00  dial A for A1 within 1.50
	// 0.00  nothing to wait for
	// 0.00  begin A1 to A within 4.00, keep began A1 #1
	// 0.00  keep over A1
	// 1.00  shut
}

// A once-only message after a break goes on a new connection, in the place of one kept.
func Example_anew() {
	b := newBench("A")
	defer b.ln.Close()
	b.take("reading", "A1")
	b.at(0)
	b.open("A1")
	b.end("A1", push.UniformResult(1, push.ConnectionLost))
	b.at(2)
	b.open("A1")
	b.end("A1", push.CallResult{Ends: []push.End{push.Delivered}, Reusable: true})
	b.take("reading", "A2")
	b.at(2.1)
	b.end("A2", push.CallResult{Ends: []push.End{push.Delivered}, Reusable: true})
	b.take("order", "A3")
	b.at(4)
	// Output:
	// 0.00  accept A1
	// 0.00  dial A for A1 within 1.50
	// 0.00  nothing to wait for
	// 0.00  begin A1 to A within 4.00, keep began A1 #1
	// 0.00  keep mayrun A1 #1
	// 2.00  dial A for A1 within 1.50
	// 2.00  nothing to wait for
	// 2.00  begin A1 to A within 4.00, keep began A1 #2
	// 2.00  keep over A1
	// 2.00  accept A2
	// 2.10  begin A2 to A within 2.00, keep began A2 #3
	// 2.10  nothing to wait for
	// 2.10  keep over A2
	// 2.10  accept A3
	// 4.00  shut
	// 4.00  dial A for A3 within 1.50
	// 4.00  nothing to wait for
}

// An id that comes again once its message is over is not pushed again while its TTL lasts.
func Example_again() {
	b := newBench("A")
	defer b.ln.Close()
	b.take("order", "A1")
	b.at(0)
	b.open("A1")
	b.end("A1", push.UniformResult(1, push.Delivered))
	b.take("order", "A1")
	b.at(1)
	b.now += 20
	b.step(gateway.Listed{})
	b.take("order", "A1")
	// Output:
	// 0.00  accept A1
	// 0.00  dial A for A1 within 1.50
	// 0.00  nothing to wait for
	// 0.00  begin A1 to A within 8.00, keep began A1 #1
	// 0.00  keep over A1
	// 0.00  answer {Accepted:true RetryIn:0 Reason:}
	// 21.00  accept A1
}

// A wait that a route apart told while another route's connection came up binds that route alone.
func Example_routeToldWait() {
	b := newBench()
	for _, id := range []string{"A", "Ab"} {
		e := b.line(id, directory.Ready)
		e.Kind = "apart"
		b.step(gateway.Listed{Endpoints: []directory.Endpoint{e}})
	}
	b.take("reading", "A1", "A2")
	b.at(0)
	b.open("A1")
	b.now += 0.02
	b.end("A1", push.CallResult{Ends: []push.End{push.Throttled}, RetryAfter: 0.4})
	b.open("A2")
	// Output:
	// 0.00  accept A1
	// 0.00  accept A2
	// 0.00  dial A for A1 within 1.50
	// 0.00  dial Ab for A2 within 1.50
	// 0.00  nothing to wait for
	// 0.00  begin A1 to A within 4.00, keep began A1 #1
	// 0.02  keep notrun A1 #1
	// 0.02  begin A2 to Ab within 3.98, keep began A2 #2
}
