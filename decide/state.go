package decide

import (
	"math"
	"slices"

	"orchiddrift/directory"
)

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
	tenantArrivals         map[string][]float64 // when the last notifications of each tenant arrived
	listOnRequest          bool                 // the list is sent only on request
	revisionAtRequest      int                  // revision of the list when it was last requested
	revisionAtEviction     int                  // revision of the list when unused state was last evicted
	nextListRequest        float64              // when to request the list; never if that is not due
	held                   map[string]*heldNotification
	keys                   map[string][]*heldNotification
	keysBlockedUntil       float64 // no notification with an ordering key starts before
	destinations           map[string]*destination
	throttles              map[throttleID]*throttle
	endpoints              map[string]*endpoint
	round                  []*destination
	roundIndex             int
	quantumGranted         bool
	callsInFlight          int
	outages                []*throttle                         // throttles in an outage
	latencies              []float64                           // latest latencies of all endpoints, in seconds
	usageSamples           []float64                           // latest usage of limits, of all throttles, as shares
	firstFailures          [PeerMessage + 1]firstFailureCounts // by the result of the first failure
	benefitSum             float64                             // sum of the benefits of all notifications taken
	takenCount             int                                 // number of notifications taken
	idleEndpoints          []idleEndpoint                      // endpoints that may have idle connections, longest idle first
	connectionsScarceUntil map[string]float64                  // by kind: idle connections are closed early until then
}

// heldNotification is a notification that has been taken and not yet released. Times are in seconds.
type heldNotification struct {
	Notification
	topic            Topic
	expiresAt        float64 // end of its TTL
	sequence         int     // position in the order in which notifications were taken
	pushes           int
	call             *call   // call of the push in flight, or nil
	mayHaveRunAt     float64 // when the first push that may have run was sent, or never
	mayHaveRunZone   string  // zone of the endpoint of that push
	keyBlockedUntil  float64 // its key is available to others from then on, once it is finished
	finished         bool
	noticePending    bool // finished, but the client has not received the final answer yet
	overQuota        bool // it arrived over its tenant's quota
	displaced        bool // its place in the queue was given to one that is worth more
	lastSentAt       float64
	lastZone         string  // zone of the endpoint of its last push as listed then; the list may change before the push ends
	timeoutCut       bool    // the timeout of its push was shortened to the time left
	trialWaitDrawnAt float64 // value of throttle.lastTrial for which trialWait was drawn
	trialWait        float64 // random wait for a trial of its own, as a multiple of the mean wait
}

// objectiveEnd returns the time at which the objective ends.
func (h *heldNotification) objectiveEnd() float64 {
	return h.expiresAt - h.topic.TTL + h.topic.Objective
}

// arrivedAt returns the time at which the TTL began. A notification that arrived with its whole TTL arrived then.
func (h *heldNotification) arrivedAt() float64 { return h.expiresAt - h.topic.TTL }

// admissionClass groups the notifications of a destination that are admitted alike.
type admissionClass struct{ topic, zone string }

// zoneBound reports whether a push may have run and repeats are recognised in the zone of that push only.
func (h *heldNotification) zoneBound() bool {
	return h.mayHaveRunAt != never && h.topic.DedupScope == "zone"
}

// requiredZone returns a label of the zone to which the notification is bound, or "" if any will do.
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

// done reports whether the notification is finished, confirmed and without a push in flight.
func (h *heldNotification) done() bool { return h.finished && !h.noticePending && h.call == nil }

// keyReleased reports whether other notifications with the same key may start.
func (h *heldNotification) keyReleased(now float64) bool { return h.done() && h.keyBlockedUntil <= now }

func (h *heldNotification) ordered() bool { return h.topic.Ordered && h.Key != "" }

// call is a call in flight, shared by notifications pushed in the same turn.
type call struct {
	endpoint       *endpoint
	throttle       *throttle
	startedAt      float64
	size           int  // notifications in the call
	pending        int  // notifications without an outcome
	failureCounted bool // its failure has been recorded, once for the whole call
}

// destination is the queue of a destination.
type destination struct {
	id       string
	queue    []*heldNotification
	arrivals []float64 // times of the latest first tries
	deficit  float64
	inRound  bool
}

// throttle holds the limits and measurements of a destination, or of one endpoint that is a separate route. Times are in
// seconds.
type throttle struct {
	inFlight            int
	blockedUntil        float64 // no push starts before
	allowance           float64
	limit               float64   // last reported limit in calls per second; 0 for none
	idleSince           float64   // time since which no call has been in flight
	sentPushes          []sample  // latest pushes by time, with their weight in calls
	outcomes            []sample  // latest outcomes by time: 0 for a delivery, 1 for a failure
	refusedSince        float64   // time of the first refusal since the last delivery, or never
	consecutiveRefusals int       // refusals since the last delivery
	usageSamples        []float64 // usage of the limit that the latest answers reported, as shares
	refusalSamples      []float64 // latest pushes that were delivered (0) or refused (1)
	lastRefusal         float64   // time of the last refusal; -never for none
	recovering          bool      // in an outage or in slow start after it
	outageSince         float64   // time at which the outage was detected
	respondingSince     float64   // estimated end of the outage; never while it lasts
	firstAnswer         float64   // time of the first answer after the outage
	lastDeliveredSend   float64   // time at which the latest of the delivered pushes was sent
	sendOutcomes        []sample  // latest pushes by the time they were sent: 0 for a delivery, 1 for a failure
	firstFailure        Result    // result of the first failure since a delivery, until classifyFirstFailure; Delivered for none
	lastDelivery        float64   // time of the last delivery
	lastFailure         float64   // time of the last failure that was counted
	lastFailureDuration float64   // duration of the push that failed last
	lastTrial           float64   // time of the last push, or of the detection of the outage if that is later
	jitter              float64   // random factor on the time until the next trial, or on the pause after a refusal
}

// inOutage reports whether an outage was detected and nothing has been delivered since.
func (t *throttle) inOutage() bool { return t.recovering && t.respondingSince == never }

// firstFailureCounts counts how many first failures turned out to be part of an outage, and how many were isolated.
type firstFailureCounts struct{ outages, isolated float64 }

type sample struct{ at, weight float64 }

// idleEndpoint is an endpoint that has had no call in flight since then and may have idle connections.
type idleEndpoint struct {
	endpoint *endpoint
	since    float64
}

// endpoint holds the calls and measurements of one endpoint. Times are in seconds.
type endpoint struct {
	id            string
	kind          string
	calls         []*call
	idleSince     float64 // end of its last call
	preference    float64 // time of its last delivery; before any, or after a refusal, a random number from -1 to 0
	setAsideUntil float64 // no push is sent to it before
	maxCalls      float64 // calls in flight that it accepts, derived from refusals; never if unknown
	lastAnswer    float64 // time of the last answer
	firstFailure  float64 // time of the first failure since the last answer
	answerGaps    []float64
	latencies     []float64
	topics        map[string]topicHealth // by name
	lastCallStart float64                // start of its last call
	callGaps      []float64              // latest times between the starts of two calls
}

// topicHealth describes how an endpoint handles one topic.
type topicHealth struct {
	lastDelivery float64 // time of the last delivery, in seconds
	failures     int     // failures since that delivery
	avoidedUntil float64 // not pushed to it before, as long as another endpoint can take it
}

// evictUnused removes, after each update of the list, state that no decision can depend on any more: unlisted endpoints
// without calls in flight or idle connections; unlisted destinations with an empty queue; the throttles of both, once no
// wait applies and slow start is over; keys that all notifications have released; and tenants without a notification in
// the last quotaSpan.
func (s *Scheduler) evictUnused(now float64) {
	if s.revisionAtEviction == s.dir.Revision {
		return
	}
	s.revisionAtEviction = s.dir.Revision
	awaitingClose := map[string]bool{}
	for id, d := range s.destinations {
		if !s.dir.KnownDest(id) && len(d.queue) == 0 {
			delete(s.destinations, id)
		}
	}
	for _, i := range s.idleEndpoints {
		awaitingClose[i.endpoint.id] = true
	}
	for id, ep := range s.endpoints {
		if !s.dir.Contains(id) && !awaitingClose[id] && len(ep.calls) == 0 {
			delete(s.endpoints, id)
		}
	}
	for id, t := range s.throttles {
		listed := id.shared && s.dir.KnownDest(id.owner) || !id.shared && s.dir.Contains(id.owner)
		if !listed && t.inFlight == 0 && t.blockedUntil <= now && !s.inSlowStart(now, t) {
			delete(s.throttles, id)
		}
	}
	for key, list := range s.keys {
		if !slices.ContainsFunc(list, func(h *heldNotification) bool { return !h.keyReleased(now) }) {
			delete(s.keys, key)
		}
	}
	for tenant, arrivals := range s.tenantArrivals {
		if arrivals[len(arrivals)-1] <= now-quotaSpan {
			delete(s.tenantArrivals, tenant)
		}
	}
}

// release removes a notification that is done, and from its key those that have released it.
func (s *Scheduler) release(now float64, h *heldNotification) {
	if !h.done() {
		return
	}
	delete(s.held, h.ID)
	if !h.ordered() {
		return
	}
	rested := func(x *heldNotification) bool { return x.keyReleased(now) }
	s.keys[h.Key] = slices.DeleteFunc(s.keys[h.Key], rested)
}

// throttleID identifies a throttle: that of a destination, shared by its endpoints, or that of an endpoint which is a
// separate route.
type throttleID struct {
	owner  string
	shared bool
}

func (s *Scheduler) destination(id string) *destination {
	if s.destinations[id] == nil {
		s.destinations[id] = &destination{id: id}
	}
	return s.destinations[id]
}

func (s *Scheduler) throttle(e directory.Endpoint) *throttle {
	id := throttleID{owner: e.Dest, shared: true}
	if s.routes.SeparateByKind[e.Kind] {
		id = throttleID{owner: e.ID}
	}
	t := s.throttles[id]
	if t == nil {
		t = &throttle{allowance: never, refusedSince: never, lastRefusal: -never, respondingSince: never}
		s.throttles[id] = t
	}
	return t
}

func (s *Scheduler) endpoint(id string) *endpoint {
	ep := s.endpoints[id]
	if ep == nil {
		ep = &endpoint{id: id, preference: -s.rng.float(), maxCalls: never, topics: map[string]topicHealth{}}
		s.endpoints[id] = ep
	}
	return ep
}

// listedZone returns the zone in which an endpoint is listed now. It stands in where the zone of a push was not recorded.
func (s *Scheduler) listedZone(destID, id string) string {
	for _, e := range s.dir.Endpoints(destID) {
		if e.ID == id {
			return e.Zone
		}
	}
	return ""
}

// TTL returns the TTL of a topic in seconds, and reports whether the topic exists.
func (s *Scheduler) TTL(topic string) (float64, bool) { t, ok := s.topics[topic]; return t.TTL, ok }

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

// countFailures returns the number of failures among outcomes.
func countFailures(outcomes []sample) int {
	n := 0
	for _, s := range outcomes {
		n += int(s.weight)
	}
	return n
}

// pcg is the random number generator PCG-XSH-RR 64/32.
type pcg struct{ state uint64 }

func (p *pcg) float() float64 {
	old := p.state
	p.state = old*6364136223846793005 + 1442695040888963407
	word := uint32(((old >> 18) ^ old) >> 27)
	rot := uint32(old >> 59)
	return float64(word>>rot|word<<(-rot&31)) / (1 << 32)
}
