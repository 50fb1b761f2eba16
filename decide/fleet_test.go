package decide_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"orchiddrift/decide"
	"orchiddrift/directory"
)

// fleet is many dispatchers before one destination that hangs for a while, then answers and is cold.
type fleet struct {
	dispatchers int
	rate        float64 // calls a second that it takes warm
	load        float64 // notifications a second that come for it, times that rate
	returns     decide.Recovery
	uneven      bool    // some dispatchers get several times the mean
	restart     float64 // the part of the dispatchers that restart in the outage, and know nothing
	outage      float64 // how long it hangs, in seconds; 0 for 20
	endpoints   int     // of the destination, which share its rate; 0 for one
	refuses     bool    // connections in the outage, at once; else it hangs
	each        bool    // calls of one dispatcher in one tick count each; else as one
}

// back is when it answers again.
func (f fleet) back() float64 { return down + cmp.Or(f.outage, 20) }

// listed are its endpoints.
func (f fleet) listed() []directory.Endpoint {
	var list []directory.Endpoint
	for i := range max(1, f.endpoints) {
		list = append(list, directory.Endpoint{ID: fmt.Sprint("e", i), Kind: "plain", Dest: "D", Stage: directory.Ready, Rate: f.rate})
	}
	return list
}

// arrival is a call that reached the destination, and whether its dispatcher had seen one fail in the outage.
type arrival struct {
	at   float64
	told bool
}

type flight struct {
	id   string
	to   string
	at   float64
	over float64
	end  decide.Result
}

const down = 20.0 // the outage begins

// fleetDay plays the day in steps of a tick and gives when each call reached the destination after it was back.
func fleetDay(f fleet, seed uint64) []arrival {
	const tick, refusal = 0.005, 0.02
	up, end := f.back(), f.back()+20
	rng := rand.New(rand.NewPCG(seed, 1))
	type node struct {
		m     *decide.Scheduler
		hand  map[string]decide.Notification
		out   []flight
		share float64
		wake  float64
		told  bool
	}
	newNode := func() *node {
		dir := directory.New()
		dir.Apply(f.listed())
		return &node{hand: map[string]decide.Notification{}, m: decide.New(rng.Uint64(), dir,
			[]decide.Topic{{Name: "reading", Repeat: decide.Repeatable, DedupScope: "all", Objective: 2.5, TTL: 20, Benefit: 1, LateBenefit: 0.4}},
			decide.Capacity{MaxCalls: 12, MaxHeld: 60}, decide.Routes{}, f.returns,
			decide.PushPolicy{MaxPushes: 8, Tick: tick, IdleTimeout: 15}, decide.TenantQuotas{}, false)}
	}
	nodes := make([]*node, f.dispatchers)
	sum := 0.0
	for i := range nodes {
		nodes[i] = newNode()
		nodes[i].share = 1
		if f.uneven {
			nodes[i].share = math.Exp(rng.NormFloat64())
		}
		sum += nodes[i].share
	}
	mean := f.rate * f.load / sum
	var arrived []arrival
	var calls []float64 // that it answered
	restarted := false
	n := 0
	for now := 0.0; now < end; now += tick {
		if !restarted && now >= up-0.4*(up-down) {
			restarted = true
			for i, x := range nodes {
				if rng.Float64() < f.restart {
					y := newNode()
					y.share = x.share
					ids := make([]string, 0)
					for id := range x.hand {
						ids = append(ids, id)
					}
					slices.Sort(ids)
					for _, id := range ids {
						ntf := x.hand[id]
						if ntf.TimeLeft = ntf.TimeLeft - now; ntf.TimeLeft > 0 {
							ntf.Restored = true
							y.m.Place(now, ntf)
							ntf.TimeLeft += now
							y.hand[id] = ntf
						}
					}
					nodes[i] = y
				}
			}
		}
		for _, x := range nodes {
			changed := false
			x.out = slices.DeleteFunc(x.out, func(c flight) bool {
				if c.over > now {
					return false
				}
				changed = true
				x.told = x.told || c.end != decide.Delivered
				o := decide.Outcome{NotificationID: c.id, Endpoint: c.to, Result: c.end, Latency: now - c.at, Final: c.end == decide.Delivered}
				if o.Final { // it tells its limit, and what the last second's calls have left of it
					lately := 0
					for i := len(calls) - 1; i >= 0 && calls[i] > now-1; i-- {
						lately++
					}
					o.LimitReported, o.Limit, o.LimitLeft = true, f.rate, math.Max(0, 1-float64(lately)/f.rate)
				}
				a := x.m.HandleOutcome(now, o)
				if c.end == decide.Delivered {
					delete(x.hand, c.id)
				}
				finish(x.m, x.hand, now, a)
				return true
			})
			if rng.Float64() < x.share*mean*tick {
				changed = true
				n++
				ntf := decide.Notification{ID: fmt.Sprint(n), Topic: "reading", Dest: "D", TimeLeft: 20}
				a := x.m.Place(now, ntf)
				if a.Action == decide.Hold {
					ntf.TimeLeft += now
					x.hand[ntf.ID] = ntf
				}
			}
			if !changed && now < x.wake {
				continue
			}
			called := math.Inf(-1)
			for range 200 {
				wait, id := x.m.NextTurn(now)
				if wait > 0 {
					x.wake = now + wait
					break
				}
				ntf := x.hand[id]
				a := x.m.Place(now, ntf)
				if a.Action != decide.Push {
					finish(x.m, x.hand, now, a)
					continue
				}
				c := flight{id: id, to: a.Endpoint, at: now, over: now + 0.1, end: decide.Delivered}
				if now >= down && now < up {
					c.over, c.end = now+a.Timeout, decide.TimedOut // it hangs until it is given up
					if f.refuses {
						c.over, c.end = now+refusal, decide.NotConnected
					}
				} else if now >= up && (f.each || called != now) {
					arrived = append(arrived, arrival{now, x.told})
				}
				if called != now && c.end == decide.Delivered {
					calls = append(calls, now)
				}
				called = now
				x.out = append(x.out, c)
			}
		}
	}
	return arrived
}

func finish(m *decide.Scheduler, hand map[string]decide.Notification, now float64, a decide.Decision) {
	if a.Action == decide.Throttle || a.Action == decide.Expire {
		delete(hand, a.NotificationID)
		m.HandleOutcome(now, decide.Outcome{NotificationID: a.NotificationID, Result: decide.Withdrawn, Final: true})
	}
}

// worst is the span after the return with most calls beyond those that a cold destination is allowed, of spans with more
// than two thirds of them from dispatchers that knew.
func worst(f fleet, arrived []arrival) (calls int, allowed, at float64) {
	most, up := math.Inf(-1), f.back()
	for i, first := range arrived {
		if first.at > up+f.returns.WarmUp-f.returns.OverloadSpan {
			break // it is warm
		}
		j, told := i, 0
		for ; j < len(arrived) && arrived[j].at < first.at+f.returns.OverloadSpan; j++ {
			if arrived[j].told {
				told++
			}
		}
		warm := f.returns.InitialCapacity + (1-f.returns.InitialCapacity)*math.Min(1, (first.at-up)/f.returns.WarmUp)
		n := f.returns.OverloadFactor * warm * f.rate * f.returns.OverloadSpan
		if over := float64(j-i) - n - maxLimitRefusals(n); over > most && 3*told > 2*(j-i) {
			most, calls, allowed, at = over, j-i, n, first.at-up
		}
	}
	return calls, allowed, at
}

func maxLimitRefusals(n float64) float64 { return 2*math.Sqrt(n) + 2 }

// terms are what three deployments' settings say of returns, with calls a second that one of their destinations takes.
var terms = []fleet{
	{rate: 3, returns: decide.Recovery{InitialCapacity: 0.22, WarmUp: 12, OverloadFactor: 2, OverloadSpan: 1.5}},
	{rate: 8, returns: decide.Recovery{InitialCapacity: 0.22, WarmUp: 12, OverloadFactor: 2, OverloadSpan: 1.5}},
	{rate: 6, returns: decide.Recovery{InitialCapacity: 0.2, WarmUp: 11, OverloadFactor: 2, OverloadSpan: 3}},
	{rate: 20, returns: decide.Recovery{InitialCapacity: 0.3, WarmUp: 8, OverloadFactor: 2, OverloadSpan: 1}},
}

// cold plays the returns of a destination before so many dispatchers, half of them started anew in its outage. It gives on how
// many days of all a cold one fell, and what those that knew of the outage sent of its budget in the first three seconds.
func cold(t *testing.T, dispatchers int, seeds uint64) (fell, days int, part float64) {
	t.Helper()
	for _, f := range terms {
		for _, load := range []float64{0.8, 1.3} {
			f.dispatchers, f.returns.Dispatchers, f.load, f.restart, f.uneven = dispatchers, dispatchers, load, 0.5, dispatchers > 10
			sent, broke := 0, 0
			for seed := range seeds {
				arrived := fleetDay(f, seed)
				calls, allowed, _ := worst(f, arrived)
				if float64(calls) > allowed+maxLimitRefusals(allowed) {
					broke++
				}
				for _, a := range arrived {
					if a.told && a.at < f.back()+3 {
						sent++
					}
				}
			}
			warm := f.returns.InitialCapacity + (1-f.returns.InitialCapacity)*1.5/f.returns.WarmUp
			of := float64(sent) / (float64(seeds) * 3 * f.returns.OverloadFactor * f.rate * warm)
			t.Logf("%d dispatchers, %g/s, load %g: fell on %d of %d days, sent %.2f of the budget", dispatchers, f.rate, load, broke, seeds, of)
			fell, days, part = fell+broke, days+int(seeds), max(part, of)
		}
	}
	return fell, days, part
}

// Found with this test: the trials of 20 or 30 dispatchers, three times as dense as the budget for each, came to up to 1.6
// times what a cold destination may get. Over its budget of N calls in a span 2 sqrt(N) + 2 are chance; one day in fifty may
// pass that, as chance has it with some ten spans a day.
func TestColdFleet(t *testing.T) {
	for _, n := range []int{2, 5, 20, 30} {
		fell, days, part := cold(t, n, 8)
		if part > 1 || 50*fell > 2*days {
			t.Errorf("%d dispatchers: fell on %d of %d days, sent %.2f of the budget", n, fell, days, part)
		}
	}
}

// The same with hundreds: each has less than a call in the whole time that a destination is cold, and those that hold any
// together hold more than it may get. It stood in KNOWN-RED.txt, 18 of 24 days fallen and 1.74 of the budget sent, as what no
// dispatcher can see alone. That was wrong: trials were too dense by a correction made twice and by waits that ran while nothing was
// held, one failure was no outage, and who found the destination back took it for warm (slowstart_test.go, TestColdSizes).
func TestColdHundreds(t *testing.T) {
	fell, days, part := cold(t, 350, 3)
	if part > 1 || 50*fell > 2*days {
		t.Errorf("fell on %d of %d days, sent %.2f of the budget", fell, days, part)
	}
}
