package dispatcher_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"orchiddrift/dispatcher"
)

// world is a partner and an agent for a dispatcher whose machine the test hands in.
type world struct {
	*node
	hangs   atomic.Bool
	pushed  chan string // X-Budget of each call
	noticed chan string
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{pushed: make(chan string, 99), noticed: make(chan string, 99)}
	partner := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.pushed <- r.Header.Get("X-Budget")
		if w.hangs.Load() {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(func() { partner.CloseClientConnections(); partner.Close() })
	agent := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.Method == http.MethodPost:
			w.noticed <- string(body)
			rw.WriteHeader(http.StatusNoContent)
		case r.URL.RawQuery != "":
			<-r.Context().Done() // nothing changes
		default:
			_ = json.NewEncoder(rw).Encode(map[string]any{"version": 1, "full": true, "servers": partnerList("s-1", partner.URL, "ready")})
		}
	}))
	t.Cleanup(func() { agent.CloseClientConnections() })
	w.node = configure(t, agent.URL, partnerList("s-1", partner.URL, "ready"), func(map[string]any) {})
	return w
}

// machine is this machine with the world's variables.
func (w *world) machine() dispatcher.System {
	return dispatcher.HostSystem(func(name string) string { return w.env[name] })
}

// startOn runs the dispatcher on a system until it serves.
func (w *world) startOn(t *testing.T, system dispatcher.System) {
	t.Helper()
	w.launch(system)
	within(t, "ready", w.ready)
}

// launch runs the dispatcher on a system.
func (w *world) launch(system dispatcher.System) {
	w.ended = make(chan error, 1)
	go func() { w.ended <- dispatcher.RunOn(system, dispatcher.LogOptions{}) }()
}

func (w *world) stop(t *testing.T) {
	t.Helper()
	w.signal(t, syscall.SIGTERM)
	w.ends(t)
}

// The wall clock is stepped by an hour between two processes. What is owed keeps the time that it had: a step forward gives
// nothing up, and after a step back nothing is kept beyond its TTL.
func TestClockStep(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		w := newWorld(t)
		w.hangs.Store(true)
		w.startOn(t, w.machine())
		if !w.handIn("a1", 1) {
			t.Fatal("not taken on")
		}
		<-w.pushed
		w.stop(t)
		system := w.machine()
		system.Clocks.Wall = func() time.Time { return time.Now().Add(step) }
		w.startOn(t, system)
		select {
		case left := <-w.pushed:
			if took, err := time.ParseDuration(left + "s"); err != nil || took > 6*time.Second || took < time.Second {
				t.Errorf("step of %v: pushed with %s left", step, left)
			}
		case text := <-w.noticed:
			t.Errorf("step of %v: given up: %s", step, text)
		case <-time.After(3 * time.Second):
			t.Errorf("step of %v: not pushed again", step)
		}
		select {
		case <-w.noticed:
		case <-time.After(8 * time.Second):
			t.Errorf("step of %v: no final answer after its TTL", step)
		}
		w.stop(t)
	}
}

// A folder, a configuration or an address that cannot be had for a moment ends no start.
func TestStartRetries(t *testing.T) {
	w := newWorld(t)
	system := w.machine()
	var tried atomic.Int32
	fails := func(err error) error {
		if tried.Add(1)%3 != 0 { // each fails twice
			return err
		}
		return nil
	}
	open, listen, read := system.OpenFolder, system.Listen, system.ReadFile
	system.OpenFolder = func(path string) (dispatcher.Folder, error) {
		if err := fails(&os.PathError{Op: "open", Path: filepath.Join(path, "lock"), Err: syscall.EIO}); err != nil {
			return nil, err
		}
		return open(path)
	}
	system.ReadFile = func(path string) ([]byte, error) {
		if err := fails(&os.PathError{Op: "read", Path: path, Err: syscall.ENFILE}); err != nil {
			return nil, err
		}
		return read(path)
	}
	system.Listen = func(address string) (l net.Listener, err error) {
		if err := fails(&net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", syscall.ENOBUFS)}); err != nil {
			return nil, err
		}
		return listen(address)
	}
	w.startOn(t, system)
	if !w.handIn("a1", 1) {
		t.Error("not taken on")
	}
	w.stop(t)
}

// The configuration cannot be read, or is half written, as SIGHUP comes: it is read again until it can be, and discovery moves.
func TestReloadRetries(t *testing.T) {
	asked := make(chan struct{}, 99)
	after := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case asked <- struct{}{}:
		default:
		}
		<-r.Context().Done()
	}))
	t.Cleanup(func() { after.CloseClientConnections() })
	w := newWorld(t)
	system := w.machine()
	read := system.ReadFile
	var fails atomic.Int32
	system.ReadFile = func(path string) ([]byte, error) {
		text, err := read(path)
		switch fails.Add(-1) {
		case 1:
			return nil, &os.PathError{Op: "read", Path: path, Err: syscall.EIO}
		case 0:
			return text[:len(text)/2], nil
		}
		return text, err
	}
	w.startOn(t, system)
	path := w.env["ROUTER_CONFIG"]
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	config["discovery"] = strings.TrimPrefix(after.URL, "http://")
	text, _ = json.Marshal(config) // it was read from JSON
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	fails.Store(2)
	w.signal(t, syscall.SIGHUP)
	select {
	case <-asked:
	case <-time.After(4 * time.Second):
		t.Error("discovery has not moved within 4 s")
	}
	w.stop(t)
}
