package main

import (
	"os/exec"
	"strings"
	"testing"
)

// Guards against a deployed program that holds what only the laboratory and the tools need, and by that a third of the least memory that
// a dispatcher may have.
func TestProgramHoldsOnlyTheDispatcher(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, dependency := range strings.Fields(string(out)) {
		for _, prefix := range []string{"orchiddrift/lab", "gonum.org/", "github.com/spf13/", "github.com/prometheus/procfs"} {
			if strings.HasPrefix(dependency, prefix) {
				t.Errorf("the program depends on %s", dependency)
			}
		}
	}
}

// Guards against a dispatcher that starts although its arguments are wrong.
func TestExitCodes(t *testing.T) {
	t.Setenv("ROUTER_CONFIG", "")
	for _, c := range []struct {
		args string
		want int
	}{{"-log-level=loud", exitUsage}, {"run", exitUsage}, {"-no-such-flag", exitUsage}, {"", exitFailure}} {
		if got := run(strings.Fields(c.args)); got != c.want {
			t.Errorf("%q: exit code %d, want %d", c.args, got, c.want)
		}
	}
}
