// Command rig2 plays the cases 6 to 10 of the review: it starts dispatchers with the commands of the deploy file, and has stand-ins
// of its own for clients, endpoints and the platform's agent. All of them are on loopback addresses and use the real clock.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	void   = 2
)

// rig holds what a case uses. All times that it records are seconds since its start.
type rig struct {
	root      string // of the repository
	tmp       string // temporary folder, removed at the end
	trouble   bool   // false: the case is played without its disruption
	startedAt time.Time
	lock      sync.Mutex
	record    *bufio.Writer
	processes []*process
}

// main plays the case that the first argument names and writes the record to the file that the second one names.
func main() {
	cases := map[string]func(*rig) (int, string){"order": playOrder, "shut": playShutTold,
		"foreign": playForeign}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD, from the root of the repository")
		os.Exit(void)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns its exit code.
func play(run func(*rig) (int, string), recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return void
	}
	defer file.Close()
	tmp, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return void
	}
	root, _ := os.Getwd()
	r := &rig{root: root, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", startedAt: time.Now(), record: bufio.NewWriter(file)}
	watchdog := time.AfterFunc(110*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		r.end()
		os.Exit(void)
	})
	defer watchdog.Stop()
	code, text := void, ""
	func() {
		defer func() {
			if failure := recover(); failure != nil {
				text = fmt.Sprint("the case could not run: ", failure)
			}
		}()
		code, text = run(r)
	}()
	r.note("result %d: %s", code, text)
	fmt.Println(text)
	r.end()
	return code
}

// end ends all processes and removes the temporary folder.
func (r *rig) end() {
	for _, p := range r.processes {
		p.kill()
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	_ = r.record.Flush()
	_ = os.RemoveAll(r.tmp)
}

// now returns the seconds since the start of the case.
func (r *rig) now() float64 { return time.Since(r.startedAt).Seconds() }

// until sleeps until a time, in seconds since the start of the case.
func (r *rig) until(at float64) { time.Sleep(time.Duration((at - r.now()) * float64(time.Second))) }

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", r.now(), fmt.Sprintf(format, args...))
}

// must stops the case if there is an error.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// freeAddr returns a loopback address with a port that is free.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// process is a dispatcher that the case has started.
type process struct {
	rig  *rig
	name string
	addr string
	env  []string
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// newDispatcher returns a dispatcher that is not started yet. config gets its name, address and discovery.
func (r *rig) newDispatcher(name, discovery string, config map[string]any) *process {
	p := &process{rig: r, name: name, addr: freeAddr()}
	config["name"], config["listen"], config["discovery"], config["seed"] = name, p.addr, discovery, "8c1f30d27a5be964"
	text, err := json.Marshal(config)
	must(err)
	path, state := filepath.Join(r.tmp, name+".json"), filepath.Join(r.tmp, name)
	must(os.WriteFile(path, text, 0o600))
	must(os.MkdirAll(state, 0o700))
	p.env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + r.tmp, "ROUTER_NAME=" + name, "ROUTER_LISTEN=" + p.addr,
		"ROUTER_DISCOVERY=" + discovery, "ROUTER_STATE=" + state, "ROUTER_CONFIG=" + path}
	p.log, err = os.Create(filepath.Join(r.tmp, name+".log"))
	must(err)
	r.processes = append(r.processes, p)
	return p
}

// runLine returns the command of the deploy file that starts a dispatcher.
func (r *rig) runLine() string {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	must(err)
	match := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if match == nil {
		panic("deploy/balancer.toml has no run line")
	}
	return string(match[1])
}

// start starts the dispatcher and waits until it is ready.
func (p *process) start() {
	p.cmd = exec.Command("/bin/sh", "-c", p.rig.runLine())
	p.cmd.Dir, p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = p.rig.root, p.env, p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.rig.note("start of dispatcher %s", p.name)
	must(p.cmd.Start())
	cmd, done := p.cmd, make(chan struct{})
	p.done = done
	go func() {
		err := cmd.Wait()
		p.rig.note("end of dispatcher %s: %v", p.name, err)
		close(done)
	}()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + p.addr + "/_health")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				p.rig.note("dispatcher %s is ready", p.name)
				return
			}
		}
	}
	panic("dispatcher " + p.name + " did not get ready")
}

// kill ends the dispatcher with SIGKILL.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// server is an entry of the agent's list.
type server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// list is what the agent answers.
type list struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// agent is the platform's agent: the list and its changes, and notices.
type agent struct {
	rig     *rig
	addr    string
	lock    sync.Mutex
	version int
	servers []server
	changed map[string]int // version of the last change, by endpoint
	silent  bool           // discovery is down
	wake    chan struct{}  // closed by a change of the list or of silent
	notices map[string]string
}

// startAgent starts an agent with a list.
func (r *rig) startAgent(servers ...server) *agent {
	a := &agent{rig: r, version: 1, servers: servers, changed: map[string]int{}, wake: make(chan struct{}), notices: map[string]string{}}
	for _, s := range servers {
		a.changed[s.ID] = 1
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.members)
	mux.HandleFunc("POST /v1/notices", a.notice)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	a.addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, mux) }()
	return a
}

// full returns the whole list.
func (a *agent) full() list {
	a.lock.Lock()
	defer a.lock.Unlock()
	return list{a.version, true, append([]server(nil), a.servers...)}
}

// change lists new and changed endpoints. The agent has the change at once. An endpoint that is gone is only told among changes.
func (a *agent) change(entries ...server) {
	a.lock.Lock()
	a.version++
	for _, e := range entries {
		a.changed[e.ID] = a.version
		if i := slices.IndexFunc(a.servers, func(s server) bool { return s.ID == e.ID }); i >= 0 {
			a.servers[i] = e
		} else {
			a.servers = append(a.servers, e)
		}
	}
	close(a.wake)
	a.wake = make(chan struct{})
	a.lock.Unlock()
	for _, e := range entries {
		a.rig.note("the agent has: %s of partner %d at %s is %s", e.ID, e.Cell, e.Addr, e.State)
	}
}

// setSilent begins or ends an outage of discovery.
func (a *agent) setSilent(silent bool) {
	a.lock.Lock()
	a.silent = silent
	close(a.wake)
	a.wake = make(chan struct{})
	a.lock.Unlock()
	a.rig.note("discovery is down: %v", silent)
}

// members answers a request for the list or a watch. While discovery is down it says nothing.
func (a *agent) members(w http.ResponseWriter, req *http.Request) {
	from, watch := -1, req.URL.Query().Has("from")
	if watch {
		from, _ = strconv.Atoi(req.URL.Query().Get("from"))
	}
	hold, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
	deadline := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
	for over := false; ; {
		a.lock.Lock()
		silent, version, wake := a.silent, a.version, a.wake
		answer := list{Version: version, Full: !watch, Servers: []server{}}
		for _, s := range a.servers {
			if !watch && s.State != "gone" || watch && a.changed[s.ID] > from {
				answer.Servers = append(answer.Servers, s)
			}
		}
		a.lock.Unlock()
		if !silent && (!watch || version > from || over) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(answer)
			a.rig.note("list told: from %d, version %d, %d entries", from, version, len(answer.Servers))
			return
		}
		select {
		case <-wake:
		case <-deadline:
			over, deadline = true, nil
		case <-req.Context().Done():
			return
		}
	}
}

// notice takes notices. It answers also while discovery is down.
func (a *agent) notice(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	for line := range bytes.Lines(body) {
		var n struct{ Message, Outcome string }
		if json.Unmarshal(line, &n) != nil || n.Message == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.lock.Lock()
		if a.notices[n.Message] == "" {
			a.notices[n.Message] = n.Outcome
			a.rig.note("notice: %s %s", n.Message, n.Outcome)
		}
		a.lock.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// call is a call with one message that an endpoint got.
type call struct {
	id   string
	body string
	at   float64 // of its last byte
	req  *http.Request
}

// startEndpoint starts an endpoint, which answers each call with serve, and returns its address.
func (r *rig) startEndpoint(name string, serve func(w http.ResponseWriter, c call)) string {
	return r.startSwitchable(name, serve).addr
}

// switchable is an endpoint in whose place another one can start, at the same address.
type switchable struct {
	rig  *rig
	addr string
	http *http.Server
}

// startSwitchable starts an endpoint that another one can replace.
func (r *rig) startSwitchable(name string, serve func(w http.ResponseWriter, c call)) *switchable {
	s := &switchable{rig: r}
	s.listen("127.0.0.1:0", name, serve)
	return s
}

// become ends the endpoint and its connections, and starts another one at its address.
func (s *switchable) become(name string, serve func(w http.ResponseWriter, c call)) {
	must(s.http.Close())
	s.listen(s.addr, name, serve)
}

// listen starts to serve at an address.
func (s *switchable) listen(addr, name string, serve func(w http.ResponseWriter, c call)) {
	ln, err := net.Listen("tcp", addr)
	must(err)
	r := s.rig
	handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return // incomplete: not begun
		}
		c := call{id: req.Header.Get("X-Call-Id"), body: string(body), at: r.now(), req: req}
		if req.URL.Path != "/hook" || c.id == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		serve(w, c)
	})
	s.addr, s.http = ln.Addr().String(), &http.Server{Handler: handler}
	server := s.http
	go func() { _ = server.Serve(ln) }()
	r.note("endpoint %s at %s", name, s.addr)
}

// message is what a client hands in.
type message struct {
	id, class, tenant, key, idempotency string
	dest                                int
	budget                              time.Duration
}

// newTransport returns the connections of the clients of a case.
func newTransport() *http.Client {
	return &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}}
}

// handIn hands in a message and returns the status of the answer, or 0 if there was none.
func (r *rig) handIn(client *http.Client, p *process, m message) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.addr+"/api", strings.NewReader("body of "+m.id))
	must(err)
	req.Header.Set("X-Call-Id", m.id)
	req.Header.Set("X-Call-Class", m.class)
	req.Header.Set("X-Caller", m.tenant)
	if m.key != "" {
		req.Header.Set("Cookie", "about="+m.key)
	}
	if m.idempotency != "" {
		req.Header.Set("Idempotency-Key", m.idempotency)
	}
	req.Header.Set("X-Budget", fmt.Sprintf("%dm", m.budget.Milliseconds()))
	req.Header.Set("X-Addressing", fmt.Sprintf("dest=%d", m.dest))
	resp, err := client.Do(req)
	if err != nil {
		r.note("hand-in %s: %v", m.id, errors.Unwrap(err))
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	r.note("hand-in %s for %d: %d", m.id, m.dest, resp.StatusCode)
	return resp.StatusCode
}

// load hands in messages at an even rate, in messages a second, from one time to another.
func (r *rig) load(client *http.Client, p *process, from, to, rate float64, next func(n int) message) {
	var open sync.WaitGroup
	for n := 0; from+float64(n)/rate < to; n++ {
		r.until(from + float64(n)/rate)
		m := next(n)
		open.Go(func() { r.handIn(client, p, m) })
	}
	open.Wait()
}
