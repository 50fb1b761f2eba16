package decide_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"orchiddrift/decide"
)

// returnKind is a kind of return from an outage. Days of one kind differ in the terms, the load, the duration of the outage,
// the TTL and the number of endpoints.
type returnKind struct {
	failure      failureMode
	delivered    float64 // share of the calls that are delivered during the outage
	restartShare float64
	clumpSize    int
	dispatchers  int
}

// String returns the kind as the log of TestReturns shows it.
func (k returnKind) String() string {
	return fmt.Sprintf("%v, %g delivered, %g restarted, clumps of %d, %d dispatchers", k.failure, k.delivered, k.restartShare, k.clumpSize, k.dispatchers)
}

// returnKinds returns each combination of failure, restarts, clumps and size.
func returnKinds() (kinds []returnKind) {
	for _, failure := range []failureMode{hangs, refuses, errs, rejects, resets, mixed} {
		for _, restartShare := range []float64{0, 0.5, 1} {
			for _, clumpSize := range []int{1, 4} {
				for _, dispatchers := range []int{2, 12, 36, 220, 900} {
					kinds = append(kinds, returnKind{failure, 0, restartShare, clumpSize, dispatchers})
				}
			}
		}
	}
	for _, dispatchers := range []int{2, 36, 220} { // most calls fail, some are delivered
		kinds = append(kinds, returnKind{errs, 0.3, 0, 1, dispatchers}, returnKind{mixed, 0.2, 0.5, 1, dispatchers})
	}
	return kinds
}

// returnTerms are the recovery settings of a day, with the rate of the destination.
var returnTerms = []fleetScenario{
	{rate: 5.1, recovery: decide.Recovery{InitialCapacityShare: 0.22, WarmUp: 12, OverloadFactor: 2, OverloadSpan: 1.5}},
	{rate: 10.7, recovery: decide.Recovery{InitialCapacityShare: 0.22, WarmUp: 12, OverloadFactor: 2, OverloadSpan: 1}},
	{rate: 4, recovery: decide.Recovery{InitialCapacityShare: 0.16, WarmUp: 10, OverloadFactor: 2.5, OverloadSpan: 2}},
	{rate: 12, recovery: decide.Recovery{InitialCapacityShare: 0.3, WarmUp: 8, OverloadFactor: 2, OverloadSpan: 1.2}},
	{rate: 25, recovery: decide.Recovery{InitialCapacityShare: 0.2, WarmUp: 9, OverloadFactor: 2, OverloadSpan: 1.5}},
}

// day returns the scenario of a day of the kind.
func (k returnKind) day(n int) fleetScenario {
	f := returnTerms[n%len(returnTerms)]
	f.load = []float64{0.6, 0.9, 1.2}[n/2%3]
	f.outageDuration = []float64{8, 3, 8, 15}[n%4]
	f.ttl = []float64{5, 9.5, 20}[n%3]
	f.endpoints = 1 + n/3%2
	f.resubmits = n%2 == 1
	f.dispatchers, f.recovery.Dispatchers, f.unevenLoad, f.otherTraffic, f.countEachCall = k.dispatchers, k.dispatchers, k.dispatchers > 4, true, true
	f.failure, f.deliveredShare, f.clumpSize = k.failure, k.delivered, k.clumpSize
	f.restarts, f.restartShare = restartsApart, k.restartShare
	return f
}

// fromEnvironment returns the number in an environment variable, or fallback if it is not set.
func fromEnvironment(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against an overload of a returning destination by dispatchers that had a call fail or be refused there, however the
// calls ended, and whether or not the dispatchers restarted meanwhile. At most one day in fifty may have an overload, and with
// enough days to tell, at most one in twenty of each kind. RETURN_DAYS sets the days of each kind, RETURN_SEED the first seed.
func TestReturns(t *testing.T) {
	const fewDays, defaultSeed, maxShareOfAll, maxShareOfKind, enoughDays = 2, 61000, 0.02, 0.05, 40
	kinds, days, firstSeed := returnKinds(), fromEnvironment(t, "RETURN_DAYS", fewDays), fromEnvironment(t, "RETURN_SEED", defaultSeed)
	var scenarios []fleetScenario
	for _, kind := range kinds {
		for n := range days {
			scenarios = append(scenarios, kind.day(n))
		}
	}
	results := simulateAll(scenarios, uint64(firstSeed))
	overloaded := 0
	for i, kind := range kinds {
		ofKind, worst := 0, 0.0
		for _, result := range results[i*days : (i+1)*days] {
			worst = max(worst, float64(result.calls)/result.allowed)
			if result.overloaded() {
				ofKind++
				t.Logf("%v, %g/s, load %g, TTL %g, outage of %g s, %d endpoints: %d calls from %.1f s after the return on, %.1f allowed: %s", kind, result.rate,
					result.load, result.ttl, result.outageDuration, result.endpoints, result.calls, result.spanStart, result.allowed, result.senders)
			}
		}
		if ofKind > 0 || testing.Verbose() {
			t.Logf("%v: overloaded on %d of %d days, worst span %.2f of what is allowed", kind, ofKind, days, worst)
		}
		if days >= enoughDays && float64(ofKind) > maxShareOfKind*float64(days) {
			t.Errorf("%v: overloaded on %d of %d days", kind, ofKind, days)
		}
		overloaded += ofKind
	}
	t.Logf("overloaded on %d of %d days", overloaded, len(results))
	if float64(overloaded) > maxShareOfAll*float64(len(results)) {
		t.Errorf("overloaded on %d of %d days", overloaded, len(results))
	}
}
