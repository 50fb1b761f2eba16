// Package directory keeps the endpoints as they were last listed. It holds state and decides nothing.
package directory

import "slices"

// Stages of a listed endpoint.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
)

// Endpoint is one line of the list.
type Endpoint struct {
	ID    string
	Zone  string
	Kind  string
	Dest  string  // the destination that it belongs to
	Stage string  // Ready, Draining or Gone
	Rate  float64 // calls a second that the destination is listed with; 0: not told
	Addr  string  // where it is reached; "" on the simulator's wire
}

// Directory is the list as one dispatcher knows it.
type Directory struct {
	byDest              map[string][]Endpoint // in the order in which the list named them
	positions           map[string]position   // of each endpoint
	Revision            int                   // updates taken in, failures too
	ConsecutiveFailures int                   // notices that a watch or a fetch failed, since the last good update
}

// position is where an endpoint stands: at an index among those of its destination.
type position struct {
	dest  string
	index int
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{byDest: map[string][]Endpoint{}, positions: map[string]position{}}
}

// Replace takes a whole list: an endpoint that it lacks is gone. A destination left without any stays known until
// the next whole list: its endpoints may be about to be replaced.
func (d *Directory) Replace(list []Endpoint) {
	was := d.byDest
	d.byDest, d.positions = map[string][]Endpoint{}, map[string]position{}
	for dest, known := range was {
		if len(known) > 0 {
			d.byDest[dest] = nil
		}
	}
	d.Apply(list)
}

// Apply takes in the entries that changed.
func (d *Directory) Apply(list []Endpoint) {
	d.Revision++
	d.ConsecutiveFailures = 0
	for _, e := range list {
		d.set(e)
	}
}

// KnownDest tells whether the list names a destination, or lately did; before there is a list any may be.
func (d *Directory) KnownDest(dest string) bool {
	_, ok := d.byDest[dest]
	return ok || len(d.byDest) == 0
}

// Contains tells whether an endpoint is in the list.
func (d *Directory) Contains(id string) bool { _, ok := d.positions[id]; return ok }

// RecordFailure notes that a watch or a fetch failed; the list stays as it was.
func (d *Directory) RecordFailure() {
	d.Revision++
	d.ConsecutiveFailures++
}

// Endpoints lists the endpoints of a destination that are not known to be gone.
func (d *Directory) Endpoints(dest string) []Endpoint { return d.byDest[dest] }

// Find returns an endpoint of a destination, as listed.
func (d *Directory) Find(dest, id string) (Endpoint, bool) {
	if p, ok := d.positions[id]; ok && p.dest == dest {
		return d.byDest[dest][p.index], true
	}
	return Endpoint{}, false
}

func (d *Directory) set(e Endpoint) {
	known, listed := d.positions[e.ID]
	if listed && known.dest == e.Dest && e.Stage != Gone {
		d.byDest[e.Dest][known.index] = e
		return
	}
	if listed { // gone, or moved: it may be told of without its destination
		d.remove(e.ID, known)
	}
	if e.Stage != Gone {
		d.positions[e.ID] = position{e.Dest, len(d.byDest[e.Dest])}
		d.byDest[e.Dest] = append(d.byDest[e.Dest], e)
	}
}

// remove takes an endpoint out, and moves up those behind it.
func (d *Directory) remove(id string, p position) {
	left := slices.Delete(slices.Clone(d.byDest[p.dest]), p.index, p.index+1)
	for i, e := range left[p.index:] {
		d.positions[e.ID] = position{p.dest, p.index + i}
	}
	d.byDest[p.dest] = left
	delete(d.positions, id)
}
