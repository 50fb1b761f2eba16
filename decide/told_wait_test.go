package decide_test

import (
	"orchiddrift/decide"
)

// A told wait applies whatever the rest of the answer says, also if the push was not attempted because the notifications of
// the call had their final answers, or because all slots were taken.
func Example_waitInAnyAnswer() {
	for _, outcome := range []decide.Outcome{
		{Result: decide.NotAttempted, Final: true, ToldWait: 2},
		{Result: decide.NotAttempted, NoSlot: true, ToldWait: 2},
	} {
		h := newHarness(2, 9, "A1")
		h.submit("reading", "Aa")
		h.runAt(0)
		outcome.NotificationID, outcome.Endpoint = "Aa", "A1"
		h.scheduler.HandleOutcome(h.now, outcome)
		h.submit("reading", "Ab")
		h.runAt(1.9)
		h.runAt(2.1)
	}
	// Output:
	// 0.00  push Aa to A1
	// 2.10  push Ab to A1
	// 0.00  push Aa to A1
	// 2.10  push Aa to A1
}
