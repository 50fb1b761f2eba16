package main

import (
	"fmt"
	"strconv"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/settings"
	"orchiddrift/simwire"
)

// newInstance starts an instance from its seed and settings.
func newInstance(line simwire.Line) (*instance, error) {
	seed, err := strconv.ParseUint(line.Values[0], 10, 64)
	if err != nil {
		return nil, line.FieldError("prng", line.Values[0])
	}
	s, err := settings.FromPairs(line.Values[1:])
	if err != nil {
		return nil, fmt.Errorf("line %d: %s: %w", line.Number, line.Name, err)
	}
	dir := directory.New()
	m, err := s.NewModule(seed, dir)
	if err != nil {
		return nil, fmt.Errorf("line %d: %s: %w", line.Number, line.Name, err)
	}
	return &instance{module: m, dir: dir, hand: map[string]decide.Notification{}, out: map[string]int{},
		over: map[string]bool{}}, nil
}
