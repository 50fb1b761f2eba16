package gateway

import (
	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/invariant"
	"orchiddrift/ledger"
)

// recoveryTerms returns what an endpoint's destination or route can take as it returns, for the checker.
func (g *Gateway) recoveryTerms(e directory.Endpoint) invariant.RecoveryTerms {
	terms := g.scheduler.RecoveryTerms(e)
	return invariant.RecoveryTerms{ColdRate: terms.ColdRate, WarmRate: terms.WarmRate, Span: terms.OverloadSpan, WarmUp: terms.WarmUp, Dispatchers: terms.Dispatchers}
}

// recoveryOwner returns the ID of the destination of an endpoint, or of the endpoint if it is a route of its own.
func (g *Gateway) recoveryOwner(e directory.Endpoint) string {
	if g.separateRoutes[e.Kind] {
		return e.ID
	}
	return e.Dest
}

// exhaustedShare is the reported share of a limit up to which a refusal says that the limit is used up.
const exhaustedShare = 0.4

// checkOutcome tells the recovery checker how a push to an endpoint ended.
func (g *Gateway) checkOutcome(now float64, c *Call, outcome decide.Outcome) {
	throttle := g.recoveryOwner(c.Endpoint)
	switch outcome.Result {
	case decide.Delivered:
		g.recoveryChecker.Delivered(now, c.placedAt, throttle, g.recoveryTerms(c.Endpoint))
	case decide.Throttled:
		limitUsedUp := outcome.LimitReported && outcome.Limit > 0 && outcome.LimitLeft <= exhaustedShare
		if !outcome.TooManyConnections && !limitUsedUp {
			g.recoveryChecker.Failed(now, c.placedAt, throttle, g.recoveryTerms(c.Endpoint))
		}
	case decide.Failed, decide.TimedOut, decide.NotConnected, decide.Reset:
		g.recoveryChecker.Failed(now, c.placedAt, throttle, g.recoveryTerms(c.Endpoint))
	}
}

// RecoveryStates returns what the next process has to know of destinations and routes to which pushes are limited.
func (g *Gateway) RecoveryStates(now float64) []decide.RecoveryState {
	return g.scheduler.RecoveryStates(now)
}

// RestoreRecovery takes over what the previous process left. It is called before Restore.
func (g *Gateway) RestoreRecovery(now float64, states []decide.RecoveryState) {
	g.scheduler.RestoreRecovery(now, states)
	for _, state := range states {
		g.recoveryChecker.Restored(state.Owner, state.BoundSince, state.FirstAnswer)
	}
}

// lastCallFailed reports whether the last call of a restored message is known to have failed, or had been out for longer than a
// span when the process ended, at lastStart or later.
func (g *Gateway) lastCallFailed(call ledger.Call, lastStart float64) bool {
	switch call.End {
	case ledger.EndMayHaveRun:
		return true
	case ledger.EndUnanswered:
		return lastStart-call.StartedAt > g.scheduler.OverloadSpan()
	}
	return false
}

// lastCallStart returns when the latest of the recorded calls started; 0 if there is none.
func lastCallStart(restored []ledger.Pending) float64 {
	latest := 0.0
	for _, r := range restored {
		latest = max(latest, r.LastCall.StartedAt)
	}
	return latest
}
