// Package settings parses the platform's settings of a dispatcher and builds its scheduler from them.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// absent is the text that marks a setting as not set.
const absent = "-"

// Values holds settings as text, by path. Unknown settings are ignored. The accessors record an error for the first setting
// that is missing or invalid, which Err returns; they are not safe for concurrent use.
type Values struct {
	values map[string]string // by path
	err    error
}

// FromPairs parses path=value pairs.
func FromPairs(pairs []string) (*Values, error) {
	s := &Values{values: map[string]string{}}
	for _, pair := range pairs {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fieldError("boot-info", pair)
		}
		s.values[path] = value
	}
	return s, nil
}

// FromJSON parses a nested object. The path of a value is the keys that lead to it, joined by dots. The scalars of a list
// are joined by commas. The objects of a list are numbered from 0 in the path, and their count is stored under the suffix
// ".count".
func FromJSON(text []byte) (*Values, error) {
	var tree map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Values{values: map[string]string{}}
	for name, v := range tree {
		s.flatten(name, v)
	}
	return s, nil
}

// flatten stores v, or the values that it contains, under path.
func (s *Values) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, child := range v {
			s.flatten(path+"."+name, child)
		}
	case []any:
		var scalars []string
		for i, element := range v {
			if _, ok := element.(map[string]any); ok {
				s.values[path+".count"] = strconv.Itoa(len(v))
				s.flatten(fmt.Sprintf("%s.%d", path, i), element)
			} else {
				scalars = append(scalars, fmt.Sprint(element))
			}
		}
		s.values[path] = strings.Join(scalars, ",")
	case nil:
	default:
		s.values[path] = fmt.Sprint(v)
	}
}

// fieldError returns the error for a setting with an invalid value. A missing setting has an empty value.
func fieldError(path, value string) error { return fmt.Errorf("field %s cannot be %q", path, value) }

// Err returns the first error that an accessor recorded.
func (s *Values) Err() error { return s.err }

// Text returns a required setting.
func (s *Values) Text(path string) string {
	v, ok := s.values[path]
	if (!ok || v == absent) && s.err == nil {
		s.err = fieldError(path, v)
	}
	return v
}

// oneOf returns a setting whose value must be one of allowed. If it is not set, oneOf returns fallback. An empty fallback
// makes the setting required.
func (s *Values) oneOf(path, fallback string, allowed ...string) string {
	v, ok := s.values[path]
	if (!ok || v == absent) && fallback != "" {
		return fallback
	}
	if !slices.Contains(allowed, v) && s.err == nil {
		s.err = fmt.Errorf("%w: use one of %s", fieldError(path, v), strings.Join(allowed, ", "))
	}
	return v
}

// Float returns a required number. NaN and infinities are invalid.
func (s *Values) Float(path string) float64 {
	text := s.Text(path)
	v, err := strconv.ParseFloat(text, 64)
	if (err != nil || math.IsNaN(v) || math.IsInf(v, 0)) && s.err == nil {
		s.err = fieldError(path, text)
	}
	return v
}

// FloatOr returns a number as Float does, or fallback if it is not set.
func (s *Values) FloatOr(path string, fallback float64) float64 {
	if v, ok := s.values[path]; !ok || v == absent {
		return fallback
	}
	return s.Float(path)
}

// Seconds returns a required duration in seconds. The setting holds it in milliseconds.
func (s *Values) Seconds(path string) float64 { return s.Float(path) / 1000 }

// Int returns a required integer.
func (s *Values) Int(path string) int {
	text := s.Text(path)
	v, err := strconv.Atoi(text)
	if err != nil && s.err == nil {
		s.err = fieldError(path, text)
	}
	return v
}

// Bool reports whether a setting is true. A setting that is not set counts as false.
func (s *Values) Bool(path string) bool {
	switch v := s.values[path]; v {
	case "true", "1":
		return true
	case "", absent, "false", "0":
	default:
		if s.err == nil {
			s.err = fieldError(path, v)
		}
	}
	return false
}

// List returns the elements of a comma-separated list, none if it is not set.
func (s *Values) List(path string) []string {
	if v := s.values[path]; v != "" && v != absent {
		return strings.Split(v, ",")
	}
	return nil
}

// Floats returns the numbers of a comma-separated list, none if it is not set.
func (s *Values) Floats(path string) []float64 {
	var list []float64
	for _, text := range s.List(path) {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil && s.err == nil {
			s.err = fieldError(path, text)
		}
		list = append(list, v)
	}
	return list
}
