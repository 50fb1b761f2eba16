// Package record holds what the parts of the laboratory observed during a run: clients, partners, the platform's agent, and
// the code that starts and signals processes. It contains nothing that a dispatcher reports about itself. All times are
// seconds since the start of the run.
package record

import (
	"bufio"
	"encoding/json"
	"io"
	"math"
	"slices"
	"sync"

	"orchiddrift/lab/content"
)

// HandIn is one try of a client to hand in a notification. Each try has its own ID.
type HandIn struct {
	ID            string         `json:"id"`
	PlanIndex     int            `json:"origin"` // index of the notification in the load plan
	Try           int            `json:"try"`    // number of the try, from 0; a try without a usable dispatcher counts but has no record
	Topic         string         `json:"topic"`
	Tenant        string         `json:"tenant"`
	Dest          int            `json:"dest"`
	Key           string         `json:"key,omitempty"`
	Dispatcher    int            `json:"dispatcher"`
	PlannedAt     float64        `json:"planned"` // when the plan schedules the notification
	SentAt        float64        `json:"sent"`
	ExpiresAt     float64        `json:"until"` // when the TTL of the notification ends
	AnsweredAt    float64        `json:"answered,omitempty"`
	Status        int            `json:"status,omitempty"` // HTTP status; 0 without an answer
	RetryAfter    float64        `json:"retry_after,omitempty"`
	FailureReason string         `json:"why,omitempty"`     // why there is no answer: refused, closed, or late
	Content       content.Digest `json:"content,omitempty"` // digest of what the client handed in
	Foreign       bool           `json:"foreign,omitempty"` // of a bad client; it may have the ID of another client's hand-in
	LeftAt        float64        `json:"left,omitempty"`    // when its client left with no answer; 0: it did not
	// Unanswered lists the connections that the other side ended with no whole answer, although the request was written in full.
	Unanswered []Attempt `json:"unanswered,omitempty"`
}

// MessageKey identifies a message: hand-ins with one ID may have different content.
type MessageKey struct {
	ID      string
	Content content.Digest
}

// Message returns the message that was handed in.
func (h *HandIn) Message() MessageKey { return MessageKey{h.ID, h.Content} }

// Attempt is a request on one connection.
type Attempt struct {
	WrittenAt float64 `json:"written"`            // when the last byte of the request was written
	EndedAt   float64 `json:"ended"`              // when the client saw the end of the connection
	Reused    bool    `json:"reused,omitempty"`   // the connection had carried a request before
	IdleFor   float64 `json:"idle_for,omitempty"` // seconds that a reused connection had been idle before
	LocalAddr string  `json:"addr"`               // the client's address
}

// PlannedEnd is a client's connection that the laboratory ended, or that it did not forward to the dispatcher.
type PlannedEnd struct {
	Addr  string  `json:"addr"` // the client's address
	At    float64 `json:"at"`
	Cause string  `json:"why"`
}

// Accepted reports whether a dispatcher accepted the notification.
func (h *HandIn) Accepted() bool { return h.Status == 200 || h.Status == 202 }

// Refused reports whether a dispatcher refused the notification without effect, so that the client may retry.
func (h *HandIn) Refused() bool { return h.Status == 503 || h.Status == 429 }

// PushState is the outcome of one notification in a call.
type PushState string

// The outcomes of a push.
const (
	Delivered  PushState = "done"   // the answer reports success
	Failed     PushState = "failed" // the answer reports a failure
	Throttled  PushState = "busy"   // the endpoint turned the notification away
	Unanswered PushState = ""       // there was no answer
	Unreadable PushState = "odd"    // the answer cannot be parsed
)

// Call is one call that reached an endpoint.
type Call struct {
	Endpoint     string           `json:"endpoint"`
	Dest         int              `json:"dest"`
	ConnID       int              `json:"conn"`
	Reused       bool             `json:"reused,omitempty"`   // the connection had carried a call before
	IDs          []string         `json:"ids"`                // hand-ins that the call carries
	Contents     []content.Digest `json:"contents,omitempty"` // digests of what came for each of IDs
	FirstByteAt  float64          `json:"first"`              // when the first byte of the request arrived
	LastByteAt   float64          `json:"last"`               // when the last byte of the request arrived
	EndedAt      float64          `json:"end,omitempty"`      // when the answer was written or the connection ended; 0: neither yet
	CallerClosed bool             `json:"left,omitempty"`     // the caller closed the connection before the answer
	Status       int              `json:"status,omitempty"`   // HTTP status
	ToldWait     float64          `json:"wait,omitempty"`     // told wait of the answer
	States       []PushState      `json:"states"`             // outcome that the answer reports, for each of IDs
	Ran          []bool           `json:"ran"`                // whether the partner really executed the push, for each of IDs
	Cause        string           `json:"why,omitempty"`      // the simulated fault or exhausted resource behind the answer
}

// Message returns the message that the call carries for the i-th of its IDs.
func (c *Call) Message(i int) MessageKey {
	key := MessageKey{ID: c.IDs[i]}
	if i < len(c.Contents) {
		key.Content = c.Contents[i]
	}
	return key
}

// ListUpdate is a change to the list of endpoints that the agent sent to a dispatcher.
type ListUpdate struct {
	Dispatcher int         `json:"dispatcher"`
	At         float64     `json:"at"`
	Version    int         `json:"version"`
	Full       bool        `json:"full,omitempty"` // the whole list, not a difference
	Entries    []ListEntry `json:"entries"`
}

// ListEntry is one endpoint of the list and its stage.
type ListEntry struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// Notice is a notice from a dispatcher that the agent answered.
type Notice struct {
	Dispatcher int     `json:"dispatcher"`
	ID         string  `json:"id"`
	Outcome    string  `json:"outcome"`
	RetryIn    float64 `json:"retry_in,omitempty"`
	At         float64 `json:"at"` // when the answer was written
}

// The outcomes of a notice.
const (
	GivenUp    = "given_up"
	HandedBack = "handed_back"
)

// ProcessEvent is an event in the life of a dispatcher's process.
type ProcessEvent struct {
	Dispatcher int     `json:"dispatcher"`
	At         float64 `json:"at"`
	Kind       string  `json:"what"`
	Detail     string  `json:"text,omitempty"`
}

// The kinds of process events.
const (
	Started       = "started"
	Ready         = "ready"
	TerminateSent = "told to end"
	Killed        = "killed"
	Stalled       = "stands still"
	Resumed       = "goes on"
	Exited        = "ended"   // the process exited on request
	Crashed       = "crashed" // the process exited without a request
	LimitExceeded = "over"    // the process exceeded one of its limits
)

// Journal collects the records of a run. Its methods may be called concurrently. mu guards all fields.
type Journal struct {
	mu            sync.Mutex
	HandIns       []*HandIn
	Calls         []*Call
	ListUpdates   []ListUpdate
	Notices       []Notice
	ProcessEvents []ProcessEvent
	PlannedEnds   []PlannedEnd
}

// WithLock runs f while it holds the journal's lock. Records already in the journal may only be read or changed within f.
func (j *Journal) WithLock(f func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f()
}

// AddHandIn appends a hand-in.
func (j *Journal) AddHandIn(h *HandIn) { j.WithLock(func() { j.HandIns = append(j.HandIns, h) }) }

// EarliestExpiry returns the earliest end of a TTL among the hand-ins with the given IDs, or +Inf if there are none.
func (j *Journal) EarliestExpiry(ids []string) float64 {
	earliest := math.Inf(1)
	j.WithLock(func() {
		for _, h := range j.HandIns {
			if slices.Contains(ids, h.ID) {
				earliest = min(earliest, h.ExpiresAt)
			}
		}
	})
	return earliest
}

// AddCall appends a call.
func (j *Journal) AddCall(c *Call) { j.WithLock(func() { j.Calls = append(j.Calls, c) }) }

// AddListUpdate appends a change to the list of endpoints.
func (j *Journal) AddListUpdate(u ListUpdate) {
	j.WithLock(func() { j.ListUpdates = append(j.ListUpdates, u) })
}

// AddPlannedEnd appends a connection that the laboratory ended.
func (j *Journal) AddPlannedEnd(e PlannedEnd) {
	j.WithLock(func() { j.PlannedEnds = append(j.PlannedEnds, e) })
}

// TerminatingSince returns when the current process of a dispatcher was sent a termination signal. ok is false if it was not, or
// has exited.
func (j *Journal) TerminatingSince(dispatcher int) (at float64, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, event := range slices.Backward(j.ProcessEvents) {
		if event.Dispatcher != dispatcher {
			continue
		}
		switch event.Kind {
		case Stalled, Resumed, LimitExceeded: // say nothing of the process's end
		default:
			return event.At, event.Kind == TerminateSent
		}
	}
	return 0, false
}

// AddNotice appends a notice.
func (j *Journal) AddNotice(n Notice) { j.WithLock(func() { j.Notices = append(j.Notices, n) }) }

// AddProcessEvent appends a process event.
func (j *Journal) AddProcessEvent(e ProcessEvent) {
	j.WithLock(func() { j.ProcessEvents = append(j.ProcessEvents, e) })
}

// Write writes all records as JSON, one object per line. The only key of the object is the kind of the record.
func (j *Journal) Write(to io.Writer) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := bufio.NewWriter(to)
	e := json.NewEncoder(b)
	err := encodeAll(e, "hand_in", j.HandIns, nil)
	err = encodeAll(e, "call", j.Calls, err)
	err = encodeAll(e, "told", j.ListUpdates, err)
	err = encodeAll(e, "notice", j.Notices, err)
	err = encodeAll(e, "life", j.ProcessEvents, err)
	err = encodeAll(e, "planned_end", j.PlannedEnds, err)
	if err != nil {
		return err
	}
	return b.Flush()
}

// encodeAll encodes a list of records of one kind. It does nothing when err is not nil, and returns the first error.
func encodeAll[T any](e *json.Encoder, kind string, list []T, err error) error {
	for i := 0; i < len(list) && err == nil; i++ {
		err = e.Encode(map[string]T{kind: list[i]})
	}
	return err
}
