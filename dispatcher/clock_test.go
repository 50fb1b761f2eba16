package dispatcher

import (
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/admission"
	"orchiddrift/clock"
)

// Guards against a clock that follows the wall clock for the life of the process because one reading failed at the start: after
// a step of an hour, what is pending would be pushed an hour after its time, or given up at once.
func TestClockWhileReadingFails(t *testing.T) {
	for _, call := range []string{"boot ID", "uptime"} {
		cfg := &config{stateDir: t.TempDir(), Limits: limits{DiskMB: 3}, division: admission.Division{FolderBytes: 3_000_000}}
		failures := 0
		system := HostSystem(func(string) string { return "" })
		host := system.ClockSource
		check := func(name string) error {
			if name != call || failures == 0 {
				return nil
			}
			failures--
			return syscall.EMFILE
		}
		system.ClockSource = clock.Source{Wall: host.Wall, BootID: func() (string, error) {
			if err := check("boot ID"); err != nil {
				return "", err
			}
			return host.BootID()
		}, SinceBoot: func() (time.Duration, error) {
			if err := check("uptime"); err != nil {
				return 0, err
			}
			return host.SinceBoot()
		}}
		open := func() float64 {
			startup := &startupSequence{log: zerolog.Nop(), startedAt: time.Now()}
			var state *persistentState
			if err := startup.retry("folder", func() (err error) { state, err = openState(system, cfg, zerolog.Nop(), false); return err }); err != nil {
				t.Fatal(err)
			}
			defer state.folder.Close()
			return state.clock()
		}
		before := open()
		system.ClockSource.Wall = func() time.Time { return time.Now().Add(time.Hour) }
		failures = 2
		if after := open(); after < before || after > before+10 {
			t.Errorf("reading of the %s fails twice: the clock has moved by %.0f s", call, after-before)
		}
	}
}

// Guards against a start that never ends because the time since boot cannot be read for good, and against a log that tells of an
// offset that was not saved.
func TestClockWithoutSource(t *testing.T) {
	cfg := &config{stateDir: t.TempDir(), Limits: limits{DiskMB: 3}, division: admission.Division{FolderBytes: 3_000_000}}
	system := HostSystem(func(string) string { return "" })
	system.ClockSource.BootID = func() (string, error) { return "", syscall.EIO }
	if _, err := openState(system, cfg, zerolog.Nop(), false); !isTransient(err) {
		t.Errorf("%v, want an error that is retried", err)
	}
	state, err := openState(system, cfg, zerolog.Nop(), true)
	if err != nil {
		t.Fatal(err)
	}
	defer state.folder.Close()
	if now := float64(time.Now().Unix()); state.clock() < now-1 || state.clock() > now+2 {
		t.Errorf("the clock is at %.0f, the wall clock at %.0f", state.clock(), now)
	}
	c, err := clock.Open(state.folder, system.ClockSource, false)
	if err == nil || c.Save() == nil {
		t.Error("an offset that cannot be computed counts as saved")
	}
}
