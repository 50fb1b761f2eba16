// Package behaviour says how a partner's system behaves: its limit, slots and queue, cold start, and faults. It does no
// I/O and knows no clock, so that sockets and virtual time can share it.
package behaviour

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

// CallEnd is how a call ends at the endpoint.
type CallEnd int

// The ways.
const (
	Answered          CallEnd = iota // with a status
	NoAnswer                         // never
	ConnectionReset                  // the connection is reset in the place of an answer
	AnswerTruncated                  // the answer breaks off in the middle
	AnswerCorrupted                  // the answer cannot be read
	AnsweredLate                     // it comes whole just after the first TTL in the call, and counts as none
	ClosedAfterAnswer                // the answer is good, and the connection is closed untold behind it
)

// Outcome is what becomes of a call.
type Outcome struct {
	End           CallEnd
	Delay         float64 // seconds until then
	Status        int
	ToldWait      float64 // told; 0: none
	States        []record.PushState
	Ran           []bool
	HasLoadReport bool
	LoadShare     float64 // of the limit, left
	LoadLimit     float64
	Cause         string // the fault that made it so
}

// Partner is one destination's system.
type Partner struct {
	world  *scenario.World
	spec   scenario.Partner
	tokens float64 // of a plain rate
	filled float64 // when they were counted last
	span   float64 // of a windowed limit: the number of the span
	used   int     // in it
	slots  [][]float64
	starts [][]float64 // by endpoint: when the calls in its queue will start
	strain OverloadDetector
	fallen bool
}

// New returns a partner of a world, at rest.
func New(w *scenario.World, spec scenario.Partner) *Partner {
	p := &Partner{world: w, spec: spec, tokens: burst(spec.Rate)}
	for range spec.Endpoints {
		p.slots = append(p.slots, make([]float64, spec.SlotsPerEndpoint))
		p.starts = append(p.starts, nil)
	}
	p.strain = OverloadDetector{OverloadFactor: w.Recovery.OverloadFactor, Span: w.Recovery.OverloadSpan, Capacity: p.capacity}
	return p
}

// burst is how many calls a plain rate lets through at once.
func burst(rate float64) float64 { return max(2, rate/2) }

func (p *Partner) capacity(now float64) float64 {
	return p.spec.Rate * p.world.CapacityShare(p.spec.Dest, now)
}

// Collapsed tells whether it was pushed over.
func (p *Partner) Collapsed() bool { return p.fallen }

// hit returns the fault of a kind that acts on an endpoint now.
func (p *Partner) hit(kind string, now float64, e scenario.Endpoint) *scenario.Fault {
	i := slices.IndexFunc(p.world.Faults, func(f scenario.Fault) bool { return f.ActiveOn(kind, now, e) })
	if i < 0 {
		return nil
	}
	return &p.world.Faults[i]
}

// chance is that of one push of one notification: the same in each run, whatever else happens.
func (p *Partner) chance(id string, call int) *rand.Rand {
	return rand.New(rand.NewPCG(p.world.Seed, xxhash.Sum64String(id)+uint64(call)))
}

// AcceptsConnections tells whether an endpoint takes connections: it is there, and nothing keeps it from that.
func (p *Partner) AcceptsConnections(now float64, index int) bool {
	e := p.spec.Endpoints[index]
	return now >= e.AddedAt && (e.RemovedAt == 0 || now < e.RemovedAt+linger) && p.hit(scenario.RefuseConnections, now, e) == nil
}

// linger is how long an endpoint that has gone still takes connections.
const linger = 1.0

// Call is what a partner sees of a call: its notifications, whether its connection was used before, and how many calls
// came before it with its first notification.
type Call struct {
	IDs           []string
	Reused        bool
	PreviousCalls int
}

// HandleCall tells the fate of a call whose last byte has just come to an endpoint.
func (p *Partner) HandleCall(now float64, index int, c Call) Outcome {
	e := p.spec.Endpoints[index]
	chance := p.chance(c.IDs[0], c.PreviousCalls)
	if !p.world.InOutage(p.spec.Dest, now) && p.world.CapacityShare(p.spec.Dest, now) < 1 && p.strain.AddCall(now) {
		p.fallen = true
	}
	if f := p.hit(scenario.BreakReused, now, e); f != nil && c.Reused && chance.Float64() < f.Share {
		return all(c, Outcome{End: ConnectionReset, Cause: f.Kind}, false)
	}
	if p.fallen {
		return all(c, Outcome{Status: 503, Cause: "fallen over"}, false)
	}
	if f := p.hit(scenario.Hang, now, e); f != nil {
		return all(c, Outcome{End: NoAnswer, Cause: f.Kind}, false)
	}
	if f := p.hit(scenario.RejectAll, now, e); f != nil {
		fate := Outcome{Status: 503, Cause: f.Kind}
		if f.Announced {
			fate.Status, fate.ToldWait = 429, max(f.End()-now, p.spec.Kind.MinToldWait)
		}
		return all(c, fate, false)
	}
	if wait, ok := p.admit(now, e); !ok {
		fate := Outcome{Status: 503}
		if chance.Float64() < p.spec.Kind.ToldWaitShare {
			fate.Status, fate.ToldWait = 429, max(wait, p.spec.Kind.MinToldWait)
		}
		return p.report(now, e, all(c, fate, false))
	}
	if f := p.hit(scenario.FailCalls, now, e); f != nil {
		return p.report(now, e, p.erring(c, f, chance))
	}
	after, ok := p.serve(now, e, chance)
	if !ok {
		return p.report(now, e, all(c, Outcome{Status: 503, Cause: "queue full"}, false))
	}
	fate := Outcome{Status: 200, Delay: after}
	for _, odd := range []struct {
		kind string
		way  CallEnd
	}{{scenario.LoseAnswers, NoAnswer}, {scenario.ResetConnections, ConnectionReset}, {scenario.LateAnswers, AnsweredLate}, {scenario.TruncateAnswers, AnswerTruncated}, {scenario.CorruptAnswers, AnswerCorrupted}, {scenario.CloseAfterAnswer, ClosedAfterAnswer}} {
		if f := p.hit(odd.kind, now, e); f != nil && chance.Float64() < f.Share {
			fate.End, fate.Cause = odd.way, f.Kind
			break
		}
	}
	return p.report(now, e, all(c, fate, true))
}

// all gives each notification of a call the same end.
func all(c Call, f Outcome, ran bool) Outcome {
	state := record.Unreadable
	switch {
	case f.End == NoAnswer || f.End == ConnectionReset || f.End == AnsweredLate:
		state = record.Unanswered
	case (f.End == Answered || f.End == ClosedAfterAnswer) && f.Status == 200:
		state = record.Delivered
	case f.End == Answered && f.Status == 500:
		state = record.Failed
	case f.End == Answered:
		state = record.Throttled
	}
	for range c.IDs {
		f.States, f.Ran = append(f.States, state), append(f.Ran, ran)
	}
	return f
}

// erring fails a share of a call's notifications soon; half of those that fail have run.
func (p *Partner) erring(c Call, f *scenario.Fault, chance *rand.Rand) Outcome {
	const soon = 0.005
	fate := Outcome{Status: 200, Delay: soon, Cause: f.Kind}
	failed := 0
	for range c.IDs {
		if chance.Float64() < f.Share {
			fate.States, fate.Ran = append(fate.States, record.Failed), append(fate.Ran, chance.IntN(2) == 0)
			failed++
		} else {
			fate.States, fate.Ran = append(fate.States, record.Delivered), append(fate.Ran, true)
		}
	}
	if failed == len(c.IDs) {
		fate.Status = 500
	}
	return fate
}

// admit spends the limit. Where it is spent it tells when there is some again.
func (p *Partner) admit(now float64, e scenario.Endpoint) (float64, bool) {
	limit := p.RateLimit(now, e)
	switch p.spec.Kind.LimitKind {
	case scenario.RateLimit:
		p.tokens = min(burst(limit), p.tokens+(now-p.filled)*limit)
		p.filled = now
		if p.tokens >= 1 {
			p.tokens--
			return 0, true
		}
		if p.spec.Kind.CountRejected {
			p.tokens = max(p.tokens-1, -burst(limit))
		}
		return (1 - p.tokens) / limit, false
	case scenario.WindowLimit:
		span := p.spec.Kind.LimitWindow
		if n := math.Floor(now / span); n != p.span {
			p.span, p.used = n, 0
		}
		if float64(p.used) < math.Floor(max(1, limit*span)) {
			p.used++
			return 0, true
		}
		if p.spec.Kind.CountRejected {
			p.used++
		}
		return (p.span+1)*span - now, false
	}
	return 0, true
}

// RateLimit is the calls a second that the partner lets through now.
func (p *Partner) RateLimit(now float64, e scenario.Endpoint) float64 {
	if f := p.hit(scenario.ChangeLimit, now, e); f != nil {
		return p.spec.Rate * f.Factor
	}
	return p.spec.Rate
}

// report says in an answer what is left of the limit. A limit that changed untold is told as it was.
func (p *Partner) report(now float64, e scenario.Endpoint, f Outcome) Outcome {
	if !p.spec.Kind.ReportsLoad || p.spec.Kind.LimitKind == scenario.NoLimit {
		return f
	}
	limit := p.RateLimit(now, e)
	left := max(0, p.tokens)
	if p.spec.Kind.LimitKind == scenario.WindowLimit {
		left = max(0, limit-float64(p.used)/p.spec.Kind.LimitWindow)
	}
	if x := p.hit(scenario.ChangeLimit, now, e); x != nil && !x.Announced {
		left, limit = left*p.spec.Rate/limit, p.spec.Rate
	}
	f.HasLoadReport, f.LoadLimit, f.LoadShare = true, limit, min(1, left/limit)
	return f
}

// serve books a slot, or a place in the queue before one, and gives the time until the work is done. Work goes on
// although its caller may leave.
func (p *Partner) serve(now float64, e scenario.Endpoint, chance *rand.Rand) (float64, bool) {
	p.starts[e.Index] = slices.DeleteFunc(p.starts[e.Index], func(at float64) bool { return at <= now })
	slots := p.slots[e.Index]
	free := 0
	for i, at := range slots {
		if at < slots[free] {
			free = i
		}
	}
	start := max(now, slots[free])
	if start > now {
		if len(p.starts[e.Index]) >= p.spec.Kind.QueueLength {
			return 0, false
		}
		p.starts[e.Index] = append(p.starts[e.Index], start)
	}
	work := p.spec.ServiceTime * math.Exp(p.spec.ServiceSigma*chance.NormFloat64())
	if !p.world.InOutage(p.spec.Dest, now) { // what still works in an outage is as fast as before
		work /= p.world.CapacityShare(p.spec.Dest, now)
	}
	if f := p.hit(scenario.SlowAnswers, now, e); f != nil {
		work *= f.Factor
	}
	slots[free] = start + work
	return start + work - now, true
}
