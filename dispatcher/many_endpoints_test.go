package dispatcher_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// One of 1,024 dispatchers serves 1,024 endpoints of its configuration and 1,024 that discovery lists later. The first
// and the last of each get their notifications, and the dispatcher exits on SIGTERM.
func TestManyEndpoints(t *testing.T) {
	const size = 1024
	var mu sync.Mutex
	var delivered []string
	partner := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		delivered = append(delivered, r.Header.Get("X-Call-Id"))
	}))
	defer partner.Close()
	makeEntries := func(from int) []map[string]any {
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
		answer := map[string]any{"version": 2, "full": false, "servers": makeEntries(size)}
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
	var peers []string
	for i := range size {
		peers = append(peers, fmt.Sprintf("10.3.%d.%d:7946", i/256, i%256))
	}
	d := configure(t, agent.URL, makeEntries(0), func(config map[string]any) {
		config["settings"].(map[string]any)["balancers"] = size
		config["peers"] = peers
	})
	d.start(t)
	var submitted []string
	for _, dest := range []int{0, size - 1, size, 2*size - 1} {
		id := fmt.Sprintf("m-%d", dest)
		submitted = append(submitted, id)
		eventually(t, id+" accepted", func() bool { return d.submit(id, dest) }) // refused until its destination is listed
	}
	eventually(t, "delivered", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(delivered) >= len(submitted)
	})
	slices.Sort(delivered)
	slices.Sort(submitted)
	if !slices.Equal(delivered, submitted) {
		t.Errorf("delivered %v, want %v", delivered, submitted)
	}
	d.signal(t, syscall.SIGTERM)
	d.waitForExit(t)
}
