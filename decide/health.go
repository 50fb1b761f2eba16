package decide

import (
	"cmp"
	"math"
	"slices"
)

// Outlier detection: the health of endpoints and of their destinations is derived from the outcomes of pushes. A destination
// that does not answer is ejected, which means that it only gets trial pushes until one of them is delivered.

const (
	unusualSilenceGaps      = 6.0  // lower bound of an unusual silence, in mean answer gaps
	unusualSilenceLatencies = 3.0  // lower bound of an unusual silence, in mean latencies
	refusalOutageAfter      = 2.0  // seconds of refusals without a delivery, above which they are treated as an outage, not a limit
	minClosedOutage         = 8    // refused connections in a row, for longer than refusalOutageAfter, that are treated as an outage
	maxLimitRefusals        = 2    // refusals in a row that may come from a limit which other dispatchers have used up
	ampleLimitLeft          = 0.4  // share of the limit left above which a refusal is unlikely to come from the limit
	topicAvoidance          = 15.0 // seconds, plus up to as much jitter, in which an endpoint is avoided for a topic that it failed
	topicServedSpan         = 8.0  // seconds after a delivery of a topic in which a single failure of it does not count
	priorOutageShare        = 0.6  // share of first failures that are assumed to be outages before any have been classified
	priorOutageWeight       = 2.0  // weight of priorOutageShare, in classified first failures
	maxSendOutcomes         = 64   // samples kept in throttle.sendOutcomes
)

// recordOutcome updates the throttle and the health of the endpoint from the outcome of a push.
func (s *Scheduler) recordOutcome(now float64, c *call, h *heldNotification, outcome Outcome) {
	t := c.throttle
	if outcome.LimitReported {
		t.limit, t.allowance = outcome.Limit, outcome.LimitLeft*outcome.Limit
		if outcome.Limit == 0 && outcome.LimitLeft == 0 {
			t.allowance = never
		} else if outcome.Result == Delivered && !t.budget.bound() {
			s.recordUsage(t, outcome.LimitLeft)
		}
	}
	switch outcome.Result {
	case Delivered:
		s.recordDelivery(now, c, h, outcome)
	case Throttled:
		s.recordRefusal(now, c, outcome)
	case Failed, TimedOut, NotConnected, Reset:
		s.recordFailure(now, c, h, outcome)
	}
}

// recordDelivery records a push that was delivered. If its destination was in an outage, slow start begins.
func (s *Scheduler) recordDelivery(now float64, c *call, h *heldNotification, outcome Outcome) {
	t, ep := c.throttle, c.endpoint
	ep.answerGaps = appendLast(ep.answerGaps, now-max(ep.lastAnswer, c.startedAt), maxSamples)
	ep.latencies = appendLast(ep.latencies, outcome.Latency, maxSamples)
	s.latencies = appendLast(s.latencies, outcome.Latency, maxSamples)
	ep.lastAnswer, ep.preference = now, now
	ep.topics[h.Topic] = topicHealth{lastDelivery: now}
	ep.maxCalls += paceGrowth / ep.maxCalls
	t.outcomes = appendLast(t.outcomes, sample{now, 0}, maxPushSamples)
	t.refusalSamples = appendLast(t.refusalSamples, 0, healthSamples)
	t.lastDeliveredSend, t.lastDelivery = max(t.lastDeliveredSend, c.startedAt), now
	t.sendOutcomes = appendLast(t.sendOutcomes, sample{c.startedAt, 0}, maxSendOutcomes)
	if c.startedAt >= t.closedSince {
		t.closedSince, t.closedInRow = never, 0
	}
	if c.startedAt >= t.lastRefusal {
		t.refusedSince, t.consecutiveRefusals = never, 0
	}
	if t.budget.failedSince(c.startedAt) { // it was taken before the outage, and says nothing of its end
		return
	}
	s.classifyFirstFailure(t, false)
	previous := t.health()
	t.failuresInRow = 0
	if t.budget.pushDelivered(now, s.estimateReturn(now, t)); previous == Suspected && t.budget.shorterThan(s.recovery.OverloadSpan, c.startedAt) {
		t.budget.release()
	}
	if t.ejected = false; previous == Suspected || previous == Ejected {
		s.reportHealth(t, HealthEvent{Previous: previous, Reason: ReasonDelivered})
	}
	if previous == Ejected {
		t.lastRefusal, t.refusalSamples, ep.maxCalls = -never, nil, never // refusals during an outage say nothing about a limit
		s.outages = slices.DeleteFunc(s.outages, func(x *throttle) bool { return x == t })
	}
}

// recordToldWait records that a destination told a wait, if it is not 0. A wait that is too long for a limit tells of an outage.
func (s *Scheduler) recordToldWait(now float64, t *throttle, wait float64) {
	if wait <= 0 {
		return
	}
	t.blockedUntil = max(t.blockedUntil, now+wait)
	t.shutUntil = max(t.shutUntil, now+wait)
	if wait > refusalOutageAfter {
		s.eject(now, t, ReasonRefusedLong)
	}
}

// recordRefusal records a refused push. The reason may be a limit, too many connections, or an outage.
func (s *Scheduler) recordRefusal(now float64, c *call, outcome Outcome) {
	t, ep := c.throttle, c.endpoint
	ep.lastAnswer, ep.preference = now, -s.rng.float()
	// The endpoint accepts no more connections, whichever dispatchers hold them. That says nothing about a limit of the
	// destination.
	t.failuresInRow++
	if outcome.TooManyConnections {
		s.reportOutcome(c, outcome.Result, ReasonConnectionLimit, true)
		s.connectionsScarceUntil[ep.kind] = now + s.policy.IdleTimeout
		ep.setAsideUntil = now + defaultRefusalWait*(1+s.rng.float())
		t.closedSince, t.closedInRow = min(t.closedSince, now), t.closedInRow+1
		if t.ejected || now-t.closedSince > refusalOutageAfter && t.closedInRow >= minClosedOutage {
			t.shutUntil = max(t.shutUntil, now)
			s.eject(now, t, ReasonRefusedLong)
		}
		return
	}
	// Without a limit or a wait, the endpoint refuses because of the calls in flight. The number of those that remain is what
	// it accepts; if none remain, the refusal does not show that number.
	if t.limit == 0 && outcome.ToldWait == 0 {
		ep.maxCalls = cmp.Or(initialPaceShare*float64(len(ep.calls)), never)
	}
	wait := cmp.Or(max(0, outcome.ToldWait), defaultRefusalWait)
	t.blockedUntil = max(t.blockedUntil, now+wait)
	t.refusedSince, t.consecutiveRefusals = min(t.refusedSince, now), t.consecutiveRefusals+1
	t.lastRefusal, t.jitter = now, s.rng.float()
	// With much of the limit left the refusal may come from an outage instead.
	unlikelyLimit := s.routes.SeparateKinds[ep.kind] && outcome.LimitLeft > ampleLimitLeft
	if unlikelyLimit {
		t.jitter *= unlikelyLimitSpread
	}
	t.refusalSamples = appendLast(t.refusalSamples, 1, healthSamples)
	// Other dispatchers may have used up the limit, so the first maxLimitRefusals refusals that report this are not treated as
	// an outage. An outage that is reported as an exhausted limit is thus detected one refusal later.
	limitExhausted := !s.routes.SeparateKinds[ep.kind] && outcome.LimitReported && outcome.Limit > 0 &&
		outcome.LimitLeft <= ampleLimitLeft && outcome.ToldWait <= refusalOutageAfter && t.consecutiveRefusals <= maxLimitRefusals
	if limitExhausted {
		s.reportOutcome(c, outcome.Result, ReasonLimitExhausted, true)
	} else {
		t.budget.pushFailed(now, t.lastDeliveredSend)
		s.reportOutcome(c, outcome.Result, ReasonRefusal, false)
	}
	if !limitExhausted && now+wait-t.refusedSince > refusalOutageAfter || unlikelyLimit && t.refusedSince < now {
		s.eject(now, t, ReasonRefusedLong)
	}
}

// recordFailure records a push that ended with an error, a timeout, or a failed connection, and decides whether its
// destination is in an outage.
func (s *Scheduler) recordFailure(now float64, c *call, h *heldNotification, outcome Outcome) {
	if outcome.Result == NotConnected || outcome.Result == Reset {
		s.connectionsScarceUntil[c.endpoint.kind] = now + s.policy.IdleTimeout
	}
	s.bindAfterFailure(now, c)
	if reason := s.whyNoEvidence(now, c, h, outcome); reason != "" {
		s.reportOutcome(c, outcome.Result, reason, true)
		return
	}
	s.reportOutcome(c, outcome.Result, ReasonFailure, false)
	t, ep := c.throttle, c.endpoint
	t.outcomes = appendLast(t.outcomes, sample{now, 1}, maxPushSamples)
	t.lastFailure, t.lastFailureDuration = now, now-c.startedAt
	if outcome.Result == Failed {
		ep.lastAnswer = now
	} else if outcome.Result != TimedOut || ep.lastAnswer < c.startedAt { // a single timeout among answers is disregarded
		ep.setAsideUntil = now + setAsideBase + setAsideJitter*s.rng.float()
	}
	s.classifyFirstFailure(t, true)
	s.ejectAfterFailure(now, c, h, outcome)
}

// whyNoEvidence returns why a failed push is no evidence of an outage, or "". It records the failure for the topic and the endpoint.
func (s *Scheduler) whyNoEvidence(now float64, c *call, h *heldNotification, outcome Outcome) HealthReason {
	ep := c.endpoint
	if h.timeoutCut && outcome.Result == TimedOut { // it says nothing about the endpoint
		return ReasonTimeoutCut
	}
	if outcome.Result == Failed || outcome.Result == TimedOut {
		s.avoidForTopic(now, ep, h.Topic)
	}
	// Single connections break without an outage. Resets count only once the endpoint has been unusually silent since the first
	// failure.
	if ep.firstFailure < ep.lastAnswer {
		ep.firstFailure = now
	}
	if outcome.Result == Reset && now-ep.firstFailure < unusualSilenceGaps*smoothedMean(ep.answerGaps, 0) {
		return ReasonSingleReset
	}
	if c.failureCounted { // the notifications of a call share one failure
		return ReasonSharedCall
	}
	c.failureCounted = true
	if c.startedAt < c.throttle.lastDeliveredSend { // a push that started later was delivered, so this failure shows no present outage
		return ReasonLaterDelivered
	}
	return ""
}

// avoidForTopic avoids an endpoint for a topic that it failed. A single failure soon after a delivery is disregarded.
func (s *Scheduler) avoidForTopic(now float64, ep *endpoint, topic string) {
	health := ep.topics[topic]
	if health.failures++; health.failures > 1 || now-health.lastDelivery > topicServedSpan {
		health.avoidedUntil = now + topicAvoidance*(1+s.rng.float())
	}
	ep.topics[topic] = health
}

// ejectAfterFailure ejects the destination of a failed push if the failure shows an outage: nothing was delivered while the push was in
// flight, and it is the second failure in a row, or at a separate route, or taken for one by its probability.
func (s *Scheduler) ejectAfterFailure(now float64, c *call, h *heldNotification, outcome Outcome) {
	t, ep := c.throttle, c.endpoint
	if t.lastDelivery >= c.startedAt {
		return
	}
	failuresOfLastTwo := countFailures(t.outcomes[max(0, len(t.outcomes)-2):])
	// An earlier push of the endpoint failed too, for example by a reset, and it has not answered since.
	failedAgain := outcome.Result == NotConnected && ep.firstFailure > ep.lastAnswer && ep.firstFailure < now
	switch {
	case failuresOfLastTwo == 2 || failedAgain:
		s.eject(now, t, ReasonTwoFailures)
	case s.routes.SeparateKinds[ep.kind]:
		s.eject(now, t, ReasonSeparateRoute)
	case s.rng.float() < s.outageProbability(now, c, h, outcome):
		s.eject(now, t, ReasonLikelyOutage)
	}
}

// outageProbability returns the probability that a first failure of a destination, with nothing delivered while the push
// was in flight, is part of an outage. It marks the failure for classifyFirstFailure. If first failures were never treated
// as outages, each dispatcher with one would push once more. Where each dispatcher has few calls, those would be nearly all
// the calls that reach a destination as it returns. The prior is the share of earlier first failures with the same result
// that were part of an outage; a short timeout lowers it. The probability rises with the number of deliveries that were
// expected while the push was in flight.
func (s *Scheduler) outageProbability(now float64, c *call, h *heldNotification, outcome Outcome) float64 {
	if outcome.Result == Failed { // the destination answers
		return 0
	}
	t, recovery := c.throttle, s.recovery
	if entry, ok := s.dir.Find(h.Dest, outcome.Endpoint); ok &&
		recovery.OverloadFactor*recovery.InitialCapacityShare*s.destinationRate(entry, t)*recovery.OverloadSpan >=
			float64(recovery.Dispatchers-1) {
		return 0 // one more call from each other dispatcher is within the recovery budget
	}
	t.firstFailure = outcome.Result
	counts := s.firstFailures[outcome.Result]
	prior := (priorOutageShare*priorOutageWeight + counts.outages) / (priorOutageWeight + counts.outages + counts.isolated)
	if outcome.Result == TimedOut {
		silenceRatio := (now - c.startedAt) / smoothedMean(c.endpoint.latencies, smoothedMean(s.latencies, 0)) / timeoutLatencies
		prior *= min(1, silenceRatio*silenceRatio)
	}
	delivered := 0.0
	for _, past := range t.outcomes {
		if past.value == 0 && past.at > c.startedAt-recovery.WarmUp && past.at <= c.startedAt {
			delivered++
		}
	}
	// The probability of no delivery while the push was in flight, without an outage, at the rate of the deliveries before it.
	chanceOfNone := math.Exp(-delivered / recovery.WarmUp * (now - c.startedAt))
	return prior / (prior + (1-prior)*chanceOfNone)
}

// classifyFirstFailure counts the pending first failure of a throttle as part of an outage or as isolated.
func (s *Scheduler) classifyFirstFailure(t *throttle, outage bool) {
	switch {
	case t.firstFailure == Delivered:
	case outage:
		s.firstFailures[t.firstFailure].outages++
	default:
		s.firstFailures[t.firstFailure].isolated++
	}
	t.firstFailure = Delivered
}

// bindAfterFailure limits pushes to a destination after a failed push, whatever the failure says about an outage. An isolated one
// between two deliveries that were sent within an overload span shows no outage that matters. One that was sent before a later
// delivery is followed by slow start from that delivery on.
func (s *Scheduler) bindAfterFailure(now float64, c *call) {
	t := c.throttle
	if c.bound { // the notifications of a call share one failure
		return
	}
	c.bound = true
	t.sendOutcomes = appendLast(t.sendOutcomes, sample{c.startedAt, 1}, maxSendOutcomes)
	before, after := t.deliveriesAround(c.startedAt)
	often := t.failsOften()
	if after-before < s.recovery.OverloadSpan && !often {
		return
	}
	t.failuresInRow++
	t.budget.pushFailed(min(now, after), before)
	if t.budget.oftenFailing = t.budget.oftenFailing || often; after < never {
		t.budget.pushDelivered(after, after)
	}
}

// failsOften reports whether more of the latest pushes failed than isolated failures explain.
func (t *throttle) failsOften() bool {
	recent := t.sendOutcomes[max(0, len(t.sendOutcomes)-healthSamples):]
	failures := countFailures(recent)
	return failures > 1 && float64(failures) > maxIsolatedShare*float64(len(recent))
}

// deliveriesAround returns when the latest delivered push at or before sentAt, and the first one after it, were sent.
func (t *throttle) deliveriesAround(sentAt float64) (before, after float64) {
	before, after = -never, never
	for _, outcome := range t.sendOutcomes {
		switch {
		case outcome.value > 0:
		case outcome.at <= sentAt:
			before = max(before, outcome.at)
		default:
			after = min(after, outcome.at)
		}
	}
	return before, after
}

// eject records that an outage of the destination or separate route was detected.
func (s *Scheduler) eject(now float64, t *throttle, reason HealthReason) {
	t.budget.pushFailed(now, t.lastDeliveredSend)
	if t.ejected {
		return
	}
	previous := t.health()
	t.lastTrial, t.outageSince, t.jitter = now, now, s.rng.float()
	s.outages = append(s.outages, t)
	t.ejected = true
	s.reportHealth(t, HealthEvent{Previous: previous, Reason: reason})
}

// unusuallySilent reports whether the silence of an endpoint with calls in flight is unusual for its answer gaps and latencies
// so far. Silence is measured from the first call in flight that started after the last answer: of an older one, only the
// answer may have been lost.
func (s *Scheduler) unusuallySilent(now float64, ep *endpoint) bool {
	for _, c := range ep.calls {
		if c.startedAt > ep.lastAnswer {
			return now-c.startedAt > max(unusualSilenceGaps*smoothedMean(ep.answerGaps, defaultGap),
				unusualSilenceLatencies*smoothedMean(ep.latencies, smoothedMean(s.latencies, defaultGap)))
		}
	}
	return false
}
