package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["sameid"] = sameID }

// sameID: clients hand in messages of 40 KB that may not be repeated. While the request of one is on its way, a bad client sends a
// request of its own with the same id.
func sameID(r *rig) bool {
	const (
		messages = 20
		budget   = 5 * time.Second
		bodySize = 40_000
		slack    = 350 * time.Millisecond // a final answer is due 300 ms after the message's time, and 50 ms on sockets
	)
	one := r.newEndpoint("one", "plain", 30*time.Millisecond)
	d := newDiscovery(one.entry(1, "ready"))
	known, _ := d.since(0)
	a := r.newAgent("n1", d, nil)
	n := r.newDispatcher("n1", a.addr, known, dar())
	n.start()
	time.Sleep(time.Second)
	var taken []message
	for range messages {
		m := newMessage("purchase", "power", 1, budget)
		m.key = "account-" + m.id
		m.body = (m.body + "; " + strings.Repeat("x", bodySize))[:bodySize]
		if r.handInSlowly(n.addr, m) == http.StatusAccepted {
			taken = append(taken, m)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(budget + slack)
	broken := false
	for _, m := range taken {
		delivered, foreign := false, ""
		for _, c := range one.since(time.Time{}) {
			if c.id == m.id && c.body == m.body {
				delivered = true
			} else if c.id == m.id {
				foreign = c.body
			}
		}
		if outcome := a.noticeOf(m.id); !delivered && outcome == "" {
			broken = true
			r.record("%s was answered 202, and its content came to no endpoint by %v after its time, and no notice ended it. Under its id came %q",
				m.id, slack, foreign)
		}
	}
	r.record("taken on: %d", len(taken))
	return broken
}

// handInSlowly hands in a message in two parts, between which a bad client sends a request with its id. It returns the status.
func (r *rig) handInSlowly(addr string, m message) int {
	conn, err := net.Dial("tcp", addr)
	must(err)
	defer conn.Close()
	must(conn.SetDeadline(time.Now().Add(clientPatience)))
	text := m.raw()
	_, err = conn.Write(text[:len(text)/2])
	must(err)
	time.Sleep(5 * time.Millisecond)
	if r.trouble {
		r.sendBad(addr, m)
	}
	_, err = conn.Write(text[len(text)/2:])
	must(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.record("client: %s: %v", m.id, err)
		return 0
	}
	resp.Body.Close()
	r.record("client: %s (%d bytes) answered %d", m.id, len(m.body), resp.StatusCode)
	return resp.StatusCode
}

// sendBad sends another request with the id of a message, and reads its answer.
func (r *rig) sendBad(addr string, m message) {
	conn, err := net.Dial("tcp", addr)
	must(err)
	defer conn.Close()
	must(conn.SetDeadline(time.Now().Add(clientPatience)))
	bad := m
	bad.body = "content of a bad client"
	_, err = conn.Write(bad.raw())
	must(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.record("bad client: %s: %v", m.id, err)
		return
	}
	resp.Body.Close()
	r.record("bad client: %s (%d bytes) answered %d", m.id, len(bad.body), resp.StatusCode)
}

// raw returns the request as it is written to a connection.
func (m message) raw() []byte {
	var b bytes.Buffer
	b.WriteString("POST /api HTTP/1.1\r\nHost: origin.svc\r\n")
	m.header(func(name, value string) { fmt.Fprintf(&b, "%s: %s\r\n", name, value) })
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(m.body), m.body)
	return b.Bytes()
}
