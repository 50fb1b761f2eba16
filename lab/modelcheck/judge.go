package modelcheck

import (
	"fmt"
	"slices"
	"sync"

	"orchiddrift/gateway"
)

// judge is the account of what the world saw, and the rules.
type judge struct {
	lock     sync.Mutex
	topic    topicRules
	messages []*account // in the order handed in
	found    []string
	lastUp   float64 // when the process that lives last could first answer
}

// topicRules are what the messages of a run allow.
type topicRules struct {
	once    bool
	window  float64 // 0 for none
	zone    bool    // a repeat is known in one zone only
	ordered bool
}

// account is what was seen of one message.
type account struct {
	id       string
	until    float64
	taken    bool
	refused  bool // its client was told that it has no effect
	calls    []*call
	finalAt  float64  // delivered, or its notice was heard
	by       *process // that had it delivered; nil for none
	noticed  float64  // its notice was first told
	attempts int      // begun for it, also such as did not connect
}

// call is a call as its endpoint saw it.
type call struct {
	endpoint, zone string
	by             *process
	first          float64
	whole          bool // its last byte came
	busy           bool // it was told that it never ran
	open           bool
}

// mayHaveRun tells that whoever sent the call cannot know that it never ran.
func (c *call) mayHaveRun() bool { return c.whole && !c.busy }

func (j *judge) broken(id, format string, args ...any) {
	j.found = append(j.found, id+": "+fmt.Sprintf(format, args...))
}

func (j *judge) of(id string) *account {
	for _, m := range j.messages {
		if m.id == id {
			return m
		}
	}
	return &account{id: id}
}

// handed notes that a message is handed in.
func (j *judge) handed(id string, until float64) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.messages = append(j.messages, &account{id: id, until: until})
}

// answered notes that a message was taken on, as its client heard it.
func (j *judge) answered(id string, taken bool) {
	j.lock.Lock()
	defer j.lock.Unlock()
	m := j.of(id)
	m.taken, m.refused = taken, !taken
}

// attempted notes that a connection for a message is asked for.
func (j *judge) attempted() {
	j.lock.Lock()
	defer j.lock.Unlock()
	for _, m := range j.messages {
		m.attempts++
	}
}

// called judges the first byte of a call.
func (j *judge) called(now float64, id, endpoint, zone string, by *process) *call {
	j.lock.Lock()
	defer j.lock.Unlock()
	c := &call{endpoint: endpoint, zone: zone, by: by, first: now, open: true}
	i := slices.IndexFunc(j.messages, func(m *account) bool { return m.id == id })
	if i < 0 {
		j.broken(id, "called, and nobody handed it in")
		return c
	}
	m := j.messages[i]
	// A process that was killed at the answer leaves a call that may have run: the next may repeat it, as the topic allows.
	if m.refused {
		j.broken(id, "called at %.3f, and its client was told that it was refused", now)
	}
	if m.finalAt > 0 && now > m.finalAt+slack && (m.by == nil || m.by == by) {
		j.broken(id, "called at %.3f, it was over at %.3f", now, m.finalAt)
	}
	var first *call
	for _, before := range m.calls {
		if before.open {
			j.broken(id, "called at %.3f at %s while its call of %.3f at %s is out", now, endpoint, before.first, before.endpoint)
		}
		if first == nil && before.mayHaveRun() {
			first = before
		}
	}
	switch {
	case first == nil:
	case j.topic.once:
		j.broken(id, "once-only, called again at %.3f, its call of %.3f may have run", now, first.first)
	case j.topic.window > 0 && now > first.first+j.topic.window+slack:
		j.broken(id, "called again at %.3f, %.3f after its first call, outside the window", now, now-first.first)
	case j.topic.zone && zone != first.zone:
		j.broken(id, "called again at %.3f in zone %s, its first call was in zone %s", now, zone, first.zone)
	}
	if j.topic.ordered {
		for _, before := range j.messages[:i] {
			if before.taken && before.finalAt == 0 {
				j.broken(id, "called at %.3f before %s of its key was over", now, before.id)
			}
		}
	}
	m.calls = append(m.calls, c)
	return c
}

// ran notes that a call's last byte came.
func (j *judge) ran(c *call) {
	j.lock.Lock()
	defer j.lock.Unlock()
	c.whole = true
}

// left notes that calls are out no more, as their process closed the connection.
func (j *judge) left(calls []*call) {
	j.lock.Lock()
	defer j.lock.Unlock()
	for _, c := range calls {
		c.open = false
	}
}

// ended notes that a call is out no more, and how its endpoint answered: with no status where it did not.
func (j *judge) ended(now float64, id string, c *call, status int) {
	j.lock.Lock()
	defer j.lock.Unlock()
	c.open = false
	switch status {
	case 200:
		if m := j.of(id); m.finalAt == 0 {
			m.finalAt, m.by = now, c.by
		}
	case 503, 429:
		c.busy = true
	}
}

// noticed judges a notice, and notes whether the platform's answer was heard.
func (j *judge) noticed(now float64, id, outcome string, heard bool) {
	j.lock.Lock()
	defer j.lock.Unlock()
	const early = 0.7 // of its time, before which one that was never tried may not be given up
	m := j.of(id)
	if m.noticed == 0 {
		m.noticed = now
		if len(m.calls) == 0 && m.attempts == 0 && now < m.until-(1-early)*TTL {
			j.broken(id, "%s at %.3f, untried, with %.3f left", outcome, now, m.until-now)
		}
	}
	// Handing back tells the client that it may come again, which holds for what is known to all endpoints, or never ran.
	if outcome == gateway.HandedBack && (j.topic.once || j.topic.zone) && slices.ContainsFunc(m.calls, (*call).mayHaveRun) {
		j.broken(id, "handed back at %.3f though it may have run", now)
	}
	if heard && m.finalAt == 0 {
		m.finalAt = now
	}
}

// up notes that a process serves.
func (j *judge) up(now float64) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.lastUp = now
}

// close judges that each message has its final answer in time, and gives all that was found.
func (j *judge) close() []string {
	const late, backIn = 0.3, 1.5 // as the protocol has it
	j.lock.Lock()
	defer j.lock.Unlock()
	for _, m := range j.messages {
		due := max(m.until+late, j.lastUp+backIn) + slack
		switch {
		case !m.taken:
		case m.finalAt == 0:
			j.broken(m.id, "taken on and never answered")
		case m.finalAt > due:
			j.broken(m.id, "answered at %.3f, due at %.3f", m.finalAt, due)
		}
	}
	return j.found
}
