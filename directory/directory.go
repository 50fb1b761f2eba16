// Package directory stores the endpoints as last listed by the platform. It makes no decisions.
package directory

import (
	"maps"
	"slices"
)

// Stages of an endpoint, as the platform reports them.
const (
	Ready    = "ready"    // takes pushes
	Draining = "draining" // is being drained: no further push may be sent to it
	Gone     = "gone"     // no longer exists; it is removed from the list
)

// Endpoint is an entry of the list.
type Endpoint struct {
	ID    string
	Zone  string
	Kind  string
	Dest  string  // the destination it belongs to
	Stage string  // Ready, Draining or Gone
	Rate  float64 // calls per second listed for the destination, 0 if not listed
	Addr  string  // host and port; "" in the simulator
}

// Directory is a dispatcher's copy of the list. It is not safe for concurrent use.
type Directory struct {
	byDest    map[string][]Endpoint // by destination; empty for a known destination without endpoints
	positions map[string]position   // by endpoint ID
	Revision  int                   // number of applied updates and recorded failures
	Failures  int                   // number of failed watches and fetches
}

// position is the index of an endpoint among the endpoints of its destination.
type position struct {
	dest  string
	index int
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{byDest: map[string][]Endpoint{}, positions: map[string]position{}}
}

// Replace applies a full list: endpoints that are not in it are removed. A destination that loses all its endpoints stays
// known until the next full list, since its endpoints may be about to be replaced.
func (d *Directory) Replace(list []Endpoint) {
	previous := d.byDest
	d.byDest, d.positions = map[string][]Endpoint{}, map[string]position{}
	for dest, endpoints := range previous {
		if len(endpoints) > 0 {
			d.byDest[dest] = nil
		}
	}
	d.Apply(list)
}

// Apply applies an incremental update, which consists of the entries that changed. An entry with stage Gone removes its
// endpoint.
func (d *Directory) Apply(list []Endpoint) {
	d.Revision++
	for _, e := range list {
		d.set(e)
	}
}

// KnownDest reports whether a destination has listed endpoints, or has lost its last one in or since the latest full list.
// It is true for any destination while no destination is known.
func (d *Directory) KnownDest(dest string) bool {
	_, ok := d.byDest[dest]
	return ok || len(d.byDest) == 0
}

// Destinations returns the known destinations in a fixed order, those without endpoints included.
func (d *Directory) Destinations() []string { return slices.Sorted(maps.Keys(d.byDest)) }

// AddDestination makes a destination known that may have no endpoints.
func (d *Directory) AddDestination(dest string) {
	if _, ok := d.byDest[dest]; !ok {
		d.byDest[dest] = nil
	}
}

// Contains reports whether an endpoint is listed.
func (d *Directory) Contains(id string) bool { _, ok := d.positions[id]; return ok }

// RecordFailure records that a watch or a fetch failed. The list stays as it is.
func (d *Directory) RecordFailure() {
	d.Revision++
	d.Failures++
}

// Endpoints returns the listed endpoints of a destination, without those that are gone. The caller must not modify the
// result or use it after the next update.
func (d *Directory) Endpoints(dest string) []Endpoint { return d.byDest[dest] }

// Find returns the listed entry of an endpoint of a destination, and whether there is one.
func (d *Directory) Find(dest, id string) (Endpoint, bool) {
	if p, ok := d.positions[id]; ok && p.dest == dest {
		return d.byDest[dest][p.index], true
	}
	return Endpoint{}, false
}

// set adds, updates or removes the entry of an endpoint.
func (d *Directory) set(e Endpoint) {
	current, listed := d.positions[e.ID]
	if listed && current.dest == e.Dest && e.Stage != Gone {
		d.byDest[e.Dest][current.index] = e
		return
	}
	if listed { // gone or moved to another destination; an entry with stage Gone may have no destination
		d.remove(e.ID, current)
	}
	if e.Stage != Gone {
		d.positions[e.ID] = position{e.Dest, len(d.byDest[e.Dest])}
		d.byDest[e.Dest] = append(d.byDest[e.Dest], e)
	}
}

// remove removes an endpoint and updates the positions of those after it.
func (d *Directory) remove(id string, p position) {
	remaining := slices.Delete(slices.Clone(d.byDest[p.dest]), p.index, p.index+1)
	for i, e := range remaining[p.index:] {
		d.positions[e.ID] = position{p.dest, p.index + i}
	}
	d.byDest[p.dest] = remaining
	delete(d.positions, id)
}
