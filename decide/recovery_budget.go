package decide

import (
	"cmp"
	"slices"
)

// recoveryBudget decides whether pushes to a destination, or separate route, are limited to this dispatcher's part of what the
// destination can take as it returns from an outage. It does not ask whether there was an outage: from a failed or refused push
// on, pushes are limited until one is delivered, and through slow start after that. Times are in seconds.
type recoveryBudget struct {
	boundSince      float64 // first failed or refused push since pushes were last unlimited; never while they are
	deliveredBefore float64 // when the latest delivered push before that one was sent; -never for none
	respondingSince float64 // estimated return to service; never until a push is delivered after the latest failure
	firstAnswer     float64 // first delivery after the latest failure
	deliveries      int     // since the latest failure
	failedAt        float64 // latest failed or refused push
	oftenFailing    bool    // several of the latest pushes failed: deliveries close to each other do not show that there was no outage
}

// minSlowStartDeliveries is the number of deliveries in a row without which slow start does not end. Where some calls are delivered
// during an outage, one or two are no sign of its end.
const minSlowStartDeliveries = 3

// maxIsolatedShare is the share of the latest pushes that may fail without an outage.
const maxIsolatedShare = 0.25

// bound reports whether pushes are limited.
func (b *recoveryBudget) bound() bool { return b.boundSince != never }

// pushFailed limits pushes because one failed or was refused. deliveredBefore is when the latest delivered push before it was
// sent.
func (b *recoveryBudget) pushFailed(now, deliveredBefore float64) {
	if !b.bound() {
		b.boundSince, b.deliveredBefore, b.oftenFailing = now, deliveredBefore, false
	}
	b.failedAt, b.respondingSince, b.firstAnswer, b.deliveries = now, never, never, 0
}

// failedSince reports whether a push failed or was refused after the given time.
func (b *recoveryBudget) failedSince(sentAt float64) bool { return b.bound() && sentAt < b.failedAt }

// pushDelivered begins slow start if pushes are limited and none has been delivered since the latest failure. Slow start lasts
// for Recovery.WarmUp; the capacity is assumed to grow from respondingSince on.
func (b *recoveryBudget) pushDelivered(now, respondingSince float64) {
	b.deliveries++
	if b.bound() && b.respondingSince == never {
		b.respondingSince, b.firstAnswer = respondingSince, now
	}
}

// shorterThan reports whether any outage was shorter than span, because a push sent at sentAt was delivered and so was one sent
// less than span before it, before the first failure.
func (b *recoveryBudget) shorterThan(span, sentAt float64) bool {
	return !b.oftenFailing && sentAt-b.deliveredBefore < span
}

// slowStartOver reports whether slow start, which lasts for warmUp, is over.
func (b *recoveryBudget) slowStartOver(now, warmUp float64) bool {
	return b.bound() && b.respondingSince != never && b.firstAnswer+warmUp < now && b.deliveries >= minSlowStartDeliveries
}

// release ends all limits.
func (b *recoveryBudget) release() { b.boundSince = never }

// RecoveryState is what a process has to leave to the next about a destination, or separate route, to which pushes are limited.
// Times are in seconds.
type RecoveryState struct {
	Owner           string  // ID of the destination, or of the endpoint that is a separate route
	SeparateRoute   bool    // Owner is an endpoint
	BoundSince      float64 // first failed or refused push since pushes were last unlimited
	RespondingSince float64 // estimated return to service; 0 until a push is delivered after the latest failure
	FirstAnswer     float64 // first delivery after the latest failure; 0 if none
}

// RecoveryStates returns the state of each destination and separate route to which pushes are limited, in a fixed order.
func (s *Scheduler) RecoveryStates(now float64) []RecoveryState {
	var states []RecoveryState
	for id, t := range s.throttles {
		if !t.budget.bound() || t.budget.slowStartOver(now, s.recovery.WarmUp) {
			continue
		}
		state := RecoveryState{Owner: id.owner, SeparateRoute: !id.shared, BoundSince: t.budget.boundSince}
		if t.budget.respondingSince != never {
			state.RespondingSince, state.FirstAnswer = t.budget.respondingSince, t.budget.firstAnswer
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b RecoveryState) int { return cmp.Compare(a.Owner, b.Owner) })
	return states
}

// RestoreRecovery takes over what an earlier process left. It is called before any notification is placed. Where nothing was
// delivered after the latest failure, the destination counts as ejected: the earlier process may have used its part, so that only
// trials are sent. Slow start goes on; a call is assumed to have been sent just now.
func (s *Scheduler) RestoreRecovery(now float64, states []RecoveryState) {
	for _, state := range states {
		t := s.throttleOf(throttleID{owner: state.Owner, shared: !state.SeparateRoute})
		t.failuresInRow, t.lastFailure = t.failuresInRow+1, now // it was failing as the process started, as far as is known
		t.budget.pushFailed(min(now, state.BoundSince), -never)
		if state.FirstAnswer == 0 {
			s.eject(now, t, ReasonRestored)
			continue
		}
		t.failuresInRow = 0
		t.budget.respondingSince, t.budget.firstAnswer = min(now, state.RespondingSince), min(now, state.FirstAnswer)
		s.countPush(now, t, 1)
		s.reportHealth(t, HealthEvent{Previous: Healthy, Reason: ReasonRestored})
	}
}
