package endpointstate

import (
	"errors"
	"hash/maphash"
	"sync"
	"time"

	"orchiddrift/directory"
)

const (
	// maxPendingChanges is the largest number of changes that wait to be written. Beyond it the whole list is written.
	maxPendingChanges = 512
	// minRetryPause and maxRetryPause limit the time between two attempts to write.
	minRetryPause, maxRetryPause = 50 * time.Millisecond, 5 * time.Second
)

// Update is a list, or the entries that changed, as an agent told it.
type Update struct {
	Source    string
	Version   int64
	Full      bool
	Endpoints []directory.Endpoint
}

// Observer is called for what an operator has to know. Its functions must not block.
type Observer struct {
	Failed  func(error) // the first failed write after one that succeeded
	Omitted func(n int) // the file has no room for n endpoints, while it had room for all before
}

// Saver writes the list in a goroutine of its own, so that a slow folder does not hold up its caller. After a failed write the whole list
// is written again, which Due has to supply.
type Saver struct {
	store    *Store
	observer Observer
	wake     chan struct{}
	done     chan struct{}

	// The fields below are guarded by mu.
	mu         sync.Mutex
	head       Head   // of the latest update
	configured uint64 // Digest of the configured list that was read last
	changes    []directory.Endpoint
	whole      *State    // to be written before changes; nil if it need not be
	wholeDue   bool      // the whole list has to be supplied
	notBefore  time.Time // no attempt before, after a failed one
	headDue    bool      // head has to be written
	contentSum uint64    // of the latest whole list, if nothing has changed since; else 0
	closing    bool

	// The fields below belong to the goroutine.
	failing    bool
	retryPause time.Duration
	omitted    int
}

// hashSeed makes contentSum the same for the same list within a process.
var hashSeed = maphash.MakeSeed()

// NewSaver returns a Saver that writes to a store. head tells of the list that the process begins with, which is not written.
func NewSaver(store *Store, head Head, observer Observer) *Saver {
	s := &Saver{store: store, observer: observer, head: head, wake: make(chan struct{}, 1), done: make(chan struct{}), wholeDue: true,
		retryPause: minRetryPause}
	go s.run()
	return s
}

// SetConfigured records the Digest of a configured list that was read again. It is written with the next update, as only that is known to
// be newer.
func (s *Saver) SetConfigured(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configured = digest
}

// Told has an update written soon. dir is the directory after the update. It does not block.
func (s *Saver) Told(update Update, dir *directory.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.head
	s.head.HighestVersion = max(s.head.HighestVersion, update.Version)
	if s.head.Source != update.Source {
		s.head.HighestVersion = update.Version
	}
	s.head.Source, s.head.Version, s.head.Configured = update.Source, update.Version, s.configured
	s.headDue = s.headDue || s.head != previous
	switch {
	case update.Full:
		s.takeWhole(dir)
	case len(update.Endpoints) > 0:
		s.takeChanges(update.Endpoints)
	}
	s.supply(dir)
	if s.headDue || s.whole != nil || len(s.changes) > 0 {
		s.signal()
	}
}

// Due has the whole list written if that is due. It does not block, and costs little if it is not.
func (s *Saver) Due(dir *directory.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.headDue && s.wholeDue {
		s.supply(dir)
		s.signal()
	}
}

// Close writes what is pending, once, and ends the goroutine. A whole list that is still due is supplied from dir.
func (s *Saver) Close(dir *directory.Directory) {
	s.mu.Lock()
	s.closing, s.notBefore = true, time.Time{}
	if s.headDue {
		s.supply(dir)
	}
	s.mu.Unlock()
	s.signal()
	<-s.done
}

// takeWhole takes the whole list, unless it is the one that was taken last. The caller holds the lock.
func (s *Saver) takeWhole(dir *directory.Directory) {
	state := stateOf(s.head, dir)
	sum := contentSum(state)
	if sum == s.contentSum && !s.wholeDue {
		return
	}
	s.whole, s.changes, s.contentSum, s.wholeDue, s.headDue = &state, nil, sum, false, true
}

// takeChanges takes entries that changed. The caller holds the lock.
func (s *Saver) takeChanges(changes []directory.Endpoint) {
	s.contentSum, s.headDue = 0, true
	if s.wholeDue {
		return
	}
	if len(s.changes)+len(changes) > maxPendingChanges {
		s.wholeDue, s.changes = true, nil
		return
	}
	s.changes = append(s.changes, changes...)
}

// supply takes the whole list if it is due and may be written now. The caller holds the lock.
func (s *Saver) supply(dir *directory.Directory) {
	if s.wholeDue && !time.Now().Before(s.notBefore) {
		s.takeWhole(dir)
	}
}

// contentSum returns a number that differs, almost certainly, between two lists that differ. It is not 0.
func contentSum(state State) uint64 {
	var hash maphash.Hash
	hash.SetSeed(hashSeed)
	for _, dest := range state.Destinations {
		maphash.WriteComparable(&hash, dest)
	}
	for _, endpoint := range state.Endpoints {
		maphash.WriteComparable(&hash, endpoint)
	}
	return max(1, hash.Sum64())
}

// signal wakes the goroutine.
func (s *Saver) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes until Close.
func (s *Saver) run() {
	defer close(s.done)
	defer s.store.closeFile()
	for closing := false; !closing; {
		<-s.wake
		s.mu.Lock()
		head, whole, changes := s.head, s.whole, s.changes
		headDue := s.headDue && !s.wholeDue
		if headDue {
			s.headDue, s.whole, s.changes = false, nil, nil
		}
		closing = s.closing
		s.mu.Unlock()
		if headDue {
			s.finish(s.write(head, whole, changes))
		}
	}
}

// write writes the whole list, if there is one, and the changes after it.
func (s *Saver) write(head Head, whole *State, changes []directory.Endpoint) error {
	if whole != nil {
		omitted, err := s.store.writeAll(*whole)
		if err != nil {
			return err
		}
		if omitted > 0 && s.omitted == 0 {
			s.observer.Omitted(omitted)
		}
		s.omitted = omitted
		if len(changes) == 0 && whole.Head == head {
			return nil
		}
	}
	head.Incomplete = s.omitted > 0
	return s.store.appendChanges(head, changes)
}

// finish records the result of a write. After an error the whole list has to be written.
func (s *Saver) finish(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.failing, s.retryPause = false, minRetryPause
		return
	}
	s.wholeDue, s.headDue, s.changes, s.contentSum = true, true, nil, 0
	if errors.Is(err, errNoRoom) {
		s.notBefore = time.Now().Add(minRetryPause)
		return
	}
	s.notBefore = time.Now().Add(s.retryPause)
	s.retryPause = min(2*s.retryPause, maxRetryPause)
	if !s.failing {
		s.observer.Failed(err)
	}
	s.failing = true
}
