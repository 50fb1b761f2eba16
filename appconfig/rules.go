package appconfig

import (
	"fmt"
	"math"
	"net"
	"orchiddrift/admission"
	"slices"
	"strconv"
)

// Finding is a problem in a file: its place, the rule that found it, and the remedy.
type Finding struct {
	Rule   string `json:"rule"` // ID of the rule
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"` // from 1; 0 if unknown
	Key    string `json:"key,omitempty"`  // path of the key, as in partners[0].rate
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// String formats a finding in one line.
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

// Rule is a rule that configurations have to keep. Description describes its violation.
type Rule struct {
	ID          string `json:"id"`
	Description string `json:"what"`
	Remedy      string `json:"remedy"`
}

// The rules. The ID of a rule that was removed is not reused.
var (
	ruleUnreadable        = Rule{"OD001", "the file cannot be read", "Correct the file at that place."}
	ruleUnknownKey        = Rule{"OD002", "unknown key", "Look up its name in docs/configuration.md."}
	ruleUniqueName        = Rule{"OD003", "a name is missing or not unique", "Give each a unique name."}
	ruleAddress           = Rule{"OD004", "an address is not host:port", "Write it as 10.0.0.4:8081."}
	ruleStateFolder       = Rule{"OD005", "no state folder is set", "Set state to a folder that outlives the process and that no other application uses."}
	ruleRange             = Rule{"OD006", "a number is out of range", "Use a number in the range."}
	ruleAllowedValues     = Rule{"OD007", "a value is not one of the allowed ones", "Use one of the allowed values."}
	ruleRepeatKind        = Rule{"OD008", "a topic type has no known repeat kind", "Set repeatable, collapsible or once-only; use once-only if a second effect would cost somebody."}
	ruleOnceOnlyResends   = Rule{"OD009", "a once-only topic type allows resends", "Set resends to 0, or make the type collapsible if partners recognize its idempotency key."}
	ruleDedupWindow       = Rule{"OD010", "an idempotency key expires while resends may still arrive", "Raise memory, or lower resends or objective."}
	ruleObjectivePastTTL  = Rule{"OD011", "the objective is longer than the TTL", "Lower the objective, or raise the TTL."}
	ruleOrderedWithoutKey = Rule{"OD012", "an ordered topic type has no key", "Set key to what the notifications of one ordered sequence share."}
	ruleEmptyList         = Rule{"OD013", "a required list is empty", "Add an entry."}
	ruleNoEndpoint        = Rule{"OD014", "a partner has no endpoint", "Add a [[partners.endpoints]] with id and addr, or remove the partner."}
	ruleSharedEndpoint    = Rule{"OD015", "an endpoint belongs to two partners", "Keep it under the partner whose rate it counts against."}
	ruleDropsKeys         = Rule{"OD016", "a collapsible topic type goes to a partner that drops idempotency keys", "Make the type once-only, or remove it from the partner's topics."}
	ruleUnknownTopic      = Rule{"OD017", "a partner names an unknown topic type", "Correct the name, or add the type."}
	rulePartnerOverload   = Rule{"OD018", "the load of a partner exceeds its rate", "Lower load, or agree on a higher rate with the partner."}
	ruleFewSlots          = Rule{"OD019", "the slots are too few for the stated load", "Raise dispatcher.slots, or lower load.rate."}
	ruleFewHeld           = Rule{"OD020", "dispatcher.held is too low for the stated load", "Raise dispatcher.held to at least one second of load."}
	ruleSmallDisk         = Rule{"OD021", "the ledger cannot hold the stated load for its TTL", "Raise limits.disk_mb, or lower the TTL or load.body."}
	ruleLoadSum           = Rule{"OD022", "the partners' loads do not add up to the stated load", "Make the partners' load add up to load.rate, within a tenth."}
	ruleLayoutValue       = Rule{"OD023", "a layout setting has an unknown value", "Use one of the named values, or omit the key for the old layout's."}
	ruleRateNotListed     = Rule{"OD024", "a rate is set although the list has no rates", "Remove the rate, or correct layout.rates."}
	ruleRoutes            = Rule{"OD025", "partners of one kind have different or unknown routes", "Set shared or apart, the same for all partners of the kind."}
	ruleZone              = Rule{"OD026", "a zone has no endpoint, is repeated or has a fee out of range", "List each zone of the endpoints once, with a fee from 0 to 1."}

	ruleSameName      = Rule{"OD040", "two applications have the same name", "Rename one."}
	ruleSameListen    = Rule{"OD041", "two applications listen on the same address", "Give each its own address."}
	ruleSameState     = Rule{"OD042", "two applications share a state folder", "Give each its own folder."}
	ruleRateMismatch  = Rule{"OD043", "two applications state different rates for one partner", "Agree on the rate that the partner takes from all applications, and set it in both."}
	ruleFleetOverload = Rule{"OD044", "applications together send a partner more than its rate", "Lower their loads for it until they add up to its rate."}

	ruleLoosenedRepeat = Rule{"OD050", "a reload would loosen a once-only topic type", "Drain the application and restart it, so that no pending notification is under both settings."}
)

// Rules returns all rules, ordered by ID.
func Rules() []Rule {
	return []Rule{ruleUnreadable, ruleUnknownKey, ruleUniqueName, ruleAddress, ruleStateFolder, ruleRange, ruleAllowedValues,
		ruleRepeatKind, ruleOnceOnlyResends, ruleDedupWindow, ruleObjectivePastTTL, ruleOrderedWithoutKey, ruleEmptyList,
		ruleNoEndpoint, ruleSharedEndpoint, ruleDropsKeys, ruleUnknownTopic, rulePartnerOverload, ruleFewSlots, ruleFewHeld, ruleSmallDisk, ruleLoadSum,
		ruleLayoutValue, ruleRateNotListed, ruleRoutes, ruleZone, ruleSameName, ruleSameListen, ruleSameState,
		ruleRateMismatch, ruleFleetOverload, ruleLoosenedRepeat}
}

// checker collects the findings of one application.
type checker struct {
	*App
	findings []Finding
}

// report adds a finding of rule r at key.
func (c *checker) report(r Rule, key, format string, args ...any) {
	c.findings = append(c.findings, Finding{Rule: r.ID, File: c.File, Line: c.lineOf(key), Key: key, Reason: fmt.Sprintf(format, args...), Remedy: r.Remedy})
}

// checkRange reports v unless it is in the range from lowest to highest. NaN is in no range.
func (c *checker) checkRange(key string, v, lowest, highest float64) {
	if !(v >= lowest && v <= highest) {
		c.report(ruleRange, key, "%v is not in the range %v to %v", v, lowest, highest)
	}
}

// checkOneOf reports v unless it is one of allowed.
func (c *checker) checkOneOf(key, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		c.report(ruleAllowedValues, key, "%q is not one of %v", v, allowed)
	}
}

// checkAddress reports v unless it is host:port with a port from 1 to 65535.
func (c *checker) checkAddress(key, v string) {
	host, port, err := net.SplitHostPort(v)
	portNumber, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || host == "" || portNumber < 1 || portNumber > 65535 {
		c.report(ruleAddress, key, "%q is not host:port", v)
	}
}

// checkUniqueName reports v if it is empty or already in seen, and adds it to seen.
func (c *checker) checkUniqueName(seen map[string]bool, key, v string) {
	if v == "" || seen[v] {
		c.report(ruleUniqueName, key, "%q is empty or not unique", v)
	}
	seen[v] = true
}

// Check returns the findings of one application on its own. CheckFleet checks applications together.
func Check(a *App) []Finding {
	c := &checker{App: a}
	c.checkUniqueName(map[string]bool{}, "name", a.Name)
	c.checkAddress("listen", a.Listen)
	c.checkAddress("discovery", a.Discovery)
	if a.State == "" {
		c.report(ruleStateFolder, "state", "state is empty")
	}
	c.checkRange("limits.cores", a.Limits.Cores, 0.05, 1024)
	leastMemoryMB := admission.LeastMemoryMB(admission.Limits{DiskBytes: int(a.Limits.DiskMB * 1e6), Descriptors: a.Limits.Sockets, MaxMessages: a.Dispatcher.Held,
		MaxCalls: a.Dispatcher.Slots})
	c.checkRange("limits.memory_mb", a.Limits.MemoryMB, float64(leastMemoryMB), 1e6)
	c.checkRange("limits.sockets", float64(a.Limits.Sockets), 64, 1e7)
	c.checkRange("limits.disk_mb", a.Limits.DiskMB, 0.6, 1e6)
	c.checkOneOf("ledger.sync", a.Ledger.Sync, "none", "batch", "always")
	d := a.Dispatcher
	c.checkRange("dispatcher.count", float64(d.Count), 1, 10_000)
	c.checkRange("dispatcher.slots", float64(d.Slots), 2, 1e6)
	c.checkRange("dispatcher.held", float64(d.Held), 1, 1e7)
	c.checkRange("dispatcher.pushes", float64(d.Pushes), 1, 100)
	c.checkRange("dispatcher.tick", d.Tick.Seconds, 0.0005, 1)
	c.checkRange("dispatcher.dial", d.Dial.Seconds, 0.01, 60)
	c.checkRange("dispatcher.idle", d.Idle.Seconds, 0.1, 3600)
	c.checkRange("dispatcher.rest", d.Rest.Seconds, 0, 60)
	c.checkRange("returns.cold_from", a.Returns.ColdFrom, 0.01, 1)
	c.checkRange("returns.cold_span", a.Returns.ColdSpan.Seconds, 0.1, 3600)
	c.checkRange("returns.multiple", a.Returns.Multiple, 1, 100)
	c.checkRange("returns.fall", a.Returns.Fall.Seconds, 0.1, 600)
	c.checkRange("load.rate", a.Load.Rate, 0.001, 1e6)
	c.checkRange("load.body", float64(a.Load.Body), 0, 64<<10)
	c.checkTopics()
	seen := map[string]bool{}
	for i, t := range a.Tenants {
		prefix := fmt.Sprintf("tenants[%d].", i)
		c.checkUniqueName(seen, prefix+"name", t.Name)
		c.checkRange(prefix+"rate", t.Rate, 0.001, 1e6)
	}
	c.checkPartners()
	c.checkLayout()
	c.checkCapacity()
	return c.findings
}

func (c *checker) checkTopics() {
	if len(c.Topics) == 0 {
		c.report(ruleEmptyList, "topics", "there are no topic types")
	}
	seen := map[string]bool{}
	for i, topic := range c.Topics {
		prefix := fmt.Sprintf("topics[%d].", i)
		c.checkUniqueName(seen, prefix+"name", topic.Name)
		if topic.Repeat != Repeatable && topic.Repeat != Collapsible && topic.Repeat != OnceOnly {
			c.report(ruleRepeatKind, prefix+"repeat", "%q is not a repeat kind", topic.Repeat)
		}
		c.checkRange(prefix+"resends", float64(topic.Resends), 0, 100)
		c.checkRange(prefix+"objective", topic.Objective.Seconds, 0.01, 3600)
		c.checkRange(prefix+"ttl", topic.TTL.Seconds, 0.05, 86400)
		c.checkRange(prefix+"benefit", topic.Benefit, 0.001, 1e6)
		c.checkRange(prefix+"late_benefit", topic.LateBenefit, 0, 1)
		if topic.Objective.Seconds > topic.TTL.Seconds {
			c.report(ruleObjectivePastTTL, prefix+"objective", "%v is longer than the TTL of %v", topic.Objective, topic.TTL)
		}
		if topic.Repeat == OnceOnly && topic.Resends > 0 {
			c.report(ruleOnceOnlyResends, prefix+"resends", "%d resends could run a once-only %q more than once", topic.Resends, topic.Name)
		}
		const objectivesPerPush = 2 // maximum time that a push may take, as a multiple of the objective
		if needed := (Duration{float64(topic.Resends*objectivesPerPush) * topic.Objective.Seconds}); topic.Repeat == Collapsible && topic.Memory.Seconds < needed.Seconds {
			c.report(ruleDedupWindow, prefix+"memory", "%v is less than the %v that %d resends may take", topic.Memory, needed, topic.Resends)
		}
		if topic.Ordered && topic.Key == "" {
			c.report(ruleOrderedWithoutKey, prefix+"ordered", "%q has no key", topic.Name)
		}
	}
}

func (c *checker) checkPartners() {
	if len(c.Partners) == 0 {
		c.report(ruleEmptyList, "partners", "there are no partners")
	}
	names, dests, ids, owner := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]string{}
	for i, partner := range c.Partners {
		prefix := fmt.Sprintf("partners[%d].", i)
		c.checkUniqueName(names, prefix+"name", partner.Name)
		c.checkUniqueName(dests, prefix+"dest", strconv.Itoa(partner.Dest))
		c.checkRange(prefix+"dest", float64(partner.Dest), 0, 1e9)
		if unlisted := c.Layout.Rates == RatesNone; unlisted && partner.Rate != 0 {
			c.report(ruleRateNotListed, prefix+"rate", "%v per second for %q, but layout.rates is %q", partner.Rate, partner.Name, c.Layout.Rates)
		} else if !unlisted {
			c.checkRange(prefix+"rate", partner.Rate, 0.001, 1e6)
		}
		c.checkRange(prefix+"load", partner.Load, 0, 1e6)
		c.checkRange(prefix+"answer", partner.Answer.Seconds, 0, 600)
		c.checkRange(prefix+"batch", float64(partner.Batch), 1, 1000)
		c.checkOneOf(prefix+"protocol", partner.Protocol, "http")
		if partner.Rate > 0 && partner.Load > partner.Rate*float64(partner.Batch) {
			c.report(rulePartnerOverload, prefix+"load", "%v notifications per second are more than %q takes: %v calls per second of %d", partner.Load, partner.Name, partner.Rate, partner.Batch)
		}
		for k, name := range partner.Topics {
			if !slices.ContainsFunc(c.Topics, func(t Topic) bool { return t.Name == name }) {
				c.report(ruleUnknownTopic, prefix+"topics", "%q, entry %d, is not a topic type of this file", name, k+1)
			}
		}
		for _, t := range c.Topics {
			if partner.DropsKeys && t.Repeat == Collapsible && (len(partner.Topics) == 0 || slices.Contains(partner.Topics, t.Name)) {
				c.report(ruleDropsKeys, prefix+"drops_keys", "a resent %q would run again at %q", t.Name, partner.Name)
			}
		}
		if len(partner.Endpoints) == 0 {
			c.report(ruleNoEndpoint, prefix+"endpoints", "%q has no endpoint", partner.Name)
		}
		for k, e := range partner.Endpoints {
			prefix := fmt.Sprintf("%sendpoints[%d].", prefix, k)
			c.checkUniqueName(ids, prefix+"id", e.ID)
			c.checkAddress(prefix+"addr", e.Addr)
			if other, ok := owner[e.Addr]; ok && other != partner.Name {
				c.report(ruleSharedEndpoint, prefix+"addr", "%s belongs to %q and %q", e.Addr, other, partner.Name)
			}
			owner[e.Addr] = partner.Name
		}
	}
}

// checkLayout checks the layout section, the partners' routes and the zones.
func (c *checker) checkLayout() {
	l := c.Layout
	for _, setting := range []struct{ key, v, old, next string }{{"list", l.List, ListPushed, ListOnDemand}, {"rates", l.Rates, RatesListed, RatesNone},
		{"refusals", l.Refusals, RefusalsPriced, RefusalsFree}, {"late", l.Late, LateLinear, LateHalving}} {
		if setting.v != setting.old && setting.v != setting.next {
			c.report(ruleLayoutValue, "layout."+setting.key, "%q is neither %q nor %q", setting.v, setting.old, setting.next)
		}
	}
	routesByKind, usedZones := map[string]string{}, map[string]bool{}
	for i, p := range c.Partners {
		if _, ok := routesByKind[p.Kind]; !ok {
			routesByKind[p.Kind] = p.Routes
		}
		if p.Routes != RoutesShared && p.Routes != RoutesSeparate || p.Routes != routesByKind[p.Kind] {
			c.report(ruleRoutes, fmt.Sprintf("partners[%d].routes", i), "%q for %q, of kind %q", p.Routes, p.Name, p.Kind)
		}
		for _, e := range p.Endpoints {
			usedZones[e.Zone] = true
		}
	}
	for i, z := range c.Zones {
		if prefix := fmt.Sprintf("zones[%d].", i); !usedZones[z.Name] || z.Name == "" {
			c.report(ruleZone, prefix+"name", "%q is empty, repeated or the zone of no endpoint", z.Name)
		} else if !(z.Fee >= 0 && z.Fee <= 1) {
			c.report(ruleZone, prefix+"fee", "%v is not in the range 0 to 1", z.Fee)
		}
		usedZones[z.Name] = false
	}
}

// checkCapacity checks that the partners' loads add up to the stated load, and that the slots, the number of notifications
// that may be held and the disk space of a dispatcher suffice for its share of the load.
func (c *checker) checkCapacity() {
	arrivalRate, meanCallsOut, maxTTL := c.Load.Rate/float64(max(1, c.Dispatcher.Count)), 0.0, 0.0
	partnerLoad := 0.0
	for _, p := range c.Partners {
		partnerLoad += p.Load
		meanCallsOut += p.Load / float64(max(1, p.Batch)) * p.Answer.Seconds / float64(max(1, c.Dispatcher.Count))
	}
	for _, t := range c.Topics {
		maxTTL = max(maxTTL, t.TTL.Seconds)
	}
	const maxDeviation = 0.1 // between load.rate and the sum of the partners' loads, as a share of load.rate
	if partnerLoad > 0 && math.Abs(partnerLoad-c.Load.Rate) > maxDeviation*c.Load.Rate {
		c.report(ruleLoadSum, "load.rate", "partners' loads add up to %.4g, load.rate is %.4g", partnerLoad, c.Load.Rate)
	}
	if meanCallsOut > float64(c.Dispatcher.Slots) {
		c.report(ruleFewSlots, "dispatcher.slots", "%.4g calls are out at once on average, with %d slots", meanCallsOut, c.Dispatcher.Slots)
	}
	if arrivalRate > float64(c.Dispatcher.Held) {
		c.report(ruleFewHeld, "dispatcher.held", "%.4g notifications arrive per second, and %d may be held", arrivalRate, c.Dispatcher.Held)
	}
	// recordOverheadBytes is the size in the ledger of a pending notification without its body, and pendingShare the share of
	// the ledger's disk space that pending notifications may take.
	const recordOverheadBytes, pendingShare = 600, 0.55
	pending := min(arrivalRate*maxTTL, float64(c.Dispatcher.Held))
	if neededMB := pending * float64(recordOverheadBytes+c.Load.Body) / 1e6; neededMB > pendingShare*c.Limits.DiskMB {
		c.report(ruleSmallDisk, "limits.disk_mb", "%.0f pending notifications take %.3g MB, and %.3g MB are available for them", pending, neededMB, pendingShare*c.Limits.DiskMB)
	}
}

// CheckFleet returns the findings that concern several applications together. Check must have no findings for any of them.
func CheckFleet(apps []*App) []Finding {
	// claim is what an application states about a partner: its rate and the application's load, both in calls per second.
	type claim struct {
		app  *App
		key  string
		rate float64
		load float64
	}
	var findings []Finding
	report := func(a *App, r Rule, key, format string, args ...any) {
		findings = append(findings, Finding{Rule: r.ID, File: a.File, Line: a.lineOf(key), Key: key, Reason: fmt.Sprintf(format, args...), Remedy: r.Remedy})
	}
	names, listens, states, claims := map[string]*App{}, map[string]*App{}, map[string]*App{}, map[string][]claim{}
	for _, a := range apps {
		for _, field := range []struct {
			seen   map[string]*App
			rule   Rule
			key, v string
		}{{names, ruleSameName, "name", a.Name}, {listens, ruleSameListen, "listen", a.Listen}, {states, ruleSameState, "state", a.State}} {
			if other := field.seen[field.v]; other != nil {
				report(a, field.rule, field.key, "%q is also used by %s", field.v, other.File)
				continue
			}
			field.seen[field.v] = a
		}
		for i, partner := range a.Partners {
			if len(partner.Endpoints) == 0 {
				continue
			}
			claims[partner.Name] = append(claims[partner.Name], claim{a, fmt.Sprintf("partners[%d].", i), partner.Rate, partner.Load / float64(max(1, partner.Batch))})
			partnerClaims := claims[partner.Name]
			if first := partnerClaims[0]; first.rate != partner.Rate {
				report(a, ruleRateMismatch, partnerClaims[len(partnerClaims)-1].key+"rate", "%q has rate %v here and %v in %s", partner.Name, partner.Rate, first.rate, first.app.File)
			}
			totalLoad := 0.0
			for _, c := range partnerClaims {
				totalLoad += c.load
			}
			// Only the application whose load makes the sum exceed the rate is reported.
			if partnerClaims[0].rate > 0 && totalLoad > partnerClaims[0].rate &&
				totalLoad-partnerClaims[len(partnerClaims)-1].load <= partnerClaims[0].rate && len(partnerClaims) > 1 {
				report(a, ruleFleetOverload, partnerClaims[len(partnerClaims)-1].key+"load",
					"%d applications together send %q %.4g calls per second, and its rate is %v", len(partnerClaims), partner.Name, totalLoad, partnerClaims[0].rate)
			}
		}
	}
	return findings
}

// CheckReload returns the findings that forbid replacing old by next while the dispatcher runs.
func CheckReload(old, next *App) []Finding {
	c := &checker{App: next}
	for i, t := range next.Topics {
		for _, oldTopic := range old.Topics {
			if oldTopic.Name == t.Name && oldTopic.Repeat == OnceOnly && t.Repeat != OnceOnly {
				c.report(ruleLoosenedRepeat, fmt.Sprintf("topics[%d].repeat", i), "%q is once-only and would become %s", t.Name, t.Repeat)
			}
		}
	}
	return c.findings
}
