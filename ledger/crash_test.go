package ledger_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"orchiddrift/disk/faulty"
	"orchiddrift/ledger"
)

const small = 200 << 10 // a folder of eight files, so that they are used again and again

// known is what somebody who was told the ledger's answers knows of a notification.
type known struct {
	pushes  int
	ran     bool   // a push may have run
	out     uint64 // the call that is out
	notice  string
	order   int
	unsure  bool // its last record was being written when the process ended
	maybe   bool // of its taking nobody was told
	ending  bool // nor of its end
	taken   bool
	deleted bool
}

// book plays work on a ledger and keeps what it was told in a plain map.
type book struct {
	l      *ledger.Ledger
	know   map[string]*known
	chance *rand.Rand
	next   int
	ids    []string
	call   uint64        // the number of the last call
	ending ledger.Record // the end of a call that was written last
}

func openBook(f *faulty.Folder, b *book) (*ledger.Report, []ledger.Pending, error) {
	l, owed, report, err := ledger.Open(f, ledger.Options{Limit: small})
	if b.l = l; l != nil {
		b.call = l.LastCallNumber()
	}
	return &report, owed, err
}

// do writes records and notes them once they are told as written.
func (b *book) do(id string, note func(k *known), records ...ledger.Record) error {
	k := b.know[id]
	err := b.l.Write(records...)
	switch {
	case err == nil:
		note(k)
	case errors.Is(err, faulty.ErrCrashed):
		k.unsure = true
	}
	return err
}

// step does one thing that a dispatcher does.
func (b *book) step() error {
	id := ""
	if len(b.ids) > 0 {
		id = b.ids[b.chance.IntN(len(b.ids))]
	}
	switch what := b.chance.IntN(10); {
	case id == "" || what < 3 && len(b.ids) < 60:
		b.next++
		id = fmt.Sprint("n", b.next)
		body := b.chance.IntN(300)
		if b.chance.IntN(8) == 0 {
			body = 2000 + b.chance.IntN(4000)
		}
		if !b.l.HasRoom(body) {
			return nil
		}
		b.know[id] = &known{order: b.next}
		err := b.do(id, func(k *known) { k.taken = true }, taken(id, body))
		if err == nil {
			b.ids = append(b.ids, id)
		}
		b.know[id].maybe = !b.know[id].taken && errors.Is(err, faulty.ErrCrashed)
		return err
	case what < 6:
		if k := b.know[id]; k.out > 0 {
			return b.do(id, func(k *known) { k.end(b.ending) }, b.endOf(id, k.out))
		}
		b.call++
		return b.do(id, func(k *known) { k.out = b.call; k.pushes++ }, ledger.Record{Kind: ledger.CallStarted, ID: id, StartedAt: 1001, Endpoint: "e1", CallNumber: b.call})
	case what < 7:
		return b.do(id, func(k *known) { k.notice = "given_up" }, ledger.Record{Kind: ledger.NoticePending, ID: id, Outcome: "given_up"})
	default:
		b.ids = remove(b.ids, id)
		k := b.know[id]
		err := b.do(id, func(k *known) { k.deleted = true }, ledger.Record{Kind: ledger.Completed, ID: id})
		k.ending = !k.deleted && errors.Is(err, faulty.ErrCrashed)
		if err != nil && !k.ending {
			b.ids = append(b.ids, id) // refused: still owed
		}
		return err
	}
}

// endOf draws how a call ended.
func (b *book) endOf(id string, call uint64) ledger.Record {
	b.ending = ledger.Record{Kind: ledger.CallNotRun, ID: id, CallNumber: call, Unsent: b.chance.IntN(3) == 0}
	if b.chance.IntN(2) == 0 {
		b.ending = ledger.Record{Kind: ledger.CallMayHaveRun, ID: id, CallNumber: call}
	}
	return b.ending
}

// end notes how the call that was out ended.
func (k *known) end(r ledger.Record) {
	k.out, k.ran = 0, k.ran || r.Kind == ledger.CallMayHaveRun
	if r.Unsent {
		k.pushes--
	}
}

func remove(list []string, id string) []string {
	var out []string
	for _, x := range list {
		if x != id {
			out = append(out, x)
		}
	}
	return out
}

// compare tells where what a restart finds differs from what was told.
func (b *book) compare(owed []ledger.Pending) error {
	found := map[string]ledger.Pending{}
	last := math.MinInt
	for _, o := range owed {
		id := o.Message.ID
		k := b.know[id]
		switch {
		case k == nil || !k.taken && !k.maybe:
			return fmt.Errorf("%s was never taken on", id)
		case k.deleted:
			return fmt.Errorf("%s was over", id)
		case k.order < last:
			return fmt.Errorf("%s is out of order", id)
		}
		last, found[id] = k.order, o
	}
	for id, k := range b.know {
		o, ok := found[id]
		switch {
		case k.taken && !k.deleted && !k.ending && !ok:
			return fmt.Errorf("%s is lost", id)
		case !ok || k.unsure:
		case o.Message.Pushes != k.pushes:
			return fmt.Errorf("%s had %d pushes, not %d", id, k.pushes, o.Message.Pushes)
		case (o.Message.RanAt > 0) != (k.ran || k.out > 0):
			return fmt.Errorf("%s may have run: %v, but it says %v", id, k.ran || k.out > 0, o.Message.RanAt)
		case (o.Notice != nil) != (k.notice != ""):
			return fmt.Errorf("%s has its notice: %v", id, o.Notice != nil)
		}
		if ok && k.unsure && k.ran && o.Message.RanAt == 0 {
			return fmt.Errorf("%s may have run, and that is forgotten", id)
		}
	}
	return nil
}

// settle takes what a restart found as what is known from there on.
func (b *book) settle(owed []ledger.Pending) {
	b.know, b.ids = map[string]*known{}, nil
	for i, o := range owed {
		b.ids = append(b.ids, o.Message.ID)
		b.know[o.Message.ID] = &known{taken: true, order: i + 1 - len(owed), pushes: o.Message.Pushes, ran: o.Message.RanAt > 0}
		if o.Notice != nil {
			b.know[o.Message.ID].notice = o.Notice.Outcome
		}
	}
}

// play works until the crash, or for so many steps.
func play(f *faulty.Folder, steps int, seed uint64) (*book, error) {
	b := &book{know: map[string]*known{}, chance: rand.New(rand.NewPCG(seed, 1))}
	if _, _, err := openBook(f, b); err != nil {
		return b, err
	}
	for range steps {
		if err := b.step(); err != nil {
			return b, err
		}
	}
	return b, nil
}

// A crash at every single write of a long run, of which nothing, a part, or all is there: what was told as taken on is
// owed, what was told as over is not, in order, and no push that may have run is forgotten. And the same again after it.
func TestCrashAtEachWrite(t *testing.T) {
	const steps = 1500
	whole := faulty.New()
	b, err := play(whole, steps, 7)
	if err != nil {
		t.Fatal(err)
	}
	if b.l.RewrittenBytes() == 0 {
		t.Fatal("nothing was written anew: the run is too short to show compaction")
	}
	if whole.UsedBytes() > small {
		t.Errorf("the files take %d bytes of %d", whole.UsedBytes(), small)
	}
	crashes := 0
	for at := 1; at <= whole.Writes; at++ {
		for _, keep := range []int{0, 7, 30, 1 << 20} {
			f := faulty.New()
			f.CrashAtWrite, f.CrashKeepBytes = at, keep
			b, err := play(f, steps, 7)
			if !errors.Is(err, faulty.ErrCrashed) {
				t.Fatalf("write %d: %v", at, err)
			}
			crashes++
			next := f.Restart()
			_, owed, err := openBook(next, b)
			if err == nil {
				err = b.compare(owed)
			}
			if err != nil {
				t.Fatalf("crash at write %d, %d bytes kept: %v", at, keep, err)
			}
			b.settle(owed)
			b.next += 1000
			for range 40 {
				if err := b.step(); err != nil {
					t.Fatalf("after the crash at write %d: %v", at, err)
				}
			}
			if _, owed, err = openBook(next.Restart(), b); err == nil {
				err = b.compare(owed)
			}
			if err != nil {
				t.Fatalf("second start after the crash at write %d, %d bytes kept: %v", at, keep, err)
			}
		}
	}
	t.Log(crashes, "crashes at", whole.Writes, "writes")
}

// The disk fills at any moment and then has room again: takings are refused, ends are written all the same, nothing owed
// is lost, and work goes on without a restart.
func TestFullDisk(t *testing.T) {
	for _, room := range []int{60 << 10, 90 << 10, 120 << 10, 150 << 10} {
		f := faulty.New()
		b, err := play(f, 150, 3)
		if err != nil {
			t.Fatal(err)
		}
		f.CapacityBytes = max(room, f.UsedBytes())
		refused, failed := 0, 0
		for i := range 3000 {
			was := len(b.ids)
			if err := b.step(); err != nil {
				if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, ledger.ErrFull) {
					t.Fatal(err)
				}
				if refused++; len(b.ids) == was && b.know[fmt.Sprint("n", b.next)].taken {
					failed++ // an end, not a taking, was refused
				}
			}
			if i == 2000 {
				f.CapacityBytes = -1
			}
		}
		if failed > 0 {
			t.Errorf("room for %d: %d ends were refused", room, failed)
		}
		took := 0
		for range 200 {
			n := b.next
			if err := b.step(); err != nil {
				t.Fatalf("room again: %v", err)
			}
			if b.next > n && b.know[fmt.Sprint("n", b.next)].taken {
				took++
			}
		}
		if took == 0 {
			t.Errorf("room for %d: nothing is taken on once there is room", room)
		}
		_, owed, err := openBook(f.Restart(), b)
		if err == nil {
			err = b.compare(owed)
		}
		if err != nil {
			t.Errorf("room for %d: %v", room, err)
		}
		t.Logf("room for %d: %d refused", room, refused)
	}
}

// Errors of single writes: what is refused does not come back.
func TestFailingWrites(t *testing.T) {
	f := faulty.New()
	b, err := play(f, 100, 5)
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	for i := range 2000 {
		if f.WriteErr = nil; i%7 == 0 {
			f.WriteErr = syscall.EIO
		}
		if err := b.step(); err != nil {
			refused++
		}
	}
	f.WriteErr = nil
	_, owed, err := openBook(f.Restart(), b)
	if err == nil {
		err = b.compare(owed)
	}
	if err != nil || refused == 0 {
		t.Errorf("%d refused: %v", refused, err)
	}
}

// Any work with restarts anywhere: the ledger and the map agree.
func TestAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := faulty.New()
		b, err := play(f, rapid.IntRange(1, 400).Draw(t, "steps"), rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 4).Draw(t, "restarts") {
			if err != nil {
				t.Fatal(err)
			}
			f = f.Restart()
			_, owed, oerr := openBook(f, b)
			if oerr == nil {
				oerr = b.compare(owed)
			}
			if oerr != nil {
				t.Fatal(oerr)
			}
			b.settle(owed)
			for range rapid.IntRange(0, 300).Draw(t, "more") {
				if err = b.step(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// A damaged middle is told with file and place, what is behind it is kept, and nothing that may have run is repeatable.
func Example_damage() {
	f := faulty.New()
	l, _, _, _ := ledger.Open(f, ledger.Options{Limit: small})
	for _, r := range []ledger.Record{taken("a", 5), taken("b", 5), {Kind: ledger.CallStarted, ID: "b", StartedAt: 1001, Endpoint: "e1", CallNumber: 1}, taken("c", 5)} {
		_ = l.Write(r)
	}
	text := f.Content("segment-000001")
	at := strings.Index(string(text), "e1")
	text[at] ^= 1
	_, owed, report, err := ledger.Open(f.Restart(), ledger.Options{Limit: small})
	fmt.Println(err, report.Damaged)
	for _, o := range owed {
		fmt.Println(o.Message.ID, "may have run:", o.Message.RanAt > 0)
	}
	// Output:
	// <nil> [{segment-000001 164 32}]
	// a may have run: true
	// b may have run: true
	// c may have run: false
}

// The old single file is taken over whole, with its torn tail dropped; cut short at any write, it is done anew.
func TestTakeover(t *testing.T) {
	text := ledger.OldFile(taken("over", 5), taken("out", 900), taken("turned", 9), taken("ended", 0),
		ledger.Record{Kind: ledger.Completed, ID: "over"}, ledger.Record{Kind: ledger.CallStarted, ID: "out", StartedAt: 1004, Endpoint: "e3"},
		ledger.Record{Kind: ledger.CallStarted, ID: "turned", StartedAt: 1004, Endpoint: "e3"}, ledger.Record{Kind: ledger.CallNotRun, ID: "turned"},
		ledger.Record{Kind: ledger.NoticePending, ID: "ended", Outcome: "handed_back", RetryIn: 0.5})
	start := func() *faulty.Folder {
		f := faulty.New()
		f.Put("ledger", append(text[:len(text):len(text)], 40, 0, 0, 0, 1, 2))
		return f
	}
	// The end of the call that was turned away names no call: it could be of another process, and is not believed.
	const want = "out 1 1004 false turned 1 1004 false ended 0 0 true "
	found := func(f *faulty.Folder) string {
		_, owed, _, err := ledger.Open(f, ledger.Options{Limit: small})
		if err != nil {
			return err.Error()
		}
		s := ""
		for _, o := range owed {
			s += fmt.Sprint(o.Message.ID, " ", o.Message.Pushes, " ", o.Message.RanAt, " ", o.Notice != nil, " ")
		}
		return s
	}
	whole := start()
	if got := found(whole); got != want {
		t.Fatal(got)
	}
	if whole.Content("ledger") != nil {
		t.Error("the old file is still there")
	}
	for at := 1; at <= whole.Writes; at++ {
		for _, keep := range []int{0, 9, 1 << 20} {
			f := start()
			f.CrashAtWrite, f.CrashKeepBytes = at, keep
			_ = found(f)
			if got := found(f.Restart()); got != want {
				t.Errorf("crash at write %d, %d kept: %s", at, keep, got)
			}
			if got := found(f.Restart().Restart()); got != want {
				t.Errorf("second start after a crash at write %d: %s", at, got)
			}
		}
	}
}

// With sync a write is told as done once it is on the disk, one sync for all records in it; where that fails it does not
// count. Where no file can be made, what is there goes on until takings need more.
func TestSyncAndMake(t *testing.T) {
	f := faulty.New()
	l, _, _, err := ledger.Open(f, ledger.Options{Limit: small, Sync: true})
	if err != nil {
		t.Fatal(err)
	}
	before := f.Syncs
	if err := l.Write(taken("a", 5), taken("b", 5)); err != nil || f.Syncs == before {
		t.Fatal(err, f.Syncs-before)
	}
	_ = l.Write(ledger.Record{Kind: ledger.Completed, ID: "nobody"}) // and a file is made for the reserve
	before = f.Syncs
	if err := l.Write(ledger.Record{Kind: ledger.CallStarted, ID: "a", StartedAt: 1, Endpoint: "e"}, taken("c", 5)); err != nil || f.Syncs != before+1 {
		t.Fatal(err, f.Syncs-before)
	}
	f.SyncErr = syscall.EIO
	if err := l.Write(taken("d", 5)); !errors.Is(err, syscall.EIO) {
		t.Fatal(err)
	}
	f.SyncErr, f.CreateRemoveErr = nil, syscall.EACCES
	took := 0
	for i := 0; i < 1000 && err == nil; i++ {
		if err = l.Write(taken(fmt.Sprint("n", i), 500)); err == nil {
			took++
		}
	}
	if !errors.Is(err, syscall.EACCES) || took == 0 {
		t.Fatal(took, err)
	}
	if err := l.Write(ledger.Record{Kind: ledger.Completed, ID: "b"}); err != nil {
		t.Fatal("an end was refused:", err)
	}
	_, owed, _, err := ledger.Open(f.Restart(), ledger.Options{Limit: small})
	if err != nil || len(owed) != took+2 || owed[0].Message.ID != "a" || owed[1].Message.ID != "c" {
		t.Fatal(err, len(owed), took)
	}
}
