// Command orchiddrift is a dispatcher and the laboratory that shows what it does.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"runtime/pprof"

	"github.com/spf13/cobra"

	"orchiddrift/dispatcher"
)

// The exit codes.
const (
	failure    = 1 // it did not work; one line says why
	usage      = 2 // the call's words are off
	ruleBroken = 3 // the laboratory saw a rule broken
)

// exit is an error with the exit code that it asks for.
type exit struct {
	code int
	error
}

func (e exit) Unwrap() error { return e.error }

func main() { os.Exit(execute(os.Args[1:])) }

// execute runs the command line and gives its exit code.
func execute(args []string) int {
	root := newRoot()
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	code := exit{code: usage}
	errors.As(err, &code)
	fmt.Fprintln(os.Stderr, "orchiddrift:", err)
	return code.code
}

// failed marks an error as met at work: any other is one of usage.
func failed(err error) error {
	if err == nil {
		return nil
	}
	return exit{failure, err}
}

func newRoot() *cobra.Command {
	var level, format, profile string
	run := func(cmd *cobra.Command, _ []string) error {
		logs, err := dispatcher.NewLogOptions(os.Stderr, level, format)
		if err != nil {
			return err
		}
		return failed(profiled(profile, func() error { return dispatcher.Run(os.Getenv, logs) }))
	}
	runCommand := &cobra.Command{Use: "run", Short: "Run a dispatcher, told by the ROUTER_ variables", Args: cobra.NoArgs, RunE: run}
	runCommand.Flags().StringVar(&profile, "cpuprofile", "", "write a CPU profile here when it ends")
	root := &cobra.Command{
		Use:   "orchiddrift",
		Short: "An outbound gateway: notifications pushed to many partners' systems",
		Long: `An outbound gateway: dispatchers take notifications from clients and push them to many partners' systems.

Without a command it is a dispatcher where ROUTER_CONFIG is set, as "orchiddrift run"; else it prints this page.
Exit codes: 0 done, 1 failure, 2 usage, 3 the laboratory saw a rule broken.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if os.Getenv("ROUTER_CONFIG") != "" {
				return run(cmd, args)
			}
			return cmd.Help()
		},
	}
	root.PersistentFlags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	root.PersistentFlags().StringVar(&format, "log-format", "json", "json or console")
	root.AddCommand(newLab(), newLedger(), newConfig(),
		runCommand,
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "orchiddrift", version()) }},
	)
	return root
}

// profiled runs f, with a CPU profile of it where a file is named.
func profiled(path string, f func() error) error {
	if path == "" {
		return f()
	}
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	defer out.Close()
	if err := pprof.StartCPUProfile(out); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	return f()
}

// version is what the build knows of its source.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && v == "(devel)" {
			v = s.Value
		}
	}
	return v + " " + info.GoVersion
}
