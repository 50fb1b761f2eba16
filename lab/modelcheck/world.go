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

// The settings of a simulated dispatcher.
const (
	clockOrigin   = 1000.0   // the dispatcher's clock at the start of a run, in seconds
	tickInterval  = 0.005    // seconds
	folderLimit   = 64 << 10 // bytes; enough for a few small segments
	destinationID = "1"      // destination of all messages
	endpointKind  = "plain"  // kind of all endpoints
)

// world simulates the environment of the processes of a run: the folder, the endpoints, the clients and the platform. mu guards
// zones.
type world struct {
	startedAt  time.Time
	folder     *faulty.Folder
	checker    *checker
	fault      Fault
	mu         sync.Mutex
	zones      map[string]string // by endpoint, as in the latest list
	invariants *invariant.Counters
}

// topicsByName holds the settings of each topic. The messages of a key of an ordered topic are pushed one at a time.
var topicsByName = map[string]decide.Topic{
	"once":  {Repeat: decide.OnceOnly, DedupScope: "all", Ordered: true},
	"zoned": {Repeat: decide.Collapsible, DedupWindow: DedupWindow, DedupScope: "zone"},
	"known": {Repeat: decide.Collapsible, DedupWindow: DedupWindow, DedupScope: "all", Ordered: true},
	"free":  {Repeat: decide.Repeatable, DedupScope: "all"},
}

// Topics lists the topics that a plan may use: once-only, collapsible within a zone, collapsible everywhere, repeatable.
var Topics = []string{"once", "zoned", "known", "free"}

// Run runs a plan with a fault. It returns the violations that the checker and the invariants found, and the number of
// operations of each process, including the last one without faults.
func Run(plan Plan, fault Fault) (violations []string, operations []int) {
	topic := topicsByName[plan.Topic]
	w := &world{startedAt: time.Now(), folder: faulty.New(), fault: fault, invariants: &invariant.Counters{Log: zerolog.Nop()},
		checker: &checker{topic: topicRules{onceOnly: topic.Repeat == decide.OnceOnly, zoneScoped: topic.DedupScope == "zone", ordered: topic.Ordered && !plan.SharedCalls}}}
	if topic.Repeat == decide.Collapsible {
		w.checker.topic.window = topic.DedupWindow
	}
	series := append(append([]Process{}, plan.Processes...), Process{Attempts: []AttemptOutcome{Deliver}})
	for i, p := range series {
		w.folder = w.folder.Restart()
		operations = append(operations, w.runProcess(p, plan, i == 0, i == len(series)-1))
		time.Sleep(seconds(Downtime))
	}
	violations = w.checker.finish()
	for _, name := range invariant.All {
		if n := w.invariants.Count(name); n > 0 {
			violations = append(violations, fmt.Sprintf("invariant %s violated %d times", name, n))
		}
	}
	return violations, operations
}

// now returns the time of the dispatcher's clock, in seconds.
func (w *world) now() float64 { return clockOrigin + time.Since(w.startedAt).Seconds() }

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// runProcess runs one process to its end and returns the number of its operations.
func (w *world) runProcess(processPlan Process, seriesPlan Plan, first, last bool) int {
	p := &process{plan: processPlan, world: w, startedAt: time.Now(), stop: make(chan struct{}), loopDone: make(chan struct{})}
	lifetime := processPlan.Lifetime
	if lifetime == 0 {
		lifetime = DefaultLifetime
	}
	if w.start(p, seriesPlan.SharedCalls) {
		w.checker.processReady(w.now())
		go w.sendList(p)
		if first {
			w.handIn(p, seriesPlan, "m1")
			w.handIn(p, seriesPlan, "m2")
		}
		if first && seriesPlan.ExtraMessagesAt > 0 {
			time.Sleep(seconds(seriesPlan.ExtraMessagesAt))
			w.handIn(p, seriesPlan, "m3")
			w.handIn(p, seriesPlan, "m4")
		}
		switch {
		case last:
			w.awaitExpiry()
		case processPlan.GracefulStop:
			w.awaitKill(p, lifetime)
			w.stopGracefully(p)
		default:
			w.awaitKill(p, lifetime)
		}
		p.kill()
		<-p.loopDone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opCount
}

// stopGracefully stops a process as the dispatcher does on a termination signal: it first closes the intake, then starts no
// more pushes, then exits.
func (w *world) stopGracefully(p *process) {
	const pushesStopAfter, exitAfter = 0.5, 1.2 // seconds after the step before
	p.runner.Post(gateway.IntakeClosed{})
	w.awaitKill(p, pushesStopAfter)
	p.runner.Post(gateway.PushesStopped{})
	w.awaitKill(p, exitAfter)
}

// awaitKill waits until the process is killed, for at most timeout seconds.
func (w *world) awaitKill(p *process, timeout float64) {
	select {
	case <-p.stop:
	case <-time.After(seconds(timeout)):
	}
}

// awaitExpiry waits until the final answers of all messages are due.
func (w *world) awaitExpiry() {
	w.checker.mu.Lock()
	lastExpiry := w.now()
	for _, m := range w.checker.messages {
		lastExpiry = max(lastExpiry, m.expiresAt)
	}
	w.checker.mu.Unlock()
	const settleTime = 1.0 // seconds after the last TTL
	time.Sleep(seconds(lastExpiry + settleTime - w.now()))
}

// start opens the ledger and starts the event loop. It kills the process and returns false if the ledger cannot be opened.
func (w *world) start(p *process, sharedCalls bool) bool {
	endpoints := directory.New()
	endpoints.Replace(w.endpoints(ListComplete))
	openLedger, pending, _, err := ledger.Open(folder{w.folder, p}, ledger.Options{LimitBytes: folderLimit})
	if err != nil {
		p.kill()
		return false
	}
	var allTopics []decide.Topic
	for _, name := range Topics {
		t := topicsByName[name]
		t.Name, t.Objective, t.TTL, t.Benefit = name, 1, TTL, 1
		allTopics = append(allTopics, t)
	}
	batchSize := map[string]int{}
	if sharedCalls {
		batchSize[endpointKind] = 10
	}
	module := decide.New(1, endpoints, allTopics, decide.Capacity{MaxCalls: 6, MaxHeld: 20, BatchSize: batchSize}, decide.Routes{},
		decide.Recovery{InitialCapacityShare: 0.2, WarmUp: 5, OverloadFactor: 2, OverloadSpan: 1, Dispatchers: 1},
		decide.PushPolicy{MaxPushes: 8, KeyCooldown: 0.1, Tick: tickInterval, IdleTimeout: 5}, decide.TenantQuotas{}, false)
	p.runner = &gateway.Runner{Gateway: gateway.New(module, endpoints, openLedger.HasRoom, nil, batchSize, 1.5), Ledger: openLedger, Platform: platform{p},
		Clock: w.now, Tick: tickInterval, Log: zerolog.Nop(), Events: make(chan gateway.Event, 1024), Dialer: push.Dialer(p.dial)}
	p.runner.Gateway.SetSendChecker(invariant.NewSendChecker(w.invariants, invariant.Margins{DrainGrace: 0.5, KeyHold: 0.1}, w.now()+0.5))
	p.runner.Gateway.AdvanceCallID(openLedger.LastCallNumber())
	p.runner.Gateway.AwaitFirstList(w.now() + 0.5)
	r := p.runner
	pending = w.applyFault(pending)
	go func() {
		r.Restore(pending)
		r.Run(p.stop)
		close(p.loopDone)
	}()
	return true
}

// applyFault returns the pending messages that a process finds in the ledger, changed according to the fault.
func (w *world) applyFault(pending []ledger.Pending) []ledger.Pending {
	var changed []ledger.Pending
	for _, entry := range pending {
		switch {
		case w.fault == ForgetMayHaveRun:
			entry.Message.FirstRunAt = 0
		case w.fault == WindowFromLastCall && entry.Message.FirstRunAt > 0 && entry.LastCall.StartedAt > 0:
			entry.Message.FirstRunAt = entry.LastCall.StartedAt
		case w.fault == LoseNotice && entry.Notice != nil:
			continue
		}
		changed = append(changed, entry)
	}
	return changed
}

// endpointRate is the listed rate of the destination, in calls per second. It is high enough that the recovery budget allows each
// attempt of a plan as soon as an endpoint is no longer set aside.
const endpointRate = 50

// endpoints returns the list of endpoints for a mode, and records their zones, which apply from now on.
func (w *world) endpoints(mode ListMode) []directory.Endpoint {
	first := directory.Endpoint{ID: "e1", Zone: "a", Kind: endpointKind, Dest: destinationID, Stage: directory.Ready, Addr: "e1", Rate: endpointRate}
	second := directory.Endpoint{ID: "e2", Zone: "b", Kind: endpointKind, Dest: destinationID, Stage: directory.Ready, Addr: "e2", Rate: endpointRate}
	if mode == ListFirstMoved {
		first.Zone = "b"
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.zones = map[string]string{"e1": first.Zone, "e2": second.Zone}
	if mode == ListWithoutFirst {
		return []directory.Endpoint{second}
	}
	return []directory.Endpoint{first, second}
}

// sendList sends a process the list of endpoints in the planned mode and after the delay of that mode.
func (w *world) sendList(p *process) {
	const delay, longDelay = 0.02, 0.8 // seconds
	wait := delay
	switch p.plan.List {
	case ListWithheld:
		return
	case ListDelayed:
		wait = longDelay
	}
	r := p.runner
	time.Sleep(seconds(wait))
	if p.alive() {
		r.Post(gateway.Listed{Full: true, Endpoints: w.endpoints(p.plan.List)})
	}
}

// sendToldWait sends a process a told wait of the destination.
func (w *world) sendToldWait(p *process, addr string) {
	if p.alive() {
		p.runner.Post(gateway.LateWait{Endpoint: directory.Endpoint{ID: addr, Dest: destinationID, Kind: endpointKind}, Wait: 0.3})
	}
}

// handIn hands in a message to a process.
func (w *world) handIn(p *process, plan Plan, id string) {
	m := &message.Message{ExpiresAt: w.now() + TTL, Body: []byte("body"), IdempotencyKey: "mark-" + id}
	m.ID, m.Topic, m.Dest, m.Key = id, plan.Topic, destinationID, "key"
	if plan.SharedCalls {
		m.Key = "key of " + id
	}
	w.checker.handedIn(id, m.ExpiresAt)
	p.runner.Post(gateway.Arrived{Message: m, Respond: func(r gateway.Reply) {
		if p.beginOperation() {
			w.checker.handInAnswered(id, r.Accepted)
		}
	}})
}

// serve runs an endpoint's end of a connection.
func (w *world) serve(p *process, endpoint string, conn net.Conn, attempt AttemptOutcome, caller *processConn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		head, err := in.Peek(1)
		if err != nil || len(head) == 0 {
			return
		}
		firstByteAt := w.now()
		ids, err := readMessageIDs(in)
		if err != nil {
			return
		}
		w.mu.Lock()
		zone := w.zones[endpoint]
		w.mu.Unlock()
		calls := map[string]*call{}
		for _, id := range ids {
			calls[id] = w.checker.callStarted(firstByteAt, id, endpoint, zone, p)
			w.checker.requestComplete(calls[id])
			caller.addCall(calls[id])
		}
		if !w.respond(p, conn, ids, calls, attempt) {
			return
		}
	}
}

// readMessageIDs reads a request and returns the ids of its messages.
func readMessageIDs(in *bufio.Reader) ([]string, error) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	return messageIDs(req, body), nil
}

// messageIDs returns the ids of the messages in a request.
func messageIDs(req *http.Request, body []byte) []string {
	if id := req.Header.Get("X-Call-Id"); id != "" {
		return []string{id}
	}
	var lines []struct{ ID string }
	_ = json.Unmarshal(body, &lines) // an unreadable body counts as one without messages
	var ids []string
	for _, l := range lines {
		ids = append(ids, l.ID)
	}
	return ids
}

// answerStatus maps outcomes to the status of the answer; the other outcomes send no answer.
var answerStatus = map[AttemptOutcome]int{RejectBusy: http.StatusServiceUnavailable, AnswerError: http.StatusInternalServerError, ConnectLate: http.StatusOK,
	ToldWaitOnConnect: http.StatusOK, DeliverFirstOnly: http.StatusOK, FailLastOnly: http.StatusInternalServerError, Deliver: http.StatusOK}

// respond applies the planned outcome to a complete call, and reports whether the connection stays usable.
func (w *world) respond(p *process, conn net.Conn, ids []string, calls map[string]*call, attempt AttemptOutcome) bool {
	status := answerStatus[attempt]
	if attempt == KillAfterRequest {
		p.kill()
	}
	if attempt == Hang {
		_, _ = conn.Read(make([]byte, 1)) // until the caller closes the connection
	}
	if status == 0 {
		for _, id := range ids {
			w.checker.callEnded(w.now(), id, calls[id], 0)
		}
		return false
	}
	if len(ids) == 1 {
		w.checker.callEnded(w.now(), ids[0], calls[ids[0]], status)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
		return err == nil
	}
	return w.respondShared(conn, ids, calls, attempt)
}

// respondShared answers a call with several messages, with a state for each.
func (w *world) respondShared(conn net.Conn, ids []string, calls map[string]*call, attempt AttemptOutcome) bool {
	type line struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	states := map[int]string{http.StatusOK: "done", http.StatusServiceUnavailable: "busy", http.StatusInternalServerError: "failed"}
	var lines []line
	for i, id := range ids {
		status := answerStatus[attempt]
		switch {
		case attempt == DeliverFirstOnly && i > 0, attempt == FailLastOnly && i < len(ids)-1:
			status = http.StatusServiceUnavailable
		}
		w.checker.callEnded(w.now(), id, calls[id], status)
		lines = append(lines, line{id, states[status]})
	}
	body, _ := json.Marshal(lines) // strings always marshal
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}
