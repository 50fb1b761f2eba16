// Command standin plays the cases of the review: it starts dispatchers with the command of the deploy file, is their clients, their
// endpoints and their agents, and judges what those saw. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// maxRun is the time after which a case that has not ended counts as one that could not run.
const maxRun = 112 * time.Second

// cases are the cases by name.
var cases = map[string]func(*rig) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	r, err := newRig(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code := r.play(cases[os.Args[1]])
	r.close()
	os.Exit(code)
}

// play runs a case and returns the exit code.
func (r *rig) play(run func(*rig) bool) int {
	result := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				r.record("could not run: %v", p)
				result <- 2
			}
		}()
		broken := run(r)
		for _, d := range r.dispatchers {
			if !d.stopped && !d.alive() {
				panic("dispatcher " + d.name + " ended by itself: " + strings.TrimSpace(d.logTail()))
			}
		}
		if broken {
			r.record("RULE BROKEN")
			result <- 1
			return
		}
		r.record("rule held")
		result <- 0
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-result:
		return code
	case <-signals:
		r.record("could not run: told to end")
	case <-time.After(maxRun):
		r.record("could not run: not over after %v", maxRun)
	}
	return 2
}
