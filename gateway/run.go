package gateway

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/ledger"
	"orchiddrift/push"
)

// Platform is where the list comes from and notices go.
type Platform interface {
	Watch(tell func(Event))
	Fetch(tell func(Event))
	Notify(n Notify, tell func(Event))
}

// Runner carries out what a gateway asks for, and brings it what happens.
type Runner struct {
	Gateway       *Gateway
	Ledger        *ledger.Ledger
	Platform      Platform
	Clock         func() float64
	Tick          float64 // the least seconds between two rounds of turns
	Log           zerolog.Logger
	Events        chan Event
	Dialer        push.Dialer // nil for this machine's
	WritePerEvent bool        // each event's records are written, and synced, by themselves
	Metrics       *Metrics    // nil for none
	listLost      bool        // the log has said so
	batch         []Effect
	unwritten     bool // the last write failed, and the log has said so
	late          []late
	refusals      []refusal // that are not sure yet
	due           float64   // when the loop meant to look next
}

// A process that stood still longer than stalled, in seconds, may have been told things that no event says yet: no push
// starts for afterStall, in which they come. Stalls up to 0.15 s are within the margins of all that is told.
// The loop looks at the clock every heartbeat, so that a stall is seen in one that had nothing to do as well: what a stall
// of less than heartbeat and stalled together hides is within the grace of half a second.
const (
	heartbeat  = 0.15
	stalled    = 0.15
	afterStall = 0.05
)

// leastSleep is the shortest sleep of the loop: what is due within it is due by then, and a rest that floats round to
// nothing would let the loop spin.
const leastSleep = time.Microsecond

// Run takes in events and lets notifications go as their turns come, until the gateway has finished or stop
// is closed.
func (r *Runner) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	turned := math.Inf(-1)
	r.due = r.Clock()
	for !r.Gateway.Finished() {
		select {
		case <-stop:
			r.last()
			return
		case e := <-r.Events:
			r.wake()
			r.step(e)
			if r.WritePerEvent {
				r.flush()
			}
		case <-timer.C:
			r.wake()
		}
		r.takeIn(len(r.Events)) // a wait that stands in an answer which is here would else be broken
		wait := turned + r.Tick - r.Clock()
		if wait <= 0 {
			turned = r.Clock()
			wait = r.turns(turned)
		}
		r.due = r.Clock() + wait
		timer.Reset(max(leastSleep, time.Duration(wait*float64(time.Second))))
	}
}

// turns lets go all whose turn has come, and tells when to look again, in seconds.
func (r *Runner) turns(now float64) float64 {
	effects, next := r.Gateway.PlaceDue(now)
	r.batch = append(r.batch, effects...)
	r.flush()
	if len(r.late) > 0 {
		next = min(next, diskRetry)
	}
	return min(next, heartbeat)
}

// wake notes that the loop runs again, and whether it stood still.
func (r *Runner) wake() {
	now := r.Clock()
	if late := now - r.due; late > stalled {
		r.Log.Warn().Float64("late", late).Msg("the process stood still")
		r.Gateway.ResumeAfterStall(now, late)
	}
}

// takeIn takes in so many of the events that wait, and then writes their records in one go.
func (r *Runner) takeIn(n int) {
	r.takeStep(n)
	r.flush()
}

// takeStep takes in so many of the events that wait.
func (r *Runner) takeStep(n int) {
	for ; n > 0; n-- {
		r.step(<-r.Events)
		if r.WritePerEvent {
			r.flush()
		}
	}
}

// last takes in what came before the end: an answer that waits here unread would be a push that may have run after the
// restart, and a once-only notification that was delivered would be given up.
func (r *Runner) last() {
	for len(r.Events) > 0 {
		r.takeIn(len(r.Events))
	}
	r.flush()
}

// Restore takes back what is owed since before a restart.
func (r *Runner) Restore(owed []ledger.Pending) {
	r.logOwed(owed)
	r.batch = append(r.batch, r.Gateway.Restore(r.Clock(), owed)...)
	r.flush()
}

// Post hands an event to the loop.
func (r *Runner) Post(e Event) { r.Events <- e }

func (r *Runner) step(e Event) {
	r.log(e)
	r.batch = append(r.batch, r.Gateway.Step(r.Clock(), e)...)
}
