// Package gateway implements a dispatcher's state machine and its event loop. Gateway.Step applies an event, asks the
// scheduler for decisions and returns the effects to carry out; Gateway.PlaceDue places the messages that are due.
// Neither changes anything outside the process: Runner carries out the effects. Times and durations are in seconds of
// the dispatcher's clock unless stated otherwise.
package gateway

import (
	"maps"
	"math"
	"slices"

	"orchiddrift/admission"
	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/invariant"
	"orchiddrift/ledger"
	"orchiddrift/message"
	"orchiddrift/permit"
	"orchiddrift/push"
)

// Outcomes reported in a notice.
const (
	GivenUp    = "given_up"    // the message may have run and is not safe to submit again
	HandedBack = "handed_back" // the message is safe to submit again, preferably after RetryIn
)

// Gateway holds the accepted messages that are not settled yet, and the calls and connections that serve them. A
// message is settled once it was delivered, its endpoint reported that it already has its final answer, or its notice was
// answered. A Gateway is not safe for concurrent use.
type Gateway struct {
	scheduler      *decide.Scheduler
	directory      *directory.Directory
	hasRoom        LedgerRoom
	separateRoutes map[string]bool            // by kind: whether each endpoint is a route of its own
	batchSize      map[string]int             // by kind: the maximum number of messages in a call
	dialTimeout    float64                    // maximum time to establish a connection
	pending        map[string]*pendingMessage // by message ID
	idleConns      map[string][]*push.Conn    // by endpoint ID, newest last; they have carried no call
	lastToldWait   map[throttleKey]float64    // by scope: time at which a wait was last told
	settled        map[message.IDHash]settledMessage
	room           *admission.Room // for messages; nil if it is not limited
	formingCalls   []*Call         // calls of the current round
	overflowCalls  []*Call         // calls for messages whose bodies did not fit into formingCalls
	lastCallID     uint64          // number of the latest call prepared for sending
	intakeClosed   bool            // the process is shutting down and clients can no longer connect
	pushesStopped  bool            // no push may start any more
	exitDue        bool            // the process may exit although calls are in flight
	listWaitUntil  float64         // no push starts before the first response of discovery or this time
	pausedUntil    float64         // no push starts before this time
	// Requests read until socketDelayUntil, shortly after a stall, may have waited in their sockets for up to socketDelay.
	socketDelay, socketDelayUntil float64
	effects                       []Effect                     // not returned to the caller yet
	healthEvents                  []decide.HealthEvent         // of the scheduler, not returned to the caller yet
	checker                       *invariant.SendChecker       // nil if sends are not checked
	recoveryChecker               *invariant.RecoveryChecker   // nil if they are not checked
	connectionChecker             *invariant.ConnectionChecker // nil if connections are not checked
}

// pendingMessage is an accepted message that is not settled yet.
type pendingMessage struct {
	message       *message.Message
	hold          *admission.Hold // the room that it takes
	call          *Call           // the call that carries its push; nil for none
	noticePending bool            // its notice has not been answered yet
	startBy       float64         // latest time at which its push may start
	firstRun      decide.FirstRun // its first push that may have run, as of the latest placement
}

// settledMessage is what is kept of a settled message until lateCopySpan after its TTL, to recognize a request that is sent once more.
type settledMessage struct {
	expiresAt   float64 // end of its TTL
	fingerprint message.Fingerprint
	hold        *admission.Hold // the room that its ID takes
}

// LedgerRoom reports whether the ledger has room for a message whose body and texts have the given size, with an ID of the given length.
type LedgerRoom func(contentBytes, idBytes int) bool

// New returns a Gateway without messages. By kind of endpoint, separateRoutes says whether each endpoint is a route of its own, and batchSize how
// many messages may share a call. dialTimeout limits the time to establish a connection.
func New(scheduler *decide.Scheduler, dir *directory.Directory, hasRoom LedgerRoom, separateRoutes map[string]bool,
	batchSize map[string]int, dialTimeout float64) *Gateway {
	g := &Gateway{scheduler: scheduler, directory: dir, hasRoom: hasRoom, separateRoutes: separateRoutes, batchSize: batchSize,
		dialTimeout: dialTimeout, pending: map[string]*pendingMessage{}, idleConns: map[string][]*push.Conn{},
		lastToldWait: map[throttleKey]float64{}, settled: map[message.IDHash]settledMessage{}}
	scheduler.SetHealthObserver(func(event decide.HealthEvent) { g.healthEvents = append(g.healthEvents, event) })
	return g
}

// SetRoom sets the room for messages. It must be called before any event.
func (g *Gateway) SetRoom(room *admission.Room) { g.room = room }

// SetSendChecker sets the checker that verifies each send. It is informed of the events that Step applies.
func (g *Gateway) SetSendChecker(checker *invariant.SendChecker) { g.checker = checker }

// SetRecoveryChecker sets the checker that verifies the calls to destinations at which pushes failed.
func (g *Gateway) SetRecoveryChecker(checker *invariant.RecoveryChecker) {
	g.recoveryChecker = checker
}

// SetConnectionChecker sets the checker that verifies that connections carry one call each.
func (g *Gateway) SetConnectionChecker(checker *invariant.ConnectionChecker) {
	g.connectionChecker = checker
}

// AdvanceCallID makes the numbers of later calls greater than last, so that no number in the ledger is used again.
func (g *Gateway) AdvanceCallID(last uint64) { g.lastCallID = max(g.lastCallID, last) }

// AwaitFirstList holds back all pushes until the first response or failure of discovery, or until the given time. The
// list known at startup may be outdated, and a change counts as known to the dispatcher from the moment discovery has
// it. While discovery is down, pushes may be delayed until the given time.
func (g *Gateway) AwaitFirstList(until float64) { g.listWaitUntil = until }

// PausePushes holds back all pushes until the given time.
func (g *Gateway) PausePushes(until float64) { g.pausedUntil = max(g.pausedUntil, until) }

// ClientTimeout is the time, in seconds, that a client waits for the answer to its request, as specified by the
// platform.
const ClientTimeout = 0.4

// ResumeAfterStall records that the process continues after a stall of the given length. All pushes pause for
// pauseAfterStall, so that events that arrived during the stall are applied first. Requests read during the pause may have
// waited in their sockets for the length of the stall, up to ClientTimeout, so that much is taken off their TTL. Requests
// that have only just arrived lose that time as well.
func (g *Gateway) ResumeAfterStall(now, stall float64) {
	g.PausePushes(now + pauseAfterStall)
	g.socketDelay, g.socketDelayUntil = min(stall, ClientTimeout), now+pauseAfterStall
}

// noPushBefore returns the time before which no push may start.
func (g *Gateway) noPushBefore() float64 { return max(g.listWaitUntil, g.pausedUntil) }

// Restore takes over, in the order of their acceptance, the messages that the ledger still holds after a restart.
func (g *Gateway) Restore(now float64, restored []ledger.Pending) []Effect {
	g.scheduler.HandleRestart(now)
	lastStart := lastCallStart(restored)
	for _, r := range restored {
		m := r.Message
		m.TimeLeft, m.Restored, m.NoticePending = m.ExpiresAt-now, true, r.Notice != nil
		m.LastPushFailed = g.lastCallFailed(r.LastCall, lastStart)
		hold := g.room.Restore(m.Size())
		g.pending[m.ID] = &pendingMessage{message: m, hold: hold, noticePending: m.NoticePending}
		g.registerWithChecker(m)
		g.execute(now, g.scheduler.Place(now, m.Notification))
		if n := r.Notice; n != nil {
			g.emit(Notify{ID: n.ID, Outcome: n.Outcome, RetryIn: n.RetryIn, Dest: m.Dest, RemainingTTL: m.TimeLeft})
		}
	}
	return g.takeEffects()
}

// Pending returns the number of accepted messages that are not settled yet.
func (g *Gateway) Pending() int { return len(g.pending) }

// ExitState returns what decides whether the process may exit, as far as the gateway knows it.
func (g *Gateway) ExitState() permit.Process {
	state := permit.Process{IntakeClosed: g.intakeClosed, PushesStopped: g.pushesStopped, ExitDue: g.exitDue, Pending: len(g.pending)}
	if !g.intakeClosed {
		return state // the process may not exit whatever the messages' states, which are not worth counting in each iteration of the loop
	}
	for _, p := range g.pending {
		if p.call != nil {
			state.CallsInFlight++
		}
		if p.noticePending {
			state.NoticesOpen++
		}
	}
	return state
}

// Finished reports whether the process may exit, as far as the gateway knows.
func (g *Gateway) Finished() bool { return permit.Exit(g.ExitState()) == permit.Granted }

// Step applies an event and returns the effects to carry out.
func (g *Gateway) Step(now float64, e Event) []Effect {
	switch e := e.(type) {
	case Arrived:
		g.handleArrived(now, e)
	case AcceptFailed:
		g.settle(now, e.ID)
		g.forget(message.HashID(e.ID)) // the message was never accepted: its ID may be used again
	case Dialed:
		g.handleDialed(now, e)
	case SpareDialed:
		g.handleSpareDialed(e)
	case CallEnded:
		g.handleCallEnded(now, e.Call, e.Result)
	case LateWait:
		g.handleToldWait(now, e.Endpoint, e.Wait)
	case Listed:
		g.endListWait()
		g.handleListed(now, e)
	case ListLost:
		g.endListWait()
		g.directory.RecordFailure()
		g.prune(now)
	case NoticeAnswered:
		g.emit(WriteRecords{[]ledger.Record{{Kind: ledger.Completed, ID: e.ID}}})
		g.settle(now, e.ID)
	case IntakeClosed:
		g.intakeClosed = true
	case PushesStopped:
		g.pushesStopped = true
	case ExitDue:
		g.exitDue = true
	}
	return g.takeEffects()
}

// endListWait ends the wait of AwaitFirstList, once discovery has responded or failed.
func (g *Gateway) endListWait() {
	g.listWaitUntil = 0
	g.checker.ListWaitEnded()
}

// handleListed applies an update of the endpoint list to the directory and the checker.
func (g *Gateway) handleListed(now float64, e Listed) {
	if e.Full {
		g.directory.Replace(e.Endpoints)
	} else {
		g.directory.Apply(e.Endpoints)
	}
	for _, endpoint := range e.Endpoints {
		g.checker.EndpointListed(now, endpoint.ID, endpoint.Stage == directory.Ready)
	}
	g.prune(now)
}

// PlaceDue places messages until none is due. It returns the effects and the time, in seconds, after which it has to be
// called again. While pushes are held back it places only messages that can no longer be delivered, which need no push.
// Messages for one endpoint that are placed in one round share calls where the endpoint's kind allows it.
func (g *Gateway) PlaceDue(now float64) ([]Effect, float64) {
	if g.pushesStopped {
		return nil, math.Inf(1)
	}
	for {
		wait, id := g.scheduler.NextTurn(now)
		if id != "" && g.noPushBefore() > now {
			if id = g.scheduler.Undeliverable(now); id == "" {
				return g.takeEffects(), g.noPushBefore() - now
			}
		}
		if wait > 0 {
			if g.startCalls(now) {
				wait = 0
			}
			return g.takeEffects(), wait
		}
		notification := decide.Notification{}
		if p := g.pending[id]; p != nil {
			notification = p.message.Notification
		}
		g.execute(now, g.scheduler.Place(now, notification))
	}
}

// handleArrived accepts or refuses a message. The room of one that is not accepted is given back.
func (g *Gateway) handleArrived(now float64, e Arrived) {
	if !g.accept(now, e) {
		e.Hold.Forget()
	}
}

// accept accepts or refuses a message and reports whether it was accepted as a new one.
func (g *Gateway) accept(now float64, e Arrived) bool {
	m := e.Message
	known, state := g.lookUpID(now, m.ID)
	if state != idUnknown && known == m.Fingerprint() { // the request of a pending or settled message, sent once more
		g.emit(Answer{m.ID, e.Respond, Reply{Accepted: true}})
		return false
	}
	arrival := permit.Arrival{IDInUse: state == idInUse, PushesStopped: g.pushesStopped, LedgerRoom: g.hasRoom(m.Size(), len(m.ID))}
	if denial := permit.Accept(arrival); denial != permit.Granted {
		g.emit(Answer{m.ID, e.Respond, Reply{Reason: refusalReasons[denial]}})
		return false
	}
	if now <= g.socketDelayUntil {
		m.ExpiresAt -= g.socketDelay
	}
	m.TimeLeft = m.ExpiresAt - now
	d := g.scheduler.Place(now, m.Notification)
	if d.Action == decide.Throttle {
		g.emit(Answer{m.ID, e.Respond, Reply{RetryIn: d.RetryIn, Reason: NotPlaceable}})
		return false
	}
	g.pending[m.ID] = &pendingMessage{message: m, hold: e.Hold}
	g.registerWithChecker(m)
	g.recoveryChecker.Arrived(now, m.Dest)
	g.emit(Accept{m, e.Respond})
	return true
}

// idState is what is known of the ID of a message.
type idState int

// The states of an ID.
const (
	idUnknown    idState = iota
	idInUse              // a message with it is pending, or is settled and its TTL has not ended
	idRemembered         // a message with it is settled and its TTL has ended
)

// lookUpID returns the fingerprint of the message with an ID, if it is known, and the state of the ID.
func (g *Gateway) lookUpID(now float64, id string) (message.Fingerprint, idState) {
	if p := g.pending[id]; p != nil {
		return p.message.Fingerprint(), idInUse
	}
	settled, ok := g.settled[message.HashID(id)]
	switch {
	case !ok:
		return 0, idUnknown
	case settled.expiresAt < now:
		return settled.fingerprint, idRemembered
	}
	return settled.fingerprint, idInUse
}

// lateCopySpan is how long, in seconds, the ID of a settled message is remembered after its TTL: a copy of its request may have waited
// on another connection, from its first byte or the last answer there to its last byte, while this process read nothing of it.
const lateCopySpan = 5.0

// refusalReasons are the reasons that clients and metrics are told, by the reason against an arrival.
var refusalReasons = map[permit.Denial]Refusal{permit.ShuttingDown: ShuttingDown, permit.LedgerFull: LedgerFull,
	permit.IDInUse: IDInUse}

// registerWithChecker informs the checker of a message that is pending from now on.
func (g *Gateway) registerWithChecker(m *message.Message) {
	topic := g.scheduler.Topic(m.Topic)
	rules := invariant.Rules{Deadline: m.ExpiresAt, MayHaveRunSince: m.FirstRunAt, OnceOnly: topic.Repeat == decide.OnceOnly}
	if topic.Repeat == decide.Collapsible {
		rules.Window = topic.DedupWindow
	}
	if topic.Ordered {
		rules.Key = m.Key
	}
	g.checker.Accepted(m.ID, rules)
}

// execute carries out a decision of the scheduler.
func (g *Gateway) execute(now float64, d decide.Decision) {
	switch d.Action {
	case decide.Push:
		g.addToCall(now, d)
	case decide.Throttle:
		g.notify(now, Notify{ID: d.NotificationID, Outcome: HandedBack, RetryIn: d.RetryIn})
	case decide.Expire:
		g.notify(now, Notify{ID: d.NotificationID, Outcome: GivenUp})
	case decide.CancelPush:
		if p := g.pending[d.NotificationID]; p != nil && p.call != nil && p.call.Conn != nil {
			g.emit(CloseConn{p.call.Conn})
		}
	case decide.WatchList:
		g.emit(Watch{})
	case decide.FetchList:
		g.emit(Fetch{})
	case decide.CloseIdle:
		for _, c := range g.idleConns[d.Endpoint] {
			g.emit(CloseConn{c})
		}
		delete(g.idleConns, d.Endpoint)
	}
}

// notify ends a message with a notice, which is recorded in the ledger before it is sent to the platform.
func (g *Gateway) notify(now float64, n Notify) {
	p := g.pending[n.ID]
	p.noticePending = true
	n.Dest, n.RemainingTTL = p.message.Dest, p.message.ExpiresAt-now
	g.checker.Finished(n.ID)
	g.emit(WriteRecords{[]ledger.Record{{Kind: ledger.NoticePending, ID: n.ID, Outcome: n.Outcome, RetryIn: n.RetryIn}}})
	g.emit(n)
}

// prune removes idle connections to endpoints that are no longer listed, told waits of destinations or routes that are
// no longer listed, and settled messages that are remembered no longer. It runs after each update or failure of the endpoint list.
func (g *Gateway) prune(now float64) {
	g.checker.Prune(now, g.directory.Contains)
	g.recoveryChecker.Prune(func(owner string) bool { return g.directory.KnownDest(owner) || g.directory.Contains(owner) })
	for id, m := range g.settled {
		if m.expiresAt+lateCopySpan < now {
			g.forget(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(g.idleConns)) {
		if len(g.idleConns[id]) > 0 && g.directory.Contains(id) {
			continue
		}
		for _, c := range g.idleConns[id] {
			g.emit(CloseConn{c})
		}
		delete(g.idleConns, id)
	}
	maps.DeleteFunc(g.lastToldWait, func(t throttleKey, _ float64) bool {
		return !g.directory.KnownDest(t.dest) || t.route != "" && !g.directory.Contains(t.route)
	})
}

// remove removes a settled message. Its ID and fingerprint are kept until lateCopySpan after its TTL, so that the message is not pushed
// again if its request is sent once more.
func (g *Gateway) remove(id string) {
	if p := g.pending[id]; p != nil {
		p.hold.Settle()
		g.forget(message.HashID(id)) // an earlier message with it
		g.settled[message.HashID(id)] = settledMessage{p.message.ExpiresAt, p.message.Fingerprint(), p.hold}
	}
	g.checker.Finished(id)
	delete(g.pending, id)
}

// forget removes the ID of a settled message, which is not recognized any more.
func (g *Gateway) forget(id message.IDHash) {
	g.settled[id].hold.Forget()
	delete(g.settled, id)
}

// settle removes a message that was not accepted or whose notice was answered, also from the scheduler.
func (g *Gateway) settle(now float64, id string) {
	g.execute(now, g.scheduler.HandleOutcome(now, decide.Outcome{NotificationID: id, Result: decide.Withdrawn, Final: true}))
	g.remove(id)
}

// emit queues an effect, which is returned to the caller of Step, PlaceDue or Restore.
func (g *Gateway) emit(e Effect) { g.effects = append(g.effects, e) }

// takeEffects returns the queued effects and empties the queue.
func (g *Gateway) takeEffects() []Effect {
	effects := g.effects
	g.effects = nil
	return effects
}

// TakeHealthEvents returns, for logs and metrics, what the scheduler reported since the last call: changes of what it assumes
// about destinations and routes, and what it made of failed pushes.
func (g *Gateway) TakeHealthEvents() []decide.HealthEvent {
	events := g.healthEvents
	g.healthEvents = nil
	return events
}
