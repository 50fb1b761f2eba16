// Package behaviour models a partner's system: its rate limit, slots and queue, slow start, and faults. It does no I/O and
// reads no clock: callers pass in the time, in seconds since the start of the run, so that the model serves both real
// sockets and virtual time.
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

// The ends of a call.
const (
	Answered          CallEnd = iota // with a status
	NoAnswer                         // the endpoint never answers
	ConnectionReset                  // the connection is reset instead of an answer
	AnswerTruncated                  // the connection ends in the middle of the answer
	AnswerCorrupted                  // the answer cannot be parsed
	AnsweredLate                     // the whole answer comes just after the earliest TTL in the call and counts as none
	ClosedAfterAnswer                // a good answer, after which the connection is closed without a Connection: close header
)

// Outcome is the result of a call.
type Outcome struct {
	End           CallEnd
	Delay         float64            // seconds from the arrival of the call to its end
	Status        int                // HTTP status
	ToldWait      float64            // seconds; 0: the answer gives none
	States        []record.PushState // outcome that the answer reports, for each notification
	Ran           []bool             // whether the push was really executed, for each notification
	HasLoadReport bool
	LoadShare     float64 // share of the limit that is left, 0 to 1
	LoadLimit     float64 // calls per second
	Cause         string  // the fault, full queue or collapse behind the outcome; empty for none and for the rate limit

	Unsolicited []Unsolicited // what the endpoint writes on the connection after the answer
}

// Partner is the system of one destination. It is not safe for concurrent use.
type Partner struct {
	world        *scenario.World
	spec         scenario.Partner
	tokens       float64     // token bucket of a plain rate limit
	tokensAt     float64     // when tokens was last computed
	windowIndex  float64     // number of the current window of a windowed limit
	windowCalls  int         // calls counted in the current window
	slotFreeAt   [][]float64 // by endpoint: when each of its slots becomes free
	queuedStarts [][]float64 // by endpoint: when the calls in its queue will start
	overload     OverloadDetector
	collapsed    bool
}

// New returns an idle partner of a world.
func New(w *scenario.World, spec scenario.Partner) *Partner {
	p := &Partner{world: w, spec: spec, tokens: burstSize(spec.Rate)}
	for range spec.Endpoints {
		p.slotFreeAt = append(p.slotFreeAt, make([]float64, spec.SlotsPerEndpoint))
		p.queuedStarts = append(p.queuedStarts, nil)
	}
	p.overload = OverloadDetector{OverloadFactor: w.Recovery.OverloadFactor, Span: w.Recovery.OverloadSpan, Capacity: p.capacity}
	return p
}

// burstSize returns how many calls a plain rate limit admits at once.
func burstSize(rate float64) float64 { return max(2, rate/2) }

// capacity returns the calls per second that the partner can take at the time now: less than its rate during slow start.
func (p *Partner) capacity(now float64) float64 {
	return p.spec.Rate * p.world.CapacityShare(p.spec.Dest, now)
}

// Collapsed reports whether overload during slow start has brought the partner down. It stays down.
func (p *Partner) Collapsed() bool { return p.collapsed }

// activeFault returns the first fault of a kind that acts on endpoint e at the time now, or nil.
func (p *Partner) activeFault(kind string, now float64, e scenario.Endpoint) *scenario.Fault {
	i := slices.IndexFunc(p.world.Faults, func(f scenario.Fault) bool { return f.ActiveOn(kind, now, e) })
	if i < 0 {
		return nil
	}
	return &p.world.Faults[i]
}

// random returns the random source of one push of a notification. It depends only on the seed, the ID and the number of the
// push, so that a push gets the same draws in each run, whatever else happens.
func (p *Partner) random(id string, push int) *rand.Rand {
	return rand.New(rand.NewPCG(p.world.Seed, xxhash.Sum64String(id)+uint64(push)))
}

// AcceptsConnections reports whether the endpoint with the given index accepts connections at the time now: it has been added,
// was not removed more than removalGrace ago, and no fault refuses connections.
func (p *Partner) AcceptsConnections(now float64, index int) bool {
	e := p.spec.Endpoints[index]
	return now >= e.AddedAt && (e.RemovedAt == 0 || now < e.RemovedAt+removalGrace) && p.activeFault(scenario.RefuseConnections, now, e) == nil
}

// removalGrace is how long a removed endpoint still accepts connections, in seconds.
const removalGrace = 1.0

// Call describes a call that arrives at a partner.
type Call struct {
	IDs           []string
	Reused        bool // the connection carried a call before
	PreviousCalls int  // earlier calls with the first of the notifications
}

// HandleCall returns the outcome of a call whose last byte arrives at the endpoint with the given index at the time now.
func (p *Partner) HandleCall(now float64, index int, c Call) Outcome {
	e := p.spec.Endpoints[index]
	outcome := p.serve(now, e, c)
	outcome.Unsolicited = p.drawUnsolicited(now, e, c)
	return outcome
}

// serve returns the outcome of a call without what may follow its answer.
func (p *Partner) serve(now float64, e scenario.Endpoint, c Call) Outcome {
	random := p.random(c.IDs[0], c.PreviousCalls)
	if !p.world.InOutage(p.spec.Dest, now) && p.world.CapacityShare(p.spec.Dest, now) < 1 && p.overload.AddCall(now) {
		p.collapsed = true
	}
	if f := p.activeFault(scenario.BreakReused, now, e); f != nil && c.Reused && random.Float64() < f.Share {
		return uniform(c, Outcome{End: ConnectionReset, Cause: f.Kind}, false)
	}
	if p.collapsed {
		return uniform(c, Outcome{Status: 503, Cause: "fallen over"}, false)
	}
	if f := p.activeFault(scenario.Hang, now, e); f != nil {
		return uniform(c, Outcome{End: NoAnswer, Cause: f.Kind}, false)
	}
	if f := p.activeFault(scenario.RejectAll, now, e); f != nil {
		outcome := Outcome{Status: 503, Cause: f.Kind}
		if f.Announced {
			outcome.Status, outcome.ToldWait = 429, max(f.End()-now, p.spec.Kind.MinToldWait)
		}
		return uniform(c, outcome, false)
	}
	if wait, ok := p.admit(now, e); !ok {
		outcome := Outcome{Status: 503}
		if random.Float64() < p.spec.Kind.ToldWaitShare {
			outcome.Status, outcome.ToldWait = 429, max(wait, p.spec.Kind.MinToldWait)
		}
		return p.addLoadReport(now, e, uniform(c, outcome, false))
	}
	if f := p.activeFault(scenario.FailCalls, now, e); f != nil {
		return p.addLoadReport(now, e, p.failShare(c, f, random))
	}
	delay, ok := p.reserveSlot(now, e, random)
	if !ok {
		return p.addLoadReport(now, e, uniform(c, Outcome{Status: 503, Cause: "queue full"}, false))
	}
	outcome := Outcome{Status: 200, Delay: delay}
	for _, fault := range []struct {
		kind string
		end  CallEnd
	}{{scenario.LoseAnswers, NoAnswer}, {scenario.ResetConnections, ConnectionReset}, {scenario.LateAnswers, AnsweredLate}, {scenario.TruncateAnswers, AnswerTruncated}, {scenario.CorruptAnswers, AnswerCorrupted}, {scenario.CloseAfterAnswer, ClosedAfterAnswer}} {
		if f := p.activeFault(fault.kind, now, e); f != nil && random.Float64() < f.Share {
			outcome.End, outcome.Cause = fault.end, f.Kind
			break
		}
	}
	return p.addLoadReport(now, e, uniform(c, outcome, true))
}

// uniform completes an outcome with the same state for each notification of the call.
func uniform(c Call, o Outcome, ran bool) Outcome {
	state := record.Unreadable
	switch {
	case o.End == NoAnswer || o.End == ConnectionReset || o.End == AnsweredLate:
		state = record.Unanswered
	case (o.End == Answered || o.End == ClosedAfterAnswer) && o.Status == 200:
		state = record.Delivered
	case o.End == Answered && o.Status == 500:
		state = record.Failed
	case o.End == Answered:
		state = record.Throttled
	}
	for range c.IDs {
		o.States, o.Ran = append(o.States, state), append(o.Ran, ran)
	}
	return o
}

// failShare fails a share of a call's notifications, after a short delay. Half of those that fail have been executed.
func (p *Partner) failShare(c Call, f *scenario.Fault, random *rand.Rand) Outcome {
	const delay = 0.005 // seconds
	outcome := Outcome{Status: 200, Delay: delay, Cause: f.Kind}
	failed := 0
	for range c.IDs {
		if random.Float64() < f.Share {
			outcome.States, outcome.Ran = append(outcome.States, record.Failed), append(outcome.Ran, random.IntN(2) == 0)
			failed++
		} else {
			outcome.States, outcome.Ran = append(outcome.States, record.Delivered), append(outcome.Ran, true)
		}
	}
	if failed == len(c.IDs) {
		outcome.Status = 500
	}
	return outcome
}

// admit counts a call against the rate limit and reports whether the limit admits it. If not, it returns the seconds until
// the limit admits a call again.
func (p *Partner) admit(now float64, e scenario.Endpoint) (float64, bool) {
	limit := p.RateLimit(now, e)
	switch p.spec.Kind.LimitKind {
	case scenario.RateLimit:
		p.tokens = min(burstSize(limit), p.tokens+(now-p.tokensAt)*limit)
		p.tokensAt = now
		if p.tokens >= 1 {
			p.tokens--
			return 0, true
		}
		if p.spec.Kind.CountRejected {
			p.tokens = max(p.tokens-1, -burstSize(limit))
		}
		return (1 - p.tokens) / limit, false
	case scenario.WindowLimit:
		length := p.spec.Kind.LimitWindow
		if n := math.Floor(now / length); n != p.windowIndex {
			p.windowIndex, p.windowCalls = n, 0
		}
		if float64(p.windowCalls) < math.Floor(max(1, limit*length)) {
			p.windowCalls++
			return 0, true
		}
		if p.spec.Kind.CountRejected {
			p.windowCalls++
		}
		return (p.windowIndex+1)*length - now, false
	}
	return 0, true
}

// RateLimit returns the rate limit of endpoint e at the time now, in calls per second.
func (p *Partner) RateLimit(now float64, e scenario.Endpoint) float64 {
	if f := p.activeFault(scenario.ChangeLimit, now, e); f != nil {
		return p.spec.Rate * f.Factor
	}
	return p.spec.Rate
}

// addLoadReport adds what is left of the limit to an outcome, where the partner reports it. While a limit is changed without
// announcement, the report is given in terms of the old limit.
func (p *Partner) addLoadReport(now float64, e scenario.Endpoint, o Outcome) Outcome {
	if !p.spec.Kind.ReportsLoad || p.spec.Kind.LimitKind == scenario.NoLimit {
		return o
	}
	limit := p.RateLimit(now, e)
	left := max(0, p.tokens)
	if p.spec.Kind.LimitKind == scenario.WindowLimit {
		left = max(0, limit-float64(p.windowCalls)/p.spec.Kind.LimitWindow)
	}
	if f := p.activeFault(scenario.ChangeLimit, now, e); f != nil && !f.Announced {
		left, limit = left*p.spec.Rate/limit, p.spec.Rate
	}
	o.HasLoadReport, o.LoadLimit, o.LoadShare = true, limit, min(1, left/limit)
	return o
}

// reserveSlot reserves a slot for a call, or a place in the queue for one, and returns the seconds until the call is served.
// The result is false if the queue is full. The slot stays reserved even if the caller closes the connection.
func (p *Partner) reserveSlot(now float64, e scenario.Endpoint, random *rand.Rand) (float64, bool) {
	p.queuedStarts[e.Index] = slices.DeleteFunc(p.queuedStarts[e.Index], func(at float64) bool { return at <= now })
	slots := p.slotFreeAt[e.Index]
	first := 0
	for i, at := range slots {
		if at < slots[first] {
			first = i
		}
	}
	start := max(now, slots[first])
	if start > now {
		if len(p.queuedStarts[e.Index]) >= p.spec.Kind.QueueLength {
			return 0, false
		}
		p.queuedStarts[e.Index] = append(p.queuedStarts[e.Index], start)
	}
	work := p.spec.ServiceTime * math.Exp(p.spec.ServiceSigma*random.NormFloat64())
	if !p.world.InOutage(p.spec.Dest, now) { // calls that are still served during an outage take their usual time
		work /= p.world.CapacityShare(p.spec.Dest, now)
	}
	if f := p.activeFault(scenario.SlowAnswers, now, e); f != nil {
		work *= f.Factor
	}
	slots[first] = start + work
	return start + work - now, true
}
