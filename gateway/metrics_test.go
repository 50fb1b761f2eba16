package gateway

import (
	"strings"
	"testing"

	"orchiddrift/push"
)

// Guards against allocations for each push in the loop that serves all calls, caused by building the name of the counter
// each time.
func TestCountingDoesNotAllocate(t *testing.T) {
	m := NewMetrics()
	m.pushEnded(push.Delivered)
	m.pushRepeated()
	if n := testing.AllocsPerRun(100, func() { m.pushEnded(push.Delivered); m.pushRepeated() }); n > 0 {
		t.Errorf("%g allocations per push, want 0", n)
	}
	var text strings.Builder
	m.Write(&text)
	for _, line := range []string{`orchiddrift_pushes_total{end="` + push.Delivered.String() + `"} 102`,
		"orchiddrift_repeats_total 102"} {
		if !strings.Contains(text.String(), line+"\n") {
			t.Errorf("line %q missing from\n%s", line, text.String())
		}
	}
}
