package recoverystate

import (
	"slices"
	"sync"
	"time"

	"orchiddrift/decide"
)

// retryInterval is the time between two attempts to write.
const retryInterval = 50 * time.Millisecond

// Saver writes the latest states in a goroutine of its own, so that a slow folder does not hold up its caller. A failed write is
// tried again until it succeeds or newer states replace it.
type Saver struct {
	store  *Store
	failed func(error) // called for each failed write
	wake   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	latest  []decide.RecoveryState // guarded by mu
	pending bool                   // latest is not written yet; guarded by mu
	closing bool                   // guarded by mu
}

// NewSaver returns a Saver that writes to a store. failed is called for each failed write.
func NewSaver(store *Store, failed func(error)) *Saver {
	s := &Saver{store: store, failed: failed, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Save has states written soon, unless they were written last. It does not block.
func (s *Saver) Save(states []decide.RecoveryState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(states, s.latest) {
		return
	}
	s.latest, s.pending = states, true
	s.signal()
}

// Close writes what is pending, once, and ends the goroutine.
func (s *Saver) Close() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.signal()
	<-s.done
}

// signal wakes the goroutine.
func (s *Saver) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes states until Close.
func (s *Saver) run() {
	defer close(s.done)
	for {
		<-s.wake
		s.mu.Lock()
		states, pending, closing := slices.Clone(s.latest), s.pending, s.closing
		s.pending = false
		s.mu.Unlock()
		if pending {
			if err := s.store.Write(states); err != nil {
				s.failed(err)
				s.retry(closing)
			}
		}
		if closing {
			return
		}
	}
}

// retry has the latest states written again after a pause.
func (s *Saver) retry(closing bool) {
	if closing {
		return
	}
	time.Sleep(retryInterval)
	s.mu.Lock()
	s.pending = true
	s.mu.Unlock()
	s.signal()
}
