package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"reflect"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"

	"orchiddrift/lab/rules"
)

// File is the JSON file with the results of one run or several.
type File struct {
	Runs []*Result `json:"runs"`
}

// Write writes the file to a path.
func (f File) Write(path string) error {
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Read reads a file that Write has written. A file without runs is an error.
func Read(path string) (File, error) {
	var f File
	text, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("%s: %w: use a file written by \"lab run --json\"", path, err)
	}
	if len(f.Runs) == 0 {
		return f, fmt.Errorf("%s: contains no runs: use a file written by \"lab run --json\"", path)
	}
	return f, nil
}

// maxEvidenceShown is how many violations of a rule the table lists.
const maxEvidenceShown = 5

// WriteTable writes the result as a table of text.
func (r *Result) WriteTable(to io.Writer) {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	defer t.Flush()
	row := func(name, format string, args ...any) { fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	fmt.Fprintf(t, "%s (seed %d, simulated partners and clients, %.1f s)\n\n", r.Title, r.Seed, r.EndedAt)
	if r.Interrupted {
		row("interrupted", "the figures cover the run up to the interruption")
	}
	if r.VoidReason != "" {
		row("void", "%s", r.VoidReason)
	}
	totals, figures := r.Totals, r.Figures
	row("notifications", "%d planned, %d handed in, %d delivered (%d late), %d given up, %d handed back, %d unfinished",
		totals.Planned, totals.HandedIn, totals.Delivered, totals.Late, totals.GivenUp, totals.HandedBack, totals.Unfinished)
	row("hand-ins", "%d tries: %d accepted (%.0f/s), %d refused, %d unanswered; answer p99 %s",
		totals.Tries, totals.Accepted, figures.AcceptedRate, totals.Refused, totals.Unanswered, formatSeconds(figures.AnswerP99))
	row("benefit", "%.3f of the benefit planned", figures.Benefit)
	row("calls", "%d with %d pushes on %d connections; %d turned away, %d wasted; %.2f pushes per delivery",
		totals.Calls, totals.Pushes, totals.Connections, totals.Throttled, totals.Wasted, figures.PushesPerDelivered)
	row("hand-in to push", "p50 %s, p99 %s, p99.9 %s", formatSeconds(figures.PushP50), formatSeconds(figures.PushP99), formatSeconds(figures.PushP999))
	row("planned to delivered", "p50 %s, p99 %s", formatSeconds(figures.DeliveredP50), formatSeconds(figures.DeliveredP99))
	row("generator", "late by p50 %s, p99 %s, at most %s", formatSeconds(r.Lateness.P50), formatSeconds(r.Lateness.P99), formatSeconds(r.Lateness.Max))
	for i, u := range r.Dispatchers {
		row(fmt.Sprint("dispatcher ", i), "%.2f core seconds (%.0f us per accepted hand-in), %.1f MB (%.1f at rest), %d sockets with %.1f MB, all memory %.1f MB, %d descriptors, state directory %.0f KB",
			u.CPUSeconds, figures.CPUPerAccepted*1e6, float64(u.PeakBytes)/1e6, float64(u.IdleBytes)/1e6, u.PeakSockets, float64(u.PeakSocketBytes)/1e6,
			float64(u.PeakTotalBytes)/1e6, u.PeakDescriptors, float64(u.PeakDiskBytes)/1e3)
	}
	fmt.Fprintf(t, "\ntopic type\tplanned\tdelivered\tlate\tgiven up\tbenefit\tp50\tp99\tp99.9\n")
	for _, topic := range r.Topics {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.3f\t%s\t%s\t%s\n", topic.Name, topic.Planned, topic.Delivered, topic.Late, topic.GivenUp, topic.Benefit,
			formatSeconds(topic.P50), formatSeconds(topic.P99), formatSeconds(topic.P999))
	}
	fmt.Fprintln(t)
	for _, reason := range slices.Sorted(maps.Keys(r.ExcusedEnds)) {
		row("unanswered", "%d allowed: %s", r.ExcusedEnds[reason], reason)
	}
	if worst, ok := r.worstRecovery(); ok {
		row("returns", "%d; worst span %.2f of what is allowed: destination %d, back at %.3f, %d calls until %.3f, %d from dispatchers that had seen the outage",
			len(r.Recoveries), worst.Use(), worst.Dest, worst.ReturnedAt, worst.Calls, worst.At, worst.Aware)
	}
	count := map[string]int{}
	for _, v := range r.Violations {
		count[v.Rule]++
	}
	for _, rule := range rules.All {
		if count[rule] == 0 {
			row("rule "+rule, "kept")
			continue
		}
		row("rule "+rule, "BROKEN %d times", count[rule])
		shown := 0
		for _, v := range r.Violations {
			if v.Rule == rule && shown < maxEvidenceShown {
				shown++
				row("", "%s", v)
			}
		}
	}
	for _, line := range r.Overloads {
		row("overload", "%s", line)
	}
}

// worstRecovery returns the recovery that came nearest to an overload, and whether there was a return from an outage.
func (r *Result) worstRecovery() (worst rules.Recovery, ok bool) {
	for i, recovery := range r.Recoveries {
		if i == 0 || recovery.Use() > worst.Use() {
			worst, ok = recovery, true
		}
	}
	return worst, ok
}

// formatSeconds formats a duration in seconds with a unit that fits its size.
func formatSeconds(s float64) string {
	switch {
	case s < 0.001:
		return fmt.Sprintf("%.0f us", s*1e6)
	case s < 1:
		return fmt.Sprintf("%.1f ms", s*1e3)
	}
	return fmt.Sprintf("%.2f s", s)
}

// Difference compares one figure of a scenario between two sets of runs, A and B.
type Difference struct {
	Scenario    string  `json:"scenario"`
	RunsA       int     `json:"runs_a"`
	RunsB       int     `json:"runs_b"`
	Figure      string  `json:"figure"`
	MeanA       float64 `json:"a"` // over the repeats
	MeanB       float64 `json:"b"`
	NoiseA      float64 `json:"noise_a"` // standard deviation over the repeats
	NoiseB      float64 `json:"noise_b"`
	BeyondNoise bool    `json:"beyond_noise"` // the difference exceeds twice the larger noise; false if either side has a single run
}

// Compare returns the differences in all figures of the scenarios that both files contain.
func Compare(a, b File) []Difference {
	var list []Difference
	t := reflect.TypeFor[Figures]()
	for _, name := range a.scenarios() {
		runsA, runsB := a.forScenario(name), b.forScenario(name)
		for i := range t.NumField() {
			valuesA, valuesB := figureValues(runsA, i), figureValues(runsB, i)
			if len(valuesB) == 0 {
				continue
			}
			d := Difference{Scenario: name, Figure: t.Field(i).Tag.Get("json"), RunsA: len(valuesA), RunsB: len(valuesB)}
			d.MeanA, d.NoiseA = stat.PopMeanStdDev(valuesA, nil)
			d.MeanB, d.NoiseB = stat.PopMeanStdDev(valuesB, nil)
			d.BeyondNoise = len(valuesA) > 1 && len(valuesB) > 1 && max(d.MeanB-d.MeanA, d.MeanA-d.MeanB) > 2*max(d.NoiseA, d.NoiseB)
			list = append(list, d)
		}
	}
	return list
}

// scenarios returns the names of the scenarios in the file, in order of their first run.
func (f File) scenarios() []string {
	var list []string
	for _, r := range f.Runs {
		if !slices.Contains(list, r.Scenario) {
			list = append(list, r.Scenario)
		}
	}
	return list
}

// forScenario returns the runs of one scenario.
func (f File) forScenario(name string) File {
	var matching File
	for _, r := range f.Runs {
		if r.Scenario == name {
			matching.Runs = append(matching.Runs, r)
		}
	}
	return matching
}

// figureValues returns the value of a figure, by its field index, in each run of a file.
func figureValues(f File, field int) []float64 {
	var list []float64
	for _, r := range f.Runs {
		list = append(list, reflect.ValueOf(r.Figures).Field(field).Float())
	}
	return list
}

// WriteComparison writes the comparison of two files as a table of text.
func WriteComparison(to io.Writer, nameA, nameB string, a, b File) {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	defer t.Flush()
	list := Compare(a, b)
	if len(list) == 0 {
		fmt.Fprintln(t, "the two files have no scenario in common")
	}
	for i, d := range list {
		if i == 0 || d.Scenario != list[i-1].Scenario {
			fmt.Fprintf(t, "%s\t%s (%d runs)\tnoise\t%s (%d runs)\tnoise\tdifference\t\n", d.Scenario, nameA, d.RunsA, nameB, d.RunsB)
		}
		verdict := "within the noise"
		switch {
		case d.RunsA == 1 || d.RunsB == 1:
			verdict = "noise unknown: use --repeat"
		case d.BeyondNoise:
			verdict = "beyond the noise"
		}
		fmt.Fprintf(t, "%s\t%.4g\t%.2g\t%.4g\t%.2g\t%+.3g\t%s\n", d.Figure, d.MeanA, d.NoiseA, d.MeanB, d.NoiseB, d.MeanB-d.MeanA, verdict)
	}
	fmt.Fprintf(t, "rules broken\t%d\t\t%d\t\t%+d\t\n", countViolations(a), countViolations(b), countViolations(b)-countViolations(a))
}

// countViolations returns the number of rule violations in all runs of a file.
func countViolations(f File) int {
	n := 0
	for _, r := range f.Runs {
		n += len(r.Violations)
	}
	return n
}
