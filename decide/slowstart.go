package decide

import (
	"cmp"
	"math"
	"slices"

	"orchiddrift/directory"
)

// Slow start: a destination that returns from an outage gets no more calls, from all dispatchers together, than the settings
// allow for a cold one. Each dispatcher uses its share of that recovery budget.

const (
	maxElapsedShare    = 0.5     // largest share of slow start that is counted as elapsed when a destination first answers
	usedBudgetShare    = 0.8     // share of the recovery budget that is used
	trialBudgetShare   = 0.9     // share of the recovery budget that trials during an outage use
	exhaustedLimitLeft = 0.05    // share of a limit left below which the demand may exceed the limit
	exhaustedUsage     = 1.3     // usage, as a share of the limit, assumed below exhaustedLimitLeft and before any is reported
	minUsage           = 0.2     // lower bound of the expected usage, as a share of the limit
	maxTrialRateFactor = 3.0     // upper bound of the factor on the trial rate that makes up for dispatchers with nothing to try
	minTrialRateFactor = 2.0     // lower bound of the factor on the trial rate that makes up for dispatchers with nothing to try
	maxReleasedShare   = 1.0 / 3 // largest share of what a warm destination takes in a span that one dispatcher sends at once
	trialSlotDivisor   = 4       // one slot in this many, but at least one, may be used for destinations in an outage
)

// recoveryStart returns when the next push to a destination may start, such that all dispatchers together send no more than
// the destination can take if it recovers: now if nothing limits it, never if that takes an outcome first. During a detected
// outage one push is sent at a time, and jitter spreads the trials of the dispatchers. After a failure that shows no outage, and
// in slow start, pushes keep to this dispatcher's part of the recovery budget.
func (s *Scheduler) recoveryStart(now float64, dest *destination, entry directory.Endpoint, t *throttle) float64 {
	s.endSlowStart(now, dest, entry, t)
	if !t.budget.bound() {
		return now
	}
	if t.ejected {
		if t.inFlight > 0 || s.trialCalls() >= max(1, s.capacity.MaxCalls/trialSlotDivisor) {
			return never
		}
		pause := setAsideBase + setAsideJitter*t.jitter
		if s.routes.SeparateKinds[entry.Kind] {
			return max(t.lastTrial, t.blockedUntil) + max(pause, t.jitter/max(s.routeTrialRate(now, dest, entry, t), 0.01))
		}
		return max(s.nextTrialAt(dest, entry, t), max(t.lastTrial, t.blockedUntil)+pause)
	}
	return s.windowStartSince(now, t, s.recoveryRate(now, dest, entry, t), s.recovery.OverloadSpan, t.budget.boundSince)
}

// recoveryRate returns how many calls per second this dispatcher may send to a destination in slow start.
func (s *Scheduler) recoveryRate(now float64, dest *destination, entry directory.Endpoint, t *throttle) float64 {
	return usedBudgetShare * s.recovery.OverloadFactor * s.capacityShare(now, t) * s.cappedDemand(now, dest, entry, t)
}

// endSlowStart releases a destination whose slow start is over: Recovery.WarmUp after the first answer to this dispatcher, once
// what is held for it is a small part of what the warm destination takes in a span. All of that is sent at once then, and other
// dispatchers may have found the destination back later.
func (s *Scheduler) endSlowStart(now float64, dest *destination, entry directory.Endpoint, t *throttle) {
	if !t.budget.slowStartOver(now, s.recovery.WarmUp) {
		return
	}
	warmBudget := s.warmRate(entry, t) * s.recovery.OverloadSpan
	if float64(len(dest.queue)) > max(1, maxReleasedShare*warmBudget, s.recoveryRate(now, dest, entry, t)*s.recovery.OverloadSpan) {
		return
	}
	t.budget.release()
	s.reportHealth(t, HealthEvent{Previous: SlowStart, Reason: ReasonWarm})
}

// warmRate returns how many calls per second all dispatchers together may send to a destination that is warm.
func (s *Scheduler) warmRate(entry directory.Endpoint, t *throttle) float64 {
	return s.recovery.OverloadFactor * s.destinationRate(entry, t)
}

// bindAfterRestart limits pushes to a destination to which a push of an earlier process failed. It may be in an outage or just back
// from one.
func (s *Scheduler) bindAfterRestart(now float64, destID string) {
	for _, entry := range s.dir.Endpoints(destID) {
		t := s.throttle(entry)
		if t.budget.bound() || s.routes.SeparateKinds[entry.Kind] {
			continue
		}
		t.failuresInRow, t.lastFailure = t.failuresInRow+1, now
		t.budget.pushFailed(now, -never)
		s.reportHealth(t, HealthEvent{Previous: Healthy, Reason: ReasonRestoredFailed})
	}
}

// cappedDemand returns demandShare, or the even share where more arrived than random variation explains: then all
// dispatchers together ask for more than the destination can take.
func (s *Scheduler) cappedDemand(now float64, dest *destination, entry directory.Endpoint, t *throttle) float64 {
	evenShare, span, demand := s.evenShare(s.destinationRate(entry, t)), max(s.recovery.WarmUp, 1),
		s.demandShare(now, dest, entry, t)
	if expected := span * evenShare; expected > 0 && span*demand > chanceBound(expected) {
		return evenShare
	}
	return demand
}

// chanceBound returns the number of arrivals above which random variation does not explain them if the mean is expected.
func chanceBound(expected float64) float64 { return expected + 1 + math.Sqrt(expected) }

// routeTrialRate returns how often per second a separate route in an outage may be tried. The route may have a small part of
// the capacity of its destination, while everything that arrived for the destination may be sent to it.
func (s *Scheduler) routeTrialRate(now float64, dest *destination, entry directory.Endpoint, t *throttle) float64 {
	demand := s.cappedDemand(now, dest, entry, t)
	rate := usedBudgetShare * s.recovery.OverloadFactor * s.recovery.InitialCapacityShare * demand
	// The expected share of dispatchers that hold a notification for the route.
	holdingShare := 1 - math.Exp(-demand*(setAsideBase+now-t.outageSince))
	rate *= s.routeShare(entry, t) * min(maxTrialRateFactor, minTrialRateFactor/holdingShare) *
		s.recovery.OverloadSpan / (s.recovery.OverloadSpan + t.lastFailureDuration)
	// A trial carries as many queued notifications as fit into a call.
	return rate / (1 + sharedPushWeight*float64(max(1, min(s.capacity.BatchSize[entry.Kind], len(dest.queue)))-1))
}

// nextTrialAt returns when the next queued notification may be tried at a destination in an outage. Each queued notification
// draws an exponentially distributed wait, which is memoryless. Its rate is such that the trials of all recent arrivals for
// the destination, here and at other dispatchers, add up to the recovery budget.
func (s *Scheduler) nextTrialAt(dest *destination, entry directory.Endpoint, t *throttle) float64 {
	from := max(t.lastTrial, t.blockedUntil)
	recentCount, rateSum := 0.0, 0.0
	for _, h := range dest.queue {
		if from < h.arrivedAt()+s.trialSpan(h) {
			recentCount++
			rateSum += 1 / s.trialSpan(h)
		}
	}
	trialsEach := trialBudgetShare * s.recovery.OverloadFactor * s.recovery.InitialCapacityShare / s.expectedUsage(t) // trials per recent notification
	evenShare, span := s.evenShare(s.destinationRate(entry, t)), max(s.recovery.WarmUp, 1)
	if expected := span * evenShare; expected > 0 && recentCount > chanceBound(expected) {
		trialsEach *= chanceBound(expected) / recentCount
	}
	// All queued notifications together are tried at least at an even share of the recovery budget, times the probability that
	// a dispatcher has a recent notification for the destination.
	minRate := usedBudgetShare * s.recovery.OverloadFactor * s.recovery.InitialCapacityShare * evenShare * (1 - math.Exp(-evenShare*span))
	extraRate := max(0, minRate-trialsEach*rateSum) / float64(max(1, len(dest.queue)))
	earliest := never
	for _, h := range dest.queue {
		earliest = min(earliest, s.trialAt(h, t, from, trialsEach, extraRate))
	}
	return earliest
}

// trialAt returns when h may be tried if its wait begins at from, in seconds. While h counts as recent it is tried trialsEach
// times per trialSpan on average, plus extraRate times per second; after that, extraRate times per second.
func (s *Scheduler) trialAt(h *heldNotification, t *throttle, from, trialsEach, extraRate float64) float64 {
	if h.trialWaitDrawnAt != t.lastTrial {
		h.trialWaitDrawnAt, h.trialWait = t.lastTrial, -math.Log(1-s.rng.float())
	}
	waitStart, recentUntil := max(from, h.arrivedAt()), h.arrivedAt()+s.trialSpan(h)
	rate := trialsEach/s.trialSpan(h) + extraRate
	at := waitStart + h.trialWait/rate
	if at <= recentUntil {
		return at
	}
	if extraRate == 0 {
		return never
	}
	return max(recentUntil, waitStart) + (h.trialWait-max(0, recentUntil-waitStart)*rate)/extraRate
}

// trialSpan returns how long, in seconds, a notification counts as recent: for the warm-up time or its TTL, whichever is
// shorter, but at least 1 s.
func (s *Scheduler) trialSpan(h *heldNotification) float64 {
	return max(1, min(h.topic.TTL, s.recovery.WarmUp))
}

// expectedUsage returns the demand for a destination, as a share of its limit, from the answers before the outage. While there
// are few of those, the answers of all destinations are used too.
func (s *Scheduler) expectedUsage(t *throttle) float64 {
	return max(minUsage, smoothedMean(t.usageSamples, smoothedMean(s.usageSamples, exhaustedUsage)))
}

// recordUsage records the usage of a limit from the share that is left, as reported by a destination that is not recovering.
func (s *Scheduler) recordUsage(t *throttle, limitLeft float64) {
	used := 1 - limitLeft
	if limitLeft < exhaustedLimitLeft {
		used = exhaustedUsage
	}
	t.usageSamples = appendLast(t.usageSamples, used, maxSamples)
	s.usageSamples = appendLast(s.usageSamples, used, maxSamples)
}

// estimateReturn estimates when an outage ended whose first answer arrived now: halfway between the last failure or refusal
// and now, but no longer ago than maxElapsedShare of slow start, and not before the end of a wait that was told. Trials may be farther
// apart than slow start is long, and without these bounds the first dispatcher to get an answer would treat the destination as warm.
func (s *Scheduler) estimateReturn(now float64, t *throttle) float64 {
	return max((max(t.lastFailure, t.lastRefusal)+now)/2, now-maxElapsedShare*s.recovery.WarmUp, min(now, t.shutUntil))
}

// capacityShare returns the share of its capacity that a destination has: the initial one until it responds, then more and more.
func (s *Scheduler) capacityShare(now float64, t *throttle) float64 {
	return s.recovery.InitialCapacityShare + (1-s.recovery.InitialCapacityShare)*max(0, min(1, (now-t.budget.respondingSince)/s.recovery.WarmUp))
}

// demandShare returns this dispatcher's share of what a destination can take, in notifications per second: the rate of
// recent arrivals here, or an even share if that is more. Load differs between dispatchers, and with many of them an even
// share is far below one call.
func (s *Scheduler) demandShare(now float64, dest *destination, entry directory.Endpoint, t *throttle) float64 {
	recentArrivals := 0.0
	for i := len(dest.arrivals) - 1; i >= 0 && dest.arrivals[i] > now-s.recovery.WarmUp; i-- {
		recentArrivals++
	}
	demand := recentArrivals / max(s.recovery.WarmUp, 1)
	if t.limit > 0 && entry.Rate > 0 && !s.recovery.RatesUnlisted {
		demand *= min(1, t.limit/entry.Rate) // the limit was lowered for all
	}
	return max(demand, s.evenShare(s.destinationRate(entry, t)))
}

// routeShare returns the share of a route in the capacity of its destination, from the reported limits of the ready routes,
// since everything that arrived for the destination may be sent to one route. A route without a reported limit counts as if
// it had the limit of this one; if this one has none, all routes count the same. An endpoint that is not a separate route has
// a share of 1.
func (s *Scheduler) routeShare(entry directory.Endpoint, t *throttle) float64 {
	if !s.routes.SeparateKinds[entry.Kind] {
		return 1
	}
	ownLimit := cmp.Or(t.limit, 1)
	sum := ownLimit
	for _, other := range s.dir.Endpoints(entry.Dest) {
		if other.ID == entry.ID || other.Stage != directory.Ready {
			continue
		}
		if limit := s.throttle(other).limit; t.limit > 0 && limit > 0 {
			sum += limit
		} else {
			sum += ownLimit
		}
	}
	return ownLimit / sum
}

// recoversAnswering reports whether pushes to all endpoints of a destination are limited, because of an outage or after one, and the
// latest that is known of it is that it answers, if only with refusals.
func (s *Scheduler) recoversAnswering(dest *destination) bool {
	listed := s.dir.Endpoints(dest.id)
	return len(listed) > 0 && !slices.ContainsFunc(listed, func(entry directory.Endpoint) bool {
		t := s.throttle(entry)
		return !t.budget.bound() || max(t.lastRefusal, t.lastDelivery) <= t.lastFailure
	})
}

// canAwaitAnswer reports whether a notification has time left for the longest timeout. A push whose timeout the TTL cuts short may end
// before a cold destination answers: then it uses the recovery budget, delivers nothing, and does not show that the destination is back.
func (s *Scheduler) canAwaitAnswer(now float64, h *heldNotification) bool {
	return h.expiresAt-s.policy.Tick-now >= maxTimeoutObjectives*h.topic.Objective
}

// trialCalls returns the number of calls in flight to destinations in an outage. They are limited so that several hanging
// destinations cannot take all slots.
func (s *Scheduler) trialCalls() int {
	calls := 0
	for _, t := range s.outages {
		calls += t.inFlight
	}
	return calls
}

// evenShare returns one dispatcher's part of a total for all dispatchers.
func (s *Scheduler) evenShare(total float64) float64 {
	return total / float64(max(1, s.recovery.Dispatchers))
}

// destinationRate returns how many calls per second a destination can take from all dispatchers: the limit reported last, or
// the listed rate.
func (s *Scheduler) destinationRate(entry directory.Endpoint, t *throttle) float64 {
	if t.limit == 0 && !s.recovery.RatesUnlisted {
		return entry.Rate
	}
	return t.limit
}
