package decide

import (
	"slices"

	"orchiddrift/directory"
)

// Selection: whose turn it is in the deficit round robin, and to which endpoint its notification goes.

// nextInRound advances the round to a destination with a notification that may start, and returns that notification. If
// there is none it returns nil and the time at which one may start. With all slots taken the round does not advance, so
// that no destination loses its turn; only a shared call of the current destination can still be filled.
func (s *Scheduler) nextInRound(now float64) (*heldNotification, float64) {
	next := never
	if s.callsInFlight >= s.capacity.MaxCalls {
		if s.roundIndex < len(s.round) && s.quantumGranted && s.round[s.roundIndex].deficit >= 1 {
			return s.firstReady(now, s.round[s.roundIndex])
		}
		return nil, never
	}
	for blockedCount := 0; blockedCount < len(s.round); {
		if s.roundIndex >= len(s.round) {
			s.roundIndex = 0
		}
		dest := s.round[s.roundIndex]
		h, when := s.firstReady(now, dest)
		if h != nil {
			if !s.quantumGranted {
				dest.deficit += quantum * s.weight(dest, h)
				s.quantumGranted = true
			}
			if dest.deficit >= 1 {
				return h, now
			}
		} else {
			next = min(next, when)
			blockedCount++
		}
		s.roundIndex++
		s.quantumGranted = false
	}
	return nil, next
}

// weight returns the factor on the quantum of a destination: the benefit of h, the notification that is next, but at least
// 1, times the largest batch, so that one turn can fill a shared call.
func (s *Scheduler) weight(dest *destination, h *heldNotification) float64 {
	batch := 1
	for _, entry := range s.dir.Endpoints(dest.id) {
		batch = max(batch, s.capacity.BatchSize[entry.Kind])
	}
	return float64(batch) * max(1, h.topic.Benefit)
}

// firstReady returns the first notification of a queue that may start now, or nil and the time at which one may start.
func (s *Scheduler) firstReady(now float64, dest *destination) (*heldNotification, float64) {
	next := never
	// A notification that cannot have run may go to any endpoint. If one with the highest benefit is not admitted, no other
	// notification is (allBlocked). If one with a lower benefit is not, no other with a lower benefit is (lowBenefitBlocked).
	allBlocked, lowBenefitBlocked := false, false
	var blockedClasses []admissionClass
	// Where the benefit decays exponentially, notifications past their objective lose little more by waiting and come last.
	firstTimely := slices.IndexFunc(dest.queue, func(h *heldNotification) bool {
		return !h.topic.ExponentialDecay || h.objectiveEnd() > now
	})
	if s.recoversAnswering(dest) { // the recovery budget is for notifications that can be delivered
		firstTimely = slices.IndexFunc(dest.queue, func(h *heldNotification) bool { return s.canAwaitAnswer(now, h) })
	}
	for i := range dest.queue {
		h := dest.queue[(max(0, firstTimely)+i)%len(dest.queue)]
		lowBenefit := h.topic.Benefit < s.maxBenefit
		if allBlocked || lowBenefitBlocked && lowBenefit {
			continue
		}
		if keyFree := s.keyFreeAt(now, h); keyFree > now {
			next = min(next, keyFree)
			continue
		}
		class := admissionClass{h.Topic, h.requiredZone()}
		if slices.Contains(blockedClasses, class) { // another notification of the class was not admitted
			continue
		}
		blockedClasses = append(blockedClasses, class)
		entry, when := s.selectEndpoint(now, dest, h)
		if entry != nil {
			return h, now
		}
		if next = min(next, when); h.mayHaveRunAt == never {
			allBlocked, lowBenefitBlocked = allBlocked || !lowBenefit, true
		}
	}
	return nil, next
}

// selectEndpoint returns the endpoint with the fewest calls in flight among those that admit h, or nil and the time at
// which one may admit it. A tie goes to the lower fee, then to the endpoint that delivered last, or to a random one before
// any delivery: with a fixed order many dispatchers without calls in flight would all choose the same endpoint.
func (s *Scheduler) selectEndpoint(now float64, dest *destination, h *heldNotification) (*directory.Endpoint, float64) {
	var best *directory.Endpoint
	next, fewestCalls := never, 0
	listed := s.dir.Endpoints(dest.id)
	skipAvoided := s.hasAlternative(now, h, listed)
	for i := range listed {
		entry := &listed[i]
		if !s.eligible(h, *entry) || skipAvoided && s.endpoint(entry.ID).topics[h.Topic].avoidedUntil > now {
			continue
		}
		if s.joinableCall(now, *entry) != nil {
			return entry, now
		}
		ep := s.endpoint(entry.ID)
		if s.unusuallySilent(now, ep) || float64(len(ep.calls)) >= ep.maxCalls {
			continue
		}
		when := max(s.admitsAt(now, dest, *entry, h), ep.setAsideUntil)
		if when > now {
			next = min(next, when)
			continue
		}
		better := best == nil || len(ep.calls) < fewestCalls
		if !better && len(ep.calls) == fewestCalls {
			fee, bestFee := s.routes.FeeByZone[entry.Zone], s.routes.FeeByZone[best.Zone]
			better = fee < bestFee || fee == bestFee && ep.preference > s.endpoint(best.ID).preference
		}
		if better {
			best, fewestCalls = entry, len(ep.calls)
		}
	}
	return best, next
}

// eligible reports whether h may be sent to an endpoint at all.
func (s *Scheduler) eligible(h *heldNotification, entry directory.Endpoint) bool {
	return entry.Stage == directory.Ready && (!h.zoneBound() || entry.Zone == h.mayHaveRunZone)
}

// hasAlternative reports whether some eligible endpoint is neither avoided for the topic of h nor in an outage. Only then
// are the endpoints that recently failed the topic avoided. This protects against endpoints that fail one topic and accept
// the others; it costs latency where the failure was accidental and the other endpoints are slower.
func (s *Scheduler) hasAlternative(now float64, h *heldNotification, listed []directory.Endpoint) bool {
	for _, entry := range listed {
		if s.eligible(h, entry) && s.endpoint(entry.ID).topics[h.Topic].avoidedUntil <= now && !s.throttle(entry).ejected {
			return true
		}
	}
	return false
}
