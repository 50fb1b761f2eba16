package ledger_test

import (
	"fmt"
	"testing"

	"orchiddrift/disk"
	"orchiddrift/ledger"
)

// openEmpty opens a ledger in a folder of its own, and closes both after the test.
func openEmpty(t *testing.T, limitBytes int) *ledger.Ledger {
	t.Helper()
	folder, err := disk.OpenDir(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { folder.Close() })
	l, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: limitBytes})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Guards against memory that grows with every notification ever accepted: a completed one is held no longer, also where segments are
// large and compaction comes late.
func TestCompletedNotificationsAreNotHeld(t *testing.T) {
	l := openEmpty(t, 100_000_000)
	const count, pending = 5000, 3
	for n := range count {
		id := fmt.Sprint("m", n)
		if err := l.Write(accepted(id, 20)); err != nil {
			t.Fatal(err)
		}
		if n < pending {
			continue
		}
		if err := l.Write(ledger.Record{Kind: ledger.Completed, ID: id}); err != nil {
			t.Fatal(err)
		}
	}
	if held := l.IndexedNotifications(); held != pending {
		t.Errorf("%d notifications held, %d are pending", held, pending)
	}
}
