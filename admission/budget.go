package admission

import "sync/atomic"

// Budget holds the accounts of a process. A nil Budget grants everything. Its methods may be called concurrently.
type Budget struct {
	accounts [purposeCount]account
	observer func(p Purpose, full bool) // told when an account is first full, and when it has room again; may be nil
}

// account is what is reserved for a purpose, in bytes.
type account struct {
	capacity int64
	reserved atomic.Int64
	peak     atomic.Int64
	refused  atomic.Int64 // reservations that did not fit
	full     atomic.Bool  // the last change that was observed is that it was full
}

// roomAgainShare is the part of an account below which it counts as having room again after it was full.
const roomAgainShare = 0.75

// NewBudget returns the accounts of a division. observer is told when an account is first full, and when it has room again; it may be
// nil, and it may be called concurrently.
func NewBudget(d Division, observer func(p Purpose, full bool)) *Budget {
	b := &Budget{observer: observer}
	for p := range b.accounts {
		b.accounts[p].capacity = int64(d.Bytes[p])
	}
	return b
}

// Reserve reserves bytes for a purpose and reports whether they fit. What was reserved is given back with Release.
func (b *Budget) Reserve(p Purpose, bytes int) bool {
	if b == nil {
		return true
	}
	a := &b.accounts[p]
	if a.reserve(bytes) {
		return true
	}
	a.refused.Add(1)
	if !a.full.Swap(true) {
		b.observe(p, true)
	}
	return false
}

// ReserveSpare reserves bytes for something that can be done without, and reports whether they fit. It is no refusal if they do not.
func (b *Budget) ReserveSpare(p Purpose, bytes int) bool {
	if b == nil {
		return true
	}
	return b.accounts[p].reserve(bytes)
}

// Force reserves bytes for a purpose whether they fit or not. It is for what the process owes: what an earlier process took on.
func (b *Budget) Force(p Purpose, bytes int) {
	if b != nil {
		a := &b.accounts[p]
		a.notePeak(a.reserved.Add(int64(bytes)))
	}
}

// Release gives reserved bytes back.
func (b *Budget) Release(p Purpose, bytes int) {
	if b == nil {
		return
	}
	a := &b.accounts[p]
	now := a.reserved.Add(-int64(bytes))
	if a.full.Load() && float64(now) < roomAgainShare*float64(a.capacity) && a.full.Swap(false) {
		b.observe(p, false)
	}
}

// reserve reserves bytes and reports whether they fit.
func (a *account) reserve(bytes int) bool {
	now := a.reserved.Add(int64(bytes))
	if now > a.capacity {
		a.reserved.Add(-int64(bytes))
		return false
	}
	a.notePeak(now)
	return true
}

// observe tells the observer of a change.
func (b *Budget) observe(p Purpose, full bool) {
	if b.observer != nil {
		b.observer(p, full)
	}
}

// notePeak records the bytes that are reserved now.
func (a *account) notePeak(now int64) {
	for {
		peak := a.peak.Load()
		if now <= peak || a.peak.CompareAndSwap(peak, now) {
			return
		}
	}
}

// Usage is the state of an account.
type Usage struct {
	Purpose  Purpose
	Capacity int // bytes
	Reserved int // bytes
	Peak     int // most bytes reserved at a time
	Refused  int // reservations that did not fit
}

// Usage returns the state of all accounts.
func (b *Budget) Usage() []Usage {
	if b == nil {
		return nil
	}
	list := make([]Usage, 0, purposeCount)
	for p := range b.accounts {
		a := &b.accounts[p]
		list = append(list, Usage{Purpose(p), int(a.capacity), int(a.reserved.Load()), int(a.peak.Load()), int(a.refused.Load())})
	}
	return list
}
