// Package load hands notifications in as clients do: on an open loop, whose arrivals wait for nobody, or on a closed one
// for measuring. Each arrival has its planned moment, and times are counted from there.
package load

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"orchiddrift/lab/loop"
	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

const (
	answerIn = 400 * time.Millisecond // a client waits so long for its answer
	idleFor  = 1500 * time.Millisecond
)

// Target is where a hand-in goes.
type Target struct {
	Dispatcher int
	Addr       string
	Path       string
}

// Generator is the clients of a run.
type Generator struct {
	World    *scenario.World
	Journal  *record.Journal
	Clock    *loop.Clock
	Arrivals []scenario.Arrival
	Balancer Balancer
	lock     sync.Mutex
	clients  map[way]*fasthttp.HostClient
	keys     map[string][]func() // of ordered keys: what waits for its turn
	late     *hdrhistogram.Histogram
	handed   atomic.Int64
	body     []byte
}

// Balancer says where a hand-in goes.
type Balancer interface {
	// Choose picks for a client, key and destination, at a try counted from 0.
	Choose(client int, key string, dest, try int) (Target, bool)
	// Dead tells that nobody took a connection there, Alive that an answer came.
	MarkDown(Target)
	MarkUp(Target)
}

// Lateness is by how much the generator itself was behind its plan.
type Lateness struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Planned is how many notifications the plan holds; Handed how many came to be handed in.
func (l *Generator) Planned() int { return len(l.Arrivals) }

// Submitted is how many notifications were handed in so far.
func (l *Generator) Submitted() int { return int(l.handed.Load()) }

// Run hands in until the plan or ctx ends, and returns once the last answer is there.
func (l *Generator) Run(ctx context.Context) {
	l.clients, l.keys = map[way]*fasthttp.HostClient{}, map[string][]func(){}
	const most, digits = 60_000_000, 3 // microseconds
	l.late = hdrhistogram.New(1, most, digits)
	l.body = make([]byte, l.World.Load.BodyBytes)
	for i := range l.body {
		l.body[i] = byte('a' + i%26)
	}
	var under sync.WaitGroup
	if l.World.Load.ClosedLoop > 0 {
		l.closed(ctx, &under)
	} else {
		l.open(ctx, &under)
	}
	under.Wait()
}

// open starts each arrival at its moment.
func (l *Generator) open(ctx context.Context, under *sync.WaitGroup) {
	for i, a := range l.Arrivals {
		if wait := l.Clock.Until(a.At); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return
		}
		_ = l.late.RecordValue(max(1, int64((l.Clock.Now()-a.At)*1e6))) // one past the scale is not kept, and shows as p99
		l.handed.Add(1)
		under.Add(1)
		l.inTurn(a, func() {
			defer under.Done()
			l.handIn(ctx, i, a)
		})
	}
}

// inTurn starts a hand-in, after those of its key that came before.
func (l *Generator) inTurn(a scenario.Arrival, work func()) {
	key := keyOf(a)
	if key == "" {
		go work()
		return
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	waiting, busy := l.keys[key]
	if busy {
		l.keys[key] = append(waiting, work)
		return
	}
	l.keys[key] = nil
	go func() {
		for work != nil {
			work()
			l.lock.Lock()
			if waiting := l.keys[key]; len(waiting) > 0 {
				work, l.keys[key] = waiting[0], waiting[1:]
			} else {
				delete(l.keys, key)
				work = nil
			}
			l.lock.Unlock()
		}
	}()
}

// keyOf is the key of an ordered notification.
func keyOf(a scenario.Arrival) string {
	if a.Key == 0 {
		return ""
	}
	return fmt.Sprintf("k%d-%d", a.Dest, a.Key)
}

// closed keeps so many hand-ins going, one after another on each connection.
func (l *Generator) closed(ctx context.Context, under *sync.WaitGroup) {
	var next atomic.Int64
	for range l.World.Load.ClosedLoop {
		under.Go(func() {
			for ctx.Err() == nil && l.Clock.Now() < l.World.Length {
				i := int(next.Add(1)) - 1
				a := l.Arrivals[i%len(l.Arrivals)]
				a.At = l.Clock.Now()
				l.handed.Add(1)
				l.handIn(ctx, i, a)
			}
		})
	}
}

// handIn hands one notification in, and again as its client may.
func (l *Generator) handIn(ctx context.Context, origin int, a scenario.Arrival) {
	topic, planned := l.World.Topics[a.Topic], a.At
	until, again, tries := planned+topic.TTL, "", 0
	for try := 0; ctx.Err() == nil && l.Clock.Now() < until; try++ {
		target, ok := l.Balancer.Choose(a.Client, keyOf(a), a.Dest, try)
		if !ok {
			pause(ctx, l.World.Load.RetryDelay)
			continue
		}
		h := &record.HandIn{ID: fmt.Sprintf("%d-%d-%d", a.Dest, origin, try), PlanIndex: origin, Try: try, Topic: topic.Name,
			Tenant: l.World.Tenants[a.Tenant].Name, Dest: a.Dest, Key: keyOf(a), Dispatcher: target.Dispatcher,
			PlannedAt: planned, SentAt: l.Clock.Now(), ExpiresAt: until}
		l.Journal.AddHandIn(h)
		status, wait, why := l.post(h, topic, target, a.Client, again)
		l.Journal.WithLock(func() {
			h.Status, h.RetryAfter, h.FailureReason, h.AnsweredAt = status, wait, why, l.Clock.Now()
		})
		if status > 0 {
			l.Balancer.MarkUp(target)
		}
		switch {
		case why == refused:
			l.Balancer.MarkDown(target)
			pause(ctx, 0.01)
		case why != "" && topic.Repeat == scenario.OnceOnly:
			return // somebody may have it, and it must not run twice
		case why != "" || status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests:
			if tries++; tries > l.World.Load.MaxRetries {
				return
			}
			if again = "1"; why != "" {
				again = "again"
			}
			if wait == 0 {
				wait = l.World.Load.RetryDelay
			}
			pause(ctx, wait)
		default:
			return
		}
	}
}

// Why a hand-in got no answer.
const (
	refused = "refused" // no connection
	closed  = "closed"  // the connection ended
	late    = "late"    // none in the time that a client waits
)

// post sends one hand-in and tells its answer, or why there is none.
func (l *Generator) post(h *record.HandIn, topic scenario.Topic, to Target, from int, again string) (int, float64, string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + to.Addr + to.Path)
	req.Header.SetNoDefaultContentType(true)
	req.Header.Set("X-Call-Id", h.ID)
	req.Header.Set("X-Call-Class", h.Topic)
	req.Header.Set("X-Caller", h.Tenant)
	req.Header.Set("X-Budget", strconv.Itoa(int((h.ExpiresAt-h.SentAt)*ms))+"m")
	req.Header.Set("X-Addressing", "dest="+strconv.Itoa(h.Dest))
	if h.Key != "" {
		req.Header.SetCookie("about", h.Key)
	}
	if topic.Repeat == scenario.Collapsible {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("m%d", h.PlanIndex))
	}
	if again != "" {
		req.Header.Set("X-Again", again)
	}
	req.SetBodyRaw(l.body)
	client := l.client(way{from, to.Addr})
	deadline := time.Now().Add(answerIn)
	err := client.DoDeadline(req, resp, deadline)
	if errors.Is(err, fasthttp.ErrConnectionClosed) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		err = client.DoDeadline(req, resp, deadline) // it was closed between two requests: once more on another
	}
	switch {
	case err == nil:
		wait, _ := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64) // none is 0
		return resp.StatusCode(), wait, ""
	case errors.Is(err, fasthttp.ErrTimeout) || errors.Is(err, fasthttp.ErrDialTimeout) || time.Now().After(deadline):
		return 0, 0, late
	case isRefused(err):
		return 0, 0, refused
	}
	return 0, 0, closed
}

const ms = 1000

// way is from a client process to an address.
type way struct {
	client int
	addr   string
}

// client is the connections on a way: as many as have a request open, and those that idle.
func (l *Generator) client(w way) *fasthttp.HostClient {
	l.lock.Lock()
	defer l.lock.Unlock()
	c := l.clients[w]
	if c == nil {
		c = &fasthttp.HostClient{Addr: w.addr, MaxConns: 4096, MaxIdleConnDuration: idleFor, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
		l.clients[w] = c
	}
	return c
}

// Lateness tells by how much the generator was behind.
func (l *Generator) Lateness() Lateness {
	if l.late == nil {
		return Lateness{}
	}
	at := func(q float64) float64 { return float64(l.late.ValueAtQuantile(q)) / 1e6 }
	return Lateness{P50: at(50), P99: at(99), Max: float64(l.late.Max()) / 1e6}
}

func pause(ctx context.Context, s float64) {
	select {
	case <-time.After(time.Duration(s * float64(time.Second))):
	case <-ctx.Done():
	}
}
