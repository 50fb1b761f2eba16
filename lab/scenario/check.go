package scenario

import (
	"fmt"
	"slices"
)

// troubleKinds lists all kinds of trouble. Those that affect partners come first, up to Drain.
var troubleKinds = []string{RefuseConnections, Hang, FailCalls, SlowAnswers, LoseAnswers, ResetConnections, BreakReused, LateAnswers,
	TruncateAnswers, CorruptAnswers, CloseAfterAnswer, CopyAnswers, StrayAnswers, RejectAll, ChangeLimit, Drain, Kill, Restart, Stall, ListDown, ListSlow, AgentCopies, AgentStrays, AgentLost, SignalSeries, MoveAgent, SameID, Surge, HotClient, BusyDisk,
	SlowWriters, HalfRequests, ManyFields, WholeLarge, Flood, LeaveUnread, PipelinedLarge, AnswersUnread, MetricsFlood}

// AffectsPartners reports whether the trouble affects the endpoints of destinations.
func (t Trouble) AffectsPartners() bool {
	return slices.Index(troubleKinds, t.Kind) <= slices.Index(troubleKinds, Drain)
}

// AffectsDispatchers reports whether the trouble affects dispatchers or their agents.
func (t Trouble) AffectsDispatchers() bool {
	return slices.Contains([]string{Kill, Restart, Stall, SignalSeries, ListDown, ListSlow, AgentCopies, AgentStrays, AgentLost, MoveAgent, SameID}, t.Kind)
}

// Upper bounds of a scenario. They keep a run within the resources of one machine and limit its duration.
const (
	maxLength       = 600     // seconds
	maxRate         = 100_000 // notifications per second
	maxDestinations = 50_000
	maxDispatchers  = 64
	maxListeners    = 15_000 // listening sockets of all endpoints
)

// validate returns all errors of a scenario. Each begins with the key of the invalid value.
func validate(s *Scenario) []error {
	var errs []error
	addError := func(key, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...)))
	}
	checkRange := func(key string, v, lowest, highest float64) {
		if !(v >= lowest && v <= highest) {
			addError(key, "cannot be %v: give %v to %v", v, lowest, highest)
		}
	}
	checkWord := func(key, v string, allowed ...string) {
		if !slices.Contains(allowed, v) {
			addError(key, "cannot be %q: did you mean %q?", v, ClosestMatch(v, allowed))
		}
	}
	checkRange("length", s.Length, 0.5, maxLength)
	d := s.Dispatchers
	checkRange("dispatchers.count", float64(d.Count), 1, maxDispatchers)
	checkRange("dispatchers.slots", float64(d.MaxCalls), 2, 100_000)
	checkRange("dispatchers.held", float64(d.MaxHeld), 1, 1e6)
	checkRange("dispatchers.pushes", float64(d.MaxPushes), 1, 100)
	checkRange("dispatchers.tick", d.TickInterval, 0.0005, 1)
	checkRange("dispatchers.dial", d.DialTimeout, 0.01, 10)
	checkRange("dispatchers.cores", d.Cores, 0.1, 64)
	checkRange("dispatchers.memory", d.MemoryMB, 16, 1e5)
	checkRange("dispatchers.sockets", float64(d.Sockets), 32, 1e6)
	checkRange("dispatchers.disk", d.DiskMB, 0.1, 1e5)
	checkRange("returns.cold_from", s.Recovery.InitialCapacityShare, 0.01, 1)
	checkRange("returns.cold_span", s.Recovery.WarmUp, 0.1, 600)
	checkRange("returns.multiple", s.Recovery.OverloadFactor, 1, 100)
	checkRange("returns.fall", s.Recovery.OverloadSpan, 0.1, 60)

	if len(s.Topics) == 0 {
		addError("topics", "missing: add at least one [[topics]] with name, repeat, objective and ttl")
	}
	names := map[string]bool{}
	for i, t := range s.Topics {
		prefix := fmt.Sprintf("topics[%d].", i)
		if t.Name == "" || names[t.Name] {
			addError(prefix+"name", "cannot be %q: each topic type needs a unique name", t.Name)
		}
		names[t.Name] = true
		checkWord(prefix+"repeat", t.Repeat, Repeatable, Collapsible, OnceOnly)
		checkWord(prefix+"group", t.DedupScope, DedupScopeAll, DedupScopeZone)
		checkRange(prefix+"objective", t.Objective, 0.01, 600)
		checkRange(prefix+"ttl", t.TTL, max(0.05, t.Objective), 600)
		checkRange(prefix+"late_benefit", t.LateBenefit, 0, 1)
		checkRange(prefix+"share", t.Share, 0, 1e6)
	}
	names = map[string]bool{}
	for i, t := range s.Tenants {
		if t.Name == "" || names[t.Name] {
			addError(fmt.Sprintf("tenants[%d].name", i), "cannot be %q: each tenant needs a unique name", t.Name)
		}
		names[t.Name] = true
		checkRange(fmt.Sprintf("tenants[%d].share", i), t.Share, 0, 1e6)
	}
	kinds := map[string]bool{}
	for i, k := range s.Kinds {
		prefix := fmt.Sprintf("kinds[%d].", i)
		if k.Name == "" || kinds[k.Name] {
			addError(prefix+"name", "cannot be %q: each kind needs a unique name", k.Name)
		}
		kinds[k.Name] = true
		checkWord(prefix+"limit", k.LimitKind, NoLimit, RateLimit, WindowLimit)
		checkRange(prefix+"batch", float64(k.BatchSize), 1, 1000)
		checkRange(prefix+"tell_wait", k.ToldWaitShare, 0, 1)
		checkRange(prefix+"window", k.LimitWindow, 0.01, 600)
		checkRange(prefix+"idle", k.IdleTimeout, 0.05, 600)
		checkRange(prefix+"handshake", k.HandshakeDelay, 0, 10)
		checkRange(prefix+"connections", float64(k.MaxConnections), 0, 1e6)
	}
	if len(s.Groups) == 0 {
		addError("destinations", "missing: add at least one [[destinations]] with count and kind")
	}
	destinations, listeners := 0, 0
	for i, g := range s.Groups {
		prefix := fmt.Sprintf("destinations[%d].", i)
		if !kinds[g.Kind] {
			addError(prefix+"kind", "unknown kind %q: add it under [[kinds]]", g.Kind)
		}
		checkRange(prefix+"count", float64(g.Count), 1, maxDestinations)
		checkRange(prefix+"endpoints", float64(g.Endpoints), 1, 16)
		checkWord(prefix+"spread", g.Distribution, EvenShares, ZipfShares, ListedShares)
		if g.Distribution == ListedShares && len(g.Shares) != g.Count {
			addError(prefix+"shares", "has %d numbers: give one for each of the %d destinations", len(g.Shares), g.Count)
		}
		checkRange(prefix+"room", g.CapacityFactor, 0.01, 1000)
		checkRange(prefix+"service", g.ServiceTime, 0, 60)
		checkRange(prefix+"service_spread", g.ServiceSigma, 0, 3)
		checkRange(prefix+"pace_spread", g.MedianSigma, 0, 3)
		checkRange(prefix+"listeners", float64(g.SharedListeners), 0, 10_000)
		destinations += g.Count
		if listeners += g.SharedListeners * g.Endpoints; g.SharedListeners == 0 {
			listeners += g.Count * g.Endpoints
		}
	}
	if destinations > maxDestinations {
		addError("destinations", "total count is %d: give %d at most", destinations, maxDestinations)
	}
	if listeners > maxListeners {
		addError("destinations", "need %d listeners, more than %d: set listeners to let destinations share them", listeners, maxListeners)
	}
	load := s.Load
	checkRange("load.rate", load.Rate, 0.1, maxRate)
	checkRange("load.closed", float64(load.ClosedLoop), 0, 10_000)
	checkRange("load.clients", float64(load.Clients), 1, 1000)
	checkRange("load.clumps", load.BurstShare, 0, 1)
	checkRange("load.clump_size", float64(load.BurstSize), 1, 10_000)
	checkRange("load.keys", float64(load.Keys), 1, 1e6)
	checkRange("load.body", float64(load.BodyBytes), 0, 48<<10)
	checkRange("load.retries", float64(load.MaxRetries), 0, 20)
	checkRange("load.retry_wait", load.RetryDelay, 0.01, 60)
	checkRange("load.late_bound", load.MaxLateness, 0.001, 10)
	for i, p := range load.Ramp {
		checkRange(fmt.Sprintf("load.ramp[%d].factor", i), p.Factor, 0, 1000)
		if i > 0 && p.At <= load.Ramp[i-1].At {
			addError(fmt.Sprintf("load.ramp[%d].at", i), "cannot be %v: points must be in ascending order of time", p.At)
		}
	}
	if load.Rate*s.Length > 5e6 {
		addError("load.rate", "gives %.0f notifications over the length of the run: 5,000,000 at most", load.Rate*s.Length)
	}
	for i, t := range s.Troubles {
		prefix := fmt.Sprintf("troubles[%d].", i)
		checkWord(prefix+"kind", t.Kind, troubleKinds...)
		checkRange(prefix+"at", t.At, 0, s.Length)
		checkRange(prefix+"for", t.Duration, 0, maxLength)
		checkRange(prefix+"share", t.Share, 0, 1)
		checkRange(prefix+"factor", t.Factor, 0, 1000)
		checkRange(prefix+"times", float64(t.SignalCount), 0, 100)
		checkRange(prefix+"lag", t.MinLag, 0, 60)
		checkRange(prefix+"max_lag", t.MaxLag, t.MinLag, 60)
		if t.Traffic != "" {
			checkWord(prefix+"sends", t.Traffic, FloodTraffic...)
		}
		checkRange(prefix+"copies", float64(t.Copies), 0, 100)
		if t.AffectsPartners() {
			if len(t.Destinations) == 0 {
				checkWord(prefix+"pick", t.Pick, "largest", "smallest", "random", "all")
				if (t.Kind == RefuseConnections || t.Kind == Drain) && slices.ContainsFunc(s.Groups, func(g DestinationGroup) bool { return g.SharedListeners > 0 }) {
					addError(prefix+"pick", "cannot be used with %s where destinations share listeners: list destinations that do not", t.Kind)
				}
			}
			for _, dest := range t.Destinations {
				if dest < 0 || dest >= destinations {
					addError(prefix+"destinations", "there is no destination %d: they are numbered from 0 to %d", dest, destinations-1)
				} else if (t.Kind == RefuseConnections || t.Kind == Drain) && s.groupOf(dest).SharedListeners > 0 {
					addError(prefix+"destinations", "destination %d shares its listeners, and %s would affect the others too: set listeners to 0", dest, t.Kind)
				}
			}
		}
		for _, dispatcher := range t.Dispatchers {
			if dispatcher < 0 || dispatcher >= d.Count {
				addError(prefix+"dispatchers", "there is no dispatcher %d: they are numbered from 0 to %d", dispatcher, d.Count-1)
			}
		}
	}
	return errs
}

// groupOf returns the group of a destination, or the last group if there is no such destination.
func (s *Scenario) groupOf(dest int) DestinationGroup {
	for _, g := range s.Groups {
		if dest < g.Count {
			return g
		}
		dest -= g.Count
	}
	return s.Groups[len(s.Groups)-1]
}
