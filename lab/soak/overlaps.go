package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"orchiddrift/lab/scenario"
)

// Pair is two kinds of trouble, in the order of their names.
type Pair struct{ A, B string }

// Overlaps counts how often two kinds of trouble were on together.
type Overlaps map[Pair]int

// kinds are all that a plan may draw.
var kinds = []string{scenario.Kill, scenario.Restart, scenario.Stall, scenario.SignalSeries, scenario.ListDown, scenario.ListSlow, scenario.MoveAgent,
	scenario.Drain, scenario.Hang, scenario.RefuseConnections, scenario.RejectAll, scenario.ChangeLimit, scenario.Surge, scenario.FailCalls, scenario.LoseAnswers,
	scenario.ResetConnections, scenario.BreakReused, scenario.LateAnswers, scenario.TruncateAnswers, scenario.CorruptAnswers, scenario.CloseAfterAnswer}

func pairOf(a, b string) Pair { return Pair{min(a, b), max(a, b)} }

// lasts is when a trouble is over, with the time that its processes are down.
func lasts(t scenario.Trouble) float64 {
	switch t.Kind {
	case scenario.Kill, scenario.Restart, scenario.Drain:
		return t.At + max(t.Duration, t.Wait)
	case scenario.MoveAgent:
		return t.At + 1
	}
	return t.End()
}

// overlaps counts the pairs of a plan.
func overlaps(s *scenario.Scenario) Overlaps {
	all := Overlaps{}
	for i, a := range s.Troubles {
		for _, b := range s.Troubles[:i] {
			if a.At < lasts(b) && b.At < lasts(a) {
				all[pairOf(a.Kind, b.Kind)]++
			}
		}
	}
	return all
}

// Add adds the counts of another plan.
func (o Overlaps) Add(other Overlaps) {
	for pair, n := range other {
		o[pair] += n
	}
}

// Missing lists the pairs that were not on together, of all that a plan may draw.
func (o Overlaps) Missing() (list []string) {
	for i, a := range kinds {
		for _, b := range kinds[:i+1] {
			if pair := pairOf(a, b); o[pair] == 0 && a != scenario.MoveAgent {
				list = append(list, pair.A+" with "+pair.B)
			}
		}
	}
	slices.Sort(list)
	return list
}

// String lists the pairs that were, the rarest first.
func (o Overlaps) String() string {
	pairs := slices.SortedFunc(maps.Keys(o), func(a, b Pair) int {
		return cmp.Or(cmp.Compare(o[a], o[b]), strings.Compare(a.A, b.A), strings.Compare(a.B, b.B))
	})
	var texts []string
	for _, p := range pairs {
		texts = append(texts, fmt.Sprintf("%s with %s %d", p.A, p.B, o[p]))
	}
	return strings.Join(texts, ", ")
}

// endpoints counts those listed at the start.
func endpoints(s *scenario.Scenario) int {
	n := 0
	for _, g := range s.Groups {
		n += g.Count * g.Endpoints
	}
	return n
}
