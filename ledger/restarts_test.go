package ledger_test

import (
	"testing"

	"orchiddrift/disk/faulty"
	"orchiddrift/ledger"
)

// What a call left behind by one process may have done is not taken back by a later process whose own attempt never ran,
// however many processes read the folder in between.
func TestCallOutlastsProcesses(t *testing.T) {
	f := faulty.New()
	reopen := func() (*ledger.Ledger, ledger.Owed) {
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
	if err := first.Write(taken("a", 5), ledger.Record{Kind: ledger.Began, ID: "a", At: 1001, To: "e1"}); err != nil {
		t.Fatal(err)
	}
	for process := 2; process <= 4; process++ {
		l, owed := reopen()
		if owed.Message.RanAt != 1001 || owed.Message.RanTo != "e1" {
			t.Fatalf("process %d: may have run at %g at %q", process, owed.Message.RanAt, owed.Message.RanTo)
		}
		if err := l.Write(ledger.Record{Kind: ledger.NotRun, ID: "a"}); err != nil {
			t.Fatal(err)
		}
	}
}
