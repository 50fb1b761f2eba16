package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"orchiddrift/directory"
	"orchiddrift/disk"
	"orchiddrift/disk/faulty"
	"orchiddrift/gateway"
	"orchiddrift/ledger"
)

// failing is a folder whose writes fail, or take their time, for as long as the test says.
type failing struct {
	disk.Folder
	fails atomic.Bool
	tried atomic.Int32 // writes that failed
	held  sync.Mutex   // a write waits for it
}

type failingFile struct {
	disk.File
	*failing
}

func (f *failing) Create(name string) (disk.File, error) {
	file, err := f.Folder.Create(name)
	return failingFile{file, f}, err
}

func (f failingFile) WriteAt(b []byte, at int64) (int, error) {
	f.held.Lock()
	defer f.held.Unlock()
	if f.fails.Load() {
		f.tried.Add(1)
		return 0, syscall.EIO
	}
	return f.File.WriteAt(b, at)
}

// notices is a platform that tells of each notice as it is sent.
type notices struct {
	nobody
	sent chan string
}

func (n notices) Notify(x gateway.Notify, _ func(gateway.Event)) { n.sent <- x.ID + " " + x.Outcome }

// faultRig runs the loop over a failing folder, with an endpoint that answers as told.
type faultRig struct {
	*gateway.Runner
	*failing
	folder  *faulty.Folder
	addr    string
	asked   chan string
	answer  chan int
	notices chan string
	over    func()
}

func newFaultRig(t *testing.T, start time.Time) *faultRig {
	t.Helper()
	r := &faultRig{folder: faulty.New(), asked: make(chan string, 99), answer: make(chan int, 99), notices: make(chan string, 9)}
	r.failing = &failing{Folder: r.folder}
	partner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.asked <- req.Header.Get("X-Call-Id")
		select {
		case status := <-r.answer:
			w.WriteHeader(status)
		case <-req.Context().Done():
		}
	}))
	t.Cleanup(func() { partner.CloseClientConnections(); partner.Close() })
	r.addr = strings.TrimPrefix(partner.URL, "http://")
	book, _, _, err := ledger.Open(r.failing, ledger.Options{Limit: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	r.Runner = runner(book, func() float64 { return 1000 + time.Since(start).Seconds() }, r.addr)
	r.Platform = notices{sent: r.notices}
	stop, ended := make(chan struct{}), make(chan bool)
	r.over = sync.OnceFunc(func() { close(stop); <-ended })
	t.Cleanup(r.over)
	go func() { r.Run(stop); close(ended) }()
	return r
}

// hand hands a message in and tells whether it was taken on.
func (r *faultRig) hand(until float64) bool {
	taken := make(chan bool, 1)
	r.Post(gateway.Arrived{Message: reading(until), Reply: func(x gateway.Reply) { taken <- x.Accepted }})
	return <-taken
}

// owed counts what the folder owes.
func (r *faultRig) owed(t *testing.T) int {
	t.Helper()
	_, list, _, err := ledger.Open(r.folder.Restart(), ledger.Options{Limit: 3e6, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

func expected[T comparable](t *testing.T, what string, c <-chan T, want T) {
	t.Helper()
	select {
	case got := <-c:
		if got != want {
			t.Fatalf("%s: %v, want %v", what, got, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("%s: not %v within 5 s", what, want)
	}
}

// What a disk that fails for a while may not do.
func TestFailingDisk(t *testing.T) {
	t.Run("end", endOutlastsDisk)
	t.Run("notice", nothingUnwrittenIsTold)
	t.Run("push", pushOutlastsDisk)
	t.Run("overdue", overdueThoughDiskFails)
}

// A disk that fails for a while as a message is delivered: its end is written once the disk can be written to again, and
// a restart finds nothing owed.
func endOutlastsDisk(t *testing.T) {
	r := newFaultRig(t, time.Now())
	if !r.hand(1020) {
		t.Fatal("not taken on")
	}
	expected(t, "pushed", r.asked, "A1")
	r.fails.Store(true)
	r.answer <- http.StatusOK
	for r.tried.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	r.fails.Store(false)
	time.Sleep(300 * time.Millisecond)
	r.over()
	if n := r.owed(t); n != 0 {
		t.Errorf("a restart finds %d owed", n)
	}
}

// A notice that the ledger does not have is not sent while its message has time left: a process that found the message
// untried would push it after its final answer. Once the time is over it is due, disk or not. The disk is not tried
// without a pause.
func nothingUnwrittenIsTold(t *testing.T) {
	for until, expects := range map[float64]bool{1020: false, 1001: true} {
		r := newFaultRig(t, time.Now())
		if !r.hand(until) {
			t.Fatal("not taken on")
		}
		expected(t, "pushed", r.asked, "A1")
		r.fails.Store(true)
		if r.answer <- http.StatusGatewayTimeout; expects {
			expected(t, "its notice", r.notices, "A1 handed_back")
		}
		select {
		case text := <-r.notices:
			t.Errorf("%s was sent, and the ledger could not be written", text)
		case <-time.After(800 * time.Millisecond):
		}
		r.fails.Store(false)
		if !expects {
			expected(t, "its notice", r.notices, "A1 handed_back")
		}
		if n := r.tried.Load(); n > 100 {
			t.Errorf("%d writes were tried on a disk that fails", n)
		}
		r.over()
	}
}

// An untried message waits for its push through a second of a disk that fails, and is not given up by it.
func pushOutlastsDisk(t *testing.T) {
	r := newFaultRig(t, time.Now())
	r.Post(gateway.LateWait{Endpoint: directory.Endpoint{ID: r.addr, Dest: "A", Kind: "bulk"}, Wait: 0.2})
	if !r.hand(1020) {
		t.Fatal("not taken on")
	}
	r.fails.Store(true)
	time.Sleep(time.Second)
	r.fails.Store(false)
	expected(t, "pushed", r.asked, "A1")
	select {
	case text := <-r.notices:
		t.Errorf("given up: %s", text)
	default:
	}
}

// A message that waits for its turn gets its final answer as its time ends, though the disk fails just then: the pause after
// a failed write holds pushes back and nothing else.
func overdueThoughDiskFails(t *testing.T) {
	r := newFaultRig(t, time.Now())
	r.Post(gateway.LateWait{Endpoint: directory.Endpoint{ID: r.addr, Dest: "A", Kind: "bulk"}, Wait: 9})
	if !r.hand(1001) {
		t.Fatal("not taken on")
	}
	r.fails.Store(true)
	r.Post(gateway.NoticeAnswered{ID: "B1"}) // its end cannot be written, and is tried again from then on
	begun := time.Now()
	expected(t, "its notice", r.notices, "A1 handed_back")
	if took := time.Since(begun); took > 1200*time.Millisecond {
		t.Errorf("its notice came after %v, and its time ended after 1 s", took)
	}
}

// What is told while a slow write of the ledger holds a push up is heeded: here a wait.
func TestToldDuringWrite(t *testing.T) {
	r := newFaultRig(t, time.Now())
	r.Post(gateway.LateWait{Endpoint: directory.Endpoint{ID: r.addr, Dest: "A", Kind: "bulk"}, Wait: 0.1})
	if !r.hand(1020) {
		t.Fatal("not taken on")
	}
	r.held.Lock()
	time.Sleep(300 * time.Millisecond) // by then its start is being written
	r.Post(gateway.LateWait{Endpoint: directory.Endpoint{ID: r.addr, Dest: "A", Kind: "bulk"}, Wait: 1})
	told := time.Now()
	r.held.Unlock()
	expected(t, "pushed", r.asked, "A1")
	if after := time.Since(told); after < 900*time.Millisecond {
		t.Errorf("pushed %v after a wait of a second was told", after)
	}
}

// newJumpRig runs the loop by a clock that jump puts ahead: to the process that is a stall.
func newJumpRig(t *testing.T) (r *faultRig, jump func(time.Duration)) {
	var ahead atomic.Int64
	r = newFaultRig(t, time.Now())
	r.Post(gateway.Listed{})
	time.Sleep(20 * time.Millisecond)
	r.over()
	start := time.Now()
	r.Clock = func() float64 { return 1000 + (time.Since(start) + time.Duration(ahead.Load())).Seconds() }
	stop, ended := make(chan struct{}), make(chan bool)
	go func() { r.Run(stop); close(ended) }()
	t.Cleanup(func() { close(stop); <-ended })
	return r, func(by time.Duration) { ahead.Store(int64(by)) }
}

// A process that stood still while it had nothing to do may have been told things that are not read yet: what comes as it
// goes on is pushed only once they could be. Here its loop slept for long, and nothing but the clock tells of the stall.
func TestStoodStillIdle(t *testing.T) {
	r, jump := newJumpRig(t)
	time.Sleep(400 * time.Millisecond) // it sleeps
	jump(3 * time.Second)
	begun := time.Now()
	if !r.hand(1020) {
		t.Fatal("not taken on")
	}
	expected(t, "pushed", r.asked, "A1")
	if after := time.Since(begun); after < 40*time.Millisecond {
		t.Errorf("pushed %v after it went on", after)
	}
}

// A request that is read as the process goes on after a stall may have waited in its socket all that time, as long as its client
// waits for an answer: its time is counted from there, and its final answer is not late by the stall.
//
// Found by the soak (seed 461055): sent 0.38 s before its dispatcher went on, answered 9 ms too late.
func TestTimeStoodStill(t *testing.T) {
	r, jump := newJumpRig(t)
	r.Post(gateway.LateWait{Endpoint: directory.Endpoint{ID: r.addr, Dest: "A", Kind: "bulk"}, Wait: 9})
	time.Sleep(200 * time.Millisecond)
	jump(700 * time.Millisecond)
	begun := time.Now()
	if !r.hand(r.Clock() + 1) {
		t.Fatal("not taken on")
	}
	expected(t, "its notice", r.notices, "A1 handed_back")
	if took := time.Since(begun); took > 700*time.Millisecond {
		t.Errorf("its notice came %v after the process went on: its time had ended %v after", took, 600*time.Millisecond)
	}
}

// Not mended (KNOWN-RED.txt): final answers are late by as long as a write of the ledger takes, since the loop waits for it. Here each
// takes a second, and a notice is due within 0.3 s of its message's time.
func TestSlowDiskFinalAnswers(t *testing.T) {
	const write, due = time.Second, 300 * time.Millisecond
	start := time.Now()
	r := newFaultRig(t, start)
	r.Post(gateway.Listed{})
	until := 1000 + time.Since(start).Seconds() + 0.5
	if !r.hand(until) {
		t.Fatal("not taken on")
	}
	expected(t, "pushed", r.asked, "A1")
	stop := make(chan struct{})
	defer close(stop)
	go func() { // from now on each write waits
		for {
			r.held.Lock()
			time.Sleep(write)
			r.held.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	at := start.Add(time.Duration((until - 1000) * float64(time.Second)))
	expected(t, "its notice", r.notices, "A1 handed_back")
	if late := time.Since(at); late > due {
		t.Errorf("its notice came %v after its time was over", late)
	}
}
