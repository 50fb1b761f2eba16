package dispatcher_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// changingAgent is an agent whose list changes, and that can fall silent.
type changingAgent struct {
	url     string
	mu      sync.Mutex
	version int
	changes []map[string]any // by version, from 1 on
	silent  bool
	wake    chan struct{} // closed by the next change
}

// newChangingAgent starts an agent with an endpoint at version 1.
func newChangingAgent(t *testing.T, first map[string]any) *changingAgent {
	t.Helper()
	a := &changingAgent{wake: make(chan struct{})}
	a.change(first)
	server := httptest.NewServer(a)
	a.url = server.URL
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return a
}

// change lists a new or changed endpoint.
func (a *changingAgent) change(entry map[string]any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	a.changes = append(a.changes, entry)
	close(a.wake)
	a.wake = make(chan struct{})
}

// fallSilent ends all answers.
func (a *changingAgent) fallSilent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = true
}

// ServeHTTP answers notices, and requests for the list once there is something to tell.
func (a *changingAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	for {
		a.mu.Lock()
		silent, version, wake := a.silent, a.version, a.wake
		changes := a.changes[min(from, version):]
		a.mu.Unlock()
		if !silent && len(changes) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"version": version, "full": from == 0, "servers": changes})
			return
		}
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		}
	}
}

// A process is told that an endpoint is gone and another one takes its place, and ends while discovery is silent. The next process goes
// by what that one was told, however it ended, and not by its configuration: it sent messages to whatever stands at the old address
// now (issue 87, review/6).
func TestToldListOutlivesProcess(t *testing.T) {
	kill := func(p *process) { p.kill() }
	stop := func(p *process) {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		_ = p.cmd.Wait()
	}
	for _, test := range []struct {
		name     string
		oldStage string
		ends     []func(*process)
		rewrite  bool // the configuration is written anew, with the list of before the changes
	}{
		{"killed", "gone", []func(*process){kill}, false},
		{"drained", "draining", []func(*process){kill}, false},
		{"stopped", "gone", []func(*process){stop}, false},
		{"killed twice", "gone", []func(*process){kill, kill}, false},
		{"configuration rewritten", "gone", []func(*process){kill}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			old, replacement := newEndpoint(t), newEndpoint(t)
			entry := func(id, addr, stage string) map[string]any { return partnerList(id, addr, stage)[0] }
			agent := newChangingAgent(t, entry("s-1", old.addr, "ready"))
			d := configure(t, agent.url, partnerList("s-1", old.addr, "ready"), func(map[string]any) {})
			p := d.startProcess(t, "first")
			agent.change(entry("s-1", old.addr, test.oldStage))
			agent.change(entry("s-2", replacement.addr, "ready"))
			eventually(t, "a call to the replacement", func() bool { return d.submit("a0", 1) && len(replacement.calls) > 0 })
			receive(t, "the call", replacement.calls)
			const toldGrace = 500 * time.Millisecond // in which a kill may lose what was told
			time.Sleep(toldGrace)
			agent.fallSilent()
			for i, end := range test.ends {
				end(p)
				if test.rewrite {
					d.rewriteConfig(t, func(config map[string]any) { config["known"].(map[string]any)["extra"] = true; addUnrelated(config) })
				}
				p = d.startProcess(t, "next"+strconv.Itoa(i))
			}
			if !d.submit("b0", 1) {
				t.Fatal("not accepted")
			}
			for id := ""; id != "b0"; {
				select {
				case id = <-replacement.calls: // a0 may come once more
				case id := <-old.calls:
					t.Fatalf("%s went to the endpoint that is %s", id, test.oldStage)
				case <-time.After(5 * time.Second):
					t.Fatal("not pushed")
				}
			}
		})
	}
}

// addUnrelated adds to the configured list an endpoint of another destination, so that it is not the list that was read before.
func addUnrelated(config map[string]any) {
	known := config["known"].(map[string]any)
	other := partnerList("s-9", "127.0.0.1:9", "ready")[0]
	other["cell"] = 2
	known["servers"] = append(known["servers"].([]any), other)
}

// rewriteConfig changes the configuration of the next process.
func (d *testDispatcher) rewriteConfig(t *testing.T, change func(map[string]any)) {
	t.Helper()
	path := d.variables["ROUTER_CONFIG"]
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	change(config)
	text, _ = json.Marshal(config) // maps of plain values always marshal
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// A configuration with a newer list than the one that was told counts, and files that are damaged, or of another dispatcher, do not.
func TestConfiguredListCounts(t *testing.T) {
	for _, test := range []struct {
		name    string
		version int // of the configured list
		damage  func(t *testing.T, folder string)
	}{
		{"newer", 1000, func(*testing.T, string) {}},
		{"damaged", 1, func(t *testing.T, folder string) {
			for _, name := range []string{"endpoints-0", "endpoints-1"} {
				if err := os.WriteFile(filepath.Join(folder, name), []byte(strings.Repeat("x", 99)), 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			first, second := newEndpoint(t), newEndpoint(t)
			agent := newChangingAgent(t, partnerList("s-1", first.addr, "ready")[0])
			d := configure(t, agent.url, partnerList("s-1", first.addr, "ready"), func(map[string]any) {})
			p := d.startProcess(t, "first")
			agent.change(map[string]any{"id": "s-1", "addr": first.addr, "state": "gone", "cell": 1})
			time.Sleep(time.Second)
			agent.fallSilent()
			p.kill()
			test.damage(t, d.variables["ROUTER_STATE"])
			d.rewriteConfig(t, func(config map[string]any) {
				server := partnerList("s-3", second.addr, "ready")[0]
				config["known"] = map[string]any{"version": test.version, "full": true, "servers": []any{server}}
			})
			d.startProcess(t, "second")
			if !d.submit("b0", 1) {
				t.Fatal("not accepted")
			}
			if id := receive(t, "a call", second.calls); id != "b0" {
				t.Errorf("called with %q", id)
			}
		})
	}
}
