package invariant

import (
	"strings"
	"testing"
)

// Each case violates one invariant, and only that one must be counted. The first case violates none. The end of the test
// covers pushes before the first list, and the output of Write.
func TestSendChecker(t *testing.T) {
	target := Target{Throttle: "A/", Endpoint: "A1"}
	for _, c := range []struct {
		name Name
		do   func(s *SendChecker)
	}{
		{"", func(s *SendChecker) {
			s.Accepted("m", Rules{Deadline: 20, Window: 3, Key: "k"})
			s.Accepted("n", Rules{Deadline: 20, Key: "k"})
			s.WaitTold("A/", 1)
			s.EndpointListed(0, "A2", false)
			s.CheckSend(1, "m", target)
			s.PushEnded(1.1, 1, "m", true, true)
			s.CheckSend(3.9, "m", target)
			s.PushEnded(3.95, 3.9, "m", true, false)
			s.Finished("m")
			s.CheckSend(4, "n", target)
			s.CheckRecovery(4, "n", "A/", 3, 1.5)
		}},
		{SentAfterFinal, func(s *SendChecker) {
			s.Accepted("m", Rules{Deadline: 9})
			s.Finished("m")
			s.CheckSend(1, "m", target)
		}},
		{SentAfterFinal, func(s *SendChecker) { s.CheckSend(1, "m", target) }},
		{SentWhileInFlight, func(s *SendChecker) {
			s.Accepted("m", Rules{Deadline: 9})
			s.CheckSend(1, "m", target)
			s.CheckSend(2, "m", target)
		}},
		{SentOutsideWindow, func(s *SendChecker) { s.Accepted("m", Rules{Deadline: 9}); s.CheckSend(9.1, "m", target) }},
		{SentOutsideWindow, func(s *SendChecker) {
			s.Accepted("m", Rules{Deadline: 9, Window: 3, MayHaveRunSince: 1})
			s.CheckSend(4.1, "m", target)
		}},
		{SentOutsideWindow, func(s *SendChecker) {
			s.Accepted("m", Rules{Deadline: 9, OnceOnly: true})
			s.CheckSend(1, "m", target)
			s.PushEnded(2, 1, "m", true, true)
			s.CheckSend(3, "m", target)
		}},
		{SentToLeaving, func(s *SendChecker) {
			s.Accepted("m", Rules{Deadline: 9})
			s.EndpointListed(1, "A1", false)
			s.CheckSend(1.6, "m", target)
		}},
		{SentDuringWait, func(s *SendChecker) {
			s.Accepted("m", Rules{Deadline: 9})
			s.WaitTold("A/", 2)
			s.CheckSend(1.9, "m", target)
		}},
		{SentOverRecovery, func(s *SendChecker) {
			for range 12 { // the budget for 3 calls is 3 + 3 sqrt(3) + 3, which is 11.2
				s.CheckRecovery(1, "m", "A/", 3, 1.5)
			}
		}},
		{SentOutOfOrder, func(s *SendChecker) {
			s.Accepted("m", Rules{Deadline: 9, Key: "k"})
			s.Accepted("n", Rules{Deadline: 9, Key: "k"})
			s.CheckSend(1, "n", target)
		}},
		{SentOutOfOrder, func(s *SendChecker) {
			s.Accepted("m", Rules{Deadline: 9, Key: "k"})
			s.Accepted("n", Rules{Deadline: 9, Key: "k"})
			s.CheckSend(1, "m", target)
			s.PushEnded(2, 1, "m", true, true)
			s.Finished("m")
			s.CheckSend(2.4, "n", target)
		}},
	} {
		counters := &Counters{}
		s := NewSendChecker(counters, Margins{DrainGrace: 0.5, KeyHold: 0.5}, 0)
		c.do(s)
		for _, name := range All {
			if n := counters.Count(name); (n > 0) != (name == c.name) {
				t.Errorf("violation of %q: %s counted %d times", c.name, name, n)
			}
		}
	}
	counters := &Counters{}
	s := NewSendChecker(counters, Margins{}, 5)
	s.Accepted("m", Rules{Deadline: 9})
	s.CheckSend(4, "m", target)
	var text strings.Builder
	if err := counters.Write(&text); err != nil || !strings.Contains(text.String(), `{invariant="sent_before_first_list"} 1`) {
		t.Errorf("Write: %v, output %q", err, text.String())
	}
}

// A dispatcher of 34 that had one push fail may send some calls of its own part in a span, and no flood, also after a delivery
// and after a failure in an earlier process; it is free again after slow start, and after a failure between deliveries within a span.
func TestRecoveryChecker(t *testing.T) {
	terms := RecoveryTerms{ColdRate: 2.2, WarmRate: 10, Span: 1.5, WarmUp: 12, Dispatchers: 34}
	flood := func(r *RecoveryChecker, from float64) {
		for i := range 6 {
			r.CheckSend(from+float64(i)/10, "m", "A/", "A", terms)
		}
	}
	for _, c := range []struct {
		name      string
		violation bool
		do        func(r *RecoveryChecker)
	}{
		{"no failure", false, func(r *RecoveryChecker) { flood(r, 1) }},
		{"one failure, few calls", false, func(r *RecoveryChecker) {
			r.Failed(1, 0, "A/", terms)
			for i := range 4 {
				r.CheckSend(2+float64(i)/10, "m", "A/", "A", terms)
			}
		}},
		{"one failure, a flood", true, func(r *RecoveryChecker) { r.Failed(1, 0, "A/", terms); flood(r, 2) }},
		{"at another destination", false, func(r *RecoveryChecker) { r.Failed(1, 0, "B/", terms); flood(r, 2) }},
		{"a failure, a delivery, a flood", true, func(r *RecoveryChecker) {
			r.Failed(1, 0, "A/", terms)
			r.Delivered(3, 2.9, "A/", terms)
			flood(r, 4)
		}},
		{"after slow start", false, func(r *RecoveryChecker) {
			r.Failed(1, 0, "A/", terms)
			r.Delivered(3, 2.9, "A/", terms)
			flood(r, 15.1)
		}},
		{"a failure between deliveries within a span", false, func(r *RecoveryChecker) {
			r.Delivered(1, 0.9, "A/", terms)
			r.Failed(1.5, 1.1, "A/", terms)
			r.Delivered(2.3, 2.2, "A/", terms)
			flood(r, 2.4)
		}},
		{"a late failure between deliveries farther apart", true, func(r *RecoveryChecker) {
			r.Delivered(1, 0.9, "A/", terms)
			r.Delivered(5.1, 5, "A/", terms)
			r.Failed(5.5, 1.5, "A/", terms)
			flood(r, 6)
		}},
		{"calls of which nothing was sent", false, func(r *RecoveryChecker) {
			r.Failed(1, 0, "A/", terms)
			for i := range 8 {
				r.CheckSend(2+float64(i)/20, "m", "A/", "A", terms)
				r.Unsent("A/")
			}
		}},
		{"much of the traffic comes here", false, func(r *RecoveryChecker) {
			for i := range 40 {
				r.Arrived(float64(i)/10, "A")
			}
			r.Failed(4, 3, "A/", terms)
			flood(r, 5)
		}},
	} {
		counters := &Counters{}
		c.do(NewRecoveryChecker(counters))
		if violation := counters.Count(SentOverPart) > 0; violation != c.violation {
			t.Errorf("%s: violation %v, want %v", c.name, violation, c.violation)
		}
	}
	var none *RecoveryChecker
	none.Arrived(1, "A")
	none.Failed(1, 0, "A/", terms)
	none.Delivered(1, 0, "A/", terms)
	none.CheckSend(1, "m", "A/", "A", terms)
	none.Unsent("A/")
}

// Each case violates one invariant on replies, and only that one must be counted; the first case violates none.
func TestReplyChecker(t *testing.T) {
	m, other := Request{"m", 1}, Request{"m", 2}
	for _, c := range []struct {
		name Name
		do   func(c *ReplyChecker)
	}{
		{"", func(c *ReplyChecker) {
			c.Arrived(m)
			c.Stored(m)
			c.Confirming(m)
			c.Arrived(m) // once more, on another connection
			c.Answered(m, true)
			c.Answered(m, true)
			c.Arrived(Request{ID: "n"})
			c.Answered(Request{ID: "n"}, false)
			c.Ended(0)
		}},
		{AnsweredTwice, func(c *ReplyChecker) { c.Arrived(m); c.Answered(m, false); c.Answered(m, true) }},
		{ConfirmedUnwritten, func(c *ReplyChecker) { c.Arrived(m); c.Confirming(m); c.Answered(m, true) }},
		{ConfirmedUnwritten, func(c *ReplyChecker) { c.Stored(m); c.Arrived(m); c.Confirming(m); c.Answered(m, true) }},
		{ConfirmedUnwritten, func(c *ReplyChecker) { // another request with its ID was written
			c.Arrived(m)
			c.Arrived(other)
			c.Stored(m)
			c.Confirming(other)
			c.Answered(m, true)
			c.Answered(other, true)
		}},
		{EndedUnanswered, func(c *ReplyChecker) { c.Arrived(m); c.Ended(0) }},
		{EndedUnwritten, func(c *ReplyChecker) { c.Ended(1) }},
	} {
		counters := &Counters{}
		c.do(NewReplyChecker(counters))
		for _, name := range All {
			if n := counters.Count(name); (n > 0) != (name == c.name) {
				t.Errorf("violation of %q: %s counted %d times", c.name, name, n)
			}
		}
	}
	var none *ReplyChecker
	none.Arrived(m)
	none.Stored(m)
	none.Confirming(m)
	none.Answered(m, true)
	none.Ended(1)
}

// A strict Counters panics with the name of the invariant.
func TestStrictPanics(t *testing.T) {
	defer func() {
		if text, _ := recover().(string); !strings.Contains(text, string(SentWhileInFlight)) {
			t.Errorf("panic value %q does not name the invariant", text)
		}
	}()
	(&Counters{Strict: true}).Report(SentWhileInFlight, "m", "to %s", "A1")
}

// A nil Counters and a nil SendChecker do nothing.
func TestNilDoesNothing(t *testing.T) {
	var c *Counters
	c.Report(SentWhileInFlight, "m", "")
	var s *SendChecker
	s.Accepted("m", Rules{})
	s.CheckSend(1, "m", Target{})
	s.PushEnded(1, 1, "m", true, true)
	s.Finished("m")
	s.WaitTold("A/", 2)
	s.ListWaitEnded()
	s.EndpointListed(1, "A1", true)
	s.CheckRecovery(1, "m", "A/", 1, 1)
	s.Prune(1, func(string) bool { return true })
	if c.Count(SentWhileInFlight) != 0 {
		t.Error("nil Counters counted a violation")
	}
}

// Guards against a connection checker that detects nothing: a second call on a connection is a violation, unless the first one was
// not begun, and also after as many connections as fit into its memory.
func TestConnectionUsedTwice(t *testing.T) {
	counters := &Counters{}
	checker := NewConnectionChecker(counters)
	checker.CallSent(1, "m1")
	checker.NotSent(1)
	checker.CallSent(1, "m2")
	for connection := range uint64(recentConnections - 1) {
		checker.CallSent(connection+2, "m3")
	}
	if n := counters.Count(ConnectionUsedTwice); n != 0 {
		t.Errorf("%d violations without a second call", n)
	}
	checker.CallSent(1, "m4")
	if n := counters.Count(ConnectionUsedTwice); n != 1 {
		t.Errorf("%d violations after a second call, want 1", n)
	}
}
