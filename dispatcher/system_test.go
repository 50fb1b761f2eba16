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

// environment is a partner, an agent and a dispatcher that runs on a System chosen by the test.
type environment struct {
	*testDispatcher
	partnerHangs atomic.Bool // the partner reads calls and does not answer them
	pushed       chan string // X-Budget of each call
	notices      chan string // notices that the agent received
}

// newEnvironment starts a partner and an agent and configures a dispatcher, which it does not start.
func newEnvironment(t *testing.T) *environment {
	t.Helper()
	env := &environment{pushed: make(chan string, 99), notices: make(chan string, 99)}
	partner := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		env.pushed <- r.Header.Get("X-Budget")
		if env.partnerHangs.Load() {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(func() { partner.CloseClientConnections(); partner.Close() })
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.Method == http.MethodPost:
			env.notices <- string(body)
			w.WriteHeader(http.StatusNoContent)
		case r.URL.RawQuery != "":
			<-r.Context().Done() // the list does not change
		default:
			_ = json.NewEncoder(w).Encode(map[string]any{"version": 1, "full": true, "servers": partnerList("s-1", partner.URL, "ready")})
		}
	}))
	t.Cleanup(func() { agent.CloseClientConnections() })
	env.testDispatcher = configure(t, agent.URL, partnerList("s-1", partner.URL, "ready"), func(map[string]any) {})
	return env
}

// system returns the host's System with the environment's variables.
func (env *environment) system() dispatcher.System {
	return dispatcher.HostSystem(func(name string) string { return env.variables[name] })
}

// startOn launches the dispatcher on a system and waits until it is ready.
func (env *environment) startOn(t *testing.T, system dispatcher.System) {
	t.Helper()
	env.launch(system)
	eventually(t, "ready", env.ready)
}

// launch runs the dispatcher on a system in the background.
func (env *environment) launch(system dispatcher.System) {
	env.exited = make(chan error, 1)
	go func() { env.exited <- dispatcher.RunOn(system, dispatcher.LogOptions{}) }()
}

// stop sends SIGTERM and waits until the dispatcher has exited.
func (env *environment) stop(t *testing.T) {
	t.Helper()
	env.signal(t, syscall.SIGTERM)
	env.waitForExit(t)
}

// The wall clock is stepped by an hour between two processes. Pending notifications keep their remaining time: a step
// forward does not expire them, and a step back does not keep them beyond their TTL.
func TestClockStep(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		env := newEnvironment(t)
		env.partnerHangs.Store(true)
		env.startOn(t, env.system())
		if !env.submit("a1", 1) {
			t.Fatal("not accepted")
		}
		<-env.pushed
		env.stop(t)
		system := env.system()
		system.ClockSource.Wall = func() time.Time { return time.Now().Add(step) }
		env.startOn(t, system)
		select {
		case budget := <-env.pushed:
			if remaining, err := time.ParseDuration(budget + "s"); err != nil || remaining > 6*time.Second || remaining < time.Second {
				t.Errorf("step of %v: pushed with %s left", step, budget)
			}
		case text := <-env.notices:
			t.Errorf("step of %v: given up: %s", step, text)
		case <-time.After(3 * time.Second):
			t.Errorf("step of %v: not pushed again", step)
		}
		select {
		case <-env.notices:
		case <-time.After(8 * time.Second):
			t.Errorf("step of %v: no final answer after its TTL", step)
		}
		env.stop(t)
	}
}

// Transient errors in reading the configuration, opening the folder and listening do not fail the start.
func TestStartRetries(t *testing.T) {
	env := newEnvironment(t)
	system := env.system()
	var attempts atomic.Int32
	failTwice := func(err error) error {
		if attempts.Add(1)%3 != 0 { // the third attempt of each operation succeeds
			return err
		}
		return nil
	}
	open, listen, read := system.OpenFolder, system.Listen, system.ReadFile
	system.OpenFolder = func(path string) (dispatcher.StateFolder, error) {
		if err := failTwice(&os.PathError{Op: "open", Path: filepath.Join(path, "lock"), Err: syscall.EIO}); err != nil {
			return nil, err
		}
		return open(path)
	}
	system.ReadFile = func(path string) ([]byte, error) {
		if err := failTwice(&os.PathError{Op: "read", Path: path, Err: syscall.ENFILE}); err != nil {
			return nil, err
		}
		return read(path)
	}
	system.Listen = func(address string) (l net.Listener, err error) {
		if err := failTwice(&net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", syscall.ENOBUFS)}); err != nil {
			return nil, err
		}
		return listen(address)
	}
	env.startOn(t, system)
	if !env.submit("a1", 1) {
		t.Error("not accepted")
	}
	env.stop(t)
}

// After a SIGHUP the configuration cannot be read, then is incomplete. It is read again until it is valid, and the new
// discovery address is used.
func TestReloadRetries(t *testing.T) {
	requested := make(chan struct{}, 99)
	after := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case requested <- struct{}{}:
		default:
		}
		<-r.Context().Done()
	}))
	t.Cleanup(func() { after.CloseClientConnections() })
	env := newEnvironment(t)
	system := env.system()
	read := system.ReadFile
	var failuresLeft atomic.Int32
	system.ReadFile = func(path string) ([]byte, error) {
		text, err := read(path)
		switch failuresLeft.Add(-1) {
		case 1:
			return nil, &os.PathError{Op: "read", Path: path, Err: syscall.EIO}
		case 0:
			return text[:len(text)/2], nil
		}
		return text, err
	}
	env.startOn(t, system)
	env.rewriteConfig(t, func(config map[string]any) { config["discovery"] = strings.TrimPrefix(after.URL, "http://") })
	failuresLeft.Store(2)
	env.signal(t, syscall.SIGHUP)
	select {
	case <-requested:
	case <-time.After(4 * time.Second):
		t.Error("the discovery address has not changed within 4 s")
	}
	env.stop(t)
}
