package behaviour

// parts is into how many the span is cut in which a destination falls over.
const parts = 3

// Strain tells when a destination was sent more than a multiple of what it can take for a whole span. The span is cut
// into parts, and each must hold too much: a burst of a moment is no lasting load. Rates are small, so each part must
// hold one call more than the multiple.
type Strain struct {
	Multiple float64
	Span     float64                   // seconds
	Capacity func(now float64) float64 // calls a second
	calls    []float64
}

// Add takes in a call and tells whether the destination falls over with it. Calls come in the order of their times.
func (s *Strain) Add(now float64) bool {
	s.calls = append(s.calls, now)
	for len(s.calls) > 0 && s.calls[0] <= now-s.Span {
		s.calls = s.calls[1:]
	}
	part := s.Span / parts
	var count [parts]int
	for _, at := range s.calls {
		count[min(parts-1, int((now-at)/part))]++
	}
	for i, n := range count {
		middle := now - (float64(i)+0.5)*part
		if float64(n) <= s.Multiple*s.Capacity(middle)*part+1 {
			return false
		}
	}
	return true
}

// Calls are those of the span so far.
func (s *Strain) Calls() []float64 { return s.calls }
