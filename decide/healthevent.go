package decide

import "orchiddrift/directory"

// HealthState is what a Scheduler assumes about a destination, or about an endpoint that is a separate route.
type HealthState string

// The health states, in the order of an outage and the recovery from it.
const (
	Healthy   HealthState = "healthy"
	Suspected HealthState = "suspected"  // a push failed or was refused, and nothing sent later has been delivered
	Ejected   HealthState = "ejected"    // in an outage: only trial pushes are sent
	SlowStart HealthState = "slow start" // delivering again: limited to this dispatcher's part of the recovery budget
)

// HealthReason says which rule took an outcome into account, or why a HealthState changed.
type HealthReason string

// The reasons for taking, or not taking, a failed or refused push into account.
const (
	ReasonFailure         HealthReason = "failed"
	ReasonRefusal         HealthReason = "refused"
	ReasonTimeoutCut      HealthReason = "timeout cut short by the TTL"
	ReasonSharedCall      HealthReason = "failure of the call already taken"
	ReasonSingleReset     HealthReason = "single reset, endpoint not unusually silent"
	ReasonLaterDelivered  HealthReason = "a push sent later was delivered"
	ReasonConnectionLimit HealthReason = "endpoint accepts no more connections"
	ReasonLimitExhausted  HealthReason = "limit exhausted"
)

// The reasons for a change of the HealthState.
const (
	ReasonTwoFailures    HealthReason = "two failures in a row"
	ReasonRefusedLong    HealthReason = "refusals without a delivery"
	ReasonSeparateRoute  HealthReason = "failure of a separate route"
	ReasonLikelyOutage   HealthReason = "first failure, taken for an outage by its probability"
	ReasonDelivered      HealthReason = "delivered"
	ReasonRestoredFailed HealthReason = "push of the previous process failed"
	ReasonRestored       HealthReason = "as the previous process left it"
	ReasonWarm           HealthReason = "slow start is over"
)

// HealthEvent reports a failed or refused push, or a change of the HealthState.
type HealthEvent struct {
	Dest     string
	Endpoint string // only of a separate route
	State    HealthState
	Previous HealthState // equal to State for an outcome that changed nothing
	Reason   HealthReason
	Result   Result  // of the push that was taken or dropped; Delivered for other events
	SentAt   float64 // seconds, of that push
	Dropped  bool    // the push was not taken into account
}

// SetHealthObserver sets a function that is called for each HealthEvent. It must not call methods of the Scheduler.
func (s *Scheduler) SetHealthObserver(observe func(HealthEvent)) { s.observeHealth = observe }

// reportHealth reports an event of a throttle to the observer. The event's Dest, Endpoint and State need not be set.
func (s *Scheduler) reportHealth(t *throttle, event HealthEvent) {
	if s.observeHealth == nil {
		return
	}
	if t.id.shared {
		event.Dest = t.id.owner
	} else {
		event.Endpoint = t.id.owner
	}
	event.State = t.health()
	if event.Previous == "" {
		event.Previous = event.State
	}
	s.observeHealth(event)
}

// reportOutcome reports that a failed or refused push was taken into account, or dropped.
func (s *Scheduler) reportOutcome(c *call, result Result, reason HealthReason, dropped bool) {
	s.reportHealth(c.throttle, HealthEvent{Reason: reason, Result: result, SentAt: c.startedAt, Dropped: dropped})
}

// RecoveryStatus describes the limits of a destination, or separate route, that is not healthy.
type RecoveryStatus struct {
	State    HealthState
	Failures int     // failed or refused pushes since the last delivery
	Part     float64 // calls per span that this dispatcher may send; 0 in an outage, where trials are drawn at random
	Sent     float64 // pushes sent in the last span
	Span     float64 // seconds
}

// RecoveryStatus returns the limits that apply to pushes to an endpoint.
func (s *Scheduler) RecoveryStatus(now float64, entry directory.Endpoint) RecoveryStatus {
	t := s.throttle(entry)
	status := RecoveryStatus{State: t.health(), Failures: t.failuresInRow, Span: s.recovery.OverloadSpan}
	if status.State == Healthy {
		return status
	}
	if status.State == SlowStart {
		status.Part = s.recoveryRate(now, s.destination(entry.Dest), entry, t) * status.Span
	}
	for _, push := range t.sentPushes {
		if push.at > now-status.Span {
			status.Sent += push.value
		}
	}
	return status
}
