// Command orchiddriftd runs a dispatcher, configured by the ROUTER_ variables. It is the program that is deployed: it holds nothing but
// the dispatcher, so that it takes little memory at rest. Command orchiddrift has the tools and the laboratory.
package main

import (
	"flag"
	"fmt"
	"os"

	"orchiddrift/dispatcher"
)

// Exit codes.
const (
	exitFailure = 1 // the dispatcher failed
	exitUsage   = 2 // invalid arguments
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the dispatcher with the arguments of the command line and returns the exit code.
func run(args []string) int {
	flags := flag.NewFlagSet("orchiddriftd", flag.ContinueOnError)
	level := flags.String("log-level", "info", "debug, info, warn or error")
	format := flags.String("log-format", "json", "json or console")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if flags.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "orchiddriftd: takes no arguments but flags, got", flags.Arg(0))
		return exitUsage
	}
	logOptions, err := dispatcher.NewLogOptions(os.Stderr, *level, *format)
	if err != nil {
		fmt.Fprintln(os.Stderr, "orchiddriftd:", err)
		return exitUsage
	}
	if err := dispatcher.Run(os.Getenv, logOptions); err != nil {
		fmt.Fprintln(os.Stderr, "orchiddriftd:", err)
		return exitFailure
	}
	return 0
}
