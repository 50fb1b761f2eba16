package gateway

import (
	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/invariant"
)

// recoveryTerms returns what an endpoint's destination or route can take as it returns, for the checker.
func (g *Gateway) recoveryTerms(e directory.Endpoint) invariant.RecoveryTerms {
	terms := g.scheduler.RecoveryTerms(e)
	return invariant.RecoveryTerms{ColdRate: terms.ColdRate, WarmRate: terms.WarmRate, Span: terms.OverloadSpan, WarmUp: terms.WarmUp, Dispatchers: terms.Dispatchers}
}

// exhaustedShare is the reported share of a limit up to which a refusal says that the limit is used up.
const exhaustedShare = 0.4

// checkOutcome tells the recovery checker how a push to an endpoint ended.
func (g *Gateway) checkOutcome(now float64, c *Call, outcome decide.Outcome) {
	throttle := g.throttleKeyOf(c.Endpoint).String()
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
