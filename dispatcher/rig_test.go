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

// testDispatcher is a dispatcher under test with its own folder. It runs in the test process or in child processes.
type testDispatcher struct {
	addr   string
	env    map[string]string
	exited chan error
}

// configure writes the example's configuration with an agent, the endpoints known at the start and further changes.
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
	d.env = map[string]string{"ROUTER_CONFIG": filepath.Join(dir, "config.json"), "ROUTER_STATE": dir}
	if err := os.WriteFile(d.env["ROUTER_CONFIG"], text, 0o600); err != nil {
		t.Fatal(err)
	}
	return d
}

// start runs the dispatcher and waits until it is ready.
func (d *testDispatcher) start(t *testing.T) {
	t.Helper()
	d.exited = make(chan error, 1)
	go func() {
		d.exited <- dispatcher.Run(func(name string) string { return d.env[name] }, dispatcher.LogOptions{})
	}()
	eventually(t, "ready", func() bool {
		resp, err := http.Get("http://" + d.addr + "/_health")
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	})
}

// submit submits a notification of topic "reading" and reports whether it was accepted.
func (d *testDispatcher) submit(id string, dest int) bool { return d.submitTopic("reading", id, dest) }

// signal sends a signal to the test process.
func (d *testDispatcher) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

// waitForExit waits until the dispatcher has exited after a SIGTERM.
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

// eventually fails the test unless condition becomes true within 5 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}
