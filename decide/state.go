package decide

import (
	"math"
	"slices"

	"orchiddrift/directory"
)

var never = math.Inf(1)

// Scheduler decides for one dispatcher.
type Scheduler struct {
	rng      pcg
	dir      *directory.Directory
	topics   map[string]Topic
	top      float64 // highest benefit of a topic type
	slots    Capacity
	routes   Routes
	returns  Recovery
	pushes   PushPolicy
	shares   TenantQuotas
	asked    map[string][]float64 // when each tenant's last notifications came
	ask      bool                 // the list answers only when asked
	heard    int                  // updates heard when it was last asked
	swept    int                  // and when state was last swept
	nextAsk  float64              // when it is to be asked; never for not
	held     map[string]*held
	keys     map[string][]*held
	keysFrom float64 // no ordered key moves before
	dests    map[string]*dest
	gates    map[gateID]*gate
	ends     map[string]*endpoint
	round    []*dest
	pointer  int
	granted  bool
	out      int
	down     []*gate                        // those of destinations that do not answer
	lasted   []float64                      // the last answer times of all
	allUsage []float64                      // the parts of limits that answers of all told as used
	firsts   [PeerMessage + 1]firstFailures // by how they ended
	worths   float64                        // the benefits of all taken
	taken    int                            // notifications taken so far
	idle     []idle                         // connections left open, oldest first
	scarce   map[string]float64             // by kind: until when idle connections are closed early
}

// held is a notification taken and not yet done with.
type held struct {
	Notification
	topic      Topic
	until      float64 // its TTL ends
	order      int     // in which all were taken
	pushes     int
	call       *call   // the push out, nil for none
	mayRun     float64 // when the first push that may have run was sent; never for none
	zone       string  // where that push went
	rest       float64 // its key rests until then once it is over
	over       bool
	ending     bool // over, but its final answer was not heard yet
	beyond     bool // it came beyond its tenant's share
	shed       bool // its place was taken by one worth more
	lastSent   float64
	lastZone   string  // where its last push went, as listed then: by its end the endpoint may be listed otherwise, or not at all
	hurried    bool    // its push's time-out was cut to the time left
	trialAfter float64 // the trial after which its wait for one of its own was drawn
	trialWait  float64 // and that wait, in mean waits
}

// due is when the objective ends.
func (h *held) due() float64 { return h.until - h.topic.TTL + h.topic.Objective }

// came is when it came, if with all its time.
func (h *held) came() float64 { return h.until - h.topic.TTL }

// likeness is what admission depends on beside the destination: notifications that share it are admitted alike.
type likeness struct{ topic, zone string }

// zoned tells that a push of it may have run, and is known in one zone alone.
func (h *held) zoned() bool { return h.mayRun != never && h.topic.DedupScope == "zone" }

// heldTo is the zone that it may be sent to, "" for any.
func (h *held) heldTo() string {
	if h.zoned() {
		return "only " + h.zone
	}
	return ""
}

// first is the first push that may have run.
func (h *held) first() FirstRun {
	if h.mayRun == never {
		return FirstRun{}
	}
	return FirstRun{SentAt: h.mayRun, Zone: h.zone}
}

// done tells that nothing more can come of it.
func (h *held) done() bool { return h.over && !h.ending && h.call == nil }

// rested tells that its key is free of it.
func (h *held) rested(now float64) bool { return h.done() && h.rest <= now }

func (h *held) ordered() bool { return h.topic.Ordered && h.Key != "" }

// call is a call out, shared by the notifications of one turn.
type call struct {
	end    *endpoint
	gate   *gate
	at     float64
	size   int  // notifications sent in it
	riders int  // of them without outcome
	judged bool // its failure was counted
}

// dest is a destination's queue.
type dest struct {
	id      string
	queue   []*held
	came    []float64 // when notifications came
	deficit float64
	inRound bool
}

// gate is a throttle with the measurements of its destination, or of one route apart.
type gate struct {
	out        int
	stop       float64 // nothing starts before
	allowance  float64
	limit      float64   // last told; 0 for none
	idle       float64   // since when no call is out
	sent       []mark    // pushes of the last span that budgets look at
	ended      []mark    // last outcomes: 0 for a delivery, else how it broke
	refused    float64   // since when all is refused; never for not
	inRow      int       // refusals since the last delivery
	usage      []float64 // the parts of its limit that its last answers told as used
	turned     []float64 // of the last pushes that it took or refused: 1 for a refusal
	full       float64   // when it last refused; -never for not yet
	recovering bool      // an outage was seen and the destination may still be cold
	downSince  float64   // when the outage was seen
	upSince    float64   // since when it answers again; never for not yet
	answered   float64   // when it answered first after the outage
	proof      float64   // when the latest push that was delivered was sent
	fates      []mark    // the last pushes by when they were sent: 0 for a delivery, 1 for one that broke
	first      Result    // how its first failure since a delivery ended, while it is not known what it was; Delivered for none
	heard      float64   // last delivery
	lostAt     float64   // last broken push
	took       float64   // and how long that was out
	lastTrial  float64   // when it was ejected, or sent its last push
	jitter     float64   // the random part of the time between trials
}

// down tells that an outage was seen and nothing was delivered since.
func (g *gate) down() bool { return g.recovering && g.upSince == never }

// firstFailures counts what first failures turned out to be.
type firstFailures struct{ outages, alone float64 }

type mark struct{ at, weight float64 }

// idle is an endpoint that had no call out since then, with the connections left open to it.
type idle struct {
	end   *endpoint
	since float64
}

// endpoint is what is measured of one endpoint.
type endpoint struct {
	id     string
	kind   string
	calls  []*call
	idle   float64 // when its last call ended
	rank   float64 // when it last delivered, or at random
	aside  float64 // set aside until then
	most   float64 // calls out that it takes at once, learned from refusals; never for not yet
	heard  float64 // last answer
	broke  float64 // first push that broke since then
	gaps   []float64
	lasted []float64
	topics map[string]passing // by topic type
	called float64            // start of the last call
	apart  []float64          // and how far apart the last ones were
}

// passing is how an endpoint takes one topic type.
type passing struct {
	served  float64 // last delivery
	failed  int     // failures since
	shunned float64 // it gets none of the type until then, while others can take it
}

// sweep lets go, after each news of the list, of what no decision can need any more: endpoints and destinations no
// longer listed, with nothing out or held; their throttles, once no wait runs and no return may still be budgeted;
// keys at rest; tenants that asked nothing for the span in which their share is read.
func (m *Scheduler) sweep(now float64) {
	if m.swept == m.dir.Revision {
		return
	}
	m.swept = m.dir.Revision
	named := map[string]bool{}
	for id, d := range m.dests {
		if !m.dir.KnownDest(id) && len(d.queue) == 0 {
			delete(m.dests, id)
		}
	}
	for _, i := range m.idle {
		named[i.end.id] = true
	}
	for id, e := range m.ends {
		if !m.dir.Contains(id) && !named[id] && len(e.calls) == 0 {
			delete(m.ends, id)
		}
	}
	for id, g := range m.gates {
		listed := id.shared && m.dir.KnownDest(id.of) || !id.shared && m.dir.Contains(id.of)
		if !listed && g.out == 0 && g.stop <= now && !m.slowStart(now, g) {
			delete(m.gates, id)
		}
	}
	for key, list := range m.keys {
		if !slices.ContainsFunc(list, func(h *held) bool { return !h.rested(now) }) {
			delete(m.keys, key)
		}
	}
	for tenant, asked := range m.asked {
		if asked[len(asked)-1] <= now-shareSpan {
			delete(m.asked, tenant)
		}
	}
}

// settle forgets a notification that is over, once its push has an outcome and its key has rested.
func (m *Scheduler) settle(now float64, h *held) {
	if !h.done() {
		return
	}
	delete(m.held, h.ID)
	if !h.ordered() {
		return
	}
	rested := func(x *held) bool { return x.rested(now) }
	m.keys[h.Key] = slices.DeleteFunc(m.keys[h.Key], rested)
}

// gateID names a throttle: of a destination, whose endpoints share it, or of an endpoint that is a route apart.
type gateID struct {
	of     string
	shared bool
}

func (m *Scheduler) dest(id string) *dest {
	if m.dests[id] == nil {
		m.dests[id] = &dest{id: id}
	}
	return m.dests[id]
}

func (m *Scheduler) gate(e directory.Endpoint) *gate {
	id := gateID{of: e.Dest, shared: true}
	if m.routes.SeparateByKind[e.Kind] {
		id = gateID{of: e.ID}
	}
	g := m.gates[id]
	if g == nil {
		g = &gate{allowance: never, refused: never, full: -never, upSince: never}
		m.gates[id] = g
	}
	return g
}

func (m *Scheduler) end(id string) *endpoint {
	e := m.ends[id]
	if e == nil {
		e = &endpoint{id: id, rank: -m.rng.float(), most: never, topics: map[string]passing{}}
		m.ends[id] = e
	}
	return e
}

// zone is that of an endpoint as listed now, for pushes of which nobody kept it.
func (m *Scheduler) zone(dest, id string) string {
	for _, e := range m.dir.Endpoints(dest) {
		if e.ID == id {
			return e.Zone
		}
	}
	return ""
}

// TTL gives a topic type's, and tells whether it is among the settings.
func (m *Scheduler) TTL(topic string) (float64, bool) { t, ok := m.topics[topic]; return t.TTL, ok }

// last appends a sample and keeps the newest n.
func last[T any](s []T, v T, n int) []T {
	s = append(s, v)
	return s[max(0, len(s)-n):]
}

// mean of the samples, with other standing in for two more.
func mean(s []float64, other float64) float64 {
	sum := 2 * other
	for _, v := range s {
		sum += v
	}
	return sum / float64(len(s)+2)
}

// broken counts the outcomes that broke.
func broken(ended []mark) int {
	n := 0
	for _, s := range ended {
		n += int(s.weight)
	}
	return n
}

// pcg is the permuted congruential generator PCG-XSH-RR 64/32.
type pcg struct{ state uint64 }

func (p *pcg) float() float64 {
	old := p.state
	p.state = old*6364136223846793005 + 1442695040888963407
	word := uint32(((old >> 18) ^ old) >> 27)
	rot := uint32(old >> 59)
	return float64(word>>rot|word<<(-rot&31)) / (1 << 32)
}
