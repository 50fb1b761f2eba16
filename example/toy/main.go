// Command toy plays a dispatcher's surroundings on this machine: the platform's agent, and three partners whose
// endpoints behave each in its own way. It prints what reaches them.
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
	list := []server{
		{"s-quick", "127.0.0.1:9001", "here", "bulk", 1, "ready", 20},
		{"s-limited", "127.0.0.1:9002", "here", "plain", 2, "ready", 1},
		{"s-hanging", "127.0.0.1:9003", "here", "plain", 3, "ready", 5},
	}
	partners := []http.HandlerFunc{quick, limited(), hanging}
	for i, s := range list {
		mux := http.NewServeMux()
		mux.HandleFunc("POST /hook", note(s.ID, partners[i]))
		mux.HandleFunc("POST /hook/batch", note(s.ID, batch))
		go func() { log.Fatal(http.ListenAndServe(s.Addr, mux)) }()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", members(list))
	mux.HandleFunc("POST /v1/notices", notices)
	log.Print("agent at ", *agent, "; destinations 1 (quick), 2 (one call a second), 3 (hangs)")
	log.Fatal(http.ListenAndServe(*agent, mux))
}

// note prints each call and hands it on.
func note(id string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		log.Print(id, " ", r.URL.Path, " ", r.Header.Get("X-Call-Id"), " within ", r.Header.Get("X-Budget"))
		next(w, r)
	}
}

func quick(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) }

// batch answers a call of several messages: all done.
func batch(w http.ResponseWriter, r *http.Request) {
	var list []map[string]string
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ends := make([]map[string]string, 0, len(list))
	for _, m := range list {
		log.Print("  with ", m["id"])
		ends = append(ends, map[string]string{"id": m["id"], "state": "done"})
	}
	if err := json.NewEncoder(w).Encode(ends); err != nil {
		log.Print(err)
	}
}

// limited takes one call a second and tells what is left.
func limited() http.HandlerFunc {
	free := make(chan time.Time, 1)
	free <- time.Now()
	return func(w http.ResponseWriter, _ *http.Request) {
		next := <-free
		wait := time.Until(next)
		if wait > 0 {
			free <- next
			w.Header().Set("Retry-After", fmt.Sprintf("%.3f", wait.Seconds()))
			w.Header().Set("X-Load-Report", "TEXT x0=0, x1=1")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		free <- time.Now().Add(time.Second)
		w.Header().Set("X-Load-Report", "TEXT x0=0, x1=1")
	}
}

// hanging answers nothing until the caller gives up.
func hanging(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	log.Print("  given up by the caller")
}

// members answers the whole list at once, and a watch when its time is over.
func members(list []server) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		told := map[string]any{"version": 1, "full": true, "servers": list}
		if r.URL.Query().Get("from") == "1" {
			hold, _ := time.ParseDuration(r.URL.Query().Get("hold_ms") + "ms")
			select {
			case <-time.After(min(hold, time.Minute)):
			case <-r.Context().Done():
			}
			told = map[string]any{"version": 1, "full": false, "servers": []server{}}
		}
		if err := json.NewEncoder(w).Encode(told); err != nil {
			log.Print(err)
		}
	}
}

func notices(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	log.Printf("notice %s", body)
	w.WriteHeader(http.StatusNoContent)
}
