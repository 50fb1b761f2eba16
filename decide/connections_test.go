package decide

import "testing"

// Guards against a second connection that is dialed for each call, or for none: the time after which one is dialed follows the
// median of the latest connections, so that the few that come up late, or never, do not lengthen it.
func TestDialAgainAfter(t *testing.T) {
	s := &Scheduler{}
	if got := s.DialAgainAfter(); got != defaultDialAgain {
		t.Errorf("before a connection: %v", got)
	}
	for _, seconds := range []float64{0.03, 0.03, 1.4, 0.03, 1.2} {
		s.ConnectionUp(seconds)
	}
	if got, want := s.DialAgainAfter(), dialAgainFactor*0.03; got != want {
		t.Errorf("with two late connections of five: %v, want %v", got, want)
	}
	for range maxSamples {
		s.ConnectionUp(0.001)
	}
	if got := s.DialAgainAfter(); got != minDialAgain {
		t.Errorf("with fast connections: %v, want %v", got, minDialAgain)
	}
}
