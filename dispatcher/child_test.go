package dispatcher_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/dispatcher"
)

// childDescriptorsVar is the environment variable that makes the test binary run as a dispatcher. Its value is the
// RLIMIT_NOFILE of that process.
const childDescriptorsVar = "ORCHIDDRIFT_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	if n := os.Getenv(childDescriptorsVar); n != "" {
		var limit uint64
		fmt.Sscan(n, &limit)
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
			panic(err)
		}
		if err := dispatcher.Run(os.Getenv, dispatcher.LogOptions{Output: os.Stderr, Level: zerolog.InfoLevel}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// startChild runs the dispatcher in a child process with a limit on its file descriptors. The returned function sends it
// SIGTERM and waits for its exit.
func (d *testDispatcher) startChild(t *testing.T, descriptors int) (*os.Process, func() error) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprint(childDescriptorsVar, "=", descriptors))
	for name, value := range d.variables {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	var log strings.Builder
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		if t.Failed() {
			t.Log(log.String())
		}
	})
	return cmd.Process, func() error {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-exited:
			return err
		case <-time.After(8 * time.Second):
			return fmt.Errorf("dispatcher did not exit in time")
		}
	}
}

// ready reports whether the dispatcher answers a health check within a second.
func (d *testDispatcher) ready() bool {
	conn, err := net.DialTimeout("tcp", d.addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

// partnerList returns a discovery list with one endpoint.
func partnerList(id, addr, state string) []map[string]any {
	return []map[string]any{{"id": id, "addr": strings.TrimPrefix(addr, "http://"), "zone": "here", "kind": "plain", "cell": 1,
		"state": state, "weight": 10.0, "started_ms": 0}}
}

// Idle clients exhaust the file descriptors, of which the system allows fewer than configured, while discovery does not
// answer. The dispatcher keeps running: once discovery answers again, it receives the new list, accepts a notification and
// pushes it to the newly listed endpoint.
func TestDescriptorsExhausted(t *testing.T) {
	delivered := make(chan string, 9)
	partner := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { delivered <- r.Header.Get("X-Call-Id") }))
	defer partner.Close()
	var agentAnswers atomic.Bool
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch {
		case !agentAnswers.Load():
			<-r.Context().Done()
		case r.Method == http.MethodPost:
			w.WriteHeader(http.StatusNoContent)
		default:
			_ = json.NewEncoder(w).Encode(map[string]any{"version": 2, "full": true, "servers": partnerList("s-2", partner.URL, "ready")})
		}
	}))
	defer agent.CloseClientConnections()
	d := configure(t, agent.URL, partnerList("s-1", "127.0.0.1:1", "ready"), func(map[string]any) {})
	const descriptors = 64
	_, stopChild := d.startChild(t, descriptors)
	eventually(t, "ready", d.ready)
	idle := make([]net.Conn, 2*descriptors)
	for round := range 3 { // the dispatcher closes idle connections to free descriptors, so they are dialled again
		for i := range idle {
			if conn, err := net.DialTimeout("tcp", d.addr, time.Second); err == nil {
				if round%2 == 0 {
					fmt.Fprint(conn, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
				}
				t.Cleanup(func() { conn.Close() })
				idle[i] = conn
			}
		}
	}
	agentAnswers.Store(true)
	startedAt := time.Now()
	eventually(t, "accepted", func() bool { return d.submit("a1", 1) })
	select {
	case id := <-delivered:
		if id != "a1" {
			t.Error(id)
		}
	case <-time.After(6*time.Second - time.Since(startedAt)):
		t.Error("not pushed to the new endpoint within 6 s of its listing")
	}
	if err := stopChild(); err != nil {
		t.Error(err)
	}
}

// A SIGHUP arrives while the process still reads its configuration, from a pipe that blocks until the signal was sent.
// The signal does not terminate the process: the configuration is read again once the dispatcher runs, and the new
// discovery address is used.
func TestReloadDuringStart(t *testing.T) {
	requested := make(chan struct{}, 99)
	agent := func(onRequest func()) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			onRequest()
			if r.URL.RawQuery != "" {
				<-r.Context().Done() // the list does not change
				return
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"version": 1, "full": true, "servers": []any{}})
		}))
	}
	before, after := agent(func() {}), agent(func() { requested <- struct{}{} })
	defer before.CloseClientConnections()
	defer after.CloseClientConnections()
	d := configure(t, before.URL, nil, func(map[string]any) {})
	path := d.variables["ROUTER_CONFIG"]
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	d.variables["ROUTER_CONFIG"] = path + ".pipe"
	if err := syscall.Mkfifo(path+".pipe", 0o600); err != nil {
		t.Fatal(err)
	}
	write := func(text []byte, beforeWrite func()) {
		f, err := os.OpenFile(path+".pipe", os.O_WRONLY, 0) // returns once the process has it open
		if err != nil {
			t.Fatal(err)
		}
		beforeWrite()
		_, _ = f.Write(text)
		_ = f.Close()
	}
	process, stopChild := d.startChild(t, 256)
	write(original, func() {
		if err := process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // the signal is delivered by then
	})
	eventually(t, "ready", d.ready) // the first read has ended; otherwise it would continue into the second write
	done := make(chan struct{})
	go func() {
		write([]byte(strings.ReplaceAll(string(original), strings.TrimPrefix(before.URL, "http://"), strings.TrimPrefix(after.URL, "http://"))), func() {})
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("configuration not read again within 5 s")
	}
	select {
	case <-requested:
	case <-time.After(5 * time.Second):
		t.Error("the discovery address has not changed")
	}
	if err := stopChild(); err != nil {
		t.Error(err)
	}
}

// Readiness depends only on the state folder: a dispatcher with many pending notifications, whose agent accepts connections
// but never answers, becomes ready without waiting for pushes or for the list.
func TestReadyWithoutDiscovery(t *testing.T) {
	agent, err := net.Listen("tcp", "127.0.0.1:0") // connections are accepted by the backlog and never read
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	d := configure(t, agent.Addr().String(), partnerList("s-1", "127.0.0.1:1", "ready"), func(config map[string]any) {
		config["settings"].(map[string]any)["policy-limits"].(map[string]any)["most-held"] = 4000
		config["limits"].(map[string]any)["disk_mb"] = 30
	})
	_, stopChild := d.startChild(t, 256)
	eventually(t, "ready", d.ready)
	accepted := 0
	for i := range 1000 {
		if d.submit(fmt.Sprint("m", i), 1) {
			accepted++
		}
	}
	if accepted < 500 {
		t.Fatalf("only %d accepted", accepted)
	}
	if err := stopChild(); err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	_, stopChild = d.startChild(t, 256)
	eventually(t, "ready again", d.ready)
	t.Logf("%d pending, ready after %v", accepted, time.Since(startedAt))
	if err := stopChild(); err != nil {
		t.Error(err)
	}
}
