package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"orchiddrift/lab/fleet"
	"orchiddrift/lab/partner"
	"orchiddrift/lab/rules"
)

// recoveryLine is a line of a dispatcher's log that tells what it assumed about a destination: as it sent a call, as a call
// failed, or as its assumption changed.
type recoveryLine struct {
	Message  string  `json:"message"`
	Dest     string  `json:"dest"`
	ID       string  `json:"ntf"`
	State    string  `json:"state"`
	Before   string  `json:"before"`
	Why      string  `json:"why"`
	End      string  `json:"end"`
	Failures int     `json:"failures"`
	Part     float64 `json:"part"`
	Sent     float64 `json:"sent"`
	Span     float64 `json:"span"`
	Dropped  bool    `json:"dropped"`
}

// The messages of recovery lines.
const (
	pushInRecovery = "push to a recovering destination"
	healthChanged  = "health changed"
	failureSeen    = "failure seen"
)

// explainOverloads returns the timeline of each overload: its calls, with what their dispatchers had met and, from the logs in
// dir, what they assumed and which limits let the calls go. A call without such a line was sent as to a healthy destination.
func explainOverloads(dir string, violations []rules.Violation) (lines []string) {
	for _, violation := range violations {
		for _, call := range violation.Span {
			lines = append(lines, explainCall(dir, violation, call))
		}
	}
	return lines
}

// explainCall returns one line of a timeline.
func explainCall(dir string, violation rules.Violation, call rules.SpanCall) string {
	text := fmt.Sprintf("%.3f dispatcher %d, process %d, %s to %s, saw the outage: %v, %d failures in it", call.At, call.Dispatcher, call.Process, call.ID, call.Endpoint,
		call.Aware, call.Failures)
	state, before := "", ""
	for _, line := range readRecoveryLines(filepath.Join(dir, fleet.LogName(call.Dispatcher))) {
		switch {
		case line.Message == pushInRecovery && line.ID == call.ID:
			state = fmt.Sprintf("%s, %d failures in a row, sent %.2f of %.2f in %.1f s", line.State, line.Failures, line.Sent, line.Part, line.Span)
		case line.Message == healthChanged && state == "" && line.Dest == strconv.Itoa(destOf(call)):
			before = fmt.Sprintf("; last change: %s to %s (%s)", line.Before, line.State, line.Why)
		case line.Message == failureSeen && state == "" && line.Dropped && line.Dest == strconv.Itoa(destOf(call)):
			before = fmt.Sprintf("; last failure dropped: %s (%s)", line.End, line.Why)
		}
	}
	if state == "" {
		state = "sent as to a healthy destination"
	}
	return text + "; " + state + before
}

// destOf returns the destination of a call.
func destOf(call rules.SpanCall) int { return partner.DestFromID(call.ID) }

// readRecoveryLines returns the recovery lines of a log. A log that cannot be read has none.
func readRecoveryLines(path string) (lines []recoveryLine) {
	f, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer f.Close()
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		var line recoveryLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil && (line.Message == pushInRecovery || line.Message == healthChanged || line.Message == failureSeen) {
			lines = append(lines, line)
		}
	}
	return lines
}
