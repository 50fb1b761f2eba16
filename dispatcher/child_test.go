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

// asChild makes this test program a dispatcher, with so many descriptors.
const asChild = "ORCHIDDRIFT_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	if n := os.Getenv(asChild); n != "" {
		var most uint64
		fmt.Sscan(n, &most)
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: most, Max: most}); err != nil {
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

// child runs a dispatcher in a process of its own, and gives a function that asks for its end and waits for it.
func (d *node) child(t *testing.T, descriptors int) (*os.Process, func() error) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprint(asChild, "=", descriptors))
	for name, value := range d.env {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	var log strings.Builder
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		if t.Failed() {
			t.Log(log.String())
		}
	})
	return cmd.Process, func() error {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-ended:
			return err
		case <-time.After(8 * time.Second):
			return fmt.Errorf("it did not end")
		}
	}
}

func (d *node) ready() bool {
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

// partnerList is one endpoint at an address, as discovery tells it.
func partnerList(id, addr, state string) []map[string]any {
	return []map[string]any{{"id": id, "addr": strings.TrimPrefix(addr, "http://"), "zone": "here", "kind": "plain", "cell": 1,
		"state": state, "weight": 10.0, "started_ms": 0}}
}

// Idle clients fill the descriptors that the system gives, fewer than configured, while discovery is down. The process goes
// on; once discovery is back it hears of the change, takes a notification on, and pushes it to the endpoint listed then.
func TestDescriptorsFilled(t *testing.T) {
	got := make(chan string, 9)
	partner := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Get("X-Call-Id") }))
	defer partner.Close()
	var up atomic.Bool
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch {
		case !up.Load():
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
	_, end := d.child(t, descriptors)
	within(t, "ready", d.ready)
	idle := make([]net.Conn, 2*descriptors)
	for round := range 3 { // those that make room for others are dialled again
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
	up.Store(true)
	begun := time.Now()
	within(t, "taken on", func() bool { return d.handIn("a1", 1) })
	select {
	case id := <-got:
		if id != "a1" {
			t.Error(id)
		}
	case <-time.After(6*time.Second - time.Since(begun)):
		t.Error("not pushed to the endpoint listed since 6 s")
	}
	if err := end(); err != nil {
		t.Error(err)
	}
}

// SIGHUP comes while the process still reads its configuration, held by a pipe until the signal has come. It ends nothing:
// the configuration is read again once the dispatcher runs, and discovery has moved.
func TestReloadAtStart(t *testing.T) {
	asked := make(chan struct{}, 99)
	agent := func(note func()) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			note()
			if r.URL.RawQuery != "" {
				<-r.Context().Done() // nothing changes
				return
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"version": 1, "full": true, "servers": []any{}})
		}))
	}
	before, after := agent(func() {}), agent(func() { asked <- struct{}{} })
	defer before.CloseClientConnections()
	defer after.CloseClientConnections()
	d := configure(t, before.URL, nil, func(map[string]any) {})
	path := d.env["ROUTER_CONFIG"]
	first, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	d.env["ROUTER_CONFIG"] = path + ".pipe"
	if err := syscall.Mkfifo(path+".pipe", 0o600); err != nil {
		t.Fatal(err)
	}
	write := func(text []byte, held func()) {
		f, err := os.OpenFile(path+".pipe", os.O_WRONLY, 0) // returns once the process has it open
		if err != nil {
			t.Fatal(err)
		}
		held()
		_, _ = f.Write(text)
		_ = f.Close()
	}
	process, end := d.child(t, 256)
	write(first, func() {
		if err := process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // by then it has come, whoever gets it
	})
	within(t, "ready", d.ready) // it has read that to its end; else it would read on in what comes next
	done := make(chan struct{})
	go func() {
		write([]byte(strings.ReplaceAll(string(first), strings.TrimPrefix(before.URL, "http://"), strings.TrimPrefix(after.URL, "http://"))), func() {})
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the configuration was not read again")
	}
	select {
	case <-asked:
	case <-time.After(5 * time.Second):
		t.Error("discovery has not moved")
	}
	if err := end(); err != nil {
		t.Error(err)
	}
}

// Ready waits for nothing but the folder: with an agent that accepts and never answers and thousands owed it serves at once.
func TestReadyAlone(t *testing.T) {
	agent, err := net.Listen("tcp", "127.0.0.1:0") // the backlog accepts, and nobody reads
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	d := configure(t, agent.Addr().String(), partnerList("s-1", "127.0.0.1:1", "ready"), func(config map[string]any) {
		config["settings"].(map[string]any)["policy-limits"].(map[string]any)["most-held"] = 4000
		config["limits"].(map[string]any)["disk_mb"] = 30
	})
	_, end := d.child(t, 256)
	within(t, "ready", d.ready)
	taken := 0
	for i := range 1000 {
		if d.handIn(fmt.Sprint("m", i), 1) {
			taken++
		}
	}
	if taken < 500 {
		t.Fatalf("only %d taken on", taken)
	}
	if err := end(); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	_, end = d.child(t, 256)
	within(t, "ready again", d.ready)
	t.Logf("%d owed, ready after %v", taken, time.Since(begun))
	if err := end(); err != nil {
		t.Error(err)
	}
}
