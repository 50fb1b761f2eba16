package main

import (
	"fmt"
	"strconv"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/simwire"
)

// newInstance starts an instance from its seed and settings, and hands each part of the module its own.
func newInstance(line simwire.Line) (*instance, error) {
	seed, err := strconv.ParseUint(line.Values[0], 10, 64)
	if err != nil {
		return nil, line.Bad("prng", line.Values[0])
	}
	s, err := line.Settings(1)
	if err != nil {
		return nil, err
	}
	kinds, batches := s.List("kinds"), s.Floats("family-info.batch-by-kind")
	batch, apart := map[string]int{}, map[string]bool{}
	for i, alone := range s.List("family-info.separate-routes") {
		if i < len(kinds) {
			apart[kinds[i]] = alone == "true"
		}
	}
	for i, b := range batches {
		if i < len(kinds) {
			batch[kinds[i]] = int(b)
		}
	}
	zones, fee := s.List("azs"), map[string]float64{}
	for i, f := range s.Floats("family-info.fee-by-zone") {
		if i < len(zones) {
			fee[zones[i]] = f
		}
	}
	settle := s.FloatOr("guarantees.turn-gap-ms", 0) / 1000
	mode := s.Text("membership-mode")
	dir := directory.New()
	m := decide.New(seed, dir, topics(s),
		decide.NewSlots(s.Int("family-info.max-calls"), s.Int("policy-limits.most-held"), batch),
		decide.NewRoutes(apart, fee),
		decide.NewReturns(s.Float("guarantees.cold-from"), s.Seconds("guarantees.cold-ms"),
			s.Float("guarantees.overload-factor"), s.Seconds("guarantees.fall-ms"), s.Int("balancers"),
			s.Text("weight-kind") == "rough"),
		decide.NewPushes(s.Int("policy-limits.max-attempts"), settle, s.Seconds("tick-ms")),
		decide.NewList(mode == "ask"))
	if s.Err() != nil {
		return nil, s.Err()
	}
	return &instance{module: m, dir: dir, hand: map[string]decide.Notification{}, out: map[string]int{},
		over: map[string]bool{}}, nil
}

func topics(s *simwire.Settings) []decide.Topic {
	var list []decide.Topic
	for i := range s.Int("classes.count") {
		at := fmt.Sprintf("classes.%d.", i)
		list = append(list, decide.Topic{
			Name: s.Text(at + "name"), Repeat: decide.Repeat(s.Text(at + "repeat")),
			Memory: s.FloatOr(at+"memory-span-ms", 0) / 1000, Group: s.Text(at + "group"),
			Objective: s.Seconds(at + "promise-ms"), TTL: s.Seconds(at + "deadline-ms"),
			Benefit: s.Float(at + "importance"), LateBenefit: s.FloatOr(at+"late-worth", 0),
			Ordered: s.Bool(at + "sequential")})
	}
	return list
}
