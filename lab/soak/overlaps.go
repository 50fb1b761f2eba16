package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"orchiddrift/lab/scenario"
)

// Pair is a pair of kinds of faults, in alphabetical order.
type Pair struct{ A, B string }

// Overlaps counts how often two kinds of faults were active at the same time.
type Overlaps map[Pair]int

// troubleKinds lists all kinds of faults that a plan may draw.
var troubleKinds = []string{scenario.Kill, scenario.Restart, scenario.Stall, scenario.SignalSeries, scenario.ListDown, scenario.ListSlow, scenario.MoveAgent,
	scenario.Drain, scenario.Hang, scenario.RefuseConnections, scenario.RejectAll, scenario.ChangeLimit, scenario.Surge, scenario.FailCalls, scenario.LoseAnswers,
	scenario.ResetConnections, scenario.BreakReused, scenario.LateAnswers, scenario.TruncateAnswers, scenario.CorruptAnswers, scenario.CloseAfterAnswer,
	scenario.SlowWriters, scenario.HalfRequests, scenario.ManyFields, scenario.WholeLarge, scenario.Flood, scenario.LeaveUnread,
	scenario.PipelinedLarge, scenario.AnswersUnread, scenario.MetricsFlood}

// newPair returns the pair of two kinds, given in any order.
func newPair(a, b string) Pair { return Pair{min(a, b), max(a, b)} }

// troubleEnd returns the time at which a fault ends, including the downtime of its processes, in seconds.
func troubleEnd(t scenario.Trouble) float64 {
	switch t.Kind {
	case scenario.Kill, scenario.Restart, scenario.Drain:
		return t.At + max(t.Duration, t.Wait)
	case scenario.MoveAgent:
		return t.At + 1
	}
	return t.End()
}

// countOverlaps counts the overlaps in a plan.
func countOverlaps(plan *scenario.Scenario) Overlaps {
	counts := Overlaps{}
	for i, a := range plan.Troubles {
		for _, b := range plan.Troubles[:i] {
			if a.At < troubleEnd(b) && b.At < troubleEnd(a) {
				counts[newPair(a.Kind, b.Kind)]++
			}
		}
	}
	return counts
}

// Add adds the counts of other.
func (o Overlaps) Add(other Overlaps) {
	for pair, n := range other {
		o[pair] += n
	}
}

// Missing lists the pairs of kinds that a plan may draw and that were never active at the same time, pairs of a kind with itself
// included. It leaves out the pairs of scenario.MoveAgent with itself and with the kinds before it in troubleKinds.
func (o Overlaps) Missing() (list []string) {
	for i, a := range troubleKinds {
		for _, b := range troubleKinds[:i+1] {
			if pair := newPair(a, b); o[pair] == 0 && a != scenario.MoveAgent {
				list = append(list, pair.A+" with "+pair.B)
			}
		}
	}
	slices.Sort(list)
	return list
}

// String lists the pairs that were active at the same time with their counts, the rarest first.
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

// countEndpoints returns the number of endpoints that are listed at the start.
func countEndpoints(s *scenario.Scenario) int {
	n := 0
	for _, g := range s.Groups {
		n += g.Count * g.Endpoints
	}
	return n
}
