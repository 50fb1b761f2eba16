package ledger_test

import (
	"fmt"
	"syscall"
	"testing"

	"orchiddrift/disk/faulty"
	"orchiddrift/ledger"
)

// failedWriteLimit is the limit of the ledger in bytes; its segments hold two long messages.
const failedWriteLimit = 120 << 10

// Guards against accepted messages that are lost, and refused ones that are restored, because a write fails that was stored in
// part or whole: each write of a sequence that goes through several segments fails in turn, alone or with the ones after it.
func TestFailedWriteStoredAnyway(t *testing.T) {
	const failuresInRow = 3
	for _, keep := range []float64{0, 0.5, 1} {
		for count := 1; count <= failuresInRow; count++ {
			for first := 1; ; first++ {
				folder := faulty.New()
				l, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: failedWriteLimit})
				if err != nil {
					t.Fatal(err)
				}
				folder.FailFrom, folder.FailUntil, folder.FailKeep = folder.Writes+first, folder.Writes+first+count-1, keep
				name := fmt.Sprintf("write %d to %d, %.0f%% stored", first, first+count-1, 100*keep)
				if !checkSequence(t, name, folder, l) {
					break
				}
			}
		}
	}
}

// checkSequence writes messages, long and short ones in turn, and compares with what a process that starts then would find: after each
// of the first messages since the failure, and after the last. It reports whether all the writes that were to fail have come.
func checkSequence(t *testing.T, name string, folder *faulty.Folder, l *ledger.Ledger) bool {
	t.Helper()
	const messages, longBody, shortBody, keptMessages, checkedMessages = 24, 5000, 10, 6, 6
	messagesAfterFailure := 0
	written, refused := map[string]bool{}, map[string]bool{}
	var pending []string
	for i := range messages {
		id := fmt.Sprint("n", i)
		switch err := l.Write(accepted(id, []int{longBody, shortBody, shortBody}[i%3])); {
		case err == nil:
			written[id] = true
			pending = append(pending, id)
		case l.DiscardFailedWrite():
			refused[id] = true
		}
		if len(pending) > keptMessages && l.Write(ledger.Record{Kind: ledger.Completed, ID: pending[0]}) == nil {
			delete(written, pending[0])
			pending = pending[1:]
		}
		if folder.Writes < folder.FailFrom {
			continue // nothing has failed yet
		}
		if messagesAfterFailure++; messagesAfterFailure > checkedMessages && i < messages-1 {
			continue // what is lost by then stays so until the last message
		}
		if !sameAfterRestart(t, fmt.Sprintf("%s, after %s", name, id), folder, written, refused) {
			break
		}
	}
	return folder.Writes >= folder.FailUntil
}

// sameAfterRestart reports whether a process that starts now finds the written messages and none of the refused ones.
func sameAfterRestart(t *testing.T, name string, folder *faulty.Folder, written, refused map[string]bool) bool {
	t.Helper()
	_, restored, _, err := ledger.Open(folder.Restart(), ledger.Options{LimitBytes: failedWriteLimit, ReadOnly: true})
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	found := map[string]bool{}
	for _, p := range restored {
		if found[p.Message.ID] = true; refused[p.Message.ID] {
			t.Errorf("%s: %s was refused and is restored", name, p.Message.ID)
			return false
		}
	}
	for id := range written {
		if !found[id] {
			t.Errorf("%s: %s was accepted and is lost", name, id)
			return false
		}
	}
	return true
}

// Guards against refusals that wait while a failing disk has stored nothing of the message: whether a later process could read its
// record can be told at once, also with sync. Where the record was stored it has to be wiped first.
func TestRefusalWhileWritesFail(t *testing.T) {
	for _, sync := range []bool{false, true} {
		for _, keep := range []float64{0, 0.5, 1} {
			folder := faulty.New()
			l, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: failedWriteLimit, Sync: sync})
			if err != nil {
				t.Fatal(err)
			}
			for i := range 3 { // the reserved files are there from then on
				if err := l.Write(accepted(fmt.Sprint("n", i), 10)); err != nil {
					t.Fatal(err)
				}
			}
			folder.FailFrom, folder.FailUntil, folder.FailKeep = folder.Writes+1, 1<<30, keep
			if l.Write(accepted("refused", 10)) == nil {
				t.Fatal("the write succeeded")
			}
			if discarded, want := l.DiscardFailedWrite(), keep < 1; discarded != want {
				t.Errorf("sync %v, %.0f%% stored: discarded %v, want %v", sync, 100*keep, discarded, want)
			}
			folder.FailUntil = 0
			if !l.DiscardFailedWrite() {
				t.Errorf("sync %v, %.0f%% stored: not discarded on a disk that works again", sync, 100*keep)
			}
			sameAfterRestart(t, fmt.Sprintf("sync %v, %.0f%% stored", sync, 100*keep), folder, map[string]bool{"n0": true}, map[string]bool{"refused": true})
		}
	}
}

// Guards against a descriptor that leaks with each new file whose sync fails.
func TestFailedSyncLeavesNoFileOpen(t *testing.T) {
	folder := faulty.New()
	l, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: failedWriteLimit, Sync: true})
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Write(accepted("n0", 10)); err != nil {
		t.Fatal(err)
	}
	before := folder.OpenFiles
	folder.SyncErr = syscall.EIO
	for range 200 { // a failed allocation is tried again after some writes
		if l.Write(accepted("n1", 10)) == nil {
			t.Fatal("written although syncs fail")
		}
	}
	if names, _ := folder.List(); folder.OpenFiles > before || len(names) > before {
		t.Errorf("%d files open, %d before; %d in the folder", folder.OpenFiles, before, len(names))
	}
}
