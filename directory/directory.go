// Package directory keeps the endpoints as they were last listed. It holds state and decides nothing.
package directory

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
	Heard    int                   // updates taken in, failures too
	Failures int                   // notices that a watch or a fetch failed, since the last good update
}

// New returns an empty directory.
func New() *Directory { return &Directory{byDest: map[string][]Endpoint{}} }

// Replace takes a whole list: an endpoint that it lacks is gone.
func (d *Directory) Replace(list []Endpoint) {
	d.byDest = map[string][]Endpoint{}
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
	for i := range known {
		if known[i].ID != e.ID {
			continue
		}
		if e.Stage == Gone {
			d.byDest[e.Dest] = append(known[:i:i], known[i+1:]...)
		} else {
			known[i] = e
		}
		return
	}
	if e.Stage != Gone {
		d.byDest[e.Dest] = append(known, e)
	}
}
