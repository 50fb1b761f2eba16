package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["blind"] = blind }

// blind: three dispatchers that have to ask for the list, as at results-windhoek. For a while discovery is slow: it answers each call
// one second late. Some seconds after it is fast again, one of the two endpoints of destination 1 drains, and the only one of
// destination 3 is replaced.
func blind(r *rig) bool {
	const (
		slowFrom  = 3.0
		slowUntil = 80.0
		drainAt   = 83.0
		goneAt    = 90.0
		end       = 100.0
		work      = 250 * time.Millisecond
		rate      = 63 // messages a second, over all dispatchers
		budget    = 5 * time.Second
		// told: a change counts as told at the latest 6 s after discovery had it and could be reached; 500 ms of grace follow, and
		// each limit is 50 ms longer on sockets.
		told = 6*time.Second + 500*time.Millisecond + 100*time.Millisecond
	)
	newEndpoint := func(name string) *endpoint { return r.newEndpoint(name, "small", work) }
	old, other, two, three, replacement := newEndpoint("old"), newEndpoint("other"), newEndpoint("two"), newEndpoint("three"), newEndpoint("replacement")
	d := newDiscovery(old.entry(1, "ready"), other.entry(1, "ready"), two.entry(2, "ready"), three.entry(3, "ready"))
	known, _ := d.since(0)
	var slow atomic.Bool
	delay := func() time.Duration {
		if slow.Load() {
			return time.Second
		}
		return 0
	}
	var agents []*agent
	var addrs []string
	for i := range 3 {
		a := r.newAgent(fmt.Sprintf("n%d", i+1), d, delay)
		n := r.newDispatcher(a.name, a.addr, known, windhoek())
		n.start()
		agents, addrs = append(agents, a), append(addrs, n.addr)
	}
	stop := make(chan struct{})
	go r.load(rate, addrs, func(n int) message { return newMessage("update", "press", 1+n/3%2, budget) }, stop)
	r.sleepUntil(slowFrom)
	slow.Store(r.trouble)
	r.record("discovery is slow from now on: %v", r.trouble)
	r.sleepUntil(slowUntil)
	slow.Store(false)
	r.record("discovery answers at once from now on")
	r.sleepUntil(drainAt)
	d.publish(old.entry(1, "draining"), three.entry(3, "draining"), replacement.entry(3, "ready"))
	drained := time.Now()
	r.record("discovery has: s-old and s-three drain, s-replacement is ready")
	r.sleepUntil(goneAt)
	d.publish(three.entry(3, "gone"))
	three.shut()
	r.record("s-three is gone")
	taken := r.handInMany(addrs, 30)
	r.sleepUntil(end)
	close(stop)

	for _, a := range agents {
		r.record("agent %s: last call for the list %.2f s ago", a.name, a.sinceLastCall().Seconds())
	}
	delivered := 0
	for _, c := range replacement.since(drained) {
		if taken[c.id] {
			delivered++
		}
	}
	r.record("not judged: of %d messages for destination 3, taken on after s-three was gone, %d came to s-replacement within their time", len(taken), delivered)
	late := old.since(drained.Add(told))
	r.record("calls to s-old: %d before its drain, %d later than %v after discovery had it", len(old.since(time.Time{}))-len(old.since(drained)),
		len(late), told)
	for _, c := range late[:min(len(late), 5)] {
		r.record("  %s, %.3f s after", c.id, c.at.Sub(drained).Seconds())
	}
	return len(late) > 0
}

// handInMany hands in messages for destination 3, ten a second, in turns to the addresses. It returns those that were taken on.
func (r *rig) handInMany(addrs []string, count int) map[string]bool {
	var mu sync.Mutex
	var all sync.WaitGroup
	taken := map[string]bool{}
	for i := range count {
		m := newMessage("update", "weekly", 3, 4*time.Second)
		all.Go(func() {
			if r.handIn(addrs[i%len(addrs)], m) == http.StatusAccepted {
				mu.Lock()
				defer mu.Unlock()
				taken[m.id] = true
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	return taken
}
