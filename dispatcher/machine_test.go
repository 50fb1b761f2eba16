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

// environment is a partner and an agent for a dispatcher that runs on a System of the test's choice.
type environment struct {
	*testDispatcher
	partnerHangs atomic.Bool
	pushed       chan string // X-Budget of each call
	notices      chan string
}

func newEnvironment(t *testing.T) *environment {
	t.Helper()
	w := &environment{pushed: make(chan string, 99), notices: make(chan string, 99)}
	partner := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.pushed <- r.Header.Get("X-Budget")
		if w.partnerHangs.Load() {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(func() { partner.CloseClientConnections(); partner.Close() })
	agent := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.Method == http.MethodPost:
			w.notices <- string(body)
			rw.WriteHeader(http.StatusNoContent)
		case r.URL.RawQuery != "":
			<-r.Context().Done() // the list does not change
		default:
			_ = json.NewEncoder(rw).Encode(map[string]any{"version": 1, "full": true, "servers": partnerList("s-1", partner.URL, "ready")})
		}
	}))
	t.Cleanup(func() { agent.CloseClientConnections() })
	w.testDispatcher = configure(t, agent.URL, partnerList("s-1", partner.URL, "ready"), func(map[string]any) {})
	return w
}

// system returns the host's System with the environment's variables.
func (w *environment) system() dispatcher.System {
	return dispatcher.HostSystem(func(name string) string { return w.env[name] })
}

// startOn launches the dispatcher on a system and waits until it is ready.
func (w *environment) startOn(t *testing.T, system dispatcher.System) {
	t.Helper()
	w.launch(system)
	eventually(t, "ready", w.ready)
}

// launch runs the dispatcher on a system in the background.
func (w *environment) launch(system dispatcher.System) {
	w.exited = make(chan error, 1)
	go func() { w.exited <- dispatcher.RunOn(system, dispatcher.LogOptions{}) }()
}

func (w *environment) stop(t *testing.T) {
	t.Helper()
	w.signal(t, syscall.SIGTERM)
	w.waitForExit(t)
}

// The wall clock is stepped by an hour between two processes. Pending notifications keep their remaining time: a step
// forward does not expire them, and a step back does not keep them beyond their TTL.
func TestClockStep(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		w := newEnvironment(t)
		w.partnerHangs.Store(true)
		w.startOn(t, w.system())
		if !w.submit("a1", 1) {
			t.Fatal("not accepted")
		}
		<-w.pushed
		w.stop(t)
		system := w.system()
		system.Clocks.Wall = func() time.Time { return time.Now().Add(step) }
		w.startOn(t, system)
		select {
		case left := <-w.pushed:
			if took, err := time.ParseDuration(left + "s"); err != nil || took > 6*time.Second || took < time.Second {
				t.Errorf("step of %v: pushed with %s left", step, left)
			}
		case text := <-w.notices:
			t.Errorf("step of %v: given up: %s", step, text)
		case <-time.After(3 * time.Second):
			t.Errorf("step of %v: not pushed again", step)
		}
		select {
		case <-w.notices:
		case <-time.After(8 * time.Second):
			t.Errorf("step of %v: no final answer after its TTL", step)
		}
		w.stop(t)
	}
}

// A folder, a configuration or an address that is unavailable for a moment does not fail the start.
func TestStartRetries(t *testing.T) {
	w := newEnvironment(t)
	system := w.system()
	var tried atomic.Int32
	fails := func(err error) error {
		if tried.Add(1)%3 != 0 { // each operation fails twice
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
	if !w.submit("a1", 1) {
		t.Error("not accepted")
	}
	w.stop(t)
}

// After a SIGHUP the configuration cannot be read, then is incomplete. It is read again until it is valid, and the new
// discovery address is used.
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
	w := newEnvironment(t)
	system := w.system()
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
	text, _ = json.Marshal(config) // always marshals: it was decoded from JSON
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	fails.Store(2)
	w.signal(t, syscall.SIGHUP)
	select {
	case <-asked:
	case <-time.After(4 * time.Second):
		t.Error("the discovery address has not changed within 4 s")
	}
	w.stop(t)
}
