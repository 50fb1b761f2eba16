package soak

import (
	"math/rand/v2"
	"sync"

	"orchiddrift/lab/record"
)

// leaving sends a share of the clients to dispatchers that were told to end: clients use the connections that they have for as
// long as those stay open, up to the kill.
type leaving struct {
	journal *record.Journal
	lock    sync.Mutex
	chance  *rand.Rand
}

// leavingShare of the hand-ins go to a dispatcher that was told to end, while there is one.
const leavingShare = 0.4

func newLeaving(j *record.Journal, seed uint64) *leaving {
	return &leaving{journal: j, chance: chanceOf(seed, forLeaving)}
}

// choose picks a dispatcher that was told to end and has not.
func (l *leaving) choose() (int, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.chance.Float64() >= leavingShare {
		return 0, false
	}
	last := map[int]string{}
	var order []int
	l.journal.WithLock(func() {
		for _, x := range l.journal.ProcessEvents {
			if last[x.Dispatcher] == "" {
				order = append(order, x.Dispatcher)
			}
			last[x.Dispatcher] = x.Kind
		}
	})
	for _, d := range order {
		if last[d] == record.TerminateSent {
			return d, true
		}
	}
	return 0, false
}
