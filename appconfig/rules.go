package appconfig

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
)

// Finding is something wrong, with its place and what to do.
type Finding struct {
	Rule   string `json:"rule"`
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"`
	Key    string `json:"key,omitempty"`
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place += ":" + strconv.Itoa(f.Line)
	}
	if f.Key != "" {
		place += ": " + f.Key
	}
	return fmt.Sprintf("%s: %s: %s. %s", place, f.Rule, f.Reason, f.Remedy)
}

// Rule is a check by its name.
type Rule struct {
	ID          string `json:"id"`
	Description string `json:"what"`
	Remedy      string `json:"remedy"`
}

// The rules. Numbers are never given again.
var (
	unreadable = Rule{"OD001", "the file cannot be read", "Mend the text at that place."}
	misspelt   = Rule{"OD002", "a key is not known", "Look up its name in docs/configuration.md."}
	unnamed    = Rule{"OD003", "a name is missing or stands twice", "Give each a name of its own."}
	address    = Rule{"OD004", "an address is not host:port", "Write it as 10.0.0.4:8081."}
	folder     = Rule{"OD005", "no folder outlives the process", "Name a folder of its own in state."}
	figure     = Rule{"OD006", "a figure is out of its range", "Give one in the range."}
	word       = Rule{"OD007", "a word is not one of those it can be", "Use one of them."}
	repeat     = Rule{"OD008", "a topic type has no known repeat kind", "Say repeatable, collapsible or once-only: if a second effect would cost somebody, once-only."}
	resent     = Rule{"OD009", "a once-only topic type is allowed resends", "Set resends to 0, or make the type collapsible if partners know its mark."}
	forgotten  = Rule{"OD010", "a mark is forgotten while resends may still come", "Raise memory, or lower resends or objective."}
	tooLate    = Rule{"OD011", "the objective is past the TTL", "Lower the objective, or raise the TTL."}
	noKey      = Rule{"OD012", "order is asked for without a key", "Name in key what the notifications of one line share."}
	nobody     = Rule{"OD013", "there is none", "Add one."}
	noEndpoint = Rule{"OD014", "a partner has no endpoint", "Add a [[partners.endpoints]] with id and addr, or take the partner out."}
	claimed    = Rule{"OD015", "an endpoint is under two partners", "Leave it under the one whose rate it counts for."}
	dropsKeys  = Rule{"OD016", "a collapsible topic type goes to a partner that drops keys", "Make the type once-only, or leave it out of the partner's topics."}
	noTopic    = Rule{"OD017", "a partner names a topic type that is not there", "Correct the name, or add the type."}
	tooMuch    = Rule{"OD018", "more is sent to a partner than it takes", "Lower load, or agree on a higher rate with the partner."}
	fewSlots   = Rule{"OD019", "the slots cannot carry the stated load", "Raise dispatcher.slots, or lower load.rate."}
	littleRoom = Rule{"OD020", "the room cannot carry the stated load", "Raise dispatcher.held to a second's load at least."}
	littleDisk = Rule{"OD021", "the ledger cannot hold the stated load for its TTL", "Raise limits.disk_mb, or lower the TTL or load.body."}
	unplaced   = Rule{"OD022", "the partners' loads are not the stated load", "Make the partners' load add up to load.rate, within a tenth."}
	layoutWord = Rule{"OD023", "the layout has a word that it cannot have", "Use one of them; leave the key out for the old shape's."}
	noRates    = Rule{"OD024", "a rate is stated though the list tells none", "Take the rate out, or correct layout.rates."}
	routeWord  = Rule{"OD025", "partners of one kind have different routes, or a word that is none", "Write shared or apart, the same for all partners of the kind."}
	zoneFee    = Rule{"OD026", "a zone is not one that an endpoint is in, stands twice, or has a fee out of its range", "Name the endpoints' zones, each once, with a fee from 0 to 1."}

	sameName   = Rule{"OD040", "two applications have one name", "Rename one."}
	sameListen = Rule{"OD041", "two applications listen on one address", "Give each its own."}
	sameState  = Rule{"OD042", "two applications share a state folder", "Give each its own."}
	otherRate  = Rule{"OD043", "two applications claim one partner with different rates", "Agree on the rate that the partner takes from all, and write it in both."}
	together   = Rule{"OD044", "applications together send a partner more than it takes", "Lower their loads to it until they add up to its rate."}

	loosened = Rule{"OD050", "a reload would loosen a once-only topic type", "Drain the application and restart it, so that nothing owed is under both readings."}
)

// Rules lists all rules.
func Rules() []Rule {
	return []Rule{unreadable, misspelt, unnamed, address, folder, figure, word, repeat, resent, forgotten, tooLate, noKey, nobody,
		noEndpoint, claimed, dropsKeys, noTopic, tooMuch, fewSlots, littleRoom, littleDisk, unplaced,
		layoutWord, noRates, routeWord, zoneFee, sameName, sameListen, sameState,
		otherRate, together, loosened}
}

// checker gathers what is wrong with one application.
type checker struct {
	*App
	found []Finding
}

func (c *checker) bad(r Rule, key, format string, args ...any) {
	c.found = append(c.found, Finding{Rule: r.ID, File: c.File, Line: c.line(key), Key: key, Reason: fmt.Sprintf(format, args...), Remedy: r.Remedy})
}

// between refuses what is out of its range, no number among it.
func (c *checker) between(key string, v, least, most float64) {
	if !(v >= least && v <= most) {
		c.bad(figure, key, "%v is not from %v to %v", v, least, most)
	}
}

func (c *checker) oneOf(key, v string, list ...string) {
	if !slices.Contains(list, v) {
		c.bad(word, key, "%q is none of %v", v, list)
	}
}

func (c *checker) addr(key, v string) {
	host, port, err := net.SplitHostPort(v)
	n, perr := strconv.Atoi(port)
	if err != nil || perr != nil || host == "" || n < 1 || n > 65535 {
		c.bad(address, key, "%q is not host:port", v)
	}
}

// names refuses what has no name, or another's.
func (c *checker) names(seen map[string]bool, key, v string) {
	if v == "" || seen[v] {
		c.bad(unnamed, key, "%q is empty or stands twice", v)
	}
	seen[v] = true
}

// Check tells all that is wrong with one application.
func Check(a *App) []Finding {
	c := &checker{App: a}
	c.names(map[string]bool{}, "name", a.Name)
	c.addr("listen", a.Listen)
	c.addr("discovery", a.Discovery)
	if a.State == "" {
		c.bad(folder, "state", "it is empty")
	}
	c.between("limits.cores", a.Limits.Cores, 0.05, 1024)
	c.between("limits.memory_mb", a.Limits.MemoryMB, 16, 1e6)
	c.between("limits.sockets", float64(a.Limits.Sockets), 64, 1e7)
	c.between("limits.disk_mb", a.Limits.DiskMB, 0.6, 1e6)
	c.oneOf("ledger.sync", a.Ledger.Sync, "none", "batch", "always")
	d := a.Dispatcher
	c.between("dispatcher.count", float64(d.Count), 1, 10_000)
	c.between("dispatcher.slots", float64(d.Slots), 2, 1e6)
	c.between("dispatcher.held", float64(d.Held), 1, 1e7)
	c.between("dispatcher.pushes", float64(d.Pushes), 1, 100)
	c.between("dispatcher.tick", d.Tick.Seconds, 0.0005, 1)
	c.between("dispatcher.dial", d.Dial.Seconds, 0.01, 60)
	c.between("dispatcher.idle", d.Idle.Seconds, 0.1, 3600)
	c.between("dispatcher.rest", d.Rest.Seconds, 0, 60)
	c.between("returns.cold_from", a.Returns.ColdFrom, 0.01, 1)
	c.between("returns.cold_span", a.Returns.ColdSpan.Seconds, 0.1, 3600)
	c.between("returns.multiple", a.Returns.Multiple, 1, 100)
	c.between("returns.fall", a.Returns.Fall.Seconds, 0.1, 600)
	c.between("load.rate", a.Load.Rate, 0.001, 1e6)
	c.between("load.body", float64(a.Load.Body), 0, 64<<10)
	c.topics()
	seen := map[string]bool{}
	for i, t := range a.Tenants {
		at := fmt.Sprintf("tenants[%d].", i)
		c.names(seen, at+"name", t.Name)
		c.between(at+"rate", t.Rate, 0.001, 1e6)
	}
	c.partners()
	c.layout()
	c.carries()
	return c.found
}

func (c *checker) topics() {
	if len(c.Topics) == 0 {
		c.bad(nobody, "topics", "there is no topic type")
	}
	seen := map[string]bool{}
	for i, t := range c.Topics {
		at := fmt.Sprintf("topics[%d].", i)
		c.names(seen, at+"name", t.Name)
		if t.Repeat != Repeatable && t.Repeat != Collapsible && t.Repeat != OnceOnly {
			c.bad(repeat, at+"repeat", "%q is no repeat kind", t.Repeat)
		}
		c.between(at+"resends", float64(t.Resends), 0, 100)
		c.between(at+"objective", t.Objective.Seconds, 0.01, 3600)
		c.between(at+"ttl", t.TTL.Seconds, 0.05, 86400)
		c.between(at+"benefit", t.Benefit, 0.001, 1e6)
		c.between(at+"late_benefit", t.LateBenefit, 0, 1)
		if t.Objective.Seconds > t.TTL.Seconds {
			c.bad(tooLate, at+"objective", "%v is past the TTL of %v", t.Objective, t.TTL)
		}
		if t.Repeat == OnceOnly && t.Resends > 0 {
			c.bad(resent, at+"resends", "%d resends could run a once-only %q again", t.Resends, t.Name)
		}
		const patience = 2 // a push is waited for so many objectives at most
		if need := (Duration{float64(t.Resends*patience) * t.Objective.Seconds}); t.Repeat == Collapsible && t.Memory.Seconds < need.Seconds {
			c.bad(forgotten, at+"memory", "%v is less than the %v that %d resends may take", t.Memory, need, t.Resends)
		}
		if t.Ordered && t.Key == "" {
			c.bad(noKey, at+"ordered", "%q has no key", t.Name)
		}
	}
}

func (c *checker) partners() {
	if len(c.Partners) == 0 {
		c.bad(nobody, "partners", "there is no partner")
	}
	names, dests, ids, owner := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]string{}
	for i, p := range c.Partners {
		at := fmt.Sprintf("partners[%d].", i)
		c.names(names, at+"name", p.Name)
		c.names(dests, at+"dest", strconv.Itoa(p.Dest))
		c.between(at+"dest", float64(p.Dest), 0, 1e9)
		if unlisted := c.Layout.Rates == RatesNone; unlisted && p.Rate != 0 {
			c.bad(noRates, at+"rate", "%v a second for %q where layout.rates is %q", p.Rate, p.Name, c.Layout.Rates)
		} else if !unlisted {
			c.between(at+"rate", p.Rate, 0.001, 1e6)
		}
		c.between(at+"load", p.Load, 0, 1e6)
		c.between(at+"answer", p.Answer.Seconds, 0, 600)
		c.between(at+"batch", float64(p.Batch), 1, 1000)
		c.oneOf(at+"protocol", p.Protocol, "http")
		if p.Rate > 0 && p.Load > p.Rate*float64(p.Batch) {
			c.bad(tooMuch, at+"load", "%v a second is more than %q takes: %v calls of %d", p.Load, p.Name, p.Rate, p.Batch)
		}
		for k, name := range p.Topics {
			if !slices.ContainsFunc(c.Topics, func(t Topic) bool { return t.Name == name }) {
				c.bad(noTopic, at+"topics", "%q, number %d, is no topic type here", name, k+1)
			}
		}
		for _, t := range c.Topics {
			if p.DropsKeys && t.Repeat == Collapsible && (len(p.Topics) == 0 || slices.Contains(p.Topics, t.Name)) {
				c.bad(dropsKeys, at+"drops_keys", "%q would be run again by %q", t.Name, p.Name)
			}
		}
		if len(p.Endpoints) == 0 {
			c.bad(noEndpoint, at+"endpoints", "%q has none", p.Name)
		}
		for k, e := range p.Endpoints {
			at := fmt.Sprintf("%sendpoints[%d].", at, k)
			c.names(ids, at+"id", e.ID)
			c.addr(at+"addr", e.Addr)
			if other, ok := owner[e.Addr]; ok && other != p.Name {
				c.bad(claimed, at+"addr", "%s is under %q and %q", e.Addr, other, p.Name)
			}
			owner[e.Addr] = p.Name
		}
	}
}

// layout judges how the platform is said to be laid out.
func (c *checker) layout() {
	l := c.Layout
	for _, x := range []struct{ key, v, old, next string }{{"list", l.List, ListPushed, ListOnDemand}, {"rates", l.Rates, RatesListed, RatesNone},
		{"refusals", l.Refusals, RefusalsPriced, RefusalsFree}, {"late", l.Late, LateLinear, LateHalving}} {
		if x.v != x.old && x.v != x.next {
			c.bad(layoutWord, "layout."+x.key, "%q is neither %q nor %q", x.v, x.old, x.next)
		}
	}
	routes, in := map[string]string{}, map[string]bool{}
	for i, p := range c.Partners {
		if _, ok := routes[p.Kind]; !ok {
			routes[p.Kind] = p.Routes
		}
		if p.Routes != RoutesShared && p.Routes != RoutesSeparate || p.Routes != routes[p.Kind] {
			c.bad(routeWord, fmt.Sprintf("partners[%d].routes", i), "%q for %q, of kind %q", p.Routes, p.Name, p.Kind)
		}
		for _, e := range p.Endpoints {
			in[e.Zone] = true
		}
	}
	for i, z := range c.Zones {
		if at := fmt.Sprintf("zones[%d].", i); !in[z.Name] || z.Name == "" {
			c.bad(zoneFee, at+"name", "%q is empty, stands twice, or no endpoint is in it", z.Name)
		} else if !(z.Fee >= 0 && z.Fee <= 1) {
			c.bad(zoneFee, at+"fee", "%v is not from 0 to 1", z.Fee)
		}
		in[z.Name] = false
	}
}

// carries judges whether the stated load can be carried.
func (c *checker) carries() {
	rate, busy, ttl := c.Load.Rate/float64(max(1, c.Dispatcher.Count)), 0.0, 0.0
	placed := 0.0
	for _, p := range c.Partners {
		placed += p.Load
		busy += p.Load / float64(max(1, p.Batch)) * p.Answer.Seconds / float64(max(1, c.Dispatcher.Count))
	}
	for _, t := range c.Topics {
		ttl = max(ttl, t.TTL.Seconds)
	}
	const within = 0.1
	if placed > 0 && math.Abs(placed-c.Load.Rate) > within*c.Load.Rate {
		c.bad(unplaced, "load.rate", "partners' loads add up to %.4g, of %.4g stated", placed, c.Load.Rate)
	}
	if busy > float64(c.Dispatcher.Slots) {
		c.bad(fewSlots, "dispatcher.slots", "%.4g calls are out at once on average, of %d slots", busy, c.Dispatcher.Slots)
	}
	if rate > float64(c.Dispatcher.Held) {
		c.bad(littleRoom, "dispatcher.held", "%.4g come in a second, and %d may be held", rate, c.Dispatcher.Held)
	}
	const record, share = 600, 0.55 // bytes beside a body; of the folder, what may be owed
	held := min(rate*ttl, float64(c.Dispatcher.Held))
	if need := held * float64(record+c.Load.Body) / 1e6; need > share*c.Limits.DiskMB {
		c.bad(littleDisk, "limits.disk_mb", "%.0f notifications held take %.3g MB, of %.3g that may be owed", held, need, share*c.Limits.DiskMB)
	}
}

// CheckFleet tells what is wrong between applications that each are good.
func CheckFleet(all []*App) []Finding {
	type claim struct {
		app  *App
		key  string
		rate float64
		load float64
	}
	var found []Finding
	bad := func(a *App, r Rule, key, format string, args ...any) {
		found = append(found, Finding{Rule: r.ID, File: a.File, Line: a.line(key), Key: key, Reason: fmt.Sprintf(format, args...), Remedy: r.Remedy})
	}
	names, listens, states, claims := map[string]*App{}, map[string]*App{}, map[string]*App{}, map[string][]claim{}
	for _, a := range all {
		for _, x := range []struct {
			seen   map[string]*App
			rule   Rule
			key, v string
		}{{names, sameName, "name", a.Name}, {listens, sameListen, "listen", a.Listen}, {states, sameState, "state", a.State}} {
			if other := x.seen[x.v]; other != nil {
				bad(a, x.rule, x.key, "%q is also %s's", x.v, other.File)
				continue
			}
			x.seen[x.v] = a
		}
		for i, p := range a.Partners {
			if len(p.Endpoints) == 0 {
				continue
			}
			claims[p.Name] = append(claims[p.Name], claim{a, fmt.Sprintf("partners[%d].", i), p.Rate, p.Load / float64(max(1, p.Batch))})
			list := claims[p.Name]
			if first := list[0]; first.rate != p.Rate {
				bad(a, otherRate, list[len(list)-1].key+"rate", "%q takes %v here and %v in %s", p.Name, p.Rate, first.rate, first.app.File)
			}
			sum := 0.0
			for _, x := range list {
				sum += x.load
			}
			if list[0].rate > 0 && sum > list[0].rate && sum-list[len(list)-1].load <= list[0].rate && len(list) > 1 {
				bad(a, together, list[len(list)-1].key+"load", "with this, %d applications send %q %.4g calls a second, of %v", len(list), p.Name, sum, list[0].rate)
			}
		}
	}
	return found
}

// CheckReload tells what keeps a new file from taking an old one's place while the process runs.
func CheckReload(old, next *App) []Finding {
	c := &checker{App: next}
	for i, t := range next.Topics {
		for _, was := range old.Topics {
			if was.Name == t.Name && was.Repeat == OnceOnly && t.Repeat != OnceOnly {
				c.bad(loosened, fmt.Sprintf("topics[%d].repeat", i), "%q was once-only and would be %s", t.Name, t.Repeat)
			}
		}
	}
	return c.found
}
