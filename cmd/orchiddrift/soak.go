package main

import (
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"orchiddrift/dispatcher"
	"orchiddrift/lab/fleet"
	"orchiddrift/lab/soak"
)

// labSoakFlags holds the flags of "lab soak".
type labSoakFlags struct {
	firstSeed     uint64
	seedCount     int
	loadDuration  time.Duration // for each seed
	keepDir       string        // "" to keep nothing
	stepClocks    bool          // step wall clocks between processes
	debugLog      bool          // dispatchers log at debug level
	printTroubles bool
}

func newLabSoakCommand() *cobra.Command {
	f := &labSoakFlags{}
	command := &cobra.Command{Use: "soak", Short: "Run random overlapping troubles against 10 to 40 dispatchers on machines that fail",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) }}
	flags := command.Flags()
	flags.Uint64Var(&f.firstSeed, "seed", 1, "the first seed")
	flags.IntVar(&f.seedCount, "seeds", 1, "number of seeds, run one after another")
	flags.DurationVar(&f.loadDuration, "time", 15*time.Second, "duration of the load for each seed")
	flags.StringVar(&f.keepDir, "keep", "", "folder in which to keep the observations of each seed")
	flags.BoolVar(&f.stepClocks, "steps", true, "step wall clocks between processes")
	flags.BoolVar(&f.debugLog, "debug", false, "let dispatchers log at debug level")
	flags.BoolVarP(&f.printTroubles, "detail", "v", false, "print each seed's troubles")
	return command
}

// newSoakChildCommand returns the command that "lab soak" starts for each dispatcher. It runs the dispatcher with
// injected faults.
func newSoakChildCommand() *cobra.Command {
	debugLog := false
	command := &cobra.Command{Use: "soak-child", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		logOptions := dispatcher.LogOptions{Output: os.Stderr, Level: zerolog.InfoLevel}
		if debugLog {
			logOptions.Level = zerolog.DebugLevel
		}
		return asFailure(soak.RunFaultyDispatcher(os.Getenv, logOptions))
	}}
	command.Flags().BoolVar(&debugLog, "debug", false, "log at debug level")
	return command
}

// run runs the seeds one after another and prints the result of each. For a seed with findings it prints the command that
// repeats it. A seed with findings counts as void if the machine was overloaded.
func (f *labSoakFlags) run(cmd *cobra.Command) error {
	const minDuration, maxDuration, maxSeeds = 2 * time.Second, 10 * time.Minute, 10_000
	if f.loadDuration < minDuration || f.loadDuration > maxDuration {
		return fmt.Errorf("--time cannot be %v: give %v to %v", f.loadDuration, minDuration, maxDuration)
	}
	if f.seedCount < 1 || f.seedCount > maxSeeds {
		return fmt.Errorf("--seeds cannot be %d: give 1 to %d", f.seedCount, maxSeeds)
	}
	executable, err := os.Executable()
	if err != nil {
		return asFailure(err)
	}
	command := fleet.Command{Path: executable, Args: []string{"lab", "soak-child"}}
	if f.debugLog {
		command.Args = append(command.Args, "--debug")
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	out, failedSeeds, voidSeeds, overlaps := cmd.OutOrStdout(), 0, 0, soak.Overlaps{}
	for seed := f.firstSeed; seed < f.firstSeed+uint64(f.seedCount) && ctx.Err() == nil; seed++ {
		keepDir := f.keepDir
		if keepDir != "" {
			keepDir = filepath.Join(keepDir, fmt.Sprint("seed-", seed))
		}
		result, err := soak.Run(ctx, seed, f.loadDuration.Seconds(), soak.Options{Command: command, KeepDir: keepDir, OffsetClocks: f.stepClocks})
		if err != nil {
			return asFailure(err)
		}
		if ctx.Err() != nil {
			break
		}
		overlaps.Add(result.Overlaps)
		fmt.Fprintf(out, "seed %d: %d dispatchers, %d endpoints, crowded %v, %d troubles, %d misbehaving clients, %d accepted, %d delivered, %d findings\n",
			seed, result.DispatcherCount, result.EndpointCount, result.HasFloods, len(result.Troubles), result.CheckedVisits, result.Totals.Accepted, result.Totals.Delivered, len(result.Findings))
		for _, recovery := range result.Recoveries {
			if recovery.Calls > 0 {
				fmt.Fprintf(out, "   return of destination %d at %.3f: worst span %.2f of what is allowed (%d calls, %d aware)\n", recovery.Dest,
					recovery.ReturnedAt, recovery.Use(), recovery.Calls, recovery.Aware)
			}
		}
		for _, reason := range slices.Sorted(maps.Keys(result.ExcusedEnds)) {
			fmt.Fprintf(out, "   ended unanswered, allowed: %d %s\n", result.ExcusedEnds[reason], reason)
		}
		if f.printTroubles {
			for _, trouble := range result.Troubles {
				fmt.Fprintln(out, "   ", trouble)
			}
		}
		if len(result.Findings) == 0 {
			continue
		}
		if len(result.UnplannedStalls) > 0 {
			voidSeeds++
			fmt.Fprintln(out, "   void, the machine was overloaded:", strings.Join(result.UnplannedStalls, "; "))
		} else {
			failedSeeds++
		}
		for _, finding := range result.Findings {
			fmt.Fprintln(out, "  ", finding)
		}
		for _, line := range result.Overloads {
			fmt.Fprintln(out, "   overload:", line)
		}
		fmt.Fprintf(out, "   again: orchiddrift lab soak --seed %d --time %v --steps=%v --keep FOLDER --debug -v\n", seed, f.loadDuration, f.stepClocks)
	}
	if ctx.Err() != nil {
		return asFailure(ctx.Err())
	}
	fmt.Fprintf(out, "troubles that overlapped: %v\n", overlaps)
	fmt.Fprintf(out, "never overlapped: %s\n", strings.Join(overlaps.Missing(), ", "))
	if voidSeeds > 0 {
		fmt.Fprintf(out, "%d of %d seeds were void\n", voidSeeds, f.seedCount)
	}
	if failedSeeds > 0 {
		return exitError{exitRuleViolated, fmt.Errorf("%d of %d seeds had findings", failedSeeds, f.seedCount)}
	}
	return nil
}
