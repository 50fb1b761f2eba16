package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// World is what a scenario makes: the same one for the same scenario and seed.
type World struct {
	*Scenario
	Partners []Partner
	Faults   []Fault // troubles with their destinations chosen
}

// Partner is a destination with its endpoints.
type Partner struct {
	Dest             int
	Kind             Kind
	Share            float64 // of all notifications
	Rate             float64 // calls a second that it can take once warm
	ServiceTime      float64 // median time of a call
	ServiceSigma     float64 // sigma of its logarithm
	SlotsPerEndpoint int     // calls that one endpoint serves at once
	Endpoints        []Endpoint
}

// Endpoint is one of a destination's servers. Endpoints of the same Listener share an address.
type Endpoint struct {
	ID        string
	Dest      int
	Number    int // within its destination; the one that takes its place has the same
	Zone      string
	Index     int // among all that its destination has in the run
	Listener  int
	AddedAt   float64 // it is there from this moment on
	DrainsAt  float64 // the drain begins; 0: never
	RemovedAt float64 // and ends
}

// Zones are those in which a destination's endpoints stand, in turn.
var Zones = []string{"a", "b"}

// Fault is a trouble of destinations, with those chosen.
type Fault struct {
	Trouble
	Dests map[int]bool
}

// ActiveOn tells whether a fault of a kind concerns an endpoint at a moment.
func (f *Fault) ActiveOn(kind string, now float64, e Endpoint) bool {
	return f.Kind == kind && now >= f.At && now < f.End() && f.AppliesTo(e)
}

// AppliesTo tells whether it concerns an endpoint at all.
func (f *Fault) AppliesTo(e Endpoint) bool {
	return f.Dests[e.Dest] && (f.Endpoint == 0 || f.Endpoint == e.Number+1)
}

// random returns the scenario's chance for one purpose.
func (s *Scenario) random(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, purpose)) }

const (
	forPaces = iota + 1
	forPicks
	forArrivals
)

// NewWorld makes the world of a scenario.
func NewWorld(s *Scenario) *World {
	w := &World{Scenario: s}
	paces, groups := s.random(forPaces), 0.0
	for _, g := range s.Groups {
		groups += g.Share
	}
	listeners := 0
	for _, g := range s.Groups {
		kind := s.Kinds[slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == g.Kind })]
		shares := g.shares()
		for i, share := range shares {
			p := Partner{Dest: len(w.Partners), Kind: kind, Share: share * g.Share / groups, ServiceSigma: g.ServiceSigma,
				ServiceTime: g.ServiceTime * math.Exp(g.MedianSigma*paces.NormFloat64())}
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
	picks := s.random(forPicks)
	for _, t := range s.Troubles {
		if t.AffectsPartners() {
			w.Faults = append(w.Faults, Fault{t, w.pick(t, picks)})
		}
	}
	slices.SortStableFunc(w.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	for _, f := range w.Faults {
		if f.Kind == Drain {
			listeners = w.replace(f, listeners)
		}
	}
	return w
}

// replace drains the endpoints that a fault concerns and puts others in their place.
func (w *World) replace(f Fault, listeners int) int {
	for i := range w.Partners {
		p := &w.Partners[i]
		for n, e := range p.Endpoints {
			if e.RemovedAt > 0 || e.AddedAt > f.At || !f.AppliesTo(e) {
				continue
			}
			p.Endpoints[n].DrainsAt, p.Endpoints[n].RemovedAt = f.At, f.At+f.Wait
			next := Endpoint{ID: fmt.Sprintf("e%d-%d", p.Dest, len(p.Endpoints)), Dest: p.Dest, Number: e.Number, Zone: e.Zone,
				Index: len(p.Endpoints), Listener: listeners, AddedAt: f.At}
			p.Endpoints = append(p.Endpoints, next)
			listeners++
		}
	}
	return listeners
}

// SharesListener tells whether an endpoint's listener stands for others too.
func (w *World) SharesListener(e Endpoint) bool {
	return e.AddedAt == 0 && w.group(e.Dest).SharedListeners > 0
}

// shares are how a group's destinations share its traffic, 1 in all.
func (g DestinationGroup) shares() []float64 {
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

// pick chooses a trouble's destinations.
func (w *World) pick(t Trouble, chance *rand.Rand) map[int]bool {
	order := make([]int, len(w.Partners))
	for i := range order {
		order[i] = i
	}
	switch t.Pick {
	case "random":
		chance.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
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
	for _, d := range order {
		chosen[d] = true
	}
	return chosen
}

// CapacityShare is the share of its capacity that a destination has at a moment: less than 1 for a while after an outage.
// During one it is that of its first moment back.
func (w *World) CapacityShare(dest int, now float64) float64 {
	warmth, latest := 1.0, math.Inf(-1)
	for i := range w.Faults {
		f := &w.Faults[i]
		if !f.CausesOutage() || f.ReturnsWarm || !f.Dests[dest] || f.Endpoint > 0 || now < f.At || f.At < latest {
			continue
		}
		latest = f.At
		warmth = min(1, w.Recovery.InitialCapacity+(1-w.Recovery.InitialCapacity)*max(0, now-f.End())/w.Recovery.WarmUp)
	}
	return warmth
}

// InOutage tells whether a destination has an outage at a moment.
func (w *World) InOutage(dest int, now float64) bool {
	return slices.ContainsFunc(w.Faults, func(f Fault) bool {
		return f.CausesOutage() && f.Endpoint == 0 && f.Dests[dest] && now >= f.At && now < f.End()
	})
}

// ListedRate is a destination's rate as the list tells it.
func (p *Partner) ListedRate() float64 { return math.Round(p.Rate*100) / 100 }

// Arrival is one notification of the plan.
type Arrival struct {
	At     float64
	Topic  int
	Tenant int
	Dest   int
	Client int
	Key    int // of an ordered topic type, else 0
}

// Arrivals plans the whole load.
func (w *World) Arrivals() []Arrival {
	chance := w.random(forArrivals)
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
	byTopic, byTenant, byDest := sums(topics), sums(tenants), sums(dests)
	keys := max(1, w.Load.Keys/len(w.Partners))
	l := w.Load
	events := l.Rate * (1 - l.BurstShare + l.BurstShare/float64(l.BurstSize)) // a clump is one event
	clump := l.BurstShare / float64(l.BurstSize) / (1 - l.BurstShare + l.BurstShare/float64(l.BurstSize))
	var list []Arrival
	add := func(at float64, dest, client, tenant int) {
		a := Arrival{At: at, Dest: dest, Client: client, Tenant: tenant, Topic: byTopic.draw(chance)}
		if w.Topics[a.Topic].Ordered {
			a.Key = 1 + chance.IntN(keys)
		}
		list = append(list, a)
	}
	const least = 1e-3 // of the rate: where the factor is 0 the plan looks again soon
	for at := 0.0; ; {
		factor := w.LoadFactor(at)
		at += min(chance.ExpFloat64()/(events*max(factor, least)), 0.1)
		if at >= w.Length {
			break
		}
		if factor == 0 || w.LoadFactor(at) == 0 {
			continue
		}
		dest, client, tenant := byDest.draw(chance), chance.IntN(l.Clients), byTenant.draw(chance)
		n := 1
		if chance.Float64() < clump {
			n = l.BurstSize
		}
		for range n {
			add(at, dest, client, tenant)
		}
	}
	for _, t := range w.Troubles {
		if t.Kind == HotClient {
			for at := t.At; ; {
				if at += chance.ExpFloat64() / (l.Rate * t.Factor); at >= min(t.End(), w.Length) {
					break
				}
				add(at, byDest.draw(chance), 0, 0)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return list
}

// LoadFactor is how many times the usual the load is at a moment.
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

// cumulated shares draw one of a list by its share.
type cumulated []float64

func sums(shares []float64) cumulated {
	c := make(cumulated, len(shares))
	sum := 0.0
	for i, s := range shares {
		sum += s
		c[i] = sum
	}
	return c
}

func (c cumulated) draw(chance *rand.Rand) int {
	i, _ := slices.BinarySearch(c, chance.Float64()*c[len(c)-1])
	return min(i, len(c)-1)
}

// ListDelay is how much later than it happens the list tells what becomes of an endpoint.
func (w *World) ListDelay(e Endpoint) float64 {
	for i := range w.Faults {
		f := &w.Faults[i]
		if f.Kind == Drain && f.Dests[e.Dest] && (f.At == e.DrainsAt || f.At == e.AddedAt) {
			return f.ListDelay
		}
	}
	return 0
}

// AppliesToDispatcher tells whether a trouble of dispatchers is one of this.
func (t Trouble) AppliesToDispatcher(dispatcher int) bool {
	return len(t.Dispatchers) == 0 || slices.Contains(t.Dispatchers, dispatcher)
}

// MinIdleTimeout is when the first kind's idle connections are closed at the latest.
func (w *World) MinIdleTimeout() float64 {
	least := math.Inf(1)
	for _, k := range w.Kinds {
		least = min(least, k.IdleTimeout)
	}
	return least
}
