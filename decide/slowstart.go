package decide

import (
	"cmp"
	"math"

	"orchiddrift/directory"
)

// Slow start: a destination back from an outage gets no more calls, from all dispatchers together, than the settings allow
// a cold one. Each dispatcher spends its share of that recovery budget.

const (
	warmAtFirst = 0.5  // of slow start is taken as over at most as a destination answers first
	budgetPart  = 0.8  // the part of a return budget that is spent
	usedUp      = 0.05 // of a limit left or less: more may be asked than it gives
	overUsed    = 1.3  // times the limit, then; and where no answer told
	leastUsage  = 0.2  // of a limit that is taken as asked, at least
	mostTrials  = 3.0  // trials of those that hold something may be so many times denser than ones of all
	leastTrials = 2.0  // and at least so many
	probeSlots  = 4    // destinations that do not answer get one slot in so many, together
)

// recoveryBudget tells when a recovering destination may get its next push: with the others' no more than a cold one can
// take. Before it answers again pushes go one at a time, and each dispatcher's come at moments of its own.
func (m *Scheduler) recoveryBudget(now float64, d *dest, e directory.Endpoint, g *gate) float64 {
	if g.recovering = m.slowStart(now, g); !g.recovering {
		return now
	}
	if g.upSince == never {
		if g.out > 0 || m.probing() >= max(1, m.slots.MaxCalls/probeSlots) {
			return never
		}
		pause := asideFixed + asideRand*g.jitter
		if m.routes.SeparateByKind[e.Kind] {
			return max(g.lastTrial, g.stop) + max(pause, g.jitter/max(m.routeTrials(now, d, e, g), 0.01))
		}
		return max(m.nextTrial(d, e, g), max(g.lastTrial, g.stop)+pause)
	}
	rate := budgetPart * m.returns.OverloadFactor * m.warmth(now, g) * m.cappedShare(now, d, e, g)
	return m.window(now, g, rate, m.returns.OverloadSpan)
}

// slowStart tells that a destination is in an outage or in slow start after it. That lasts its whole span from the first answer here,
// though the destination may be warm before: what is held goes all at once as it ends.
func (m *Scheduler) slowStart(now float64, g *gate) bool {
	return g.recovering && (g.down() || g.answered+m.returns.WarmUp >= now)
}

// slowRestart begins slow start for a destination at which a push broke in the process before this one: it may be in an outage, or
// just back from one, and all that is owed there would go at once. It does so only where this dispatcher's even part of the recovery budget
// is a call at least in the span of a fall: under that it would starve what a restart finds untried.
func (m *Scheduler) slowRestart(now float64, ntf Notification) {
	for _, e := range m.dir.Endpoints(ntf.Dest) {
		g := m.gate(e)
		budget := m.returns.OverloadFactor * m.returns.InitialCapacity * m.rate(e, g) * m.returns.OverloadSpan
		if !g.recovering && !m.routes.SeparateByKind[e.Kind] && m.evenShare(budget) >= 1 {
			g.recovering, g.upSince, g.answered = true, now, now
		}
	}
}

// cappedShare is demandShare, but the even part where more came than chance brings to one dispatcher: all together ask more
// than the destination takes.
func (m *Scheduler) cappedShare(now float64, d *dest, e directory.Endpoint, g *gate) float64 {
	even, span, share := m.evenShare(m.rate(e, g)), max(m.returns.WarmUp, 1), m.demandShare(now, d, e, g)
	if fair := span * even; fair > 0 && span*share > byChance(fair) {
		return even
	}
	return share
}

// byChance is how many one dispatcher may get where so many come to each in the mean.
func byChance(fair float64) float64 { return fair + 1 + math.Sqrt(fair) }

// routeTrials is how often a second a route apart that does not answer may be tried. It may be small beside the rest, and what
// comes for all of its destination may go there.
func (m *Scheduler) routeTrials(now float64, d *dest, e directory.Endpoint, g *gate) float64 {
	share := m.cappedShare(now, d, e, g)
	rate := budgetPart * m.returns.OverloadFactor * m.returns.InitialCapacity * share
	holds := 1 - math.Exp(-share*(asideFixed+now-g.downSince)) // the share of dispatchers that hold some of it
	rate *= m.share(e, g) * min(mostTrials, leastTrials/holds) * m.returns.OverloadSpan / (m.returns.OverloadSpan + g.took)
	return rate / (1 + rider*float64(max(1, min(m.slots.BatchSize[e.Kind], len(d.queue)))-1)) // they go in one call
}

// nextTrial tells when the next of what is held may try a destination that does not answer. Each held notification draws a wait of
// its own, exponential and so without memory, at a rate at which the waits of all that came for the destination lately, here and
// at other dispatchers, come to the recovery budget together.
func (m *Scheduler) nextTrial(d *dest, e directory.Endpoint, g *gate) float64 {
	from := max(g.lastTrial, g.stop)
	recent, sum := 0.0, 0.0
	for _, h := range d.queue {
		if from < h.came()+m.trialSpan(h) {
			recent++
			sum += 1 / m.trialSpan(h)
		}
	}
	odds := m.returns.OverloadFactor * m.returns.InitialCapacity / m.usage(g) // calls for each notification that is held
	even, span := m.evenShare(m.rate(e, g)), max(m.returns.WarmUp, 1)
	if fair := span * even; fair > 0 && recent > byChance(fair) {
		odds *= byChance(fair) / recent
	}
	// An even part goes besides, where as many dispatchers as that hold something.
	least := budgetPart * m.returns.OverloadFactor * m.returns.InitialCapacity * even * (1 - math.Exp(-even*span))
	extra := max(0, least-odds*sum) / float64(max(1, len(d.queue)))
	first := never
	for _, h := range d.queue {
		first = min(first, m.trialOf(h, g, from, odds, extra))
	}
	return first
}

// trialOf is when h may try a destination from a moment on: at its odds while it counts as recent, at the extra rate alone later.
func (m *Scheduler) trialOf(h *held, g *gate, from, odds, extra float64) float64 {
	if h.trialAfter != g.lastTrial {
		h.trialAfter, h.trialWait = g.lastTrial, -math.Log(1-m.rng.float())
	}
	begin, until := max(from, h.came()), h.came()+m.trialSpan(h)
	rate := odds/m.trialSpan(h) + extra
	at := begin + h.trialWait/rate
	if at <= until {
		return at
	}
	if extra == 0 {
		return never
	}
	return max(until, begin) + (h.trialWait-max(0, until-begin)*rate)/extra
}

// trialSpan is how long, in seconds, a notification counts as recent: no longer than it may be held.
func (m *Scheduler) trialSpan(h *held) float64 { return max(1, min(h.topic.TTL, m.returns.WarmUp)) }

// usage is the part of its limit that is asked of a destination, as its answers told before an outage; where they told
// little, as those of all did.
func (m *Scheduler) usage(g *gate) float64 {
	return max(leastUsage, mean(g.usage, mean(m.allUsage, overUsed)))
}

// learnUsage takes in the part of a limit that an answer told as left, from a destination that is not in slow start.
func (m *Scheduler) learnUsage(g *gate, left float64) {
	used := 1 - left
	if left < usedUp {
		used = overUsed
	}
	g.usage = last(g.usage, used, kept)
	m.allUsage = last(m.allUsage, used, kept)
}

// returnedAt estimates since when a destination answers whose first answer came now: halfway back to what failed last, but no
// longer ago than a part of slow start. Trials may be farther apart than all of it: who found it back first took it for warm.
func (m *Scheduler) returnedAt(now float64, g *gate) float64 {
	return max((max(g.lostAt, g.full)+now)/2, now-warmAtFirst*m.returns.WarmUp)
}

// warmth is the share of its capacity that a destination in slow start has.
func (m *Scheduler) warmth(now float64, g *gate) float64 {
	return m.returns.InitialCapacity + (1-m.returns.InitialCapacity)*max(0, min(1, (now-g.upSince)/m.returns.WarmUp))
}

// demandShare is this dispatcher's part of what a destination takes a second: what lately came here for it, or an
// even part if that is more. Many dispatchers' even parts are far under one call, while their load is uneven.
func (m *Scheduler) demandShare(now float64, d *dest, e directory.Endpoint, g *gate) float64 {
	n := 0.0
	for i := len(d.came) - 1; i >= 0 && d.came[i] > now-m.returns.WarmUp; i-- {
		n++
	}
	part := n / max(m.returns.WarmUp, 1)
	if g.limit > 0 && e.Rate > 0 && !m.returns.RatesUnlisted {
		part *= min(1, g.limit/e.Rate) // the limit was lowered for all
	}
	return max(part, m.evenShare(m.rate(e, g)))
}

// share is a route's part of its destination's ready routes, by the limits told: all that came may be about
// to go there. A limit not told counts as this one's; where this one's is not told, all are even. An endpoint
// that is no route apart has all of it.
func (m *Scheduler) share(e directory.Endpoint, g *gate) float64 {
	if !m.routes.SeparateByKind[e.Kind] {
		return 1
	}
	own := cmp.Or(g.limit, 1)
	sum := own
	for _, x := range m.dir.Endpoints(e.Dest) {
		if x.ID == e.ID || x.Stage != directory.Ready {
			continue
		}
		if limit := m.gate(x).limit; g.limit > 0 && limit > 0 {
			sum += limit
		} else {
			sum += own
		}
	}
	return own / sum
}

// probing counts the calls out to destinations that do not answer. It guards the slots when several hang.
func (m *Scheduler) probing() int {
	n := 0
	for _, g := range m.down {
		n += g.out
	}
	return n
}

// evenShare is one dispatcher's part of a figure for all.
func (m *Scheduler) evenShare(all float64) float64 {
	return all / float64(max(1, m.returns.Dispatchers))
}

// rate is what a destination takes a second from all dispatchers, as told last and best.
func (m *Scheduler) rate(e directory.Endpoint, g *gate) float64 {
	if g.limit == 0 && !m.returns.RatesUnlisted {
		return e.Rate
	}
	return g.limit
}
