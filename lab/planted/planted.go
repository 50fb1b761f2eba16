// Package planted implements a dispatcher that deliberately breaks one rule. Tests use it to show that the laboratory detects
// violations. Without a rule to break it keeps all of them by pushing slowly, one notification at a time to each destination. It
// has no other use.
package planted

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"orchiddrift/lab/rules"
	"orchiddrift/platform"
)

const (
	pushInterval    = 100 * time.Millisecond  // after a delivery, before the next push to the destination
	answerTimeout   = time.Second             // time limit of a push
	overloadPushers = 40                      // concurrent pushes to a failing destination when breaking rules.Overload
	lossInterval    = 5                       // one in lossInterval notifications is dropped when breaking rules.Lost
	minRetryWait    = 400 * time.Millisecond  // shortest pause after a failed push
	crashAfter      = 1500 * time.Millisecond // the process exits after this time when breaking rules.Crash
)

// CloseUnanswered, in place of a rule, makes the dispatcher close one in lossInterval requests unanswered. It breaks rules.Lost.
const CloseUnanswered = "closed"

// ForgetOutage, in place of a rule, makes the dispatcher keep all rules until its process is restarted, and then push as fast as it
// can to the destinations at which pushes of the earlier process failed. It breaks rules.Overload.
const ForgetOutage = "forgets"

// ForgetList, in place of a rule, makes the dispatcher go by the list of its configuration when it is started again. It breaks
// rules.Draining where the list is silent then.
const ForgetList = "forgets-list"

// ReuseConnections, in place of a rule, makes the dispatcher send all calls to an endpoint on one connection and take the next answer
// there for that of the call, whatever came before. It breaks rules.Lost or rules.Duplicate where endpoints copy answers.
const ReuseConnections = "reuses"

// HoldMemory, in place of a rule, makes the dispatcher hold heldBytes for each connection that ever came. It breaks rules.Crash where many
// clients come.
const HoldMemory = "holds"

// heldBytes is what is held for a connection when breaking HoldMemory.
const heldBytes = 1 << 20

// violators lists the names that stand in place of a rule.
var violators = []string{CloseUnanswered, ForgetOutage, ForgetList, ReuseConnections, GoByID, SearchContent, HoldMemory}

// failedFile is the file in the state folder that lists, a line each, the destinations at which pushes failed.
const failedFile = "failed"

// listFile is the file in the state folder with the list of endpoints as last told.
const listFile = "list"

// message is an accepted notification.
type message struct {
	id, topic, dest, idempotencyKey string
	body                            []byte
	deadline                        time.Time
	mayHaveRun                      bool
}

// dispatcher is the state of the process. mu guards the fields below it.
type dispatcher struct {
	brokenRule string // "" to keep all rules
	agentAddr  string
	onceOnly   map[string]bool // by topic type: repeats are forbidden
	client     *http.Client
	mu         sync.Mutex
	servers    map[string]platform.Server // the list of endpoints, by id
	queues     map[string]chan *message   // by destination
	waitUntil  map[string]time.Time       // by destination: no push before this time
	accepted   int
	pushes     int

	failedEarlier map[string]bool // by destination: a push of an earlier process failed there

	statePath string          // of the state folder
	knownIDs  map[string]bool // when breaking GoByID

	keptConns map[string]*keptConn // by endpoint address, when breaking ReuseConnections; each is used by one destination
}

// Run runs a dispatcher that breaks the given rule, or none if it is "". It returns only with an error.
func Run(getenv func(string) string, brokenRule string) error {
	if known := slices.Concat(rules.All, violators); brokenRule != "" && !slices.Contains(known, brokenRule) {
		return fmt.Errorf("unknown rule %q: must be one of %s", brokenRule, strings.Join(known, ", "))
	}
	configJSON, err := os.ReadFile(getenv("ROUTER_CONFIG"))
	if err != nil {
		return err
	}
	var config struct {
		Known    platform.List
		Settings struct {
			Classes []struct{ Name, Repeat string }
		}
	}
	if err := json.Unmarshal(configJSON, &config); err != nil {
		return err
	}
	d := &dispatcher{brokenRule: brokenRule, agentAddr: getenv("ROUTER_DISCOVERY"), onceOnly: map[string]bool{}, servers: map[string]platform.Server{},
		queues: map[string]chan *message{}, waitUntil: map[string]time.Time{}, statePath: getenv("ROUTER_STATE"), knownIDs: map[string]bool{},
		keptConns: map[string]*keptConn{}, client: &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, class := range config.Settings.Classes {
		d.onceOnly[class.Name] = class.Repeat == "single_shot"
	}
	d.failedEarlier = map[string]bool{}
	if failed, err := os.ReadFile(filepath.Join(d.statePath, failedFile)); err == nil {
		for dest := range strings.Lines(string(failed)) {
			d.failedEarlier[strings.TrimSpace(dest)] = true
		}
	}
	known := d.storedList(config.Known)
	d.applyList(known)
	if brokenRule == SearchContent {
		for _, m := range d.findInContent() {
			go d.deliver(m)
		}
	}
	go d.watchList(known.Version)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /api", d.handle)
	if brokenRule == rules.Crash {
		time.AfterFunc(crashAfter, func() { os.Exit(1) })
	}
	server := &http.Server{Addr: getenv("ROUTER_LISTEN"), Handler: mux}
	if brokenRule == HoldMemory {
		var held [][]byte
		server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
			held = append(held, bytes.Repeat([]byte("x"), heldBytes))
			return ctx
		}
	}
	return server.ListenAndServe()
}

// applyList applies a whole list, or the changes of one, to the known endpoints.
func (d *dispatcher) applyList(l platform.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.Full {
		clear(d.servers)
	}
	for _, s := range l.Servers {
		if d.servers[s.ID] = s; s.State == "gone" {
			delete(d.servers, s.ID)
		}
	}
}

// storedList returns the list that an earlier process stored, or else the configured one.
func (d *dispatcher) storedList(configured platform.List) platform.List {
	text, err := os.ReadFile(filepath.Join(d.statePath, listFile))
	var stored platform.List
	if err != nil || d.brokenRule == ForgetList || json.Unmarshal(text, &stored) != nil {
		return configured
	}
	return stored
}

// storeList stores the known endpoints for the next process.
func (d *dispatcher) storeList(version int64) {
	d.mu.Lock()
	l := platform.List{Version: version, Full: true, Servers: slices.Collect(maps.Values(d.servers))}
	d.mu.Unlock()
	text, _ := json.Marshal(l) // plain values always marshal
	path := filepath.Join(d.statePath, listFile)
	if os.WriteFile(path+".next", text, 0o600) == nil {
		_ = os.Rename(path+".next", path)
	}
}

// watchList follows the changes of the list by long polls.
func (d *dispatcher) watchList(version int64) {
	for {
		resp, err := http.Get(fmt.Sprintf("http://%s/catalog/members?from=%d&hold_ms=5000", d.agentAddr, version))
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var l platform.List
		if json.NewDecoder(resp.Body).Decode(&l) == nil {
			version = l.Version
			if d.brokenRule != rules.Draining { // to break it, the dispatcher ignores all changes of the list, drains included
				d.applyList(l)
				d.storeList(version)
			}
		}
		_ = resp.Body.Close()
	}
}

// handle accepts a notification and queues it for its destination.
func (d *dispatcher) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	budgetMS, budgetErr := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Budget"), "m"))
	if err != nil || budgetErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m := &message{id: r.Header.Get("X-Call-Id"), topic: r.Header.Get("X-Call-Class"), idempotencyKey: r.Header.Get("Idempotency-Key"),
		dest: strings.TrimPrefix(r.Header.Get("X-Addressing"), "dest="), body: body,
		deadline: time.Now().Add(time.Duration(budgetMS) * time.Millisecond)}
	switch {
	case d.brokenRule == GoByID && d.isKnownID(m.id):
		w.WriteHeader(http.StatusAccepted)
		return
	case d.brokenRule == SearchContent:
		d.store(m)
	}
	d.mu.Lock()
	d.accepted++
	drop := d.brokenRule == rules.Lost && d.accepted%lossInterval == 0
	if d.brokenRule == CloseUnanswered && d.accepted%lossInterval == 0 {
		d.mu.Unlock()
		panic(http.ErrAbortHandler) // the server closes the connection
	}
	queue := d.queues[m.dest]
	if queue == nil {
		queue = make(chan *message, 10_000)
		d.queues[m.dest] = queue
		go func() {
			for m := range queue {
				d.deliver(m)
			}
		}()
	}
	d.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
	switch {
	case drop:
	case d.brokenRule == rules.Order:
		go d.deliver(m)
	default:
		queue <- m
	}
}

// deliver pushes a notification until it is delivered, may not be repeated, or is too close to its deadline. A
// notification that is not delivered is reported to the agent.
func (d *dispatcher) deliver(m *message) {
	for time.Until(m.deadline) > answerTimeout {
		d.mu.Lock()
		wait := time.Until(d.waitUntil[m.dest])
		d.mu.Unlock()
		if wait > 0 {
			time.Sleep(min(wait, time.Until(m.deadline)))
			continue
		}
		if d.brokenRule == ForgetOutage && d.failedEarlier[m.dest] {
			d.overload(m)
		}
		status, retryAfter := d.push(m)
		if status == http.StatusOK {
			time.Sleep(pushInterval)
			return
		}
		notRun := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == -1
		if m.mayHaveRun = m.mayHaveRun || !notRun; m.mayHaveRun && d.onceOnly[m.topic] && d.brokenRule != rules.Duplicate {
			break
		}
		if d.brokenRule == rules.Overload {
			d.overload(m)
		}
		if d.brokenRule == ForgetOutage {
			d.appendLine(failedFile, []byte(m.dest))
		}
		d.mu.Lock()
		if d.waitUntil[m.dest] = time.Now().Add(max(retryAfter, minRetryWait)); d.brokenRule == rules.ToldWait {
			d.waitUntil[m.dest] = time.Now().Add(2 * pushInterval)
		}
		d.mu.Unlock()
	}
	outcome := "handed_back"
	if m.mayHaveRun {
		outcome = "given_up"
	}
	notice, _ := json.Marshal(map[string]string{"message": m.id, "outcome": outcome}) // marshalling strings cannot fail
	for range 20 {
		resp, err := http.Post("http://"+d.agentAddr+"/v1/notices", "application/x-ndjson", bytes.NewReader(notice))
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// appendLine appends a line to a file in the state folder.
func (d *dispatcher) appendLine(file string, line []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := os.OpenFile(filepath.Join(d.statePath, file), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	_, _ = f.Write(append(line, '\n'))
	_ = f.Close()
}

// overload pushes a notification to a failing destination many times in parallel, until each push was answered with 200
// or the deadline is near.
func (d *dispatcher) overload(m *message) {
	var pushers sync.WaitGroup
	for range overloadPushers {
		pushers.Go(func() {
			for time.Until(m.deadline) > answerTimeout {
				if status, _ := d.push(m); status == http.StatusOK {
					return
				}
				time.Sleep(pushInterval / 2)
			}
		})
	}
	pushers.Wait()
}

// push makes one call. It returns the status and the wait of Retry-After (0: none). The status is 0 if there was no
// answer, and -1 if no call was made because there was no ready endpoint or the connection was refused.
func (d *dispatcher) push(m *message) (int, time.Duration) {
	addr := ""
	d.mu.Lock()
	for _, id := range sortedIDs(d.servers) {
		if s := d.servers[id]; s.Cell.String() == m.dest && s.State == "ready" {
			addr = s.Addr
		}
	}
	d.pushes++
	body := m.body
	if d.brokenRule == rules.Content && d.pushes%lossInterval == 0 {
		body = append(bytes.Clone(body), '!')
	}
	d.mu.Unlock()
	if addr == "" {
		return -1, 0
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/hook", bytes.NewReader(body))
	if err != nil {
		return -1, 0
	}
	req.Header.Set("X-Call-Id", m.id)
	req.Header.Set("X-Budget", strconv.Itoa(int(answerTimeout.Milliseconds()))+"m")
	if m.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", m.idempotencyKey)
	}
	resp, err := d.do(req)
	if err != nil {
		if strings.Contains(err.Error(), "refused") {
			return -1, 0
		}
		return 0, 0
	}
	_ = resp.Body.Close()
	wait, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 without the header
	return resp.StatusCode, time.Duration(wait * float64(time.Second))
}

// do sends a request and returns the answer, or what it takes for the answer.
func (d *dispatcher) do(req *http.Request) (*http.Response, error) {
	if d.brokenRule != ReuseConnections {
		return d.client.Do(req)
	}
	d.mu.Lock()
	kept := d.keptConns[req.URL.Host]
	delete(d.keptConns, req.URL.Host)
	d.mu.Unlock()
	if kept == nil {
		conn, err := net.Dial("tcp", req.URL.Host)
		if err != nil {
			return nil, err
		}
		kept = &keptConn{conn, bufio.NewReader(conn)}
	}
	resp, err := kept.exchange(req)
	if err != nil {
		_ = kept.Close()
		return nil, err
	}
	d.mu.Lock()
	d.keptConns[req.URL.Host] = kept
	d.mu.Unlock()
	return resp, nil
}

// keptConn is a connection that carries one call after another.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

// exchange writes a request and reads the next answer on the connection.
func (c *keptConn) exchange(req *http.Request) (*http.Response, error) {
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	if err := req.Write(c); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// sortedIDs returns the ids of the known endpoints in order, so that push chooses the same one each time.
func sortedIDs(servers map[string]platform.Server) []string {
	var ids []string
	for id := range servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
