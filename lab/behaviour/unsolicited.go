package behaviour

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/lab/scenario"
)

// Unsolicited is something that the other side of a connection writes although no request asks for it.
type Unsolicited struct {
	After  float64 // seconds from the answer that it follows
	Status int     // of an answer that nobody asked for; 0: a copy of an answer that was written on the connection
	Back   int     // for a copy: how many answers before the last one, if there were so many
	Part   float64 // share of the bytes that is written before the connection is closed; 0: all, and it stays open
}

const (
	// maxBack is the largest number of answers between a copy and the last answer on the connection.
	maxBack = 2
	// partialShare is the share of the unsolicited answers that break off.
	partialShare = 0.1
)

// strayStatuses are the statuses of answers that nobody asked for.
var strayStatuses = []int{408, 200, 503}

// DrawUnsolicited draws what follows an answer under a trouble. copies says whether it writes copies.
func DrawUnsolicited(t scenario.Trouble, copies bool, random *rand.Rand) []Unsolicited {
	if random.Float64() >= t.Share {
		return nil
	}
	var list []Unsolicited
	for range t.Copies {
		u := Unsolicited{After: t.MinLag + (t.MaxLag-t.MinLag)*random.Float64(), Back: random.IntN(maxBack + 1)}
		if !copies {
			u.Status = strayStatuses[random.IntN(len(strayStatuses))]
		}
		if random.Float64() < partialShare {
			u.Part = random.Float64()
		}
		list = append(list, u)
	}
	return list
}

// drawUnsolicited returns what endpoint e writes after the answer to a call. It has a random source of its own, so that the
// other draws for a push do not depend on it.
func (p *Partner) drawUnsolicited(now float64, e scenario.Endpoint, c Call) (list []Unsolicited) {
	for _, kind := range []string{scenario.CopyAnswers, scenario.StrayAnswers} {
		if f := p.activeFault(kind, now, e); f != nil {
			random := rand.New(rand.NewPCG(p.world.Seed, xxhash.Sum64String(kind+c.IDs[0])+uint64(c.PreviousCalls)))
			list = append(list, DrawUnsolicited(f.Trouble, kind == scenario.CopyAnswers, random)...)
		}
	}
	return list
}
