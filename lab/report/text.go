package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"

	"orchiddrift/lab/rules"
)

// File is what a run, or its repeats, leave as JSON.
type File struct {
	Runs []*Result `json:"runs"`
}

// Write writes it.
func (f File) Write(path string) error {
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Read reads such a file.
func Read(path string) (File, error) {
	var f File
	text, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("%s: %w: give a file that \"lab run --json\" wrote", path, err)
	}
	if len(f.Runs) == 0 {
		return f, fmt.Errorf("%s: holds no run: give a file that \"lab run --json\" wrote", path)
	}
	return f, nil
}

// evidenceShown is how many violations of a rule the table names.
const evidenceShown = 5

// WriteTable writes a result for a person.
func (r *Result) WriteTable(to io.Writer) {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	defer t.Flush()
	row := func(name, format string, args ...any) { fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	fmt.Fprintf(t, "%s (seed %d, simulated partners and clients, %.1f s)\n\n", r.Title, r.Seed, r.EndedAt)
	if r.Interrupted {
		row("interrupted", "the figures are of the part that was played")
	}
	if r.VoidReason != "" {
		row("void", "%s", r.VoidReason)
	}
	n, f := r.Totals, r.Figures
	row("notifications", "%d planned, %d handed in, %d delivered (%d late), %d given up, %d handed back, %d unfinished",
		n.Planned, n.HandedIn, n.Delivered, n.Late, n.GivenUp, n.HandedBack, n.Unfinished)
	row("hand-ins", "%d tries: %d taken on (%.0f/s), %d refused, %d unanswered; answer p99 %s",
		n.Tries, n.Accepted, f.AcceptedRate, n.Refused, n.Unanswered, span(f.AnswerP99))
	row("benefit", "%.3f of what was asked for", f.Benefit)
	row("calls", "%d with %d pushes on %d connections; %d turned away, %d wasted; %.2f pushes for each delivered",
		n.Calls, n.Pushes, n.Connections, n.Throttled, n.Wasted, f.PushesPerDelivered)
	row("hand-in to push", "p50 %s, p99 %s, p99.9 %s", span(f.PushP50), span(f.PushP99), span(f.PushP999))
	row("planned to delivered", "p50 %s, p99 %s", span(f.DeliveredP50), span(f.DeliveredP99))
	row("generator", "late by p50 %s, p99 %s, at most %s", span(r.Lateness.P50), span(r.Lateness.P99), span(r.Lateness.Max))
	for i, u := range r.Dispatchers {
		row(fmt.Sprint("dispatcher ", i), "%.2f core seconds (%.0f us for each taken on), %.1f MB (%.1f at rest), %d descriptors, folder %.0f KB",
			u.CPUSeconds, f.CPUPerAccepted*1e6, float64(u.PeakBytes)/1e6, float64(u.IdleBytes)/1e6, u.PeakDescriptors, float64(u.PeakDiskBytes)/1e3)
	}
	fmt.Fprintf(t, "\ntopic type\tplanned\tdelivered\tlate\tgiven up\tbenefit\tp50\tp99\tp99.9\n")
	for _, x := range r.Topics {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.3f\t%s\t%s\t%s\n", x.Name, x.Planned, x.Delivered, x.Late, x.GivenUp, x.Benefit,
			span(x.P50), span(x.P99), span(x.P999))
	}
	fmt.Fprintln(t)
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
			if v.Rule == rule && shown < evidenceShown {
				shown++
				row("", "%s", v)
			}
		}
	}
}

// span writes seconds as people read them.
func span(s float64) string {
	switch {
	case s < 0.001:
		return fmt.Sprintf("%.0f us", s*1e6)
	case s < 1:
		return fmt.Sprintf("%.1f ms", s*1e3)
	}
	return fmt.Sprintf("%.2f s", s)
}

// Difference is one figure of two sets of runs.
type Difference struct {
	Scenario    string  `json:"scenario"`
	RunsA       int     `json:"runs_a"`
	RunsB       int     `json:"runs_b"`
	Figure      string  `json:"figure"`
	MeanA       float64 `json:"a"`
	MeanB       float64 `json:"b"`
	NoiseA      float64 `json:"noise_a"` // standard deviation over the repeats
	NoiseB      float64 `json:"noise_b"`
	BeyondNoise bool    `json:"beyond_noise"` // the difference is more than twice the larger of them; never of single runs
}

// Compare sets the figures of two files beside each other, those of each scenario that both played.
func Compare(a, b File) []Difference {
	var list []Difference
	t := reflect.TypeFor[Figures]()
	for _, name := range a.scenarios() {
		of, to := a.of(name), b.of(name)
		for i := range t.NumField() {
			x, y := values(of, i), values(to, i)
			if len(y) == 0 {
				continue
			}
			d := Difference{Scenario: name, Figure: t.Field(i).Tag.Get("json"), RunsA: len(x), RunsB: len(y)}
			d.MeanA, d.NoiseA = stat.PopMeanStdDev(x, nil)
			d.MeanB, d.NoiseB = stat.PopMeanStdDev(y, nil)
			d.BeyondNoise = len(x) > 1 && len(y) > 1 && max(d.MeanB-d.MeanA, d.MeanA-d.MeanB) > 2*max(d.NoiseA, d.NoiseB)
			list = append(list, d)
		}
	}
	return list
}

// scenarios lists those played, in their order.
func (f File) scenarios() []string {
	var list []string
	for _, r := range f.Runs {
		if !slices.Contains(list, r.Scenario) {
			list = append(list, r.Scenario)
		}
	}
	return list
}

// of is the runs of one scenario.
func (f File) of(name string) File {
	var of File
	for _, r := range f.Runs {
		if r.Scenario == name {
			of.Runs = append(of.Runs, r)
		}
	}
	return of
}

func values(f File, field int) []float64 {
	var list []float64
	for _, r := range f.Runs {
		list = append(list, reflect.ValueOf(r.Figures).Field(field).Float())
	}
	return list
}

// WriteComparison writes a comparison for a person.
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
			verdict = "noise not known: use --repeat"
		case d.BeyondNoise:
			verdict = "beyond the noise"
		}
		fmt.Fprintf(t, "%s\t%.4g\t%.2g\t%.4g\t%.2g\t%+.3g\t%s\n", d.Figure, d.MeanA, d.NoiseA, d.MeanB, d.NoiseB, d.MeanB-d.MeanA, verdict)
	}
	fmt.Fprintf(t, "rules broken\t%d\t\t%d\t\t%+d\t\n", broken(a), broken(b), broken(b)-broken(a))
}

func broken(f File) int {
	n := 0
	for _, r := range f.Runs {
		n += len(r.Violations)
	}
	return n
}
