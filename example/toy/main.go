// Command toy simulates the environment of a dispatcher on one machine: the platform's agent and three partners, one that
// answers quickly, one that limits its rate and one that hangs. It logs the requests that it receives.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"time"
)

// server is an entry of the platform's list of endpoints.
type server struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

func main() {
	agent := flag.String("agent", "127.0.0.1:8500", "the agent's address")
	flag.Parse()
	servers := []server{
		{"s-quick", "127.0.0.1:9001", "here", "bulk", 1, "ready", 20},
		{"s-limited", "127.0.0.1:9002", "here", "plain", 2, "ready", 1},
		{"s-hanging", "127.0.0.1:9003", "here", "plain", 3, "ready", 5},
	}
	handlers := []http.HandlerFunc{serveQuickly, newRateLimited(), serveHanging}
	for i, s := range servers {
		mux := http.NewServeMux()
		mux.HandleFunc("POST /hook", logCalls(s.ID, handlers[i]))
		mux.HandleFunc("POST /hook/batch", logCalls(s.ID, serveBatch))
		go func() { log.Fatal(http.ListenAndServe(s.Addr, mux)) }()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", serveList(servers))
	mux.HandleFunc("POST /v1/notices", serveNotices)
	log.Print("agent at ", *agent, "; destinations 1 (quick), 2 (one call per second), 3 (hangs)")
	log.Fatal(http.ListenAndServe(*agent, mux))
}

// logCalls returns a handler that logs each call and passes it to next.
func logCalls(id string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		log.Print(id, " ", r.URL.Path, " ", r.Header.Get("X-Call-Id"), " within ", r.Header.Get("X-Budget"))
		next(w, r)
	}
}

func serveQuickly(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) }

// serveBatch answers a call that carries several notifications, with the state "done" for each.
func serveBatch(w http.ResponseWriter, r *http.Request) {
	var messages []map[string]string
	if err := json.NewDecoder(r.Body).Decode(&messages); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	results := make([]map[string]string, 0, len(messages))
	for _, m := range messages {
		log.Print("  with ", m["id"])
		results = append(results, map[string]string{"id": m["id"], "state": "done"})
	}
	if err := json.NewEncoder(w).Encode(results); err != nil {
		log.Print(err)
	}
}

// newRateLimited returns a handler that accepts one call per second and reports its limit. It refuses the others with a
// Retry-After header.
func newRateLimited() http.HandlerFunc {
	nextAccepted := make(chan time.Time, 1) // holds the time from which the next call is accepted
	nextAccepted <- time.Now()
	return func(w http.ResponseWriter, _ *http.Request) {
		acceptedFrom := <-nextAccepted
		wait := time.Until(acceptedFrom)
		if wait > 0 {
			nextAccepted <- acceptedFrom
			w.Header().Set("Retry-After", fmt.Sprintf("%.3f", wait.Seconds()))
			w.Header().Set("X-Load-Report", "TEXT x0=0, x1=1")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		nextAccepted <- time.Now().Add(time.Second)
		w.Header().Set("X-Load-Report", "TEXT x0=0, x1=1")
	}
}

// serveHanging does not answer before the caller closes the connection.
func serveHanging(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	log.Print("  caller gave up")
}

// serveList returns a handler that answers a request for the list at once. It answers a watch for changes with an empty list
// after hold_ms, and after a minute at most.
func serveList(servers []server) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer := map[string]any{"version": 1, "full": true, "servers": servers}
		if r.URL.Query().Get("from") == "1" {
			hold, _ := time.ParseDuration(r.URL.Query().Get("hold_ms") + "ms")
			select {
			case <-time.After(min(hold, time.Minute)):
			case <-r.Context().Done():
			}
			answer = map[string]any{"version": 1, "full": false, "servers": []server{}}
		}
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			log.Print(err)
		}
	}
}

// serveNotices logs a batch of notices and acknowledges it.
func serveNotices(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	log.Printf("notice %s", body)
	w.WriteHeader(http.StatusNoContent)
}
