package partner

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"orchiddrift/lab/behaviour"
	"orchiddrift/lab/content"
	"orchiddrift/lab/record"
)

const (
	maxBodyBytes      = 1 << 20 // largest request body that is read
	minDelaySeconds   = 1e-4    // shorter response delays are skipped
	lateMarginSeconds = 0.1     // a late response is sent this long after the earliest TTL in its call has expired
)

// conn is a connection from a dispatcher. It has a reading and a serving goroutine, so that the end of the connection
// is detected while a call is being served.
type conn struct {
	*net.TCPConn
	listener   *listener
	id         int
	overLimit  bool // above the endpoint's connection limit: answered with 503 and closed
	calls      chan *inboundCall
	peerClosed chan struct{} // closed when the reader stops: the peer closed the connection, or reading failed
	closed     chan struct{} // closed by shutDown
	closeOnce  sync.Once
	history    *behaviour.AnswerHistory
}

// inboundCall is a call received on a connection.
type inboundCall struct {
	record    *record.Call
	dest      int
	malformed bool // the request cannot be parsed, or names a destination that this listener does not serve
}

// newConn returns a connection that l has accepted. id is its number among the connections of the run.
func newConn(l *listener, c *net.TCPConn, id int) *conn {
	return &conn{TCPConn: c, listener: l, id: id, calls: make(chan *inboundCall, 1), peerClosed: make(chan struct{}),
		closed: make(chan struct{}), history: behaviour.NewAnswerHistory(c)}
}

// shutDown closes the connection and removes it from its listener. It may be called more than once.
func (c *conn) shutDown() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.Close()
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
}

// reset closes the connection with a TCP reset, as the kernel does for a process that is killed.
func (c *conn) reset() {
	_ = c.SetLinger(0)
	c.shutDown()
}

// readCalls reads calls and passes them to serve until the connection ends.
func (c *conn) readCalls() {
	defer close(c.peerClosed)
	reader, clock := bufio.NewReaderSize(c, 4<<10), c.listener.partners.clock
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	for n := 0; ; n++ {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByteAt := clock.Now()
		if err := req.ReadLimitBody(reader, maxBodyBytes); err != nil {
			return // incomplete or oversized request
		}
		call := c.parseCall(req)
		call.record.FirstByteAt, call.record.LastByteAt, call.record.Reused = firstByteAt, clock.Now(), n > 0
		select {
		case c.calls <- call:
		case <-c.closed:
			return
		}
	}
}

// parseCall returns the notifications, the destination and the endpoint of a request. A listener that serves a single
// endpoint determines the destination; otherwise the id of the first notification does.
func (c *conn) parseCall(req *fasthttp.Request) *inboundCall {
	call := &inboundCall{record: &record.Call{ConnID: c.id}, dest: -1}
	switch path := string(req.URI().Path()); {
	case path == "/hook":
		call.record.IDs = []string{string(req.Header.Peek("X-Call-Id"))}
		call.record.Contents = []content.Digest{content.DigestOf(string(req.Header.Peek("Idempotency-Key")), req.Body())}
	case path == "/hook/batch":
		var entries []struct {
			ID, Key string
			Body    []byte // Base64 on the wire
		}
		call.malformed = json.Unmarshal(req.Body(), &entries) != nil || len(entries) == 0
		for _, entry := range entries {
			call.record.IDs = append(call.record.IDs, entry.ID)
			call.record.Contents = append(call.record.Contents, content.DigestOf(entry.Key, entry.Body))
		}
	default:
		call.malformed = true
	}
	if len(call.record.IDs) > 0 {
		call.dest = DestFromID(call.record.IDs[0])
	}
	if only := c.listener.sole; only != nil {
		call.dest = only.Dest
	}
	endpoint, known := c.listener.endpoints[call.dest]
	call.malformed = call.malformed || !known
	call.record.Endpoint, call.record.Dest = endpoint.ID, call.dest
	return call
}

// DestFromID returns the destination encoded in a notification id of the laboratory, which has the form DEST-PLANINDEX-TRY, or -1
// if the id has another form.
func DestFromID(id string) int {
	text, _, _ := strings.Cut(id, "-")
	dest, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return dest
}

// serve answers the calls of a connection one after another until either side closes it or it has been idle for too
// long.
func (c *conn) serve() {
	defer c.shutDown()
	idle := time.NewTimer(secondsToDuration(c.listener.kind().IdleTimeout))
	for {
		var call *inboundCall
		select {
		case call = <-c.calls:
		case <-idle.C:
			return
		case <-c.closed:
			return
		case <-c.peerClosed:
			select {
			case call = <-c.calls: // received in full before the peer closed the connection
			default:
				return
			}
		}
		if !c.answer(call) {
			return
		}
		idle.Reset(secondsToDuration(c.listener.kind().IdleTimeout))
	}
}

// answer handles a call as the destination's behaviour decides, adds it to the journal, and reports whether the
// connection can be used further.
func (c *conn) answer(call *inboundCall) bool {
	partners, rec := c.listener.partners, call.record
	if call.malformed {
		rec.Status, rec.EndedAt, rec.Cause = fasthttp.StatusBadRequest, rec.LastByteAt, "unreadable"
		partners.journal.AddCall(rec)
		return c.writeResponse(rec, behaviour.Outcome{Status: rec.Status}, nil)
	}
	dest, endpoint := partners.destinations[call.dest], c.listener.endpoints[call.dest]
	dest.Lock()
	earlierCalls := dest.callsByID[rec.IDs[0]]
	for _, id := range rec.IDs {
		dest.callsByID[id]++
	}
	var outcome behaviour.Outcome
	if c.overLimit {
		outcome = behaviour.Outcome{Status: fasthttp.StatusServiceUnavailable, Cause: "too many connections",
			States: make([]record.PushState, len(rec.IDs)), Ran: make([]bool, len(rec.IDs))}
		for i := range outcome.States {
			outcome.States[i] = record.Throttled
		}
	} else {
		outcome = dest.HandleCall(rec.LastByteAt, endpoint.Index, behaviour.Call{IDs: rec.IDs, Reused: rec.Reused, PreviousCalls: earlierCalls})
	}
	dest.Unlock()
	rec.Ran, rec.Cause, rec.States = outcome.Ran, outcome.Cause, make([]record.PushState, len(rec.IDs))
	partners.journal.AddCall(rec)
	if !rec.Reused {
		outcome.Delay += c.listener.kind().HandshakeDelay
	}
	if outcome.End == behaviour.NoAnswer {
		c.awaitDelay(rec, nil)
		return false
	}
	if outcome.End == behaviour.AnsweredLate {
		outcome.Delay = max(outcome.Delay, partners.journal.EarliestExpiry(rec.IDs)+lateMarginSeconds-partners.clock.Now())
	}
	if outcome.Delay > minDelaySeconds {
		timer := time.NewTimer(secondsToDuration(outcome.Delay))
		defer timer.Stop()
		if !c.awaitDelay(rec, timer.C) {
			return false
		}
	}
	switch outcome.End {
	case behaviour.ConnectionReset:
		partners.journal.WithLock(func() { rec.EndedAt = partners.clock.Now() })
		c.reset()
		return false
	case behaviour.AnswerTruncated, behaviour.AnswerCorrupted:
		partners.journal.WithLock(func() {
			rec.EndedAt = partners.clock.Now()
			for i := range rec.States {
				rec.States[i] = record.Unreadable
			}
		})
		response := "HTTP/1.1 2\x00\x1f\xff noise that says nothing\r\n"
		if outcome.End == behaviour.AnswerTruncated {
			response = "HTTP/1.1 500 Broken\r\nContent-Length: 400\r\n\r\nhalf of"
		}
		_, err := c.Write([]byte(response))
		if err == nil && outcome.End == behaviour.AnswerCorrupted {
			<-c.closedByEither()
		}
		return false
	case behaviour.AnsweredLate:
		outcome.States = slices.Repeat([]record.PushState{record.Delivered}, len(rec.IDs)) // what the response on the wire reports
		return c.writeResponse(rec, outcome, func() {})
	}
	return c.writeResponse(rec, outcome, func() { rec.Status, rec.ToldWait, rec.States = outcome.Status, outcome.ToldWait, outcome.States }) &&
		!c.overLimit && outcome.End != behaviour.ClosedAfterAnswer
}

// awaitDelay waits until delay fires (nil: never) and reports whether the connection is still open then. If the
// connection ends first, it records the end in the journal.
func (c *conn) awaitDelay(rec *record.Call, delay <-chan time.Time) bool {
	partners := c.listener.partners
	select {
	case <-delay:
		select {
		case <-c.peerClosed:
		default:
			return true
		}
	case <-c.peerClosed:
	case <-c.closed:
	}
	partners.journal.WithLock(func() {
		rec.EndedAt = partners.clock.Now()
		select {
		case <-c.closed:
		default:
			rec.CallerClosed = true
		}
	})
	return false
}

// closedByEither returns a channel that is closed once either side has closed the connection.
func (c *conn) closedByEither() <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		select {
		case <-c.peerClosed:
		case <-c.closed:
		}
	}()
	return closed
}

// writeResponse writes the response to a call and reports whether the connection can be used further. onWrite, if not
// nil, updates the journal's record under the journal's lock before the response is written.
func (c *conn) writeResponse(rec *record.Call, outcome behaviour.Outcome, onWrite func()) bool {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.Header.SetNoDefaultContentType(true)
	resp.SetStatusCode(outcome.Status)
	if outcome.ToldWait > 0 {
		resp.Header.Set("Retry-After", strconv.FormatFloat(outcome.ToldWait, 'f', 3, 64))
	}
	if outcome.HasLoadReport {
		resp.Header.Set("X-Load-Report", "TEXT x0="+strconv.FormatFloat(outcome.LoadShare, 'f', 4, 64)+
			", x1="+strconv.FormatFloat(outcome.LoadLimit, 'f', 3, 64))
	}
	if len(rec.IDs) > 1 && outcome.Status == fasthttp.StatusOK {
		type line struct {
			ID    string           `json:"id"`
			State record.PushState `json:"state"`
		}
		lines := make([]line, len(rec.IDs))
		for i, id := range rec.IDs {
			lines[i] = line{id, outcome.States[i]}
		}
		body, _ := json.Marshal(lines) // marshalling strings cannot fail
		resp.SetBodyRaw(body)
	}
	if c.overLimit {
		resp.SetConnectionClose()
	}
	encoded := c.encode(resp)
	if onWrite != nil {
		c.listener.partners.journal.WithLock(func() {
			rec.EndedAt = c.listener.partners.clock.Now()
			if onWrite(); encoded.TruncateAt > 0 {
				rec.States = statesAfterTruncation(rec, outcome, encoded)
				if !retryAfterSent(encoded) {
					rec.ToldWait = 0
				}
			}
		})
	}
	if encoded.TruncateAt == 0 {
		_, err := c.history.Write(encoded.Bytes)
		c.history.Answered(encoded.Bytes)
		c.history.WriteLater(outcome.Unsolicited)
		return err == nil && !encoded.CloseDelimited
	}
	_, _ = c.Write(encoded.Bytes[:encoded.TruncateAt])
	if encoded.ResetAfterTruncation {
		c.reset()
	}
	return false
}

// encode returns the bytes of a response, from the configured encoder or else with a Content-Length.
func (c *conn) encode(resp *fasthttp.Response) EncodedResponse {
	if c.listener.partners.encoder == nil {
		buf := &bytes.Buffer{}
		w := bufio.NewWriter(buf)
		_ = resp.Write(w) // writing to a buffer cannot fail
		_ = w.Flush()
		return EncodedResponse{Bytes: buf.Bytes()}
	}
	var head bytes.Buffer
	for _, line := range strings.SplitAfter(resp.Header.String(), "\r\n") {
		if line != "\r\n" && !strings.HasPrefix(line, "Content-Length:") {
			head.WriteString(line)
		}
	}
	return c.listener.partners.encoder(head.Bytes(), resp.Body())
}

// retryAfterSent reports whether the Retry-After line of a truncated response was sent in full. After a reset it
// reports false, because a reset may discard data that the peer has not read yet.
func retryAfterSent(encoded EncodedResponse) bool {
	sent := encoded.Bytes[:encoded.TruncateAt]
	_, rest, ok := bytes.Cut(sent, []byte("Retry-After: "))
	return ok && !encoded.ResetAfterTruncation && bytes.Contains(rest, []byte("\r\n"))
}

// statesAfterTruncation returns the states of the notifications of a call whose response was truncated. A single
// notification is delivered once the status line was sent in full; the states of a batch are unreadable.
func statesAfterTruncation(rec *record.Call, outcome behaviour.Outcome, encoded EncodedResponse) []record.PushState {
	if len(rec.IDs) == 1 && outcome.Status == fasthttp.StatusOK && encoded.TruncateAt >= encoded.StatusLineEnd {
		return outcome.States
	}
	return slices.Repeat([]record.PushState{record.Unreadable}, len(rec.IDs))
}

// secondsToDuration converts seconds to a time.Duration.
func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
