package modelcheck

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"orchiddrift/disk"
	"orchiddrift/disk/faulty"
	"orchiddrift/gateway"
)

// process is a dispatcher's process as far as the world sees it: until it is dead its operations reach the world.
type process struct {
	plan   Process
	world  *world
	begun  time.Time
	runner *gateway.Runner
	lock   sync.Mutex
	ops    int
	calls  int // attempts so far
	dead   bool
	conns  []net.Conn // the endpoints' sides
	stop   chan struct{}
	over   chan struct{} // its loop has ended
}

// operation tells whether the process lives to do something that the world sees, and counts it.
func (p *process) operation() bool {
	p.lock.Lock()
	p.ops++
	now, ends := p.ops == p.plan.KillAtOp, p.ops == p.plan.StopAtOp && p.runner != nil
	p.lock.Unlock()
	if ends {
		go p.world.end(p)
	}
	if now {
		p.kill()
	}
	return p.alive()
}

func (p *process) alive() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return !p.dead
}

// kill ends it at once: what it does from now on nobody sees. Its connections are reset.
func (p *process) kill() {
	p.lock.Lock()
	if p.dead {
		p.lock.Unlock()
		return
	}
	p.dead = true
	conns := p.conns
	p.lock.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	close(p.stop)
}

// attempt tells what becomes of the next attempt.
func (p *process) attempt() Attempt {
	p.lock.Lock()
	defer p.lock.Unlock()
	a := p.plan.Attempts[min(p.calls, len(p.plan.Attempts)-1)]
	p.calls++
	return a
}

// partOfFailing is how many bytes of a write that fails are there all the same: of the first so many as planned, then none. It is
// never the whole: write(2) has then succeeded.
func (p *process) partOfFailing() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	n := p.plan.FailedWriteBytes
	p.plan.FailedWriteBytes = 0
	return n
}

// folder is the process's folder: nothing reaches it from a dead process, and it fails for a while as planned.
type folder struct {
	*faulty.Folder
	p *process
}

type file struct {
	disk.File
	p *process
}

// Create makes a file.
func (f folder) Create(name string) (disk.File, error) {
	if !f.p.alive() {
		return nil, faulty.ErrCrashed
	}
	x, err := f.Folder.Create(name)
	return file{x, f.p}, err
}

// Open opens a file.
func (f folder) Open(name string) (disk.File, error) {
	x, err := f.Folder.Open(name)
	return file{x, f.p}, err
}

// Remove removes a file.
func (f folder) Remove(name string) error {
	if !f.p.operation() {
		return faulty.ErrCrashed
	}
	return f.Folder.Remove(name)
}

// WriteAt writes, or a part where the process is killed with it.
func (f file) WriteAt(b []byte, at int64) (int, error) {
	was := f.p.alive()
	if !f.p.operation() {
		if was && f.p.plan.TornWriteBytes > 0 {
			_, _ = f.File.WriteAt(b[:min(f.p.plan.TornWriteBytes, len(b))], at)
		}
		return 0, faulty.ErrCrashed
	}
	if since := time.Since(f.p.begun).Seconds(); since >= f.p.plan.DiskFaultAt && since < f.p.plan.DiskFaultAt+f.p.plan.DiskFaultDuration {
		n, _ := f.File.WriteAt(b[:min(f.p.partOfFailing(), len(b)-1)], at)
		return n, &os.PathError{Op: "write", Path: "model", Err: syscall.EIO}
	}
	return f.File.WriteAt(b, at)
}

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// dial opens a connection to an endpoint, as planned.
func (p *process) dial(addr string, within time.Duration) (net.Conn, error) {
	if !p.operation() {
		return nil, errRefused
	}
	p.world.judge.attempted()
	what := p.attempt()
	switch what {
	case RefuseConnection:
		time.Sleep(time.Millisecond)
		return nil, errRefused
	case ConnectLate:
		time.Sleep(min(700*time.Millisecond, within))
	case ToldWaitOnConnect:
		p.world.tellWait(p, addr)
		time.Sleep(20 * time.Millisecond)
	}
	here, there := net.Pipe()
	p.lock.Lock()
	dead := p.dead
	p.conns = append(p.conns, there)
	p.lock.Unlock()
	if dead {
		_ = here.Close()
		_ = there.Close()
		return nil, errRefused
	}
	w := &wire{Conn: here, p: p, what: what}
	if p.world.fault == DuplicateCalls {
		w.second = p.again(addr)
	}
	go p.world.serve(p, addr, there, what, w)
	return w, nil
}

// again opens a second connection for the planted fault of two calls at once.
func (p *process) again(addr string) net.Conn {
	here, there := net.Pipe()
	p.lock.Lock()
	p.conns = append(p.conns, there)
	p.lock.Unlock()
	go p.world.serve(p, addr, there, Hang, &wire{Conn: here, p: p})
	return here
}

// wire is the process's side of a connection.
type wire struct {
	net.Conn
	p      *process
	what   Attempt
	second net.Conn // what is written goes there as well; nil for none
	lock   sync.Mutex
	calls  []*call // that came on it
}

// carries notes a call that came on the connection.
func (w *wire) carries(c *call) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.calls = append(w.calls, c)
}

var errReset = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNRESET)}

// Write writes, unless the process is dead.
func (w *wire) Write(b []byte) (int, error) {
	if !w.p.operation() {
		return 0, errReset
	}
	half := b[:len(b)/2]
	switch w.what {
	case TruncateRequest:
		n, _ := w.Conn.Write(half)
		_ = w.Conn.Close()
		return n, errReset
	case KillMidRequest:
		_, _ = w.Conn.Write(half)
		w.p.kill()
		return 0, errReset
	}
	if w.second != nil {
		_, _ = w.second.Write(b)
		time.Sleep(time.Millisecond) // its endpoint has read it by then, and holds it
	}
	return w.Conn.Write(b)
}

// Close closes both ways. With it the process gives up what is out on it: at that moment, not when the endpoint sees it.
func (w *wire) Close() error {
	w.lock.Lock()
	w.p.world.judge.left(w.calls)
	w.lock.Unlock()
	if w.second != nil {
		_ = w.second.Close()
	}
	return w.Conn.Close()
}

// SyscallConn tells that there is no descriptor: an idle connection cannot be looked at, and is not used again.
func (w *wire) SyscallConn() (syscall.RawConn, error) { return nil, errors.ErrUnsupported }

// platform is the list and the notices.
type platform struct{ p *process }

// Watch does nothing: what the list tells comes by the plan.
func (platform) Watch(func(gateway.Event)) {}

// Fetch does nothing.
func (platform) Fetch(func(gateway.Event)) {}

// Notify takes a notice, and answers it as planned.
func (x platform) Notify(n gateway.Notify, tell func(gateway.Event)) {
	p := x.p
	if !p.operation() {
		return
	}
	p.world.judge.noticed(p.world.now(), n.ID, n.Outcome, !p.plan.NoticesUnanswered)
	if p.plan.NoticesUnanswered {
		return
	}
	go func() {
		time.Sleep(5 * time.Millisecond)
		if p.alive() {
			tell(gateway.NoticeAnswered{ID: n.ID})
		}
	}()
}
