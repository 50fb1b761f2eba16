package clock

import (
	"errors"
	"syscall"
	"testing"
	"time"

	"orchiddrift/disk/faulty"
)

// Successive processes open the clock in one folder: it advances by the time since boot, however the wall clock is stepped.
// It falls back to the wall clock after a reboot, and when the stored offset is torn or could not be written.
func TestOpen(t *testing.T) {
	wall, since, boot := time.Unix(1e9, 0), 5*time.Second, "b1"
	source := Source{Wall: func() time.Time { return wall }, SinceBoot: func() (time.Duration, error) { return since, nil },
		BootID: func() (string, error) { return boot, nil }}
	folder := faulty.New()
	for _, step := range []struct {
		name        string
		wall        time.Duration // step of the wall clock
		since       time.Duration // change of the time since boot
		boot        string
		before      func()
		wantSeconds float64 // the clock's time, in seconds after the first process opened it
		wantErr     bool
	}{
		{"first", 0, 0, "b1", func() {}, 0, false},
		{"wall clock forward", time.Hour, 3 * time.Second, "b1", func() {}, 3, false},
		{"wall clock back", -2 * time.Hour, 4 * time.Second, "b1", func() {}, 7, false},
		{"torn offset file", time.Hour, time.Second, "b1", func() { folder.Put(FileName, folder.Content(FileName)[:9]) }, 0, false},
		{"after the torn file was replaced", time.Hour, time.Second, "b1", func() {}, 1, false},
		{"after a reboot", time.Second, -12 * time.Second, "b2", func() {}, 3601, false},
		{"failed write", 0, 0, "b3", func() { folder.WriteErr = syscall.ENOSPC }, 3601, true},
		{"after a retried write", time.Hour, time.Second, "b3", func() {}, 3602, false},
	} {
		wall, since, boot = wall.Add(step.wall), since+step.since, step.boot
		step.before()
		c, err := Open(folder, source, false)
		if got := c.Now() - 1e9; got < step.wantSeconds || got > step.wantSeconds+1 || (err != nil) != step.wantErr {
			t.Errorf("%s: %.3f, %v; want %.0f", step.name, got, err, step.wantSeconds)
		}
		if folder.WriteErr = nil; err != nil && c.Save() != nil {
			t.Errorf("%s: retrying Save failed", step.name)
		}
		if errors.Is(err, ErrOffsetUnreadable) {
			t.Errorf("%s: got %v, but the offset could be read", step.name, err)
		}
	}
}
