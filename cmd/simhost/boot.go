package main

import (
	"fmt"
	"strconv"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/settings"
	"orchiddrift/simwire"
)

// newInstance returns an instance for a NEW_INSTANCE line, whose values are the seed and then settings as path=value pairs.
func newInstance(line simwire.Line) (*instance, error) {
	seed, err := strconv.ParseUint(line.Values[0], 10, 64)
	if err != nil {
		return nil, line.FieldError("prng", line.Values[0])
	}
	values, err := settings.FromPairs(line.Values[1:])
	if err != nil {
		return nil, fmt.Errorf("line %d: %s: %w", line.Number, line.Name, err)
	}
	dir := directory.New()
	scheduler, err := values.NewScheduler(seed, dir)
	if err != nil {
		return nil, fmt.Errorf("line %d: %s: %w", line.Number, line.Name, err)
	}
	return &instance{scheduler: scheduler, dir: dir, notifications: map[string]decide.Notification{}, pushesOut: map[string]int{},
		answered: map[string]bool{}}, nil
}
