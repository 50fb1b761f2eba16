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
	"orchiddrift/lab/record"
)

const (
	mostBody = 1 << 20 // of a call
	instant  = 1e-4    // an answer due so soon is given at once
	lateBy   = 0.1     // after the first TTL in a call comes an answer that is late
)

// conn is a connection of a dispatcher. One goroutine reads, so that its end is seen while a call is served by the other.
type conn struct {
	*net.TCPConn
	door   *door
	number int
	beyond bool // the endpoint holds too many
	calls  chan *inbound
	gone   chan struct{} // the other side ended it, or it broke
	shut   chan struct{} // we ended it
	once   sync.Once
}

// inbound is a call as it came.
type inbound struct {
	record *record.Call
	dest   int
	odd    bool // it cannot be read
}

func newConn(d *door, c *net.TCPConn, number int) *conn {
	return &conn{TCPConn: c, door: d, number: number, calls: make(chan *inbound, 1), gone: make(chan struct{}),
		shut: make(chan struct{})}
}

// end closes the connection.
func (c *conn) end() {
	c.once.Do(func() {
		close(c.shut)
		_ = c.Close()
		c.door.lock.Lock()
		delete(c.door.open, c)
		c.door.lock.Unlock()
	})
}

// reset ends it as a process that dies does.
func (c *conn) reset() {
	_ = c.SetLinger(0)
	c.end()
}

// read reads calls until the connection ends.
func (c *conn) read() {
	defer close(c.gone)
	in, clock := bufio.NewReaderSize(c, 4<<10), c.door.all.clock
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	for n := 0; ; n++ {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := clock.Now()
		if err := req.ReadLimitBody(in, mostBody); err != nil {
			return // it never came whole
		}
		x := c.inbound(req)
		x.record.FirstByteAt, x.record.LastByteAt, x.record.Reused = first, clock.Now(), n > 0
		select {
		case c.calls <- x:
		case <-c.shut:
			return
		}
	}
}

// inbound reads what a call is about.
func (c *conn) inbound(req *fasthttp.Request) *inbound {
	x := &inbound{record: &record.Call{ConnID: c.number}, dest: -1}
	switch path := string(req.URI().Path()); {
	case path == "/hook":
		x.record.IDs = []string{string(req.Header.Peek("X-Call-Id"))}
	case path == "/hook/batch":
		var list []struct{ ID string }
		x.odd = json.Unmarshal(req.Body(), &list) != nil || len(list) == 0
		for _, l := range list {
			x.record.IDs = append(x.record.IDs, l.ID)
		}
	default:
		x.odd = true
	}
	if len(x.record.IDs) > 0 {
		x.dest = DestFromID(x.record.IDs[0])
	}
	if only := c.door.only; only != nil {
		x.dest = only.Dest
	}
	e, here := c.door.behind[x.dest]
	x.odd = x.odd || !here
	x.record.Endpoint, x.record.Dest = e.ID, x.dest
	return x
}

// DestFromID reads the destination out of an id that the laboratory made, -1 where there is none.
func DestFromID(id string) int {
	text, _, _ := strings.Cut(id, "-")
	dest, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return dest
}

// serve answers calls, one after another, until the connection ends.
func (c *conn) serve() {
	defer c.end()
	idle := time.NewTimer(seconds(c.door.kind().IdleTimeout))
	for {
		var x *inbound
		select {
		case x = <-c.calls:
		case <-idle.C:
			return
		case <-c.shut:
			return
		case <-c.gone:
			select {
			case x = <-c.calls: // it came, and its caller left at once
			default:
				return
			}
		}
		if !c.answer(x) {
			return
		}
		idle.Reset(seconds(c.door.kind().IdleTimeout))
	}
}

// answer does with a call what its partner's behaviour says, and tells whether the connection can go on.
func (c *conn) answer(x *inbound) bool {
	all, r := c.door.all, x.record
	if x.odd {
		r.Status, r.EndedAt, r.Cause = fasthttp.StatusBadRequest, r.LastByteAt, "unreadable"
		all.journal.AddCall(r)
		return c.write(r, behaviour.Outcome{Status: r.Status}, nil)
	}
	s, e := all.systems[x.dest], c.door.behind[x.dest]
	s.Lock()
	before := s.calls[r.IDs[0]]
	for _, id := range r.IDs {
		s.calls[id]++
	}
	var fate behaviour.Outcome
	if c.beyond {
		fate = behaviour.Outcome{Status: fasthttp.StatusServiceUnavailable, Cause: "too many connections",
			States: make([]record.PushState, len(r.IDs)), Ran: make([]bool, len(r.IDs))}
		for i := range fate.States {
			fate.States[i] = record.Throttled
		}
	} else {
		fate = s.HandleCall(r.LastByteAt, e.Index, behaviour.Call{IDs: r.IDs, Reused: r.Reused, PreviousCalls: before})
	}
	s.Unlock()
	r.Ran, r.Cause, r.States = fate.Ran, fate.Cause, make([]record.PushState, len(r.IDs))
	all.journal.AddCall(r)
	if !r.Reused {
		fate.Delay += c.door.kind().HandshakeDelay
	}
	if fate.End == behaviour.NoAnswer {
		c.rest(r, nil)
		return false
	}
	if fate.End == behaviour.AnsweredLate {
		fate.Delay = max(fate.Delay, all.journal.EarliestExpiry(r.IDs)+lateBy-all.clock.Now())
	}
	if fate.Delay > instant {
		timer := time.NewTimer(seconds(fate.Delay))
		defer timer.Stop()
		if !c.rest(r, timer.C) {
			return false
		}
	}
	switch fate.End {
	case behaviour.ConnectionReset:
		all.journal.WithLock(func() { r.EndedAt = all.clock.Now() })
		c.reset()
		return false
	case behaviour.AnswerTruncated, behaviour.AnswerCorrupted:
		all.journal.WithLock(func() {
			r.EndedAt = all.clock.Now()
			for i := range r.States {
				r.States[i] = record.Unreadable
			}
		})
		text := "HTTP/1.1 2\x00\x1f\xff noise that says nothing\r\n"
		if fate.End == behaviour.AnswerTruncated {
			text = "HTTP/1.1 500 Broken\r\nContent-Length: 400\r\n\r\nhalf of"
		}
		_, err := c.Write([]byte(text))
		if err == nil && fate.End == behaviour.AnswerCorrupted {
			<-c.either()
		}
		return false
	case behaviour.AnsweredLate:
		fate.States = slices.Repeat([]record.PushState{record.Delivered}, len(r.IDs)) // as it reads
		return c.write(r, fate, func() {})
	}
	return c.write(r, fate, func() { r.Status, r.ToldWait, r.States = fate.Status, fate.ToldWait, fate.States }) &&
		!c.beyond && fate.End != behaviour.ClosedAfterAnswer
}

// rest waits for the moment of an answer. It tells whether the connection still stands, and else notes its end.
func (c *conn) rest(r *record.Call, until <-chan time.Time) bool {
	all := c.door.all
	select {
	case <-until:
		select {
		case <-c.gone:
		default:
			return true
		}
	case <-c.gone:
	case <-c.shut:
	}
	all.journal.WithLock(func() {
		r.EndedAt = all.clock.Now()
		select {
		case <-c.shut:
		default:
			r.CallerClosed = true
		}
	})
	return false
}

// either is closed once either side has ended the connection.
func (c *conn) either() <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-c.gone:
		case <-c.shut:
		}
	}()
	return ended
}

// write writes an answer; note is carried out as it goes out.
func (c *conn) write(r *record.Call, fate behaviour.Outcome, note func()) bool {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.Header.SetNoDefaultContentType(true)
	resp.SetStatusCode(fate.Status)
	if fate.ToldWait > 0 {
		resp.Header.Set("Retry-After", strconv.FormatFloat(fate.ToldWait, 'f', 3, 64))
	}
	if fate.HasLoadReport {
		resp.Header.Set("X-Load-Report", "TEXT x0="+strconv.FormatFloat(fate.LoadShare, 'f', 4, 64)+
			", x1="+strconv.FormatFloat(fate.LoadLimit, 'f', 3, 64))
	}
	if len(r.IDs) > 1 && fate.Status == fasthttp.StatusOK {
		type line struct {
			ID    string           `json:"id"`
			State record.PushState `json:"state"`
		}
		lines := make([]line, len(r.IDs))
		for i, id := range r.IDs {
			lines[i] = line{id, fate.States[i]}
		}
		body, _ := json.Marshal(lines) // strings always marshal
		resp.SetBodyRaw(body)
	}
	if c.beyond {
		resp.SetConnectionClose()
	}
	text := c.shaped(resp)
	if note != nil {
		c.door.all.journal.WithLock(func() {
			r.EndedAt = c.door.all.clock.Now()
			if note(); text.TruncateAt > 0 {
				r.States = cut(r, fate, text)
				if !waitStands(text) {
					r.ToldWait = 0
				}
			}
		})
	}
	if text.TruncateAt == 0 {
		_, err := c.Write(text.Bytes)
		return err == nil && !text.CloseDelimited
	}
	_, _ = c.Write(text.Bytes[:text.TruncateAt])
	if text.ResetAfterTruncation {
		c.reset()
	}
	return false
}

// shaped is an answer's bytes.
func (c *conn) shaped(resp *fasthttp.Response) EncodedResponse {
	if c.door.all.shape == nil {
		text := &bytes.Buffer{}
		out := bufio.NewWriter(text)
		_ = resp.Write(out) // a buffer takes all
		_ = out.Flush()
		return EncodedResponse{Bytes: text.Bytes()}
	}
	var head bytes.Buffer
	for _, line := range strings.SplitAfter(resp.Header.String(), "\r\n") {
		if line != "\r\n" && !strings.HasPrefix(line, "Content-Length:") {
			head.WriteString(line)
		}
	}
	return c.door.all.shape(head.Bytes(), resp.Body())
}

// waitStands tells that the line with a wait has gone out whole before a cut. A reset may take with it what has gone out.
func waitStands(text EncodedResponse) bool {
	out := text.Bytes[:text.TruncateAt]
	_, behind, ok := bytes.Cut(out, []byte("Retry-After: "))
	return ok && !text.ResetAfterTruncation && bytes.Contains(behind, []byte("\r\n"))
}

// cut is what became of the notifications of a call whose answer was cut: one alone is delivered once the first line says
// so, and of several nothing is told.
func cut(r *record.Call, fate behaviour.Outcome, text EncodedResponse) []record.PushState {
	if len(r.IDs) == 1 && fate.Status == fasthttp.StatusOK && text.TruncateAt >= text.StatusLineEnd {
		return fate.States
	}
	return slices.Repeat([]record.PushState{record.Unreadable}, len(r.IDs))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
