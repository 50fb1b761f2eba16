package decide

import (
	"slices"

	"orchiddrift/directory"
)

// Pacing: when the throttle of a destination, or separate route, admits the next push: allowances, calls in flight, the pace after
// refusals, and windows that limit the number of pushes.

const (
	paceWindow          = 0.5 // seconds, the length of the sliding window in which pushes are limited to the pace
	resendSpread        = 1.2 // refused pushes of all dispatchers are spread over this many overload spans
	unlikelyLimitSpread = 4.0 // factor on resendSpread after a refusal with much of the limit left
	acceptedWindow      = 2.0 // seconds before a refusal over which accepted pushes are counted

	// paceGrowth is the growth of the pace per second, as a share of its start. It is also the growth of endpoint.maxCalls, in
	// calls, with as many deliveries as maxCalls.
	paceGrowth = 0.03

	initialPaceShare     = 0.9 // start of the pace, and of endpoint.maxCalls, as a share of what was accepted
	freeRefusalThreshold = 0.5 // share of refused pushes from which a destination is paced where refusals cost nothing
)

// admitsAt returns when the throttle of an endpoint admits h: now or earlier, at a later time, or never if that takes an
// outcome first.
func (s *Scheduler) admitsAt(now float64, dest *destination, entry directory.Endpoint, h *heldNotification) float64 {
	t := s.throttle(entry)
	if t.blockedUntil > now {
		return t.blockedUntil
	}
	if s.callsInFlight >= s.capacity.MaxCalls || t.inFlight >= s.maxConcurrent(now, entry) {
		return never
	}
	reserved := 0.0
	if h.topic.Benefit < s.maxBenefit {
		reserved = reservedShare * t.limit
	}
	if t.inFlight == 0 && now >= t.idleSince+s.allowanceLifetime(t) {
		t.allowance = never
	}
	if t.allowance-1 < reserved {
		if t.inFlight == 0 {
			return t.idleSince + s.allowanceLifetime(t)
		}
		return never
	}
	return max(s.recoveryStart(now, dest, entry, t), s.pacedStart(now, dest, entry, t, h))
}

// allowanceLifetime returns how long, in seconds, an allowance is kept with no call in flight: allowanceTTL, or the
// interval between two calls at the limit if that is shorter.
func (s *Scheduler) allowanceLifetime(t *throttle) float64 {
	return min(allowanceTTL, 1/max(0, t.limit))
}

// maxConcurrent returns how many calls may be in flight to a destination: three quarters of the slots, or half of them
// while the destination recovers or the endpoint is unusually silent, and at least one.
func (s *Scheduler) maxConcurrent(now float64, entry directory.Endpoint) int {
	t := s.throttle(entry)
	if t.budget.bound() || s.unusuallySilent(now, s.endpoint(entry.ID)) {
		return max(1, s.capacity.MaxCalls/2)
	}
	return max(1, s.capacity.MaxCalls*3/4)
}

// staggerRestored delays the first push of notifications read back after a restart by a random time, up to the interval
// at which this dispatcher's even share of the listed rate allows a push, or up to the objective if that is shorter. This
// protects destinations when many dispatchers restart together.
func (s *Scheduler) staggerRestored(now float64, dest *destination, h *heldNotification) {
	for _, entry := range s.dir.Endpoints(dest.id) {
		if t := s.throttle(entry); t.jitter == 0 {
			t.jitter = s.rng.float()
			t.blockedUntil = now + t.jitter*min(h.topic.Objective, 1/s.evenShare(s.destinationRate(entry, t)))
		}
	}
}

// pacedStart returns when the next push may start at a destination that refused pushes. The pace starts at what was
// accepted before the last refusal, or at the demand share if that is more, in proportion to the relative benefit of h. It
// grows slowly, and pacing ends when it has doubled. Pacing covers limits that others use too, limits that are lowered
// without a report, and refusals that use up the limit themselves. In that last case a rate just above the limit delivers
// next to nothing, so the pace is reduced by the share of recent pushes that were refused.
func (s *Scheduler) pacedStart(now float64, dest *destination, entry directory.Endpoint, t *throttle,
	h *heldNotification) float64 {
	if now-t.lastRefusal > 1/paceGrowth {
		return now
	}
	accepted := 0.0
	for _, outcome := range t.outcomes {
		if outcome.value == 0 && outcome.at <= t.lastRefusal && outcome.at > t.lastRefusal-acceptedWindow {
			accepted++
		}
	}
	demand := s.demandShare(now, dest, entry, t)
	resendSpan := resendSpread * s.recovery.OverloadSpan / s.routeShare(entry, t)
	if when := t.blockedUntil + t.jitter*min(1/demand, resendSpan); when > now && t.lastTrial < t.blockedUntil {
		return when
	}
	refusedShare := smoothedMean(t.refusalSamples, 0)
	if s.routes.FreeRefusals && refusedShare < freeRefusalThreshold {
		return now
	}
	baseRate := initialPaceShare * max((accepted-1)/acceptedWindow, demand) * (1 - refusedShare) * s.relativeBenefit(h)
	return s.windowStart(now, t, baseRate*(1+paceGrowth*(now-t.lastRefusal)), paceWindow)
}

// windowStart returns when the next push may start if no window of span seconds may contain more pushes than rate, in pushes
// per second, allows. If that is less than one push, the window is widened to allow one.
func (s *Scheduler) windowStart(now float64, t *throttle, rate, span float64) float64 {
	return s.windowStartSince(now, t, rate, span, -never)
}

// windowStartSince is windowStart for the pushes sent after since.
func (s *Scheduler) windowStartSince(now float64, t *throttle, rate, span, since float64) float64 {
	maxWeight := rate * span
	if maxWeight < 1 {
		span, maxWeight = span/max(maxWeight, 0.01), 1
	}
	used := 0.0
	for i := len(t.sentPushes) - 1; i >= 0 && t.sentPushes[i].at > now-span && t.sentPushes[i].at > since; i-- {
		if used += t.sentPushes[i].value; used > maxWeight-1+1e-9 {
			return t.sentPushes[i].at + span + 1e-6
		}
	}
	return now
}

// spanBuckets is the number of parts of an overload span that are told apart where pushes are too many to be kept one by one.
const spanBuckets = 64

// countPush records a push with its weight. Where there is no room for all pushes, those of a short time are kept as one: a limit that
// allows more pushes in a span than are kept must still see all of them.
func (s *Scheduler) countPush(now float64, t *throttle, weight float64) {
	if len(t.sentPushes) >= maxPushSamples {
		t.sentPushes = mergeWithin(t.sentPushes, s.recovery.OverloadSpan/spanBuckets)
	}
	t.sentPushes = appendLast(t.sentPushes, sample{now, weight}, maxPushSamples)
}

// mergeWithin merges samples that are less than width apart from the first of them. The result has the time of the last one, so that it
// counts no shorter than any of them.
func mergeWithin(samples []sample, width float64) []sample {
	merged, first := samples[:0], -never
	for _, next := range samples {
		if last := len(merged) - 1; last >= 0 && next.at-first < width {
			merged[last] = sample{next.at, merged[last].value + next.value}
			continue
		}
		merged, first = append(merged, next), next.at
	}
	return merged
}

// forgetPush removes a push that was not sent, started at the given time, from those that count against the limits. One that was merged
// with others stays.
func (t *throttle) forgetPush(startedAt float64) {
	for i := len(t.sentPushes) - 1; i >= 0 && t.sentPushes[i].at >= startedAt; i-- {
		if t.sentPushes[i].at == startedAt {
			t.sentPushes = slices.Delete(t.sentPushes, i, i+1)
			return
		}
	}
}
