package dispatcher_test

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"orchiddrift/dispatcher"
)

// testDispatcher is a dispatcher under test with its own state folder. It runs in the test process or in child processes.
type testDispatcher struct {
	addr      string            // listen address
	variables map[string]string // the ROUTER_ variables by name
	exited    chan error        // result of RunOn, if it runs in the test process
}

// configure writes the example's configuration, changed to use a free port, the given agent and the given endpoints known at
// the start. change makes further changes.
func configure(t *testing.T, agent string, known []map[string]any, change func(map[string]any)) *testDispatcher {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &testDispatcher{addr: ln.Addr().String()}
	ln.Close()
	text, err := os.ReadFile("../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	config["listen"], config["discovery"] = d.addr, strings.TrimPrefix(agent, "http://")
	config["known"] = map[string]any{"version": 1, "full": true, "servers": known}
	change(config)
	text, _ = json.Marshal(config) // maps of plain values always marshal
	dir := t.TempDir()
	d.variables = map[string]string{"ROUTER_CONFIG": filepath.Join(dir, "config.json"), "ROUTER_STATE": dir}
	if err := os.WriteFile(d.variables["ROUTER_CONFIG"], text, 0o600); err != nil {
		t.Fatal(err)
	}
	return d
}

// start runs the dispatcher in the test process and waits until it is ready.
func (d *testDispatcher) start(t *testing.T) {
	t.Helper()
	d.exited = make(chan error, 1)
	go func() {
		d.exited <- dispatcher.Run(func(name string) string { return d.variables[name] }, dispatcher.LogOptions{})
	}()
	eventually(t, "ready", func() bool {
		resp, err := http.Get("http://" + d.addr + "/_health")
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	})
}

// submit submits a notification of topic "reading" and reports whether it was accepted.
func (d *testDispatcher) submit(id string, dest int) bool { return d.submitTopic("reading", id, dest) }

// signal sends a signal to the test process, in which the dispatcher runs.
func (d *testDispatcher) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

// waitForExit fails the test unless the dispatcher exits without an error within 3.7 s.
func (d *testDispatcher) waitForExit(t *testing.T) {
	t.Helper()
	select {
	case err := <-d.exited:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3700 * time.Millisecond):
		t.Error("dispatcher did not exit in time")
	}
}

// eventually waits until condition is true, and fails the test if that takes more than 5 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}
