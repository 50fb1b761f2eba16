// Package planted is a dispatcher that breaks one rule on purpose, so that the laboratory's checker can be shown to see
// it. With no rule to break it keeps all, slowly: it pushes one at a time to each destination. It is nobody's product.
package planted

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"orchiddrift/lab/rules"
	"orchiddrift/platform"
)

const (
	spacing  = 100 * time.Millisecond // between two pushes to a destination
	patience = time.Second            // for an answer
	hammers  = 40                     // pushes at once by one that pushes over
	every    = 5                      // one notification of so many is lost by one that loses
	stop     = 400 * time.Millisecond // after a refusal that tells no wait
	crashAt  = 1500 * time.Millisecond
)

type message struct {
	id, topic, dest, mark string
	body                  []byte
	until                 time.Time
	mayHaveRun            bool
}

type dispatcher struct {
	breaks  string
	agent   string
	once    map[string]bool // topic types
	client  *http.Client
	lock    sync.Mutex
	servers map[string]platform.Server
	lines   map[string]chan *message // by destination
	waits   map[string]time.Time
	taken   int
}

// Run serves as a dispatcher that breaks a rule; "" for none. It ends with the process.
func Run(getenv func(string) string, breaks string) error {
	if breaks != "" && !slices.Contains(rules.All, breaks) {
		return fmt.Errorf("no rule %q: give one of %s", breaks, strings.Join(rules.All, ", "))
	}
	text, err := os.ReadFile(getenv("ROUTER_CONFIG"))
	if err != nil {
		return err
	}
	var config struct {
		Known    platform.List
		Settings struct {
			Classes []struct{ Name, Repeat string }
		}
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	d := &dispatcher{breaks: breaks, agent: getenv("ROUTER_DISCOVERY"), once: map[string]bool{}, servers: map[string]platform.Server{},
		lines: map[string]chan *message{}, waits: map[string]time.Time{},
		client: &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, c := range config.Settings.Classes {
		d.once[c.Name] = c.Repeat == "single_shot"
	}
	d.take(config.Known)
	go d.follow(config.Known.Version)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /api", d.hand)
	if breaks == rules.Crash {
		time.AfterFunc(crashAt, func() { os.Exit(1) })
	}
	return http.ListenAndServe(getenv("ROUTER_LISTEN"), mux)
}

// take takes a list in.
func (d *dispatcher) take(l platform.List) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if l.Full {
		clear(d.servers)
	}
	for _, s := range l.Servers {
		if d.servers[s.ID] = s; s.State == "gone" {
			delete(d.servers, s.ID)
		}
	}
}

// follow watches the list.
func (d *dispatcher) follow(version int64) {
	for {
		resp, err := http.Get(fmt.Sprintf("http://%s/catalog/members?from=%d&hold_ms=5000", d.agent, version))
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var l platform.List
		if json.NewDecoder(resp.Body).Decode(&l) == nil {
			version = l.Version
			if d.breaks != rules.Draining { // that one hears of drains and goes on
				d.take(l)
			}
		}
		_ = resp.Body.Close()
	}
}

// hand takes a message on.
func (d *dispatcher) hand(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	left, err2 := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Budget"), "m"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m := &message{id: r.Header.Get("X-Call-Id"), topic: r.Header.Get("X-Call-Class"), mark: r.Header.Get("Idempotency-Key"),
		dest: strings.TrimPrefix(r.Header.Get("X-Addressing"), "dest="), body: body,
		until: time.Now().Add(time.Duration(left) * time.Millisecond)}
	d.lock.Lock()
	d.taken++
	drop := d.breaks == rules.Lost && d.taken%every == 0
	line := d.lines[m.dest]
	if line == nil {
		line = make(chan *message, 10_000)
		d.lines[m.dest] = line
		go func() {
			for m := range line {
				d.carry(m)
			}
		}()
	}
	d.lock.Unlock()
	w.WriteHeader(http.StatusAccepted)
	switch {
	case drop:
	case d.breaks == rules.Order:
		go d.carry(m)
	default:
		line <- m
	}
}

// carry pushes a message until it is over.
func (d *dispatcher) carry(m *message) {
	for time.Until(m.until) > patience {
		d.lock.Lock()
		wait := time.Until(d.waits[m.dest])
		d.lock.Unlock()
		if wait > 0 {
			time.Sleep(min(wait, time.Until(m.until)))
			continue
		}
		status, told := d.push(m)
		if status == http.StatusOK {
			time.Sleep(spacing)
			return
		}
		never := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == -1
		if m.mayHaveRun = m.mayHaveRun || !never; m.mayHaveRun && d.once[m.topic] && d.breaks != rules.Duplicate {
			break
		}
		if d.breaks == rules.Overload {
			d.hammer(m)
		}
		d.lock.Lock()
		if d.waits[m.dest] = time.Now().Add(max(told, stop)); d.breaks == rules.ToldWait {
			d.waits[m.dest] = time.Now().Add(2 * spacing)
		}
		d.lock.Unlock()
	}
	outcome := "handed_back"
	if m.mayHaveRun {
		outcome = "given_up"
	}
	line, _ := json.Marshal(map[string]string{"message": m.id, "outcome": outcome}) // strings always marshal
	for range 20 {
		resp, err := http.Post("http://"+d.agent+"/v1/notices", "application/x-ndjson", bytes.NewReader(line))
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// hammer sends what it has for a destination that fails as fast as it can, until that answers.
func (d *dispatcher) hammer(m *message) {
	var all sync.WaitGroup
	for range hammers {
		all.Go(func() {
			for time.Until(m.until) > patience {
				if status, _ := d.push(m); status == http.StatusOK {
					return
				}
				time.Sleep(spacing / 2)
			}
		})
	}
	all.Wait()
}

// push makes one call: its status, 0 for none and -1 for no connection, and the wait told.
func (d *dispatcher) push(m *message) (int, time.Duration) {
	addr := ""
	d.lock.Lock()
	for _, id := range sorted(d.servers) {
		if s := d.servers[id]; s.Cell.String() == m.dest && s.State == "ready" {
			addr = s.Addr
		}
	}
	d.lock.Unlock()
	if addr == "" {
		return -1, 0
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/hook", bytes.NewReader(m.body))
	if err != nil {
		return -1, 0
	}
	req.Header.Set("X-Call-Id", m.id)
	req.Header.Set("X-Budget", strconv.Itoa(int(patience.Milliseconds()))+"m")
	if m.mark != "" {
		req.Header.Set("Idempotency-Key", m.mark)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		if strings.Contains(err.Error(), "refused") {
			return -1, 0
		}
		return 0, 0
	}
	_ = resp.Body.Close()
	wait, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // none is 0
	return resp.StatusCode, time.Duration(wait * float64(time.Second))
}

// sorted lists the ids of a list, so that the last ready one is chosen each time.
func sorted(servers map[string]platform.Server) []string {
	var ids []string
	for id := range servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
