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
	told := make(chan string, 99)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.Method == http.MethodPost:
			told <- string(body)
			w.WriteHeader(http.StatusNoContent)
		case r.URL.RawQuery != "":
			<-r.Context().Done() // the list does not change
		default:
			_ = json.NewEncoder(w).Encode(map[string]any{"version": 1, "full": true, "servers": list})
		}
	}))
	t.Cleanup(func() { agent.CloseClientConnections(); agent.Close() })
	return agent.URL, told
}

// process is a dispatcher in a child process that a test kills.
type process struct {
	cmd *exec.Cmd
	log string
}

// startProcess starts a process on the dispatcher's folder and waits until it is ready.
func (d *testDispatcher) startProcess(t *testing.T, name string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0]), log: filepath.Join(d.env["ROUTER_STATE"], name+".log")}
	p.cmd.Env = append(os.Environ(), childDescriptorsVar+"=256")
	for name, value := range d.env {
		p.cmd.Env = append(p.cmd.Env, name+"="+value)
	}
	log, err := os.Create(p.log)
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
	b, _ := os.ReadFile(p.log)
	return strings.Contains(string(b), text)
}

func (p *process) reportLog(t *testing.T) {
	const most = 4 << 10 // bytes from the end of the log
	if b, _ := os.ReadFile(p.log); t.Failed() {
		t.Logf("%s:\n%s", filepath.Base(p.log), b[max(0, len(b)-most):])
	}
}

// A process is killed while a push of a collapsible notification is unanswered. The second process has it as a push that
// may have run; its own connections to the endpoint are refused, and it is killed too. The third process must still
// have the first process's push on record: after the repeat window it sends the final answer instead of another push.
//
// Guards against a failed dial that clears the record of an earlier process's push (incident of 2026-12-02).
func TestRepeatWindowAcrossTwoCrashes(t *testing.T) {
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
	known := time.Now().Add(window)
	first.kill()
	e.ln.Close()
	second := d.startProcess(t, "second")
	eventually(t, "a refused dial", func() bool { return second.logContains("no connection") })
	second.kill()
	time.Sleep(time.Until(known) + 100*time.Millisecond)
	e.open(t)
	d.startProcess(t, "third")
	select {
	case id := <-e.calls:
		t.Fatalf("%s was pushed again %v after its repeat window", id, time.Since(known))
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
func (d *testDispatcher) submitTopic(class, id string, dest int) bool {
	req, _ := http.NewRequest(http.MethodPost, "http://"+d.addr+"/api", strings.NewReader("hello"))
	for name, value := range map[string]string{"X-Call-Id": id, "X-Call-Class": class, "X-Caller": "acme",
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

// The address is unavailable for two seconds after a restart. Pending notifications are pushed in the meantime, and
// SIGTERM stops the process. Guards against a gateway loop that starts only once the listener is open.
func TestPendingPushedBeforeListener(t *testing.T) {
	w := newEnvironment(t)
	w.partnerHangs.Store(true)
	w.startOn(t, w.system())
	if !w.submit("a1", 1) {
		t.Fatal("not accepted")
	}
	<-w.pushed
	w.stop(t)
	w.partnerHangs.Store(false)
	system := w.system()
	begun := time.Now()
	listened := make(chan time.Duration, 99)
	system.Listen = func(address string) (net.Listener, error) {
		if time.Since(begun) < 2*time.Second {
			return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
		}
		listened <- time.Since(begun)
		return net.Listen("tcp", address)
	}
	w.launch(system)
	select {
	case <-w.pushed:
	case at := <-listened:
		t.Errorf("not pushed before the listener was open, %v after the start", at)
	}
	eventually(t, "ready", w.ready)
	w.stop(t)

	system.Listen = func(string) (net.Listener, error) {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	w.launch(system)
	time.Sleep(300 * time.Millisecond)
	w.stop(t)
}

// A dispatcher that was killed with many pending notifications and thousands of listed endpoints repeats the first push
// well within the repeat windows. The log has the ledger's state of each notification.
func TestRestartWithManyPending(t *testing.T) {
	const (
		listed, owed = 3200, 300
		most         = 1500 * time.Millisecond // of which pushes wait 500 ms for the first list from discovery
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
		config["settings"].(map[string]any)["policy-limits"].(map[string]any)["most-held"] = 2 * owed
	})
	first := d.startProcess(t, "first")
	for i := range owed {
		if !d.submitTopic("status", fmt.Sprint("m", i), 1) {
			t.Fatal("not accepted")
		}
	}
	receive(t, "a call", e.calls)
	first.kill()
	begun := time.Now()
	second := d.startProcess(t, "second")
	eventually(t, "a repeat", func() bool { return second.logContains(`"message":"repeat"`) }) // not read from the endpoint, where calls of the first process may still arrive
	took := time.Since(begun)
	t.Logf("first repeat %v after the start, with %d pending notifications and %d listed endpoints", took, owed, listed)
	if took > most {
		t.Errorf("first repeat only %v after the start", took)
	}
	if !second.logContains(`"state":"may have run"`) {
		t.Error("the log has no state of the pending notifications")
	}
}
