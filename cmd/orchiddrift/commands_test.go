package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// runProgram runs the program in dir, or in the current folder if dir is empty, and returns its exit code and output.
func runProgram(dir string, args ...string) (int, string) {
	cmd := exec.Command(os.Args[0])
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "ORCHIDDRIFT_TEST=args", "ORCHIDDRIFT_ARGS="+strings.Join(args, "\n"))
	out, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(out)
}

// printCommand runs the program in a new folder and prints the arguments, the exit code, the lines of output that contain
// filter, and the files that are in the folder afterwards.
func printCommand(filter string, args ...string) {
	dir, _ := os.MkdirTemp("", "orchiddrift")
	defer os.RemoveAll(dir)
	code, out := runProgram(dir, args...)
	fmt.Println(strings.Join(args, " ")+":", code)
	for _, line := range strings.Split(out, "\n") {
		if strings.Contains(line, filter) {
			fmt.Println(" ", line)
		}
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, f := range files {
		fmt.Println("  left", filepath.Base(f))
	}
}

// Exit codes are 0 for success, 1 for failure, 2 for usage errors and 3 for a violated rule. Each error is one line.
func Example_exitCodes() {
	printCommand("largest partner refuses", "lab", "list")
	printCommand("orchiddrift:", "lab", "run", "outtage")
	printCommand("orchiddrift:", "lab", "run", "--sed", "3")
	printCommand("orchiddrift:", "lab", "run", "calm", "--repeat", "0")
	printCommand("orchiddrift:", "run", "--log-level", "loud")
	printCommand("orchiddrift:", "run")
	printCommand("orchiddrift:", "lab", "report", "nowhere.json")
	printCommand("orchiddrift:", "ledger", "verify", "nowhere")
	printCommand("rule crash", "lab", "run", "rules", "--length", "2", "--planted", "crash", "-q")
	// Output:
	// lab list: 0
	//   outage           8 s   the largest partner refuses connections for a while and comes back cold
	// lab run outtage: 1
	//   orchiddrift: no scenario "outtage": did you mean "outage"? "lab list" names all
	// lab run --sed 3: 2
	//   orchiddrift: unknown flag: --sed
	// lab run calm --repeat 0: 2
	//   orchiddrift: --repeat cannot be 0: give 1 to 100
	// run --log-level loud: 2
	//   orchiddrift: --log-level cannot be "loud": use debug, info, warn or error
	// run: 1
	//   orchiddrift: ROUTER_CONFIG is not set
	// lab report nowhere.json: 1
	//   orchiddrift: open nowhere.json: no such file or directory
	// ledger verify nowhere: 1
	//   orchiddrift: stat nowhere: no such file or directory
	// lab run rules --length 2 --planted crash -q: 3
	//   rule crash    BROKEN 1 times
	//   left report.html
}
