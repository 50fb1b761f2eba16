package decide

import (
	"cmp"
	"slices"
)

const (
	// defaultIdleTimeout is the time in seconds for which idle connections are kept while they are not scarce. A shorter idle
	// timeout of the settings takes precedence, and so does a longer share of that timeout (see idleCloseAt).
	defaultIdleTimeout = 5.0

	dialAgainFactor  = 4.0  // a second connection is dialed after this many median times that one takes
	minDialAgain     = 0.05 // seconds, the shortest such time
	defaultDialAgain = 0.2  // seconds, that time before a connection has come up
)

// MaxSecondDials is the largest number of second connections that are dialed at once. More late ones show that it is the endpoints
// that do not answer, and each takes a descriptor.
const MaxSecondDials = 8

// ConnectionUp records how long, in seconds, a connection to an endpoint took to come up.
func (s *Scheduler) ConnectionUp(seconds float64) {
	s.dialTimes = appendLast(s.dialTimes, seconds, maxSamples)
}

// DialAgainAfter returns the time, in seconds, after which a second connection is dialed for a call whose first one is not up. A
// single connection that never comes up says little about its endpoint, and each call needs one.
func (s *Scheduler) DialAgainAfter() float64 {
	if len(s.dialTimes) == 0 {
		return defaultDialAgain
	}
	sorted := slices.Sorted(slices.Values(s.dialTimes))
	return max(minDialAgain, dialAgainFactor*sorted[len(sorted)/2])
}

// idleCloseAt returns when the idle connections to an endpoint are to be closed. An endpoint may limit its connections: idle
// ones of many dispatchers can exclude others, or be closed unnoticed. While connections to endpoints of the kind are
// scarce, because one was refused or broke recently, the idle timeout of the settings is divided among the dispatchers, and
// connections are closed at once if the calls of this dispatcher are farther apart than that. Otherwise they are kept for
// that share, or up to defaultIdleTimeout if that is longer.
func (s *Scheduler) idleCloseAt(now float64, idle idleEndpoint) float64 {
	keepOpen := s.evenShare(s.policy.IdleTimeout)
	if s.connectionsScarceUntil[idle.endpoint.kind] <= now {
		keepOpen = max(keepOpen, min(defaultIdleTimeout, cmp.Or(s.policy.IdleTimeout, defaultIdleTimeout)))
	} else if keepOpen < smoothedMean(idle.endpoint.callGaps, defaultGap) {
		keepOpen = 0
	}
	return idle.since + keepOpen
}
