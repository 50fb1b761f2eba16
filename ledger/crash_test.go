package ledger_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"orchiddrift/disk/faulty"
	"orchiddrift/ledger"
)

const smallLimit = 200 << 10 // limit of the ledger in bytes; allows only eight files, so that they are recycled often

// expectation is the state of a notification according to the results of the writes to the ledger.
type expectation struct {
	pushes           int
	mayHaveRun       bool   // a push may have run
	openCall         uint64 // number of the call without an end, 0 for none
	notice           string // outcome of the pending notice; "" for none
	order            int    // position in the order of acceptance
	lastWriteCrashed bool   // the process crashed during the last write
	acceptCrashed    bool   // the process crashed during the write of its Accepted record
	completeCrashed  bool   // the process crashed during the write of its Completed record
	accepted         bool   // the write of its Accepted record succeeded
	completed        bool   // the write of its Completed record succeeded
}

// harness runs random operations on a ledger and keeps the expected state in a map.
type harness struct {
	ledger      *ledger.Ledger
	expected    map[string]*expectation
	random      *rand.Rand
	lastNumber  int // number in the ID of the last notification
	pendingIDs  []string
	lastCall    uint64        // number of the last call
	lastCallEnd ledger.Record // the last end of a call that was generated
}

// openLedger opens the ledger in a folder and makes it the harness's ledger.
func openLedger(folder *faulty.Folder, h *harness) (*ledger.Report, []ledger.Pending, error) {
	l, pending, report, err := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit})
	if h.ledger = l; l != nil {
		h.lastCall = l.LastCallNumber()
	}
	return &report, pending, err
}

// write writes records and updates the expectation if the write succeeds.
func (h *harness) write(id string, update func(e *expectation), records ...ledger.Record) error {
	e := h.expected[id]
	err := h.ledger.Write(records...)
	switch {
	case err == nil:
		update(e)
	case errors.Is(err, faulty.ErrCrashed):
		e.lastWriteCrashed = true
	}
	return err
}

// step does one random operation of a dispatcher: accept a notification, start or end a call, queue a notice, or complete
// a notification.
func (h *harness) step() error {
	id := ""
	if len(h.pendingIDs) > 0 {
		id = h.pendingIDs[h.random.IntN(len(h.pendingIDs))]
	}
	switch action := h.random.IntN(10); {
	case id == "" || action < 3 && len(h.pendingIDs) < 60:
		h.lastNumber++
		id = fmt.Sprint("n", h.lastNumber)
		bodyBytes := h.random.IntN(300)
		if h.random.IntN(8) == 0 {
			bodyBytes = 2000 + h.random.IntN(4000)
		}
		if !h.ledger.HasRoom(bodyBytes, len(id)) {
			return nil
		}
		h.expected[id] = &expectation{order: h.lastNumber}
		err := h.write(id, func(e *expectation) { e.accepted = true }, accepted(id, bodyBytes))
		if err == nil {
			h.pendingIDs = append(h.pendingIDs, id)
		}
		h.expected[id].acceptCrashed = !h.expected[id].accepted && errors.Is(err, faulty.ErrCrashed)
		return err
	case action < 6:
		if e := h.expected[id]; e.openCall > 0 {
			return h.write(id, func(e *expectation) { e.applyCallEnd(h.lastCallEnd) }, h.randomCallEnd(id, e.openCall))
		}
		h.lastCall++
		return h.write(id, func(e *expectation) { e.openCall = h.lastCall; e.pushes++ }, ledger.Record{Kind: ledger.CallStarted, ID: id, StartedAt: 1001, Endpoint: "e1", CallNumber: h.lastCall})
	case action < 7:
		return h.write(id, func(e *expectation) { e.notice = "given_up" }, ledger.Record{Kind: ledger.NoticePending, ID: id, Outcome: "given_up"})
	default:
		h.pendingIDs = without(h.pendingIDs, id)
		e := h.expected[id]
		err := h.write(id, func(e *expectation) { e.completed = true }, ledger.Record{Kind: ledger.Completed, ID: id})
		e.completeCrashed = !e.completed && errors.Is(err, faulty.ErrCrashed)
		if err != nil && !e.completeCrashed {
			h.pendingIDs = append(h.pendingIDs, id) // the write failed: still pending
		}
		return err
	}
}

// randomCallEnd returns a random end of a call.
func (h *harness) randomCallEnd(id string, call uint64) ledger.Record {
	h.lastCallEnd = ledger.Record{Kind: ledger.CallNotRun, ID: id, CallNumber: call, Unsent: h.random.IntN(3) == 0}
	if h.random.IntN(2) == 0 {
		h.lastCallEnd = ledger.Record{Kind: ledger.CallMayHaveRun, ID: id, CallNumber: call}
	}
	return h.lastCallEnd
}

// applyCallEnd updates the expectation with the end of the open call.
func (e *expectation) applyCallEnd(r ledger.Record) {
	e.openCall, e.mayHaveRun = 0, e.mayHaveRun || r.Kind == ledger.CallMayHaveRun
	if r.Unsent {
		e.pushes--
	}
}

// without returns the list without the given IDs.
func without(list []string, ids ...string) []string {
	var out []string
	for _, element := range list {
		if !slices.Contains(ids, element) {
			out = append(out, element)
		}
	}
	return out
}

// compare returns an error if the state after a restart differs from the expected state.
func (h *harness) compare(pending []ledger.Pending) error {
	found := map[string]ledger.Pending{}
	lastOrder := math.MinInt
	for _, p := range pending {
		id := p.Message.ID
		e := h.expected[id]
		switch {
		case e == nil || !e.accepted && !e.acceptCrashed:
			return fmt.Errorf("%s was restored, but was never accepted", id)
		case e.completed:
			return fmt.Errorf("%s was restored, but was completed", id)
		case e.order < lastOrder:
			return fmt.Errorf("%s was restored out of order", id)
		}
		lastOrder, found[id] = e.order, p
	}
	for id, e := range h.expected {
		p, ok := found[id]
		switch {
		case e.accepted && !e.completed && !e.completeCrashed && !ok:
			return fmt.Errorf("%s is lost", id)
		case !ok || e.lastWriteCrashed:
		case p.Message.Pushes != e.pushes:
			return fmt.Errorf("%s: want %d pushes, got %d", id, e.pushes, p.Message.Pushes)
		case (p.Message.FirstRunAt > 0) != (e.mayHaveRun || e.openCall > 0):
			return fmt.Errorf("%s: want may have run %v, got FirstRunAt %v", id, e.mayHaveRun || e.openCall > 0, p.Message.FirstRunAt)
		case (p.Notice != nil) != (e.notice != ""):
			return fmt.Errorf("%s: notice restored: %v", id, p.Notice != nil)
		}
		if ok && e.lastWriteCrashed && e.mayHaveRun && p.Message.FirstRunAt == 0 {
			return fmt.Errorf("%s may have run, but was restored with FirstRunAt 0", id)
		}
	}
	return nil
}

// reset sets the expected state to the state after a restart.
func (h *harness) reset(pending []ledger.Pending) {
	h.expected, h.pendingIDs = map[string]*expectation{}, nil
	for i, p := range pending {
		h.pendingIDs = append(h.pendingIDs, p.Message.ID)
		h.expected[p.Message.ID] = &expectation{accepted: true, order: i + 1 - len(pending), pushes: p.Message.Pushes, mayHaveRun: p.Message.FirstRunAt > 0}
		if p.Notice != nil {
			h.expected[p.Message.ID].notice = p.Notice.Outcome
		}
	}
}

// runSteps does the given number of steps, or fewer if a step fails.
func runSteps(folder *faulty.Folder, steps int, seed uint64) (*harness, error) {
	h := &harness{expected: map[string]*expectation{}, random: rand.New(rand.NewPCG(seed, 1))}
	if _, _, err := openLedger(folder, h); err != nil {
		return h, err
	}
	for range steps {
		if err := h.step(); err != nil {
			return h, err
		}
	}
	return h, nil
}

// Crashes the process at each write of a long run, with none, a part or all of that write stored. After a restart, each
// notification whose write succeeded is restored in order, no completed one is, and no push that may have run is lost. The
// same holds after more steps and a second restart.
func TestCrashAtEachWrite(t *testing.T) {
	const steps = 1500
	uncrashed := faulty.New()
	h, err := runSteps(uncrashed, steps, 7)
	if err != nil {
		t.Fatal(err)
	}
	if h.ledger.RewrittenBytes() == 0 {
		t.Fatal("nothing was rewritten: the run is too short to cover compaction")
	}
	if uncrashed.UsedBytes() > smallLimit {
		t.Errorf("the files take %d bytes, limit %d", uncrashed.UsedBytes(), smallLimit)
	}
	crashes := 0
	for crashAt := 1; crashAt <= uncrashed.Writes; crashAt++ {
		for _, keep := range []int{0, 7, 30, 1 << 20} {
			folder := faulty.New()
			folder.CrashAtWrite, folder.CrashKeepBytes = crashAt, keep
			h, err := runSteps(folder, steps, 7)
			if !errors.Is(err, faulty.ErrCrashed) {
				t.Fatalf("write %d: %v", crashAt, err)
			}
			crashes++
			next := folder.Restart()
			_, pending, err := openLedger(next, h)
			if err == nil {
				err = h.compare(pending)
			}
			if err != nil {
				t.Fatalf("crash at write %d, %d bytes kept: %v", crashAt, keep, err)
			}
			h.reset(pending)
			h.lastNumber += 1000
			for range 40 {
				if err := h.step(); err != nil {
					t.Fatalf("after the crash at write %d: %v", crashAt, err)
				}
			}
			if _, pending, err = openLedger(next.Restart(), h); err == nil {
				err = h.compare(pending)
			}
			if err != nil {
				t.Fatalf("second restart after the crash at write %d, %d bytes kept: %v", crashAt, keep, err)
			}
		}
	}
	t.Log(crashes, "crashes at", uncrashed.Writes, "writes")
}

// The disk becomes full and later has space again. Meanwhile new notifications are refused, but records of pending ones are
// still written. No pending notification is lost, and the ledger recovers without a restart.
func TestFullDisk(t *testing.T) {
	for _, capacity := range []int{60 << 10, 90 << 10, 120 << 10, 150 << 10} {
		folder := faulty.New()
		h, err := runSteps(folder, 150, 3)
		if err != nil {
			t.Fatal(err)
		}
		folder.CapacityBytes = max(capacity, folder.UsedBytes())
		failedSteps, refusedEnds := 0, 0
		for i := range 3000 {
			pendingBefore := len(h.pendingIDs)
			if err := h.step(); err != nil {
				if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, ledger.ErrFull) {
					t.Fatal(err)
				}
				if failedSteps++; len(h.pendingIDs) == pendingBefore && h.expected[fmt.Sprint("n", h.lastNumber)].accepted {
					refusedEnds++ // the failed write was not that of an Accepted record
				}
			}
			if i == 2000 {
				folder.CapacityBytes = -1
			}
		}
		if refusedEnds > 0 {
			t.Errorf("capacity %d: %d writes of records of pending notifications failed", capacity, refusedEnds)
		}
		acceptedCount := 0
		for range 200 {
			numberBefore := h.lastNumber
			if err := h.step(); err != nil {
				t.Fatalf("after the disk had space again: %v", err)
			}
			if h.lastNumber > numberBefore && h.expected[fmt.Sprint("n", h.lastNumber)].accepted {
				acceptedCount++
			}
		}
		if acceptedCount == 0 {
			t.Errorf("capacity %d: nothing was accepted after the disk had space again", capacity)
		}
		_, pending, err := openLedger(folder.Restart(), h)
		if err == nil {
			err = h.compare(pending)
		}
		if err != nil {
			t.Errorf("capacity %d: %v", capacity, err)
		}
		t.Logf("capacity %d: %d steps failed", capacity, failedSteps)
	}
}

// Writes fail with an error now and then. A notification refused because of such an error is not restored after a restart.
func TestFailedWritesAreNotRestored(t *testing.T) {
	folder := faulty.New()
	h, err := runSteps(folder, 100, 5)
	if err != nil {
		t.Fatal(err)
	}
	failedSteps := 0
	for i := range 2000 {
		if folder.WriteErr = nil; i%7 == 0 {
			folder.WriteErr = syscall.EIO
		}
		if err := h.step(); err != nil {
			failedSteps++
		}
	}
	folder.WriteErr = nil
	_, pending, err := openLedger(folder.Restart(), h)
	if err == nil {
		err = h.compare(pending)
	}
	if err != nil || failedSteps == 0 {
		t.Errorf("%d steps failed: %v", failedSteps, err)
	}
}

// Random operations with restarts at random points: the ledger restores the state that the harness expects.
func TestMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder := faulty.New()
		h, err := runSteps(folder, rapid.IntRange(1, 400).Draw(t, "steps"), rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 4).Draw(t, "restarts") {
			if err != nil {
				t.Fatal(err)
			}
			folder = folder.Restart()
			_, pending, openErr := openLedger(folder, h)
			if openErr == nil {
				openErr = h.compare(pending)
			}
			if openErr != nil {
				t.Fatal(openErr)
			}
			h.reset(pending)
			for range rapid.IntRange(0, 300).Draw(t, "more") {
				if err = h.step(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// A record in the middle of a segment is damaged. The report names the file and the range, later records are restored, and
// the notifications accepted before the damage count as ones that may have run.
func Example_damage() {
	folder := faulty.New()
	l, _, _, _ := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit})
	for _, r := range []ledger.Record{accepted("a", 5), accepted("b", 5), {Kind: ledger.CallStarted, ID: "b", StartedAt: 1001, Endpoint: "e1", CallNumber: 1}, accepted("c", 5)} {
		_ = l.Write(r)
	}
	content := folder.Content("segment-000001")
	offset := strings.Index(string(content), "\x02e1")
	content[offset] ^= 1
	_, pending, report, err := ledger.Open(folder.Restart(), ledger.Options{LimitBytes: smallLimit})
	fmt.Println(err, report.Damaged)
	for _, p := range pending {
		fmt.Println(p.Message.ID, "may have run:", p.Message.FirstRunAt > 0)
	}
	// Output:
	// <nil> [{segment-000001 186 37}]
	// a may have run: true
	// b may have run: true
	// c may have run: false
}

// The legacy file is migrated, except for the torn record at its end. After a crash at any write, the next start repeats the
// migration.
func TestLegacyMigration(t *testing.T) {
	content := ledger.LegacyFile(accepted("completed", 5), accepted("open", 900), accepted("not-run", 9), accepted("notice", 0),
		ledger.Record{Kind: ledger.Completed, ID: "completed"}, ledger.Record{Kind: ledger.CallStarted, ID: "open", StartedAt: 1004, Endpoint: "e3"},
		ledger.Record{Kind: ledger.CallStarted, ID: "not-run", StartedAt: 1004, Endpoint: "e3"}, ledger.Record{Kind: ledger.CallNotRun, ID: "not-run"},
		ledger.Record{Kind: ledger.NoticePending, ID: "notice", Outcome: "handed_back", RetryIn: 0.5})
	newFolder := func() *faulty.Folder {
		folder := faulty.New()
		folder.Put("ledger", append(content[:len(content):len(content)], 40, 0, 0, 0, 1, 2))
		return folder
	}
	// The CallNotRun record has no call number and could be of another process, so it is ignored.
	const want = "open 1 1004 false not-run 1 1004 false notice 0 0 true "
	openAndDescribe := func(folder *faulty.Folder) string {
		_, pending, _, err := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit})
		if err != nil {
			return err.Error()
		}
		description := ""
		for _, p := range pending {
			description += fmt.Sprint(p.Message.ID, " ", p.Message.Pushes, " ", p.Message.FirstRunAt, " ", p.Notice != nil, " ")
		}
		return description
	}
	uncrashed := newFolder()
	if got := openAndDescribe(uncrashed); got != want {
		t.Fatal(got)
	}
	if uncrashed.Content("ledger") != nil {
		t.Error("the legacy file was not removed")
	}
	for crashAt := 1; crashAt <= uncrashed.Writes; crashAt++ {
		for _, keep := range []int{0, 9, 1 << 20} {
			folder := newFolder()
			folder.CrashAtWrite, folder.CrashKeepBytes = crashAt, keep
			_ = openAndDescribe(folder)
			if got := openAndDescribe(folder.Restart()); got != want {
				t.Errorf("crash at write %d, %d kept: %s", crashAt, keep, got)
			}
			if got := openAndDescribe(folder.Restart().Restart()); got != want {
				t.Errorf("second restart after the crash at write %d: %s", crashAt, got)
			}
		}
	}
}

// With Sync, each write is synced once, whatever the number of records, and fails if the sync fails. If files cannot be
// created, notifications are accepted until the existing files are full, and pending ones can still be completed.
func TestSyncAndCreateErrors(t *testing.T) {
	folder := faulty.New()
	l, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: smallLimit, Sync: true})
	if err != nil {
		t.Fatal(err)
	}
	syncsBefore := folder.Syncs
	if err := l.Write(accepted("a", 5), accepted("b", 5)); err != nil || folder.Syncs == syncsBefore {
		t.Fatal(err, folder.Syncs-syncsBefore)
	}
	_ = l.Write(ledger.Record{Kind: ledger.Completed, ID: "unknown"}) // also allocates the reserved files
	syncsBefore = folder.Syncs
	if err := l.Write(ledger.Record{Kind: ledger.CallStarted, ID: "a", StartedAt: 1, Endpoint: "e"}, accepted("c", 5)); err != nil || folder.Syncs != syncsBefore+1 {
		t.Fatal(err, folder.Syncs-syncsBefore)
	}
	folder.SyncErr = syscall.EIO
	if err := l.Write(accepted("d", 5)); !errors.Is(err, syscall.EIO) {
		t.Fatal(err)
	}
	folder.SyncErr, folder.CreateRemoveErr = nil, syscall.EACCES
	acceptedCount := 0
	for i := 0; i < 1000 && err == nil; i++ {
		if err = l.Write(accepted(fmt.Sprint("n", i), 500)); err == nil {
			acceptedCount++
		}
	}
	if !errors.Is(err, syscall.EACCES) || acceptedCount == 0 {
		t.Fatal(acceptedCount, err)
	}
	if err := l.Write(ledger.Record{Kind: ledger.Completed, ID: "b"}); err != nil {
		t.Fatal("writing a Completed record failed:", err)
	}
	_, pending, _, err := ledger.Open(folder.Restart(), ledger.Options{LimitBytes: smallLimit})
	if err != nil || len(pending) != acceptedCount+2 || pending[0].Message.ID != "a" || pending[1].Message.ID != "c" {
		t.Fatal(err, len(pending), acceptedCount)
	}
}
