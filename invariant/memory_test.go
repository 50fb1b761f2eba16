package invariant

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a checker that keeps IDs of any length for its reports.
func TestLongIDsAreNotReported(t *testing.T) {
	c := NewConnectionChecker(&Counters{})
	for n := range 2 * recentConnections {
		c.CallSent(uint64(n), fmt.Sprint(n, strings.Repeat("i", 4000)))
	}
	bytes := 0
	for _, id := range c.carried {
		bytes += len(id)
	}
	if bytes > recentConnections*maxReportedID || len(c.carried) != recentConnections {
		t.Errorf("%d bytes of IDs of %d connections", bytes, len(c.carried))
	}
}

// Guards against accounts of destinations and routes that stay after these have left the list for good.
func TestRecoveryAccountsOfUnlisted(t *testing.T) {
	r := NewRecoveryChecker(&Counters{})
	terms := RecoveryTerms{Span: 1}
	for n := range 100 {
		owner := fmt.Sprint("e", n)
		r.Arrived(1, owner)
		r.Delivered(1, 0.5, owner, terms)
		r.Failed(5, 4, owner, terms)
	}
	r.Prune(func(owner string) bool { return owner == "e7" })
	if len(r.arrivals) != 1 || len(r.sent) != 1 || len(r.bound) != 1 || r.bound["e7"] == nil {
		t.Errorf("%d, %d and %d accounts", len(r.arrivals), len(r.sent), len(r.bound))
	}
}
