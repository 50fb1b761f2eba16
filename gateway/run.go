package gateway

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/admission"
	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/invariant"
	"orchiddrift/ledger"
	"orchiddrift/permit"
	"orchiddrift/push"
	"orchiddrift/syserr"
)

// Platform is the source of the endpoint list and the recipient of notices. Its methods return at once and pass the events
// that follow to report.
type Platform interface {
	Watch(report func(Event))            // carries out the effect Watch
	FetchOnce(report func(Event))        // carries out the effect Fetch
	Notify(n Notify, report func(Event)) // carries out the effect Notify
}

// ListKeeper keeps the list of endpoints for the next process. Its methods must not block.
type ListKeeper interface {
	Told(update Listed, dir *directory.Directory) // dir is the directory after the update
	Due(dir *directory.Directory)                 // is called in each round, to do what is due
	Close(dir *directory.Directory)               // is called once, as the loop ends
}

// Runner runs a Gateway: it applies events to it and carries out its effects. Only Post may be called concurrently with
// other methods.
type Runner struct {
	Gateway            *Gateway
	Ledger             *ledger.Ledger
	Platform           Platform
	Clock              func() float64 // current time, in seconds
	Tick               float64        // minimum time between two rounds, in seconds
	Log                zerolog.Logger
	Events             chan Event                   // events that Run has not applied yet
	Dialer             push.Dialer                  // nil for the system's dialer
	Budget             *admission.Budget            // of the memory for responses; may be nil
	WritePerEvent      bool                         // write, and sync, the records of each event separately
	Metrics            *Metrics                     // may be nil
	Replies            *invariant.ReplyChecker      // may be nil
	Errors             *syserr.Recorder             // may be nil
	SaveRecovery       func([]decide.RecoveryState) // stores what the next process has to know; may be nil, must not block
	Lists              ListKeeper                   // keeps the list of endpoints for the next process; may be nil
	recoveryChanged    bool                         // the scheduler reported something since SaveRecovery was last called
	recoverySavedAt    float64                      // when SaveRecovery was last called
	listFailureLogged  bool                         // the last watch or fetch of the list failed, and that has been logged
	effects            []Effect                     // not carried out yet
	writeFailureLogged bool                         // the last write failed, and that has been logged
	deferred           []deferredEffect             // effects that wait for the ledger, in order
	pendingRefusals    []pendingRefusal             // refusals that may not be sent yet
	wakeAt             float64                      // time for which the next iteration of the loop was scheduled
	repliesOwed        int                          // arrivals without a reply
	secondDials        atomic.Int32                 // second connections that are being dialed
	loggedExitDenial   permit.Denial                // what the exit waited for when that was last logged
}

const (
	// heartbeatInterval is the maximum sleep of the loop, in seconds. It is short so that a stall is also detected while
	// there is nothing to do.
	heartbeatInterval = 0.15
	// stallThreshold is the delay of the loop, in seconds, above which the process counts as stalled. Shorter stalls are
	// within the tolerances of all rules that a dispatcher has to obey. A stall shorter than the sum of heartbeatInterval
	// and stallThreshold may go undetected, which is within the grace of 0.5 s.
	stallThreshold = 0.15
	// pauseAfterStall is the pause of all pushes after a stall, in seconds. Events that arrived during the stall are
	// applied in it.
	pauseAfterStall = 0.05
)

// minSleep is the minimum sleep of the loop. Without it the loop would spin on remainders that round to zero. Anything due
// within it counts as due.
const minSleep = time.Microsecond

// Run processes events and starts rounds until the process may exit or stop is closed. In the latter case it first applies the
// events that are already queued.
func (r *Runner) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	lastRound := math.Inf(-1)
	r.wakeAt = r.Clock()
	defer r.reportEnd()
	for !r.exitReached() {
		select {
		case <-stop:
			r.drainEvents()
			return
		case e := <-r.Events:
			r.detectStall()
			r.step(e)
			if r.WritePerEvent {
				r.flush()
			}
		case <-timer.C:
			r.detectStall()
		}
		r.processEvents(len(r.Events)) // a queued event may be a told wait that the next round has to obey
		wait := lastRound + r.Tick - r.Clock()
		if wait <= 0 {
			lastRound = r.Clock()
			wait = r.runRound(lastRound)
		}
		r.wakeAt = r.Clock() + wait
		timer.Reset(max(minSleep, time.Duration(wait*float64(time.Second))))
	}
}

// exitReached reports whether the process may exit, also after the events that are queued by then, such as the end of a call in
// flight.
func (r *Runner) exitReached() bool {
	if !r.mayExit() {
		return false
	}
	r.drainEvents()
	return r.mayExit()
}

// runRound places the messages that are due, and returns the time, in seconds, until the next round is due.
func (r *Runner) runRound(now float64) float64 {
	effects, wait := r.Gateway.PlaceDue(now)
	r.effects = append(r.effects, effects...)
	r.flush()
	wait = min(wait, r.saveRecovery(now))
	if r.Lists != nil {
		r.Lists.Due(r.Gateway.directory)
	}
	if len(r.deferred) > 0 || len(r.pendingRefusals) > 0 {
		wait = min(wait, diskRetryPause)
	}
	return min(wait, heartbeatInterval)
}

// mayExit reports whether the process may exit. It logs what it waits for once the time for that is over.
func (r *Runner) mayExit() bool {
	state := r.Gateway.ExitState()
	state.RepliesOwed, state.RecordsOwed = r.repliesOwed, len(r.deferred)
	denial := permit.Exit(state)
	if state.ExitDue && denial != r.loggedExitDenial {
		r.Log.Warn().Str("why", string(denial)).Int("replies", state.RepliesOwed).Int("records", state.RecordsOwed).
			Msg("shutdown: the process cannot exit yet")
		r.loggedExitDenial = denial
	}
	return denial == permit.Granted
}

// recoverySaveInterval is the minimum time between two calls of SaveRecovery, in seconds.
const recoverySaveInterval = 0.02

// saveRecovery passes on what the next process has to know, if that may have changed, and returns the time, in seconds, after
// which it has to be called again.
func (r *Runner) saveRecovery(now float64) float64 {
	if !r.recoveryChanged || r.SaveRecovery == nil {
		return math.Inf(1)
	}
	if wait := r.recoverySavedAt + recoverySaveInterval - now; wait > 0 {
		return wait
	}
	r.recoveryChanged, r.recoverySavedAt = false, now
	r.SaveRecovery(r.Gateway.RecoveryStates(now))
	return math.Inf(1)
}

// reportEnd saves what the next process has to know, and tells the checker that the process ends.
func (r *Runner) reportEnd() {
	r.recoverySavedAt = math.Inf(-1)
	r.saveRecovery(r.Clock())
	if r.Lists != nil {
		r.Lists.Close(r.Gateway.directory)
	}
	r.Replies.Ended(len(r.deferred))
}

// detectStall checks, after each sleep of the loop, whether the process was stalled, and pauses all pushes if so.
func (r *Runner) detectStall() {
	now := r.Clock()
	if delay := now - r.wakeAt; delay > stallThreshold {
		r.Log.Warn().Float64("late", delay).Msg("process was stalled")
		r.Gateway.ResumeAfterStall(now, delay)
	}
}

// processEvents applies n queued events and then writes their records in one batch.
func (r *Runner) processEvents(n int) {
	r.stepEvents(n)
	r.flush()
}

// stepEvents applies n queued events.
func (r *Runner) stepEvents(n int) {
	for ; n > 0; n-- {
		r.step(<-r.Events)
		if r.WritePerEvent {
			r.flush()
		}
	}
}

// drainEvents applies the queued events before the process exits. After the restart, a push whose result was not applied
// here would count as one that may have run, and a delivered once-only message would be given up.
func (r *Runner) drainEvents() {
	for len(r.Events) > 0 {
		r.processEvents(len(r.Events))
	}
	r.flush()
}

// RestoreRecovery passes to the gateway what the previous process knew of recovering destinations. It is called before Restore.
func (r *Runner) RestoreRecovery(states []decide.RecoveryState) {
	r.Gateway.RestoreRecovery(r.Clock(), states)
}

// Restore logs the messages that the ledger held at startup and passes them to the gateway.
func (r *Runner) Restore(restored []ledger.Pending) {
	r.logRestored(restored)
	r.effects = append(r.effects, r.Gateway.Restore(r.Clock(), restored)...)
	r.flush()
}

// Post queues an event for the loop. It blocks while Events is full.
func (r *Runner) Post(e Event) { r.Events <- e }

// step logs an event, applies it to the gateway and queues the effects.
func (r *Runner) step(e Event) {
	r.logEvent(e)
	if arrived, ok := e.(Arrived); ok {
		if r.refuseAbandoned(arrived) {
			return
		}
		e = r.trackReply(arrived)
	}
	r.effects = append(r.effects, r.Gateway.Step(r.Clock(), e)...)
	if listed, ok := e.(Listed); ok && r.Lists != nil {
		r.Lists.Told(listed, r.Gateway.directory)
	}
}

// abandonedAfter is the time, in seconds, after which a submitted message that was not applied yet is checked for whether its client
// has left.
const abandonedAfter = 0.01

// refuseAbandoned refuses a message that has waited for the loop if its client has left meanwhile, and reports whether it did.
func (r *Runner) refuseAbandoned(e Arrived) bool {
	if e.ClientLeft == nil || r.Clock()-e.SubmittedAt < abandonedAfter || !e.ClientLeft() {
		return false
	}
	e.Hold.Forget()
	r.Metrics.messageRefused(ClientLeft)
	e.Respond(Reply{Reason: ClientLeft})
	return true
}

// trackReply counts an arrival as one that is owed a reply until that is given.
func (r *Runner) trackReply(e Arrived) Arrived {
	r.repliesOwed++
	request := invariant.RequestOf(e.Message)
	r.Replies.Arrived(request)
	respond := e.Respond
	e.Respond = func(reply Reply) {
		r.repliesOwed--
		r.Replies.Answered(request, reply.Accepted)
		respond(reply)
	}
	return e
}
