package lab_test

import (
	"context"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/dispatcher"
	"orchiddrift/lab"
	"orchiddrift/lab/fleet"
	"orchiddrift/lab/loop"
	"orchiddrift/lab/planted"
	"orchiddrift/lab/record"
	"orchiddrift/lab/report"
	"orchiddrift/lab/rules"
	"orchiddrift/lab/scenario"
)

// TestMain runs the test binary as a dispatcher, or as a planted one that breaks a rule, if ORCHIDDRIFT_TEST is set.
func TestMain(m *testing.M) {
	role, rule, _ := strings.Cut(os.Getenv("ORCHIDDRIFT_TEST"), ":")
	var err error
	switch role {
	case "run":
		err = dispatcher.Run(os.Getenv, dispatcher.LogOptions{Output: os.Stderr, Level: zerolog.InfoLevel})
	case "planted":
		err = planted.Run(os.Getenv, rule)
	default:
		if buildDir, err = os.MkdirTemp("", "orchiddrift-lab-test-"); err == nil {
			code := m.Run()
			_ = os.RemoveAll(buildDir)
			os.Exit(code)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// buildDir is a folder for programs that tests build.
var buildDir string

// command returns the command that runs the test binary in a role of TestMain.
func command(role string) fleet.Command {
	return fleet.Command{Path: os.Args[0], Env: []string{"ORCHIDDRIFT_TEST=" + role}}
}

// open returns a shipped scenario.
func open(name string) *scenario.Scenario {
	s, err := scenario.Open(name)
	if err != nil {
		panic(err)
	}
	return s
}

// brokenRules returns the names of the rules that a run broke, in the order of rules.All.
func brokenRules(r *report.Result) string {
	seen := map[string]bool{}
	for _, v := range r.Violations {
		seen[v.Rule] = true
	}
	var list []string
	for _, rule := range rules.All {
		if seen[rule] {
			list = append(list, rule)
		}
	}
	return strings.Join(list, " ")
}

// Guards against rules that detect nothing, or that report violations where there are none: a planted dispatcher that breaks a
// rule must lead to a violation of it, and a planted one that keeps all rules, like the real dispatcher, to none.
func TestPlanted(t *testing.T) {
	for _, rule := range append([]string{"none", "real", planted.CloseUnanswered}, rules.All...) {
		t.Run(rule, func(t *testing.T) {
			t.Parallel()
			role, want := "planted:"+rule, rule
			switch rule {
			case "none":
				role, want = "planted:", ""
			case "real":
				role, want = "run", ""
			case planted.CloseUnanswered:
				want = rules.Lost
			}
			r, _, err := lab.Run(context.Background(), open("rules"), lab.Options{Command: command(role)})
			if err != nil {
				t.Fatal(err)
			}
			got := brokenRules(r)
			if want == "" && got != "" || !strings.Contains(got, want) {
				t.Errorf("broken rules are %q, want %q; first violations: %v", got, want, r.Violations[:min(3, len(r.Violations))])
			}
			if r.Totals.HandedIn != r.Totals.Planned || r.Totals.Accepted == 0 {
				t.Errorf("handed in %d of %d, %d accepted", r.Totals.HandedIn, r.Totals.Planned, r.Totals.Accepted)
			}
		})
	}
}

// Guards against a rule that forgets at a restart what a dispatcher was told: a planted one that is killed in an outage, and ignores
// it in its next process, which has seen none, overloads the destination as it returns.
func TestPlantedAcrossRestart(t *testing.T) {
	t.Parallel()
	s := open("rules")
	s.Troubles = append(s.Troubles, scenario.Trouble{Kind: scenario.Kill, At: 3.3, Wait: 0.3, Dispatchers: []int{0}})
	for role, want := range map[string]string{"planted:" + planted.ForgetOutage: rules.Overload, "run": ""} {
		r, _, err := lab.Run(context.Background(), s, lab.Options{Command: command(role)})
		if err != nil {
			t.Fatal(err)
		}
		if got := brokenRules(r); want == "" && got != "" || !strings.Contains(got, want) {
			t.Errorf("%s: broken rules are %q, want %q; first violations: %v", role, got, want, r.Violations[:min(3, len(r.Violations))])
		}
	}
}

// Guards against a rule that allows a new process to go by an old list: a planted one that forgets what it was told of drains sends to
// endpoints that are gone while the list is silent (issue 87, review/6).
func TestPlantedForgetsList(t *testing.T) {
	t.Parallel()
	s := open("told-list")
	for role, wantBroken := range map[string]bool{"planted:" + planted.ForgetList: true, "planted:": false, "run": false} {
		r, _, err := lab.Run(context.Background(), s, lab.Options{Command: command(role)})
		if err != nil {
			t.Fatal(err)
		}
		got := brokenRules(r)
		if strings.Contains(got, rules.Draining) != wantBroken || role == "run" && got != "" { // planted ones lose messages when killed
			t.Errorf("%s: broken rules are %q; first violations: %v", role, got, r.Violations[:min(3, len(r.Violations))])
		}
	}
}

// The real dispatcher keeps the rules in scenarios with several troubles at once.
func TestScenarios(t *testing.T) {
	for _, name := range []string{"tour", "all-at-once", "lost-and-killed", "cold-restart", "drain-in-wait", "late"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := open(name)
			s.Load.Rate = 60 // low enough for a machine with few cores and other load
			r, j, err := lab.Run(context.Background(), s, lab.Options{Command: command("run")})
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range r.Violations {
				t.Error(v)
			}
			if r.Totals.Delivered*2 < r.Totals.Planned {
				t.Errorf("delivered %d of %d", r.Totals.Delivered, r.Totals.Planned)
			}
			if len(j.Calls) == 0 || r.Totals.Pushes < r.Totals.Delivered {
				t.Errorf("%d calls and %d pushes for %d delivered", len(j.Calls), r.Totals.Pushes, r.Totals.Delivered)
			}
		})
	}
}

// Dispatchers are killed at random times under load. The run must keep all rules: each accepted notification gets its final answer,
// and no once-only one takes effect twice. ORCHIDDRIFT_KILLS sets the number of kills; the long form of the test has 1000.
func TestKills(t *testing.T) {
	t.Parallel()
	const dispatchers, gap = 5, 0.7
	kills, err := strconv.Atoi(os.Getenv("ORCHIDDRIFT_KILLS"))
	if err != nil {
		kills = 40
	}
	s := open("calm")
	s.Dispatchers.Count, s.Load.Rate = dispatchers, 150
	rng := rand.New(rand.NewPCG(s.Seed, uint64(kills)))
	for i := range kills {
		at := 0.3 + gap*(float64(i/dispatchers)+rng.Float64()*0.9)
		s.Troubles = append(s.Troubles, scenario.Trouble{Kind: scenario.Kill, At: at, Wait: 0.05, Dispatchers: []int{i % dispatchers}})
		s.Length = max(s.Length, at+1)
	}
	r, j, err := lab.Run(context.Background(), s, lab.Options{Command: command("run")})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Error(v)
	}
	killed := 0
	for _, event := range j.ProcessEvents {
		if event.Kind == record.Killed {
			killed++
		}
	}
	if killed != kills || r.Totals.Delivered*3 < r.Totals.Planned {
		t.Errorf("%d of %d kills carried out, %d of %d delivered", killed, kills, r.Totals.Delivered, r.Totals.Planned)
	}
	t.Logf("%d kills in %.0f s: %d accepted, %d delivered, %d given up, %d handed back, %d pushes", killed, r.EndedAt, r.Totals.Accepted,
		r.Totals.Delivered, r.Totals.GivenUp, r.Totals.HandedBack, r.Totals.Pushes)
}

// A run in which a part fails to start returns an error of one line: an endpoint whose address is in use, a dispatcher that exits,
// or a state directory that cannot be created. Another run can then use the same network.
func TestBadStart(t *testing.T) {
	s := open("calm")
	network, release, err := loop.AcquireNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	occupied, err := net.Listen("tcp", network.EndpointAddr(3))
	if err != nil {
		t.Fatal(err)
	}
	_, _, err = lab.Run(context.Background(), s, lab.Options{Command: command("run"), Network: network})
	if err == nil || !strings.Contains(err.Error(), "address already in use") || strings.Contains(err.Error(), "\n") {
		t.Errorf("start with a port in use: %v", err)
	}
	_ = occupied.Close()
	s.Dispatchers.Count = 1
	_, _, err = lab.Run(context.Background(), s, lab.Options{Command: command("planted:nothing"), Network: network})
	if err == nil || !strings.Contains(err.Error(), "ended before it was ready") || strings.Contains(err.Error(), "\n") {
		t.Errorf("start of a dispatcher that exits: %v", err)
	}
	_, _, err = lab.Run(context.Background(), s, lab.Options{Command: command("run"), StateDir: "/nowhere"})
	if err == nil || !strings.HasPrefix(err.Error(), "--state: ") {
		t.Errorf("start with a missing state directory: %v", err)
	}
}

// A run that is interrupted leaves no process behind, writes its journal and returns the figures so far.
func TestInterrupt(t *testing.T) {
	s := open("calm")
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, j, err := lab.Run(ctx, s, lab.Options{Command: command("run"), KeepDir: dir})
	if err != nil {
		t.Fatal(err)
	}
	if !r.Interrupted || len(j.HandIns) == 0 || r.Totals.HandedIn >= r.Totals.Planned {
		t.Errorf("interrupted %v with %d of %d handed in", r.Interrupted, r.Totals.HandedIn, r.Totals.Planned)
	}
	if info, err := os.Stat(filepath.Join(dir, "journal.jsonl")); err != nil || info.Size() == 0 {
		t.Errorf("no journal: %v", err)
	}
	remaining := 0
	_ = filepath.WalkDir("/proc", func(path string, d fs.DirEntry, _ error) error {
		if strings.Count(path, "/") > 2 {
			return fs.SkipDir
		}
		if text, err := os.ReadFile(filepath.Join(path, "environ")); err == nil && strings.Contains(string(text), "ROUTER_CONFIG="+dir) {
			remaining++
		}
		return nil
	})
	if remaining > 0 {
		t.Errorf("%d processes still running", remaining)
	}
}
