package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"orchiddrift/lab/scenario"
)

// The bounds of a plan. A wide plan adds a group of destinations with thousands of endpoints.
const (
	// The bounds of the number of dispatchers.
	minDispatchers, maxDispatchers = 10, 40
	// troublesPerSecond is how many faults begin per second, so that two or three overlap.
	troublesPerSecond = 1.1
	// quietStart is the time without faults at the start, in seconds.
	quietStart = 0.5
	// ratePerDispatcher is the load, in notifications a second for each dispatcher.
	ratePerDispatcher = 4.0
	// outOfTurnPerSecond is how many troubles begin per second in which endpoints or agents write what nobody asked for.
	outOfTurnPerSecond = 0.4
	// seriesPerSecond is how many series of signals begin per second.
	seriesPerSecond = 0.15
	// wideSeedInterval is the interval between the seeds that have a wide plan.
	wideSeedInterval = 6
	// The destinations of the wide group and the endpoints of each.
	wideDestinations, wideEndpoints = 800, 4
	// wideListeners is the number of listeners that the wide group shares.
	wideListeners = 10
	// wideShare is the share of the notifications that go to the wide group.
	wideShare = 0.3
	// maxWideDispatchers is the largest number of dispatchers in a wide plan.
	maxWideDispatchers = 12
	// floodSeedInterval is the interval between the seeds that have floods of idle connections.
	floodSeedInterval = 4
	// floodSockets is the limit of file descriptors of each dispatcher in a plan with floods.
	floodSockets = 128
)

// Plan is the plan of a seed: a scenario and the floods that go with it.
type Plan struct {
	*scenario.Scenario
	FloodedDispatchers []int // the dispatchers that get floods of idle connections
}

// newPlan draws the plan of a seed. length is the duration of the load in seconds. The same seed and length give the same plan.
func newPlan(seed uint64, length float64) (*Plan, error) {
	s, err := scenario.Open("calm")
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, planStream))
	s.Name, s.Title, s.Seed, s.Length = "soak", fmt.Sprintf("Soak of seed %d", seed), seed, length
	s.Topics, s.Kinds, s.Groups = slices.Clone(s.Topics), slices.Clone(s.Kinds), slices.Clone(s.Groups)
	d := &s.Dispatchers
	d.Count = minDispatchers + random.IntN(maxDispatchers-minDispatchers+1)
	wide := seed%wideSeedInterval == 0
	if wide {
		d.Count = min(d.Count, maxWideDispatchers)
	}
	d.KeyCooldown = []float64{0, 0.2, 0.5}[random.IntN(3)]
	d.MaxCalls = 4 + random.IntN(20)
	s.Load.Rate = ratePerDispatcher * float64(d.Count)
	s.Load.Clients, s.Load.Keys, s.Load.MaxLateness = 8, 20+random.IntN(60), 1
	for i := range s.Topics {
		t := &s.Topics[i]
		t.TTL = 2.5 + 4*random.Float64()
		t.Objective = min(t.Objective, t.TTL/3)
		if t.Repeat == scenario.Collapsible {
			t.DedupWindow = 1 + min(2, t.TTL-2)*random.Float64() // shorter than the TTL, so that a repeat can come after it
			t.DedupScope = []string{scenario.DedupScopeAll, scenario.DedupScopeZone}[random.IntN(2)]
		}
	}
	for range int(math.Ceil(troublesPerSecond * length)) {
		s.Troubles = append(s.Troubles, drawTrouble(s, random))
	}
	for range int(math.Ceil(seriesPerSecond * length)) {
		s.Troubles = append(s.Troubles, drawSeries(s, random)...)
	}
	outOfTurn := newRand(seed, outOfTurnStream) // of its own, so that the other faults of a seed do not depend on it
	for range int(math.Ceil(outOfTurnPerSecond * length)) {
		s.Troubles = append(s.Troubles, drawOutOfTurn(s, outOfTurn))
	}
	s.Troubles = append(s.Troubles, drawSameID(s, newRand(seed, sameIDStream))...)
	crowds := append(drawCrowds(s, newRand(seed, crowdStream)), drawUnreadCrowd(s, newRand(seed, unreadCrowdStream))...)
	if len(crowds) > 0 {
		s.Troubles = append(s.Troubles, crowds...)
		d.MemoryMB = crowdMemoryMB
	}
	if wide { // after the faults are drawn, so that they only affect destinations with listeners of their own
		group := s.Groups[len(s.Groups)-1]
		group.Count, group.Endpoints, group.SharedListeners, group.Share, group.Distribution = wideDestinations, wideEndpoints, wideListeners, wideShare, scenario.EvenShares
		s.Groups = append(s.Groups, group)
	}
	hasMove := false
	s.Troubles = slices.DeleteFunc(s.Troubles, func(t scenario.Trouble) bool { // an agent can move only once
		repeated := t.Kind == scenario.MoveAgent && hasMove
		hasMove = hasMove || t.Kind == scenario.MoveAgent
		return repeated
	})
	p := &Plan{Scenario: s}
	if hasFloods(seed) {
		d.Sockets = floodSockets
		p.FloodedDispatchers = random.Perm(d.Count)[:1+random.IntN(3)]
	}
	return p, nil
}

// hasFloods reports whether the plan of a seed has floods of idle connections.
func hasFloods(seed uint64) bool { return seed%floodSeedInterval == 1 }

// The random streams of a seed, one for each purpose.
const (
	planStream = iota + 101
	proxyStream
	clientStream
	answerStream
	terminatingStream
	outOfTurnStream
	copyStream
	sameIDStream
	crowdStream
	unreadCrowdStream
)

// drawTrouble draws one fault.
func drawTrouble(s *scenario.Scenario, random *rand.Rand) scenario.Trouble {
	t := scenario.Trouble{At: quietStart + random.Float64()*(s.Length-quietStart), Duration: 0.3 + 2.5*random.Float64()}
	pickDispatchers := func(limit int) {
		n := 1 + random.IntN(limit)
		t.Dispatchers = random.Perm(s.Dispatchers.Count)[:min(n, s.Dispatchers.Count)]
	}
	pickDestinations := func() { t.Destinations = random.Perm(countDestinations(s))[:1+random.IntN(2)] }
	third := max(1, s.Dispatchers.Count/3)
	switch kind := random.IntN(20); kind {
	case 0, 1:
		t.Kind, t.Wait = scenario.Kill, 0.2+0.6*random.Float64()
		pickDispatchers(third)
	case 2, 3:
		t.Kind, t.Wait = scenario.Restart, 0.2+0.6*random.Float64()
		pickDispatchers(third)
	case 4:
		t.Kind, t.Duration = scenario.Stall, 0.15*random.Float64()
		pickDispatchers(third)
	case 5:
		t.Kind, t.Duration = scenario.Stall, 0.5+2*random.Float64()
		pickDispatchers(3)
	case 6:
		t.Kind = scenario.ListDown
		pickDispatchers(s.Dispatchers.Count)
	case 7:
		t.Kind, t.Factor = scenario.ListSlow, 0.3+1.5*random.Float64()
		pickDispatchers(s.Dispatchers.Count)
	case 8:
		t.Kind = scenario.MoveAgent
		pickDispatchers(s.Dispatchers.Count)
	case 9, 10:
		t.Kind, t.Wait, t.ListDelay = scenario.Drain, 0.8+random.Float64(), 0.5*random.Float64()
		pickDestinations()
	case 11:
		t.Kind, t.Duration = scenario.Hang, t.Duration+1
		t.Endpoint = 1
		pickDestinations()
	case 12:
		t.Kind = scenario.Hang
		pickDestinations()
	case 13:
		t.Kind = scenario.RefuseConnections
		pickDestinations()
	case 14:
		t.Kind, t.Announced = scenario.RejectAll, random.IntN(2) == 0
		pickDestinations()
	case 15:
		t.Kind, t.Factor, t.Announced = scenario.ChangeLimit, 0.3+0.4*random.Float64(), random.IntN(2) == 0
		pickDestinations()
	case 16:
		t.Kind, t.Factor = scenario.Surge, 1.5+random.Float64()
	default:
		answerFaults := []string{scenario.FailCalls, scenario.LoseAnswers, scenario.ResetConnections, scenario.BreakReused, scenario.LateAnswers, scenario.TruncateAnswers, scenario.CorruptAnswers, scenario.CloseAfterAnswer}
		t.Kind, t.Share = answerFaults[random.IntN(len(answerFaults))], 0.1+0.4*random.Float64()
		pickDestinations()
	}
	return t
}

// drawSeries draws a series of signals to at most a third of the dispatchers, with faults of some destinations: they hang, or
// execute calls without an answer, when the first signal comes, so that calls are in flight, then refuse connections during some
// of the restarts that follow, and then recover.
func drawSeries(s *scenario.Scenario, random *rand.Rand) []scenario.Trouble {
	const minSignals, maxSignals = 3, 7
	signals := scenario.Trouble{Kind: scenario.SignalSeries, SignalCount: minSignals + random.IntN(maxSignals-minSignals+1), Duration: 2 + 2.5*random.Float64()}
	signals.At = quietStart + hangLead + random.Float64()*max(0, s.Length-quietStart-hangLead-signals.Duration)
	signals.Dispatchers = random.Perm(s.Dispatchers.Count)[:1+random.IntN(max(1, s.Dispatchers.Count/3))]
	chosen := random.Perm(countDestinations(s))[:2+random.IntN(2)]
	hang := scenario.Trouble{Kind: []string{scenario.Hang, scenario.LoseAnswers}[random.IntN(2)], At: signals.At - hangLead, Duration: hangLead + 0.1,
		Share: 1, Destinations: chosen}
	refuse := scenario.Trouble{Kind: scenario.RefuseConnections, At: hang.End(), Duration: signals.Duration * (0.3 + 0.4*random.Float64()), Destinations: chosen}
	return []scenario.Trouble{signals, hang, refuse}
}

// hangLead is how long before a series the faults of its destinations begin, in seconds.
const hangLead = 0.8

// sameIDShares are the shares of the hand-ins whose IDs bad clients use in a plan.
var sameIDShares = []float64{0, 0.02, 0.1, 0.5}

// drawSameID draws bad clients that use the IDs of other clients' hand-ins, or none.
func drawSameID(s *scenario.Scenario, random *rand.Rand) []scenario.Trouble {
	share := sameIDShares[random.IntN(len(sameIDShares))]
	if share == 0 {
		return nil
	}
	at := quietStart + random.Float64()*(s.Length-quietStart)/2
	return []scenario.Trouble{{Kind: scenario.SameID, At: at, Duration: s.Length - at, Share: share}}
}

// The crowds of a plan.
const (
	// crowdShare is the share of the plans that have crowds.
	crowdShare = 0.6
	// maxCrowds is the largest number of crowds in a plan, and maxCrowded the largest number of dispatchers that one comes to.
	maxCrowds, maxCrowded = 3, 3
	// descriptorsPerClient is the number of descriptors of a dispatcher for each of the clients of a crowd: clients hold at most a third.
	descriptorsPerClient = 3
	// crowdMemoryMB is the memory limit of a dispatcher in a plan with crowds. Its program holds the laboratory too.
	crowdMemoryMB = 64
)

// crowdSizes are the smallest and the largest number of clients of a crowd, by its kind.
var crowdSizes = map[string][2]int{scenario.SlowWriters: {40, 160}, scenario.HalfRequests: {40, 160}, scenario.ManyFields: {40, 160},
	scenario.WholeLarge: {10, 60}, scenario.Flood: {1, 1}, scenario.LeaveUnread: {1, 3}}

// crowdKinds lists the kinds of crowds in the order in which they are drawn.
var crowdKinds = []string{scenario.SlowWriters, scenario.HalfRequests, scenario.ManyFields, scenario.WholeLarge, scenario.Flood, scenario.LeaveUnread}

// drawCrowds draws crowds of bad clients at some dispatchers, or none.
func drawCrowds(s *scenario.Scenario, random *rand.Rand) (crowds []scenario.Trouble) {
	if random.Float64() >= crowdShare {
		return nil
	}
	sockets := s.Dispatchers.Sockets
	if hasFloods(s.Seed) {
		sockets = floodSockets
	}
	for range 1 + random.IntN(maxCrowds) {
		t := scenario.Trouble{Kind: crowdKinds[random.IntN(len(crowdKinds))], At: quietStart + random.Float64()*(s.Length-quietStart)/2,
			Duration: 1 + 3*random.Float64(), Dispatchers: random.Perm(s.Dispatchers.Count)[:1+random.IntN(maxCrowded)]}
		size := crowdSizes[t.Kind]
		t.Count = min(size[0]+random.IntN(size[1]-size[0]+1), sockets/descriptorsPerClient/maxCrowds)
		if t.Kind == scenario.Flood {
			t.Traffic = scenario.FloodTraffic[random.IntN(len(scenario.FloodTraffic))]
		}
		crowds = append(crowds, t)
	}
	return crowds
}

const (
	// unreadCrowdShare is the share of the plans that have a crowd which sends faster than it is read or does not read.
	unreadCrowdShare = 0.4
	// The smallest and the largest number of clients of such a crowd.
	minUnreadClients, maxUnreadClients = 10, 80
)

// unreadCrowdKinds lists the kinds of those crowds.
var unreadCrowdKinds = []string{scenario.PipelinedLarge, scenario.AnswersUnread, scenario.MetricsFlood}

// drawUnreadCrowd draws a crowd at one dispatcher that sends faster than it is read or does not read its answers, or none.
func drawUnreadCrowd(s *scenario.Scenario, random *rand.Rand) []scenario.Trouble {
	if random.Float64() >= unreadCrowdShare {
		return nil
	}
	sockets := s.Dispatchers.Sockets
	if hasFloods(s.Seed) {
		sockets = floodSockets
	}
	return []scenario.Trouble{{Kind: unreadCrowdKinds[random.IntN(len(unreadCrowdKinds))], At: quietStart + random.Float64()*(s.Length-quietStart)/2,
		Duration: 1 + 2*random.Float64(), Dispatchers: []int{random.IntN(s.Dispatchers.Count)},
		Count: min(minUnreadClients+random.IntN(maxUnreadClients-minUnreadClients+1), sockets/descriptorsPerClient/maxCrowds)}}
}

// countDestinations returns the number of destinations in a scenario.
func countDestinations(s *scenario.Scenario) int {
	n := 0
	for _, g := range s.Groups {
		n += g.Count
	}
	return n
}
