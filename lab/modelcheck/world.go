package modelcheck

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/disk/faulty"
	"orchiddrift/gateway"
	"orchiddrift/invariant"
	"orchiddrift/ledger"
	"orchiddrift/message"
	"orchiddrift/push"
)

const (
	origin    = 1000.0 // the dispatcher's clock at the start of a run
	tick      = 0.005
	folderFor = 64 << 10 // bytes of the folder: a few small segments
	dest      = "1"
	kind      = "plain"
)

// world surrounds the processes of a run.
type world struct {
	begun  time.Time
	folder *faulty.Folder
	judge  *judge
	fault  Fault
	lock   sync.Mutex
	zones  map[string]string // by endpoint, as listed to the present process
	counts *invariant.Counters
}

var topics = map[string]decide.Topic{
	"once":  {Repeat: decide.OnceOnly, DedupScope: "all", Ordered: true},
	"zoned": {Repeat: decide.Collapsible, DedupWindow: DedupWindow, DedupScope: "zone"},
	"known": {Repeat: decide.Collapsible, DedupWindow: DedupWindow, DedupScope: "all", Ordered: true},
	"free":  {Repeat: decide.Repeatable, DedupScope: "all"},
}

// Topics are the names that a plan may have.
var Topics = []string{"once", "zoned", "known", "free"}

// Run plays a plan with a planted fault, and gives what was broken, and how many operations the processes did.
func Run(plan Plan, fault Fault) (found []string, operations []int) {
	topic := topics[plan.Topic]
	w := &world{begun: time.Now(), folder: faulty.New(), fault: fault, counts: &invariant.Counters{Log: zerolog.Nop()},
		judge: &judge{topic: topicRules{once: topic.Repeat == decide.OnceOnly, zone: topic.DedupScope == "zone", ordered: topic.Ordered && !plan.SharedCalls}}}
	if topic.Repeat == decide.Collapsible {
		w.judge.topic.window = topic.DedupWindow
	}
	series := append(append([]Process{}, plan.Processes...), Process{Attempts: []Attempt{Deliver}})
	for i, p := range series {
		w.folder = w.folder.Restart()
		operations = append(operations, w.live(p, plan, i == 0, i == len(series)-1))
		time.Sleep(seconds(Downtime))
	}
	found = w.judge.close()
	for _, name := range invariant.All {
		if n := w.counts.Count(name); n > 0 {
			found = append(found, fmt.Sprintf("invariant %s violated %d times", name, n))
		}
	}
	return found, operations
}

func (w *world) now() float64 { return origin + time.Since(w.begun).Seconds() }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// live lets one process live, and tells how many operations it did.
func (w *world) live(plan Process, all Plan, first, last bool) int {
	p := &process{plan: plan, world: w, begun: time.Now(), stop: make(chan struct{}), over: make(chan struct{})}
	lives := plan.Lifetime
	if lives == 0 {
		lives = DefaultLifetime
	}
	if w.start(p, all.SharedCalls) {
		w.judge.up(w.now())
		go w.tellList(p)
		if first {
			w.handIn(p, all, "m1")
			w.handIn(p, all, "m2")
		}
		if first && all.ExtraMessagesAt > 0 {
			time.Sleep(seconds(all.ExtraMessagesAt))
			w.handIn(p, all, "m3")
			w.handIn(p, all, "m4")
		}
		switch {
		case last:
			w.settle()
		case plan.GracefulStop:
			w.await(p, lives)
			w.end(p)
		default:
			w.await(p, lives)
		}
		p.kill()
		<-p.over
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.ops
}

// end tells a process to end, as a planned stop does: no client comes any more, then no push starts, then it is over.
func (w *world) end(p *process) {
	const noPushAfter, overAfter = 0.5, 1.2
	p.runner.Post(gateway.IntakeClosed{})
	w.await(p, noPushAfter)
	p.runner.Post(gateway.PushesStopped{})
	w.await(p, overAfter)
}

// await waits until the process is dead, for so many seconds at most.
func (w *world) await(p *process, s float64) {
	select {
	case <-p.stop:
	case <-time.After(seconds(s)):
	}
}

// settle waits until the last message could be judged.
func (w *world) settle() {
	w.judge.lock.Lock()
	until := w.now()
	for _, m := range w.judge.messages {
		until = max(until, m.until)
	}
	w.judge.lock.Unlock()
	const after = 1.0
	time.Sleep(seconds(until + after - w.now()))
}

// start opens the folder and lets the loop run. It tells whether the process came so far.
func (w *world) start(p *process, shared bool) bool {
	known := directory.New()
	known.Replace(w.list(ListComplete))
	book, owed, _, err := ledger.Open(folder{w.folder, p}, ledger.Options{Limit: folderFor})
	if err != nil {
		p.kill()
		return false
	}
	var all []decide.Topic
	for _, name := range Topics {
		t := topics[name]
		t.Name, t.Objective, t.TTL, t.Benefit = name, 1, TTL, 1
		all = append(all, t)
	}
	batch := map[string]int{}
	if shared {
		batch[kind] = 10
	}
	module := decide.New(1, known, all, decide.Capacity{MaxCalls: 6, MaxHeld: 20, BatchSize: batch}, decide.Routes{},
		decide.Recovery{InitialCapacity: 0.2, WarmUp: 5, OverloadFactor: 2, OverloadSpan: 1, Dispatchers: 1},
		decide.PushPolicy{MaxPushes: 8, KeyCooldown: 0.1, Tick: tick, IdleTimeout: 5}, decide.TenantQuotas{}, false)
	p.runner = &gateway.Runner{Gateway: gateway.New(module, known, book.HasRoom, nil, batch, 1.5), Ledger: book, Platform: platform{p},
		Clock: w.now, Tick: tick, Log: zerolog.Nop(), Events: make(chan gateway.Event, 1024), Dialer: push.Dialer(p.dial)}
	p.runner.Gateway.SetSendChecker(invariant.NewSendChecker(w.counts, invariant.Margins{DrainGrace: 0.5, KeyHold: 0.1}, w.now()+0.5))
	p.runner.Gateway.AdvanceCallID(book.LastCallNumber())
	p.runner.Gateway.AwaitFirstList(w.now() + 0.5)
	r := p.runner
	owed = w.plant(owed)
	go func() {
		r.Restore(owed)
		r.Run(p.stop)
		close(p.over)
	}()
	return true
}

// plant changes what a restart finds, as the fault has it.
func (w *world) plant(owed []ledger.Pending) []ledger.Pending {
	var list []ledger.Pending
	for _, o := range owed {
		switch {
		case w.fault == ForgetMayHaveRun:
			o.Message.RanAt = 0
		case w.fault == WindowFromLastCall && o.Message.RanAt > 0 && o.LastCall.StartedAt > 0:
			o.Message.RanAt = o.LastCall.StartedAt
		case w.fault == LoseNotice && o.Notice != nil:
			continue
		}
		list = append(list, o)
	}
	return list
}

// list is the endpoints as a process is told of them, and where they are from then on.
func (w *world) list(what ListMode) []directory.Endpoint {
	first := directory.Endpoint{ID: "e1", Zone: "a", Kind: kind, Dest: dest, Stage: directory.Ready, Addr: "e1"}
	second := directory.Endpoint{ID: "e2", Zone: "b", Kind: kind, Dest: dest, Stage: directory.Ready, Addr: "e2"}
	if what == ListFirstMoved {
		first.Zone = "b"
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.zones = map[string]string{"e1": first.Zone, "e2": second.Zone}
	if what == ListWithoutFirst {
		return []directory.Endpoint{second}
	}
	return []directory.Endpoint{first, second}
}

// tellList tells a process of the endpoints as planned.
func (w *world) tellList(p *process) {
	const soon, late = 0.02, 0.8
	wait := soon
	switch p.plan.List {
	case ListWithheld:
		return
	case ListDelayed:
		wait = late
	}
	r := p.runner
	time.Sleep(seconds(wait))
	if p.alive() {
		r.Post(gateway.Listed{Full: true, Endpoints: w.list(p.plan.List)})
	}
}

// tellWait lets the destination tell a wait.
func (w *world) tellWait(p *process, addr string) {
	if p.alive() {
		p.runner.Post(gateway.LateWait{Endpoint: directory.Endpoint{ID: addr, Dest: dest, Kind: kind}, Wait: 0.3})
	}
}

// handIn hands a message in.
func (w *world) handIn(p *process, plan Plan, id string) {
	m := &message.Message{ExpiresAt: w.now() + TTL, Body: []byte("body"), IdempotencyKey: "mark-" + id}
	m.ID, m.Topic, m.Dest, m.Key = id, plan.Topic, dest, "key"
	if plan.SharedCalls {
		m.Key = "key of " + id
	}
	w.judge.handed(id, m.ExpiresAt)
	p.runner.Post(gateway.Arrived{Message: m, Reply: func(r gateway.Reply) {
		if p.operation() {
			w.judge.answered(id, r.Accepted)
		}
	}})
}

// serve is an endpoint's side of a connection.
func (w *world) serve(p *process, endpoint string, conn net.Conn, what Attempt, from *wire) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		head, err := in.Peek(1)
		if err != nil || len(head) == 0 {
			return
		}
		at := w.now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		w.lock.Lock()
		zone := w.zones[endpoint]
		w.lock.Unlock()
		calls := map[string]*call{}
		ids := idsOf(req, body)
		for _, id := range ids {
			calls[id] = w.judge.called(at, id, endpoint, zone, p)
			w.judge.ran(calls[id])
			from.carries(calls[id])
		}
		if !w.respond(p, conn, ids, calls, what) {
			return
		}
	}
}

// idsOf are the messages of a request.
func idsOf(req *http.Request, body []byte) []string {
	if id := req.Header.Get("X-Call-Id"); id != "" {
		return []string{id}
	}
	var lines []struct{ ID string }
	_ = json.Unmarshal(body, &lines) // one that cannot be read has no messages, and is answered as such
	var ids []string
	for _, l := range lines {
		ids = append(ids, l.ID)
	}
	return ids
}

// statuses are the answers to calls by what becomes of them; the others get none.
var statuses = map[Attempt]int{RejectBusy: http.StatusServiceUnavailable, AnswerError: http.StatusInternalServerError, ConnectLate: http.StatusOK,
	ToldWaitOnConnect: http.StatusOK, DeliverFirstOnly: http.StatusOK, FailLastOnly: http.StatusInternalServerError, Deliver: http.StatusOK}

// respond does with a whole call as planned, and tells whether the connection goes on.
func (w *world) respond(p *process, conn net.Conn, ids []string, calls map[string]*call, what Attempt) bool {
	status := statuses[what]
	if what == KillAfterRequest {
		p.kill()
	}
	if what == Hang {
		_, _ = conn.Read(make([]byte, 1)) // until the caller leaves
	}
	if status == 0 {
		for _, id := range ids {
			w.judge.ended(w.now(), id, calls[id], 0)
		}
		return false
	}
	if len(ids) == 1 {
		w.judge.ended(w.now(), ids[0], calls[ids[0]], status)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
		return err == nil
	}
	return w.respondShared(conn, ids, calls, what)
}

// respondShared answers a call with several messages: alike, or each in its own way.
func (w *world) respondShared(conn net.Conn, ids []string, calls map[string]*call, what Attempt) bool {
	type line struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	states := map[int]string{http.StatusOK: "done", http.StatusServiceUnavailable: "busy", http.StatusInternalServerError: "failed"}
	var lines []line
	for i, id := range ids {
		status := statuses[what]
		switch {
		case what == DeliverFirstOnly && i > 0, what == FailLastOnly && i < len(ids)-1:
			status = http.StatusServiceUnavailable
		}
		w.judge.ended(w.now(), id, calls[id], status)
		lines = append(lines, line{id, states[status]})
	}
	body, _ := json.Marshal(lines) // strings always marshal
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}
