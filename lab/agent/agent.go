// Package agent simulates the platform's agent beside each dispatcher: it serves the list of endpoints, long polls for
// changes of the list, and accepts notices.
package agent

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"orchiddrift/lab/loop"
	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

// Agents runs the agents of all dispatchers.
type Agents struct {
	world        *scenario.World
	journal      *record.Journal
	clock        *loop.Clock
	endpointAddr func(scenario.Endpoint) string
	versions     []listVersion
	servers      []*http.Server
	stop         chan struct{} // closed by Close
	lostMu       sync.Mutex
	lost         *rand.Rand // draws which requests with notices are ignored; guarded by lostMu
}

// listVersion holds the entries that change with one version of the list. The first version holds the whole list.
type listVersion struct {
	at      float64
	entries []server
}

// server is the JSON form of an endpoint in the platform's list.
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

// list is the JSON form of the platform's list, either whole or the changes since an earlier version.
type list struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// The states of an endpoint in the list.
const (
	ready    = "ready"
	draining = "draining"
	gone     = "gone"
)

// Start starts an agent for each dispatcher. If the scenario moves a dispatcher's agent, the agent is served at both addresses
// until the old one closes. endpointAddr returns an endpoint's address.
func Start(world *scenario.World, journal *record.Journal, clock *loop.Clock, network loop.Network,
	endpointAddr func(scenario.Endpoint) string) (*Agents, error) {
	a := &Agents{world: world, journal: journal, clock: clock, endpointAddr: endpointAddr, stop: make(chan struct{}),
		lost: rand.New(rand.NewPCG(world.Seed, lostStream))}
	a.planVersions()
	for i := range world.Dispatchers.Count {
		oldServer, err := a.startServer(i, network.AgentAddr(i))
		if err == nil && slices.ContainsFunc(world.Troubles, a.movesAgentOf(i)) {
			t := world.Troubles[slices.IndexFunc(world.Troubles, a.movesAgentOf(i))]
			if _, err = a.startServer(i, network.MovedAgentAddr(i)); err == nil {
				go a.closeOldAddr(oldServer, t)
			}
		}
		if err != nil {
			a.Close()
			return nil, fmt.Errorf("agent: %w", err)
		}
	}
	return a, nil
}

// startServer serves a dispatcher's agent at an address.
func (a *Agents) startServer(dispatcher int, addr string) (*agentServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", func(rw http.ResponseWriter, r *http.Request) { a.handleMembers(dispatcher, rw, r) })
	mux.HandleFunc("POST /v1/notices", func(rw http.ResponseWriter, r *http.Request) { a.handleNotices(dispatcher, rw, r) })
	s := &agentServer{ln, &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}}
	follow := a.newFollower(dispatcher)
	s.server.ConnState = follow.connState
	a.servers = append(a.servers, s.server)
	go func() { _ = s.server.Serve(recordingListener{ln}) }() // returns once the server is closed
	return s, nil
}

// agentServer is an agent served at one address.
type agentServer struct {
	ln     net.Listener
	server *http.Server
}

// movesAgentOf returns a predicate that reports whether a trouble moves a dispatcher's agent.
func (a *Agents) movesAgentOf(dispatcher int) func(scenario.Trouble) bool {
	return func(t scenario.Trouble) bool {
		return t.Kind == scenario.MoveAgent && t.AppliesToDispatcher(dispatcher)
	}
}

// closeOldAddr closes an agent's old address when the agent moves: from then on no new connection is accepted, and the
// open ones are closed after closeDelay.
func (a *Agents) closeOldAddr(oldServer *agentServer, t scenario.Trouble) {
	const closeDelay = 1500 * time.Millisecond
	for a.clock.Now() < t.At {
		select {
		case <-a.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	_ = oldServer.ln.Close()
	select {
	case <-a.stop:
	case <-time.After(closeDelay):
		_ = oldServer.server.Close()
	}
}

// Close stops all agents.
func (a *Agents) Close() {
	close(a.stop)
	for _, s := range a.servers {
		_ = s.Close()
	}
}

// planVersions computes the versions of the list and when each is published, from the endpoints that are added, drain and are
// removed during the run.
func (a *Agents) planVersions() {
	a.versions = []listVersion{{at: -1}}
	for _, p := range a.world.Partners {
		for _, e := range p.Endpoints {
			if e.AddedAt == 0 {
				a.versions[0].entries = append(a.versions[0].entries, a.entry(p, e, ready))
			}
		}
	}
	byTime := map[float64][]server{}
	for _, p := range a.world.Partners {
		for _, e := range p.Endpoints {
			listDelay := a.world.ListDelay(e)
			if e.DrainsAt > 0 {
				byTime[e.DrainsAt+listDelay] = append(byTime[e.DrainsAt+listDelay], a.entry(p, e, draining))
				byTime[e.RemovedAt+listDelay] = append(byTime[e.RemovedAt+listDelay], a.entry(p, e, gone))
			}
			if e.AddedAt > 0 {
				byTime[e.AddedAt+listDelay] = append(byTime[e.AddedAt+listDelay], a.entry(p, e, ready))
			}
		}
	}
	for at, entries := range byTime {
		a.versions = append(a.versions, listVersion{at, entries})
	}
	slices.SortFunc(a.versions, func(x, y listVersion) int {
		if x.at < y.at {
			return -1
		}
		return 1 // the times are distinct
	})
}

// entry returns an endpoint's entry in the list.
func (a *Agents) entry(p scenario.Partner, e scenario.Endpoint, state string) server {
	return server{ID: e.ID, Addr: a.endpointAddr(e), Zone: e.Zone, Kind: p.Kind.Name, Cell: e.Dest, State: state, Weight: p.ListedRate()}
}

// InitialList returns the list that a dispatcher is configured with when it starts, for encoding as JSON.
func (a *Agents) InitialList() any {
	return list{Version: 1, Full: true, Servers: a.versions[0].entries}
}

// versionAt returns the version of the list at the time now. Versions count from 1.
func (a *Agents) versionAt(now float64) int {
	version := 1
	for i, v := range a.versions {
		if v.at <= now {
			version = i + 1
		}
	}
	return version
}

// listDownUntil reports whether a dispatcher's requests for the list go unanswered, and if so until when.
func (a *Agents) listDownUntil(dispatcher int, now float64) (float64, bool) {
	for _, t := range a.world.ActiveTroubles(dispatcher, now, scenario.ListDown) {
		return t.End(), true
	}
	return 0, false
}

// extraDelay returns by how many seconds a response with the list is delayed now.
func (a *Agents) extraDelay(dispatcher int, now float64) float64 {
	for _, t := range a.world.ActiveTroubles(dispatcher, now, scenario.ListSlow) {
		return t.Factor
	}
	return 0
}

// handleMembers serves the list. A request that names a valid version to start from is a long poll: it is answered once
// there is a newer version, or else after the time that it may be held.
func (a *Agents) handleMembers(dispatcher int, rw http.ResponseWriter, r *http.Request) {
	const maxHoldMS = 60_000
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	holdMS, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	longPoll := err == nil && from >= 1 && from <= len(a.versions)
	deadline := time.Now().Add(time.Duration(min(max(holdMS, 0), maxHoldMS)) * time.Millisecond)
	for {
		now := a.clock.Now()
		if end, down := a.listDownUntil(dispatcher, now); down {
			if !a.sleep(r, min(a.clock.Until(end), 50*time.Millisecond)) {
				return
			}
			continue
		}
		if delay := a.extraDelay(dispatcher, now); delay > 0 && !a.sleep(r, time.Duration(delay*float64(time.Second))) {
			return
		}
		version := a.versionAt(now)
		if !longPoll || version > from || time.Now().After(deadline) {
			a.writeList(dispatcher, rw, from, version, !longPoll)
			return
		}
		if !a.sleep(r, 10*time.Millisecond) {
			return
		}
	}
}

// sleep waits for d and reports whether the request can still be answered: it returns false once the request is cancelled or the
// agents are stopped.
func (a *Agents) sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(max(d, time.Millisecond)):
		return true
	case <-r.Context().Done():
	case <-a.stop:
	}
	return false
}

// writeList writes the whole list, or the changes since the version from, and records in the journal what was sent.
func (a *Agents) writeList(dispatcher int, rw http.ResponseWriter, from, version int, full bool) {
	response := list{Version: version, Full: full, Servers: []server{}}
	if full {
		from = 0
	}
	indexByID := map[string]int{}
	for _, v := range a.versions[from:max(from, version)] {
		for _, e := range v.entries {
			if i, ok := indexByID[e.ID]; ok {
				response.Servers[i] = e
				continue
			}
			indexByID[e.ID] = len(response.Servers)
			response.Servers = append(response.Servers, e)
		}
	}
	if full {
		response.Servers = slices.DeleteFunc(response.Servers, func(s server) bool { return s.State == gone })
	}
	body, err := json.Marshal(response)
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
	sent := record.ListUpdate{Dispatcher: dispatcher, At: a.clock.Now(), Version: version, Full: full}
	for _, s := range response.Servers {
		sent.Entries = append(sent.Entries, record.ListEntry{ID: s.ID, State: s.State})
	}
	if full || len(sent.Entries) > 0 {
		a.journal.AddListUpdate(sent)
	}
}

// handleNotices accepts notices, one JSON object a line, and records them in the journal.
func (a *Agents) handleNotices(dispatcher int, rw http.ResponseWriter, r *http.Request) {
	if a.losesNotices(dispatcher) {
		panic(http.ErrAbortHandler) // the server closes the connection
	}
	var notices []record.Notice
	scanner := bufio.NewScanner(r.Body)
	for scanner.Scan() {
		var line struct {
			Message   string
			Outcome   string
			RetryInMS float64 `json:"retry_in_ms"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Message == "" ||
			line.Outcome != record.GivenUp && line.Outcome != record.HandedBack {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		notices = append(notices, record.Notice{Dispatcher: dispatcher, ID: line.Message, Outcome: line.Outcome,
			RetryIn: line.RetryInMS / 1000})
	}
	now := a.clock.Now()
	for _, n := range notices {
		n.At = now
		a.journal.AddNotice(n)
	}
	rw.WriteHeader(http.StatusNoContent)
}
