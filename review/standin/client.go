package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// clientPatience is how long a client waits for its answer.
const clientPatience = 400 * time.Millisecond

// httpClient is the connections of all clients.
var httpClient = &http.Client{Timeout: clientPatience, Transport: &http.Transport{MaxIdleConnsPerHost: 20}}

// lastMessage numbers the messages of all clients.
var lastMessage atomic.Int64

// message is what a client hands in.
type message struct {
	id, class, caller, key, body string
	dest                         int
	budget                       time.Duration
}

// newMessage returns a message with an id of its own.
func newMessage(class, caller string, dest int, budget time.Duration) message {
	n := lastMessage.Add(1)
	return message{id: fmt.Sprintf("m%06d", n), class: class, caller: caller, dest: dest, budget: budget, body: fmt.Sprintf("content of message %d", n)}
}

// header sets the message's header fields.
func (m message) header(set func(name, value string)) {
	set("X-Call-Id", m.id)
	set("X-Call-Class", m.class)
	set("X-Caller", m.caller)
	set("X-Budget", fmt.Sprintf("%dm", m.budget.Milliseconds()))
	set("X-Addressing", fmt.Sprintf("dest=%d", m.dest))
	if m.class == "update" || m.class == "usage" {
		set("Idempotency-Key", "key-"+m.id)
	}
	if m.key != "" {
		set("Cookie", "about="+m.key)
	}
}

// handIn hands a message in and returns the status of the answer, or 0.
func (r *rig) handIn(addr string, m message) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/api", bytes.NewReader([]byte(m.body)))
	must(err)
	req.Host = "origin.svc"
	m.header(req.Header.Set)
	resp, err := httpClient.Do(req)
	if err != nil {
		r.record("client: %s for %d to %s: %v", m.id, m.dest, addr, err)
		return 0
	}
	resp.Body.Close()
	r.record("client: %s for %d to %s answered %d", m.id, m.dest, addr, resp.StatusCode)
	return resp.StatusCode
}

// load hands in messages at a rate, in turns to the addresses, until stop is closed.
func (r *rig) load(rate float64, addrs []string, next func(n int) message, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			go r.handIn(addrs[n%len(addrs)], next(n))
		}
	}
}
