// Package decide makes all decisions of a dispatcher. types.go holds the values that it takes and returns.
//
// The caller uses three methods of Scheduler. Place(now, ntf) takes a new notification, or decides on one whose turn has
// come: push it, hold it, or give it up. HandleOutcome(now, outcome) records how a push ended and decides what becomes of
// its notification. NextTurn(now) returns the seconds until Place is to be called next (0: now) and the notification to
// call it for; an empty ID stands for maintenance, such as closing idle connections.
// Place contains the ordinary path of a notification, from admission to its push. Deficit round robin and allowances are
// specified in DESIGN.
//
// Seven mechanisms supplement that design:
//  1. Outlier detection: an endpoint whose push timed out or lost its connection is set aside for a fixed time plus jitter.
//     While an endpoint is unusually silent it gets no pushes.
//  2. Recovery budget: a destination that failed gets this dispatcher's share of what a cold destination can take.
//  3. Idle connections: where connections are scarce they are kept open for less time; after a connection failed,
//     once-only notifications are sent on new ones.
//  4. Adaptive timeouts: the timeout of a push follows recent latencies.
//  5. Admission control: a notification that can no longer be delivered gets its final answer at once, and a full queue
//     keeps the notifications that are worth most.
//  6. Pacing: after refusals a destination is sent what it recently accepted, in rate and in concurrency, then slowly more.
//  7. Per-topic avoidance: an endpoint that failed one topic is avoided for that topic only.
package decide

import (
	"cmp"
	"math"
	"slices"

	"orchiddrift/directory"
)

const (
	quantum = 1.0 // pushes added to the deficit of a destination per visit, before its weight

	// reservedShare is the share of a limit that low-benefit topics may not use, and the share of the room that notifications
	// waiting for their key may not use if the queue of their destination is full.
	reservedShare = 0.1

	// defaultRefusalWait is the time in seconds without pushes after a refusal that told no wait. With jitter, it is also the
	// time for which an endpoint with too many connections is set aside.
	defaultRefusalWait = 0.5

	allowanceTTL = 1.0 // seconds without a call in flight after which an allowance is discarded; also the shortest RetryIn
	setAsideBase = 1.0 // seconds, the shortest time for which an endpoint is set aside, and the shortest between two trials

	// setAsideJitter is the upper bound in seconds of the random time added to setAsideBase. It is also the shortest delay of a
	// repeated request for the list of endpoints.
	setAsideJitter = 0.5

	defaultGap           = 0.5  // seconds, the gap or latency assumed before there are samples
	maxSamples           = 16   // samples kept in each series of latencies, gaps and usage
	maxPushSamples       = 256  // pushes and arrivals kept in each series
	healthSamples        = 8    // latest outcomes from which the health of a destination is judged
	sharedPushWeight     = 0.25 // weight of each further notification in a call, in pushes
	timeoutLatencies     = 8.0  // timeout of a push, in mean latencies
	maxTimeoutObjectives = 2.0  // upper bound of a timeout, in objectives, before that of a once-only push is doubled
	firstTryMargin       = 0.1  // seconds by which the time left of a first try may be less than its TTL
	quotaSpan            = 5.0  // seconds over which a tenant's use of its quota is measured

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

// New returns a Scheduler that holds no notifications. The seed initializes its random numbers. With listOnRequest the list
// of endpoints is sent only on request, and the Scheduler asks its caller for it.
func New(seed uint64, dir *directory.Directory, topics []Topic, capacity Capacity, routes Routes, recovery Recovery,
	policy PushPolicy, quotas TenantQuotas, listOnRequest bool) *Scheduler {
	s := &Scheduler{rng: pcg{state: seed}, dir: dir, topics: map[string]Topic{}, capacity: capacity, routes: routes,
		recovery: recovery, policy: policy, quotas: quotas, listOnRequest: listOnRequest, held: map[string]*heldNotification{},
		heldByKey: map[string][]*heldNotification{}, destinations: map[string]*destination{}, throttles: map[throttleID]*throttle{},
		endpoints: map[string]*endpoint{}, tenantArrivals: map[string][]float64{}, connectionsScarceUntil: map[string]float64{}}
	if !listOnRequest {
		s.nextListRequest = never
	}
	for _, t := range topics {
		s.topics[t.Name] = t
		s.maxBenefit = max(s.maxBenefit, t.Benefit)
	}
	return s
}

// Place takes a new notification into the queue of its destination, or decides on one that NextTurn returned. For an empty
// notification it returns the maintenance that is due; it is called with one only if NextTurn returned 0 and an empty ID.
func (s *Scheduler) Place(now float64, ntf Notification) Decision {
	if ntf.ID == "" {
		return s.maintain(now)
	}
	h, known := s.held[ntf.ID]
	if !known {
		return s.admit(now, ntf)
	}
	dest := s.destination(ntf.Dest)
	if h.finished || h.call != nil {
		return Decision{}
	}
	if s.cannotDeliver(now, dest, h) {
		return s.giveUp(now, dest, h)
	}
	entry, _ := s.selectEndpoint(now, dest, h)
	if entry == nil || s.keyFreeAt(now, h) > now {
		return Decision{}
	}
	return s.startPush(now, dest, h, *entry)
}

// maintain returns the maintenance that is due.
func (s *Scheduler) maintain(now float64) Decision {
	if s.nextListRequest <= now {
		s.failuresAtRequest, s.nextListRequest = s.dir.Failures, never
		return Decision{Action: WatchList}
	}
	dueIndex := slices.IndexFunc(s.idleEndpoints, func(idle idleEndpoint) bool { return s.idleCloseAt(now, idle) <= now })
	ep := s.idleEndpoints[dueIndex].endpoint
	s.idleEndpoints = slices.Delete(s.idleEndpoints, dueIndex, dueIndex+1)
	return Decision{Action: CloseIdle, Endpoint: ep.id}
}

// admit takes a new notification into the queue of its destination, or throttles it if there is no room. One that was restored is
// always taken. A notification that is throttled leaves no state: clients can make up any number of destinations.
func (s *Scheduler) admit(now float64, ntf Notification) Decision {
	dest := s.destinations[ntf.Dest]
	if dest == nil {
		dest = &destination{id: ntf.Dest}
	}
	h := &heldNotification{Notification: ntf, topic: s.topics[ntf.Topic], expiresAt: now + ntf.TimeLeft, mayHaveRunAt: never}
	isFirstTry := ntf.TimeLeft > h.topic.TTL-firstTryMargin && !ntf.Restored
	h.pushes, h.overQuota = ntf.Pushes, isFirstTry && s.overQuota(now, ntf.Tenant)
	freeRoom := (1-reservedShare)*float64(s.capacity.MaxHeld) - float64(len(s.held))
	// A notification that waits for its key needs room, but is not limited by the queue bound.
	queuesBehindKey := freeRoom > 0 && h.ordered() && len(s.heldByKey[h.Key]) > 0
	if !ntf.Restored && (!s.dir.KnownDest(dest.id) ||
		!queuesBehindKey && len(dest.queue) >= s.queueBound(h) && !s.displace(now, dest, h)) {
		return Decision{Action: Throttle, NotificationID: h.ID, RetryIn: s.retryIn(now, dest)}
	}
	s.destinations[dest.id] = dest
	if ntf.Restored {
		s.applyHistory(now, dest, h)
	}
	s.held[h.ID] = h
	if isFirstTry {
		dest.arrivals = appendLast(dest.arrivals, now, maxPushSamples)
	}
	if h.ordered() {
		s.heldByKey[h.Key] = append(s.heldByKey[h.Key], h)
	}
	s.takenCount, s.benefitSum = s.takenCount+1, s.benefitSum+h.topic.Benefit
	h.sequence = s.takenCount
	if h.finished, h.noticePending = ntf.NoticePending, ntf.NoticePending; !h.finished {
		s.enqueue(dest, h)
	}
	return Decision{}
}

// applyHistory applies what an earlier process recorded of a notification: that it arrived, that its last push failed, and when one that
// may have run was sent.
func (s *Scheduler) applyHistory(now float64, dest *destination, h *heldNotification) {
	s.staggerRestored(now, dest, h)
	if h.LastPushFailed {
		s.bindAfterRestart(now, h.Dest)
	}
	if h.FirstRunAt > 0 { // it may still run
		h.mayHaveRunAt, h.keyBlockedUntil = h.FirstRunAt, now+s.policy.KeyCooldown
		h.mayHaveRunZone = cmp.Or(h.FirstRunZone, s.listedZone(h.Dest, h.FirstRunEndpoint))
	}
	dest.arrivals = appendLast(dest.arrivals, min(now, h.arrivedAt()), maxPushSamples)
}

// startPush starts a push of h to an endpoint, in a call of its own or in one that started at the same time.
func (s *Scheduler) startPush(now float64, dest *destination, h *heldNotification, entry directory.Endpoint) Decision {
	t, ep := s.throttle(entry), s.endpoint(entry.ID)
	ep.kind, dest.deficit = entry.Kind, dest.deficit-1
	s.dequeue(dest, h)
	s.joinCall(now, h, t, entry)
	t.lastTrial, t.jitter = now, 0.5+s.rng.float()
	h.pushes, h.lastSentAt, h.lastSentZone = h.pushes+1, now, entry.Zone
	// The client counts the TTL from when it sent the notification, which is earlier than its arrival here. An answer in
	// the last tick may therefore be late.
	timeout, validFor := s.pushTimeout(t, ep, h), max(0, h.expiresAt-s.policy.Tick-now)
	h.timeoutCut = validFor < timeout
	// Where connections are scarce an endpoint may close an idle one just as a push uses it, so once-only notifications use a
	// new one.
	return Decision{Action: Push, NotificationID: h.ID, Endpoint: entry.ID, Timeout: min(timeout, validFor),
		AnswerValidFor: validFor, StartWithin: s.dedupUntil(h) - now, FirstRun: h.firstRun(),
		NewConnection: h.topic.Repeat == OnceOnly && s.connectionsScarceUntil[entry.Kind] > now}
}

// joinCall puts a push into a call to the endpoint that started at the same time and has room, or into a new one.
func (s *Scheduler) joinCall(now float64, h *heldNotification, t *throttle, entry directory.Endpoint) {
	if c := s.joinableCall(now, entry); c != nil {
		c.size++
		c.pending++
		h.call = c
		s.countPush(now, t, sharedPushWeight)
		return
	}
	ep := s.endpoint(entry.ID)
	h.call = &call{endpoint: ep, throttle: t, startedAt: now, size: 1, pending: 1}
	ep.calls = append(ep.calls, h.call)
	if ep.lastCallStart > 0 {
		ep.callGaps = appendLast(ep.callGaps, now-ep.lastCallStart, maxSamples)
	}
	ep.lastCallStart = now
	t.inFlight++
	s.callsInFlight++
	t.allowance--
	s.countPush(now, t, 1)
}

// HandleOutcome records how a push ended and decides what becomes of its notification: it is finished, given up, or queued
// again. It also takes told waits that arrive after their push ended, and withdrawn notifications.
func (s *Scheduler) HandleOutcome(now float64, outcome Outcome) Decision {
	h := s.held[outcome.NotificationID]
	if entry, ok := s.dir.Find(outcome.Dest, outcome.Endpoint); ok { // a wait that was told after the push had ended
		s.recordToldWait(now, s.throttle(entry), outcome.ToldWait)
	}
	if h == nil {
		return Decision{}
	}
	dest := s.destination(h.Dest)
	if outcome.Result == Withdrawn {
		h.finished, h.noticePending = true, false
		s.dequeue(dest, h)
		s.release(now, h)
		return Decision{}
	}
	c := h.call
	h.call = nil
	if c != nil {
		s.recordToldWait(now, c.throttle, outcome.ToldWait) // it applies whatever the rest of the answer says
		if c.pending--; c.pending == 0 {
			c.endpoint.calls = slices.DeleteFunc(c.endpoint.calls, func(x *call) bool { return x == c })
			s.callsInFlight--
			c.endpoint.idleSince = now
			s.idleEndpoints = append(s.idleEndpoints, idleEndpoint{c.endpoint, now})
			if c.throttle.inFlight--; c.throttle.inFlight == 0 {
				c.throttle.idleSince = now
			}
		}
		if outcome.Result != NotAttempted {
			s.recordOutcome(now, c, h, outcome)
		} else if outcome.Unsent {
			h.pushes--
			c.throttle.forgetPush(c.startedAt)
		} else if outcome.NoMorePushes {
			h.pushes = s.policy.MaxPushes
		}
	}
	switch outcome.Result {
	case Failed, TimedOut, Reset, Cancelled:
		if h.mayHaveRunAt == never {
			h.mayHaveRunAt, h.mayHaveRunZone = h.lastSentAt, h.lastSentZone
		}
		if outcome.Result != Failed {
			h.keyBlockedUntil = now + s.policy.KeyCooldown
		}
	}
	if h.finished = h.finished || outcome.Final; h.finished {
		s.release(now, h)
		return Decision{}
	}
	if s.cannotDeliver(now, dest, h) {
		return s.giveUp(now, dest, h)
	}
	s.enqueue(dest, h)
	return Decision{}
}

// NextTurn returns the seconds until Place is to be called, and the ID of the notification to call it for. 0 means now;
// an empty ID means maintenance.
func (s *Scheduler) NextTurn(now float64) (float64, string) {
	s.evictUnused(now)
	next := s.nextMaintenance(now)
	if next <= now {
		return 0, ""
	}
	if id := s.Undeliverable(now); id != "" {
		return 0, id
	}
	for _, dest := range s.round {
		for _, h := range dest.queue {
			next = min(next, s.latestStart(h))
		}
	}
	h, when := s.nextInRound(now)
	if h != nil {
		return 0, h.ID
	}
	return min(next, when) - now, ""
}

// Undeliverable returns the ID of a queued notification that can no longer be delivered, or "". Place gives that
// notification its final answer.
func (s *Scheduler) Undeliverable(now float64) string {
	for _, dest := range s.round {
		for _, h := range dest.queue {
			if s.cannotDeliver(now, dest, h) {
				return h.ID
			}
		}
	}
	return ""
}

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

// HandleRestart records that pushes of an earlier process may still run. There is no record of the notifications that were
// finished by then, so all ordered keys pause for KeyCooldown.
func (s *Scheduler) HandleRestart(now float64) { s.keysBlockedUntil = now + s.policy.KeyCooldown }

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

// pushTimeout returns the timeout of a push in seconds: a multiple of the mean latency, but at least one objective and at most
// maxTimeoutObjectives. While an endpoint has few samples, those of all endpoints are used too. The lower bound does not
// apply to a push that takes the last slot, because a lost answer would delay all other pushes. In an outage the timeout is
// the upper bound. Otherwise, unless it takes the last slot, a once-only push gets twice the timeout.
func (s *Scheduler) pushTimeout(t *throttle, ep *endpoint, h *heldNotification) float64 {
	objective := h.topic.Objective
	if t.ejected {
		return maxTimeoutObjectives * objective
	}
	if s.callsInFlight >= s.capacity.MaxCalls {
		return min(timeoutLatencies*smoothedMean(ep.latencies, smoothedMean(s.latencies, defaultGap)), maxTimeoutObjectives*objective)
	}
	timeout := min(max(objective, timeoutLatencies*smoothedMean(ep.latencies, smoothedMean(s.latencies, defaultGap))),
		maxTimeoutObjectives*objective)
	if h.topic.Repeat == OnceOnly {
		timeout *= 2
	}
	return timeout
}

// cannotDeliver reports whether a held notification can no longer be delivered and is to get its final answer.
func (s *Scheduler) cannotDeliver(now float64, dest *destination, h *heldNotification) bool {
	outOfTime := now >= s.latestStart(h) || h.pushes >= s.policy.MaxPushes || h.displaced
	unsafe := h.mayHaveRunAt != never && h.topic.Repeat == OnceOnly || now > s.dedupUntil(h)
	return !h.finished && h.call == nil && (outOfTime || unsafe)
}

// latestStart returns the latest time at which a push may start to be answered within the TTL, given recent latencies. A
// push started later would end before its answer is read, and the next push would violate a wait told in that answer.
func (s *Scheduler) latestStart(h *heldNotification) float64 {
	return h.expiresAt - max(s.policy.Tick, smoothedMean(s.latencies, 0))
}

// dedupUntil returns the time until which endpoints are certain to recognise a repeat, if a push may have run; never means
// that there is no such bound. No push may start later, including one that waited for its connection until then.
func (s *Scheduler) dedupUntil(h *heldNotification) float64 {
	if h.topic.Repeat != Collapsible {
		return never
	}
	return h.mayHaveRunAt + h.topic.DedupWindow - s.policy.Tick
}

// giveUp finishes a notification: with Throttle if it is safe to submit again, otherwise with Expire. Its key stays blocked
// until the client has received that answer.
func (s *Scheduler) giveUp(now float64, dest *destination, h *heldNotification) Decision {
	h.finished, h.noticePending = true, true
	s.dequeue(dest, h)
	deduplicated := h.topic.Repeat == Collapsible && h.topic.DedupScope == "all"
	if h.mayHaveRunAt == never || h.topic.Repeat == Repeatable || deduplicated {
		return Decision{Action: Throttle, NotificationID: h.ID, RetryIn: s.retryIn(now, dest)}
	}
	return Decision{Action: Expire, NotificationID: h.ID}
}

// queueBound returns how many notifications the queue of a destination may hold when h arrives: the room that is left, in
// notifications, times the relative benefit of h. Queues of blocked destinations thus leave room for the others.
func (s *Scheduler) queueBound(h *heldNotification) int {
	return max(1, int(float64(s.capacity.MaxHeld-len(s.held))*s.relativeBenefit(h)))
}

// relativeBenefit returns the benefit of a notification divided by the mean benefit of those taken. Scarce room and pace
// are allocated in proportion to it; for limits, reservedShare gives precedence by benefit, but only while calls are in
// flight. It works poorly where one topic has nearly all of the benefit.
func (s *Scheduler) relativeBenefit(h *heldNotification) float64 {
	return h.topic.Benefit * float64(s.takenCount) / max(s.benefitSum, 1e-9)
}

// displace marks the notification in a full queue that has the lowest current benefit as displaced, if that is lower than
// the benefit of h, and reports whether there was one. Place then gives the displaced notification its final answer.
func (s *Scheduler) displace(now float64, dest *destination, h *heldNotification) bool {
	leastValuable := h
	for _, x := range dest.queue {
		// A restored notification that was not pushed yet is not displaced, because a push of it was promised.
		if !x.displaced && !(x.Restored && x.pushes == 0) && s.currentBenefit(now, x) < s.currentBenefit(now, leastValuable) {
			leastValuable = x
		}
	}
	leastValuable.displaced = leastValuable != h
	return leastValuable.displaced
}

// currentBenefit returns the benefit of a notification if it were delivered now.
func (s *Scheduler) currentBenefit(now float64, h *heldNotification) float64 {
	lateness := now - h.objectiveEnd()
	share := 1 - (1-h.topic.LateBenefit)*max(0, lateness)/max(h.topic.TTL-h.topic.Objective, 1e-9)
	if h.topic.ExponentialDecay {
		share = max(h.topic.LateBenefit, math.Exp2(-max(0, lateness)/h.topic.Objective))
	}
	if h.overQuota {
		share *= s.quotas.OverQuotaBenefit
	}
	return h.topic.Benefit * share
}

// overQuota records an arrival for a tenant and reports whether the tenant is over this dispatcher's share of its quota.
// Notifications over quota earn little benefit, so that a burst of one tenant does not displace the notifications of others.
// Place calls it for first tries only: retries, recognised by the time they have left, are not counted again. A tenant without a
// quota is never over it, and its arrivals are not recorded: clients can make up any number of tenants.
func (s *Scheduler) overQuota(now float64, tenant string) bool {
	allowed := quotaSpan * s.evenShare(s.quotas.Rate[tenant])
	if allowed <= 0 {
		return false
	}
	allowed += 2 * math.Sqrt(allowed) // margin for random variation
	arrivals := appendLast(s.tenantArrivals[tenant], now, maxPushSamples)
	s.tenantArrivals[tenant] = arrivals
	return len(arrivals) > int(allowed) && arrivals[len(arrivals)-1-int(allowed)] > now-quotaSpan
}

// retryIn returns the seconds after which a client is advised to submit a notification again: until the first endpoint may
// get a push, as far as is known now, and at least allowanceTTL. An endpoint in an outage is first tried with the
// notifications held here.
func (s *Scheduler) retryIn(now float64, dest *destination) float64 {
	earliest := never
	for _, entry := range s.dir.Endpoints(dest.id) {
		if entry.Stage != directory.Ready {
			continue
		}
		t := s.throttle(entry)
		earliest = min(earliest, max(t.blockedUntil, s.endpoint(entry.ID).setAsideUntil, s.recoveryStart(now, dest, entry, t)))
	}
	if earliest == never {
		return allowanceTTL
	}
	return max(allowanceTTL, earliest-now)
}

// keyFreeAt returns when the key of an ordered notification becomes available to it: now, at a later time, or never if
// that takes an outcome first.
func (s *Scheduler) keyFreeAt(now float64, h *heldNotification) float64 {
	if !h.ordered() {
		return now
	}
	freeAt := max(now, s.keysBlockedUntil)
	for _, x := range s.heldByKey[h.Key] {
		if x == h {
			return freeAt
		}
		if !x.done() {
			return never
		}
		freeAt = max(freeAt, x.keyBlockedUntil)
	}
	return freeAt
}

// joinableCall returns the call to an endpoint that started at the same time, now, and has room for another notification, or
// nil.
func (s *Scheduler) joinableCall(now float64, entry directory.Endpoint) *call {
	calls := s.endpoint(entry.ID).calls
	if n := len(calls); n > 0 && calls[n-1].startedAt == now && calls[n-1].size < s.capacity.BatchSize[entry.Kind] {
		return calls[n-1]
	}
	return nil
}

// enqueue inserts a notification in the order of objective ends, then of sequence. A notification with little time left,
// or one that is retried, is thus not queued behind those with all of their time left.
func (s *Scheduler) enqueue(dest *destination, h *heldNotification) {
	at := len(dest.queue)
	for ; at > 0; at-- {
		if x := dest.queue[at-1]; x.objectiveEnd() < h.objectiveEnd() ||
			x.objectiveEnd() == h.objectiveEnd() && x.sequence < h.sequence {
			break
		}
	}
	dest.queue = slices.Insert(dest.queue, at, h)
	if !dest.inRound {
		dest.inRound, dest.deficit = true, 0
		s.round = append(s.round, dest)
	}
}

// dequeue removes a notification from its queue. A destination whose queue is then empty is removed from the round, and its
// deficit is reset.
func (s *Scheduler) dequeue(dest *destination, h *heldNotification) {
	dest.queue = slices.DeleteFunc(dest.queue, func(x *heldNotification) bool { return x == h })
	if len(dest.queue) > 0 || !dest.inRound {
		return
	}
	dest.inRound, dest.deficit = false, 0
	i := slices.Index(s.round, dest)
	s.round = slices.Delete(s.round, i, i+1)
	if i < s.roundIndex {
		s.roundIndex--
	} else if i == s.roundIndex {
		s.quantumGranted = false
	}
}

// nextMaintenance returns when maintenance is due: requesting the list of endpoints, at start and with a random delay after a
// failure, or closing idle connections. It removes endpoints that are no longer idle from idleEndpoints.
func (s *Scheduler) nextMaintenance(now float64) float64 {
	if s.listOnRequest && s.nextListRequest == never && s.dir.Failures != s.failuresAtRequest { // a list applied since does not start a watch
		s.failuresAtRequest = s.dir.Failures
		s.nextListRequest = now + setAsideJitter*(1+s.rng.float())
	}
	stale := func(idle idleEndpoint) bool {
		return len(idle.endpoint.calls) > 0 || idle.endpoint.idleSince != idle.since
	}
	s.idleEndpoints = slices.DeleteFunc(s.idleEndpoints, stale)
	next := s.nextListRequest
	for _, idle := range s.idleEndpoints {
		next = min(next, s.idleCloseAt(now, idle))
	}
	return next
}
