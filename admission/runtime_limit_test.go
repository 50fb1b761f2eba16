package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a limit of the runtime under which the collector runs without end, because tables of the runtime or what is in use leave no
// room for garbage; and against one that lets the process use more than its part of the memory.
func TestCollectorHasRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MemoryBytes: rapid.IntRange(18, 2048).Draw(t, "MB") * bytesPerMB, Descriptors: rapid.IntRange(64, 4096).Draw(t, "descriptors"),
			DiskBytes: 3 * bytesPerMB, MaxMessages: 100, MaxCalls: 20}
		d, err := Divide(limits)
		if err != nil {
			t.Fatal(err)
		}
		m := RuntimeMemory{Live: rapid.IntRange(0, d.HeapBytes).Draw(t, "live")}
		m.Objects = m.Live + rapid.IntRange(0, d.HeapBytes).Draw(t, "garbage")
		m.Free = rapid.IntRange(0, bytesPerMB).Draw(t, "free")
		m.Mapped = m.Objects + m.Free + rapid.IntRange(0, 16*bytesPerMB).Draw(t, "tables and stacks")
		m.Resident = rapid.IntRange(0, 2*limits.MemoryBytes).Draw(t, "resident")

		limit := d.RuntimeLimit(m)
		beside := m.Mapped - m.Objects - m.Free
		if garbage := limit - collectorMargin - beside - m.Live; garbage < leastGarbage {
			t.Errorf("the collector runs after %d bytes of garbage", garbage)
		}
		resident := m.Resident + limit - m.Mapped
		if limit < d.HeapBytes {
			t.Errorf("a limit of %d bytes, the heap has %d", limit, d.HeapBytes)
		}
		if grown := max(d.HeapBytes, beside+m.Live+leastGarbage+collectorMargin); resident > programBytes+d.HeapBytes && limit > grown {
			t.Errorf("%d bytes may be resident, %d are allowed", resident, programBytes+d.HeapBytes)
		}
		if d.ReserveBytes < leastGarbage {
			t.Errorf("%+v: a reserve of %d bytes does not hold the least garbage", limits, d.ReserveBytes)
		}
	})
}
