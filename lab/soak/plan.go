package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"orchiddrift/lab/scenario"
)

// The bounds of a plan.
const (
	fewestDispatchers, mostDispatchers = 10, 40
	troublesPerSecond                  = 1.1 // begin, so that two or three overlap
	quietStart                         = 0.5
	perDispatcher                      = 4.0 // notifications a second
	seriesPerSecond                    = 0.15
	wideEvery                          = 6 // one seed in so many has a world of thousands of endpoints
	wideDestinations, wideEndpoints    = 800, 4
	wideListeners                      = 10  // that its destinations share
	wideShare                          = 0.3 // of the notifications go there
	wideMost                           = 12  // dispatchers in such a world
	crowdEvery                         = 4   // one seed in so many has a crowd
	crowdSockets                       = 128 // descriptors of a dispatcher there
)

// Plan is what a seed plays.
type Plan struct {
	*scenario.Scenario
	FloodedDispatchers []int // the dispatchers that a crowd of idle clients comes to
}

// plan makes the scenario of a seed: the same one for the same seed and length.
func plan(seed uint64, length float64) (*Plan, error) {
	s, err := scenario.Open("calm")
	if err != nil {
		return nil, err
	}
	chance := rand.New(rand.NewPCG(seed, forPlan))
	s.Name, s.Title, s.Seed, s.Length = "soak", fmt.Sprintf("Soak of seed %d", seed), seed, length
	s.Topics, s.Kinds, s.Groups = slices.Clone(s.Topics), slices.Clone(s.Kinds), slices.Clone(s.Groups)
	d := &s.Dispatchers
	d.Count = fewestDispatchers + chance.IntN(mostDispatchers-fewestDispatchers+1)
	wide := seed%wideEvery == 0
	if wide {
		d.Count = min(d.Count, wideMost)
	}
	d.KeyCooldown = []float64{0, 0.2, 0.5}[chance.IntN(3)]
	d.MaxCalls = 4 + chance.IntN(20)
	s.Load.Rate = perDispatcher * float64(d.Count)
	s.Load.Clients, s.Load.Keys, s.Load.MaxLateness = 8, 20+chance.IntN(60), 1
	for i := range s.Topics {
		t := &s.Topics[i]
		t.TTL = 2.5 + 4*chance.Float64()
		t.Objective = min(t.Objective, t.TTL/3)
		if t.Repeat == scenario.Collapsible {
			t.DedupWindow = 1 + min(2, t.TTL-2)*chance.Float64() // repeats are forgotten while there is time for one
			t.DedupScope = []string{scenario.DedupScopeAll, scenario.DedupScopeZone}[chance.IntN(2)]
		}
	}
	for range int(math.Ceil(troublesPerSecond * length)) {
		s.Troubles = append(s.Troubles, trouble(s, chance))
	}
	for range int(math.Ceil(seriesPerSecond * length)) {
		s.Troubles = append(s.Troubles, series(s, chance)...)
	}
	if wide { // last: troubles are of the destinations that have listeners of their own
		group := s.Groups[len(s.Groups)-1]
		group.Count, group.Endpoints, group.SharedListeners, group.Share, group.Distribution = wideDestinations, wideEndpoints, wideListeners, wideShare, scenario.EvenShares
		s.Groups = append(s.Groups, group)
	}
	moved := false
	s.Troubles = slices.DeleteFunc(s.Troubles, func(t scenario.Trouble) bool { // an agent moves once
		again := t.Kind == scenario.MoveAgent && moved
		moved = moved || t.Kind == scenario.MoveAgent
		return again
	})
	p := &Plan{Scenario: s}
	if seed%crowdEvery == 1 {
		d.Sockets = crowdSockets
		p.FloodedDispatchers = chance.Perm(d.Count)[:1+chance.IntN(3)]
	}
	return p, nil
}

// Purposes of a seed's chance.
const (
	forPlan = iota + 101
	forProxies
	forClients
	forAnswers
	forLeaving
)

// trouble draws one trouble.
func trouble(s *scenario.Scenario, chance *rand.Rand) scenario.Trouble {
	t := scenario.Trouble{At: quietStart + chance.Float64()*(s.Length-quietStart), Duration: 0.3 + 2.5*chance.Float64()}
	ofDispatchers := func(most int) {
		n := 1 + chance.IntN(most)
		t.Dispatchers = chance.Perm(s.Dispatchers.Count)[:min(n, s.Dispatchers.Count)]
	}
	ofPartners := func() { t.Destinations = chance.Perm(destinations(s))[:1+chance.IntN(2)] }
	third := max(1, s.Dispatchers.Count/3)
	switch kind := chance.IntN(20); kind {
	case 0, 1:
		t.Kind, t.Wait = scenario.Kill, 0.2+0.6*chance.Float64()
		ofDispatchers(third)
	case 2, 3:
		t.Kind, t.Wait = scenario.Restart, 0.2+0.6*chance.Float64()
		ofDispatchers(third)
	case 4:
		t.Kind, t.Duration = scenario.Stall, 0.15*chance.Float64()
		ofDispatchers(third)
	case 5:
		t.Kind, t.Duration = scenario.Stall, 0.5+2*chance.Float64()
		ofDispatchers(3)
	case 6:
		t.Kind = scenario.ListDown
		ofDispatchers(s.Dispatchers.Count)
	case 7:
		t.Kind, t.Factor = scenario.ListSlow, 0.3+1.5*chance.Float64()
		ofDispatchers(s.Dispatchers.Count)
	case 8:
		t.Kind = scenario.MoveAgent
		ofDispatchers(s.Dispatchers.Count)
	case 9, 10:
		t.Kind, t.Wait, t.ListDelay = scenario.Drain, 0.8+chance.Float64(), 0.5*chance.Float64()
		ofPartners()
	case 11:
		t.Kind, t.Duration = scenario.Hang, t.Duration+1
		t.Endpoint = 1
		ofPartners()
	case 12:
		t.Kind = scenario.Hang
		ofPartners()
	case 13:
		t.Kind = scenario.RefuseConnections
		ofPartners()
	case 14:
		t.Kind, t.Announced = scenario.RejectAll, chance.IntN(2) == 0
		ofPartners()
	case 15:
		t.Kind, t.Factor, t.Announced = scenario.ChangeLimit, 0.3+0.4*chance.Float64(), chance.IntN(2) == 0
		ofPartners()
	case 16:
		t.Kind, t.Factor = scenario.Surge, 1.5+chance.Float64()
	default:
		kinds := []string{scenario.FailCalls, scenario.LoseAnswers, scenario.ResetConnections, scenario.BreakReused, scenario.LateAnswers, scenario.TruncateAnswers, scenario.CorruptAnswers, scenario.CloseAfterAnswer}
		t.Kind, t.Share = kinds[chance.IntN(len(kinds))], 0.1+0.4*chance.Float64()
		ofPartners()
	}
	return t
}

// series draws a series of signals to a third of the dispatchers at most, and what makes it count: destinations that hang as the first
// signal comes, so that calls are out, refuse connections for some of the lives that follow, and then are back.
func series(s *scenario.Scenario, chance *rand.Rand) []scenario.Trouble {
	const least, most = 3, 7
	t := scenario.Trouble{Kind: scenario.SignalSeries, SignalCount: least + chance.IntN(most-least+1), Duration: 2 + 2.5*chance.Float64()}
	t.At = quietStart + hangsBefore + chance.Float64()*max(0, s.Length-quietStart-hangsBefore-t.Duration)
	t.Dispatchers = chance.Perm(s.Dispatchers.Count)[:1+chance.IntN(max(1, s.Dispatchers.Count/3))]
	chosen := chance.Perm(destinations(s))[:2+chance.IntN(2)]
	hangs := scenario.Trouble{Kind: []string{scenario.Hang, scenario.LoseAnswers}[chance.IntN(2)], At: t.At - hangsBefore, Duration: hangsBefore + 0.1,
		Share: 1, Destinations: chosen}
	refuses := scenario.Trouble{Kind: scenario.RefuseConnections, At: hangs.End(), Duration: t.Duration * (0.3 + 0.4*chance.Float64()), Destinations: chosen}
	return []scenario.Trouble{t, hangs, refuses}
}

// hangsBefore is how long, in seconds, destinations hang before a series begins.
const hangsBefore = 0.8

func destinations(s *scenario.Scenario) int {
	n := 0
	for _, g := range s.Groups {
		n += g.Count
	}
	return n
}
