package ledger_test

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"orchiddrift/disk/faulty"
	"orchiddrift/ledger"
)

// A call that was open when its process ended counts as one that may have run. Later processes whose own calls never ran
// do not revoke this, however many restarts there are.
func TestOpenCallSurvivesRestarts(t *testing.T) {
	folder := faulty.New()
	reopen := func() (*ledger.Ledger, ledger.Pending) {
		folder = folder.Restart()
		l, pending, _, err := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit})
		if err != nil || len(pending) != 1 {
			t.Fatal(len(pending), err)
		}
		return l, pending[0]
	}
	first, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit})
	if err != nil {
		t.Fatal(err)
	}
	if err := first.Write(accepted("a", 5), ledger.Record{Kind: ledger.CallStarted, ID: "a", StartedAt: 1001, Endpoint: "e1"}); err != nil {
		t.Fatal(err)
	}
	for process := 2; process <= 4; process++ {
		l, pending := reopen()
		if pending.Message.FirstRunAt != 1001 || pending.Message.FirstRunEndpoint != "e1" {
			t.Fatalf("process %d: may have run at %g at %q", process, pending.Message.FirstRunAt, pending.Message.FirstRunEndpoint)
		}
		if err := l.Write(ledger.Record{Kind: ledger.CallNotRun, ID: "a"}); err != nil {
			t.Fatal(err)
		}
	}
}

// callStarted returns a record of the start of a call of notification "a".
func callStarted(call uint64, startedAt float64, endpoint, zone string) ledger.Record {
	return ledger.Record{Kind: ledger.CallStarted, ID: "a", StartedAt: startedAt, Endpoint: endpoint, Zone: zone, CallNumber: call}
}

// callNotRun returns a record that a call of notification "a" never ran.
func callNotRun(call uint64) ledger.Record {
	return ledger.Record{Kind: ledger.CallNotRun, ID: "a", CallNumber: call}
}

// callMayHaveRun returns a record that a call of notification "a" may have run.
func callMayHaveRun(call uint64) ledger.Record {
	return ledger.Record{Kind: ledger.CallMayHaveRun, ID: "a", CallNumber: call}
}

// A notification is restored from the call records of several successive processes. Each list holds the records of one
// process, which is followed by a restart. After the last restart the ledger is read before and after compaction, with the
// same result.
func TestCallRecordsAcrossRestarts(t *testing.T) {
	unsent := callNotRun(2)
	unsent.Unsent = true
	for name, c := range map[string]struct {
		processes [][]ledger.Record
		want      string         // time, endpoint, zone and number of the first call that may have run; number of pushes
		last      ledger.CallEnd // end of the last call, before compaction
	}{
		"one call without an end":             {[][]ledger.Record{{callStarted(1, 1001, "e1", "a")}}, `1001 e1 a 1, 1 pushes`, ledger.EndUnanswered},
		"an end without a call number":        {[][]ledger.Record{{callStarted(1, 1001, "e1", "a")}, {callNotRun(0)}}, `1001 e1 a 1, 1 pushes`, ledger.EndUnanswered},
		"an end of a call that never started": {[][]ledger.Record{{callStarted(1, 1001, "e1", "a")}, {callNotRun(2)}}, `1001 e1 a 1, 1 pushes`, ledger.EndUnanswered},
		"a second call that never ran":        {[][]ledger.Record{{callStarted(1, 1001, "e1", "a")}, {callStarted(2, 1003, "e2", "b"), callNotRun(2)}}, `1001 e1 a 1, 2 pushes`, ledger.EndNeverRan},
		"a second call that may have run":     {[][]ledger.Record{{callStarted(1, 1001, "e1", "a")}, {callStarted(2, 1003, "e2", "b"), callMayHaveRun(2)}, {callNotRun(0)}}, `1001 e1 a 1, 2 pushes`, ledger.EndMayHaveRun},
		"two calls without an end":            {[][]ledger.Record{{callStarted(1, 1001, "e1", "a")}, {callStarted(2, 1003, "e2", "b")}, {}}, `1001 e1 a 1, 2 pushes`, ledger.EndUnanswered},
		"a first call that never ran":         {[][]ledger.Record{{callStarted(1, 1001, "e1", "a"), callNotRun(1)}, {callStarted(2, 1003, "e2", "b")}}, `1003 e2 b 2, 2 pushes`, ledger.EndUnanswered},
		"a call that was not sent":            {[][]ledger.Record{{callStarted(1, 1001, "e1", "a"), callNotRun(1), callStarted(2, 1003, "e2", "b"), unsent}}, `0   0, 1 pushes`, ledger.EndNeverRan},
		"an end of a call without a start":    {[][]ledger.Record{{callMayHaveRun(7)}}, `1   0, 0 pushes`, ledger.EndNone},
		"records without call numbers":        {[][]ledger.Record{{callStarted(0, 1001, "e1", ""), callNotRun(0)}, {callStarted(3, 1004, "e2", "b"), callNotRun(3)}}, `1001 e1  0, 2 pushes`, ledger.EndNeverRan},
	} {
		folder := faulty.New()
		l, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Write(accepted("a", 5)); err != nil {
			t.Fatal(err)
		}
		for i, records := range c.processes {
			if err := l.Write(records...); err != nil {
				t.Fatal(err)
			}
			folder = folder.Restart()
			if l, _, _, err = ledger.Open(folder, ledger.Options{LimitBytes: smallLimit}); err != nil {
				t.Fatal(err)
			}
			if i < len(c.processes)-1 {
				continue
			}
			for compactions := range 2 {
				_, pending, _, err := ledger.Open(folder.Restart(), ledger.Options{LimitBytes: smallLimit})
				if err != nil || len(pending) != 1 {
					t.Fatal(len(pending), err)
				}
				m := pending[0].Message
				if got := fmt.Sprintf("%g %s %s %d, %d pushes", m.FirstRunAt, m.FirstRunEndpoint, m.FirstRunZone, m.FirstRunCall, m.Pushes); got != c.want {
					t.Errorf("%s, after %d compactions: got %s, want %s", name, compactions, got, c.want)
				}
				if compactions == 0 && pending[0].LastCall.End != c.last { // compaction drops the records of ended calls
					t.Errorf("%s: last call ended %q, want %q", name, pending[0].LastCall.End, c.last)
				}
				if err := l.Compact(); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

// One process reads a damaged segment, so that a pending notification counts as one that may have run. It still does after
// compaction has rewritten the notification and released the damaged segment, in that process and later ones.
func TestDamageSurvivesCompaction(t *testing.T) {
	folder := faulty.New()
	l, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []ledger.Record{accepted("a", 5), callStarted(1, 1001, "e1", "z"), accepted("b", 5)} {
		if err := l.Write(r); err != nil {
			t.Fatal(err)
		}
	}
	content := folder.Content("segment-000001")
	content[strings.Index(string(content), "\x02e1\x01z")] ^= 1 // damages the CallStarted record
	for process := 2; process <= 4; process++ {
		folder = folder.Restart()
		l, pending, report, err := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit})
		if err != nil || len(pending) != 2 {
			t.Fatal(len(pending), err)
		}
		if pending[0].Message.FirstRunAt == 0 {
			t.Errorf("process %d: restored as not run, although it may have run", process)
		}
		if damaged := len(report.Damaged) > 0; damaged != (process == 2) {
			t.Errorf("process %d: damage reported: %v", process, damaged)
		}
		fillers := 0
		released := func() bool { return binary.LittleEndian.Uint32(folder.Content("segment-000001")[8:]) != 1 } // it has another number
		for l.RewrittenBytes() == 0 || !released() {
			fillers++
			if err := l.Write(accepted(fmt.Sprint("filler", process, fillers), 2000), ledger.Record{Kind: ledger.Completed, ID: fmt.Sprint("filler", process, fillers)}); err != nil {
				t.Fatal(err)
			}
			if fillers > 1000 {
				break
			}
		}
	}
}

// Compaction rewrites a notification during a call. The end of the call is still applied to it, and if the process is
// killed instead, the call counts as one that may have run.
func TestCompactionDuringCall(t *testing.T) {
	for _, ended := range []bool{true, false} {
		folder := faulty.New()
		l, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Write(accepted("a", 5), callStarted(1, 1001, "e1", "z")); err != nil {
			t.Fatal(err)
		}
		for i := range 200 {
			id := fmt.Sprint("filler", i)
			if err := l.Write(accepted(id, 2000), ledger.Record{Kind: ledger.Completed, ID: id}); err != nil {
				t.Fatal(err)
			}
		}
		if l.RewrittenBytes() == 0 {
			t.Fatal("nothing was rewritten")
		}
		if ended {
			if err := l.Write(callNotRun(1)); err != nil {
				t.Fatal(err)
			}
		}
		for range 2 {
			folder = folder.Restart()
			_, pending, _, err := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit})
			if err != nil || len(pending) != 1 {
				t.Fatal(len(pending), err)
			}
			m := pending[0].Message
			if (m.FirstRunAt == 0) != ended || m.Pushes != 1 || !ended && (m.FirstRunZone != "z" || m.FirstRunCall != 1) {
				t.Errorf("ended %v: may have run at %g in %q by call %d, %d pushes", ended, m.FirstRunAt, m.FirstRunZone, m.FirstRunCall, m.Pushes)
			}
		}
	}
}

// The process crashes during a write of several records, of which only the first bytes are stored, for each possible number
// of bytes. A restart restores none of these records, but all those written before and after.
func TestBatchIsAtomic(t *testing.T) {
	const maxBytes = 1000 // more than the size of the write
	for keptBytes := range maxBytes {
		folder := faulty.New()
		l, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit})
		if err != nil {
			t.Fatal(err)
		}
		// The write of the Completed record also allocates the reserved files.
		for _, r := range []ledger.Record{accepted("before", 5), {Kind: ledger.Completed, ID: "unknown"}} {
			if err := l.Write(r); err != nil {
				t.Fatal(err)
			}
		}
		folder.CrashAtWrite, folder.CrashKeepBytes = folder.Writes+1, keptBytes
		written := folder.WrittenBytes
		err = l.Write(accepted("a", 5), accepted("b", 5), callStarted(1, 1001, "e1", "z"))
		written = folder.WrittenBytes - written
		if err == nil {
			t.Fatal("the write did not fail")
		}
		folder = folder.Restart()
		l, pending, _, err := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit})
		if err != nil {
			t.Fatal(err)
		}
		if len(pending) == 3 { // the whole write was stored
			if keptBytes < written {
				t.Errorf("all records restored with %d of %d bytes stored", keptBytes, written)
			}
			return
		}
		if len(pending) != 1 || pending[0].Message.ID != "before" {
			t.Fatalf("%d bytes stored: %d pending", keptBytes, len(pending))
		}
		if err := l.Write(accepted("after", 5), accepted("after that", 5)); err != nil {
			t.Fatal(err)
		}
		if _, pending, _, err = ledger.Open(folder.Restart(), ledger.Options{LimitBytes: smallLimit}); err != nil || len(pending) != 3 || pending[1].Message.ID != "after" {
			t.Fatalf("%d bytes stored: %d pending after the next write, %v", keptBytes, len(pending), err)
		}
	}
	t.Errorf("not all records restored with %d bytes stored", maxBytes)
}
