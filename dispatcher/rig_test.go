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

// node is a dispatcher in this process, with the folder that outlives it.
type node struct {
	addr  string
	env   map[string]string
	ended chan error
}

// configure writes a configuration as the example's, with an agent and the endpoints known, changed further.
func configure(t *testing.T, agent string, known []map[string]any, change func(map[string]any)) *node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &node{addr: ln.Addr().String()}
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

// start runs it and waits until it serves.
func (d *node) start(t *testing.T) {
	t.Helper()
	d.ended = make(chan error, 1)
	go func() {
		d.ended <- dispatcher.Run(func(name string) string { return d.env[name] }, dispatcher.LogOptions{})
	}()
	within(t, "ready", func() bool {
		resp, err := http.Get("http://" + d.addr + "/_health")
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	})
}

// handIn hands in a reading, and tells whether it was taken on.
func (d *node) handIn(id string, dest int) bool { return d.handInAs("reading", id, dest) }

// signal sends a signal to this process.
func (d *node) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

// ends waits for its end, which a SIGTERM asked for.
func (d *node) ends(t *testing.T) {
	t.Helper()
	select {
	case err := <-d.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3700 * time.Millisecond):
		t.Error("it did not end")
	}
}

// within waits for something to come true.
func within(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}
