package scenario_test

import (
	"fmt"

	"orchiddrift/lab/scenario"
)

// All errors of a scenario are reported at once, each with the file and, where the text gives one, the line.
func Example_errors() {
	for _, text := range []string{
		"lenght = 3\n[load]\nrat = 5\n[[topics]]\nname = \"a\"\nrepeat = \"once-only\"\nobjektive = 2\n",
		"length = \"long\"\n",
		"length =\n",
		"extends = \"clam\"\n",
		"length = 0.1\n[[topics]]\nname = \"a\"\nrepeat = \"sometimes\"\nobjective = 2.0\nttl = 1.0\n" +
			"[[kinds]]\nname = \"k\"\nlimit = \"windows\"\n[[destinations]]\ncount = 2\nkind = \"q\"\n" +
			"[[troubles]]\nkind = \"hnag\"\nat = 99.0\n[[troubles]]\nkind = \"refuse\"\ndestinations = [2]\n",
		"extends = \"saturate\"\n[[troubles]]\nkind = \"refuse\"\npick = \"largest\"\n",
	} {
		_, err := scenario.Parse("x.toml", []byte(text))
		fmt.Println(err)
	}
	_, err := scenario.Open("outtage")
	fmt.Println(err)
	// Output:
	// x.toml:1: unknown key lenght: did you mean length?
	// x.toml:3: unknown key load.rat: did you mean rate?
	// x.toml:7: unknown key topics.objektive: did you mean objective?
	// x.toml:1:10: cannot decode TOML string into struct field scenario.Scenario.Length of type float64
	// x.toml:1:9: unexpected character U+000A at start of value
	// x.toml: extends: unknown shipped scenario "clam": did you mean "calm"?
	// x.toml: length: cannot be 0.1: give 0.5 to 600
	// x.toml: topics[0].repeat: cannot be "sometimes": did you mean "repeatable"?
	// x.toml: topics[0].ttl: cannot be 1: give 2 to 600
	// x.toml: kinds[0].limit: cannot be "windows": did you mean "window"?
	// x.toml: destinations[0].kind: unknown kind "q": add it under [[kinds]]
	// x.toml: troubles[0].kind: cannot be "hnag": did you mean "hang"?
	// x.toml: troubles[0].at: cannot be 99: give 0 to 0.1
	// x.toml: troubles[0].pick: cannot be "": did you mean "all"?
	// x.toml: troubles[1].destinations: there is no destination 2: they are numbered from 0 to 1
	// x.toml: troubles[0].pick: cannot be used with refuse where destinations share listeners: list destinations that do not
	// no scenario "outtage": did you mean "outage"? "lab list" names all
}

// The same scenario and seed give the same load plan, and another seed gives another plan. Drained endpoints are replaced.
func Example_world() {
	s, err := scenario.Open("drains")
	if err != nil {
		fmt.Println(err)
		return
	}
	plan := func(seed uint64) []scenario.Arrival {
		t := *s
		t.Seed = seed
		return scenario.NewWorld(&t).Arrivals()
	}
	a, b, c := plan(1), plan(1), plan(2)
	same := len(a) == len(b)
	for i := range a {
		same = same && a[i] == b[i]
	}
	fmt.Println(same, len(a) == len(c) && a[0] == c[0], len(a) > 800 && len(a) < 1150)
	w := scenario.NewWorld(s)
	for _, e := range w.Partners[0].Endpoints {
		fmt.Printf("%s number %d, added %.1f, drains %.1f, removed %.1f\n", e.ID, e.Number, e.AddedAt, e.DrainsAt, e.RemovedAt)
	}
	// Output:
	// true false true
	// e0-0 number 0, added 0.0, drains 1.5, removed 3.5
	// e0-1 number 1, added 0.0, drains 1.5, removed 3.5
	// e0-2 number 0, added 1.5, drains 0.0, removed 0.0
	// e0-3 number 1, added 1.5, drains 0.0, removed 0.0
}

// Every shipped scenario is valid.
func Example_shipped() {
	for _, name := range scenario.Shipped() {
		if _, err := scenario.Open(name); err != nil {
			fmt.Println(err)
		}
	}
	_, err := scenario.Open(scenario.Default)
	fmt.Println(len(scenario.Shipped()) >= 10, err)
	// Output: true <nil>
}

// After an outage the capacity of a destination grows from its initial share to 1.
func Example_capacityShare() {
	s, _ := scenario.Open("outage")
	w := scenario.NewWorld(s)
	for _, at := range []float64{1, 3, 4.5, 6.5, 8.5, 10} {
		fmt.Printf("%.1f: outage %v, capacity share %.3f\n", at, w.InOutage(0, at), w.CapacityShare(0, at))
	}
	// Output:
	// 1.0: outage false, capacity share 1.000
	// 3.0: outage true, capacity share 0.250
	// 4.5: outage false, capacity share 0.250
	// 6.5: outage false, capacity share 0.625
	// 8.5: outage false, capacity share 1.000
	// 10.0: outage false, capacity share 1.000
}
