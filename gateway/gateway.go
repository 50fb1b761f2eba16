// Package gateway is the one place where a dispatcher's state changes. Step takes an event, asks the decision
// module, and returns the effects to carry out; Turns lets all go whose turn has come. Neither reads nor writes.
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

// The outcomes that a notice can tell.
const (
	GivenUp    = "given_up"
	HandedBack = "handed_back"
)

// Gateway holds what is in hand.
type Gateway struct {
	module   *decide.Scheduler
	dir      *directory.Directory
	room     func(body int) bool     // the ledger has room for a message
	apart    map[string]bool         // by kind: endpoints are routes apart
	batch    map[string]int          // by kind: messages that may share a call
	dial     float64                 // a connection is waited for so long at most
	hand     map[string]*item        // by message
	idle     map[string][]*push.Conn // by endpoint, the latest used last
	waits    map[throttled]float64   // when each last told a wait
	past     map[string]float64      // messages that are over, until their TTL ends
	forming  []*Call                 // the calls of this turn
	overfull []*Call                 // and what they had no room for
	calls    uint64                  // the number of the call that was about to be sent last
	leaving  bool
	stopped  bool
	await    float64 // no push starts before discovery's first word, or this
	paused   float64 // nor before this, whatever is told
	// What is read until waitedUntil, as a stall has ended, may have waited so long in its socket.
	waited, waitedUntil float64
	effects             []Effect
	checks              *invariant.SendChecker // nil for none
}

// item is a message in hand.
type item struct {
	message *message.Message
	call    *Call
	ending  bool            // its notice is out
	start   float64         // its push may start until then
	first   decide.FirstRun // its first push that may have run, as its present one was placed
}

// New returns a gateway with nothing in hand.
func New(module *decide.Scheduler, dir *directory.Directory, room func(int) bool, apart map[string]bool, batch map[string]int,
	dial float64) *Gateway {
	return &Gateway{module: module, dir: dir, room: room, apart: apart, batch: batch, dial: dial, hand: map[string]*item{},
		idle: map[string][]*push.Conn{}, waits: map[throttled]float64{}, past: map[string]float64{}}
}

// SetSendChecker lets each call be checked as it is sent, by what is told in Step.
func (g *Gateway) SetSendChecker(checks *invariant.SendChecker) { g.checks = checks }

// AdvanceCallID lets calls have numbers above one: none that the ledger may have of an earlier call.
func (g *Gateway) AdvanceCallID(above uint64) { g.calls = max(g.calls, above) }

// AwaitFirstList lets no push start before discovery's first word, or that time: the list known at the start may be old, and what
// discovery has counts as told from the first moment on. It does harm where discovery is down, by that time.
func (g *Gateway) AwaitFirstList(until float64) { g.await = until }

// PausePushes lets no push start before a moment.
func (g *Gateway) PausePushes(until float64) { g.paused = max(g.paused, until) }

// clientWaits is how long, in seconds, a client waits for the answer to its request, as the platform has it.
const clientWaits = 0.4

// ResumeAfterStall tells that the process goes on after a stall of so many seconds. No push starts until what was told meanwhile is read.
// Requests that are read by then may have waited in their sockets for as long as their clients wait, and their time is
// counted from there. It does harm to those that came just now: they have so much less.
func (g *Gateway) ResumeAfterStall(now, stall float64) {
	g.PausePushes(now + afterStall)
	g.waited, g.waitedUntil = min(stall, clientWaits), now+afterStall
}

// quiet is until when no push starts.
func (g *Gateway) quiet() float64 { return max(g.await, g.paused) }

// Restore takes back, in the order they were taken, the messages owed since before a restart.
func (g *Gateway) Restore(now float64, owed []ledger.Pending) []Effect {
	g.module.HandleRestart(now)
	for _, o := range owed {
		m := o.Message
		m.TimeLeft, m.Restored, m.NoticePending = m.ExpiresAt-now, true, o.Notice != nil
		m.LastPushFailed = o.LastCall.End == ledger.EndMayHaveRun
		g.hand[m.ID] = &item{message: m, ending: m.NoticePending}
		g.taken(m)
		g.answer(now, g.module.Place(now, m.Notification))
		if n := o.Notice; n != nil {
			g.do(Notify{ID: n.ID, Outcome: n.Outcome, RetryIn: n.RetryIn, Dest: m.Dest, RemainingTTL: m.TimeLeft})
		}
	}
	return g.done()
}

// Pending tells how many messages are in hand.
func (g *Gateway) Pending() int { return len(g.hand) }

// Finished tells that the process can end now: the ledger keeps the rest.
func (g *Gateway) Finished() bool {
	for _, it := range g.hand {
		if !g.stopped || it.call != nil || it.ending {
			return false
		}
	}
	return g.leaving
}

// Step takes in an event.
func (g *Gateway) Step(now float64, e Event) []Effect {
	switch e := e.(type) {
	case Arrived:
		g.arrived(now, e)
	case AcceptFailed:
		g.over(now, e.ID)
		delete(g.past, e.ID) // nobody has it: it may come again
	case Dialed:
		g.connected(now, e)
	case CallEnded:
		g.ended(now, e.Call, e.Answer)
	case LateWait:
		g.told(now, e.Endpoint, e.Wait)
	case Listed:
		g.heard()
		g.listed(now, e)
	case ListLost:
		g.heard()
		g.dir.RecordFailure()
		g.forget(now)
	case NoticeAnswered:
		g.do(WriteRecords{[]ledger.Record{{Kind: ledger.Completed, ID: e.ID}}})
		g.over(now, e.ID)
	case IntakeClosed:
		g.leaving = true
	case PushesStopped:
		g.stopped = true
	}
	return g.done()
}

// heard ends the wait for discovery's first word.
func (g *Gateway) heard() {
	g.await = 0
	g.checks.ListWaitEnded()
}

// listed takes in news of the list.
func (g *Gateway) listed(now float64, e Listed) {
	if e.Full {
		g.dir.Replace(e.Endpoints)
	} else {
		g.dir.Apply(e.Endpoints)
	}
	for _, x := range e.Endpoints {
		g.checks.EndpointListed(now, x.ID, x.Stage == directory.Ready)
	}
	g.forget(now)
}

// PlaceDue asks the module whose turn it is until it is nobody's, and gives the seconds until it is to be asked
// again. What goes to one endpoint in one turn shares calls, where its kind allows that.
func (g *Gateway) PlaceDue(now float64) ([]Effect, float64) {
	if g.stopped {
		return nil, math.Inf(1)
	}
	for {
		wait, id := g.module.NextTurn(now)
		if id != "" && g.quiet() > now {
			if id = g.module.Undeliverable(now); id == "" {
				return g.done(), g.quiet() - now
			}
		}
		if wait > 0 {
			if g.start(now) {
				wait = 0
			}
			return g.done(), wait
		}
		ntf := decide.Notification{}
		if it := g.hand[id]; it != nil {
			ntf = it.message.Notification
		}
		g.answer(now, g.module.Place(now, ntf))
	}
}

// arrived takes a message on, or refuses it.
func (g *Gateway) arrived(now float64, e Arrived) {
	m := e.Message
	if _, past := g.past[m.ID]; past || g.hand[m.ID] != nil { // handed in again though we have it, or had
		g.do(Answer{m.ID, e.Reply, Reply{Accepted: true}})
		return
	}
	if g.stopped {
		g.do(Answer{m.ID, e.Reply, Reply{Reason: ShuttingDown}})
		return
	}
	if !g.room(len(m.Body)) {
		g.do(Answer{m.ID, e.Reply, Reply{Reason: LedgerFull}})
		return
	}
	if now <= g.waitedUntil {
		m.ExpiresAt -= g.waited
	}
	m.TimeLeft = m.ExpiresAt - now
	a := g.module.Place(now, m.Notification)
	if a.Action == decide.Throttle {
		g.do(Answer{m.ID, e.Reply, Reply{RetryIn: a.RetryIn, Reason: NotPlaceable}})
		return
	}
	g.hand[m.ID] = &item{message: m}
	g.taken(m)
	g.do(Accept{m, e.Reply})
}

// taken tells the checks of a message that is in hand from now on.
func (g *Gateway) taken(m *message.Message) {
	topic := g.module.Topic(m.Topic)
	rules := invariant.Rules{Deadline: m.ExpiresAt, MayHaveRunSince: m.RanAt, OnceOnly: topic.Repeat == decide.OnceOnly}
	if topic.Repeat == decide.Collapsible {
		rules.Window = topic.DedupWindow
	}
	if topic.Ordered {
		rules.Key = m.Key
	}
	g.checks.Accepted(m.ID, rules)
}

// answer carries out one answer of the module.
func (g *Gateway) answer(now float64, a decide.Decision) {
	switch a.Action {
	case decide.Push:
		g.join(now, a)
	case decide.Throttle:
		g.notify(now, Notify{ID: a.NotificationID, Outcome: HandedBack, RetryIn: a.RetryIn})
	case decide.Expire:
		g.notify(now, Notify{ID: a.NotificationID, Outcome: GivenUp})
	case decide.CancelPush:
		if it := g.hand[a.NotificationID]; it != nil && it.call != nil && it.call.Conn != nil {
			g.do(CloseConn{it.call.Conn})
		}
	case decide.WatchList:
		g.do(Watch{})
	case decide.FetchList:
		g.do(Fetch{})
	case decide.CloseIdle:
		for _, c := range g.idle[a.Endpoint] {
			g.do(CloseConn{c})
		}
		delete(g.idle, a.Endpoint)
	}
}

// notify ends a message by a notice: the ledger has it before the platform.
func (g *Gateway) notify(now float64, n Notify) {
	it := g.hand[n.ID]
	it.ending = true
	n.Dest, n.RemainingTTL = it.message.Dest, it.message.ExpiresAt-now
	g.checks.Finished(n.ID)
	g.do(WriteRecords{[]ledger.Record{{Kind: ledger.NoticePending, ID: n.ID, Outcome: n.Outcome, RetryIn: n.RetryIn}}})
	g.do(n)
}

// forget lets go, at each news of the list, of what belongs to none any more: idle connections to endpoints that are
// gone, when destinations no longer known last told a wait, and messages whose TTL has ended since they were over.
func (g *Gateway) forget(now float64) {
	g.checks.Prune(now, g.dir.Contains)
	maps.DeleteFunc(g.past, func(_ string, until float64) bool { return until < now })
	for _, id := range slices.Sorted(maps.Keys(g.idle)) {
		if len(g.idle[id]) > 0 && g.dir.Contains(id) {
			continue
		}
		for _, c := range g.idle[id] {
			g.do(CloseConn{c})
		}
		delete(g.idle, id)
	}
	maps.DeleteFunc(g.waits, func(t throttled, _ float64) bool {
		return !g.dir.KnownDest(t.dest) || t.route != "" && !g.dir.Contains(t.route)
	})
}

// drop lets go of a message that is over. Its id is remembered while it could still come again: another client may
// use it, and what has run must not run twice.
func (g *Gateway) drop(id string) {
	if it := g.hand[id]; it != nil {
		g.past[id] = it.message.ExpiresAt
	}
	g.checks.Finished(id)
	delete(g.hand, id)
}

// over lets go of a message that needs nothing more but to be told of.
func (g *Gateway) over(now float64, id string) {
	g.answer(now, g.module.HandleOutcome(now, decide.Outcome{NotificationID: id, Result: decide.Withdrawn, Final: true}))
	g.drop(id)
}

func (g *Gateway) do(e Effect) { g.effects = append(g.effects, e) }

func (g *Gateway) done() []Effect {
	list := g.effects
	g.effects = nil
	return list
}
