// Command orchiddrift runs a dispatcher, the tools for its configuration and ledger, and the laboratory that tests it.
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

// Exit codes.
const (
	exitFailure      = 1 // the command failed
	exitUsage        = 2 // invalid arguments
	exitRuleViolated = 3 // the laboratory found a rule violation
)

// exitError is an error with the exit code that it causes.
type exitError struct {
	code int
	error
}

func (e exitError) Unwrap() error { return e.error }

func main() { os.Exit(execute(os.Args[1:])) }

// execute runs the command line and returns the exit code.
func execute(args []string) int {
	root := newRootCommand()
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	exitErr := exitError{code: exitUsage}
	errors.As(err, &exitErr)
	fmt.Fprintln(os.Stderr, "orchiddrift:", err)
	return exitErr.code
}

// asFailure gives an error the exit code exitFailure, and returns nil for nil. Errors without an exit code count as usage
// errors.
func asFailure(err error) error {
	if err == nil {
		return nil
	}
	return exitError{exitFailure, err}
}

// newRootCommand returns the program's command with all subcommands.
func newRootCommand() *cobra.Command {
	var level, format, profile string
	run := func(cmd *cobra.Command, _ []string) error {
		logOptions, err := dispatcher.NewLogOptions(os.Stderr, level, format)
		if err != nil {
			return err
		}
		return asFailure(withCPUProfile(profile, func() error { return dispatcher.Run(os.Getenv, logOptions) }))
	}
	runCommand := &cobra.Command{Use: "run", Short: "Run a dispatcher, configured by the ROUTER_ variables", Args: cobra.NoArgs, RunE: run}
	runCommand.Flags().StringVar(&profile, "cpuprofile", "", "write a CPU profile to this file")
	root := &cobra.Command{
		Use:   "orchiddrift",
		Short: "An outbound gateway: notifications pushed to many partners' systems",
		Long: `An outbound gateway: dispatchers take notifications from clients and push them to many partners' systems.

Without a command it runs a dispatcher if ROUTER_CONFIG is set, like "orchiddrift run"; otherwise it prints this help.
Exit codes: 0 success, 1 failure, 2 usage, 3 the laboratory found a rule violation.`,
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
	root.AddCommand(newLabCommand(), newLedgerCommand(), newConfigCommand(),
		runCommand,
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "orchiddrift", version()) }},
	)
	return root
}

// withCPUProfile runs f and returns its error. Unless path is empty, it writes a CPU profile of f to path.
func withCPUProfile(path string, f func() error) error {
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

// version returns the module version or VCS revision of the build, and the Go version.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && v == "(devel)" {
			v = setting.Value
		}
	}
	return v + " " + info.GoVersion
}
