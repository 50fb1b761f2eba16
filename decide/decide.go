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

// HandleRestart records that pushes of an earlier process may still run. There is no record of the notifications that were
// finished by then, so all ordered keys pause for KeyCooldown.
func (s *Scheduler) HandleRestart(now float64) { s.keysBlockedUntil = now + s.policy.KeyCooldown }

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
