package admission

// RuntimeMemory is a reading of the memory of this process, in bytes.
type RuntimeMemory struct {
	Resident int // of the whole process
	Mapped   int // what the runtime counts against its limit, whether it was ever written to or not
	Objects  int // of the heap, live ones and garbage; part of Mapped
	Free     int // pages of the heap that hold no objects; part of Mapped
	Live     int // objects that the last collection found in use
}

const (
	// collectorMargin is how far below its limit the runtime collects.
	collectorMargin = 1 << 20
	// leastGarbage is the garbage between two collections that is always allowed. The reserve holds it.
	leastGarbage = 500_000
)

// RuntimeLimit returns the limit, in bytes, to set for the runtime, so that the program and the heap stay within their part of the division.
// The runtime counts all that it has mapped, also tables that are filled only as the heap grows; the limit of the process counts what is
// resident. Where what is in use leaves no room, a lower limit would make the collector run without end and free nothing: accounts bound
// what is in use. Nor is it lower than the heap: what is mapped within that is within its part, whatever else is resident.
func (d Division) RuntimeLimit(m RuntimeMemory) int {
	unused := programBytes + d.HeapBytes - m.Resident
	beside := m.Mapped - m.Objects - m.Free
	return max(d.HeapBytes, m.Mapped+unused, beside+m.Live+leastGarbage+collectorMargin)
}
