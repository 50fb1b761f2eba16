package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"orchiddrift/directory"
	"orchiddrift/simwire"
)

// newInstanceLine starts an instance with valid settings and one that is not known.
const newInstanceLine = "NEW_INSTANCE 5 azs=dc balancers=2 classes.count=1 classes.0.name=reading classes.0.repeat=free " +
	"classes.0.group=all classes.0.promise-ms=2000.0 classes.0.deadline-ms=9000.0 classes.0.importance=1.0 " +
	"classes.0.late-worth=0.4 family-info.batch-by-kind=1 family-info.max-calls=4 kinds=plain " +
	"guarantees.cold-from=0.2 guarantees.cold-ms=9000.0 guarantees.fall-ms=1500.0 guarantees.overload-factor=2.0 " +
	"membership-mode=push policy-limits.max-attempts=8 policy-limits.most-held=50 tick-ms=5.0 weight-kind=nominal " +
	"some.new-key=7"

// runHost runs a host on the input lines and prints its replies and its error.
func runHost(lines ...string) {
	out := bufio.NewWriter(os.Stdout)
	h := &host{in: simwire.NewReader(strings.NewReader(strings.Join(lines, "\n"))), out: out,
		lists: map[int64][]directory.Endpoint{}, instances: map[int64]*instance{}}
	err := h.run()
	out.Flush()
	if err != nil {
		fmt.Println(err)
	}
}

// An instance starts, applies lists that are defined in the same slot, pushes a notification and closes the connection once it
// is idle. A withdrawal after the final answer has no effect. A notification for a destination without endpoints is throttled.
func Example_lifecycle() {
	runHost("ROUND 100.0 1", "EOB",
		"ROUND 105.0 2", "TO 3", newInstanceLine, "DEFINE_LIST 0 1", "M e1 dc plain 9 ready 10.0 -", "UPDATE stale_copy 0 1",
		"DEFINE_LIST 0 1", "M e1 dc plain 9 draining 10.0 -", "UPDATE patch 0 2",
		"DEFINE_LIST 0 1", "M e2 dc plain 9 ready 10.0 -", "UPDATE patch 0 3",
		"REQ n1 reading - - 9000.0 - 9 1", "UPDATE broken - -", "EOB",
		"ROUND 300.0 3", "TO 3", "RESPONSE n1 1 1 - e2 0 180.5 x0:0.4,x1:1.25", "CLIENT_GONE n1", "ELAPSED wake", "EOB",
		"ROUND 5300.0 4", "TO 3", "ELAPSED wake", "EOB",
		"ROUND 5305.0 5", "TO 3", "REQ n2 reading - - 9000.0 - 8 1", "DOWN", newInstanceLine, "EOB")
	// Output:
	// END 1
	// BY 3
	// HAND_OFF n1 4000.000 e2
	// END 2
	// BY 3
	// AFTER 5000.000 wake
	// END 3
	// BY 3
	// CLOSE e2
	// END 4
	// BY 3
	// NOT_NOW n2 1000.000
	// END 5
}

// Each kind of invalid input makes the host stop with a one-line error.
func Example_invalidInput() {
	runHost("EVENT 1")
	runHost("ROUND x 1")
	runHost("ROUND 1 1", "TO 1", "REQ n1", "EOB")
	runHost("ROUND 1 1", "TO 1", "CLIENT_GONE n1", "EOB")
	runHost("ROUND 1 1", "WHAT 1", "EOB")
	runHost("ROUND 1 1", "TO 1", newInstanceLine, "UPDATE whole 4 1", "EOB")
	runHost("ROUND 1 1", "TO 1", newInstanceLine, "REQ n1 letter - - 9000.0 - 9 1", "EOB")
	runHost("ROUND 1 1", "TO 1", newInstanceLine, "RESPONSE n1 1 9 - e1 0 1.0 -", "EOB")
	runHost("ROUND 1 1", "TO 1", strings.Replace(newInstanceLine, "tick-ms=5.0", "tick-ms=soon", 1), "EOB")
	runHost("ROUND 1 1", "TO 1", strings.Replace(newInstanceLine, "tick-ms=5.0 ", "", 1), "EOB")
	runHost("ROUND 1 1", "TO 1")
	// Output:
	// line 1: got EVENT, want ROUND
	// line 1: ROUND: field at-time-ms cannot be "x"
	// line 3: REQ has 1 values, not 8
	// line 3: CLIENT_GONE for instance 1, which is not running
	// line 2: unknown event "WHAT"
	// line 4: UPDATE: field slot cannot be "4"
	// line 4: REQ: field grade cannot be "letter"
	// line 4: RESPONSE: field code cannot be "9"
	// line 3: NEW_INSTANCE: field tick-ms cannot be "soon"
	// line 3: NEW_INSTANCE: field tick-ms cannot be ""
	// input ends within a batch
}

// A panic in the scheduler is written as a CRASH action.
func Example_panic() {
	h := &host{out: bufio.NewWriter(os.Stdout), actionInstance: noInstance}
	h.reportPanics(3, func() { panic("no such turn") })
	h.out.Flush()
	// Output:
	// BY 3
	// CRASH no such turn
}
