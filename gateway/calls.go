package gateway

import (
	"maps"
	"math"
	"slices"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/invariant"
	"orchiddrift/ledger"
	"orchiddrift/message"
	"orchiddrift/push"
)

// Call is one call to an endpoint, for one message or for several that share it.
type Call struct {
	ID       uint64 // its number, once it is about to be sent; the ledger's records of its start and its end name it
	Endpoint directory.Endpoint
	Messages []*message.Message
	Conn     *push.Conn // once it is sent, the connection that it is out on
	until    float64    // when the longest of its messages' waits is over, or the first of their TTLs
	first    float64    // until when an answer counts for all of them
	start    float64    // its first byte may leave until then
	placed   float64
	fresh    bool // it goes on a new connection
	began    float64
}

// throttled is what a told wait binds: a destination, or one of its routes apart.
type throttled struct{ dest, route string }

// String names it for the checks.
func (t throttled) String() string { return t.dest + "/" + t.route }

func (g *Gateway) throttled(e directory.Endpoint) throttled {
	if g.apart[e.Kind] {
		return throttled{e.Dest, e.ID}
	}
	return throttled{dest: e.Dest}
}

// Remaining is how long the call may still wait.
func (c *Call) Remaining(now float64) float64 { return max(0, c.until-now) }

// join puts a push into the latest call of this turn to its endpoint that has room, or into a new one. A call
// has one connection and so one end, and tells one time: it is waited for as long as any message in it may wait, but
// not past the first TTL among them. An answer after that is late for one of its messages and may stand for none,
// though it reads as delivered for all: what was taken as over on it would be lost. This does harm where one with little
// time left takes others with it that could have waited.
func (g *Gateway) join(now float64, a decide.Decision) {
	it := g.hand[a.NotificationID]
	it.start, it.first = now+a.StartWithin, a.FirstRun
	until := now + a.Timeout
	for i := len(g.forming) - 1; i >= 0; i-- {
		c := g.forming[i]
		if c.Endpoint.ID == a.Endpoint && len(c.Messages) < g.batch[c.Endpoint.Kind] {
			if !push.Fits(c.Messages, it.message) {
				it.call = &Call{Endpoint: c.Endpoint, Messages: []*message.Message{it.message}, placed: now}
				g.overfull = append(g.overfull, it.call)
				return
			}
			c.Messages = append(c.Messages, it.message)
			c.first = min(c.first, now+a.AnswerValidFor)
			c.start = min(c.start, it.start)
			c.until = min(max(c.until, until), c.first)
			c.fresh = c.fresh || a.NewConnection
			it.call = c
			return
		}
	}
	e, _ := g.dir.Find(it.message.Dest, a.Endpoint)
	it.call = &Call{Endpoint: e, Messages: []*message.Message{it.message}, until: until, first: now + a.AnswerValidFor,
		start: it.start, placed: now, fresh: a.NewConnection}
	g.forming = append(g.forming, it.call)
}

// start gives each call of this turn an idle connection, or has one opened. What a call's body had no room for
// is given back; it tells whether there was any, whose turn is then to be asked again.
func (g *Gateway) start(now float64) bool {
	for _, c := range g.forming {
		conn := g.reuse(c.Endpoint)
		if conn != nil && c.fresh { // in its place: an endpoint takes only so many
			g.do(CloseConn{conn})
			conn = nil
		}
		if conn != nil {
			g.begin(now, c, conn)
		} else {
			g.do(Dial{c, min(g.dial, c.Remaining(now))})
		}
	}
	back := g.overfull
	g.forming, g.overfull = nil, nil
	for _, c := range back {
		g.ended(now, c, push.UniformResult(1, push.Withdrawn))
	}
	return len(back) > 0
}

// reuse takes the idle connection used last that still stands and leads to the endpoint's address.
func (g *Gateway) reuse(e directory.Endpoint) *push.Conn {
	for list := g.idle[e.ID]; len(list) > 0; list = g.idle[e.ID] {
		conn := list[len(list)-1]
		g.idle[e.ID] = list[:len(list)-1]
		if conn.Addr() == e.Addr && conn.Alive() {
			return conn
		}
		g.do(CloseConn{conn})
	}
	return nil
}

// connected sends a call on its new connection. If its destination told a wait meanwhile, or the endpoint is
// no longer listed as ready, the connection is kept and the module asked again; so for a message whose time to start has
// passed: a connection may take a second to come up, and what may have run is known for a repeat only so long.
func (g *Gateway) connected(now float64, e Dialed) {
	c := e.Call
	if e.Conn == nil {
		if e.End == push.NoSocket && !g.shutIdle() {
			g.PausePushes(now + noSocketPause) // nothing here can be let go for it: others have to
		}
		g.ended(now, c, push.UniformResult(len(c.Messages), e.End))
		return
	}
	for _, m := range c.Messages {
		if g.on(c, m) && g.hand[m.ID].start < now {
			g.end(now, c, []*message.Message{m}, push.UniformResult(1, push.Withdrawn))
		}
	}
	c.Messages = slices.DeleteFunc(c.Messages, func(m *message.Message) bool { return !g.on(c, m) })
	c.start = math.Inf(1)
	for _, m := range c.Messages {
		c.start = min(c.start, g.hand[m.ID].start) // of those that are still in it
	}
	if len(c.Messages) == 0 || !g.MaySend(now, c) {
		g.keep(c.Endpoint, e.Conn)
		g.ended(now, c, push.UniformResult(len(c.Messages), push.Withdrawn))
		return
	}
	g.begin(now, c, e.Conn)
}

func (g *Gateway) begin(now float64, c *Call, conn *push.Conn) {
	g.calls++
	c.ID, c.Conn, c.began = g.calls, conn, now
	t := g.throttled(c.Endpoint)
	if calls, span, ok := g.module.RecoveryBudget(now, c.Endpoint); ok {
		g.checks.CheckRecovery(now, c.Messages[0].ID, t.String(), calls, span)
	}
	begin := SendCall{Call: c}
	for _, m := range c.Messages {
		g.checks.CheckSend(now, m.ID, invariant.Target{Throttle: t.String(), Endpoint: c.Endpoint.ID})
		begin.Records = append(begin.Records, ledger.Record{Kind: ledger.CallStarted, ID: m.ID, StartedAt: now, Endpoint: c.Endpoint.ID,
			Zone: c.Endpoint.Zone, CallNumber: c.ID})
		if first := g.hand[m.ID].first; first.SentAt > 0 {
			begin.Repeats = append(begin.Repeats, Repeat{ID: m.ID, SinceFirst: now - first.SentAt, Group: g.module.Topic(m.Topic).DedupScope, Zone: first.Zone})
		}
	}
	g.do(begin)
}

// on tells that a message is still out on a call.
func (g *Gateway) on(c *Call, m *message.Message) bool {
	return g.hand[m.ID] != nil && g.hand[m.ID].call == c
}

// ended takes in how a call ended, for each message still on it.
func (g *Gateway) ended(now float64, c *Call, a push.CallResult) {
	if c.Conn != nil && a.Reusable {
		g.keep(c.Endpoint, c.Conn)
	}
	if a.RetryAfter > 0 {
		g.told(now, c.Endpoint, a.RetryAfter)
	}
	var on []*message.Message
	var ends []push.End
	for i, m := range c.Messages {
		if g.on(c, m) {
			on, ends = append(on, m), append(ends, a.Ends[i])
		}
	}
	a.Ends = ends
	g.end(now, c, on, a)
}

// told takes in a wait that an endpoint told, whoever the answer was for.
func (g *Gateway) told(now float64, e directory.Endpoint, wait float64) {
	g.waits[g.throttled(e)] = now
	g.checks.WaitTold(g.throttled(e).String(), now+wait)
	g.module.HandleOutcome(now, decide.Outcome{Dest: e.Dest, Endpoint: e.ID, Wait: wait})
}

// end takes in how a call ended for some of its messages: the ledger has it before the module.
func (g *Gateway) end(now float64, c *Call, list []*message.Message, a push.CallResult) {
	var records []ledger.Record
	for i, m := range list {
		if r, ok := endRecord(c, m.ID, a.Ends[i]); ok {
			records = append(records, r)
		}
	}
	if len(records) > 0 {
		g.do(WriteRecords{records})
	}
	for i, m := range list {
		it := g.hand[m.ID]
		it.call = nil
		g.checks.PushEnded(now, c.began, m.ID, a.Ends[i].MayHaveRun(), a.Ends[i].MayStillRun())
		o := a.Ends[i].Outcome()
		o.NotificationID, o.Endpoint, o.Latency, o.Wait = m.ID, c.Endpoint.ID, now-c.placed, a.RetryAfter
		o.LimitReported, o.LimitLeft, o.Limit = a.HasLoadReport, a.LoadShare, a.LoadLimit
		g.answer(now, g.module.HandleOutcome(now, o))
		if o.Final {
			g.drop(m.ID)
		}
	}
}

// endRecord is what the ledger is told of how a call ended for a message. A call that was never about to be sent, as its
// connection did not come up, has no start there, and its end says nothing: written all the same it could be taken for
// the end of another call, of a process before, that may have run (incident of 2026-12-02).
func endRecord(c *Call, id string, end push.End) (ledger.Record, bool) {
	o := end.Outcome()
	switch {
	case o.Final:
		return ledger.Record{Kind: ledger.Completed, ID: id}, true
	case c.ID == 0:
		return ledger.Record{}, false
	case end.MayHaveRun():
		return ledger.Record{Kind: ledger.CallMayHaveRun, ID: id, CallNumber: c.ID}, true
	}
	return ledger.Record{Kind: ledger.CallNotRun, ID: id, CallNumber: c.ID, Unsent: o.Unsent}, true
}

// MaySend tells whether a call may still be sent: nothing that was told since it was placed forbids it, and its time to start
// is not over.
func (g *Gateway) MaySend(now float64, c *Call) bool {
	listed, _ := g.dir.Find(c.Endpoint.Dest, c.Endpoint.ID)
	return listed.Stage == directory.Ready && g.waits[g.throttled(c.Endpoint)] < c.placed && !g.stopped && g.quiet() <= now &&
		now <= c.start
}

// noSocketPause is the pause, in seconds, after this machine had no connection to give.
const noSocketPause = 0.05

// shutIdle closes all idle connections: the machine has no descriptor, port or memory left for one that a call waits for.
// It tells whether there were any.
func (g *Gateway) shutIdle() bool {
	n := 0
	for _, id := range slices.Sorted(maps.Keys(g.idle)) {
		for _, c := range g.idle[id] {
			g.do(CloseConn{c})
			n++
		}
	}
	clear(g.idle)
	return n > 0
}

func (g *Gateway) keep(e directory.Endpoint, conn *push.Conn) {
	g.idle[e.ID] = append(g.idle[e.ID], conn)
}
