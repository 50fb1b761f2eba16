package decide

import (
	"math"
	"slices"

	"orchiddrift/directory"
)

// never stands for a time that is not reached, and for a number without bound.
var never = math.Inf(1)

// Scheduler makes all decisions of one dispatcher. It has no clock and no goroutines: callers pass the time, in seconds. It
// is not safe for concurrent use.
type Scheduler struct {
	rng                    pcg
	dir                    *directory.Directory
	topics                 map[string]Topic
	maxBenefit             float64 // highest benefit of a topic
	capacity               Capacity
	routes                 Routes
	recovery               Recovery
	policy                 PushPolicy
	quotas                 TenantQuotas
	tenantArrivals         map[string][]float64           // when the last notifications of each tenant arrived
	listOnRequest          bool                           // the list is sent only on request
	failuresAtRequest      int                            // failures of watches when the list was last requested, or its request planned
	revisionAtEviction     int                            // revision of the list when unused state was last evicted
	nextListRequest        float64                        // when to request the list; never if that is not due
	held                   map[string]*heldNotification   // by ID
	heldByKey              map[string][]*heldNotification // by ordering key, in the order taken, until they release the key
	keysBlockedUntil       float64                        // no notification with an ordering key starts before
	destinations           map[string]*destination        // by ID
	throttles              map[throttleID]*throttle
	endpoints              map[string]*endpoint // by ID
	round                  []*destination       // destinations with queued notifications, in the order of their turns
	roundIndex             int                  // index in round of the destination whose turn it is
	quantumGranted         bool                 // that destination has its quantum for this turn
	callsInFlight          int
	outages                []*throttle                         // throttles in an outage
	latencies              []float64                           // latest latencies of all endpoints, in seconds
	usageSamples           []float64                           // latest usage of limits, of all throttles, as shares
	firstFailures          [PeerMessage + 1]firstFailureCounts // by the result of the first failure
	benefitSum             float64                             // sum of the benefits of all notifications taken
	takenCount             int                                 // number of notifications taken
	idleEndpoints          []idleEndpoint                      // endpoints that may have idle connections, longest idle first
	dialTimes              []float64                           // how long, in seconds, the latest connections took to come up
	connectionsScarceUntil map[string]float64                  // by kind: idle connections are closed early until then
	observeHealth          func(HealthEvent)                   // nil for none
}

// heldNotification is a notification that has been taken and not yet released. Times are in seconds.
type heldNotification struct {
	Notification
	topic            Topic
	expiresAt        float64 // end of its TTL
	sequence         int     // position in the order in which notifications were taken
	pushes           int     // pushes used, including those before a restart
	call             *call   // call of the push in flight, or nil
	mayHaveRunAt     float64 // when the first push that may have run was sent, or never
	mayHaveRunZone   string  // zone of the endpoint of that push
	keyBlockedUntil  float64 // earliest time at which others may use its key, once it is done
	finished         bool    // it has its final answer and is not pushed again
	noticePending    bool    // finished, but the client has not received the final answer yet
	overQuota        bool    // it arrived over its tenant's quota
	displaced        bool    // its place in the queue was given to a notification with more benefit
	lastSentAt       float64 // start of its last push
	lastSentZone     string  // zone of the endpoint of its last push as listed then; the list may change before the push ends
	timeoutCut       bool    // the timeout of its push was shortened to the time left
	trialWaitDrawnAt float64 // value of throttle.lastTrial for which trialWait was drawn
	trialWait        float64 // random wait for a trial of its own, as a multiple of the mean wait
}

// objectiveEnd returns the time at which the objective ends.
func (h *heldNotification) objectiveEnd() float64 {
	return h.expiresAt - h.topic.TTL + h.topic.Objective
}

// arrivedAt returns the time at which the TTL began, which is when a notification with its whole TTL left arrived.
func (h *heldNotification) arrivedAt() float64 { return h.expiresAt - h.topic.TTL }

// admissionClass identifies the notifications of a destination that the same endpoints admit. The zone is that of
// requiredZone.
type admissionClass struct{ topic, zone string }

// zoneBound reports whether a push may have run and repeats are recognised in the zone of that push only.
func (h *heldNotification) zoneBound() bool {
	return h.mayHaveRunAt != never && h.topic.DedupScope == "zone"
}

// requiredZone returns a label for the zone to which the notification is bound, or "" if it may go to any zone. The label is
// not empty even if the zone is unknown.
func (h *heldNotification) requiredZone() string {
	if h.zoneBound() {
		return "only " + h.mayHaveRunZone
	}
	return ""
}

// firstRun returns the first push that may have run.
func (h *heldNotification) firstRun() FirstRun {
	if h.mayHaveRunAt == never {
		return FirstRun{}
	}
	return FirstRun{SentAt: h.mayHaveRunAt, Zone: h.mayHaveRunZone}
}

// done reports whether the notification is finished, the client has received its final answer, and no push is in flight.
func (h *heldNotification) done() bool { return h.finished && !h.noticePending && h.call == nil }

// keyReleased reports whether other notifications with the same key may start.
func (h *heldNotification) keyReleased(now float64) bool { return h.done() && h.keyBlockedUntil <= now }

// ordered reports whether the notification may start only in the order of its key.
func (h *heldNotification) ordered() bool { return h.topic.Ordered && h.Key != "" }

// call is a call in flight, shared by notifications whose pushes started at the same time.
type call struct {
	endpoint       *endpoint
	throttle       *throttle
	startedAt      float64 // seconds
	size           int     // notifications in the call
	pending        int     // notifications without an outcome
	failureCounted bool    // its failure has been recorded, once for the whole call
	bound          bool    // its failure has limited the pushes to its destination, once for the whole call
}

// destination holds the queue of a destination and its state in deficit round robin.
type destination struct {
	id       string
	queue    []*heldNotification // in the order of enqueue
	arrivals []float64           // times of the latest first tries, in seconds
	deficit  float64             // pushes that may still start in this turn
	inRound  bool                // it is in Scheduler.round
}

// throttle holds the limits and measurements of a destination, or of one endpoint that is a separate route. Times are in
// seconds.
type throttle struct {
	id                  throttleID
	failuresInRow       int       // failed and refused pushes since the last delivery
	inFlight            int       // calls in flight
	blockedUntil        float64   // no push starts before
	shutUntil           float64   // end of the latest wait that was told; the destination takes nothing before
	allowance           float64   // calls that may start until a new report; never for no bound
	limit               float64   // last reported limit in calls per second; 0 for none
	idleSince           float64   // time since which no call has been in flight
	sentPushes          []sample  // latest pushes by time: 1 for the first in a call, sharedPushWeight for each further one
	outcomes            []sample  // latest outcomes by time: 0 for a delivery, 1 for a failure
	refusedSince        float64   // time of the first refusal since the last delivery; never for none
	consecutiveRefusals int       // refusals since the last delivery
	closedSince         float64   // time of the first refused connection since the last delivery; never for none
	closedInRow         int       // refused connections since the last delivery
	usageSamples        []float64 // usage of the limit that the latest answers reported, as shares
	refusalSamples      []float64 // latest pushes that were delivered (0) or refused (1)
	lastRefusal         float64   // time of the last refusal; -never for none
	budget              recoveryBudget
	ejected             bool     // an outage was detected and nothing has been delivered since
	outageSince         float64  // time at which the outage was detected
	lastDeliveredSend   float64  // time at which the latest of the delivered pushes was sent
	sendOutcomes        []sample // latest pushes by the time they were sent: 0 for a delivery, 1 for a failure
	firstFailure        Result   // result of the first failure since a delivery, until classifyFirstFailure; Delivered for none
	lastDelivery        float64  // time of the last delivery
	lastFailure         float64  // time of the last failure that was counted
	lastFailureDuration float64  // duration of the push that failed last
	lastTrial           float64  // time of the last push, or of the detection of the outage if that is later
	jitter              float64  // random factor on the time until the next trial, or on the pause after a refusal; 0 before both
}

// health returns the state that decisions assume.
func (t *throttle) health() HealthState {
	switch {
	case t.ejected:
		return Ejected
	case !t.budget.bound():
		return Healthy
	case t.budget.respondingSince == never:
		return Suspected
	}
	return SlowStart
}

// firstFailureCounts counts how many first failures turned out to be part of an outage, and how many were isolated.
type firstFailureCounts struct{ outages, isolated float64 }

// sample is a value and its time in seconds.
type sample struct{ at, value float64 }

// idleEndpoint is an endpoint that may have idle connections. If it still has no call in flight, the last one ended at since,
// in seconds.
type idleEndpoint struct {
	endpoint *endpoint
	since    float64
}

// endpoint holds the calls and measurements of one endpoint. Times are in seconds.
type endpoint struct {
	id            string
	kind          string
	calls         []*call                // in flight, in the order started
	idleSince     float64                // end of its last call
	preference    float64                // time of its last delivery; before any, or after a refusal, a random number from -1 to 0
	setAsideUntil float64                // no push is sent to it before
	maxCalls      float64                // calls in flight that it accepts, derived from refusals; never if unknown
	lastAnswer    float64                // time of the last answer
	firstFailure  float64                // time of the first failure since the last answer; 0 until an answer was received
	answerGaps    []float64              // latest times from an answer, or from the start of the call if later, to a delivery
	latencies     []float64              // latest latencies of pushes that were delivered
	topics        map[string]topicHealth // by name
	lastCallStart float64                // start of its last call
	callGaps      []float64              // latest times between the starts of two successive calls
}

// topicHealth describes how an endpoint handles one topic.
type topicHealth struct {
	lastDelivery float64 // time of the last delivery, in seconds
	failures     int     // failures since that delivery
	avoidedUntil float64 // before this time no push of the topic is sent to it if another endpoint can take it
}

// evictUnused removes, after each update of the list, state that no decision can depend on any more: unlisted endpoints
// without calls in flight or idle connections; unlisted destinations with an empty queue; the throttles of both, once no
// call is in flight, no wait applies and slow start is over; keys that all notifications have released; and tenants without
// a notification in the last quotaSpan.
func (s *Scheduler) evictUnused(now float64) {
	if s.revisionAtEviction == s.dir.Revision {
		return
	}
	s.revisionAtEviction = s.dir.Revision
	awaitingClose := map[string]bool{}
	for id, dest := range s.destinations {
		if !s.dir.KnownDest(id) && len(dest.queue) == 0 {
			delete(s.destinations, id)
		}
	}
	for _, idle := range s.idleEndpoints {
		awaitingClose[idle.endpoint.id] = true
	}
	for id, ep := range s.endpoints {
		if !s.dir.Contains(id) && !awaitingClose[id] && len(ep.calls) == 0 {
			delete(s.endpoints, id)
		}
	}
	for id, t := range s.throttles {
		listed := id.shared && s.dir.KnownDest(id.owner) || !id.shared && s.dir.Contains(id.owner)
		if !listed && t.inFlight == 0 && t.blockedUntil <= now {
			if health := t.health(); health == Ejected || health == SlowStart && !t.budget.slowStartOver(now, s.recovery.WarmUp) {
				continue
			}
			delete(s.throttles, id)
		}
	}
	for key, list := range s.heldByKey {
		if !slices.ContainsFunc(list, func(h *heldNotification) bool { return !h.keyReleased(now) }) {
			delete(s.heldByKey, key)
		}
	}
	for tenant, arrivals := range s.tenantArrivals {
		if arrivals[len(arrivals)-1] <= now-quotaSpan {
			delete(s.tenantArrivals, tenant)
		}
	}
}

// release removes a notification if it is done, and removes from the list of its key all notifications that have released
// the key.
func (s *Scheduler) release(now float64, h *heldNotification) {
	if !h.done() {
		return
	}
	delete(s.held, h.ID)
	if !h.ordered() {
		return
	}
	released := func(x *heldNotification) bool { return x.keyReleased(now) }
	s.heldByKey[h.Key] = slices.DeleteFunc(s.heldByKey[h.Key], released)
}

// throttleID identifies a throttle: that of a destination, shared by its endpoints, or that of an endpoint which is a
// separate route.
type throttleID struct {
	owner  string // ID of the destination or of the endpoint
	shared bool   // it is that of a destination
}

// destination returns the state of a destination, which it creates if there is none.
func (s *Scheduler) destination(id string) *destination {
	if s.destinations[id] == nil {
		s.destinations[id] = &destination{id: id}
	}
	return s.destinations[id]
}

// throttle returns the throttle that applies to an endpoint, which it creates if there is none.
func (s *Scheduler) throttle(entry directory.Endpoint) *throttle {
	id := throttleID{owner: entry.Dest, shared: true}
	if s.routes.SeparateKinds[entry.Kind] {
		id = throttleID{owner: entry.ID}
	}
	return s.throttleOf(id)
}

// throttleOf returns the throttle with an ID, which it creates if there is none.
func (s *Scheduler) throttleOf(id throttleID) *throttle {
	t := s.throttles[id]
	if t == nil {
		t = &throttle{id: id, allowance: never, refusedSince: never, closedSince: never, lastRefusal: -never, lastDeliveredSend: -never, budget: recoveryBudget{boundSince: never}}
		s.throttles[id] = t
	}
	return t
}

// endpoint returns the state of an endpoint, which it creates if there is none.
func (s *Scheduler) endpoint(id string) *endpoint {
	ep := s.endpoints[id]
	if ep == nil {
		ep = &endpoint{id: id, preference: -s.rng.float(), maxCalls: never, topics: map[string]topicHealth{}}
		s.endpoints[id] = ep
	}
	return ep
}

// listedZone returns the zone in which an endpoint is listed now, or "" if it is not listed. It is used if the zone of a push
// was not recorded.
func (s *Scheduler) listedZone(destID, id string) string {
	for _, entry := range s.dir.Endpoints(destID) {
		if entry.ID == id {
			return entry.Zone
		}
	}
	return ""
}

// TopicTTL returns the TTL of a topic in seconds and reports whether the topic exists.
func (s *Scheduler) TopicTTL(topic string) (float64, bool) {
	t, ok := s.topics[topic]
	return t.TTL, ok
}

// appendLast appends v and keeps the latest n elements.
func appendLast[T any](s []T, v T, n int) []T {
	s = append(s, v)
	return s[max(0, len(s)-n):]
}

// smoothedMean returns the mean of the samples and of two more that equal prior.
func smoothedMean(s []float64, prior float64) float64 {
	sum := 2 * prior
	for _, v := range s {
		sum += v
	}
	return sum / float64(len(s)+2)
}

// countFailures returns the number of failures among outcomes, whose values are 1 for a failure and 0 otherwise.
func countFailures(outcomes []sample) int {
	n := 0
	for _, s := range outcomes {
		n += int(s.value)
	}
	return n
}

// pcg is the random number generator PCG-XSH-RR 64/32.
type pcg struct{ state uint64 }

// float returns a random number from 0 to less than 1.
func (p *pcg) float() float64 {
	old := p.state
	p.state = old*6364136223846793005 + 1442695040888963407
	word := uint32(((old >> 18) ^ old) >> 27)
	rot := uint32(old >> 59)
	return float64(word>>rot|word<<(-rot&31)) / (1 << 32)
}
