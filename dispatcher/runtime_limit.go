package dispatcher

import (
	"runtime/debug"
	"runtime/metrics"
	"time"

	"orchiddrift/admission"
)

const (
	// runtimeLimitInterval is the time between two adjustments of the runtime's limit.
	runtimeLimitInterval = 100 * time.Millisecond
	// leastLimitChange is the smallest change, in bytes, of the runtime's limit: each one takes the lock of the heap.
	leastLimitChange = 128_000
)

// runtimeLimit keeps the limit of the runtime in step with the memory that it really uses.
type runtimeLimit struct {
	division admission.Division
	set      int // the limit that was set last, in bytes
	samples  []metrics.Sample
}

// The metrics of the runtime that a reading needs, in the order of runtimeLimit.samples.
const (
	sampleTotal = iota
	sampleReleased
	sampleObjects
	sampleFree
	sampleLive
)

// newRuntimeLimit sets the runtime's limit for the first time.
func newRuntimeLimit(division admission.Division) *runtimeLimit {
	l := &runtimeLimit{division: division, samples: []metrics.Sample{
		sampleTotal:    {Name: "/memory/classes/total:bytes"},
		sampleReleased: {Name: "/memory/classes/heap/released:bytes"},
		sampleObjects:  {Name: "/memory/classes/heap/objects:bytes"},
		sampleFree:     {Name: "/memory/classes/heap/free:bytes"},
		sampleLive:     {Name: "/gc/heap/live:bytes"},
	}}
	l.adjust()
	return l
}

// run adjusts the limit until done is closed.
func (l *runtimeLimit) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(runtimeLimitInterval):
			l.adjust()
		}
	}
}

// adjust sets the limit according to the memory of this process.
func (l *runtimeLimit) adjust() {
	limit := l.division.HeapBytes
	if m, ok := l.read(); ok {
		limit = l.division.RuntimeLimit(m)
	}
	if difference := limit - l.set; difference < leastLimitChange && difference > -leastLimitChange {
		return
	}
	l.set = limit
	debug.SetMemoryLimit(int64(limit))
}

// read reads the memory of this process, and reports whether it could.
func (l *runtimeLimit) read() (m admission.RuntimeMemory, ok bool) {
	if m.Resident, _, ok = residentBytes(); !ok {
		return m, false
	}
	metrics.Read(l.samples)
	value := func(i int) int { return int(l.samples[i].Value.Uint64()) }
	m.Mapped = value(sampleTotal) - value(sampleReleased)
	m.Objects, m.Free, m.Live = value(sampleObjects), value(sampleFree), value(sampleLive)
	return m, true
}

// runtimeState returns the limit of the runtime, in bytes, and how often it has collected so far.
func runtimeState() (limitBytes, collections int) {
	cycles := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(cycles)
	return int(debug.SetMemoryLimit(-1)), int(cycles[0].Value.Uint64())
}
