package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
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
	seed   uint64
	seeds  int
	time   time.Duration
	keep   string
	steps  bool
	debug  bool
	detail bool
}

func newLabSoakCommand() *cobra.Command {
	f := &labSoakFlags{}
	c := &cobra.Command{Use: "soak", Short: "Run random overlapping troubles against 10 to 40 dispatchers on machines that fail",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) }}
	flags := c.Flags()
	flags.Uint64Var(&f.seed, "seed", 1, "the first seed")
	flags.IntVar(&f.seeds, "seeds", 1, "number of seeds, run one after another")
	flags.DurationVar(&f.time, "time", 15*time.Second, "duration of the load for each seed")
	flags.StringVar(&f.keep, "keep", "", "folder in which to keep the observations of each seed")
	flags.BoolVar(&f.steps, "steps", true, "step wall clocks between processes")
	flags.BoolVar(&f.debug, "debug", false, "let dispatchers log at debug level")
	flags.BoolVarP(&f.detail, "detail", "v", false, "print each seed's troubles")
	return c
}

// newSoakChildCommand returns the command of a dispatcher on a machine that fails, which the soak starts.
func newSoakChildCommand() *cobra.Command {
	debug := false
	c := &cobra.Command{Use: "soak-child", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		logOptions := dispatcher.LogOptions{Output: os.Stderr, Level: zerolog.InfoLevel}
		if debug {
			logOptions.Level = zerolog.DebugLevel
		}
		return asFailure(soak.RunFaultyDispatcher(os.Getenv, logOptions))
	}}
	c.Flags().BoolVar(&debug, "debug", false, "log at debug level")
	return c
}

// run runs the seeds and prints the result of each. For a seed with findings it prints the command that repeats it.
func (f *labSoakFlags) run(cmd *cobra.Command) error {
	const least, most, mostSeeds = 2 * time.Second, 10 * time.Minute, 10_000
	if f.time < least || f.time > most {
		return fmt.Errorf("--time cannot be %v: give %v to %v", f.time, least, most)
	}
	if f.seeds < 1 || f.seeds > mostSeeds {
		return fmt.Errorf("--seeds cannot be %d: give 1 to %d", f.seeds, mostSeeds)
	}
	executable, err := os.Executable()
	if err != nil {
		return asFailure(err)
	}
	command := fleet.Command{Path: executable, Args: []string{"lab", "soak-child"}}
	if f.debug {
		command.Args = append(command.Args, "--debug")
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	out, failed, void, overlaps := cmd.OutOrStdout(), 0, 0, soak.Overlaps{}
	for seed := f.seed; seed < f.seed+uint64(f.seeds) && ctx.Err() == nil; seed++ {
		keep := f.keep
		if keep != "" {
			keep = filepath.Join(keep, fmt.Sprint("seed-", seed))
		}
		r, err := soak.Run(ctx, seed, f.time.Seconds(), soak.Options{Command: command, KeepDir: keep, StepClocks: f.steps})
		if err != nil {
			return asFailure(err)
		}
		if ctx.Err() != nil {
			break
		}
		overlaps.Add(r.Overlaps)
		fmt.Fprintf(out, "seed %d: %d dispatchers, %d endpoints, crowded %v, %d troubles, %d misbehaving clients, %d accepted, %d delivered, %d findings\n",
			seed, r.DispatcherCount, r.EndpointCount, r.Flooded, len(r.Troubles), r.MisbehavingClients, r.Totals.Accepted, r.Totals.Delivered, len(r.Findings))
		if f.detail {
			for _, trouble := range r.Troubles {
				fmt.Fprintln(out, "   ", trouble)
			}
		}
		if len(r.Findings) == 0 {
			continue
		}
		if len(r.UnplannedStalls) > 0 {
			void++
			fmt.Fprintln(out, "   void, the machine was overloaded:", strings.Join(r.UnplannedStalls, "; "))
		} else {
			failed++
		}
		for _, finding := range r.Findings {
			fmt.Fprintln(out, "  ", finding)
		}
		fmt.Fprintf(out, "   again: orchiddrift lab soak --seed %d --time %v --steps=%v --keep FOLDER --debug -v\n", seed, f.time, f.steps)
	}
	if ctx.Err() != nil {
		return asFailure(ctx.Err())
	}
	fmt.Fprintf(out, "troubles that overlapped: %v\n", overlaps)
	fmt.Fprintf(out, "never overlapped: %s\n", strings.Join(overlaps.Missing(), ", "))
	if void > 0 {
		fmt.Fprintf(out, "%d of %d seeds were void\n", void, f.seeds)
	}
	if failed > 0 {
		return exitError{ruleBroken, fmt.Errorf("%d of %d seeds had findings", failed, f.seeds)}
	}
	return nil
}
