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
	byDest   map[string][]Endpoint // in the order in which the list named them
	dest     map[string]string     // of each endpoint
	Heard    int                   // updates taken in, failures too
	Failures int                   // notices that a watch or a fetch failed, since the last good update
}

// New returns an empty directory.
func New() *Directory { return &Directory{byDest: map[string][]Endpoint{}, dest: map[string]string{}} }

// Replace takes a whole list: an endpoint that it lacks is gone. A destination left without any stays known until
// the next whole list: its endpoints may be about to be replaced.
func (d *Directory) Replace(list []Endpoint) {
	was := d.byDest
	d.byDest, d.dest = map[string][]Endpoint{}, map[string]string{}
	for dest, known := range was {
		if len(known) > 0 {
			d.byDest[dest] = nil
		}
	}
	d.Change(list)
}

// Change takes in the entries that changed.
func (d *Directory) Change(list []Endpoint) {
	d.Heard++
	d.Failures = 0
	for _, e := range list {
		d.put(e)
	}
}

// Known tells whether the list names a destination, or lately did; before there is a list any may be.
func (d *Directory) Known(dest string) bool { _, ok := d.byDest[dest]; return ok || len(d.byDest) == 0 }

// Lists tells whether an endpoint is in the list.
func (d *Directory) Lists(id string) bool { _, ok := d.dest[id]; return ok }

// Failed notes that a watch or a fetch failed; the list stays as it was.
func (d *Directory) Failed() {
	d.Heard++
	d.Failures++
}

// Of lists the endpoints of a destination that are not known to be gone.
func (d *Directory) Of(dest string) []Endpoint { return d.byDest[dest] }

// Find returns an endpoint of a destination, as listed.
func (d *Directory) Find(dest, id string) (Endpoint, bool) {
	for _, e := range d.byDest[dest] {
		if e.ID == id {
			return e, true
		}
	}
	return Endpoint{}, false
}

func (d *Directory) put(e Endpoint) {
	known := d.byDest[e.Dest]
	if i := slices.IndexFunc(known, e.is); i >= 0 && e.Stage != Gone {
		known[i] = e
		return
	}
	if dest, ok := d.dest[e.ID]; ok { // gone, or moved: it may be told of without its destination
		d.byDest[dest] = slices.DeleteFunc(slices.Clone(d.byDest[dest]), e.is)
		delete(d.dest, e.ID)
	}
	if e.Stage != Gone {
		d.byDest[e.Dest] = append(d.byDest[e.Dest], e)
		d.dest[e.ID] = e.Dest
	}
}

func (e Endpoint) is(x Endpoint) bool { return x.ID == e.ID }
