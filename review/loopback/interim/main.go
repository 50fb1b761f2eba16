// Command interim plays a partner that sends a 1xx answer in front of its answer and is slow with a call, on a topic type that keeps order.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"orchiddrift/review/loopback"
)

const settings = `{"balancers":1,"azs":["here"],"kinds":["plain"],"membership-mode":"push","weight-kind":"nominal","tick-ms":5,
"classes":[{"name":"status","repeat":"free","group":"all","promise-ms":1500,"deadline-ms":16000,"importance":1,"late-worth":0.3,"sequential":true}],
"tenants":[{"name":"acme","quota-rps":50}],"over-share-worth":0.05,
"family-info":{"max-calls":6,"batch-by-kind":[1],"separate-routes":[false]},
"policy-limits":{"most-held":104,"max-attempts":8,"dial-timeout-ms":1500,"idle-close-ms":15000},
"guarantees":{"cold-from":0.2,"cold-ms":10000,"overload-factor":2,"fall-ms":1500,"turn-gap-ms":3000,"stop-sending-within-ms":500}}`

const (
	turnGap = 3 * time.Second
	slack   = 50 * time.Millisecond // every time limit is longer by it on sockets
	slow    = 4500 * time.Millisecond
	keys    = 5
)

// call is one call of a message: when it came, when the dispatcher gave it up, and when its work was done.
type call struct {
	id                  string
	at, givenUp, doneAt time.Time
}

// partner is the partner's server. It works on a call to its end, also if the dispatcher gives it up.
type partner struct {
	record *loopback.Record
	mu     sync.Mutex
	calls  []*call
	seen   map[string]int
	value  map[string]string // by key: the message that took effect last
}

func (p *partner) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	req, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	c := &call{id: req.Header.Get("X-Call-Id"), at: time.Now()}
	p.mu.Lock()
	p.calls = append(p.calls, c)
	p.seen[c.id]++
	isSlow := c.id[len(c.id)-5:] == "first" && p.seen[c.id] == 1
	p.mu.Unlock()
	p.record.Note("partner: call with %s", c.id)
	if loopback.Trouble() {
		_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
	}
	work := 40 * time.Millisecond
	if isSlow {
		work = slow
	}
	done := time.After(work)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = reader.ReadByte()
	}()
	select {
	case <-done:
	case <-ended:
		p.mu.Lock()
		c.givenUp = time.Now()
		p.mu.Unlock()
		p.record.Note("partner: the dispatcher gave up its call with %s", c.id)
		<-done
	}
	p.mu.Lock()
	c.doneAt = time.Now()
	p.value[c.id[:3]] = c.id
	p.mu.Unlock()
	p.record.Note("partner: %s takes effect", c.id)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
}

func main() {
	record := loopback.NewRecord()
	if err := play(record); err != nil {
		record.End(loopback.CouldNotDo, "the case could not run: %v", err)
	}
}

func play(record *loopback.Record) error {
	p := &partner{record: record, seen: map[string]int{}, value: map[string]string{}}
	ln, err := loopback.Listen("")
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	agent, err := loopback.StartAgent(record, []loopback.Server{{ID: "s-1", Addr: ln.Addr().String(), Zone: "here", Kind: "plain", Cell: 1, State: "ready", Weight: 40}})
	if err != nil {
		return err
	}
	d, err := loopback.NewDispatcher(record, agent, settings)
	if err != nil {
		return err
	}
	defer d.Kill()
	if err := d.Start(); err != nil {
		return err
	}
	hand := func(id, key string) error {
		m := loopback.Message{ID: id, Class: "status", Dest: 1, Key: key, Budget: 15 * time.Second, Body: id}
		if status := loopback.HandIn(record, d.Addr, m); status != 202 && status != 200 {
			return fmt.Errorf("%s was not taken on: %d", id, status)
		}
		return nil
	}
	for i := range 20 {
		if err := hand(fmt.Sprintf("w%02d-warm", i), fmt.Sprintf("w%02d", i)); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	for i := range keys {
		key := fmt.Sprintf("k%02d", i)
		if err := hand(key+"-first", key); err != nil {
			return err
		}
		if err := hand(key+"-second", key); err != nil {
			return err
		}
		time.Sleep(2500 * time.Millisecond)
	}
	time.Sleep(17 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	early, stale, played := 0, 0, 0
	for i := range keys {
		key := fmt.Sprintf("k%02d", i)
		var givenUp, second time.Time
		for _, c := range p.calls {
			switch {
			case c.id == key+"-first" && !c.givenUp.IsZero() && c.givenUp.After(givenUp):
				givenUp = c.givenUp
			case c.id == key+"-second" && second.IsZero():
				second = c.at
			}
		}
		if givenUp.IsZero() || second.IsZero() {
			continue
		}
		played++
		gap := second.Sub(givenUp)
		record.Note("key %s: the second message came %v after a call with the first one was given up; what took effect last is %s", key, gap.Round(time.Millisecond), p.value[key])
		if gap < turnGap-slack {
			early++
		}
		if p.value[key] == key+"-first" {
			stale++
		}
	}
	d.Kill()
	if early > 0 {
		record.End(loopback.Broken, "%d of %d keys went on less than %v after a call that may still run was given up; on %d of them the older message took effect last", early, played, turnGap, stale)
	}
	if played == 0 {
		record.End(loopback.CouldNotDo, "no call was given up and followed")
	}
	record.End(loopback.Held, "each of %d keys rested for %v after a call that may still run was given up", played, turnGap)
	return nil
}
