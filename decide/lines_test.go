package decide_test

import (
	"fmt"
	"strings"

	"orchiddrift/decide"
)

// play lets all go whose turn comes, in steps of 10 ms; each push ends 50 ms later. It prints when they left.
func (d *desk) play(from, to float64, o decide.Outcome) {
	type flight struct {
		id string
		at float64
	}
	var out []flight
	var left []string
	for d.now = 100 + from; d.now < 100+to; d.now += 0.01 {
		for len(out) > 0 && out[0].at <= d.now-0.05 {
			d.ended("A", o, out[0].id)
			out = out[1:]
		}
		for range 20 {
			wait, id := d.m.NextTurn(d.now)
			if wait > 0 {
				break
			}
			if a := d.m.Place(d.now, d.hand[id]); a.Action == decide.Push {
				left = append(left, fmt.Sprintf("%.1f %s", d.now-100, a.NotificationID))
				out = append(out, flight{a.NotificationID, d.now})
			}
		}
	}
	fmt.Println(strings.Join(left, ", "))
}

// Found on a day of 312 dispatchers (calm+mass of dar-delivery): two refusals 1.8 s apart by a limit told as used up were
// taken for an outage, and lines of ordered messages stood for seven seconds before a destination that took others'. Two in
// a row may be of a limit; where it is told to be left, or from the third on, the destination may be shut.
func Example_exhaustedLimit() {
	for _, share := range []float64{0, 0.9} {
		d := newDesk(8, 40, "A")
		d.take("reading", "A1")
		d.play(0, 0.5, ok)
		d.take("reading", "A2")
		refused := decide.Outcome{Result: decide.Throttled, LimitReported: true, LimitLeft: share, Limit: 10, Wait: 1.5}
		d.play(0.5, 3.3, refused)
		d.take("reading", "A3", "A4", "A5")
		d.play(3.3, 8, ok)
	}
	// Output:
	// 0.0 A1
	// 0.5 A2, 2.2 A2
	// 3.8 A2, 4.3 A3, 4.8 A4, 5.3 A5
	// 0.0 A1
	// 0.5 A2, 2.2 A2
	// 5.1 A2, 5.1 A3, 5.1 A4, 5.1 A5
}

// Found there too: what waits for the message before it needs no push yet, only room, and was refused where its
// destination's queue was full. It is taken as long as a tenth of all room is left.
func Example_orderedKeyAdmission() {
	d := newDesk(8, 20, "B")
	d.take("order", "A0", "A1", "A2", "A3", "A4", "A5", "A6", "A7", "A8", "A9")
	d.take("order", "Ax")
	d.take("order", "A1a", "A1b", "A1c", "A1d", "A1e", "A1f", "A1g", "A1h", "A1i")
	// Output:
	// 0.00  throttle Ax
	// 0.00  throttle A1i
}

// After refusals the pace of a destination is parted by benefit: what is worth three times as much leaves sooner.
func Example_paceByBenefit() {
	for _, topic := range []string{"reading", "order"} {
		d := newDesk(8, 40, "A")
		d.take("reading", "A1")
		d.take("order", "A2")
		d.play(0, 0.5, decide.Outcome{Result: decide.Delivered, LimitReported: true, LimitLeft: 0.3, Limit: 4})
		d.take(topic, "A3")
		d.play(0.5, 0.6, decide.Outcome{Result: decide.Throttled, LimitReported: true, Limit: 4, Wait: 0.2})
		d.take(topic, "A4", "A5", "A6")
		d.play(0.6, 5, decide.Outcome{Result: decide.Delivered, LimitReported: true, LimitLeft: 0.3, Limit: 4})
	}
	// Output:
	// 0.0 A1, 0.0 A2
	// 0.5 A3
	// 1.4 A3, 2.3 A4, 3.1 A5, 3.9 A6
	// 0.0 A1, 0.0 A2
	// 0.5 A3
	// 1.2 A3, 1.8 A4, 2.3 A5, 2.9 A6
}

// A wait that was told after its push had ended binds the destination.
func Example_lateToldWait() {
	d := newDesk(8, 40, "A")
	d.take("reading", "A1")
	d.at(0)
	d.now += 4
	d.ended("A", late, "A1")
	d.m.HandleOutcome(d.now, decide.Outcome{Dest: "A", Endpoint: "A", Wait: 3})
	d.at(6.9)
	d.at(7.1)
	// Output:
	// 0.00  push A1 to A
	// 7.10  push A1 to A
}
