package gateway

import (
	"strings"
	"testing"

	"orchiddrift/push"
)

// Each push put its counter's name together anew and looked it up in a locked set, on the loop that all calls wait for. Seen as an
// allocation for each push by this test.
func TestCountAllocatesNothing(t *testing.T) {
	m := NewMetrics()
	m.pushEnded(push.Delivered)
	m.pushRepeated()
	if n := testing.AllocsPerRun(100, func() { m.pushEnded(push.Delivered); m.pushRepeated() }); n > 0 {
		t.Errorf("%g allocations for a push", n)
	}
	var text strings.Builder
	m.Write(&text)
	for _, line := range []string{`orchiddrift_pushes_total{end="` + push.Delivered.String() + `"} 102`, "orchiddrift_repeats_total 102"} {
		if !strings.Contains(text.String(), line+"\n") {
			t.Errorf("no line %q in\n%s", line, text.String())
		}
	}
}
