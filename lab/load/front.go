package load

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/lab/loop"
	"orchiddrift/lab/scenario"
)

// RoundRobin is a plain front: it deals hand-ins out to dispatchers in turn, keeps a key with one dispatcher while that is
// alive, and learns of a dead one only after a while.
type RoundRobin struct {
	network loop.Network
	clock   *loop.Clock
	learns  float64
	turn    atomic.Int64
	lock    sync.Mutex
	dead    []float64 // when it was first found dead, 0 where it is not
	looked  []float64 // and when it was tried last
}

// NewRoundRobin returns a front of so many dispatchers.
func NewRoundRobin(w *scenario.World, network loop.Network, clock *loop.Clock) *RoundRobin {
	n := w.Dispatchers.Count
	return &RoundRobin{network: network, clock: clock, learns: w.Load.FailureDetectionDelay, dead: make([]float64, n), looked: make([]float64, n)}
}

// Choose picks a dispatcher.
func (s *RoundRobin) Choose(client int, key string, _, try int) (Target, bool) {
	first := int(s.turn.Add(1))
	if key != "" {
		first = int(xxhash.Sum64String(key) % uint64(len(s.dead)))
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.clock.Now()
	for i := range s.dead {
		d := (first + i) % len(s.dead)
		if s.dead[d] > 0 && now >= s.dead[d]+s.learns {
			if now < s.looked[d]+s.learns/2 {
				continue // known to be dead; it is tried again now and then
			}
			s.looked[d] = now
		}
		return Target{Dispatcher: d, Addr: s.network.DispatcherAddr(d), Path: "/api"}, true
	}
	return Target{}, false
}

// MarkDown notes that a dispatcher takes no connection.
func (s *RoundRobin) MarkDown(t Target) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.dead[t.Dispatcher] == 0 {
		now := s.clock.Now()
		s.dead[t.Dispatcher], s.looked[t.Dispatcher] = now, now
	}
}

// MarkUp notes that a dispatcher answered.
func (s *RoundRobin) MarkUp(t Target) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.dead[t.Dispatcher] = 0
}

// Direct leads to the partners themselves, with no dispatcher between.
type Direct struct {
	World *scenario.World
	Addr  func(scenario.Endpoint) string
	turn  atomic.Int64
}

// Choose picks an endpoint of the destination in turn.
func (s *Direct) Choose(_ int, _ string, dest, _ int) (Target, bool) {
	p := s.World.Partners[dest]
	e := p.Endpoints[int(s.turn.Add(1))%len(p.Endpoints)]
	return Target{Dispatcher: -1, Addr: s.Addr(e), Path: "/hook"}, true
}

// MarkDown does nothing: an endpoint that is down may be up at the next try.
func (*Direct) MarkDown(Target) {}

// MarkUp does nothing.
func (*Direct) MarkUp(Target) {}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
