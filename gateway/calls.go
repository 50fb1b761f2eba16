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
	"orchiddrift/permit"
	"orchiddrift/push"
)

// Call is a call to an endpoint that carries one or more messages.
type Call struct {
	ID               uint64 // assigned when it is about to be sent, 0 before; part of the ledger's records of its start and end
	Endpoint         directory.Endpoint
	Messages         []*message.Message
	Conn             *push.Conn // nil until it is sent
	waitUntil        float64    // time until which a response is awaited
	answerValidUntil float64    // time until which a response is valid for all messages in the call
	startBy          float64    // latest time at which its first byte may be sent
	placedAt         float64    // time at which its first message was placed
	needsNewConn     bool       // an idle connection must not be used
	sentAt           float64    // time at which ID was assigned
}

// throttleKey is the scope of a told wait: a destination, or an endpoint of it that is a route of its own.
type throttleKey struct{ dest, route string }

// String returns the name under which the checker tracks the scope.
func (t throttleKey) String() string { return t.dest + "/" + t.route }

// throttleKeyOf returns the scope of a wait told by an endpoint.
func (g *Gateway) throttleKeyOf(e directory.Endpoint) throttleKey {
	if g.separateRoutes[e.Kind] {
		return throttleKey{e.Dest, e.ID}
	}
	return throttleKey{dest: e.Dest}
}

// Remaining returns how long, in seconds, a response to the call may still be awaited.
func (c *Call) Remaining(now float64) float64 { return max(0, c.waitUntil-now) }

// addToCall adds a push to the latest call of this round to its endpoint that has room, or to a new call. A message whose
// body does not fit into that call is put into overflowCalls. All messages of a call share one connection, one response and
// one budget. The response is awaited as long as any of the messages allows, but not beyond the first end of a TTL among
// them: a later response would be too late for one of the messages. It may be valid for none of them, although it reports
// all as delivered, and messages settled by it would be lost. A message with little time left therefore shortens the wait
// of the others in its call.
func (g *Gateway) addToCall(now float64, d decide.Decision) {
	p := g.pending[d.NotificationID]
	p.startBy, p.firstRun = now+d.StartWithin, d.FirstRun
	waitUntil := now + d.Timeout
	for i := len(g.formingCalls) - 1; i >= 0; i-- {
		c := g.formingCalls[i]
		if c.Endpoint.ID == d.Endpoint && len(c.Messages) < g.batchSize[c.Endpoint.Kind] {
			if !push.Fits(c.Messages, p.message) {
				p.call = &Call{Endpoint: c.Endpoint, Messages: []*message.Message{p.message}, placedAt: now}
				g.overflowCalls = append(g.overflowCalls, p.call)
				return
			}
			c.Messages = append(c.Messages, p.message)
			c.answerValidUntil = min(c.answerValidUntil, now+d.AnswerValidFor)
			c.startBy = min(c.startBy, p.startBy)
			c.waitUntil = min(max(c.waitUntil, waitUntil), c.answerValidUntil)
			c.needsNewConn = c.needsNewConn || d.NewConnection
			p.call = c
			return
		}
	}
	e, _ := g.directory.Find(p.message.Dest, d.Endpoint)
	p.call = &Call{Endpoint: e, Messages: []*message.Message{p.message}, waitUntil: waitUntil,
		answerValidUntil: now + d.AnswerValidFor, startBy: p.startBy, placedAt: now, needsNewConn: d.NewConnection}
	g.formingCalls = append(g.formingCalls, p.call)
}

// startCalls assigns an idle connection to each call of this round, or has a new one dialed. Messages whose bodies did
// not fit into a call are returned to the scheduler. It reports whether there were any: PlaceDue has to be called again
// at once then.
func (g *Gateway) startCalls(now float64) bool {
	for _, c := range g.formingCalls {
		conn := g.takeIdleConn(c.Endpoint)
		if conn != nil && c.needsNewConn { // close one connection for the new one: endpoints limit their number
			g.emit(CloseConn{conn})
			conn = nil
		}
		if conn != nil {
			g.sendCall(now, c, conn)
		} else {
			g.emit(Dial{c, min(g.dialTimeout, c.Remaining(now)), g.scheduler.DialAgainAfter()})
		}
	}
	overflow := g.overflowCalls
	g.formingCalls, g.overflowCalls = nil, nil
	for _, c := range overflow {
		g.handleCallEnded(now, c, push.UniformResult(1, push.Withdrawn))
	}
	return len(overflow) > 0
}

// takeIdleConn returns the newest idle connection to the endpoint that can carry a call and leads to its current address, or nil
// if there is none.
func (g *Gateway) takeIdleConn(e directory.Endpoint) *push.Conn {
	for list := g.idleConns[e.ID]; len(list) > 0; list = g.idleConns[e.ID] {
		conn := list[len(list)-1]
		g.idleConns[e.ID] = list[:len(list)-1]
		if conn.Addr() == e.Addr && conn.Usable() {
			return conn
		}
		g.emit(CloseConn{conn})
	}
	return nil
}

// handleDialed sends a call on its new connection. If the call may no longer be sent, because the destination told a wait
// or for another reason that MaySend checks, the connection is kept and the messages are returned to the scheduler. So is
// each message whose push can no longer start in time: a connection may take a second to establish, and a repeat is
// recognized only within a limited time after the first push that may have run. A call without a connection ends for all
// its messages.
func (g *Gateway) handleDialed(now float64, e Dialed) {
	c := e.Call
	if e.Conn == nil {
		if e.End == push.NoSocket && !g.closeIdleConns() {
			g.PausePushes(now + noSocketPause) // no idle connection to close: descriptors have to become free elsewhere
		}
		g.handleCallEnded(now, c, push.UniformResult(len(c.Messages), e.End))
		return
	}
	g.scheduler.ConnectionUp(e.Took)
	for _, m := range c.Messages {
		if g.isOnCall(c, m) && g.pending[m.ID].startBy < now {
			g.endPushes(now, c, []*message.Message{m}, push.UniformResult(1, push.Withdrawn))
		}
	}
	c.Messages = slices.DeleteFunc(c.Messages, func(m *message.Message) bool { return !g.isOnCall(c, m) })
	c.startBy = math.Inf(1)
	for _, m := range c.Messages {
		c.startBy = min(c.startBy, g.pending[m.ID].startBy) // of the messages that are still in the call
	}
	if len(c.Messages) == 0 || !g.MaySend(now, c) {
		g.keepIdleConn(c.Endpoint, e.Conn)
		g.handleCallEnded(now, c, push.UniformResult(len(c.Messages), push.Withdrawn))
		return
	}
	g.sendCall(now, c, e.Conn)
}

// sendCall assigns a number and a connection to a call, has its messages checked, and emits the effect that sends it.
func (g *Gateway) sendCall(now float64, c *Call, conn *push.Conn) {
	g.lastCallID++
	c.ID, c.Conn, c.sentAt = g.lastCallID, conn, now
	t := g.throttleKeyOf(c.Endpoint)
	g.connectionChecker.CallSent(conn.ID(), c.Messages[0].ID)
	g.recoveryChecker.CheckSend(now, c.Messages[0].ID, g.recoveryOwner(c.Endpoint), c.Endpoint.Dest, g.recoveryTerms(c.Endpoint))
	if calls, span, ok := g.scheduler.RecoveryBudget(now, c.Endpoint); ok {
		g.checker.CheckRecovery(now, c.Messages[0].ID, t.String(), calls, span)
	}
	effect := SendCall{Call: c, Health: g.scheduler.RecoveryStatus(now, c.Endpoint)}
	for _, m := range c.Messages {
		g.checker.CheckSend(now, m.ID, invariant.Target{Throttle: t.String(), Endpoint: c.Endpoint.ID})
		effect.Records = append(effect.Records, ledger.Record{Kind: ledger.CallStarted, ID: m.ID, StartedAt: now,
			Endpoint: c.Endpoint.ID, Zone: c.Endpoint.Zone, CallNumber: c.ID})
		if firstRun := g.pending[m.ID].firstRun; firstRun.SentAt > 0 {
			effect.Repeats = append(effect.Repeats, Repeat{ID: m.ID, SinceFirst: now - firstRun.SentAt,
				DedupScope: g.scheduler.Topic(m.Topic).DedupScope, Zone: firstRun.Zone})
		}
	}
	g.emit(effect)
}

// isOnCall reports whether a message is pending and still carried by the given call.
func (g *Gateway) isOnCall(c *Call, m *message.Message) bool {
	return g.pending[m.ID] != nil && g.pending[m.ID].call == c
}

// handleCallEnded applies the result of a call to each message that it still carries.
func (g *Gateway) handleCallEnded(now float64, c *Call, result push.CallResult) {
	if c.Conn != nil && result.NotSent {
		g.connectionChecker.NotSent(c.Conn.ID())
		g.keepIdleConn(c.Endpoint, c.Conn)
	}
	if result.RetryAfter > 0 {
		g.handleToldWait(now, c.Endpoint, result.RetryAfter)
	}
	var carried []*message.Message
	var ends []push.End
	for i, m := range c.Messages {
		if g.isOnCall(c, m) {
			carried, ends = append(carried, m), append(ends, result.Ends[i])
		}
	}
	result.Ends = ends
	if c.Conn != nil && len(ends) > 0 && ends[0].Outcome().Unsent {
		g.recoveryChecker.Unsent(g.recoveryOwner(c.Endpoint))
	}
	g.endPushes(now, c, carried, result)
}

// handleToldWait applies a wait told by an endpoint.
func (g *Gateway) handleToldWait(now float64, e directory.Endpoint, wait float64) {
	g.lastToldWait[g.throttleKeyOf(e)] = now
	g.checker.WaitTold(g.throttleKeyOf(e).String(), now+wait)
	g.scheduler.HandleOutcome(now, decide.Outcome{Dest: e.Dest, Endpoint: e.ID, ToldWait: wait})
}

// endPushes applies the result of a call to some of its messages; result.Ends has the end of each of them in their order.
// The ledger records the ends before decisions based on them are carried out.
func (g *Gateway) endPushes(now float64, c *Call, messages []*message.Message, result push.CallResult) {
	var records []ledger.Record
	for i, m := range messages {
		if r, ok := endRecord(c, m.ID, result.Ends[i]); ok {
			records = append(records, r)
		}
	}
	if len(records) > 0 {
		g.emit(WriteRecords{records})
	}
	for i, m := range messages {
		p := g.pending[m.ID]
		p.call = nil
		g.checker.PushEnded(now, c.sentAt, m.ID, result.Ends[i].MayHaveRun(), result.Ends[i].MayStillRun())
		outcome := result.Ends[i].Outcome()
		outcome.NotificationID, outcome.Endpoint, outcome.Latency, outcome.ToldWait = m.ID, c.Endpoint.ID, now-c.placedAt,
			result.RetryAfter
		outcome.LimitReported, outcome.LimitLeft, outcome.Limit = result.HasLoadReport, result.LoadShare, result.LoadLimit
		g.checkOutcome(now, c, outcome)
		g.execute(now, g.scheduler.HandleOutcome(now, outcome))
		if outcome.Final {
			g.remove(m.ID)
		}
	}
}

// endRecord returns the ledger record for the end of a message's push, and whether there is one. A call that never got
// a connection has no number and no start record. A record of its end could be mistaken for the end of a call that may
// have run in an earlier process (incident of 2026-12-02).
func endRecord(c *Call, id string, end push.End) (ledger.Record, bool) {
	outcome := end.Outcome()
	switch {
	case outcome.Final:
		return ledger.Record{Kind: ledger.Completed, ID: id}, true
	case c.ID == 0:
		return ledger.Record{}, false
	case end.MayHaveRun():
		return ledger.Record{Kind: ledger.CallMayHaveRun, ID: id, CallNumber: c.ID}, true
	}
	return ledger.Record{Kind: ledger.CallNotRun, ID: id, CallNumber: c.ID, Unsent: outcome.Unsent}, true
}

// MaySend reports whether a call may still be sent.
func (g *Gateway) MaySend(now float64, c *Call) bool {
	listed, _ := g.directory.Find(c.Endpoint.Dest, c.Endpoint.ID)
	state := c.permitState(now)
	state.EndpointReady = listed.Stage == directory.Ready && listed.Addr == c.Endpoint.Addr
	state.PlacedAt, state.WaitToldAt = c.placedAt, g.lastToldWait[g.throttleKeyOf(c.Endpoint)]
	state.PushesStopped, state.NoPushBefore = g.pushesStopped, g.noPushBefore()
	return permit.SendCall(state) == permit.Granted
}

// permitState returns what decides whether the call may start, as far as the call itself knows it.
func (c *Call) permitState(now float64) permit.Call {
	return permit.Call{Now: now, StartBy: c.startBy, Remaining: c.Remaining(now), MinBudget: push.MinBudget}
}

// noSocketPause is the pause of all pushes, in seconds, after the process could not open a socket.
const noSocketPause = 0.05

// closeIdleConns closes all idle connections, to free a descriptor, port or memory for a call for which no socket could be
// opened. It reports whether there were any.
func (g *Gateway) closeIdleConns() bool {
	closed := 0
	for _, id := range slices.Sorted(maps.Keys(g.idleConns)) {
		for _, c := range g.idleConns[id] {
			g.emit(CloseConn{c})
			closed++
		}
	}
	clear(g.idleConns)
	return closed > 0
}

// handleSpareDialed keeps a connection that no call waits for, if its endpoint is still listed at its address.
func (g *Gateway) handleSpareDialed(e SpareDialed) {
	if listed, ok := g.directory.Find(e.Endpoint.Dest, e.Endpoint.ID); ok && listed.Addr == e.Conn.Addr() && !g.pushesStopped {
		g.keepIdleConn(e.Endpoint, e.Conn)
		return
	}
	g.emit(CloseConn{e.Conn})
}

// keepIdleConn makes a connection that has carried no call available to a later call to the endpoint.
func (g *Gateway) keepIdleConn(e directory.Endpoint, conn *push.Conn) {
	g.idleConns[e.ID] = append(g.idleConns[e.ID], conn)
}
