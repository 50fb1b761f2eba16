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

// RoundRobin is a load balancer in front of the dispatchers. It distributes notifications round-robin, sends those of one key to
// the same dispatcher while that is up, and stops using a dispatcher only some time after it went down, as with health checks. mu
// guards the fields below it.
type RoundRobin struct {
	network     loop.Network
	clock       *loop.Clock
	detectAfter float64 // seconds until a dispatcher that went down is no longer used
	next        atomic.Int64
	mu          sync.Mutex
	downSince   []float64 // by dispatcher: time of the first refused connection; 0: up
	lastTried   []float64 // by dispatcher: time of the last attempt since it went down
}

// NewRoundRobin returns a balancer for the dispatchers of a world.
func NewRoundRobin(w *scenario.World, network loop.Network, clock *loop.Clock) *RoundRobin {
	n := w.Dispatchers.Count
	return &RoundRobin{network: network, clock: clock, detectAfter: w.Load.FailureDetectionDelay, downSince: make([]float64, n), lastTried: make([]float64, n)}
}

// Choose returns the next dispatcher that is not known to be down, or for a key the first such dispatcher from the one that the
// key hashes to. A dispatcher that is known to be down is chosen too if it has not been tried for half of detectAfter.
func (r *RoundRobin) Choose(client int, key string, _, try int) (Target, bool) {
	first := int(r.next.Add(1))
	if key != "" {
		first = int(xxhash.Sum64String(key) % uint64(len(r.downSince)))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for i := range r.downSince {
		dispatcher := (first + i) % len(r.downSince)
		if r.downSince[dispatcher] > 0 && now >= r.downSince[dispatcher]+r.detectAfter {
			if now < r.lastTried[dispatcher]+r.detectAfter/2 {
				continue // known to be down: tried once per half of detectAfter
			}
			r.lastTried[dispatcher] = now
		}
		return Target{Dispatcher: dispatcher, Addr: r.network.DispatcherAddr(dispatcher), Path: "/api"}, true
	}
	return Target{}, false
}

// MarkDown records that a dispatcher refused a connection.
func (r *RoundRobin) MarkDown(t Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.downSince[t.Dispatcher] == 0 {
		now := r.clock.Now()
		r.downSince[t.Dispatcher], r.lastTried[t.Dispatcher] = now, now
	}
}

// MarkUp records that a dispatcher answered.
func (r *RoundRobin) MarkUp(t Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.downSince[t.Dispatcher] = 0
}

// Direct is a balancer that sends notifications to the partners' endpoints, without a dispatcher.
type Direct struct {
	World *scenario.World
	Addr  func(scenario.Endpoint) string
	next  atomic.Int64
}

// Choose returns the endpoints of the destination in turn. All destinations share one counter.
func (d *Direct) Choose(_ int, _ string, dest, _ int) (Target, bool) {
	p := d.World.Partners[dest]
	e := p.Endpoints[int(d.next.Add(1))%len(p.Endpoints)]
	return Target{Dispatcher: -1, Addr: d.Addr(e), Path: "/hook"}, true
}

// MarkDown does nothing: an endpoint that is down may be up at the next attempt.
func (*Direct) MarkDown(Target) {}

// MarkUp does nothing, as no endpoint is marked down.
func (*Direct) MarkUp(Target) {}

// isConnRefused reports whether a connection was refused.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
