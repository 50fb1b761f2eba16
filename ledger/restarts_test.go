package ledger_test

import (
	"fmt"
	"strings"
	"testing"

	"orchiddrift/disk/faulty"
	"orchiddrift/ledger"
)

// What a call left behind by one process may have done is not taken back by a later process whose own attempt never ran,
// however many processes read the folder in between.
func TestCallOutlastsProcesses(t *testing.T) {
	f := faulty.New()
	reopen := func() (*ledger.Ledger, ledger.Pending) {
		f = f.Restart()
		l, owed, _, err := ledger.Open(f, ledger.Options{Limit: small})
		if err != nil || len(owed) != 1 {
			t.Fatal(len(owed), err)
		}
		return l, owed[0]
	}
	first, _, _, err := ledger.Open(f, ledger.Options{Limit: small})
	if err != nil {
		t.Fatal(err)
	}
	if err := first.Write(taken("a", 5), ledger.Record{Kind: ledger.CallStarted, ID: "a", StartedAt: 1001, Endpoint: "e1"}); err != nil {
		t.Fatal(err)
	}
	for process := 2; process <= 4; process++ {
		l, owed := reopen()
		if owed.Message.RanAt != 1001 || owed.Message.RanTo != "e1" {
			t.Fatalf("process %d: may have run at %g at %q", process, owed.Message.RanAt, owed.Message.RanTo)
		}
		if err := l.Write(ledger.Record{Kind: ledger.CallNotRun, ID: "a"}); err != nil {
			t.Fatal(err)
		}
	}
}

// began, notRun and mayRun are records of a call.
func began(call uint64, at float64, to, zone string) ledger.Record {
	return ledger.Record{Kind: ledger.CallStarted, ID: "a", StartedAt: at, Endpoint: to, Zone: zone, CallNumber: call}
}

func notRun(call uint64) ledger.Record {
	return ledger.Record{Kind: ledger.CallNotRun, ID: "a", CallNumber: call}
}

func mayRun(call uint64) ledger.Record {
	return ledger.Record{Kind: ledger.CallMayHaveRun, ID: "a", CallNumber: call}
}

// What the records of several processes come to. Each list is one process's; after each the folder is read anew, twice, with
// all that is owed written again between the two, and says the same.
func TestProcesses(t *testing.T) {
	unsent := notRun(2)
	unsent.Unsent = true
	for name, c := range map[string]struct {
		processes [][]ledger.Record
		want      string // when, where, in which zone and by which call it may have run first; pushes
		last      ledger.CallEnd
	}{
		"one call left out":                    {[][]ledger.Record{{began(1, 1001, "e1", "a")}}, `1001 e1 a 1, 1 pushes`, ledger.EndUnanswered},
		"an end that names no call":            {[][]ledger.Record{{began(1, 1001, "e1", "a")}, {notRun(0)}}, `1001 e1 a 1, 1 pushes`, ledger.EndUnanswered},
		"an end of a call that never began":    {[][]ledger.Record{{began(1, 1001, "e1", "a")}, {notRun(2)}}, `1001 e1 a 1, 1 pushes`, ledger.EndUnanswered},
		"a second call that never ran":         {[][]ledger.Record{{began(1, 1001, "e1", "a")}, {began(2, 1003, "e2", "b"), notRun(2)}}, `1001 e1 a 1, 2 pushes`, ledger.EndNeverRan},
		"a second call that may have run":      {[][]ledger.Record{{began(1, 1001, "e1", "a")}, {began(2, 1003, "e2", "b"), mayRun(2)}, {notRun(0)}}, `1001 e1 a 1, 2 pushes`, ledger.EndMayHaveRun},
		"both left out":                        {[][]ledger.Record{{began(1, 1001, "e1", "a")}, {began(2, 1003, "e2", "b")}, {}}, `1001 e1 a 1, 2 pushes`, ledger.EndUnanswered},
		"the first never ran":                  {[][]ledger.Record{{began(1, 1001, "e1", "a"), notRun(1)}, {began(2, 1003, "e2", "b")}}, `1003 e2 b 2, 2 pushes`, ledger.EndUnanswered},
		"a call that nothing was sent of":      {[][]ledger.Record{{began(1, 1001, "e1", "a"), notRun(1), began(2, 1003, "e2", "b"), unsent}}, `0   0, 1 pushes`, ledger.EndNeverRan},
		"an end whose beginning is not there":  {[][]ledger.Record{{mayRun(7)}}, `1   0, 0 pushes`, ledger.EndNone},
		"records of a version without numbers": {[][]ledger.Record{{began(0, 1001, "e1", ""), notRun(0)}, {began(3, 1004, "e2", "b"), notRun(3)}}, `1001 e1  0, 2 pushes`, ledger.EndNeverRan},
	} {
		f := faulty.New()
		l, _, _, err := ledger.Open(f, ledger.Options{Limit: small})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Write(taken("a", 5)); err != nil {
			t.Fatal(err)
		}
		for i, records := range c.processes {
			if err := l.Write(records...); err != nil {
				t.Fatal(err)
			}
			f = f.Restart()
			if l, _, _, err = ledger.Open(f, ledger.Options{Limit: small}); err != nil {
				t.Fatal(err)
			}
			if i < len(c.processes)-1 {
				continue
			}
			for round := range 2 {
				_, owed, _, err := ledger.Open(f.Restart(), ledger.Options{Limit: small})
				if err != nil || len(owed) != 1 {
					t.Fatal(len(owed), err)
				}
				m := owed[0].Message
				if got := fmt.Sprintf("%g %s %s %d, %d pushes", m.RanAt, m.RanTo, m.RanZone, m.RanCall, m.Pushes); got != c.want {
					t.Errorf("%s, round %d: %s, want %s", name, round, got, c.want)
				}
				if round == 0 && owed[0].LastCall.End != c.last { // a snapshot keeps only what ended calls come to
					t.Errorf("%s: the last call %q, want %q", name, owed[0].LastCall.End, c.last)
				}
				if err := l.Compact(); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

// Damage that one process finds is still known once a later process has written all that is owed again, and the damaged
// segment is gone.
func TestDamageOutlastsCompaction(t *testing.T) {
	f := faulty.New()
	l, _, _, err := ledger.Open(f, ledger.Options{Limit: small})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []ledger.Record{taken("a", 5), began(1, 1001, "e1", "z"), taken("b", 5)} {
		if err := l.Write(r); err != nil {
			t.Fatal(err)
		}
	}
	text := f.Content("segment-000001")
	text[strings.Index(string(text), "e1")] ^= 1 // that the call was begun nobody knows any more
	for process := 2; process <= 4; process++ {
		f = f.Restart()
		l, owed, report, err := ledger.Open(f, ledger.Options{Limit: small})
		if err != nil || len(owed) != 2 {
			t.Fatal(len(owed), err)
		}
		if owed[0].Message.RanAt == 0 {
			t.Errorf("process %d: the call is forgotten", process)
		}
		if damaged := len(report.Damaged) > 0; damaged != (process == 2) {
			t.Errorf("process %d: damage seen: %v", process, damaged)
		}
		filler := 0
		for l.RewrittenBytes() == 0 || f.Content("segment-000001")[0] != 0 { // until the damaged segment was given back
			filler++
			if err := l.Write(taken(fmt.Sprint("filler", process, filler), 2000), ledger.Record{Kind: ledger.Completed, ID: fmt.Sprint("filler", process, filler)}); err != nil {
				t.Fatal(err)
			}
			if filler > 1000 {
				break
			}
		}
	}
}

// All that is owed is written again while a call is out: its end still finds it, and a process that is killed leaves it out.
func TestRewrittenWhileOut(t *testing.T) {
	for _, ended := range []bool{true, false} {
		f := faulty.New()
		l, _, _, err := ledger.Open(f, ledger.Options{Limit: small})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Write(taken("a", 5), began(1, 1001, "e1", "z")); err != nil {
			t.Fatal(err)
		}
		for i := range 200 {
			id := fmt.Sprint("filler", i)
			if err := l.Write(taken(id, 2000), ledger.Record{Kind: ledger.Completed, ID: id}); err != nil {
				t.Fatal(err)
			}
		}
		if l.RewrittenBytes() == 0 {
			t.Fatal("nothing was written again")
		}
		if ended {
			if err := l.Write(notRun(1)); err != nil {
				t.Fatal(err)
			}
		}
		for range 2 {
			f = f.Restart()
			_, owed, _, err := ledger.Open(f, ledger.Options{Limit: small})
			if err != nil || len(owed) != 1 {
				t.Fatal(len(owed), err)
			}
			m := owed[0].Message
			if (m.RanAt == 0) != ended || m.Pushes != 1 || !ended && (m.RanZone != "z" || m.RanCall != 1) {
				t.Errorf("ended %v: may have run at %g in %q by call %d, %d pushes", ended, m.RanAt, m.RanZone, m.RanCall, m.Pushes)
			}
		}
	}
}

// A write of several records of which any part but not all is there, and which could not be taken back: a restart finds none of
// them, and what was written before and after.
func TestGroupIsWhole(t *testing.T) {
	const most = 1000 // bytes: more than the write has
	for part := range most {
		f := faulty.New()
		l, _, _, err := ledger.Open(f, ledger.Options{Limit: small})
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range []ledger.Record{taken("before", 5), {Kind: ledger.Completed, ID: "nobody"}} { // after that there is a reserve
			if err := l.Write(r); err != nil {
				t.Fatal(err)
			}
		}
		f.CrashAtWrite, f.CrashKeepBytes = f.Writes+1, part
		written := f.WrittenBytes
		err = l.Write(taken("a", 5), taken("b", 5), began(1, 1001, "e1", "z"))
		written = f.WrittenBytes - written
		if err == nil {
			t.Fatal("the write did not fail")
		}
		f = f.Restart()
		l, owed, _, err := ledger.Open(f, ledger.Options{Limit: small})
		if err != nil {
			t.Fatal(err)
		}
		if len(owed) == 3 { // all of it was there
			if part < written {
				t.Errorf("whole with %d bytes of %d", part, written)
			}
			return
		}
		if len(owed) != 1 || owed[0].Message.ID != "before" {
			t.Fatalf("%d bytes there: %d owed", part, len(owed))
		}
		if err := l.Write(taken("after", 5), taken("after that", 5)); err != nil {
			t.Fatal(err)
		}
		if _, owed, _, err = ledger.Open(f.Restart(), ledger.Options{Limit: small}); err != nil || len(owed) != 3 || owed[1].Message.ID != "after" {
			t.Fatalf("%d bytes there: %d owed after the next write, %v", part, len(owed), err)
		}
	}
	t.Errorf("not whole with %d bytes", most)
}
