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

// labSoak holds the flags of "lab soak".
type labSoak struct {
	seed   uint64
	seeds  int
	time   time.Duration
	keep   string
	steps  bool
	debug  bool
	detail bool
}

func newLabSoak() *cobra.Command {
	f := &labSoak{}
	c := &cobra.Command{Use: "soak", Short: "Play random troubles, several at once, against 10 to 40 dispatchers on machines that fail",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) }}
	flags := c.Flags()
	flags.Uint64Var(&f.seed, "seed", 1, "the first seed")
	flags.IntVar(&f.seeds, "seeds", 1, "so many seeds, one after another")
	flags.DurationVar(&f.time, "time", 15*time.Second, "of load for each seed")
	flags.StringVar(&f.keep, "keep", "", "a folder that keeps what was seen, by seed")
	flags.BoolVar(&f.steps, "steps", true, "wall clocks are stepped between processes")
	flags.BoolVar(&f.debug, "debug", false, "dispatchers log at debug level")
	flags.BoolVarP(&f.detail, "detail", "v", false, "print each seed's troubles")
	return c
}

// newSoakChild is a dispatcher on a machine that fails; the soak starts it.
func newSoakChild() *cobra.Command {
	debug := false
	c := &cobra.Command{Use: "soak-child", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		logs := dispatcher.LogOptions{Output: os.Stderr, Level: zerolog.InfoLevel}
		if debug {
			logs.Level = zerolog.DebugLevel
		}
		return failed(soak.Child(os.Getenv, logs))
	}}
	c.Flags().BoolVar(&debug, "debug", false, "log at debug level")
	return c
}

// run plays the seeds and tells of each; what was found prints the command that plays it again.
func (f *labSoak) run(cmd *cobra.Command) error {
	const least, most, mostSeeds = 2 * time.Second, 10 * time.Minute, 10_000
	if f.time < least || f.time > most {
		return fmt.Errorf("--time cannot be %v: give %v to %v", f.time, least, most)
	}
	if f.seeds < 1 || f.seeds > mostSeeds {
		return fmt.Errorf("--seeds cannot be %d: give 1 to %d", f.seeds, mostSeeds)
	}
	self, err := os.Executable()
	if err != nil {
		return failed(err)
	}
	command := fleet.Command{Path: self, Args: []string{"lab", "soak-child"}}
	if f.debug {
		command.Args = append(command.Args, "--debug")
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	out, broken, void, overlaps := cmd.OutOrStdout(), 0, 0, soak.Overlaps{}
	for seed := f.seed; seed < f.seed+uint64(f.seeds) && ctx.Err() == nil; seed++ {
		keep := f.keep
		if keep != "" {
			keep = filepath.Join(keep, fmt.Sprint("seed-", seed))
		}
		r, err := soak.Play(ctx, seed, f.time.Seconds(), soak.Options{Command: command, Keep: keep, Steps: f.steps})
		if err != nil {
			return failed(err)
		}
		if ctx.Err() != nil {
			break
		}
		overlaps.Add(r.Overlaps)
		fmt.Fprintf(out, "seed %d: %d dispatchers, %d endpoints, crowd %v, %d troubles, %d rude clients, %d taken on, %d delivered, %d found\n",
			seed, r.Dispatcher, r.Endpoints, r.Crowded, len(r.Troubles), r.Rude, r.Totals.Taken, r.Totals.Delivered, len(r.Found))
		if f.detail {
			for _, t := range r.Troubles {
				fmt.Fprintln(out, "   ", t)
			}
		}
		if len(r.Found) == 0 {
			continue
		}
		if len(r.Starved) > 0 {
			void++
			fmt.Fprintln(out, "   void, the machine was too busy:", strings.Join(r.Starved, "; "))
		} else {
			broken++
		}
		for _, text := range r.Found {
			fmt.Fprintln(out, "  ", text)
		}
		fmt.Fprintf(out, "   again: orchiddrift lab soak --seed %d --time %v --steps=%v --keep FOLDER --debug -v\n", seed, f.time, f.steps)
	}
	if ctx.Err() != nil {
		return failed(ctx.Err())
	}
	fmt.Fprintf(out, "troubles that were on together: %v\n", overlaps)
	fmt.Fprintf(out, "never on together: %s\n", strings.Join(overlaps.Never(), ", "))
	if void > 0 {
		fmt.Fprintf(out, "%d of %d seeds were void\n", void, f.seeds)
	}
	if broken > 0 {
		return exit{ruleBroken, fmt.Errorf("%d of %d seeds broke something", broken, f.seeds)}
	}
	return nil
}
