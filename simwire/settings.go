package simwire

import (
	"math"
	"strconv"
	"strings"
)

// Settings are the path=value pairs an instance starts with. Unknown ones are kept and do no harm. The first
// setting that is missing or unreadable is kept as the error.
type Settings struct {
	line   Line
	values map[string]string
	err    error
}

// Settings reads the values from the i-th on as settings.
func (l Line) Settings(i int) (*Settings, error) {
	s := &Settings{line: l, values: map[string]string{}}
	for _, pair := range l.Values[i:] {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, l.Bad("boot-info", pair)
		}
		s.values[path] = value
	}
	return s, nil
}

// Err is the first error met.
func (s *Settings) Err() error { return s.err }

// Text returns a setting that must be there.
func (s *Settings) Text(path string) string {
	v, ok := s.values[path]
	if (!ok || v == Absent) && s.err == nil {
		s.err = s.line.Bad(path, v)
	}
	return v
}

// Float returns a number that must be there.
func (s *Settings) Float(path string) float64 {
	text := s.Text(path)
	v, err := strconv.ParseFloat(text, 64)
	if (err != nil || math.IsNaN(v) || math.IsInf(v, 0)) && s.err == nil {
		s.err = s.line.Bad(path, text)
	}
	return v
}

// FloatOr returns a number, or other where there is none.
func (s *Settings) FloatOr(path string, other float64) float64 {
	if v, ok := s.values[path]; !ok || v == Absent {
		return other
	}
	return s.Float(path)
}

// Seconds returns a time, which the wire gives in milliseconds.
func (s *Settings) Seconds(path string) float64 { return s.Float(path) / 1000 }

// Int returns a whole number that must be there.
func (s *Settings) Int(path string) int {
	text := s.Text(path)
	v, err := strconv.Atoi(text)
	if err != nil && s.err == nil {
		s.err = s.line.Bad(path, text)
	}
	return v
}

// Bool returns a flag, true or false; absent is false.
func (s *Settings) Bool(path string) bool {
	switch v := s.values[path]; v {
	case "true", "1":
		return true
	case "", Absent, "false", "0":
	default:
		if s.err == nil {
			s.err = s.line.Bad(path, v)
		}
	}
	return false
}

// List returns a comma-joined list; absent is empty.
func (s *Settings) List(path string) []string {
	if v := s.values[path]; v != "" && v != Absent {
		return strings.Split(v, ",")
	}
	return nil
}

// Floats returns a list of numbers; absent is empty.
func (s *Settings) Floats(path string) []float64 {
	var list []float64
	for _, text := range s.List(path) {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil && s.err == nil {
			s.err = s.line.Bad(path, text)
		}
		list = append(list, v)
	}
	return list
}
