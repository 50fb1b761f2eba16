package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// call is a message that an endpoint got.
type call struct {
	id   string
	body string
	at   time.Time
}

// endpoint is a server of a partner. It answers each message with 200 after its work.
type endpoint struct {
	rig  *rig
	name string
	addr string
	kind string
	work time.Duration

	server *http.Server

	mu       sync.Mutex
	calls    []call
	handedIn map[string]bool // if set, a message with another id is answered 400
}

// newEndpoint starts an endpoint.
func (r *rig) newEndpoint(name, kind string, work time.Duration) *endpoint {
	ln := listen()
	e := &endpoint{rig: r, name: name, addr: ln.Addr().String(), kind: kind, work: work}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hook", e.hook)
	mux.HandleFunc("POST /hook/batch", e.batch)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(ln) }()
	return e
}

// shut ends the endpoint: new connections are refused, and open ones end.
func (e *endpoint) shut() { _ = e.server.Close() }

// entry returns the endpoint's entry of the list, of a kind that takes one message a call at both deployments.
func (e *endpoint) entry(cell int, state string) server {
	return server{ID: "s-" + e.name, Addr: e.addr, Zone: "dc1", Kind: e.kind, Cell: cell, State: state, Weight: 100}
}

// take records a message.
func (e *endpoint) take(id, body string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, call{id, body, at})
}

// expect has the endpoint answer 400 to messages that no client handed in, but for one with the given id.
func (e *endpoint) expect(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.handedIn == nil {
		e.handedIn = map[string]bool{}
	}
	e.handedIn[id] = true
}

// expects reports whether a client handed in a message with an id, as far as the endpoint is told.
func (e *endpoint) expects(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.handedIn == nil || e.handedIn[id]
}

// since returns the messages that came after a time.
func (e *endpoint) since(t time.Time) []call {
	e.mu.Lock()
	defer e.mu.Unlock()
	var later []call
	for _, c := range e.calls {
		if c.at.After(t) {
			later = append(later, c)
		}
	}
	return later
}

// hook takes a call with one message.
func (e *endpoint) hook(w http.ResponseWriter, req *http.Request) {
	at := time.Now()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get("X-Call-Id")
	e.take(id, string(body), at)
	e.rig.record("endpoint %s: %s (%d bytes)", e.name, id, len(body))
	time.Sleep(e.work)
	if !e.expects(id) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// batch takes a call with several messages.
func (e *endpoint) batch(w http.ResponseWriter, req *http.Request) {
	at := time.Now()
	var items []struct {
		ID   string
		Body []byte
	}
	if json.NewDecoder(req.Body).Decode(&items) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer := []object{}
	for _, item := range items {
		e.take(item.ID, string(item.Body), at)
		e.rig.record("endpoint %s: %s (%d bytes, in a list)", e.name, item.ID, len(item.Body))
		answer = append(answer, object{"id": item.ID, "state": "done"})
	}
	time.Sleep(e.work)
	text, err := json.Marshal(answer)
	must(err)
	_, _ = w.Write(text)
}
