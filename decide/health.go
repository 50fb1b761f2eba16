package decide

import (
	"cmp"
	"math"
	"slices"
)

// Outlier detection: the outcomes of pushes show the health of endpoints and of their destinations. A destination that does
// not answer is ejected until a trial push is answered.

const (
	silentGaps         = 6.0  // silence of so many mean answer gaps is unusual
	silentLatencies    = 3.0  // silence of so many mean latencies is unusual
	refusalOutageAfter = 2.0  // seconds of refusals without a delivery that are treated as an outage rather than a limit
	maxLimitRefusals   = 2    // refusals in a row that may come from a limit which others have used up
	ampleLimitLeft     = 0.4  // share of the limit left above which a refusal is unlikely to come from the limit
	topicAvoidance     = 15.0 // seconds, plus up to as much at random, without a topic that the endpoint failed, if others can take it
	topicServedSpan    = 8.0  // seconds after a delivery of a topic in which one failure alone does not count
	priorOutageShare   = 0.6  // share of first failures that are assumed to be outages before any have been classified
	priorOutageWeight  = 2.0  // weight of priorOutageShare, in classified first failures
	maxSendOutcomes    = 64   // pushes kept by the time they were sent
)

// recordOutcome updates the throttle and the health of the endpoint from the outcome of a push.
func (s *Scheduler) recordOutcome(now float64, c *call, h *heldNotification, o Outcome) {
	t := c.throttle
	if o.LimitReported {
		t.limit, t.allowance = o.Limit, o.LimitLeft*o.Limit
		if o.Limit == 0 && o.LimitLeft == 0 {
			t.allowance = never
		} else if o.Result == Delivered && !t.recovering {
			s.recordUsage(t, o.LimitLeft)
		}
	}
	switch o.Result {
	case Delivered:
		s.recordDelivery(now, c, h, o)
	case Throttled:
		s.recordRefusal(now, c, o)
	case Failed, TimedOut, NotConnected, Reset:
		s.recordFailure(now, c, h, o)
	}
}

// recordDelivery records an answer that delivered the notification.
func (s *Scheduler) recordDelivery(now float64, c *call, h *heldNotification, o Outcome) {
	t, ep := c.throttle, c.endpoint
	ep.answerGaps = appendLast(ep.answerGaps, now-max(ep.lastAnswer, c.startedAt), maxSamples)
	ep.latencies = appendLast(ep.latencies, o.Latency, maxSamples)
	s.latencies = appendLast(s.latencies, o.Latency, maxSamples)
	ep.lastAnswer, ep.preference = now, now
	ep.topics[h.Topic] = topicHealth{lastDelivery: now}
	ep.maxCalls += paceGrowth / ep.maxCalls
	t.outcomes = appendLast(t.outcomes, sample{now, 0}, maxPushSamples)
	t.refusedSince, t.consecutiveRefusals, t.refusalSamples = never, 0, appendLast(t.refusalSamples, 0, healthSamples)
	t.lastDeliveredSend, t.lastDelivery = max(t.lastDeliveredSend, c.startedAt), now
	t.sendOutcomes = appendLast(t.sendOutcomes, sample{c.startedAt, 0}, maxSendOutcomes)
	s.classifyFirstFailure(t, false)
	if t.inOutage() {
		t.respondingSince, t.firstAnswer = s.estimateReturn(now, t), now
		t.lastRefusal, t.refusalSamples, ep.maxCalls = -never, nil, never // refusals during an outage say nothing about a limit
		s.outages = slices.DeleteFunc(s.outages, func(x *throttle) bool { return x == t })
	}
}

// recordRefusal records a refusal: because of a limit, because of too many connections, or in an outage.
func (s *Scheduler) recordRefusal(now float64, c *call, o Outcome) {
	t, ep := c.throttle, c.endpoint
	ep.lastAnswer, ep.preference = now, -s.rng.float()
	// The endpoint has no room for connections, whoever holds them. That says nothing about a limit of the destination.
	if o.TooManyConnections {
		s.connectionsScarceUntil[ep.kind] = now + s.policy.IdleTimeout
		ep.setAsideUntil = now + defaultRefusalWait*(1+s.rng.float())
		return
	}
	// Without a limit or a wait, the endpoint refuses because of the calls in flight. Those that remain are what it
	// accepts; if none remain, the refusal says nothing about that.
	if t.limit == 0 && o.Wait == 0 {
		ep.maxCalls = cmp.Or(paceStart*float64(len(ep.calls)), never)
	}
	wait := cmp.Or(max(0, o.Wait), defaultRefusalWait)
	t.blockedUntil = max(t.blockedUntil, now+wait)
	t.refusedSince, t.consecutiveRefusals = min(t.refusedSince, now), t.consecutiveRefusals+1
	t.lastRefusal, t.jitter = now, s.rng.float()
	// With much of the limit left the refusal may come from an outage instead.
	unlikelyLimit := s.routes.SeparateByKind[ep.kind] && o.LimitLeft > ampleLimitLeft
	if unlikelyLimit {
		t.jitter *= unlikelyLimitSpread
	}
	t.refusalSamples = appendLast(t.refusalSamples, 1, healthSamples)
	// Other dispatchers may have used the limit up. An outage that is reported as an exhausted limit is thus detected one
	// refusal later.
	limitExhausted := !s.routes.SeparateByKind[ep.kind] && o.LimitReported && o.LimitLeft <= ampleLimitLeft &&
		t.consecutiveRefusals <= maxLimitRefusals
	if !limitExhausted && now+wait-t.refusedSince > refusalOutageAfter || unlikelyLimit && t.refusedSince < now {
		s.eject(now, t)
	}
}

// recordFailure records a push that ended with an error, a timeout, or a failed connection.
func (s *Scheduler) recordFailure(now float64, c *call, h *heldNotification, o Outcome) {
	t, ep := c.throttle, c.endpoint
	if o.Result == NotConnected || o.Result == Reset {
		s.connectionsScarceUntil[ep.kind] = now + s.policy.IdleTimeout
	}
	if h.timeoutCut && o.Result == TimedOut { // a timeout cut short by the TTL says nothing about the endpoint
		return
	}
	if o.Result == Failed || o.Result == TimedOut {
		health := ep.topics[h.Topic]
		// A single failure among deliveries says nothing.
		if health.failures++; health.failures > 1 || now-health.lastDelivery > topicServedSpan {
			health.avoidedUntil = now + topicAvoidance*(1+s.rng.float())
		}
		ep.topics[h.Topic] = health
	}
	// Single connections break too. Resets count only once the endpoint has been unusually silent since the first failure.
	if ep.firstFailure < ep.lastAnswer {
		ep.firstFailure = now
	}
	if o.Result == Reset && now-ep.firstFailure < silentGaps*smoothedMean(ep.answerGaps, 0) {
		return
	}
	if c.failureCounted { // the notifications of a call share one failure
		return
	}
	c.failureCounted = true
	t.sendOutcomes = appendLast(t.sendOutcomes, sample{c.startedAt, 1}, maxSendOutcomes)
	if c.startedAt < t.lastDeliveredSend { // a later push was delivered, so this failure says nothing about the present
		if resumedAt, found := t.outageEnd(c.startedAt); found && o.Result != Failed && !t.recovering {
			t.recovering, t.respondingSince, t.firstAnswer = true, resumedAt, resumedAt
		}
		return
	}
	t.outcomes = appendLast(t.outcomes, sample{now, 1}, maxPushSamples)
	t.lastFailure, t.lastFailureDuration = now, now-c.startedAt
	if o.Result == Failed {
		ep.lastAnswer = now
	} else if o.Result != TimedOut || ep.lastAnswer < c.startedAt { // a single timeout among answers says nothing
		ep.setAsideUntil = now + setAsideBase + setAsideJitter*s.rng.float()
	}
	s.classifyFirstFailure(t, true)
	recentOutcomes := t.outcomes[max(0, len(t.outcomes)-healthSamples):]
	failures, consecutive := countFailures(recentOutcomes), countFailures(recentOutcomes[max(0, len(recentOutcomes)-2):])
	// A connection broke earlier and there has been no answer since.
	failedAgain := o.Result == NotConnected && ep.firstFailure > ep.lastAnswer && ep.firstFailure < now
	// noDelivery: nothing was delivered while the push was in flight.
	switch noDelivery := t.lastDelivery < c.startedAt; {
	case noDelivery && (consecutive == 2 || failedAgain || s.routes.SeparateByKind[ep.kind] ||
		s.rng.float() < s.outageProbability(now, c, h, o)):
		s.eject(now, t)
	case failures >= 2 && 2*failures >= len(recentOutcomes) && !t.inOutage(): // most calls fail, but not all
		t.recovering, t.respondingSince, t.firstAnswer = true, now, now
	}
}

// outageProbability returns the probability that a first failure of a destination, with nothing delivered while the push
// was in flight, is part of an outage. If first failures were never treated as outages, each dispatcher with one would push
// once more. Where each dispatcher has few calls, those would be nearly all the calls that reach a destination as it
// returns. The prior is the share of earlier first failures with the same result that were part of an outage; a short
// timeout lowers it. The probability rises with the number of answers that were due in the meantime.
func (s *Scheduler) outageProbability(now float64, c *call, h *heldNotification, o Outcome) float64 {
	if o.Result == Failed { // the destination answers
		return 0
	}
	t, recovery := c.throttle, s.recovery
	if e, ok := s.dir.Find(h.Dest, o.Endpoint); ok &&
		recovery.OverloadFactor*recovery.InitialCapacity*s.destinationRate(e, t)*recovery.OverloadSpan >= float64(recovery.Dispatchers-1) {
		return 0 // one more call from each other dispatcher is within the recovery budget
	}
	t.firstFailure = o.Result
	counts := s.firstFailures[o.Result]
	prior := (priorOutageShare*priorOutageWeight + counts.outages) / (priorOutageWeight + counts.outages + counts.isolated)
	if o.Result == TimedOut {
		silenceRatio := (now - c.startedAt) / smoothedMean(c.endpoint.latencies, smoothedMean(s.latencies, 0)) / timeoutLatencies
		prior *= min(1, silenceRatio*silenceRatio)
	}
	delivered := 0.0
	for _, outcome := range t.outcomes {
		if outcome.weight == 0 && outcome.at > c.startedAt-recovery.WarmUp && outcome.at <= c.startedAt {
			delivered++
		}
	}
	// The probability that no delivery was due while the push was in flight, at the rate of the deliveries before it.
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

// outageEnd looks for an outage that is already over: several pushes in a row, by the time they were sent, that failed
// before one that was delivered. It returns when that one was sent and whether there is such an outage. An outage shorter
// than the timeouts is only found this way. A single failure among answers does not count.
func (t *throttle) outageEnd(at float64) (resumedAt float64, found bool) {
	before, after, failures := -never, never, 0
	for _, f := range t.sendOutcomes {
		if f.weight == 0 && f.at <= at {
			before = max(before, f.at)
		} else if f.weight == 0 {
			after = min(after, f.at)
		}
	}
	for _, f := range t.sendOutcomes {
		if f.weight > 0 && f.at > before && f.at < after {
			failures++
		}
	}
	// Without a delivery before them, deliveries between the failures may have been discarded from the samples.
	complete := before > -never || len(t.sendOutcomes) < maxSendOutcomes
	return after, failures > 1 && after < never && complete
}

// eject records an outage: the destination does not answer.
func (s *Scheduler) eject(now float64, t *throttle) {
	if !t.inOutage() {
		t.lastTrial, t.outageSince, t.jitter = now, now, s.rng.float()
		s.outages = append(s.outages, t)
	}
	t.recovering, t.respondingSince = true, never
}

// unusuallySilent reports whether the silence of an endpoint is unusual for its answer gaps and latencies so far. Silence is
// measured from the first push since the last answer; an older push that is still in flight may be lost by itself.
func (s *Scheduler) unusuallySilent(now float64, ep *endpoint) bool {
	for _, c := range ep.calls {
		if c.startedAt > ep.lastAnswer {
			return now-c.startedAt > max(silentGaps*smoothedMean(ep.answerGaps, defaultGap),
				silentLatencies*smoothedMean(ep.latencies, smoothedMean(s.latencies, defaultGap)))
		}
	}
	return false
}
