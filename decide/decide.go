// Package decide holds all decisions of a dispatcher; types.go holds the plain values it takes and gives.
//
// It is asked through three calls. Place(now, ntf) takes a new notification, or places the one whose turn has
// come: push it, not yet, or never. After(now, outcome) tells what a push's end asks for. Wait(now) gives the
// seconds until Place is to be asked next, and for whom: 0 means now; no id means the module's own errands.
// The ordinary path of a notification is Place, top to bottom; turns and allowances are DESIGN's.
//
// Beside the design stand seven mechanisms:
//  1. silence: an endpoint unusually silent, or that breaks pushes, is set aside: a fixed time, a random part
//  2. return budget: a destination that failed gets this dispatcher's part of what a cold one can take
//  3. idle connections: many keep theirs open for less long; after a break once-only goes on new ones
//  4. patience: time-outs follow the answer times last seen
//  5. winnable: what cannot be delivered any more is answered at once; a full queue keeps what is worth most
//  6. pace: after refusals a destination is sent what it lately took, in time and at once, then slowly more
//  7. topic types: an endpoint that failed one is shunned for it alone
package decide

import (
	"cmp"
	"math"
	"slices"

	"orchiddrift/directory"
)

const (
	quantum    = 1.0  // deficit earned on a visit, times the destination's weight
	reserve    = 0.1  // share of a limit that low-benefit topic types leave alone, and of the room lines of keys
	fullStop   = 0.5  // stop after a refusal that tells no wait
	forget     = 1.0  // the allowance is forgotten after so long with no call out
	asideFixed = 1.0  // an endpoint set aside returns after this
	asideRand  = 0.5  // and a random part of this
	firstGap   = 0.5  // the gap taken as seen before there are any
	kept       = 16   // samples kept of each kind
	many       = 256  // pushes kept
	recent     = 8    // outcomes that health is read from
	rider      = 0.25 // of a push: what each further notification in a call weighs
	patience   = 8.0  // times the mean answer time a push is waited for
	mostWait   = 2.0  // one objective at least, and so many at most
	handIn     = 0.1  // a first try has all its TTL left but this
	shareSpan  = 5.0  // what a tenant asks is read over this
	idleKept   = 5.0  // idle connections are kept so long at most where they are not scarce
	paceSpan   = 0.5  // a pace is kept over each such span
	scatter    = 1.2  // times the span of a fall: over so much refused pushes of many dispatchers come back
	wider      = 4.0  // and over so many times that where much of the limit was left
	takenSpan  = 2.0  // what a destination takes is read over this span before a refusal
	climb      = 0.03 // the pace grows by this part a second
	easing     = 0.9  // and starts at this part of what was taken
	collapsing = 0.5  // where refusals are free it is kept only once so many of the last pushes were refused
)

// New returns a module with no notifications, started from the wire's seed.
func New(seed uint64, dir *directory.Directory, topics []Topic, slots Capacity, routes Routes, returns Recovery,
	pushes PushPolicy, shares TenantQuotas, ask bool) *Scheduler {
	m := &Scheduler{rng: pcg{state: seed}, dir: dir, topics: map[string]Topic{}, slots: slots, routes: routes,
		returns: returns, pushes: pushes, shares: shares, ask: ask, held: map[string]*held{},
		keys: map[string][]*held{}, dests: map[string]*dest{}, gates: map[gateID]*gate{},
		ends: map[string]*endpoint{}, asked: map[string][]float64{}, scarce: map[string]float64{}}
	if !ask {
		m.nextAsk = never
	}
	for _, t := range topics {
		m.topics[t.Name] = t
		m.top = max(m.top, t.Benefit)
	}
	return m
}

// Place takes a new notification into its destination's queue, or places the one whose turn Wait named.
func (m *Scheduler) Place(now float64, ntf Notification) Decision {
	if ntf.ID == "" {
		if m.nextAsk <= now {
			m.heard, m.nextAsk = m.dir.Revision, never
			return Decision{Action: WatchList}
		}
		i := slices.IndexFunc(m.idle, func(i idle) bool { return m.closes(now, i) <= now })
		end := m.idle[i].end
		m.idle = slices.Delete(m.idle, i, i+1)
		return Decision{Action: CloseIdle, Endpoint: end.id}
	}
	h, known := m.held[ntf.ID]
	d := m.dest(ntf.Dest)
	if !known {
		h = &held{Notification: ntf, topic: m.topics[ntf.Topic], until: now + ntf.TimeLeft, mayRun: never}
		first := ntf.TimeLeft > h.topic.TTL-handIn && !ntf.Restored
		h.pushes, h.beyond = ntf.Pushes, first && m.beyond(now, ntf.Tenant)
		room := (1-reserve)*float64(m.slots.MaxHeld) - float64(len(m.held))
		waits := room > 0 && h.ordered() && len(m.keys[h.Key]) > 0 // its turn: it needs no more than room
		if !ntf.Restored && (!m.dir.KnownDest(d.id) || !waits && len(d.queue) >= m.bound(h) && !m.displace(now, d, h)) {
			return Decision{Action: Throttle, NotificationID: h.ID, RetryIn: m.retryIn(now, d)}
		}
		if ntf.Restored {
			m.spread(now, d, h)
		}
		if ntf.LastPushFailed {
			m.slowRestart(now, ntf)
		}
		if ntf.RanAt > 0 { // before a restart: it may still run
			h.mayRun, h.zone, h.rest = ntf.RanAt, cmp.Or(ntf.RanZone, m.zone(ntf.Dest, ntf.RanTo)), now+m.pushes.KeyCooldown
		}
		m.held[h.ID] = h
		if first {
			d.came = last(d.came, now, many)
		}
		if h.ordered() {
			m.keys[h.Key] = append(m.keys[h.Key], h)
		}
		m.taken, m.worths = m.taken+1, m.worths+h.topic.Benefit
		h.order = m.taken
		if h.over, h.ending = ntf.NoticePending, ntf.NoticePending; !h.over {
			m.enqueue(d, h)
		}
		return Decision{}
	}
	if h.over || h.call != nil {
		return Decision{}
	}
	if m.hopeless(now, d, h) {
		return m.giveUp(now, d, h)
	}
	e, _ := m.admit(now, d, h)
	if e == nil || m.keyFree(now, h) > now {
		return Decision{}
	}
	g, end := m.gate(*e), m.end(e.ID)
	end.kind, d.deficit = e.Kind, d.deficit-1
	m.leave(d, h)
	weight := rider
	if c := m.joinable(now, *e); c != nil {
		c.size++
		c.riders++
		h.call = c
	} else {
		h.call = &call{end: end, gate: g, at: now, size: 1, riders: 1}
		end.calls = append(end.calls, h.call)
		if end.called > 0 {
			end.apart = last(end.apart, now-end.called, kept)
		}
		end.called = now
		g.out++
		m.out++
		g.allowance--
		weight = 1
	}
	g.sent = last(g.sent, mark{now, weight}, many)
	g.lastTrial, g.jitter = now, 0.5+m.rng.float()
	h.pushes, h.lastSent, h.lastZone = h.pushes+1, now, e.Zone
	// A TTL counts from when its client sent it, known here later: an answer in its last tick may be late.
	wait, counts := m.patience(g, end, h), max(0, h.until-m.pushes.Tick-now)
	h.hurried = counts < wait
	return Decision{Action: Push, NotificationID: h.ID, Endpoint: e.ID, Timeout: min(wait, counts), AnswerValidFor: counts,
		StartWithin: m.knownUntil(h) - now, FirstRun: h.first(),
		NewConnection: h.topic.Repeat == OnceOnly && m.scarce[e.Kind] > now} // a kept connection may break under it
}

// HandleOutcome takes in how a push ended and tells what becomes of its notification.
func (m *Scheduler) HandleOutcome(now float64, o Outcome) Decision {
	h := m.held[o.NotificationID]
	if e, ok := m.dir.Find(o.Dest, o.Endpoint); ok { // a wait that was told after its push had ended
		g := m.gate(e)
		g.stop = max(g.stop, now+o.Wait)
	}
	if h == nil {
		return Decision{}
	}
	d := m.dest(h.Dest)
	if o.Result == Withdrawn {
		h.over, h.ending = true, false
		m.leave(d, h)
		m.settle(now, h)
		return Decision{}
	}
	c := h.call
	h.call = nil
	if c != nil {
		if o.Wait > 0 { // it binds with whatever answer it stands
			c.gate.stop = max(c.gate.stop, now+o.Wait)
		}
		if c.riders--; c.riders == 0 {
			c.end.calls = slices.DeleteFunc(c.end.calls, func(x *call) bool { return x == c })
			m.out--
			c.end.idle = now
			m.idle = append(m.idle, idle{c.end, now})
			if c.gate.out--; c.gate.out == 0 {
				c.gate.idle = now
			}
		}
		if o.Result != NotAttempted {
			m.learn(now, c, h, o)
		} else if o.Unsent {
			h.pushes--
		} else if o.NoMorePushes {
			h.pushes = m.pushes.MaxPushes
		}
	}
	switch o.Result {
	case Failed, TimedOut, Reset, Cancelled:
		if h.mayRun == never {
			h.mayRun, h.zone = h.lastSent, h.lastZone
		}
		if o.Result != Failed {
			h.rest = now + m.pushes.KeyCooldown
		}
	}
	if h.over = h.over || o.Final; h.over {
		m.settle(now, h)
		return Decision{}
	}
	if m.hopeless(now, d, h) {
		return m.giveUp(now, d, h)
	}
	m.enqueue(d, h)
	return Decision{}
}

// NextTurn gives the seconds until Place is to be asked, and for whom; 0 asks for it now.
func (m *Scheduler) NextTurn(now float64) (float64, string) {
	m.sweep(now)
	next := m.errandAt(now)
	if next <= now {
		return 0, ""
	}
	if id := m.Undeliverable(now); id != "" {
		return 0, id
	}
	for _, d := range m.round {
		for _, h := range d.queue {
			next = min(next, m.lastStart(h))
		}
	}
	h, when := m.turn(now)
	if h != nil {
		return 0, h.ID
	}
	return min(next, when) - now, ""
}

// Undeliverable names a notification in a queue that cannot be delivered any more, "" for none: Place gives its final answer.
func (m *Scheduler) Undeliverable(now float64) string {
	for _, d := range m.round {
		for _, h := range d.queue {
			if m.hopeless(now, d, h) {
				return h.ID
			}
		}
	}
	return ""
}

// turn moves the pointer to the destination whose head may leave; where none may, it tells when one could.
// With no slot free nobody loses a turn, and only a shared call can still be filled.
func (m *Scheduler) turn(now float64) (*held, float64) {
	next := never
	if m.out >= m.slots.MaxCalls {
		if m.pointer < len(m.round) && m.granted && m.round[m.pointer].deficit >= 1 {
			return m.head(now, m.round[m.pointer])
		}
		return nil, never
	}
	for blocked := 0; blocked < len(m.round); {
		if m.pointer >= len(m.round) {
			m.pointer = 0
		}
		d := m.round[m.pointer]
		h, when := m.head(now, d)
		if h != nil {
			if !m.granted {
				d.deficit += quantum * m.weight(d, h)
				m.granted = true
			}
			if d.deficit >= 1 {
				return h, now
			}
		} else {
			next = min(next, when)
			blocked++
		}
		m.pointer++
		m.granted = false
	}
	return nil, next
}

// weight scales a destination's quantum: the head's benefit, and a shared call is filled in one turn.
func (m *Scheduler) weight(d *dest, h *held) float64 {
	batch := 1
	for _, e := range m.dir.Endpoints(d.id) {
		batch = max(batch, m.slots.BatchSize[e.Kind])
	}
	return float64(batch) * max(1, h.topic.Benefit)
}

// head is the first of a queue that may start now, or when one could.
func (m *Scheduler) head(now float64, d *dest) (*held, float64) {
	next := never
	none, noneLow := false, false // what one without a past did not get, none like it gets
	var refused []likeness
	fresh := slices.IndexFunc(d.queue, func(h *held) bool { return !h.topic.ExponentialDecay || h.due() > now })
	for i := range d.queue {
		h := d.queue[(max(0, fresh)+i)%len(d.queue)]
		low := h.topic.Benefit < m.top
		if none || noneLow && low {
			continue
		}
		if free := m.keyFree(now, h); free > now {
			next = min(next, free)
			continue
		}
		like := likeness{h.Topic, h.heldTo()}
		if slices.Contains(refused, like) { // what one did not get, none like it gets now
			continue
		}
		refused = append(refused, like)
		e, when := m.admit(now, d, h)
		if e != nil {
			return h, now
		}
		if next = min(next, when); h.mayRun == never {
			none, noneLow = none || !low, true
		}
	}
	return nil, next
}

// admit finds the endpoint with fewest calls in flight that its throttle admits, or when one could be had. A
// tie goes to the one that delivered last, else by chance: many dispatchers with none in flight crowd one.
func (m *Scheduler) admit(now float64, d *dest, h *held) (*directory.Endpoint, float64) {
	var best *directory.Endpoint
	next, least := never, 0
	listed := m.dir.Endpoints(d.id)
	shuns := m.others(now, h, listed)
	for i := range listed {
		e := &listed[i]
		if !m.takes(h, *e) || shuns && m.end(e.ID).topics[h.Topic].shunned > now {
			continue
		}
		if m.joinable(now, *e) != nil {
			return e, now
		}
		end := m.end(e.ID)
		if m.silent(now, end) || float64(len(end.calls)) >= end.most {
			continue
		}
		when := max(m.opens(now, d, *e, h), end.aside)
		if when > now {
			next = min(next, when)
			continue
		}
		better := best == nil || len(end.calls) < least
		if !better && len(end.calls) == least {
			fee, was := m.routes.FeeByZone[e.Zone], m.routes.FeeByZone[best.Zone]
			better = fee < was || fee == was && end.rank > m.end(best.ID).rank
		}
		if better {
			best, least = e, len(end.calls)
		}
	}
	return best, next
}

// takes tells that an endpoint may have h at all.
func (m *Scheduler) takes(h *held, e directory.Endpoint) bool {
	return e.Stage == directory.Ready && (!h.zoned() || e.Zone == h.zone)
}

// others tells that there is an endpoint which lately did not fail h's topic type, nor is in an outage. Then
// those that did are shunned for it. It guards against endpoints that fail one topic type and take the rest;
// it does harm where a failure was by chance and the others are slower.
func (m *Scheduler) others(now float64, h *held, listed []directory.Endpoint) bool {
	for _, e := range listed {
		if m.takes(h, e) && m.end(e.ID).topics[h.Topic].shunned <= now && !m.gate(e).down() {
			return true
		}
	}
	return false
}

// opens tells when the throttle of an endpoint lets h start: by now, at a time, or never (an outcome first).
func (m *Scheduler) opens(now float64, d *dest, e directory.Endpoint, h *held) float64 {
	g := m.gate(e)
	if g.stop > now {
		return g.stop
	}
	if m.out >= m.slots.MaxCalls || g.out >= m.cap(now, e) {
		return never
	}
	low := 0.0
	if h.topic.Benefit < m.top {
		low = reserve * g.limit
	}
	if g.out == 0 && now >= g.idle+m.forgets(g) {
		g.allowance = never
	}
	if g.allowance-1 < low {
		if g.out == 0 {
			return g.idle + m.forgets(g)
		}
		return never
	}
	return max(m.recoveryBudget(now, d, e, g), m.pace(now, d, e, g, h))
}

// forgets tells how long the allowance is kept with no call out: a second, or what the limit takes a call.
func (m *Scheduler) forgets(g *gate) float64 { return min(forget, 1/max(0, g.limit)) }

// cap is three quarters of the slots, half while the destination fails or slows, at least one.
func (m *Scheduler) cap(now float64, e directory.Endpoint) int {
	g := m.gate(e)
	if g.recovering || m.silent(now, m.end(e.ID)) {
		return max(1, m.slots.MaxCalls/2)
	}
	return max(1, m.slots.MaxCalls*3/4)
}

// HandleRestart tells that a process before this one may have left pushes behind that still run. What was over by then is known
// to nobody, so all ordered keys rest for the stated time.
func (m *Scheduler) HandleRestart(now float64) { m.keysFrom = now + m.pushes.KeyCooldown }

// spread lets what is owed since a restart start at a moment of this dispatcher's own, within the time in
// which its even part of the listed rate brings it a push, or the objective. It guards destinations when many
// restart together.
func (m *Scheduler) spread(now float64, d *dest, h *held) {
	for _, e := range m.dir.Endpoints(d.id) {
		if g := m.gate(e); g.jitter == 0 {
			g.jitter = m.rng.float()
			g.stop = now + g.jitter*min(h.topic.Objective, 1/m.evenShare(m.rate(e, g)))
		}
	}
}

// pace tells when the next push may go where pushes were refused: what was taken before the last refusal,
// or an even share of the told rate, is kept to at first and then slowly passed. It guards against others'
// use of a limit, limits lowered without a report, and refusals that use up the limit: there a rate a little
// above the limit gets next to nothing, so the share of late pushes that were refused comes off.
func (m *Scheduler) pace(now float64, d *dest, e directory.Endpoint, g *gate, h *held) float64 {
	if now-g.full > 1/climb {
		return now
	}
	taken := 0.0
	for _, s := range g.ended {
		if s.weight == 0 && s.at <= g.full && s.at > g.full-takenSpan {
			taken++
		}
	}
	part := m.demandShare(now, d, e, g)
	span := scatter * m.returns.OverloadSpan / m.share(e, g)
	if when := g.stop + g.jitter*min(1/part, span); when > now && g.lastTrial < g.stop {
		return when
	}
	turned := mean(g.turned, 0)
	if m.routes.FreeRefusals && turned < collapsing {
		return now
	}
	base := easing * max((taken-1)/takenSpan, part) * (1 - turned) * m.merit(h)
	return m.window(now, g, base*(1+climb*(now-g.full)), paceSpan)
}

// window tells when the next push may go, if no span is to see more pushes than the rate gives it.
func (m *Scheduler) window(now float64, g *gate, rate, span float64) float64 {
	room := rate * span
	if room < 1 {
		span, room = span/max(room, 0.01), 1
	}
	spent := 0.0
	for i := len(g.sent) - 1; i >= 0 && g.sent[i].at > now-span; i-- {
		if spent += g.sent[i].weight; spent > room-1+1e-9 {
			return g.sent[i].at + span + 1e-6
		}
	}
	return now
}

// patience is a push's time-out, by the answer times last seen; where an endpoint has shown few, those of all
// stand in. With the last slot taken it is no longer than that: a lost answer would hold up all others.
func (m *Scheduler) patience(g *gate, end *endpoint, h *held) float64 {
	aim := h.topic.Objective
	if g.down() {
		return mostWait * aim
	}
	if m.out >= m.slots.MaxCalls {
		return min(patience*mean(end.lasted, mean(m.lasted, firstGap)), mostWait*aim)
	}
	wait := min(max(aim, patience*mean(end.lasted, mean(m.lasted, firstGap))), mostWait*aim)
	if h.topic.Repeat == OnceOnly {
		wait *= 2
	}
	return wait
}

// hopeless tells that a held notification cannot be delivered any more: it gets its final answer at once.
func (m *Scheduler) hopeless(now float64, d *dest, h *held) bool {
	late := now >= m.lastStart(h) || h.pushes >= m.pushes.MaxPushes || h.shed
	unsafe := h.mayRun != never && h.topic.Repeat == OnceOnly || now > m.knownUntil(h)
	return !h.over && h.call == nil && (late || unsafe)
}

// lastStart is when a push could still bring an answer in time, as answers lately took. One begun later ends
// unheard, and with it a wait that its answer tells: the next push there would break it.
func (m *Scheduler) lastStart(h *held) float64 {
	return h.until - max(m.pushes.Tick, mean(m.lasted, 0))
}

// knownUntil is when a push that may have run would no longer be known for a repeat: none may start later,
// also none that waited for its connection until then.
func (m *Scheduler) knownUntil(h *held) float64 {
	if h.topic.Repeat != Collapsible {
		return never
	}
	return h.mayRun + h.topic.DedupWindow - m.pushes.Tick
}

// giveUp ends one: throttled where it may safely come again, else expired. Its key waits until that is heard.
func (m *Scheduler) giveUp(now float64, d *dest, h *held) Decision {
	h.over, h.ending = true, true
	m.leave(d, h)
	known := h.topic.Repeat == Collapsible && h.topic.DedupScope == "all"
	if h.mayRun == never || h.topic.Repeat == Repeatable || known {
		return Decision{Action: Throttle, NotificationID: h.ID, RetryIn: m.retryIn(now, d)}
	}
	return Decision{Action: Expire, NotificationID: h.ID}
}

// bound is how many notifications a destination's queue holds as h comes: as many as there is room left, so
// that queues that stand still leave room for those that move, more or fewer by its merit.
func (m *Scheduler) bound(h *held) int {
	return max(1, int(float64(m.slots.MaxHeld-len(m.held))*m.merit(h)))
}

// merit is a notification's benefit against the mean of those taken: what is short is parted by it. The
// reserve does so only while calls are out. It does harm where one topic type has nearly all of the benefit.
func (m *Scheduler) merit(h *held) float64 {
	return h.topic.Benefit * float64(m.taken) / max(m.worths, 1e-9)
}

// displace marks the notification of a full queue that is worth least now, if it is worth less than h.
func (m *Scheduler) displace(now float64, d *dest, h *held) bool {
	least := h
	for _, x := range d.queue { // what a restart found untried was promised a try
		if !x.shed && !(x.Restored && x.pushes == 0) && m.worth(now, x) < m.worth(now, least) {
			least = x
		}
	}
	least.shed = least != h
	return least.shed
}

// worth is the benefit of a notification delivered now.
func (m *Scheduler) worth(now float64, h *held) float64 {
	late := now - h.due()
	share := 1 - (1-h.topic.LateBenefit)*max(0, late)/max(h.topic.TTL-h.topic.Objective, 1e-9)
	if h.topic.ExponentialDecay {
		share = max(h.topic.LateBenefit, math.Exp2(-max(0, late)/h.topic.Objective))
	}
	if h.beyond {
		share *= m.shares.OverQuotaBenefit
	}
	return h.topic.Benefit * share
}

// beyond tells that a tenant asks more than this dispatcher's part of its share, which is worth little. It
// guards the others' room in bursts; retries, known by the time they have left, belong to their first try.
func (m *Scheduler) beyond(now float64, tenant string) bool {
	part := shareSpan * m.evenShare(m.shares.Rate[tenant])
	part += 2 * math.Sqrt(part) // beyond what chance alone brings
	asked := last(m.asked[tenant], now, many)
	m.asked[tenant] = asked
	return part > 0 && len(asked) > int(part) && asked[len(asked)-1-int(part)] > now-shareSpan
}

// retryIn tells a client when there is likely room again: when the first endpoint may get a push, as far as
// that is known now. One that answers nobody is tried by what is held here first.
func (m *Scheduler) retryIn(now float64, d *dest) float64 {
	first := never
	for _, e := range m.dir.Endpoints(d.id) {
		if e.Stage != directory.Ready {
			continue
		}
		g := m.gate(e)
		first = min(first, max(g.stop, m.end(e.ID).aside, m.recoveryBudget(now, d, e, g)))
	}
	if first == never {
		return forget
	}
	return max(forget, first-now)
}

// keyFree tells when an ordered notification's key is its own: now, a time, or never (an outcome first).
func (m *Scheduler) keyFree(now float64, h *held) float64 {
	if !h.ordered() {
		return now
	}
	wait := max(now, m.keysFrom)
	for _, x := range m.keys[h.Key] {
		if x == h {
			return wait
		}
		if !x.done() {
			return never
		}
		wait = max(wait, x.rest)
	}
	return wait
}

// joinable is the call of this turn to an endpoint that has room for another notification.
func (m *Scheduler) joinable(now float64, e directory.Endpoint) *call {
	calls := m.end(e.ID).calls
	if n := len(calls); n > 0 && calls[n-1].at == now && calls[n-1].size < m.slots.BatchSize[e.Kind] {
		return calls[n-1]
	}
	return nil
}

// enqueue puts a notification in its place: by the end of its objective, then by the order taken. So a client
// that leaves little time, or comes again, is not behind those who have all of theirs.
func (m *Scheduler) enqueue(d *dest, h *held) {
	at := len(d.queue)
	for ; at > 0; at-- {
		if x := d.queue[at-1]; x.due() < h.due() || x.due() == h.due() && x.order < h.order {
			break
		}
	}
	d.queue = slices.Insert(d.queue, at, h)
	if !d.inRound {
		d.inRound, d.deficit = true, 0
		m.round = append(m.round, d)
	}
}

// leave takes a notification off its queue; an emptied queue leaves the round and its deficit is reset.
func (m *Scheduler) leave(d *dest, h *held) {
	d.queue = slices.DeleteFunc(d.queue, func(x *held) bool { return x == h })
	if len(d.queue) > 0 || !d.inRound {
		return
	}
	d.inRound, d.deficit = false, 0
	i := slices.Index(m.round, d)
	m.round = slices.Delete(m.round, i, i+1)
	if i < m.pointer {
		m.pointer--
	} else if i == m.pointer {
		m.granted = false
	}
}

// errandAt tells when the list is to be asked for (at start, and again some time after a failure), or idle
// connections are to be closed.
func (m *Scheduler) errandAt(now float64) float64 {
	if m.ask && m.nextAsk == never && m.dir.ConsecutiveFailures > 0 && m.dir.Revision != m.heard {
		m.heard = m.dir.Revision
		m.nextAsk = now + asideRand*(1+m.rng.float())
	}
	used := func(i idle) bool { return len(i.end.calls) > 0 || i.end.idle != i.since }
	m.idle = slices.DeleteFunc(m.idle, used)
	next := m.nextAsk
	for _, i := range m.idle {
		next = min(next, m.closes(now, i))
	}
	return next
}

// closes tells when idle connections are to be closed. An endpoint may take only so many, and many
// dispatchers' idle ones would shut the others out, or break unseen. Where endpoints of its kind lately
// refused or broke one, the settings' idle time is divided among the dispatchers, and where this one's calls
// come farther apart a connection kept would only take another's place; else it is five seconds at most.
func (m *Scheduler) closes(now float64, i idle) float64 {
	keep := m.evenShare(m.pushes.IdleTimeout)
	if m.scarce[i.end.kind] <= now {
		keep = max(keep, min(idleKept, cmp.Or(m.pushes.IdleTimeout, idleKept)))
	} else if keep < mean(i.end.apart, firstGap) {
		keep = 0
	}
	return i.since + keep
}
