package modelcheck

import (
	"fmt"
	"slices"
	"sync"

	"orchiddrift/gateway"
)

// checker records what happens outside the processes of a run and checks it against the delivery rules. Times are in seconds of
// the world's clock. mu guards all fields but topic.
type checker struct {
	mu          sync.Mutex
	topic       topicRules
	messages    []*messageRecord // in the order of their hand-in
	violations  []string
	lastReadyAt float64 // when the latest process became ready
}

// topicRules holds the rules of the topic of a run's messages.
type topicRules struct {
	onceOnly   bool
	window     float64 // seconds in which endpoints recognize a repeat; 0: no limit
	zoneScoped bool    // endpoints recognize a repeat only in the zone of the first call
	ordered    bool
}

// messageRecord holds what the checker observed of one message.
type messageRecord struct {
	id            string
	expiresAt     float64
	accepted      bool
	refused       bool // its client got a refusal
	calls         []*call
	finalAt       float64  // when it was delivered, or its notice acknowledged; 0: neither
	finalBy       *process // the process that delivered it; nil if none did
	firstNoticeAt float64  // when its first notice arrived; 0: none
	attempts      int      // connection attempts since its hand-in, including failed ones, and calls at whose first byte the process was killed
}

// call is the part of a call that carries one message, as its endpoint saw it.
type call struct {
	endpoint, zone string
	process        *process
	firstByteAt    float64
	complete       bool // its last byte arrived
	rejected       bool // the endpoint answered that it never ran
	inFlight       bool
}

// mayHaveRun reports whether the sender cannot exclude that the call took effect.
func (c *call) mayHaveRun() bool { return c.complete && !c.rejected }

// report records a violation for a message. mu must be held.
func (chk *checker) report(id, format string, args ...any) {
	chk.violations = append(chk.violations, id+": "+fmt.Sprintf(format, args...))
}

// message returns the record of a message, or a new one outside of messages if no client handed it in. mu must be held.
func (chk *checker) message(id string) *messageRecord {
	for _, m := range chk.messages {
		if m.id == id {
			return m
		}
	}
	return &messageRecord{id: id}
}

// handedIn records the hand-in of a message.
func (chk *checker) handedIn(id string, expiresAt float64) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	chk.messages = append(chk.messages, &messageRecord{id: id, expiresAt: expiresAt})
}

// handInAnswered records the answer that the client of a message got.
func (chk *checker) handInAnswered(id string, accepted bool) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	m := chk.message(id)
	m.accepted, m.refused = accepted, !accepted
}

// connectionAttempted records an attempt to connect to an endpoint. It counts for all messages, since a connection is not
// bound to one of them.
func (chk *checker) connectionAttempted() {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	for _, m := range chk.messages {
		m.attempts++
	}
}

// callAttempted records a call at whose first byte its process was killed.
func (chk *checker) callAttempted(ids []string) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	for _, id := range ids {
		chk.message(id).attempts++
	}
}

// callStarted checks the start of a call, at its first byte, and records it.
func (chk *checker) callStarted(now float64, id, endpoint, zone string, process *process) *call {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	started := &call{endpoint: endpoint, zone: zone, process: process, firstByteAt: now, inFlight: true}
	i := slices.IndexFunc(chk.messages, func(m *messageRecord) bool { return m.id == id })
	if i < 0 {
		chk.report(id, "called, but no client handed it in")
		return started
	}
	m := chk.messages[i]
	if m.refused {
		chk.report(id, "called at %.3f, but its client got a refusal", now)
	}
	// A process that is killed while it gets an answer leaves a call that may have run, and the next process may repeat it as
	// far as the topic allows. So a call after a delivery is a violation only in the process that delivered.
	if m.finalAt > 0 && now > m.finalAt+timingSlack && (m.finalBy == nil || m.finalBy == process) {
		chk.report(id, "called at %.3f, after its final answer at %.3f", now, m.finalAt)
	}
	var first *call
	for _, earlier := range m.calls {
		if earlier.inFlight {
			chk.report(id, "called at %.3f to %s while its call of %.3f to %s was in flight", now, endpoint, earlier.firstByteAt, earlier.endpoint)
		}
		if first == nil && earlier.mayHaveRun() {
			first = earlier
		}
	}
	switch {
	case first == nil:
	case chk.topic.onceOnly:
		chk.report(id, "once-only, called again at %.3f, but its call of %.3f may have run", now, first.firstByteAt)
	case chk.topic.window > 0 && now > first.firstByteAt+chk.topic.window+timingSlack:
		chk.report(id, "called again at %.3f, %.3f s after its first call, outside the deduplication window", now, now-first.firstByteAt)
	case chk.topic.zoneScoped && zone != first.zone:
		chk.report(id, "called again at %.3f in zone %s, but its first call was in zone %s", now, zone, first.zone)
	}
	if chk.topic.ordered {
		for _, earlier := range chk.messages[:i] {
			if earlier.accepted && earlier.finalAt == 0 {
				chk.report(id, "called at %.3f before the final answer of %s, which has the same key", now, earlier.id)
			}
		}
	}
	m.calls = append(m.calls, started)
	return started
}

// requestComplete records that the last byte of a call arrived, so that it may have run.
func (chk *checker) requestComplete(c *call) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	c.complete = true
}

// callsAbandoned records that calls are no longer in flight because their process closed the connection.
func (chk *checker) callsAbandoned(calls []*call) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	for _, c := range calls {
		c.inFlight = false
	}
}

// callEnded records that a call is no longer in flight, and the status of its endpoint's answer; 0: no answer.
func (chk *checker) callEnded(now float64, id string, c *call, status int) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	c.inFlight = false
	switch status {
	case 200:
		if m := chk.message(id); m.finalAt == 0 {
			m.finalAt, m.finalBy = now, c.process
		}
	case 503, 429:
		c.rejected = true
	}
}

// noticeReceived checks a notice. It records it as the final answer if the platform acknowledges it.
func (chk *checker) noticeReceived(now float64, id, outcome string, acknowledged bool) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	const earlyShare = 0.7 // share of the TTL during which an untried message must get no notice
	m := chk.message(id)
	if m.firstNoticeAt == 0 {
		m.firstNoticeAt = now
		if len(m.calls) == 0 && m.attempts == 0 && now < m.expiresAt-(1-earlyShare)*TTL {
			chk.report(id, "%s at %.3f without an attempt, with %.3f s of its TTL left", outcome, now, m.expiresAt-now)
		}
	}
	// A message that is handed back may be handed in again elsewhere. That is safe only if it never ran, or if a repeat is
	// harmless or recognized by all endpoints.
	if outcome == gateway.HandedBack && (chk.topic.onceOnly || chk.topic.zoneScoped) && slices.ContainsFunc(m.calls, (*call).mayHaveRun) {
		chk.report(id, "handed back at %.3f, but it may have run", now)
	}
	if acknowledged && m.finalAt == 0 {
		m.finalAt = now
	}
}

// processReady records that a process is ready to push and to send notices.
func (chk *checker) processReady(now float64) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	chk.lastReadyAt = now
}

// finish checks that each accepted message got its final answer in time, and returns all violations of the run.
func (chk *checker) finish() []string {
	const answerGrace, restartGrace = 0.3, 1.5 // seconds after the TTL and after a restart, as the protocol specifies
	chk.mu.Lock()
	defer chk.mu.Unlock()
	for _, m := range chk.messages {
		deadline := max(m.expiresAt+answerGrace, chk.lastReadyAt+restartGrace) + timingSlack
		switch {
		case !m.accepted:
		case m.finalAt == 0:
			chk.report(m.id, "accepted, but got no final answer")
		case m.finalAt > deadline:
			chk.report(m.id, "final answer at %.3f, due by %.3f", m.finalAt, deadline)
		}
	}
	return chk.violations
}
