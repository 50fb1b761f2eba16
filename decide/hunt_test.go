package decide_test

import (
	"orchiddrift/decide"
)

// A wait binds with whatever answer it stands, also one that tells nothing of the push: here all of a call were void, or
// the slots were taken.
func Example_waitInAnyAnswer() {
	for _, o := range []decide.Outcome{{Result: decide.NotAttempted, Final: true, Wait: 2}, {Result: decide.NotAttempted, NoSlot: true, Wait: 2}} {
		d := newDesk(2, 9, "A1")
		d.take("reading", "Aa")
		d.at(0)
		o.NotificationID, o.Endpoint = "Aa", "A1"
		d.m.HandleOutcome(d.now, o)
		d.take("reading", "Ab")
		d.at(1.9)
		d.at(2.1)
	}
	// Output:
	// 0.00  push Aa to A1
	// 2.10  push Ab to A1
	// 0.00  push Aa to A1
	// 2.10  push Aa to A1
}
