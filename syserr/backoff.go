package syserr

import "time"

// The pauses of a Backoff.
const (
	firstPause = time.Millisecond
	maxPause   = 64 * time.Millisecond
)

// Backoff paces the attempts to repeat a call: with pauses that double, and for a limited time.
type Backoff struct {
	deadline  time.Time
	nextPause time.Duration
}

// NewBackoff returns a Backoff that allows attempts for the given time from now.
func NewBackoff(total time.Duration) *Backoff { return NewBackoffUntil(time.Now().Add(total)) }

// NewBackoffUntil returns a Backoff that allows attempts until the deadline.
func NewBackoffUntil(deadline time.Time) *Backoff {
	return &Backoff{deadline: deadline, nextPause: firstPause}
}

// Wait sleeps, and reports whether another attempt is allowed, which it is not once the time has passed.
func (b *Backoff) Wait() bool {
	remaining := time.Until(b.deadline)
	if remaining <= 0 {
		return false
	}
	time.Sleep(min(b.nextPause, remaining))
	b.nextPause = min(2*b.nextPause, maxPause)
	return true
}
