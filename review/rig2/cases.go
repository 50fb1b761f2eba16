package main

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// config returns the configuration of a small deployment: classes, kinds and figures as in the brief of a delivery deployment. known is
// the list that the dispatcher had last.
func config(known list, settings map[string]any) map[string]any {
	base := map[string]any{
		"balancers": 1, "azs": []string{"here"}, "kinds": []string{"bulk-partners", "small-partners"}, "membership-mode": "push",
		"weight-kind": "nominal", "tick-ms": 5, "over-share-worth": 0.05,
		"classes": []map[string]any{
			{"name": "usage-posted", "repeat": "guarded", "group": "all", "memory-span-ms": 12000, "promise-ms": 2500,
				"deadline-ms": 20000, "importance": 1, "late-worth": 0.4},
			{"name": "meter-status", "repeat": "free", "group": "all", "promise-ms": 2500, "deadline-ms": 16000, "importance": 1,
				"late-worth": 0.3},
			{"name": "token-purchase", "repeat": "single_shot", "group": "all", "promise-ms": 1500, "deadline-ms": 12000,
				"importance": 3, "late-worth": 0.3, "sequential": true},
		},
		"tenants":       []map[string]any{{"name": "acme", "quota-rps": 1000}},
		"family-info":   map[string]any{"max-calls": 12, "batch-by-kind": []int{1, 1}, "separate-routes": []bool{false, false}, "refusal-cost": 0.05},
		"policy-limits": map[string]any{"most-held": 200, "max-attempts": 8, "dial-timeout-ms": 1500, "idle-close-ms": 15000},
		"guarantees": map[string]any{"cold-from": 0.2, "cold-ms": 14000, "overload-factor": 2, "fall-ms": 1500, "turn-gap-ms": 0,
			"stop-sending-within-ms": 500},
	}
	for name, value := range settings {
		if table, ok := value.(map[string]any); ok {
			for field, v := range table {
				base[name].(map[string]any)[field] = v
			}
			continue
		}
		base[name] = value
	}
	return map[string]any{"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "known": known,
		"settings": base}
}

// tolerance is what every time limit on sockets is longer, in seconds.
const tolerance = 0.05

// playOrder plays an endpoint that sends an interim answer and then hangs in the middle of its work.
func playOrder(r *rig) (int, string) {
	const gap = 2.0        // turn-gap-ms, in seconds
	const runsOnFor = 0.8  // how long the work of a call that was given up runs on, in seconds
	type keyState struct { // what the endpoint saw of the two purchases of an account
		firstGivenUp, secondAt, firstRanAt, secondRanAt float64
	}
	var lock sync.Mutex
	states := map[string]*keyState{"interim": {}, "silent": {}}
	var work sync.WaitGroup
	serve := func(w http.ResponseWriter, c call) {
		r.note("endpoint got %s", c.id)
		key, number := c.id[:len(c.id)-2], c.id[len(c.id)-1:]
		state := states[key]
		if state == nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if number == "2" {
			lock.Lock()
			state.secondAt = c.at
			state.secondRanAt = r.now()
			lock.Unlock()
			r.note("%s takes effect", c.id)
			w.WriteHeader(http.StatusOK)
			return
		}
		if key == "interim" {
			w.WriteHeader(http.StatusProcessing)
			r.note("endpoint answered %s with 102, the rest is to follow", c.id)
		}
		if !r.trouble {
			time.Sleep(100 * time.Millisecond)
			lock.Lock()
			state.firstRanAt = r.now()
			lock.Unlock()
			r.note("%s takes effect", c.id)
			w.WriteHeader(http.StatusOK)
			return
		}
		<-c.req.Context().Done()
		lock.Lock()
		state.firstGivenUp = r.now()
		lock.Unlock()
		r.note("the dispatcher has given up the call with %s", c.id)
		work.Go(func() {
			time.Sleep(time.Duration(runsOnFor * float64(time.Second)))
			lock.Lock()
			state.firstRanAt = r.now()
			lock.Unlock()
			r.note("%s takes effect: the call that was given up has run on", c.id)
		})
	}
	servers := []server{}
	for i, id := range []string{"s-1", "s-2"} {
		servers = append(servers, server{ID: id, Addr: r.startEndpoint(id, serve), Zone: "here", Kind: "bulk-partners", Cell: i + 1, State: "ready", Weight: 20})
	}
	a := r.startAgent(servers...)
	d := r.newDispatcher("n1", a.addr, config(a.full(), map[string]any{"guarantees": map[string]any{"turn-gap-ms": gap * 1000}}))
	d.start()
	client := newTransport()
	for i, key := range []string{"interim", "silent"} {
		for _, number := range []string{"1", "2"} {
			if status := r.handIn(client, d, message{id: key + "-" + number, class: "token-purchase", tenant: "acme", key: "account-" + key, dest: i + 1, budget: 12 * time.Second}); status != http.StatusAccepted {
				return void, "a purchase was not taken on"
			}
		}
	}
	time.Sleep(11 * time.Second)
	work.Wait()
	lock.Lock()
	defer lock.Unlock()
	code, text := held, ""
	for _, key := range []string{"interim", "silent"} {
		s := states[key]
		r.note("%s: first given up at %.3f, second got at %.3f; effects at %.3f and %.3f", key, s.firstGivenUp, s.secondAt, s.firstRanAt, s.secondRanAt)
		switch {
		case s.secondAt == 0:
			text += key + ": the second purchase was not sent; "
		case r.trouble && s.firstGivenUp == 0:
			return void, key + ": the call did not time out"
		case r.trouble && s.secondAt < s.firstGivenUp+gap-tolerance:
			code = broken
			text += fmt.Sprintf("%s: the key moved %.3f s after the time-out, %.1f are stated; second took effect %.3f s before the first; ", key, s.secondAt-s.firstGivenUp, gap, s.firstRanAt-s.secondRanAt)
		default:
			text += key + ": order kept; "
		}
	}
	return code, text
}

// traits are the figures of a deployment and of a kind of partner systems, as its brief has them. Times are in seconds.
type traits struct {
	rate               float64 // calls a second that the list tells
	spare              float64 // capacity over that rate
	limited            bool    // calls above the rate in a span of 2 s are turned away
	work               float64 // of a call at usual pace
	connections        int64   // that an endpoint takes
	coldFrom, coldSpan float64 // share of capacity after an outage, and time until it has all of it
	multiple, fallSpan float64 // sent more than that multiple of its capacity for that time, it falls over
	tells              bool    // while it is shut, it tells with four in seven refusals when it opens, with the first one of all
	reports            bool    // answers report the share left of the limit, and the limit
}

// partner is a partner system that is shut for some time and comes back cold.
type partner struct {
	traits
	rig              *rig
	shutFrom, shutTo float64 // seconds since the start of the case; 0: not shut
	open             atomic.Int64
	lock             sync.Mutex
	refused          int
	recent           []float64 // calls taken in the last span of the limit
	calls            []float64 // in the last span of a fall, since the return
	fallen           bool
	worst, worstN    float64 // the span with the most calls, as a share of what is allowed, and what is allowed then
	worstCalls       int
	served           int
}

// limitSpan is the span in which a limit counts calls, in seconds.
const limitSpan = 2.0

// share returns the share of its capacity that the partner has.
func (p *partner) share(now float64) float64 {
	if p.shutTo == 0 || now < p.shutTo {
		return 1
	}
	return min(1, p.coldFrom+(1-p.coldFrom)*(now-p.shutTo)/p.coldSpan)
}

// allowed returns how many calls the partner stands in a span that ends now: what the settings allow at the end of the span, where it is
// most, and the slack of the rule.
func (p *partner) allowed(now float64) float64 {
	n := p.multiple * p.share(now) * p.spare * p.rate * p.fallSpan
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// turnAway answers a call that has not run.
func (p *partner) turnAway(w http.ResponseWriter, wait float64, closes bool) {
	if closes {
		w.Header().Set("Connection", "close")
	}
	status := http.StatusServiceUnavailable
	if wait > 0 {
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", wait))
		status = http.StatusTooManyRequests
	}
	w.WriteHeader(status)
}

// report adds the load report to an answer. Where there is no limit both figures are 0. The caller holds the lock.
func (p *partner) report(w http.ResponseWriter) {
	switch {
	case p.reports && p.limited:
		w.Header().Set("X-Load-Report", fmt.Sprintf("TEXT x0=%.3f, x1=%.2f", max(0, 1-float64(len(p.recent))/(p.rate*limitSpan)), p.rate))
	case p.reports:
		w.Header().Set("X-Load-Report", "TEXT x0=0, x1=0")
	}
}

// countCall counts a call that reaches the partner after its return. The caller holds the lock.
func (p *partner) countCall(at float64) {
	if p.shutTo == 0 || at < p.shutTo || at >= p.shutTo+p.coldSpan {
		return
	}
	p.calls = append(p.calls, at)
	for p.calls[0] <= at-p.fallSpan {
		p.calls = p.calls[1:]
	}
	n := p.allowed(at)
	if p.fallen {
		return
	}
	if use := float64(len(p.calls)) / n; use > p.worst {
		p.worst, p.worstN, p.worstCalls = use, n, len(p.calls)
	}
	if float64(len(p.calls)) > n {
		p.fallen = true
		p.rig.note("partner falls over: %d calls in %.1f s, %.1f are allowed", len(p.calls), p.fallSpan, n)
	}
}

// serve answers a call. A call takes the longer the less of its capacity the partner has.
func (p *partner) serve(w http.ResponseWriter, c call) {
	tooMany := p.open.Add(1) > p.connections // each call has a connection of its own
	defer p.open.Add(-1)
	p.lock.Lock()
	p.countCall(c.at)
	for len(p.recent) > 0 && p.recent[0] <= c.at-limitSpan {
		p.recent = p.recent[1:]
	}
	p.report(w)
	shut := p.shutTo > 0 && c.at >= p.shutFrom && c.at < p.shutTo
	full := p.limited && float64(len(p.recent)) >= p.rate*limitSpan
	wait := 0.0
	if shut {
		if p.refused++; p.tells && p.refused%7%2 == 1 {
			wait = p.shutTo - c.at
		}
	}
	if taken := !p.fallen && !shut && !tooMany && !full; taken {
		p.recent = append(p.recent, c.at)
	}
	fallen, work := p.fallen, p.work/p.share(c.at)
	p.lock.Unlock()
	p.rig.note("partner got %s: shut %v, too many connections %v, over its limit %v", c.id, shut, tooMany, full)
	switch {
	case fallen, full && !shut:
		p.turnAway(w, 0, false)
		return
	case shut:
		p.turnAway(w, wait, false)
		return
	case tooMany:
		p.turnAway(w, 0, true)
		return
	}
	select {
	case <-time.After(time.Duration(work * float64(time.Second))):
	case <-c.req.Context().Done():
	}
	p.lock.Lock()
	p.served++
	p.lock.Unlock()
	w.WriteHeader(http.StatusOK)
}

// playShut plays a partner system that gets a share of the traffic, in hundredths, and is shut for a time, with three others beside it
// that have no trouble.
func playShut(r *rig, t traits, struckShare int, shutFor float64, settings map[string]any, next func(n int) message) (int, string) {
	const shutAt, after, handedIn = 5.0, 6.0, 360.0
	var partners []*partner
	var servers []server
	for i := range 4 {
		p := &partner{traits: t, rig: r}
		id := fmt.Sprintf("s-%d", i+1)
		partners = append(partners, p)
		servers = append(servers, server{ID: id, Addr: r.startEndpoint(id, p.serve), Zone: "here", Kind: "small-partners", Cell: i + 1, State: "ready", Weight: t.rate})
	}
	p := partners[0]
	if r.trouble {
		p.shutFrom, p.shutTo = shutAt, shutAt+shutFor
	}
	a := r.startAgent(servers...)
	d := r.newDispatcher("n1", a.addr, config(a.full(), settings))
	d.start()
	r.load(newTransport(), d, 1, shutAt+shutFor+after, handedIn, func(n int) message {
		m := next(n)
		m.id, m.tenant, m.dest = fmt.Sprintf("%016x", 0xabc00000+n), "acme", 1
		if m.idempotency != "" {
			m.idempotency = fmt.Sprintf("%032x", 0xdef00000+n)
		}
		if place := (37 * n) % 100; place >= struckShare { // 37 and 100 have no common divisor: the partners' shares mix evenly
			m.dest = 2 + place%3
		}
		return m
	})
	p.lock.Lock()
	defer p.lock.Unlock()
	text := fmt.Sprintf("%d calls refused in the outage; %d served; the span after the return with the most calls: %d, %.1f are allowed", p.refused, p.served, p.worstCalls, p.worstN)
	switch {
	case p.served < 100:
		return void, "too few calls: " + text
	case r.trouble && p.refused == 0:
		return void, "the dispatcher saw nothing of the outage: " + text
	case p.fallen:
		return broken, "the partner was pushed over as it came back: " + text
	}
	return held, text
}

// playShutTold plays a partner without a limit that reports this in its answers, and tells when it opens.
func playShutTold(r *rig) (int, string) {
	t := traits{rate: 110, spare: 1, work: 0.1, connections: 44, coldFrom: 0.2, coldSpan: 14, multiple: 2, fallSpan: 1.5, tells: true, reports: true}
	settings := map[string]any{"family-info": map[string]any{"max-calls": 86}, "policy-limits": map[string]any{"most-held": 1900}}
	return playShut(r, t, 27, 21, settings, func(n int) message {
		if n%10 >= 7 {
			return message{class: "meter-status", budget: 16 * time.Second}
		}
		return message{class: "usage-posted", idempotency: "mark", budget: 20 * time.Second}
	})
}

// playForeign plays three dispatchers that are told that an endpoint is gone, and that a server of another partner stands at its address.
// One of them is killed then, and starts again; discovery is down in that time.
func playForeign(r *rig) (int, string) {
	const drainAt, goneAt, reusedAt, downAt, downFor, killAt, restartAfter, loadUntil, grace = 3.0, 4.0, 5.0, 7.0, 8.0, 7.5, 0.6, 16.0, 0.5
	told := reusedAt + 6 // the latest time of all sentences: 6 s after discovery had it and could be reached
	var lock sync.Mutex
	calls, wrong, late := map[string]int{}, 0, map[string]int{}
	classOf := map[string]string{}
	serve := func(name string, dest byte) func(w http.ResponseWriter, c call) {
		return func(w http.ResponseWriter, c call) {
			lock.Lock()
			calls[name]++
			foreign := c.id[0] != dest
			if foreign {
				wrong++
			}
			if foreign && c.at > told+grace+2*tolerance {
				late[classOf[c.id]]++
			}
			lock.Unlock()
			r.note("%s got %s", name, c.id)
			time.Sleep(50 * time.Millisecond)
			w.WriteHeader(http.StatusOK)
		}
	}
	entry := func(id, addr string, dest int, state string) server {
		return server{ID: id, Addr: addr, Zone: "here", Kind: "bulk-partners", Cell: dest, State: state, Weight: 80}
	}
	old := r.startSwitchable("s-1, of partner 1", serve("s-1, of partner 1", '1'))
	second := r.startEndpoint("s-2, of partner 2", serve("s-2, of partner 2", '2'))
	a := r.startAgent(entry("s-1", old.addr, 1, "ready"), entry("s-2", second, 2, "ready"))
	var dispatchers []*process
	for _, name := range []string{"n1", "n2", "n3"} {
		d := r.newDispatcher(name, a.addr, config(a.full(), map[string]any{"balancers": 3}))
		d.start()
		dispatchers = append(dispatchers, d)
	}
	var open sync.WaitGroup
	for i, d := range dispatchers {
		client := newTransport()
		open.Go(func() {
			r.load(client, d, 1, loadUntil, 20, func(n int) message {
				m := message{dest: 1 + n%2, class: "meter-status", tenant: "acme", budget: 12 * time.Second}
				m.id = fmt.Sprintf("%d-%d-%08x", m.dest, i, n)
				if n/2%2 == 1 {
					m.class, m.key = "token-purchase", fmt.Sprintf("account-%d-%d", i, n)
				}
				lock.Lock()
				classOf[m.id] = m.class
				lock.Unlock()
				return m
			})
		})
	}
	r.until(drainAt)
	replacement := r.startEndpoint("s-3, of partner 1", serve("s-3, of partner 1", '1'))
	a.change(entry("s-1", old.addr, 1, "draining"), entry("s-3", replacement, 1, "ready"))
	r.until(goneAt)
	a.change(entry("s-1", old.addr, 1, "gone"))
	r.until(reusedAt)
	old.become("s-4, of partner 2, at the address of s-1", serve("s-4, of partner 2, at the address of s-1", '2'))
	a.change(entry("s-4", old.addr, 2, "ready"))
	r.until(downAt)
	if r.trouble {
		a.setSilent(true)
	}
	r.until(killAt)
	dispatchers[0].kill()
	time.Sleep(time.Duration(restartAfter * float64(time.Second)))
	dispatchers[0].start()
	r.until(downAt + downFor)
	a.setSilent(false)
	open.Wait()
	time.Sleep(time.Second)
	lock.Lock()
	defer lock.Unlock()
	lateCalls := 0
	for _, n := range late {
		lateCalls += n
	}
	text := fmt.Sprintf("%d calls with messages for partner 1 came to a server of partner 2 at the address of an endpoint that is gone, %d of them later than any sentence allows (by topic type: %v); calls: %v",
		wrong, lateCalls, late, calls)
	switch {
	case calls["s-3, of partner 1"] < 50 || calls["s-4, of partner 2, at the address of s-1"] == 0:
		return void, "too few calls: " + text
	case lateCalls > 0:
		return broken, text
	}
	return held, text
}
