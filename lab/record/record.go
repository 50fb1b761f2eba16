// Package record holds what the parts of the laboratory saw, each with its own eyes: clients, partners, the agent and
// those who start processes. The dispatcher's own word is not in it. Times are seconds since the run began.
package record

import (
	"bufio"
	"encoding/json"
	"io"
	"math"
	"slices"
	"sync"
)

// HandIn is one try of a client to hand in a notification. Each has an id of its own.
type HandIn struct {
	ID         string  `json:"id"`
	Origin     int     `json:"origin"` // the notification of the plan that it stands for
	Try        int     `json:"try"`    // of it, from 0
	Topic      string  `json:"topic"`
	Tenant     string  `json:"tenant"`
	Dest       int     `json:"dest"`
	Key        string  `json:"key,omitempty"`
	Dispatcher int     `json:"dispatcher"`
	Planned    float64 `json:"planned"` // when the notification was to be handed in
	Sent       float64 `json:"sent"`
	Until      float64 `json:"until"` // when its TTL ends
	Answered   float64 `json:"answered,omitempty"`
	Status     int     `json:"status,omitempty"` // 0: no answer
	RetryAfter float64 `json:"retry_after,omitempty"`
	Why        string  `json:"why,omitempty"` // without an answer: refused, closed, or late
}

// Taken tells whether a dispatcher took it on.
func (h *HandIn) Taken() bool { return h.Status == 200 || h.Status == 202 }

// Refused tells whether its client was told that it has no effect and may come again.
func (h *HandIn) Refused() bool { return h.Status == 503 || h.Status == 429 }

// State is what became of one notification in a call.
type State string

// The states.
const (
	Done   State = "done"   // answered as delivered
	Failed State = "failed" // answered as failed
	Busy   State = "busy"   // turned away
	Open   State = ""       // no answer
	Odd    State = "odd"    // an answer that cannot be read
)

// Call is one call that reached an endpoint.
type Call struct {
	Endpoint string   `json:"endpoint"`
	Dest     int      `json:"dest"`
	Conn     int      `json:"conn"`
	Reused   bool     `json:"reused,omitempty"`
	IDs      []string `json:"ids"`
	First    float64  `json:"first"`          // its first byte came
	Last     float64  `json:"last"`           // its last byte came
	End      float64  `json:"end,omitempty"`  // its answer was written, or its connection ended; 0: neither
	Left     bool     `json:"left,omitempty"` // the caller ended the connection
	Status   int      `json:"status,omitempty"`
	Wait     float64  `json:"wait,omitempty"` // told
	States   []State  `json:"states"`         // as told, by id
	Ran      []bool   `json:"ran"`            // as it was, by id
	Why      string   `json:"why,omitempty"`  // what the endpoint did on purpose
}

// Told is what the agent told a dispatcher of endpoints.
type Told struct {
	Dispatcher int      `json:"dispatcher"`
	At         float64  `json:"at"`
	Version    int      `json:"version"`
	Full       bool     `json:"full,omitempty"`
	Entries    []Listed `json:"entries"`
}

// Listed is one entry of the list.
type Listed struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// Notice is a notice that the agent answered.
type Notice struct {
	Dispatcher int     `json:"dispatcher"`
	ID         string  `json:"id"`
	Outcome    string  `json:"outcome"`
	RetryIn    float64 `json:"retry_in,omitempty"`
	At         float64 `json:"at"` // its answer was written
}

// The outcomes of a notice.
const (
	GivenUp    = "given_up"
	HandedBack = "handed_back"
)

// Life is something that happened to a dispatcher's process.
type Life struct {
	Dispatcher int     `json:"dispatcher"`
	At         float64 `json:"at"`
	What       string  `json:"what"`
	Text       string  `json:"text,omitempty"`
}

// What can happen to a process.
const (
	Started = "started"
	Ready   = "ready"
	Termed  = "told to end"
	Killed  = "killed"
	Stalled = "stands still"
	Woken   = "goes on"
	Ended   = "ended"   // as it was told to
	Crashed = "crashed" // it ended and nobody asked
	OverUse = "over"    // it used more than its limits
)

// Journal gathers records; parts add to it side by side.
type Journal struct {
	lock    sync.Mutex
	HandIns []*HandIn
	Calls   []*Call
	Told    []Told
	Notices []Notice
	Lives   []Life
}

// Change runs f with the journal to itself: records that are in it change only so.
func (j *Journal) Change(f func()) {
	j.lock.Lock()
	defer j.lock.Unlock()
	f()
}

// HandIn adds a hand-in.
func (j *Journal) HandIn(h *HandIn) { j.Change(func() { j.HandIns = append(j.HandIns, h) }) }

// Until is when the first of the TTLs of some notifications ends.
func (j *Journal) Until(ids []string) float64 {
	first := math.Inf(1)
	j.Change(func() {
		for _, h := range j.HandIns {
			if slices.Contains(ids, h.ID) {
				first = min(first, h.Until)
			}
		}
	})
	return first
}

// Call adds a call.
func (j *Journal) Call(c *Call) { j.Change(func() { j.Calls = append(j.Calls, c) }) }

// Tell adds what was told.
func (j *Journal) Tell(t Told) { j.Change(func() { j.Told = append(j.Told, t) }) }

// Notice adds a notice.
func (j *Journal) Notice(n Notice) { j.Change(func() { j.Notices = append(j.Notices, n) }) }

// Life adds what happened to a process.
func (j *Journal) Life(l Life) { j.Change(func() { j.Lives = append(j.Lives, l) }) }

// Write writes all records, a JSON object a line, each named by its kind.
func (j *Journal) Write(to io.Writer) error {
	j.lock.Lock()
	defer j.lock.Unlock()
	b := bufio.NewWriter(to)
	e := json.NewEncoder(b)
	err := writeAll(e, "hand_in", j.HandIns, nil)
	err = writeAll(e, "call", j.Calls, err)
	err = writeAll(e, "told", j.Told, err)
	err = writeAll(e, "notice", j.Notices, err)
	err = writeAll(e, "life", j.Lives, err)
	if err != nil {
		return err
	}
	return b.Flush()
}

func writeAll[T any](e *json.Encoder, kind string, list []T, err error) error {
	for i := 0; i < len(list) && err == nil; i++ {
		err = e.Encode(map[string]T{kind: list[i]})
	}
	return err
}
