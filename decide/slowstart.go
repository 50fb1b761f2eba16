package decide

import (
	"cmp"
	"math"

	"orchiddrift/directory"
)

// Slow start: a destination that returns from an outage gets no more calls, from all dispatchers together, than the settings
// allow for a cold one. Each dispatcher uses its share of that recovery budget.

const (
	maxElapsedShare  = 0.5  // share of slow start that may be counted as elapsed when a destination first answers
	budgetUse        = 0.8  // share of the recovery budget that is used
	exhaustedLeft    = 0.05 // share of a limit left below which more may be asked for than the limit allows
	exhaustedUsage   = 1.3  // usage, in limits, assumed below exhaustedLeft and before any is reported
	minUsage         = 0.2  // lower bound of the expected usage, as a share of the limit
	maxTrialDensity  = 3.0  // upper bound of the factor on the trial rate that makes up for dispatchers with nothing to try
	minTrialDensity  = 2.0  // lower bound of the factor on the trial rate that makes up for dispatchers with nothing to try
	trialSlotDivisor = 4    // at most one slot in this many is used for destinations in an outage
)

// recoveryStart returns when the next push may go to a recovering destination, so that all dispatchers together send no
// more than a cold destination can take. During the outage one push is sent at a time, and jitter spreads the trials of the
// dispatchers.
func (s *Scheduler) recoveryStart(now float64, d *destination, e directory.Endpoint, t *throttle) float64 {
	if t.recovering = s.inSlowStart(now, t); !t.recovering {
		return now
	}
	if t.respondingSince == never {
		if t.inFlight > 0 || s.trialCalls() >= max(1, s.capacity.MaxCalls/trialSlotDivisor) {
			return never
		}
		pause := setAsideBase + setAsideJitter*t.jitter
		if s.routes.SeparateByKind[e.Kind] {
			return max(t.lastTrial, t.blockedUntil) + max(pause, t.jitter/max(s.routeTrialRate(now, d, e, t), 0.01))
		}
		return max(s.nextTrialAt(d, e, t), max(t.lastTrial, t.blockedUntil)+pause)
	}
	rate := budgetUse * s.recovery.OverloadFactor * s.capacityShare(now, t) * s.cappedDemand(now, d, e, t)
	return s.windowStart(now, t, rate, s.recovery.OverloadSpan)
}

// inSlowStart reports whether a destination is in an outage or in slow start after it. Slow start lasts its whole time from
// the first answer received here. The destination may be warm earlier, but all that is held is sent at once when slow start
// ends.
func (s *Scheduler) inSlowStart(now float64, t *throttle) bool {
	return t.recovering && (t.inOutage() || t.firstAnswer+s.recovery.WarmUp >= now)
}

// slowStartAfterRestart begins slow start for a destination to which a push of the previous process failed. It may be in an
// outage or just back from one, and would otherwise get all restored notifications at once. This applies only where this
// dispatcher's even share of the recovery budget is at least one call per overload span; with less, notifications that the
// restart found untried would not be pushed in time.
func (s *Scheduler) slowStartAfterRestart(now float64, ntf Notification) {
	for _, e := range s.dir.Endpoints(ntf.Dest) {
		t := s.throttle(e)
		budget := s.recovery.OverloadFactor * s.recovery.InitialCapacity * s.destinationRate(e, t) * s.recovery.OverloadSpan
		if !t.recovering && !s.routes.SeparateByKind[e.Kind] && s.evenShare(budget) >= 1 {
			t.recovering, t.respondingSince, t.firstAnswer = true, now, now
		}
	}
}

// cappedDemand returns demandShare, or the even share where more arrived than random variation explains: then all
// dispatchers together ask for more than the destination can take.
func (s *Scheduler) cappedDemand(now float64, d *destination, e directory.Endpoint, t *throttle) float64 {
	evenShare, span, demand := s.evenShare(s.destinationRate(e, t)), max(s.recovery.WarmUp, 1), s.demandShare(now, d, e, t)
	if expected := span * evenShare; expected > 0 && span*demand > chanceBound(expected) {
		return evenShare
	}
	return demand
}

// chanceBound returns how many arrivals a dispatcher may have by random variation if the mean is expected.
func chanceBound(expected float64) float64 { return expected + 1 + math.Sqrt(expected) }

// routeTrialRate returns how often per second a separate route in an outage may be tried. The route may be a small part of
// its destination, while everything that arrived for the destination may go there.
func (s *Scheduler) routeTrialRate(now float64, d *destination, e directory.Endpoint, t *throttle) float64 {
	demand := s.cappedDemand(now, d, e, t)
	rate := budgetUse * s.recovery.OverloadFactor * s.recovery.InitialCapacity * demand
	holdingShare := 1 - math.Exp(-demand*(setAsideBase+now-t.outageSince)) // share of dispatchers that hold a notification for it
	rate *= s.routeShare(e, t) * min(maxTrialDensity, minTrialDensity/holdingShare) *
		s.recovery.OverloadSpan / (s.recovery.OverloadSpan + t.lastFailureDuration)
	return rate / (1 + sharedPushWeight*float64(max(1, min(s.capacity.BatchSize[e.Kind], len(d.queue)))-1)) // they share a call
}

// nextTrialAt returns when the next held notification may be tried at a destination in an outage. Each held notification
// draws an exponentially distributed wait, which has no memory. Its rate is such that the trials of all recent arrivals for
// the destination, here and at other dispatchers, add up to the recovery budget.
func (s *Scheduler) nextTrialAt(d *destination, e directory.Endpoint, t *throttle) float64 {
	from := max(t.lastTrial, t.blockedUntil)
	recentCount, rateSum := 0.0, 0.0
	for _, h := range d.queue {
		if from < h.arrivedAt()+s.trialSpan(h) {
			recentCount++
			rateSum += 1 / s.trialSpan(h)
		}
	}
	trialsEach := s.recovery.OverloadFactor * s.recovery.InitialCapacity / s.expectedUsage(t) // trials per held notification
	evenShare, span := s.evenShare(s.destinationRate(e, t)), max(s.recovery.WarmUp, 1)
	if expected := span * evenShare; expected > 0 && recentCount > chanceBound(expected) {
		trialsEach *= chanceBound(expected) / recentCount
	}
	// Besides, an even share is used, divided among as many dispatchers as are expected to hold a notification.
	minRate := budgetUse * s.recovery.OverloadFactor * s.recovery.InitialCapacity * evenShare * (1 - math.Exp(-evenShare*span))
	extraRate := max(0, minRate-trialsEach*rateSum) / float64(max(1, len(d.queue)))
	earliest := never
	for _, h := range d.queue {
		earliest = min(earliest, s.trialAt(h, t, from, trialsEach, extraRate))
	}
	return earliest
}

// trialAt returns when h may be tried, counted from a given time: at its rate while it counts as recent, and at the extra
// rate alone after that.
func (s *Scheduler) trialAt(h *heldNotification, t *throttle, from, trialsEach, extraRate float64) float64 {
	if h.trialWaitDrawnAt != t.lastTrial {
		h.trialWaitDrawnAt, h.trialWait = t.lastTrial, -math.Log(1-s.rng.float())
	}
	begin, recentUntil := max(from, h.arrivedAt()), h.arrivedAt()+s.trialSpan(h)
	rate := trialsEach/s.trialSpan(h) + extraRate
	at := begin + h.trialWait/rate
	if at <= recentUntil {
		return at
	}
	if extraRate == 0 {
		return never
	}
	return max(recentUntil, begin) + (h.trialWait-max(0, recentUntil-begin)*rate)/extraRate
}

// trialSpan returns how long, in seconds, a notification counts as recent, which is no longer than it may be held.
func (s *Scheduler) trialSpan(h *heldNotification) float64 {
	return max(1, min(h.topic.TTL, s.recovery.WarmUp))
}

// expectedUsage returns the share of its limit that is asked of a destination, from answers before the outage. While there
// are few of those, the answers of all destinations stand in.
func (s *Scheduler) expectedUsage(t *throttle) float64 {
	return max(minUsage, smoothedMean(t.usageSamples, smoothedMean(s.usageSamples, exhaustedUsage)))
}

// recordUsage records the share of a limit that is left, as reported by a destination that is not in slow start.
func (s *Scheduler) recordUsage(t *throttle, limitLeft float64) {
	used := 1 - limitLeft
	if limitLeft < exhaustedLeft {
		used = exhaustedUsage
	}
	t.usageSamples = appendLast(t.usageSamples, used, maxSamples)
	s.usageSamples = appendLast(s.usageSamples, used, maxSamples)
}

// estimateReturn estimates when an outage ended whose first answer arrived now: halfway between the last failure or refusal
// and now, but no longer ago than maxElapsedShare of slow start. Trials may be farther apart than slow start is long, and
// without that bound the first dispatcher to get an answer would treat the destination as warm.
func (s *Scheduler) estimateReturn(now float64, t *throttle) float64 {
	return max((max(t.lastFailure, t.lastRefusal)+now)/2, now-maxElapsedShare*s.recovery.WarmUp)
}

// capacityShare returns the share of its capacity that a destination in slow start has.
func (s *Scheduler) capacityShare(now float64, t *throttle) float64 {
	return s.recovery.InitialCapacity + (1-s.recovery.InitialCapacity)*max(0, min(1, (now-t.respondingSince)/s.recovery.WarmUp))
}

// demandShare returns this dispatcher's share of what a destination can take, in notifications per second: the rate of
// recent arrivals here, or an even share if that is more. Load differs between dispatchers, and with many of them an even
// share is far below one call.
func (s *Scheduler) demandShare(now float64, d *destination, e directory.Endpoint, t *throttle) float64 {
	count := 0.0
	for i := len(d.arrivals) - 1; i >= 0 && d.arrivals[i] > now-s.recovery.WarmUp; i-- {
		count++
	}
	demand := count / max(s.recovery.WarmUp, 1)
	if t.limit > 0 && e.Rate > 0 && !s.recovery.RatesUnlisted {
		demand *= min(1, t.limit/e.Rate) // the limit was lowered for all
	}
	return max(demand, s.evenShare(s.destinationRate(e, t)))
}

// routeShare returns the share of a route in its destination, from the reported limits of the ready routes, since everything
// that arrived may be about to go there. A limit that is not reported counts as this one's; if this one's is not, all routes
// count the same. An endpoint that is not a separate route has a share of 1.
func (s *Scheduler) routeShare(e directory.Endpoint, t *throttle) float64 {
	if !s.routes.SeparateByKind[e.Kind] {
		return 1
	}
	ownLimit := cmp.Or(t.limit, 1)
	sum := ownLimit
	for _, other := range s.dir.Endpoints(e.Dest) {
		if other.ID == e.ID || other.Stage != directory.Ready {
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

// trialCalls returns the number of calls in flight to destinations in an outage. It protects the slots when several hang.
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
func (s *Scheduler) destinationRate(e directory.Endpoint, t *throttle) float64 {
	if t.limit == 0 && !s.recovery.RatesUnlisted {
		return e.Rate
	}
	return t.limit
}
