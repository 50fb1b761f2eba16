package invariant

import (
	"maps"
	"math"

	"orchiddrift/message"
)

// Rules are the limits on the pushes of a notification. Times and durations are in seconds.
type Rules struct {
	Deadline        float64 // end of its TTL
	Window          float64 // a repeat is recognized for this long after the first push that may have run; 0 for no limit
	OnceOnly        bool    // no further push is allowed after one that may have run
	Key             string  // notifications with the same key are pushed one at a time, in the order accepted; "" for none
	MayHaveRunSince float64 // time of the first push that may have run; 0 for none
}

// Target is the target of a call.
type Target struct {
	Throttle string // scope of a told wait: the destination, or one of its routes
	Endpoint string // endpoint ID
}

// Margins are tolerances, in seconds.
type Margins struct {
	DrainGrace float64 // calls may still be sent to an endpoint for this long after it was listed as leaving
	KeyHold    float64 // a key is held for this long after a push that may still run
}

// SendChecker checks each push before it is sent. It is not safe for concurrent use. Times are in seconds of the
// dispatcher's clock. A nil SendChecker checks nothing.
type SendChecker struct {
	counters      *Counters
	margins       Margins
	open          map[string]*openNotification // by notification ID
	finished      map[message.IDHash]float64   // by notification ID: end of the TTL
	keyQueues     map[string][]string          // by key: IDs of the open notifications, in the order accepted
	keyHolds      map[string]keyHold           // by key
	toldWaits     map[string]float64           // by throttle: end of the told wait
	leavingSince  map[string]float64           // by endpoint: time at which it was first listed as leaving
	listWaitOver  bool                         // discovery has responded or failed
	listWaitUntil float64                      // no push may be sent before this time unless listWaitOver is set
	recoveryCalls map[string][]float64         // by throttle: times of recent calls during recovery
}

// keyHold blocks a key after a push that may still run. Until it ends, only the notification of that push may be pushed.
type keyHold struct {
	id    string // of that notification
	until float64
}

// openNotification is a notification without a final answer.
type openNotification struct {
	Rules
	inFlight bool // a push of it is in flight
}

// NewSendChecker returns a SendChecker for a process that may send from listWaitUntil on, or earlier once ListWaitEnded is
// called.
func NewSendChecker(counters *Counters, margins Margins, listWaitUntil float64) *SendChecker {
	return &SendChecker{counters: counters, margins: margins, listWaitUntil: listWaitUntil, open: map[string]*openNotification{},
		finished: map[message.IDHash]float64{}, keyQueues: map[string][]string{}, keyHolds: map[string]keyHold{},
		toldWaits: map[string]float64{}, leavingSince: map[string]float64{}, recoveryCalls: map[string][]float64{}}
}

// Accepted records that a notification was accepted, or was restored from the ledger.
func (s *SendChecker) Accepted(id string, rules Rules) {
	if s == nil {
		return
	}
	delete(s.finished, message.HashID(id))
	s.open[id] = &openNotification{Rules: rules}
	if rules.Key != "" {
		s.keyQueues[rules.Key] = append(s.keyQueues[rules.Key], id)
	}
}

// Finished records that a notification has its final answer, or that its acceptance failed.
func (s *SendChecker) Finished(id string) {
	if s == nil || s.open[id] == nil {
		return
	}
	s.finished[message.HashID(id)] = s.open[id].Deadline
	if key := s.open[id].Key; key != "" {
		s.removeFromKey(key, id)
	}
	delete(s.open, id)
}

// removeFromKey removes a notification from the queue of its key.
func (s *SendChecker) removeFromKey(key, id string) {
	queue := s.keyQueues[key][:0]
	for _, queued := range s.keyQueues[key] {
		if queued != id {
			queue = append(queue, queued)
		}
	}
	if s.keyQueues[key] = queue; len(queue) == 0 {
		delete(s.keyQueues, key)
	}
}

// WaitTold records a wait told by an endpoint. The latest end of all waits told for a throttle applies.
func (s *SendChecker) WaitTold(throttle string, until float64) {
	if s != nil {
		s.toldWaits[throttle] = max(s.toldWaits[throttle], until)
	}
}

// ListWaitEnded records that discovery has responded or failed.
func (s *SendChecker) ListWaitEnded() {
	if s != nil {
		s.listWaitOver = true
	}
}

// EndpointListed records that an endpoint was listed, either as ready or as leaving.
func (s *SendChecker) EndpointListed(now float64, endpoint string, ready bool) {
	if s == nil {
		return
	}
	if ready {
		delete(s.leavingSince, endpoint)
	} else if s.leavingSince[endpoint] == 0 {
		s.leavingSince[endpoint] = now
	}
}

// CheckSend checks a push of a notification that is about to be sent, and records that it is in flight.
func (s *SendChecker) CheckSend(now float64, id string, target Target) {
	if s == nil {
		return
	}
	if expiresAt, finished := s.finished[message.HashID(id)]; finished {
		s.counters.Report(SentAfterFinal, id, "sent to %s after its final answer; its TTL ends at %.3f", target.Endpoint,
			expiresAt)
		return
	}
	n := s.open[id]
	if n == nil {
		s.counters.Report(SentAfterFinal, id, "sent to %s; it was not accepted or its final answer is no longer recorded",
			target.Endpoint)
		return
	}
	if n.inFlight {
		s.counters.Report(SentWhileInFlight, id, "sent to %s while another push of it is in flight", target.Endpoint)
	}
	if now > n.Deadline {
		s.counters.Report(SentOutsideWindow, id, "sent to %s at %.3f; its TTL ended at %.3f", target.Endpoint, now, n.Deadline)
	}
	if n.MayHaveRunSince > 0 && (n.OnceOnly || n.Window > 0 && now > n.MayHaveRunSince+n.Window) {
		s.counters.Report(SentOutsideWindow, id, "sent to %s at %.3f; the push sent at %.3f may have run", target.Endpoint, now,
			n.MayHaveRunSince)
	}
	if until := s.toldWaits[target.Throttle]; now < until {
		s.counters.Report(SentDuringWait, id, "sent to %s at %.3f; told to wait until %.3f", target.Endpoint, now, until)
	}
	if since, leaving := s.leavingSince[target.Endpoint]; leaving && now > since+s.margins.DrainGrace {
		s.counters.Report(SentToLeaving, id, "sent to %s at %.3f; endpoint leaving since %.3f", target.Endpoint, now, since)
	}
	if !s.listWaitOver && now < s.listWaitUntil {
		s.counters.Report(SentBeforeList, id, "sent to %s at %.3f before the first list; waiting for it until %.3f",
			target.Endpoint, now, s.listWaitUntil)
	}
	if n.Key != "" {
		s.checkKeyOrder(now, id, n.Key, target)
	}
	n.inFlight = true
}

// checkKeyOrder checks that a notification is the first of its key, and that the key is not held for another one.
func (s *SendChecker) checkKeyOrder(now float64, id, key string, target Target) {
	first, hold := s.keyQueues[key][0], s.keyHolds[key]
	if first != id || hold.id != id && now < hold.until {
		s.counters.Report(SentOutOfOrder, id, "key %q: sent to %s at %.3f; first of the key is %q, key held until %.3f for %q",
			key, target.Endpoint, now, first, hold.until, hold.id)
	}
}

// PushEnded records the end of a push, whether it may have run, and whether it may still run.
func (s *SendChecker) PushEnded(now, sentAt float64, id string, mayHaveRun, mayStillRun bool) {
	if s == nil || s.open[id] == nil {
		return
	}
	n := s.open[id]
	n.inFlight = false
	if mayHaveRun && n.MayHaveRunSince == 0 {
		n.MayHaveRunSince = sentAt
	}
	if mayStillRun && n.Key != "" {
		s.keyHolds[n.Key] = keyHold{id, now + s.margins.KeyHold}
	}
}

// CheckRecovery checks a call to a destination or route that recovers from an outage. Within span seconds, a single
// dispatcher must not send more calls than the settings allow for all dispatchers, plus a tolerance for random variation.
func (s *SendChecker) CheckRecovery(now float64, id, throttle string, allowed, span float64) {
	if s == nil {
		return
	}
	sent := s.recoveryCalls[throttle]
	for len(sent) > 0 && sent[0] <= now-span {
		sent = sent[1:]
	}
	sent = append(sent, now)
	s.recoveryCalls[throttle] = sent
	if budget := RecoveryBudget(allowed); float64(len(sent)) > budget {
		s.counters.Report(SentOverRecovery, id, "call %d within %.1f s to %s; at most %.1f allowed", len(sent), span, throttle, budget)
	}
}

// fewCalls is the number of calls below which RecoveryBudget has a wider tolerance for random variation.
const fewCalls = 30

// RecoveryBudget returns the maximum number of calls that may be sent to a destination or route in slow start where the
// settings allow the given number: it adds a tolerance for random variation.
func RecoveryBudget(calls float64) float64 {
	if calls < fewCalls {
		return calls + 3*math.Sqrt(calls) + 3
	}
	return calls + 2*math.Sqrt(calls) + 2
}

// Prune removes final answers whose TTL has ended, waits and key holds that have ended, and endpoints that are no longer
// known.
func (s *SendChecker) Prune(now float64, known func(endpoint string) bool) {
	if s == nil {
		return
	}
	maps.DeleteFunc(s.finished, func(_ message.IDHash, until float64) bool { return until < now })
	maps.DeleteFunc(s.toldWaits, func(_ string, until float64) bool { return until < now })
	for key, hold := range s.keyHolds {
		if hold.until < now {
			delete(s.keyHolds, key)
		}
	}
	for endpoint := range s.leavingSince {
		if !known(endpoint) {
			delete(s.leavingSince, endpoint)
		}
	}
}
