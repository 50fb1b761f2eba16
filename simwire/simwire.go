// Package simwire reads the simulator's wire protocol: lines of space-separated fields, grouped into batches.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

// Absent is the text of a value that is not set.
const Absent = "-"

// Line is one line of a batch. Its accessors take the index of a value and, for errors, the name of the field that the value
// stands for. They panic if the line has no such value, so RequireValues has to be called first.
type Line struct {
	Number int      // line number in the input, from 1
	Name   string   // first field: the event or kind of line
	Values []string // the other fields
}

// Reader reads and numbers lines.
type Reader struct {
	in   *bufio.Reader
	line int // number of the last line read, 0 at the start
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<20)} }

// Next returns the next line, or io.EOF after the last one.
func (r *Reader) Next() (Line, error) {
	text, err := r.in.ReadString('\n')
	if text == "" && errors.Is(err, io.EOF) {
		return Line{}, io.EOF
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return Line{}, fmt.Errorf("reading after line %d: %w", r.line, err)
	}
	r.line++
	fields := strings.Split(strings.TrimRight(text, "\r\n"), " ")
	return Line{Number: r.line, Name: fields[0], Values: fields[1:]}, nil
}

// RequireValues returns an error unless the line has exactly n values.
func (l Line) RequireValues(n int) error {
	if len(l.Values) != n {
		return fmt.Errorf("line %d: %s has %d values, not %d", l.Number, l.Name, len(l.Values), n)
	}
	return nil
}

// FieldError returns the error for a field with an invalid value.
func (l Line) FieldError(field, value string) error {
	return fmt.Errorf("line %d: %s: field %s cannot be %q", l.Number, l.Name, field, value)
}

// Text returns value i. It is an error if the value is absent or empty.
func (l Line) Text(i int, field string) (string, error) {
	if v := l.Values[i]; v != "" && v != Absent {
		return v, nil
	}
	return "", l.FieldError(field, l.Values[i])
}

// Optional returns value i, or "" if it is absent.
func (l Line) Optional(i int) string {
	if l.Values[i] == Absent {
		return ""
	}
	return l.Values[i]
}

// Float returns value i as a finite number, or 0 if it is absent.
func (l Line) Float(i int, field string) (float64, error) {
	if l.Values[i] == Absent {
		return 0, nil
	}
	v, err := strconv.ParseFloat(l.Values[i], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, l.FieldError(field, l.Values[i])
	}
	return v, nil
}

// Int returns value i as an integer, or 0 if it is absent.
func (l Line) Int(i int, field string) (int64, error) {
	if l.Values[i] == Absent {
		return 0, nil
	}
	v, err := strconv.ParseInt(l.Values[i], 10, 64)
	if err != nil {
		return 0, l.FieldError(field, l.Values[i])
	}
	return v, nil
}

// Bool returns value i, which is 1 for true or 0 for false. It is an error if the value is absent.
func (l Line) Bool(i int, field string) (bool, error) {
	switch l.Values[i] {
	case "1":
		return true, nil
	case "0":
		return false, nil
	}
	return false, l.FieldError(field, l.Values[i])
}

// LoadReport returns value i, a load report of comma-separated name:number pairs, by name. It returns nil if the value is
// absent.
func (l Line) LoadReport(i int, field string) (map[string]float64, error) {
	if l.Values[i] == Absent {
		return nil, nil
	}
	report := map[string]float64{}
	for pair := range strings.SplitSeq(l.Values[i], ",") {
		name, text, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(text, 64)
		if !ok || name == "" || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return nil, l.FieldError(field, l.Values[i])
		}
		report[name] = v
	}
	return report, nil
}
