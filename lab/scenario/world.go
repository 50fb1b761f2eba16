package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// World is the set of partners, endpoints and faults that a scenario gives. The same scenario and seed give the same world.
type World struct {
	*Scenario
	Partners []Partner
	Faults   []Fault // troubles of partners, by the time at which they begin
}

// Partner is a destination with its endpoints.
type Partner struct {
	Dest             int
	Kind             Kind
	Share            float64 // of all notifications
	Rate             float64 // capacity outside slow start, in calls per second
	ServiceTime      float64 // median service time of a call, in seconds
	ServiceSigma     float64 // standard deviation of the logarithm of the service time
	SlotsPerEndpoint int     // concurrent calls per endpoint
	Endpoints        []Endpoint
}

// Endpoint is one of a destination's servers. Endpoints with the same Listener share an address.
type Endpoint struct {
	ID        string
	Dest      int
	Number    int // within its destination; a replacement has the number of the endpoint that it replaces
	Zone      string
	Index     int // among all endpoints of its destination in the run, replacements included
	Listener  int
	AddedAt   float64 // 0: there from the start
	DrainsAt  float64 // when its drain begins; 0: never
	RemovedAt float64 // when its drain ends; 0: never
}

// Zones are the zones to which the endpoints of a destination are assigned in turn.
var Zones = []string{"a", "b"}

// Fault is a trouble of partners with the destinations chosen for it.
type Fault struct {
	Trouble
	Dests map[int]bool
}

// ActiveOn reports whether the fault is of the given kind and acts on endpoint e at the time now.
func (f *Fault) ActiveOn(kind string, now float64, e Endpoint) bool {
	return f.Kind == kind && now >= f.At && now < f.End() && f.AppliesTo(e)
}

// AppliesTo reports whether the fault acts on endpoint e at any time of the run.
func (f *Fault) AppliesTo(e Endpoint) bool {
	return f.Dests[e.Dest] && (f.Endpoint == 0 || f.Endpoint == e.Number+1)
}

// randomSource returns the random source of the scenario for one purpose, so that the draws for one do not shift another's.
func (s *Scenario) randomSource(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, purpose))
}

// The purposes of random sources.
const (
	purposeServiceTimes = iota + 1
	purposePicks
	purposeArrivals
)

// NewWorld returns the world of a scenario.
func NewWorld(s *Scenario) *World {
	w := &World{Scenario: s}
	rng, totalShare := s.randomSource(purposeServiceTimes), 0.0
	for _, g := range s.Groups {
		totalShare += g.Share
	}
	listeners := 0
	for _, g := range s.Groups {
		kind := s.Kinds[slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == g.Kind })]
		shares := g.normalizedShares()
		for i, share := range shares {
			p := Partner{Dest: len(w.Partners), Kind: kind, Share: share * g.Share / totalShare, ServiceSigma: g.ServiceSigma,
				ServiceTime: g.ServiceTime * math.Exp(g.MedianSigma*rng.NormFloat64())}
			p.Rate = max(g.MinRate, g.CapacityFactor*p.Share*s.Load.Rate)
			mean := p.ServiceTime * math.Exp(p.ServiceSigma*p.ServiceSigma/2)
			p.SlotsPerEndpoint = int(math.Ceil(p.Rate*mean/float64(g.Endpoints))) + 1
			for n := range g.Endpoints {
				e := Endpoint{ID: fmt.Sprintf("e%d-%d", p.Dest, n), Dest: p.Dest, Number: n, Index: n, Zone: Zones[n%len(Zones)],
					Listener: listeners + n}
				if g.SharedListeners > 0 {
					e.Listener += i % g.SharedListeners * g.Endpoints
				} else {
					e.Listener += i * g.Endpoints
				}
				p.Endpoints = append(p.Endpoints, e)
			}
			w.Partners = append(w.Partners, p)
		}
		if n := g.SharedListeners; n > 0 {
			listeners += min(n, g.Count) * g.Endpoints
		} else {
			listeners += g.Count * g.Endpoints
		}
	}
	pickRNG := s.randomSource(purposePicks)
	for _, t := range s.Troubles {
		if t.AffectsPartners() {
			w.Faults = append(w.Faults, Fault{t, w.pick(t, pickRNG)})
		}
	}
	slices.SortStableFunc(w.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	for _, f := range w.Faults {
		if f.Kind == Drain {
			listeners = w.replaceEndpoints(f, listeners)
		}
	}
	return w
}

// replaceEndpoints drains and removes the endpoints that a fault acts on and adds their replacements, each on a new listener.
// It takes and returns the number of listeners in use.
func (w *World) replaceEndpoints(f Fault, listeners int) int {
	for i := range w.Partners {
		p := &w.Partners[i]
		for n, e := range p.Endpoints {
			if e.RemovedAt > 0 || e.AddedAt > f.At || !f.AppliesTo(e) {
				continue
			}
			p.Endpoints[n].DrainsAt, p.Endpoints[n].RemovedAt = f.At, f.At+f.Wait
			replacement := Endpoint{ID: fmt.Sprintf("e%d-%d", p.Dest, len(p.Endpoints)), Dest: p.Dest, Number: e.Number, Zone: e.Zone,
				Index: len(p.Endpoints), Listener: listeners, AddedAt: f.At}
			p.Endpoints = append(p.Endpoints, replacement)
			listeners++
		}
	}
	return listeners
}

// SharesListener reports whether the listener of an endpoint may serve other destinations too.
func (w *World) SharesListener(e Endpoint) bool {
	return e.AddedAt == 0 && w.groupOf(e.Dest).SharedListeners > 0
}

// normalizedShares returns the share of each destination in the group's traffic. They add up to 1.
func (g DestinationGroup) normalizedShares() []float64 {
	list, sum := make([]float64, g.Count), 0.0
	for i := range list {
		switch g.Distribution {
		case ZipfShares:
			list[i] = math.Pow(float64(i+1), -g.ZipfExponent)
		case ListedShares:
			list[i] = g.Shares[i]
		default:
			list[i] = 1
		}
		sum += list[i]
	}
	for i := range list {
		list[i] /= sum
	}
	return list
}

// pick returns the destinations of a trouble.
func (w *World) pick(t Trouble, rng *rand.Rand) map[int]bool {
	order := make([]int, len(w.Partners))
	for i := range order {
		order[i] = i
	}
	switch t.Pick {
	case "random":
		rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	case "smallest":
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(w.Partners[a].Share, w.Partners[b].Share) })
	default:
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(w.Partners[b].Share, w.Partners[a].Share) })
	}
	switch {
	case len(t.Destinations) > 0:
		order = t.Destinations
	case t.Pick != "all":
		order = order[:min(t.Count, len(order))]
	}
	chosen := map[int]bool{}
	for _, dest := range order {
		chosen[dest] = true
	}
	return chosen
}

// CapacityShare returns the share of its capacity that a destination has at the time now: less than 1 in the slow start after
// an outage. During an outage it is the share with which the slow start begins. Outages of a single endpoint do not count.
func (w *World) CapacityShare(dest int, now float64) float64 {
	share, latest := 1.0, math.Inf(-1)
	for i := range w.Faults {
		f := &w.Faults[i]
		if !f.CausesOutage() || f.ReturnsWarm || !f.Dests[dest] || f.Endpoint > 0 || now < f.At || f.At < latest {
			continue
		}
		latest = f.At
		share = min(1, w.Recovery.InitialCapacityShare+(1-w.Recovery.InitialCapacityShare)*max(0, now-f.End())/w.Recovery.WarmUp)
	}
	return share
}

// InOutage reports whether a destination has an outage at the time now. Outages of a single endpoint do not count.
func (w *World) InOutage(dest int, now float64) bool {
	return slices.ContainsFunc(w.Faults, func(f Fault) bool {
		return f.CausesOutage() && f.Endpoint == 0 && f.Dests[dest] && now >= f.At && now < f.End()
	})
}

// ListedRate returns the rate of a destination as the list states it, rounded to hundredths of a call per second.
func (p *Partner) ListedRate() float64 { return math.Round(p.Rate*100) / 100 }

// Arrival is one notification of the load plan. Topic, Tenant, Dest and Client are indexes.
type Arrival struct {
	At     float64 // seconds since the start of the run
	Topic  int
	Tenant int
	Dest   int
	Client int
	Key    int // from 1 for an ordered topic type, else 0
}

// Arrivals returns the load plan, sorted by time of arrival.
func (w *World) Arrivals() []Arrival {
	rng := w.randomSource(purposeArrivals)
	topics := make([]float64, len(w.Topics))
	for i, t := range w.Topics {
		topics[i] = t.Share
	}
	tenants := make([]float64, len(w.Tenants))
	for i, t := range w.Tenants {
		tenants[i] = t.Share
	}
	dests := make([]float64, len(w.Partners))
	for i, p := range w.Partners {
		dests[i] = p.Share
	}
	byTopic, byTenant, byDest := newCumulativeShares(topics), newCumulativeShares(tenants), newCumulativeShares(dests)
	keysPerDest := max(1, w.Load.Keys/len(w.Partners))
	load := w.Load
	eventRate := load.Rate * (1 - load.BurstShare + load.BurstShare/float64(load.BurstSize)) // a burst is one event
	burstChance := load.BurstShare / float64(load.BurstSize) / (1 - load.BurstShare + load.BurstShare/float64(load.BurstSize))
	var list []Arrival
	add := func(at float64, dest, client, tenant int) {
		a := Arrival{At: at, Dest: dest, Client: client, Tenant: tenant, Topic: byTopic.draw(rng)}
		if w.Topics[a.Topic].Ordered {
			a.Key = 1 + rng.IntN(keysPerDest)
		}
		list = append(list, a)
	}
	const minFactor = 1e-3 // keeps the interval finite where the load factor is 0
	for at := 0.0; ; {
		factor := w.LoadFactor(at)
		at += min(rng.ExpFloat64()/(eventRate*max(factor, minFactor)), 0.1)
		if at >= w.Length {
			break
		}
		if factor == 0 || w.LoadFactor(at) == 0 {
			continue
		}
		dest, client, tenant := byDest.draw(rng), rng.IntN(load.Clients), byTenant.draw(rng)
		n := 1
		if rng.Float64() < burstChance {
			n = load.BurstSize
		}
		for range n {
			add(at, dest, client, tenant)
		}
	}
	for _, t := range w.Troubles {
		if t.Kind == HotClient {
			for at := t.At; ; {
				if at += rng.ExpFloat64() / (load.Rate * t.Factor); at >= min(t.End(), w.Length) {
					break
				}
				add(at, byDest.draw(rng), 0, 0)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return list
}

// LoadFactor returns the factor on the rate of the load at the time now.
func (w *World) LoadFactor(now float64) float64 {
	factor, ramp := 1.0, w.Load.Ramp
	if i := slices.IndexFunc(ramp, func(p RampPoint) bool { return p.At > now }); len(ramp) > 0 {
		switch {
		case i == 0:
			factor = ramp[0].Factor
		case i < 0:
			factor = ramp[len(ramp)-1].Factor
		default:
			a, b := ramp[i-1], ramp[i]
			factor = a.Factor + (b.Factor-a.Factor)*(now-a.At)/(b.At-a.At)
		}
	}
	for _, t := range w.Troubles {
		if t.Kind == Surge && now >= t.At && now < t.End() {
			factor *= t.Factor
		}
	}
	return factor
}

// cumulativeShares are the running sums of a list of shares.
type cumulativeShares []float64

// newCumulativeShares returns the running sums of shares.
func newCumulativeShares(shares []float64) cumulativeShares {
	c := make(cumulativeShares, len(shares))
	sum := 0.0
	for i, s := range shares {
		sum += s
		c[i] = sum
	}
	return c
}

// draw returns a random index, each with a probability in proportion to its share.
func (c cumulativeShares) draw(rng *rand.Rand) int {
	i, _ := slices.BinarySearch(c, rng.Float64()*c[len(c)-1])
	return min(i, len(c)-1)
}

// ListDelay returns the seconds after which the list shows the drain, removal or addition of an endpoint.
func (w *World) ListDelay(e Endpoint) float64 {
	for i := range w.Faults {
		f := &w.Faults[i]
		if f.Kind == Drain && f.Dests[e.Dest] && (f.At == e.DrainsAt || f.At == e.AddedAt) {
			return f.ListDelay
		}
	}
	return 0
}

// SameIDShare returns the share of the hand-ins to a dispatcher whose IDs bad clients use at a time, in seconds.
func (w *World) SameIDShare(now float64, dispatcher int) float64 {
	share := 0.0
	for _, t := range w.ActiveTroubles(dispatcher, now, SameID) {
		if t.Share == 0 { // all
			return 1
		}
		share = max(share, t.Share)
	}
	return share
}

// ActiveTroubles returns the troubles of some kinds that act on a dispatcher or its agent at the time now, in the scenario's order.
func (w *World) ActiveTroubles(dispatcher int, now float64, kinds ...string) (active []Trouble) {
	for _, t := range w.Troubles {
		if slices.Contains(kinds, t.Kind) && now >= t.At && now < t.End() && t.AppliesToDispatcher(dispatcher) {
			active = append(active, t)
		}
	}
	return active
}

// AppliesToDispatcher reports whether a trouble of dispatchers affects the given one.
func (t Trouble) AppliesToDispatcher(dispatcher int) bool {
	return len(t.Dispatchers) == 0 || slices.Contains(t.Dispatchers, dispatcher)
}

// MinIdleTimeout returns the shortest idle timeout of all kinds, in seconds.
func (w *World) MinIdleTimeout() float64 {
	shortest := math.Inf(1)
	for _, k := range w.Kinds {
		shortest = min(shortest, k.IdleTimeout)
	}
	return shortest
}
