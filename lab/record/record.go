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
	ID            string  `json:"id"`
	PlanIndex     int     `json:"origin"` // the notification of the plan that it stands for
	Try           int     `json:"try"`    // of it, from 0
	Topic         string  `json:"topic"`
	Tenant        string  `json:"tenant"`
	Dest          int     `json:"dest"`
	Key           string  `json:"key,omitempty"`
	Dispatcher    int     `json:"dispatcher"`
	PlannedAt     float64 `json:"planned"` // when the notification was to be handed in
	SentAt        float64 `json:"sent"`
	ExpiresAt     float64 `json:"until"` // when its TTL ends
	AnsweredAt    float64 `json:"answered,omitempty"`
	Status        int     `json:"status,omitempty"` // 0: no answer
	RetryAfter    float64 `json:"retry_after,omitempty"`
	FailureReason string  `json:"why,omitempty"` // without an answer: refused, closed, or late
}

// Accepted tells whether a dispatcher took it on.
func (h *HandIn) Accepted() bool { return h.Status == 200 || h.Status == 202 }

// Refused tells whether its client was told that it has no effect and may come again.
func (h *HandIn) Refused() bool { return h.Status == 503 || h.Status == 429 }

// PushState is what became of one notification in a call.
type PushState string

// The states.
const (
	Delivered  PushState = "done"   // answered as delivered
	Failed     PushState = "failed" // answered as failed
	Throttled  PushState = "busy"   // turned away
	Unanswered PushState = ""       // no answer
	Unreadable PushState = "odd"    // an answer that cannot be read
)

// Call is one call that reached an endpoint.
type Call struct {
	Endpoint     string      `json:"endpoint"`
	Dest         int         `json:"dest"`
	ConnID       int         `json:"conn"`
	Reused       bool        `json:"reused,omitempty"`
	IDs          []string    `json:"ids"`
	FirstByteAt  float64     `json:"first"`          // its first byte came
	LastByteAt   float64     `json:"last"`           // its last byte came
	EndedAt      float64     `json:"end,omitempty"`  // its answer was written, or its connection ended; 0: neither
	CallerClosed bool        `json:"left,omitempty"` // the caller ended the connection
	Status       int         `json:"status,omitempty"`
	ToldWait     float64     `json:"wait,omitempty"` // told
	States       []PushState `json:"states"`         // as told, by id
	Ran          []bool      `json:"ran"`            // as it was, by id
	Cause        string      `json:"why,omitempty"`  // what the endpoint did on purpose
}

// ListUpdate is what the agent told a dispatcher of endpoints.
type ListUpdate struct {
	Dispatcher int         `json:"dispatcher"`
	At         float64     `json:"at"`
	Version    int         `json:"version"`
	Full       bool        `json:"full,omitempty"`
	Entries    []ListEntry `json:"entries"`
}

// ListEntry is one entry of the list.
type ListEntry struct {
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

// ProcessEvent is something that happened to a dispatcher's process.
type ProcessEvent struct {
	Dispatcher int     `json:"dispatcher"`
	At         float64 `json:"at"`
	Kind       string  `json:"what"`
	Detail     string  `json:"text,omitempty"`
}

// What can happen to a process.
const (
	Started       = "started"
	Ready         = "ready"
	TerminateSent = "told to end"
	Killed        = "killed"
	Stalled       = "stands still"
	Resumed       = "goes on"
	Exited        = "ended"   // as it was told to
	Crashed       = "crashed" // it ended and nobody asked
	LimitExceeded = "over"    // it used more than its limits
)

// Journal gathers records; parts add to it side by side.
type Journal struct {
	lock          sync.Mutex
	HandIns       []*HandIn
	Calls         []*Call
	ListUpdates   []ListUpdate
	Notices       []Notice
	ProcessEvents []ProcessEvent
}

// WithLock runs f with the journal to itself: records that are in it change only so.
func (j *Journal) WithLock(f func()) {
	j.lock.Lock()
	defer j.lock.Unlock()
	f()
}

// AddHandIn adds a hand-in.
func (j *Journal) AddHandIn(h *HandIn) { j.WithLock(func() { j.HandIns = append(j.HandIns, h) }) }

// EarliestExpiry is when the first of the TTLs of some notifications ends.
func (j *Journal) EarliestExpiry(ids []string) float64 {
	first := math.Inf(1)
	j.WithLock(func() {
		for _, h := range j.HandIns {
			if slices.Contains(ids, h.ID) {
				first = min(first, h.ExpiresAt)
			}
		}
	})
	return first
}

// AddCall adds a call.
func (j *Journal) AddCall(c *Call) { j.WithLock(func() { j.Calls = append(j.Calls, c) }) }

// AddListUpdate adds what was told.
func (j *Journal) AddListUpdate(t ListUpdate) {
	j.WithLock(func() { j.ListUpdates = append(j.ListUpdates, t) })
}

// AddNotice adds a notice.
func (j *Journal) AddNotice(n Notice) { j.WithLock(func() { j.Notices = append(j.Notices, n) }) }

// AddProcessEvent adds what happened to a process.
func (j *Journal) AddProcessEvent(l ProcessEvent) {
	j.WithLock(func() { j.ProcessEvents = append(j.ProcessEvents, l) })
}

// Write writes all records, a JSON object a line, each named by its kind.
func (j *Journal) Write(to io.Writer) error {
	j.lock.Lock()
	defer j.lock.Unlock()
	b := bufio.NewWriter(to)
	e := json.NewEncoder(b)
	err := writeAll(e, "hand_in", j.HandIns, nil)
	err = writeAll(e, "call", j.Calls, err)
	err = writeAll(e, "told", j.ListUpdates, err)
	err = writeAll(e, "notice", j.Notices, err)
	err = writeAll(e, "life", j.ProcessEvents, err)
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
