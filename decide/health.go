package decide

import (
	"cmp"
	"math"
	"slices"
)

// Health: what the ends of pushes tell of endpoints and their destinations. A destination that does not answer is an outlier and
// is ejected until a trial is answered.

const (
	unusual     = 6.0  // silence of so many mean gaps is unusual
	slowed      = 3.0  // and so many mean answer times
	shutAfter   = 2.0  // refusals for so long with no delivery are an outage, not a limit
	chance      = 2    // so many refusals in a row may be of a limit that others have used up
	ample       = 0.4  // a route that refuses with so much of its limit left is no longer just at its limit
	shunned     = 15.0 // for this and a random part an endpoint gets no topic type that it failed, if others can
	justServed  = 8.0  // at once, if it delivered none of it for this; else after two failures in a row
	firstOutage = 0.6  // of first failures are of outages, as far as nothing was seen
	firstWeight = 2.0  // and so many seen would weigh as much
	fates       = 64   // pushes kept by when they were sent
)

// learn takes in an outcome: the throttle's report, refusals, and health.
func (m *Scheduler) learn(now float64, c *call, h *held, o Outcome) {
	g := c.gate
	if o.LimitReported {
		g.limit, g.allowance = o.Limit, o.LimitLeft*o.Limit
		if o.Limit == 0 && o.LimitLeft == 0 {
			g.allowance = never
		} else if o.Result == Delivered && !g.recovering {
			m.learnUsage(g, o.LimitLeft)
		}
	}
	switch o.Result {
	case Delivered:
		m.delivered(now, c, h, o)
	case Throttled:
		m.turnedAway(now, c, o)
	case Failed, TimedOut, NotConnected, Reset:
		m.broke(now, c, h, o)
	}
}

// delivered takes in an answer that delivered.
func (m *Scheduler) delivered(now float64, c *call, h *held, o Outcome) {
	g, end := c.gate, c.end
	end.gaps = last(end.gaps, now-max(end.heard, c.at), kept)
	end.lasted = last(end.lasted, o.Latency, kept)
	m.lasted = last(m.lasted, o.Latency, kept)
	end.heard, end.rank = now, now
	end.topics[h.Topic] = passing{served: now}
	end.most += climb / end.most
	g.ended = last(g.ended, mark{now, 0}, many)
	g.refused, g.inRow, g.turned = never, 0, last(g.turned, 0, recent)
	g.proof, g.heard = max(g.proof, c.at), now
	g.fates = last(g.fates, mark{c.at, 0}, fates)
	m.judgeFirst(g, false)
	if g.down() {
		g.upSince, g.answered = m.returnedAt(now, g), now
		g.full, g.turned, end.most = -never, nil, never // its refusals were the outage's, and tell of no limit
		m.down = slices.DeleteFunc(m.down, func(x *gate) bool { return x == g })
	}
}

// turnedAway takes in a refusal of the endpoint: a limit, no room for connections, or a destination that is shut.
func (m *Scheduler) turnedAway(now float64, c *call, o Outcome) {
	g, end := c.gate, c.end
	end.heard, end.rank = now, -m.rng.float()
	if o.TooManyConnections { // no limit was passed: it is the endpoint that has no room, for connections of anybody's
		m.scarce[end.kind] = now + m.pushes.IdleTimeout
		end.aside = now + fullStop*(1+m.rng.float())
		return
	}
	if g.limit == 0 && o.Wait == 0 { // full for what is out: what stays out is what it takes at once
		end.most = cmp.Or(easing*float64(len(end.calls)), never)
	}
	wait := cmp.Or(max(0, o.Wait), fullStop)
	g.stop = max(g.stop, now+wait)
	g.refused, g.inRow = min(g.refused, now), g.inRow+1
	g.full, g.jitter = now, m.rng.float()
	left := m.routes.SeparateByKind[end.kind] && o.LimitLeft > ample // perhaps no limit refuses: it may be shut
	if left {
		g.jitter *= wider
	}
	g.turned = last(g.turned, 1, recent)
	// Others may use the limit up; a shut destination that tells so as well is found a refusal later for it.
	full := !m.routes.SeparateByKind[end.kind] && o.LimitReported && o.LimitLeft <= ample && g.inRow <= chance
	if !full && now+wait-g.refused > shutAfter || left && g.refused < now {
		m.eject(now, g)
	}
}

// broke takes in a push that was not answered as it should be.
func (m *Scheduler) broke(now float64, c *call, h *held, o Outcome) {
	g, end := c.gate, c.end
	if o.Result == NotConnected || o.Result == Reset {
		m.scarce[end.kind] = now + m.pushes.IdleTimeout
	}
	if h.hurried && o.Result == TimedOut { // it had little time left: its end says nothing of the endpoint
		return
	}
	if o.Result == Failed || o.Result == TimedOut {
		t := end.topics[h.Topic]
		if t.failed++; t.failed > 1 || now-t.served > justServed { // one alone among deliveries says nothing
			t.shunned = now + shunned*(1+m.rng.float())
		}
		end.topics[h.Topic] = t
	}
	// Connections break singly too; those to an endpoint that is down do until its silence is unusual.
	if end.broke < end.heard {
		end.broke = now
	}
	if o.Result == Reset && now-end.broke < unusual*mean(end.gaps, 0) {
		return
	}
	if c.judged { // one fate for all in a call
		return
	}
	c.judged = true
	g.fates = last(g.fates, mark{c.at, 1}, fates)
	if c.at < g.proof { // old news where a later push was answered
		if up, over := g.outageOver(c.at); over && o.Result != Failed && !g.recovering {
			g.recovering, g.upSince, g.answered = true, up, up
		}
		return
	}
	g.ended = last(g.ended, mark{now, 1}, many)
	g.lostAt, g.took = now, now-c.at
	if o.Result == Failed {
		end.heard = now
	} else if o.Result != TimedOut || end.heard < c.at { // one lost among answers says nothing
		end.aside = now + asideFixed + asideRand*m.rng.float()
	}
	m.judgeFirst(g, true)
	lately := g.ended[max(0, len(g.ended)-recent):]
	bad, inRow := broken(lately), broken(lately[max(0, len(lately)-2):])
	again := o.Result == NotConnected && end.broke > end.heard && end.broke < now // a connection broke before, with no answer since
	switch quiet := g.heard < c.at; {
	case quiet && (inRow == 2 || again || m.routes.SeparateByKind[end.kind] || m.rng.float() < m.outageOdds(now, c, h, o)): // nothing was delivered while it was out
		m.eject(now, g)
	case bad >= 2 && 2*bad >= len(lately) && !g.down(): // most calls fail, not all
		g.recovering, g.upSince, g.answered = true, now, now
	}
}

// outageOdds tells how likely a destination's first failure, with nothing delivered while the push was out, is of an outage. Were it
// taken for none, each dispatcher that met one would make one more call: where few calls come to each, nearly all that
// reach a destination as it returns. The odds are what first failures that ended alike turned out to be; a time-out cut short says less,
// and the more answers were to be expected meanwhile the more does their absence.
func (m *Scheduler) outageOdds(now float64, c *call, h *held, o Outcome) float64 {
	if o.Result == Failed { // it answers
		return 0
	}
	g, r := c.gate, m.returns
	if e, ok := m.dir.Find(h.Dest, o.Endpoint); ok && r.OverloadFactor*r.InitialCapacity*m.rate(e, g)*r.OverloadSpan >= float64(r.Dispatchers-1) {
		return 0 // one call more of each of the others is within the recovery budget
	}
	g.first = o.Result
	seen := m.firsts[o.Result]
	prior := (firstOutage*firstWeight + seen.outages) / (firstWeight + seen.outages + seen.alone)
	if o.Result == TimedOut {
		silence := (now - c.at) / mean(c.end.lasted, mean(m.lasted, 0)) / patience
		prior *= min(1, silence*silence)
	}
	delivered := 0.0
	for _, s := range g.ended {
		if s.weight == 0 && s.at > c.at-r.WarmUp && s.at <= c.at {
			delivered++
		}
	}
	missed := math.Exp(-delivered / r.WarmUp * (now - c.at)) // so likely none would have come all the same
	return prior / (prior + (1-prior)*missed)
}

// judgeFirst learns what a first failure turned out to be by what followed it.
func (m *Scheduler) judgeFirst(g *gate, outage bool) {
	switch {
	case g.first == Delivered:
	case outage:
		m.firsts[g.first].outages++
	default:
		m.firsts[g.first].alone++
	}
	g.first = Delivered
}

// outageOver tells that pushes failed in a row, by when they were sent, before one that was delivered, and when that was
// sent: an outage shorter than their time-outs is known only after its end. One alone may be lost among answers.
func (g *gate) outageOver(at float64) (up float64, over bool) {
	before, after, failed := -never, never, 0
	for _, f := range g.fates {
		if f.weight == 0 && f.at <= at {
			before = max(before, f.at)
		} else if f.weight == 0 {
			after = min(after, f.at)
		}
	}
	for _, f := range g.fates {
		if f.weight > 0 && f.at > before && f.at < after {
			failed++
		}
	}
	known := before > -never || len(g.fates) < fates // else deliveries between them may be forgotten
	return after, failed > 1 && after < never && known
}

// eject notes an outage: the destination does not answer.
func (m *Scheduler) eject(now float64, g *gate) {
	if !g.down() {
		g.lastTrial, g.downSince, g.jitter = now, now, m.rng.float()
		m.down = append(m.down, g)
	}
	g.recovering, g.upSince = true, never
}

// silent tells that an endpoint's silence is unusual, given the gaps and the answer times seen before. It is
// counted from the first push since the last answer: an older one still out is lost alone.
func (m *Scheduler) silent(now float64, end *endpoint) bool {
	for _, c := range end.calls {
		if c.at > end.heard {
			return now-c.at > max(unusual*mean(end.gaps, firstGap), slowed*mean(end.lasted, mean(m.lasted, firstGap)))
		}
	}
	return false
}
