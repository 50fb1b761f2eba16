package scenario

import (
	"fmt"
	"slices"
)

var troubles = []string{RefuseConnections, Hang, FailCalls, SlowAnswers, LoseAnswers, ResetConnections, BreakReused, LateAnswers, TruncateAnswers, CorruptAnswers, CloseAfterAnswer, RejectAll, ChangeLimit, Drain, Kill, Restart, Stall,
	ListDown, ListSlow, SignalSeries, MoveAgent, Surge, HotClient, BusyDisk}

// AffectsPartners tells whether a trouble is one of destinations' endpoints.
func (t Trouble) AffectsPartners() bool {
	return slices.Index(troubles, t.Kind) <= slices.Index(troubles, Drain)
}

// AffectsDispatchers tells whether it is one of dispatchers or what is beside them.
func (t Trouble) AffectsDispatchers() bool {
	return slices.Contains([]string{Kill, Restart, Stall, SignalSeries, ListDown, ListSlow, MoveAgent}, t.Kind)
}

// The sizes that a run is bounded by: it stops by itself, on one machine.
const (
	mostLength       = 600
	mostRate         = 100_000
	mostDestinations = 50_000
	mostDispatchers  = 64
	mostEndpoints    = 15_000 // listeners of their own
)

// check tells all that is wrong with a scenario.
func check(s *Scenario) []error {
	var all []error
	bad := func(key, format string, args ...any) {
		all = append(all, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...)))
	}
	between := func(key string, v, least, most float64) {
		if !(v >= least && v <= most) {
			bad(key, "cannot be %v: give %v to %v", v, least, most)
		}
	}
	word := func(key, v string, list ...string) {
		if !slices.Contains(list, v) {
			bad(key, "cannot be %q: did you mean %q?", v, ClosestMatch(v, list))
		}
	}
	between("length", s.Length, 0.5, mostLength)
	d := s.Dispatchers
	between("dispatchers.count", float64(d.Count), 1, mostDispatchers)
	between("dispatchers.slots", float64(d.MaxCalls), 2, 100_000)
	between("dispatchers.held", float64(d.MaxHeld), 1, 1e6)
	between("dispatchers.pushes", float64(d.MaxPushes), 1, 100)
	between("dispatchers.tick", d.TickInterval, 0.0005, 1)
	between("dispatchers.dial", d.DialTimeout, 0.01, 10)
	between("dispatchers.cores", d.Cores, 0.1, 64)
	between("dispatchers.memory", d.MemoryMB, 16, 1e5)
	between("dispatchers.sockets", float64(d.Sockets), 32, 1e6)
	between("dispatchers.disk", d.DiskMB, 0.1, 1e5)
	between("returns.cold_from", s.Recovery.InitialCapacity, 0.01, 1)
	between("returns.cold_span", s.Recovery.WarmUp, 0.1, 600)
	between("returns.multiple", s.Recovery.OverloadFactor, 1, 100)
	between("returns.fall", s.Recovery.OverloadSpan, 0.1, 60)

	if len(s.Topics) == 0 {
		bad("topics", "there are none: add a [[topics]] with name, repeat, objective and ttl")
	}
	names := map[string]bool{}
	for i, t := range s.Topics {
		at := fmt.Sprintf("topics[%d].", i)
		if t.Name == "" || names[t.Name] {
			bad(at+"name", "cannot be %q: each topic type needs a name of its own", t.Name)
		}
		names[t.Name] = true
		word(at+"repeat", t.Repeat, Repeatable, Collapsible, OnceOnly)
		word(at+"group", t.DedupScope, DedupScopeAll, DedupScopeZone)
		between(at+"objective", t.Objective, 0.01, 600)
		between(at+"ttl", t.TTL, max(0.05, t.Objective), 600)
		between(at+"late_benefit", t.LateBenefit, 0, 1)
		between(at+"share", t.Share, 0, 1e6)
	}
	names = map[string]bool{}
	for i, t := range s.Tenants {
		if t.Name == "" || names[t.Name] {
			bad(fmt.Sprintf("tenants[%d].name", i), "cannot be %q: each tenant needs a name of its own", t.Name)
		}
		names[t.Name] = true
		between(fmt.Sprintf("tenants[%d].share", i), t.Share, 0, 1e6)
	}
	kinds := map[string]bool{}
	for i, k := range s.Kinds {
		at := fmt.Sprintf("kinds[%d].", i)
		if k.Name == "" || kinds[k.Name] {
			bad(at+"name", "cannot be %q: each kind needs a name of its own", k.Name)
		}
		kinds[k.Name] = true
		word(at+"limit", k.LimitKind, NoLimit, RateLimit, WindowLimit)
		between(at+"batch", float64(k.BatchSize), 1, 1000)
		between(at+"tell_wait", k.ToldWaitShare, 0, 1)
		between(at+"window", k.LimitWindow, 0.01, 600)
		between(at+"idle", k.IdleTimeout, 0.05, 600)
		between(at+"handshake", k.HandshakeDelay, 0, 10)
		between(at+"connections", float64(k.MaxConnections), 0, 1e6)
	}
	if len(s.Groups) == 0 {
		bad("destinations", "there are none: add a [[destinations]] with count and kind")
	}
	n, listeners := 0, 0
	for i, g := range s.Groups {
		at := fmt.Sprintf("destinations[%d].", i)
		if !kinds[g.Kind] {
			bad(at+"kind", "%q is no kind: add it under [[kinds]]", g.Kind)
		}
		between(at+"count", float64(g.Count), 1, mostDestinations)
		between(at+"endpoints", float64(g.Endpoints), 1, 16)
		word(at+"spread", g.Distribution, EvenShares, ZipfShares, ListedShares)
		if g.Distribution == ListedShares && len(g.Shares) != g.Count {
			bad(at+"shares", "holds %d numbers: give one for each of the %d destinations", len(g.Shares), g.Count)
		}
		between(at+"room", g.CapacityFactor, 0.01, 1000)
		between(at+"service", g.ServiceTime, 0, 60)
		between(at+"service_spread", g.ServiceSigma, 0, 3)
		between(at+"pace_spread", g.MedianSigma, 0, 3)
		between(at+"listeners", float64(g.SharedListeners), 0, 10_000)
		n += g.Count
		if listeners += g.SharedListeners * g.Endpoints; g.SharedListeners == 0 {
			listeners += g.Count * g.Endpoints
		}
	}
	if n > mostDestinations {
		bad("destinations", "count %d in all: %d at most", n, mostDestinations)
	}
	if listeners > mostEndpoints {
		bad("destinations", "want %d listeners: %d at most; let destinations share some with listeners", listeners, mostEndpoints)
	}
	l := s.Load
	between("load.rate", l.Rate, 0.1, mostRate)
	between("load.closed", float64(l.ClosedLoop), 0, 10_000)
	between("load.clients", float64(l.Clients), 1, 1000)
	between("load.clumps", l.BurstShare, 0, 1)
	between("load.clump_size", float64(l.BurstSize), 1, 10_000)
	between("load.keys", float64(l.Keys), 1, 1e6)
	between("load.body", float64(l.BodyBytes), 0, 48<<10)
	between("load.retries", float64(l.MaxRetries), 0, 20)
	between("load.retry_wait", l.RetryDelay, 0.01, 60)
	between("load.late_bound", l.MaxLateness, 0.001, 10)
	for i, p := range l.Ramp {
		between(fmt.Sprintf("load.ramp[%d].factor", i), p.Factor, 0, 1000)
		if i > 0 && p.At <= l.Ramp[i-1].At {
			bad(fmt.Sprintf("load.ramp[%d].at", i), "cannot be %v: points go up in time", p.At)
		}
	}
	if l.Rate*s.Length > 5e6 {
		bad("load.rate", "asks for %.0f notifications in all: 5,000,000 at most", l.Rate*s.Length)
	}
	for i, t := range s.Troubles {
		at := fmt.Sprintf("troubles[%d].", i)
		word(at+"kind", t.Kind, troubles...)
		between(at+"at", t.At, 0, s.Length)
		between(at+"for", t.Duration, 0, mostLength)
		between(at+"share", t.Share, 0, 1)
		between(at+"factor", t.Factor, 0, 1000)
		between(at+"times", float64(t.SignalCount), 0, 100)
		if t.AffectsPartners() {
			if len(t.Destinations) == 0 {
				word(at+"pick", t.Pick, "largest", "smallest", "random", "all")
				if (t.Kind == RefuseConnections || t.Kind == Drain) && slices.ContainsFunc(s.Groups, func(g DestinationGroup) bool { return g.SharedListeners > 0 }) {
					bad(at+"pick", "cannot be used with %s where destinations share listeners: name destinations that do not", t.Kind)
				}
			}
			for _, x := range t.Destinations {
				if x < 0 || x >= n {
					bad(at+"destinations", "%d is not there: they go from 0 to %d", x, n-1)
				} else if (t.Kind == RefuseConnections || t.Kind == Drain) && s.group(x).SharedListeners > 0 {
					bad(at+"destinations", "%d shares its listener, which %s would take from others: set listeners to 0", x, t.Kind)
				}
			}
		}
		for _, x := range t.Dispatchers {
			if x < 0 || x >= d.Count {
				bad(at+"dispatchers", "%d is not there: they go from 0 to %d", x, d.Count-1)
			}
		}
	}
	return all
}

// group is the group that a destination belongs to.
func (s *Scenario) group(dest int) DestinationGroup {
	for _, g := range s.Groups {
		if dest < g.Count {
			return g
		}
		dest -= g.Count
	}
	return s.Groups[len(s.Groups)-1]
}
