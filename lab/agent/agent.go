// Package agent plays the platform's agent beside each dispatcher: the list of endpoints, watches on it, and notices.
package agent

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"orchiddrift/lab/loop"
	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

// Agents are all dispatchers' agents.
type Agents struct {
	world   *scenario.World
	journal *record.Journal
	clock   *loop.Clock
	addr    func(scenario.Endpoint) string
	changes []change
	servers []*http.Server
	stop    chan struct{}
}

// change is one version of the list.
type change struct {
	at      float64
	entries []server
}

// server is an endpoint as the list tells it.
type server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// list is the list as it is told.
type list struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// The states of an endpoint.
const (
	ready    = "ready"
	draining = "draining"
	gone     = "gone"
)

// Start opens an agent for each dispatcher.
func Start(w *scenario.World, j *record.Journal, clock *loop.Clock, network loop.Network,
	addr func(scenario.Endpoint) string) (*Agents, error) {
	a := &Agents{world: w, journal: j, clock: clock, addr: addr, stop: make(chan struct{})}
	a.plan()
	for i := range w.Dispatchers.Count {
		old, err := a.open(i, network.AgentAddr(i))
		if err == nil && slices.ContainsFunc(w.Troubles, a.moves(i)) {
			t := w.Troubles[slices.IndexFunc(w.Troubles, a.moves(i))]
			if _, err = a.open(i, network.MovedAgentAddr(i)); err == nil {
				go a.leave(old, t)
			}
		}
		if err != nil {
			a.Close()
			return nil, fmt.Errorf("agent: %w", err)
		}
	}
	return a, nil
}

// open starts an agent at an address.
func (a *Agents) open(dispatcher int, addr string) (*door, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", func(rw http.ResponseWriter, r *http.Request) { a.members(dispatcher, rw, r) })
	mux.HandleFunc("POST /v1/notices", func(rw http.ResponseWriter, r *http.Request) { a.notices(dispatcher, rw, r) })
	d := &door{ln, &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}}
	a.servers = append(a.servers, d.server)
	go func() { _ = d.server.Serve(ln) }() // it ends with Close
	return d, nil
}

// door is an agent's address.
type door struct {
	ln     net.Listener
	server *http.Server
}

// moves finds the trouble that moves a dispatcher's agent.
func (a *Agents) moves(dispatcher int) func(scenario.Trouble) bool {
	return func(t scenario.Trouble) bool {
		return t.Kind == scenario.MoveAgent && t.AppliesToDispatcher(dispatcher)
	}
}

// leave closes the old address once the agent has moved: it takes no new connection from then on, and closes the open
// ones a little later.
func (a *Agents) leave(old *door, t scenario.Trouble) {
	const lasts = 1500 * time.Millisecond
	for a.clock.Now() < t.At {
		select {
		case <-a.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	_ = old.ln.Close()
	select {
	case <-a.stop:
	case <-time.After(lasts):
		_ = old.server.Close()
	}
}

// Close ends them.
func (a *Agents) Close() {
	close(a.stop)
	for _, s := range a.servers {
		_ = s.Close()
	}
}

// plan lists the versions that the run's drains make.
func (a *Agents) plan() {
	a.changes = []change{{at: -1}}
	for _, p := range a.world.Partners {
		for _, e := range p.Endpoints {
			if e.AddedAt == 0 {
				a.changes[0].entries = append(a.changes[0].entries, a.entry(p, e, ready))
			}
		}
	}
	later := map[float64][]server{}
	for _, p := range a.world.Partners {
		for _, e := range p.Endpoints {
			learned := a.world.ListDelay(e)
			if e.DrainsAt > 0 {
				later[e.DrainsAt+learned] = append(later[e.DrainsAt+learned], a.entry(p, e, draining))
				later[e.RemovedAt+learned] = append(later[e.RemovedAt+learned], a.entry(p, e, gone))
			}
			if e.AddedAt > 0 {
				later[e.AddedAt+learned] = append(later[e.AddedAt+learned], a.entry(p, e, ready))
			}
		}
	}
	for at, entries := range later {
		a.changes = append(a.changes, change{at, entries})
	}
	slices.SortFunc(a.changes, func(x, y change) int {
		if x.at < y.at {
			return -1
		}
		return 1 // no two are of one moment
	})
}

func (a *Agents) entry(p scenario.Partner, e scenario.Endpoint, state string) server {
	return server{ID: e.ID, Addr: a.addr(e), Zone: e.Zone, Kind: p.Kind.Name, Cell: e.Dest, State: state, Weight: p.ListedRate()}
}

// InitialList is the list as a dispatcher has it at its start, in the platform's form.
func (a *Agents) InitialList() any {
	return list{Version: 1, Full: true, Servers: a.changes[0].entries}
}

// at is the version of a moment; they count from 1.
func (a *Agents) at(now float64) int {
	version := 1
	for i, c := range a.changes {
		if c.at <= now {
			version = i + 1
		}
	}
	return version
}

// down tells whether the list is silent for a dispatcher, and until when.
func (a *Agents) down(dispatcher int, now float64) (float64, bool) {
	for _, t := range a.world.Troubles {
		if t.Kind == scenario.ListDown && now >= t.At && now < t.End() && t.AppliesToDispatcher(dispatcher) {
			return t.End(), true
		}
	}
	return 0, false
}

// slow is how much longer an answer takes now.
func (a *Agents) slow(dispatcher int, now float64) float64 {
	for _, t := range a.world.Troubles {
		if t.Kind == scenario.ListSlow && now >= t.At && now < t.End() && t.AppliesToDispatcher(dispatcher) {
			return t.Factor
		}
	}
	return 0
}

// members tells the list, or waits for a change of it.
func (a *Agents) members(dispatcher int, rw http.ResponseWriter, r *http.Request) {
	const mostHold = 60_000
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	watch := err == nil && from >= 1 && from <= len(a.changes)
	until := time.Now().Add(time.Duration(min(max(hold, 0), mostHold)) * time.Millisecond)
	for {
		now := a.clock.Now()
		if end, is := a.down(dispatcher, now); is {
			if !a.sleep(r, min(a.clock.Until(end), 50*time.Millisecond)) {
				return
			}
			continue
		}
		if slow := a.slow(dispatcher, now); slow > 0 && !a.sleep(r, time.Duration(slow*float64(time.Second))) {
			return
		}
		version := a.at(now)
		if !watch || version > from || time.Now().After(until) {
			a.tell(dispatcher, rw, from, version, !watch)
			return
		}
		if !a.sleep(r, 10*time.Millisecond) {
			return
		}
	}
}

// sleep waits a little; false where nobody waits for the answer any more.
func (a *Agents) sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(max(d, time.Millisecond)):
		return true
	case <-r.Context().Done():
	case <-a.stop:
	}
	return false
}

// tell writes the whole list, or what changed, and notes it.
func (a *Agents) tell(dispatcher int, rw http.ResponseWriter, from, version int, full bool) {
	l := list{Version: version, Full: full, Servers: []server{}}
	if full {
		from = 0
	}
	entries := map[string]int{}
	for _, c := range a.changes[from:max(from, version)] {
		for _, e := range c.entries {
			if i, ok := entries[e.ID]; ok {
				l.Servers[i] = e
				continue
			}
			entries[e.ID] = len(l.Servers)
			l.Servers = append(l.Servers, e)
		}
	}
	if full {
		l.Servers = slices.DeleteFunc(l.Servers, func(s server) bool { return s.State == gone })
	}
	body, err := json.Marshal(l)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := rw.Write(body); err != nil {
		return
	}
	if f, ok := rw.(http.Flusher); ok {
		f.Flush()
	}
	told := record.ListUpdate{Dispatcher: dispatcher, At: a.clock.Now(), Version: version, Full: full}
	for _, s := range l.Servers {
		told.Entries = append(told.Entries, record.ListEntry{ID: s.ID, State: s.State})
	}
	if full || len(told.Entries) > 0 {
		a.journal.AddListUpdate(told)
	}
}

// notices takes notices, a JSON object a line.
func (a *Agents) notices(dispatcher int, rw http.ResponseWriter, r *http.Request) {
	var all []record.Notice
	in := bufio.NewScanner(r.Body)
	for in.Scan() {
		var line struct {
			Message   string
			Outcome   string
			RetryInMS float64 `json:"retry_in_ms"`
		}
		if json.Unmarshal(in.Bytes(), &line) != nil || line.Message == "" ||
			line.Outcome != record.GivenUp && line.Outcome != record.HandedBack {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		all = append(all, record.Notice{Dispatcher: dispatcher, ID: line.Message, Outcome: line.Outcome,
			RetryIn: line.RetryInMS / 1000})
	}
	now := a.clock.Now()
	for _, n := range all {
		n.At = now
		a.journal.AddNotice(n)
	}
	rw.WriteHeader(http.StatusNoContent)
}
