package clock

import (
	"errors"
	"syscall"
	"testing"
	"time"

	"orchiddrift/disk/faulty"
)

// Processes on one folder, one after another: the machine's own time has passed whatever the time of day says, and the time
// of day counts alone where the machine started anew, or what the folder held is torn or cannot be written.
func TestOpen(t *testing.T) {
	wall, since, boot := time.Unix(1e9, 0), 5*time.Second, "b1"
	s := Source{Wall: func() time.Time { return wall }, SinceBoot: func() (time.Duration, error) { return since, nil },
		BootID: func() (string, error) { return boot, nil }}
	folder := faulty.New()
	for _, step := range []struct {
		name   string
		wall   time.Duration // how far the time of day moves
		since  time.Duration // how much real time passes
		boot   string
		before func()
		want   float64 // the clock, from the first process's start
		fails  bool
	}{
		{"first", 0, 0, "b1", func() {}, 0, false},
		{"forward", time.Hour, 3 * time.Second, "b1", func() {}, 3, false},
		{"back", -2 * time.Hour, 4 * time.Second, "b1", func() {}, 7, false},
		{"torn", time.Hour, time.Second, "b1", func() { folder.Put(FileName, folder.Content(FileName)[:9]) }, 0, false},
		{"went on from there", time.Hour, time.Second, "b1", func() {}, 1, false},
		{"another start of the machine", time.Second, -12 * time.Second, "b2", func() {}, 3601, false},
		{"not written", 0, 0, "b3", func() { folder.WriteErr = syscall.ENOSPC }, 3601, true},
		{"kept later", time.Hour, time.Second, "b3", func() {}, 3602, false},
	} {
		wall, since, boot = wall.Add(step.wall), since+step.since, step.boot
		step.before()
		c, err := Open(folder, s, false)
		if got := c.Now() - 1e9; got < step.want || got > step.want+1 || (err != nil) != step.fails {
			t.Errorf("%s: %.3f, %v; want %.0f", step.name, got, err, step.want)
		}
		if folder.WriteErr = nil; err != nil && c.Save() != nil {
			t.Errorf("%s: not kept by another try", step.name)
		}
		if errors.Is(err, ErrOffsetUnreadable) {
			t.Errorf("%s: %v, and nothing was unread", step.name, err)
		}
	}
}
