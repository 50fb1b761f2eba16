package invariant

import (
	"maps"
	"math"
)

// RecoveryTerms say what a destination or route can take as it returns from an outage. Times are in seconds.
type RecoveryTerms struct {
	ColdRate    float64 // calls per second that all dispatchers together may send just after the return; 0 if unknown
	WarmRate    float64 // the same once the destination is warm
	Span        float64 // the rates are averaged over this time
	WarmUp      float64 // time from the return until the destination is warm
	Dispatchers int
}

// RecoveryChecker checks that a dispatcher which had a push fail or be refused at a destination keeps to its part of what
// the destination can take, until slow start is over, and whatever the dispatcher assumes about the destination. It counts the
// failures, the deliveries and the arrivals itself. It is not safe for concurrent use. Times are in seconds of the dispatcher's
// clock. A nil RecoveryChecker checks nothing.
type RecoveryChecker struct {
	counters *Counters
	bound    map[string]*boundThrottle // by destination or route: those with a failure and without a later return to normal
	arrivals map[string][]float64      // by destination: times of recent arrivals
	sent     map[string][]float64      // by destination or route: when the latest delivered pushes were sent
}

// boundThrottle is a destination or route at which a push failed or was refused.
type boundThrottle struct {
	since       float64   // time of the first failure
	sentBefore  float64   // when the latest delivered push before the one that failed was sent; -Inf for none
	deliveredAt float64   // first delivery after the latest failure; +Inf for none
	calls       []float64 // times of recent calls since the failure
}

// Bounds of what is kept for each destination or route.
const (
	maxTrackedArrivals   = 256
	maxTrackedDeliveries = 64
)

// NewRecoveryChecker returns a RecoveryChecker without failures.
func NewRecoveryChecker(counters *Counters) *RecoveryChecker {
	return &RecoveryChecker{counters: counters, bound: map[string]*boundThrottle{}, arrivals: map[string][]float64{}, sent: map[string][]float64{}}
}

// Arrived records that a notification for a destination was accepted.
func (r *RecoveryChecker) Arrived(now float64, dest string) {
	if r == nil {
		return
	}
	list := append(r.arrivals[dest], now)
	r.arrivals[dest] = list[max(0, len(list)-maxTrackedArrivals):]
}

// Failed records that a push to a destination or route, sent at sentAt, failed or was refused, also in an earlier process. A
// failure between two deliveries that were sent within a span shows no outage.
func (r *RecoveryChecker) Failed(now, sentAt float64, throttle string, terms RecoveryTerms) {
	if r == nil {
		return
	}
	sentBefore, sentAfter := math.Inf(-1), math.Inf(1)
	for _, at := range r.sent[throttle] {
		if at <= sentAt {
			sentBefore = max(sentBefore, at)
		} else {
			sentAfter = min(sentAfter, at)
		}
	}
	if sentAfter-sentBefore < terms.Span {
		return
	}
	b := r.bound[throttle]
	if b == nil {
		b = &boundThrottle{since: now, sentBefore: sentBefore, deliveredAt: math.Inf(1)}
		r.bound[throttle] = b
	}
	b.deliveredAt = sentAfter
}

// Restored records that pushes to a destination or route were limited in an earlier process, since boundSince. firstAnswer is the
// first delivery after its latest failure; 0 for none.
func (r *RecoveryChecker) Restored(throttle string, boundSince, firstAnswer float64) {
	if r == nil {
		return
	}
	if firstAnswer == 0 {
		firstAnswer = math.Inf(1)
	}
	r.bound[throttle] = &boundThrottle{since: boundSince, sentBefore: math.Inf(-1), deliveredAt: firstAnswer}
}

// Delivered records that a push, sent at sentAt, was delivered.
func (r *RecoveryChecker) Delivered(now, sentAt float64, throttle string, terms RecoveryTerms) {
	if r == nil {
		return
	}
	if b := r.bound[throttle]; b != nil {
		b.deliveredAt = min(b.deliveredAt, now)
		if sentAt-b.sentBefore < terms.Span {
			delete(r.bound, throttle)
		}
	}
	list := append(r.sent[throttle], sentAt)
	r.sent[throttle] = list[max(0, len(list)-maxTrackedDeliveries):]
}

// Prune removes what is kept of destinations and routes that are not known any more.
func (r *RecoveryChecker) Prune(known func(owner string) bool) {
	if r == nil {
		return
	}
	unknown := func(owner string, _ []float64) bool { return !known(owner) }
	maps.DeleteFunc(r.arrivals, unknown)
	maps.DeleteFunc(r.sent, unknown)
	maps.DeleteFunc(r.bound, func(owner string, _ *boundThrottle) bool { return !known(owner) })
}

// CheckSend checks a call that is about to be sent to a destination or route.
func (r *RecoveryChecker) CheckSend(now float64, id, throttle, dest string, terms RecoveryTerms) {
	if r == nil || r.bound[throttle] == nil || terms.ColdRate <= 0 {
		return
	}
	b := r.bound[throttle]
	if now > b.deliveredAt+terms.WarmUp {
		delete(r.bound, throttle)
		return
	}
	for len(b.calls) > 0 && b.calls[0] <= now-terms.Span {
		b.calls = b.calls[1:]
	}
	b.calls = append(b.calls, now)
	allowed := RecoveryBudget(r.part(now, dest, terms) * b.rate(now, terms) * terms.Span)
	if float64(len(b.calls)) > allowed {
		r.counters.Report(SentOverPart, id, "call %d within %.1f s to %s, where a push failed at %.3f; at most %.1f allowed", len(b.calls), terms.Span,
			throttle, b.since, allowed)
	}
}

// Unsent takes the latest call to a destination or route out of the account: nothing of it left this machine.
func (r *RecoveryChecker) Unsent(throttle string) {
	if r == nil || r.bound[throttle] == nil {
		return
	}
	if b := r.bound[throttle]; len(b.calls) > 0 {
		b.calls = b.calls[:len(b.calls)-1]
	}
}

// rate returns the calls per second that all dispatchers together may send now.
func (b *boundThrottle) rate(now float64, terms RecoveryTerms) float64 {
	warmth := max(0, min(1, (now-b.deliveredAt+terms.WarmUp/2)/terms.WarmUp)) // the return may be half of WarmUp ago
	return terms.ColdRate + (terms.WarmRate-terms.ColdRate)*warmth
}

// part returns this dispatcher's part of what a destination can take: an even one, or that of what arrived here if that is more.
func (r *RecoveryChecker) part(now float64, dest string, terms RecoveryTerms) float64 {
	recent := 0.0
	for _, at := range r.arrivals[dest] {
		if at > now-max(1, terms.WarmUp) {
			recent++
		}
	}
	even := 1 / float64(max(1, terms.Dispatchers))
	if terms.WarmRate <= 0 {
		return even
	}
	return min(1, max(even, recent/max(1, terms.WarmUp)/terms.WarmRate))
}
