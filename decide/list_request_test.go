package decide_test

import (
	"fmt"
	"testing"

	"orchiddrift/decide"
	"orchiddrift/directory"
)

// Guards against a watch of the list that nothing starts again: the answer to an overdue request is applied in the turn in which the
// watch was lost, before it, or with further answers and losses, and the list has to be requested again all the same.
func TestListRequestAfterLossAndLateAnswer(t *testing.T) {
	answered := func(dir *directory.Directory) { dir.Apply(nil) }
	lost := func(dir *directory.Directory) { dir.RecordFailure() }
	for i, events := range [][]func(*directory.Directory){{lost}, {lost, answered}, {answered, lost}, {lost, answered, answered}, {answered, lost, answered}} {
		t.Run(fmt.Sprint("order ", i), func(t *testing.T) {
			dir := directory.New()
			s := decide.New(7, dir, topics, decide.Capacity{MaxCalls: 4, MaxHeld: 9}, decide.Routes{}, decide.Recovery{},
				decide.PushPolicy{MaxPushes: 8}, decide.TenantQuotas{}, true)
			requests := 0
			for turn := range 20 { // two seconds a turn
				now := 2 * float64(turn)
				if wait, id := s.NextTurn(now); wait > 0 || id != "" {
					t.Fatalf("at %.0f s the list is not requested, %d requests before", now, requests)
				}
				if d := s.Place(now, decide.Notification{}); d.Action != decide.WatchList {
					t.Fatalf("at %.0f s: %+v", now, d)
				}
				requests++
				for _, event := range events {
					event(dir)
				}
				s.NextTurn(now + 0.5)
			}
		})
	}
}
