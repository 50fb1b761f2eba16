package dispatcher

import (
	"bytes"
	"encoding/json"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// The log has a line for each completed step of a start, with the seconds since the start began. Guards against a log that
// does not show in which step a start is slow: on an overloaded machine starts were late in 6 of 13 runs.
func TestStartLogsSteps(t *testing.T) {
	var text bytes.Buffer
	s := &startupSequence{log: zerolog.New(&text), startedAt: time.Now().Add(-2 * time.Second)}
	s.recordStep("configuration")
	if text.Len() > 0 {
		t.Errorf("logged before the configuration was valid: %s", &text)
	}
	s.enableLog(s.log)
	attempts := 0
	err := s.retry("folder", func() error {
		if attempts++; attempts == 1 {
			return syscall.EIO
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.retry("listener", func() error { return syscall.EACCES }); err == nil {
		t.Fatal("a step with a permanent error succeeded")
	}
	var steps []string
	for _, line := range bytes.Split(bytes.TrimSpace(text.Bytes()), []byte("\n")) {
		var entry struct {
			Message, Step string
			After         float64
		}
		if err := json.Unmarshal(line, &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Message == "startup step complete" {
			steps = append(steps, entry.Step)
			if entry.After < 2 || entry.After > 5 {
				t.Errorf("%s after %g s", entry.Step, entry.After)
			}
		}
	}
	if len(steps) != 2 || steps[0] != "configuration" || steps[1] != "folder" {
		t.Errorf("steps complete: %q", steps)
	}
}
