package decide_test

import (
	"fmt"
	"slices"

	"orchiddrift/decide"
	"orchiddrift/directory"
)

// desk plays the adapter for one module and prints what is decided.
type desk struct {
	m    *decide.Scheduler
	dir  *directory.Directory
	hand map[string]decide.Notification
	now  float64

	pushed  map[string]bool // what was pushed
	closing bool            // print what is closed too
	quiet   bool            // print nothing
	unheard bool            // final answers are not heard
}

var topics = []decide.Topic{
	{Name: "reading", Repeat: decide.Repeatable, DedupScope: "all", Objective: 2, TTL: 20, Benefit: 1, LateBenefit: 0.4},
	{Name: "tally", Repeat: decide.Collapsible, DedupWindow: 5, DedupScope: "all", Objective: 2, TTL: 20, Benefit: 1},
	{Name: "order", Repeat: decide.OnceOnly, DedupScope: "all", Objective: 2, TTL: 20, Benefit: 3, LateBenefit: 0.4,
		Ordered: true},
}

// shape is how the desk's deployment is laid out.
type shape struct {
	topics  []decide.Topic
	slots   decide.Capacity
	routes  decide.Routes
	returns decide.Recovery
	pushes  decide.PushPolicy
	shares  decide.TenantQuotas
	seed    uint64
}

// newDesk starts a module with so many slots and so much room, and endpoints written "id:destination".
func newDesk(slots, room int, ends ...string) *desk {
	return shaped(func(*shape) {}, slots, room, ends...)
}

// shaped is newDesk for a deployment laid out in another way.
func shaped(other func(*shape), slots, room int, ends ...string) *desk {
	d := &desk{dir: directory.New(), hand: map[string]decide.Notification{}, pushed: map[string]bool{}, now: 100}
	s := shape{topics: slices.Clone(topics), slots: decide.Capacity{MaxCalls: slots, MaxHeld: room, BatchSize: map[string]int{"bulk": 3}},
		routes:  decide.Routes{SeparateByKind: map[string]bool{"apart": true}},
		returns: decide.Recovery{InitialCapacity: 0.2, WarmUp: 10, OverloadFactor: 2, OverloadSpan: 2, Dispatchers: 2},
		pushes:  decide.PushPolicy{MaxPushes: 8, KeyCooldown: 1, Tick: 0.005, IdleTimeout: 1},
		shares:  decide.TenantQuotas{Rate: map[string]float64{"big": 2}, OverQuotaBenefit: 0.05}}
	s.seed = 7
	other(&s)
	d.m = decide.New(s.seed, d.dir, s.topics, s.slots, s.routes, s.returns, s.pushes, s.shares, false)
	for _, dest := range "ABC" { // known, if with nothing ready
		d.list(string(dest)+" drains", "plain", directory.Draining)
	}
	for _, e := range ends {
		d.list(e, "plain", directory.Ready)
	}
	return d
}

func (d *desk) list(id, kind, stage string) {
	d.dir.Apply([]directory.Endpoint{{ID: id, Kind: kind, Dest: id[:1], Stage: stage, Rate: 10}})
}

// take hands in notifications named by topic and destination: "order A1 A2".
func (d *desk) take(topic string, ids ...string) {
	for _, id := range ids {
		ntf := decide.Notification{ID: id, Topic: topic, Dest: id[:1], TimeLeft: 20}
		if topic == "order" {
			ntf.Key = id[1:2]
		}
		d.hand[id] = ntf
		d.print(d.m.Place(d.now, ntf))
	}
}

// restore hands in what is owed since before a restart.
func (d *desk) restore(topic, id string, was decide.Notification) {
	was.ID, was.Topic, was.Dest, was.TimeLeft, was.Restored = id, topic, id[:1], 20, true
	if topic == "order" {
		was.Key = id[1:2]
	}
	d.hand[id] = was
	d.print(d.m.Place(d.now, was))
}

// at moves the clock on and lets all go whose turn has come.
func (d *desk) at(now float64) {
	d.now = 100 + now
	for range 100 {
		wait, id := d.m.NextTurn(d.now)
		if wait > 0 {
			return
		}
		d.print(d.m.Place(d.now, d.hand[id]))
	}
	fmt.Println("turns without end")
}

// waits prints how long the module would wait.
func (d *desk) waits() {
	wait, _ := d.m.NextTurn(d.now)
	fmt.Printf("%.2f  wait %.2f\n", d.now-100, wait)
}

// ended reports an outcome for pushes to an endpoint.
func (d *desk) ended(end string, o decide.Outcome, ids ...string) {
	for _, id := range ids {
		o.NotificationID, o.Endpoint = id, end
		o.Final = o.Result == decide.Delivered
		if o.Latency == 0 {
			o.Latency = 0.1
		}
		d.print(d.m.HandleOutcome(d.now, o))
	}
}

var words = map[decide.Action]string{decide.Push: "push", decide.Throttle: "throttle", decide.Expire: "expire",
	decide.WatchList: "watch the list"}

func (d *desk) print(a decide.Decision) {
	if a.Action == decide.Push {
		d.pushed[a.NotificationID] = true
	}
	if d.quiet {
		if a.Action == decide.Throttle || a.Action == decide.Expire {
			d.m.HandleOutcome(d.now, decide.Outcome{NotificationID: a.NotificationID, Result: decide.Withdrawn, Final: true})
		}
		return
	}
	switch a.Action {
	case decide.Hold, decide.CloseIdle:
		if a.Action == decide.CloseIdle && d.closing {
			fmt.Printf("%.2f  close idle connections to %s\n", d.now-100, a.Endpoint)
		}
	case decide.Push:
		anew := ""
		if a.NewConnection {
			anew = " anew"
		}
		fmt.Printf("%.2f  push %s to %s%s\n", d.now-100, a.NotificationID, a.Endpoint, anew)
	default:
		fmt.Printf("%.2f  %s %s\n", d.now-100, words[a.Action], a.NotificationID)
		if !d.unheard {
			d.m.HandleOutcome(d.now, decide.Outcome{NotificationID: a.NotificationID, Result: decide.Withdrawn, Final: true})
		}
	}
}
