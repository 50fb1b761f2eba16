package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"orchiddrift/lab"
	"orchiddrift/lab/fleet"
	"orchiddrift/lab/planted"
	"orchiddrift/lab/report"
	"orchiddrift/lab/rules"
	"orchiddrift/lab/scenario"
)

// newLabCommand returns the command of the laboratory.
func newLabCommand() *cobra.Command {
	command := &cobra.Command{Use: "lab", Short: "Run scenarios against real dispatchers on loopback, and check the rules",
		Long: `Run scenarios against real dispatchers on loopback, and check the six rules.

Partners, the platform's agent and clients are simulated. Exit codes: 0 all rules kept, 1 the run failed or was
interrupted, 2 usage, 3 a rule was violated.`}
	command.AddCommand(newLabRunCommand(), newLabListCommand(), newLabShowCommand(), newLabReportCommand(), newLabSoakCommand(),
		newSoakChildCommand(), newPlantedCommand())
	return command
}

// labRunFlags holds the flags of "lab run". An empty path or a seed, length, rate or number of connections of 0 means that
// the flag is not given.
type labRunFlags struct {
	seed                  uint64
	repeat                int // number of runs of each scenario
	htmlPath, jsonPath    string
	keepDir, stateDir     string
	plantedRule           string // rule that the dispatcher violates on purpose, or "none" for a real dispatcher
	direct                bool   // submit to the partners without a dispatcher
	quiet                 bool
	lengthSeconds, rate   float64 // rate is in notifications per second
	closedLoopConnections int
	profile               bool
	program               string // the program that runs a dispatcher; "" for this one
}

func newLabRunCommand() *cobra.Command {
	f := &labRunFlags{}
	command := &cobra.Command{Use: "run [SCENARIO...]", Short: "Run scenarios: shipped ones by name, or files; \"all\" for all shipped",
		ValidArgs: scenario.Shipped(),
		RunE: func(cmd *cobra.Command, args []string) error {
			switch {
			case len(args) == 0:
				args = []string{scenario.Default}
			case len(args) == 1 && args[0] == "all":
				args = scenario.Shipped()
			}
			return f.run(cmd, args)
		}}
	flags := command.Flags()
	flags.Uint64Var(&f.seed, "seed", 0, "seed in place of the scenario's")
	flags.IntVar(&f.repeat, "repeat", 1, "number of runs, each with the next seed")
	flags.Float64Var(&f.lengthSeconds, "length", 0, "length in seconds in place of the scenario's")
	flags.Float64Var(&f.rate, "rate", 0, "load in notifications per second in place of the scenario's")
	flags.IntVar(&f.closedLoopConnections, "closed", 0, "number of connections of a closed loop that replaces the planned arrivals")
	flags.StringVar(&f.htmlPath, "html", "report.html", "file for the report of the last run; \"\" for none")
	flags.StringVar(&f.jsonPath, "json", "", "file for the figures as JSON")
	flags.StringVar(&f.keepDir, "keep", "", "folder in which to keep configurations, logs and the journal of observations")
	flags.StringVar(&f.stateDir, "state", "", "folder in which to create the dispatchers' state folders")
	flags.BoolVar(&f.direct, "straight", false, "submit directly to the partners, to measure without a dispatcher")
	flags.StringVar(&f.plantedRule, "planted", "none", "replace the dispatcher by one that violates this rule on purpose; \"\" for one that violates none")
	flags.StringVar(&f.program, "program", "", "program that runs a dispatcher, in place of this one: bin/orchiddriftd as it is deployed")
	flags.BoolVar(&f.profile, "profile", false, "with --keep: write a CPU profile of each dispatcher beside its log")
	flags.BoolVarP(&f.quiet, "quiet", "q", false, "print no progress")
	return command
}

// run runs the scenarios one after another. It writes the results after each run, so that they are kept if a later run fails.
func (f *labRunFlags) run(cmd *cobra.Command, names []string) error {
	if f.repeat < 1 || f.repeat > 100 {
		return fmt.Errorf("--repeat cannot be %d: give 1 to 100", f.repeat)
	}
	var scenarios []*scenario.Scenario // all are read first, so that an invalid one is reported before any run
	for _, name := range names {
		for i := range f.repeat {
			s, err := f.openScenario(name, uint64(i))
			if err != nil {
				return asFailure(err)
			}
			scenarios = append(scenarios, s)
		}
	}
	if f.profile && (f.keepDir == "" || f.plantedRule != "none") {
		return errors.New("--profile needs --keep, and a real dispatcher")
	}
	executable, err := os.Executable()
	if err != nil {
		return asFailure(err)
	}
	command := fleet.Command{Path: executable, Args: []string{"run"}, CPUProfile: f.profile}
	if f.program != "" {
		if f.profile || f.plantedRule != "none" {
			return errors.New("--program goes with neither --profile nor --planted")
		}
		command = fleet.Command{Path: f.program}
	}
	if f.plantedRule != "none" {
		command.Args = []string{"lab", "planted", f.plantedRule}
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var results report.File
	for _, s := range scenarios {
		keepDir := f.keepDir
		if keepDir != "" && len(scenarios) > 1 {
			keepDir = filepath.Join(keepDir, fmt.Sprintf("%s-%d", s.Name, s.Seed))
		}
		result, _, err := lab.Run(ctx, s, lab.Options{Command: command, Direct: f.direct, StateDir: f.stateDir, KeepDir: keepDir,
			Progress: f.progress(cmd.ErrOrStderr(), s)})
		if err != nil {
			return asFailure(err)
		}
		result.Version = version()
		results.Runs = append(results.Runs, result)
		result.WriteTable(cmd.OutOrStdout())
		if err := f.writeFiles(cmd.ErrOrStderr(), results, result); err != nil {
			return asFailure(err)
		}
		if result.Interrupted {
			break
		}
	}
	return verdict(results)
}

// openScenario reads a scenario and applies the flags that override its values. seedOffset is added to its seed.
func (f *labRunFlags) openScenario(name string, seedOffset uint64) (*scenario.Scenario, error) {
	s, err := scenario.Open(name)
	if err != nil {
		return nil, err
	}
	if f.seed > 0 {
		s.Seed = f.seed
	}
	s.Seed += seedOffset
	return s, s.Override(f.lengthSeconds, f.rate, f.closedLoopConnections)
}

// progress prints the scenario's title and returns a function that prints each progress report. With --quiet it prints
// nothing and returns nil.
func (f *labRunFlags) progress(output io.Writer, s *scenario.Scenario) func(lab.Progress) {
	if f.quiet {
		return nil
	}
	fmt.Fprintf(output, "%s: %s (seed %d, %.0f s)\n", s.Name, s.Title, s.Seed, s.Length)
	return func(p lab.Progress) {
		phase := "load"
		if p.LoadDone {
			phase = "waiting for accepted notifications"
		}
		fmt.Fprintf(output, "  %5.1f s  %d of %d submitted, %d calls, %d notices  (%s)\n", p.At, p.HandedIn, p.Planned, p.Calls, p.Notices, phase)
	}
}

// writeFiles writes all results to the JSON file and the last result to the HTML file, if the flags name these files.
func (f *labRunFlags) writeFiles(output io.Writer, results report.File, result *report.Result) error {
	if f.jsonPath != "" {
		if err := results.Write(f.jsonPath); err != nil {
			return err
		}
	}
	if f.htmlPath == "" {
		return nil
	}
	out, err := os.Create(f.htmlPath)
	if err != nil {
		return err
	}
	fmt.Fprintln(output, "report:", f.htmlPath)
	return errors.Join(result.WriteHTML(out), out.Close())
}

// verdict returns an error, with its exit code, if a rule was violated in any run, the last run was interrupted or a run is
// void.
func verdict(results report.File) error {
	violations := 0
	for _, r := range results.Runs {
		violations += len(r.Violations)
	}
	last := results.Runs[len(results.Runs)-1]
	voidRun := slices.IndexFunc(results.Runs, func(r *report.Result) bool { return r.VoidReason != "" })
	switch {
	case violations > 0:
		return exitError{exitRuleViolated, fmt.Errorf("%d rule violations: see the evidence in the table", violations)}
	case last.Interrupted:
		return exitError{exitFailure, errors.New("interrupted: the results cover only the part that was run")}
	case voidRun >= 0:
		return exitError{exitFailure, fmt.Errorf("void: %s: %s", results.Runs[voidRun].Scenario, results.Runs[voidRun].VoidReason)}
	}
	return nil
}

func newLabListCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the shipped scenarios", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, name := range scenario.Shipped() {
				s, err := scenario.Open(name)
				if err != nil {
					return asFailure(err)
				}
				fmt.Fprintf(table, "%s\t%.0f s\t%s\n", name, s.Length, s.About)
			}
			return table.Flush()
		}}
}

func newLabShowCommand() *cobra.Command {
	return &cobra.Command{Use: "show SCENARIO", Short: "Print a scenario's text, after checking it", Args: cobra.ExactArgs(1),
		ValidArgs: scenario.Shipped(),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := scenario.Open(args[0]); err != nil {
				return asFailure(err)
			}
			text, err := scenario.Text(args[0])
			if err != nil {
				return asFailure(err)
			}
			_, err = cmd.OutOrStdout().Write(text)
			return asFailure(err)
		}}
}

func newLabReportCommand() *cobra.Command {
	var htmlPath string
	command := &cobra.Command{Use: "report A.json [B.json]", Short: "Show the figures of runs, or two sets of runs side by side",
		Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := report.Read(args[0])
			if err != nil {
				return asFailure(err)
			}
			if len(args) == 2 {
				b, err := report.Read(args[1])
				if err != nil {
					return asFailure(err)
				}
				report.WriteComparison(cmd.OutOrStdout(), args[0], args[1], a, b)
				return nil
			}
			for _, r := range a.Runs {
				r.WriteTable(cmd.OutOrStdout())
			}
			if htmlPath == "" {
				return nil
			}
			out, err := os.Create(htmlPath)
			if err != nil {
				return asFailure(err)
			}
			return asFailure(errors.Join(a.Runs[len(a.Runs)-1].WriteHTML(out), out.Close()))
		}}
	command.Flags().StringVar(&htmlPath, "html", "", "write the last run's report here")
	return command
}

// newPlantedCommand returns the command that "lab run --planted" starts in place of a dispatcher.
func newPlantedCommand() *cobra.Command {
	return &cobra.Command{Use: "planted RULE", Short: "Run a dispatcher that violates a rule on purpose", Hidden: true, Args: cobra.ExactArgs(1),
		ValidArgs: rules.All,
		RunE:      func(_ *cobra.Command, args []string) error { return asFailure(planted.Run(os.Getenv, args[0])) }}
}
