package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is an entry of the list of endpoints.
type server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// list is the list of endpoints, or its changes.
type list struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// discovery is what the platform's agents have been sent: the first version is the whole list, each later one its changes.
type discovery struct {
	mu       sync.Mutex
	versions [][]server
	changed  chan struct{} // closed with the next version
}

// newDiscovery returns a discovery with its first list.
func newDiscovery(servers ...server) *discovery {
	return &discovery{versions: [][]server{servers}, changed: make(chan struct{})}
}

// publish adds a version.
func (d *discovery) publish(changes ...server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, changes)
	close(d.changed)
	d.changed = make(chan struct{})
}

// since returns the changes after a version, or the whole list if from is 0, and a channel that the next version closes.
func (d *discovery) since(from int) (list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Version: len(d.versions), Full: from == 0, Servers: []server{}}
	index := map[string]int{}
	for _, changes := range d.versions[min(from, len(d.versions)):] {
		for _, s := range changes {
			i, ok := index[s.ID]
			if !ok {
				i = len(l.Servers)
				index[s.ID], l.Servers = i, append(l.Servers, s)
			}
			l.Servers[i] = s
		}
	}
	if l.Full {
		kept := l.Servers[:0]
		for _, s := range l.Servers {
			if s.State != "gone" {
				kept = append(kept, s)
			}
		}
		l.Servers = kept
	}
	return l, d.changed
}

// agent is the platform's agent beside one dispatcher.
type agent struct {
	rig       *rig
	name      string
	addr      string
	discovery *discovery
	delay     func() time.Duration // how much later than usual a call for the list is answered; may be nil

	mu       sync.Mutex
	lastCall time.Time // when a call for the list came last
	notices  map[string]string
}

// newAgent starts an agent.
func (r *rig) newAgent(name string, d *discovery, delay func() time.Duration) *agent {
	ln := listen()
	a := &agent{rig: r, name: name, addr: ln.Addr().String(), discovery: d, delay: delay, notices: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.members)
	mux.HandleFunc("POST /v1/notices", a.takeNotices)
	go func() { _ = http.Serve(ln, mux) }()
	return a
}

// members answers a call for the list.
func (a *agent) members(w http.ResponseWriter, req *http.Request) {
	began := time.Now()
	a.mu.Lock()
	a.lastCall = began
	a.mu.Unlock()
	from, _ := strconv.Atoi(req.URL.Query().Get("from"))
	holdMS, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
	var delay time.Duration
	if a.delay != nil {
		delay = a.delay()
	}
	hold := time.NewTimer(time.Duration(holdMS) * time.Millisecond)
	defer hold.Stop()
	l, changed := a.discovery.since(from)
wait:
	for from > 0 && l.Version <= from {
		select {
		case <-changed:
			l, changed = a.discovery.since(from)
		case <-hold.C:
			break wait
		case <-req.Context().Done():
			a.rig.record("agent %s: call for the list from %d given up after %.3f s", a.name, from, time.Since(began).Seconds())
			return
		}
	}
	time.Sleep(delay)
	l, _ = a.discovery.since(from)
	text, err := json.Marshal(l)
	must(err)
	_, _ = w.Write(text)
	var changes []string
	for _, s := range l.Servers {
		changes = append(changes, s.ID+" "+s.State)
	}
	a.rig.record("agent %s: answers from=%d hold=%d after %.3f s: version %d, full %v: %s", a.name, from, holdMS,
		time.Since(began).Seconds(), l.Version, l.Full, strings.Join(changes, ", "))
}

// sinceLastCall returns the time since a call for the list came.
func (a *agent) sinceLastCall() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.lastCall)
}

// takeNotices takes notices.
func (a *agent) takeNotices(w http.ResponseWriter, req *http.Request) {
	for decoder := json.NewDecoder(req.Body); decoder.More(); {
		var n struct{ Message, Outcome string }
		if decoder.Decode(&n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.mu.Lock()
		a.notices[n.Message] = n.Outcome
		a.mu.Unlock()
		a.rig.record("agent %s: notice %s %s", a.name, n.Message, n.Outcome)
	}
	w.WriteHeader(http.StatusNoContent)
}

// noticeOf returns the outcome that a notice told of a message, or "".
func (a *agent) noticeOf(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.notices[id]
}
