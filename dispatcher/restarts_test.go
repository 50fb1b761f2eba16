package dispatcher_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// endpoint is a partner's endpoint with a fixed address. Its listener can be closed, so that connections are refused,
// and opened again. It reads calls and never answers them.
type endpoint struct {
	addr  string
	ln    net.Listener
	calls chan string // X-Call-Id of each call, once its body has been read
}

// newEndpoint returns an endpoint that listens on a free port.
func newEndpoint(t *testing.T) *endpoint {
	t.Helper()
	e := &endpoint{addr: "127.0.0.1:0", calls: make(chan string, 99)}
	e.open(t)
	e.addr = e.ln.Addr().String()
	t.Cleanup(func() { e.ln.Close() })
	return e
}

// open listens and serves in a goroutine until the listener is closed.
func (e *endpoint) open(t *testing.T) {
	t.Helper()
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		t.Fatal(err)
	}
	e.ln = ln
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			e.calls <- r.Header.Get("X-Call-Id")
			<-r.Context().Done()
		}))
	}()
}

// newAgent starts an agent whose list never changes, and returns its URL and the notices that it gets.
func newAgent(t *testing.T, list []map[string]any) (url string, notices <-chan string) {
	t.Helper()
	received := make(chan string, 99)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.Method == http.MethodPost:
			received <- string(body)
			w.WriteHeader(http.StatusNoContent)
		case r.URL.RawQuery != "":
			<-r.Context().Done() // the list does not change
		default:
			_ = json.NewEncoder(w).Encode(map[string]any{"version": 1, "full": true, "servers": list})
		}
	}))
	t.Cleanup(func() { agent.CloseClientConnections(); agent.Close() })
	return agent.URL, received
}

// process is a dispatcher in a child process that a test kills.
type process struct {
	cmd     *exec.Cmd
	logPath string
}

// startProcess starts a process on the dispatcher's folder and waits until it is ready.
func (d *testDispatcher) startProcess(t *testing.T, name string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0]), logPath: filepath.Join(d.variables["ROUTER_STATE"], name+".log")}
	p.cmd.Env = append(os.Environ(), childDescriptorsVar+"=256")
	for name, value := range d.variables {
		p.cmd.Env = append(p.cmd.Env, name+"="+value)
	}
	log, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.kill(); p.reportLog(t) })
	eventually(t, "ready", d.ready)
	return p
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// logContains reports whether the log contains text.
func (p *process) logContains(text string) bool {
	log, _ := os.ReadFile(p.logPath)
	return strings.Contains(string(log), text)
}

// reportLog writes the end of the log to the test's output if the test has failed.
func (p *process) reportLog(t *testing.T) {
	const maxBytes = 4 << 10 // from the end of the log
	if log, _ := os.ReadFile(p.logPath); t.Failed() {
		t.Logf("%s:\n%s", filepath.Base(p.logPath), log[max(0, len(log)-maxBytes):])
	}
}

// A process is killed while a push of a collapsible notification is unanswered, so the push may have run. The endpoint
// refuses the connections of a second process, which is killed too. A third process must still know of the first push from
// the ledger: once the deduplication window has passed, it sends the final answer instead of pushing again.
//
// Guards against a failed dial that clears the record of an earlier process's push (incident of 2026-12-02).
func TestDedupWindowAcrossTwoCrashes(t *testing.T) {
	const window = 2 * time.Second
	e := newEndpoint(t)
	list := partnerList("s-1", e.addr, "ready")
	agent, notices := newAgent(t, list)
	d := configure(t, agent, list, func(config map[string]any) {
		status := config["settings"].(map[string]any)["classes"].([]any)[1].(map[string]any)
		status["memory-span-ms"] = window.Milliseconds()
	})
	first := d.startProcess(t, "first")
	if !d.submitTopic("status", "a1", 1) {
		t.Fatal("not accepted")
	}
	if id := receive(t, "a call", e.calls); id != "a1" {
		t.Fatalf("called with %q", id)
	}
	windowEnd := time.Now().Add(window)
	first.kill()
	e.ln.Close()
	second := d.startProcess(t, "second")
	eventually(t, "a refused dial", func() bool { return second.logContains("no connection") })
	second.kill()
	time.Sleep(time.Until(windowEnd) + 100*time.Millisecond)
	e.open(t)
	d.startProcess(t, "third")
	select {
	case id := <-e.calls:
		t.Fatalf("%s was pushed again %v after its deduplication window", id, time.Since(windowEnd))
	case text := <-notices:
		if !strings.Contains(text, `"a1"`) {
			t.Fatalf("notice %s", text)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("neither pushed again nor given its final answer")
	}
}

// receive returns the next value from a channel, and fails the test if there is none within 5 s.
func receive(t *testing.T, what string, c <-chan string) string {
	t.Helper()
	select {
	case text := <-c:
		return text
	case <-time.After(5 * time.Second):
		t.Fatalf("not within 5 s: %s", what)
		return ""
	}
}

// submitTopic submits a notification of a topic and reports whether it was accepted.
func (d *testDispatcher) submitTopic(topic, id string, dest int) bool {
	req, _ := http.NewRequest(http.MethodPost, "http://"+d.addr+"/api", strings.NewReader("hello"))
	for name, value := range map[string]string{"X-Call-Id": id, "X-Call-Class": topic, "X-Caller": "acme",
		"X-Budget": "9000m", "X-Addressing": fmt.Sprint("dest=", dest), "Idempotency-Key": "key-" + id} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusAccepted
}

// After a restart the listen address is in use for two seconds. Pending notifications are pushed meanwhile, and SIGTERM stops
// a dispatcher that is not listening yet. Guards against a gateway loop that starts only once the listener is open.
func TestPendingPushedBeforeListener(t *testing.T) {
	env := newEnvironment(t)
	env.partnerHangs.Store(true)
	env.startOn(t, env.system())
	if !env.submit("a1", 1) {
		t.Fatal("not accepted")
	}
	<-env.pushed
	env.stop(t)
	env.partnerHangs.Store(false)
	system := env.system()
	startedAt := time.Now()
	listened := make(chan time.Duration, 99)
	system.Listen = func(address string) (net.Listener, error) {
		if time.Since(startedAt) < 2*time.Second {
			return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
		}
		listened <- time.Since(startedAt)
		return net.Listen("tcp", address)
	}
	env.launch(system)
	select {
	case <-env.pushed:
	case at := <-listened:
		t.Errorf("not pushed before the listener was open, %v after the start", at)
	}
	eventually(t, "ready", env.ready)
	env.stop(t)

	system.Listen = func(string) (net.Listener, error) {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	env.launch(system)
	time.Sleep(300 * time.Millisecond)
	env.stop(t)
}

// A dispatcher that was killed with many pending notifications and thousands of listed endpoints repeats the first push well
// within the deduplication windows. The log has the ledger's state of the notifications.
func TestRestartWithManyPending(t *testing.T) {
	const (
		listed, pending = 3200, 300
		maxElapsed      = 1500 * time.Millisecond // of which pushes wait 500 ms for the first list from discovery
	)
	e := newEndpoint(t)
	list := partnerList("s-1", e.addr, "ready")
	for i := 1; i < listed; i++ {
		next := partnerList(fmt.Sprint("s-", i+1), fmt.Sprintf("127.0.0.1:%d", 1+i%2), "ready")[0]
		next["cell"] = 2 + i%800
		list = append(list, next)
	}
	agent, _ := newAgent(t, list)
	d := configure(t, agent, list, func(config map[string]any) {
		config["settings"].(map[string]any)["policy-limits"].(map[string]any)["most-held"] = 2 * pending
	})
	first := d.startProcess(t, "first")
	for i := range pending {
		if !d.submitTopic("status", fmt.Sprint("m", i), 1) {
			t.Fatal("not accepted")
		}
	}
	receive(t, "a call", e.calls)
	first.kill()
	startedAt := time.Now()
	second := d.startProcess(t, "second")
	// The log is checked, not the endpoint, where calls of the first process may still arrive.
	eventually(t, "a repeat", func() bool { return second.logContains(`"message":"repeat"`) })
	elapsed := time.Since(startedAt)
	t.Logf("first repeat %v after the start, with %d pending notifications and %d listed endpoints", elapsed, pending, listed)
	if elapsed > maxElapsed {
		t.Errorf("first repeat only %v after the start", elapsed)
	}
	if !second.logContains(`"state":"may have run"`) {
		t.Error("the log has no state of the pending notifications")
	}
}
