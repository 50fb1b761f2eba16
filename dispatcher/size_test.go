package dispatcher_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"orchiddrift/dispatcher"
)

// A dispatcher among 1,024 serves 1,024 endpoints that it knew at its start and 1,024 that the list tells later: the
// first and the last of each get what is theirs, and it ends when told to.
func TestSize(t *testing.T) {
	const size = 1024
	var lock sync.Mutex
	var got []string
	partner := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		lock.Lock()
		defer lock.Unlock()
		got = append(got, r.Header.Get("X-Call-Id"))
	}))
	defer partner.Close()
	entries := func(from int) []map[string]any {
		var list []map[string]any
		for i := from; i < from+size; i++ {
			list = append(list, map[string]any{"id": fmt.Sprintf("s-%08x", i), "addr": strings.TrimPrefix(partner.URL, "http://"),
				"zone": "here", "kind": "plain", "cell": i, "state": "ready", "weight": 10.0, "started_ms": 0})
		}
		return list
	}
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		answer := map[string]any{"version": 2, "full": false, "servers": entries(size)}
		if r.URL.Query().Get("from") == "2" {
			select {
			case <-r.Context().Done():
			case <-time.After(3 * time.Second):
			}
			answer["servers"] = nil
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer func() {
		agent.CloseClientConnections()
		agent.Close()
	}()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	dir := t.TempDir()
	text, err := os.ReadFile("../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	config["listen"], config["discovery"] = addr, strings.TrimPrefix(agent.URL, "http://")
	config["known"] = map[string]any{"version": 1, "full": true, "servers": entries(0)}
	config["settings"].(map[string]any)["balancers"] = size
	var peers []string
	for i := range size {
		peers = append(peers, fmt.Sprintf("10.3.%d.%d:7946", i/256, i%256))
	}
	config["peers"] = peers
	text, _ = json.Marshal(config) // maps of plain values always marshal
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	state := filepath.Join(dir, "state")
	if err := os.Mkdir(state, 0o700); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"ROUTER_CONFIG": file, "ROUTER_STATE": state}
	ended := make(chan error, 1)
	go func() { ended <- dispatcher.Run(func(name string) string { return env[name] }, dispatcher.Logs{}) }()

	within(t, "ready", func() bool {
		resp, err := http.Get("http://" + addr + "/_health")
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	})
	var sent []string
	for _, dest := range []int{0, size - 1, size, 2*size - 1} {
		id := fmt.Sprintf("m-%d", dest)
		sent = append(sent, id)
		within(t, id+" taken on", func() bool {
			req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/api", strings.NewReader("hello"))
			for name, value := range map[string]string{"X-Call-Id": id, "X-Call-Class": "reading", "X-Caller": "acme",
				"X-Budget": "9000m", "X-Addressing": fmt.Sprint("dest=", dest)} {
				req.Header.Set(name, value)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return false
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			return resp.StatusCode == http.StatusAccepted // refused until the list names its destination
		})
	}
	within(t, "delivered", func() bool {
		lock.Lock()
		defer lock.Unlock()
		return len(got) >= len(sent)
	})
	slices.Sort(got)
	slices.Sort(sent)
	if !slices.Equal(got, sent) {
		t.Errorf("delivered %v, want %v", got, sent)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
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
