// Package loopback holds what the scripts of the second review share: the record, the dispatcher as a process of its own, and stand-ins for
// the platform's agent and for clients.
package loopback

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held       = 0
	Broken     = 1
	CouldNotDo = 2
)

// Trouble reports whether the case is played with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record of a case. Its lines begin with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord opens the record that the environment variable RECORD names. It is called first, from main: processes that are started end
// with the thread that started them.
func NewRecord() *Record {
	runtime.LockOSThread()
	f, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNotDo)
	}
	return &Record{file: f, start: time.Now()}
}

// Now returns the seconds since the start.
func (r *Record) Now() float64 { return time.Since(r.start).Seconds() }

// Note writes a line.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// End writes the verdict and ends the process.
func (r *Record) End(code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Note("verdict %d: %s", code, text)
	fmt.Println(text)
	os.Exit(code)
}

// Listen returns a listener on a free port of the loopback address, or on a given address.
func Listen(addr string) (net.Listener, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	return net.Listen("tcp", addr)
}

// FreeAddr returns a loopback address whose port was free just now.
func FreeAddr() (string, error) {
	ln, err := Listen("")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// Server is an entry of the list of endpoints.
type Server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// List is a list of endpoints, or of changes.
type List struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// Notice is a notice as the agent gets it.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryIn int    `json:"retry_in_ms"`
	At      float64
}

// Agent is the platform's agent. It answers at once, and is silent on the list while discovery is down. Notices are always answered.
type Agent struct {
	Addr    string
	record  *Record
	mu      sync.Mutex
	changes [][]Server // by version, from firstVersion on
	wake    chan struct{}
	silent  bool
	written int // highest version that was written to the dispatcher
	notices []Notice
}

// firstVersion is the version of the first list.
const firstVersion = 41

// StartAgent starts an agent that has a first list.
func StartAgent(record *Record, first []Server) (*Agent, error) {
	ln, err := Listen("")
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: ln.Addr().String(), record: record, changes: [][]Server{first}, wake: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.members)
	mux.HandleFunc("POST /v1/notices", a.takeNotices)
	go func() { _ = http.Serve(ln, mux) }()
	return a, nil
}

// First returns the first list, which the dispatcher is configured with.
func (a *Agent) First() List { return List{firstVersion, true, a.changes[0]} }

// Change lists changed entries as a new version and returns it.
func (a *Agent) Change(entries ...Server) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changes = append(a.changes, entries)
	version := firstVersion + len(a.changes) - 1
	a.record.Note("agent: version %d: %v", version, entries)
	close(a.wake)
	a.wake = make(chan struct{})
	return version
}

// SetSilent begins or ends an outage of discovery.
func (a *Agent) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	a.record.Note("agent: discovery is down: %v", silent)
	close(a.wake)
	a.wake = make(chan struct{})
}

// AwaitWritten waits until a version was written to the dispatcher.
func (a *Agent) AwaitWritten(version int, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		a.mu.Lock()
		done := a.written >= version
		a.mu.Unlock()
		if done {
			return true
		}
	}
	return false
}

// Notices returns the notices so far.
func (a *Agent) Notices() []Notice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Notice(nil), a.notices...)
}

// members answers a request for the list.
func (a *Agent) members(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	deadline := time.Now().Add(time.Duration(min(max(hold, 0), 60000)) * time.Millisecond)
	var list List
	for {
		a.mu.Lock()
		newest, silent, wake := firstVersion+len(a.changes)-1, a.silent, a.wake
		full := err != nil || from < firstVersion
		if !silent && (full || newest > from || !time.Now().Before(deadline)) {
			list = a.list(from, full)
			a.mu.Unlock()
			break
		}
		a.mu.Unlock()
		wait := time.Until(deadline)
		if silent {
			wait = time.Hour
		}
		select {
		case <-wake:
		case <-time.After(max(wait, time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
	body, _ := json.Marshal(list)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err == nil {
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		a.mu.Lock()
		if list.Version > a.written {
			a.record.Note("agent: version %d was written to the dispatcher", list.Version)
		}
		a.written = max(a.written, list.Version)
		a.mu.Unlock()
	}
}

// list returns the whole list, or the changes after a version. The caller holds the lock.
func (a *Agent) list(from int, full bool) List {
	newest := firstVersion + len(a.changes) - 1
	result := List{Version: newest, Full: full, Servers: []Server{}}
	first := 0
	if !full {
		first = min(from-firstVersion+1, len(a.changes))
	}
	index := map[string]int{}
	for _, entries := range a.changes[first:] {
		for _, e := range entries {
			if i, ok := index[e.ID]; ok {
				result.Servers[i] = e
				continue
			}
			index[e.ID] = len(result.Servers)
			result.Servers = append(result.Servers, e)
		}
	}
	if full {
		kept := result.Servers[:0]
		for _, e := range result.Servers {
			if e.State != "gone" {
				kept = append(kept, e)
			}
		}
		result.Servers = kept
	}
	return result
}

// takeNotices takes notices.
func (a *Agent) takeNotices(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	for _, line := range bytes.Split(bytes.TrimSpace(body), []byte("\n")) {
		n := Notice{At: a.record.Now()}
		if json.Unmarshal(line, &n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.mu.Lock()
		a.notices = append(a.notices, n)
		a.mu.Unlock()
		a.record.Note("agent: notice %s %s", n.Message, n.Outcome)
	}
	w.WriteHeader(http.StatusNoContent)
}

// Dispatcher is the deployed program.
type Dispatcher struct {
	Addr    string
	record  *Record
	runLine string
	env     []string
	log     *os.File
	cmd     *exec.Cmd
	done    chan struct{}
}

// NewDispatcher prepares a dispatcher with the settings, in JSON, and the agent. Its files are in the folder that WORK names.
func NewDispatcher(record *Record, agent *Agent, settings string) (*Dispatcher, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("the deploy file has no run line")
	}
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	work := os.Getenv("WORK")
	known, _ := json.Marshal(agent.First())
	config := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},"known":%s,"settings":%s}`, addr, agent.Addr, known, settings)
	state := filepath.Join(work, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(work, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(work, "dispatcher.log"))
	if err != nil {
		return nil, err
	}
	env := append(os.Environ(), "ROUTER_NAME=n1", "ROUTER_LISTEN="+addr, "ROUTER_DISCOVERY="+agent.Addr, "ROUTER_STATE="+state,
		"ROUTER_CONFIG="+path)
	return &Dispatcher{Addr: addr, record: record, runLine: string(run[1]), env: env, log: logFile}, nil
}

// Start starts the process and waits until it is ready.
func (d *Dispatcher) Start() error {
	d.cmd = exec.Command("/bin/sh", "-c", d.runLine)
	d.cmd.Env, d.cmd.Stdout, d.cmd.Stderr = d.env, d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(d.cmd, d.done)
	d.record.Note("dispatcher: started")
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + d.Addr + "/_health")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.record.Note("dispatcher: ready")
				return nil
			}
		}
		select {
		case <-d.done:
			return fmt.Errorf("the dispatcher ended")
		default:
		}
	}
	return fmt.Errorf("the dispatcher was not ready within 30 s")
}

// Signal sends a signal to the process.
func (d *Dispatcher) Signal(signal syscall.Signal) {
	d.record.Note("dispatcher: %v", signal)
	_ = d.cmd.Process.Signal(signal)
}

// Kill ends the process at once and waits for its end.
func (d *Dispatcher) Kill() {
	if d.cmd == nil {
		return
	}
	d.Signal(syscall.SIGKILL)
	<-d.done
}

// Message is what a client hands in.
type Message struct {
	ID, Class, Key, Idempotency, Body string
	Dest                              int
	Budget                            time.Duration
}

// HandIn hands a message in on a connection of its own, and returns the status, or 0 if there was no answer within the client's patience.
func HandIn(record *Record, addr string, m Message) int {
	status := handIn(addr, m)
	record.Note("client: %s class %s dest %d key %q budget %v: %d", m.ID, m.Class, m.Dest, m.Key, m.Budget, status)
	return status
}

// patience is how long a client waits for its answer.
const patience = 400 * time.Millisecond

func handIn(addr string, m Message) int {
	conn, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	var b strings.Builder
	fmt.Fprintf(&b, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: acme\r\n", m.ID, m.Class)
	if m.Key != "" {
		fmt.Fprintf(&b, "Cookie: about=%s\r\n", m.Key)
	}
	if m.Idempotency != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", m.Idempotency)
	}
	fmt.Fprintf(&b, "X-Budget: %dm\r\nX-Addressing: dest=%d\r\nContent-Length: %d\r\n\r\n%s", m.Budget.Milliseconds(), m.Dest, len(m.Body), m.Body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
