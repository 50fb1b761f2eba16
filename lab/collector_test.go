package lab_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"orchiddrift/lab/fleet"
	"orchiddrift/lab/scenario"
)

// maxCollectorPercent is the part of the processor that the runtime means its collector to take.
const maxCollectorPercent = 25

// collection matches a line of the runtime about a collection: how many there were, and the part of the processor that they took so far.
var collection = regexp.MustCompile(`(?m)^gc (\d+) @\S+ (\d+)%: `)

// Guards against a collector that runs without end beside a crowd, so that each step of a request waits for it: the runtime's limit left no
// room for garbage, as tables that it had mapped and never used took it.
func TestCollectorRunsWithoutEndInCrowds(t *testing.T) {
	t.Setenv("GODEBUG", "gctrace=1")
	s := crowdScenario(48, 1024, crowd(scenario.PipelinedLarge, 170), crowd(scenario.HalfRequests, 171))
	dir := t.TempDir()
	playCrowdIn(t, s, dir)
	text, err := os.ReadFile(filepath.Join(dir, fleet.LogName(0)))
	if err != nil {
		t.Fatal(err)
	}
	lines := collection.FindAllStringSubmatch(string(text), -1)
	if len(lines) == 0 {
		t.Fatal("no collection was traced")
	}
	last := lines[len(lines)-1]
	percent, _ := strconv.Atoi(last[2])
	t.Logf("%s collections took %d%% of the processor", last[1], percent)
	if percent >= maxCollectorPercent {
		t.Errorf("%s collections took %d%% of the processor", last[1], percent)
	}
}
