package soak

import (
	"math/rand/v2"
	"sync"

	"orchiddrift/lab/record"
)

// terminatingPicker chooses terminating dispatchers for a share of the hand-ins. It stands for clients that use an open connection
// until the dispatcher closes it or is killed. mu guards random.
type terminatingPicker struct {
	journal *record.Journal
	mu      sync.Mutex
	random  *rand.Rand
}

// terminatingShare is the share of the hand-ins that go to a terminating dispatcher while there is one.
const terminatingShare = 0.4

// newTerminatingPicker returns a picker that finds terminating dispatchers in the journal.
func newTerminatingPicker(j *record.Journal, seed uint64) *terminatingPicker {
	return &terminatingPicker{journal: j, random: newRand(seed, terminatingStream)}
}

// pick returns a dispatcher that got a termination signal and has not exited, or false if there is none or this hand-in
// is not in the share.
func (p *terminatingPicker) pick() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random.Float64() >= terminatingShare {
		return 0, false
	}
	lastEvent := map[int]string{}
	var order []int
	p.journal.WithLock(func() {
		for _, event := range p.journal.ProcessEvents {
			if lastEvent[event.Dispatcher] == "" {
				order = append(order, event.Dispatcher)
			}
			lastEvent[event.Dispatcher] = event.Kind
		}
	})
	for _, dispatcher := range order {
		if lastEvent[dispatcher] == record.TerminateSent {
			return dispatcher, true
		}
	}
	return 0, false
}
