package modelcheck

import (
	"bufio"
	"bytes"
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

// process is a simulated process of the dispatcher. Its operations have an effect until it is killed. mu guards opCount,
// attemptCount, killed and conns, and the bytes left of the first failing write in plan.
type process struct {
	plan         Process
	world        *world
	startedAt    time.Time
	runner       *gateway.Runner
	mu           sync.Mutex
	opCount      int // operations so far
	attemptCount int // connection attempts so far
	killed       bool
	conns        []net.Conn    // the endpoints' ends of its connections
	stop         chan struct{} // closed when it is killed
	loopDone     chan struct{} // closed when its event loop has ended
}

// beginOperation counts an operation, kills or stops the process if the plan does so at this operation, and reports whether the
// process is alive to perform it.
func (p *process) beginOperation() bool {
	alive, _ := p.countOperation()
	return alive
}

// countOperation does what beginOperation does, and reports also whether the process was killed at this operation.
func (p *process) countOperation() (alive, kills bool) {
	p.mu.Lock()
	p.opCount++
	kills, stops := !p.killed && p.opCount == p.plan.KillAtOp, p.opCount == p.plan.StopAtOp && p.runner != nil
	p.mu.Unlock()
	if stops {
		go p.world.stopGracefully(p)
	}
	if kills {
		p.kill()
	}
	return p.alive(), kills
}

// alive reports whether the process has not been killed.
func (p *process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.killed
}

// kill ends the process at once and closes its connections. Its later operations have no effect.
func (p *process) kill() {
	p.mu.Lock()
	if p.killed {
		p.mu.Unlock()
		return
	}
	p.killed = true
	conns := p.conns
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	close(p.stop)
}

// nextAttempt returns the planned outcome of the next attempt.
func (p *process) nextAttempt() AttemptOutcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	attempt := p.plan.Attempts[min(p.attemptCount, len(p.plan.Attempts)-1)]
	p.attemptCount++
	return attempt
}

// takeFailedWriteBytes returns how many bytes of a failing write reach the file: as planned for the first one, none for the
// others. The caller leaves out at least the last byte, because write(2) succeeds if it writes all of them.
func (p *process) takeFailedWriteBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.plan.FailedWriteBytes
	p.plan.FailedWriteBytes = 0
	return n
}

// folder is the folder of a process. A killed process cannot change it, and its writes fail as planned.
type folder struct {
	*faulty.Folder
	process *process
}

// file is a file in the folder of a process.
type file struct {
	disk.File
	process *process
}

// Create creates a file, unless the process is killed.
func (f folder) Create(name string) (disk.File, error) {
	if !f.process.alive() {
		return nil, faulty.ErrCrashed
	}
	created, err := f.Folder.Create(name)
	return file{created, f.process}, err
}

// Open opens a file, also for a killed process, which cannot write to it.
func (f folder) Open(name string) (disk.File, error) {
	opened, err := f.Folder.Open(name)
	return file{opened, f.process}, err
}

// Remove removes a file, unless the process is killed.
func (f folder) Remove(name string) error {
	if !f.process.beginOperation() {
		return faulty.ErrCrashed
	}
	return f.Folder.Remove(name)
}

// WriteAt writes b to the file. It writes only a part of it if the process is killed at this operation, or while the
// disk fails.
func (f file) WriteAt(b []byte, at int64) (int, error) {
	wasAlive := f.process.alive()
	if !f.process.beginOperation() {
		if wasAlive && f.process.plan.TornWriteBytes > 0 {
			_, _ = f.File.WriteAt(b[:min(f.process.plan.TornWriteBytes, len(b))], at)
		}
		return 0, faulty.ErrCrashed
	}
	if elapsed := time.Since(f.process.startedAt).Seconds(); elapsed >= f.process.plan.DiskFaultAt && elapsed < f.process.plan.DiskFaultAt+f.process.plan.DiskFaultDuration {
		n, _ := f.File.WriteAt(b[:min(f.process.takeFailedWriteBytes(), len(b)-1)], at)
		return n, &os.PathError{Op: "write", Path: "model", Err: syscall.EIO}
	}
	return f.File.WriteAt(b, at)
}

// errRefused is the error of a refused connection.
var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// dial opens a connection to an endpoint with the planned outcome of the next attempt.
func (p *process) dial(addr string, within time.Duration) (net.Conn, error) {
	if !p.beginOperation() {
		return nil, errRefused
	}
	p.world.checker.connectionAttempted()
	attempt := p.nextAttempt()
	switch attempt {
	case RefuseConnection:
		time.Sleep(time.Millisecond)
		return nil, errRefused
	case ConnectLate:
		time.Sleep(min(700*time.Millisecond, within))
	case ToldWaitOnConnect:
		p.world.sendToldWait(p, addr)
		time.Sleep(20 * time.Millisecond)
	}
	local, remote := net.Pipe()
	p.mu.Lock()
	killed := p.killed
	p.conns = append(p.conns, remote)
	p.mu.Unlock()
	if killed {
		_ = local.Close()
		_ = remote.Close()
		return nil, errRefused
	}
	pc := &processConn{Conn: local, process: p, attempt: attempt}
	if p.world.fault == DuplicateCalls {
		pc.duplicate = p.openDuplicate(addr)
	}
	go p.world.serve(p, addr, remote, attempt, pc)
	return pc, nil
}

// openDuplicate opens a second connection to an endpoint, for the fault DuplicateCalls.
func (p *process) openDuplicate(addr string) net.Conn {
	local, remote := net.Pipe()
	p.mu.Lock()
	p.conns = append(p.conns, remote)
	p.mu.Unlock()
	go p.world.serve(p, addr, remote, Hang, &processConn{Conn: local, process: p})
	return local
}

// processConn is the process's end of a connection.
type processConn struct {
	net.Conn
	process   *process
	attempt   AttemptOutcome
	duplicate net.Conn // connection that gets a copy of all writes; nil for none
	mu        sync.Mutex
	calls     []*call // calls that arrived on the connection
}

// addCall records a call that arrived on the connection.
func (pc *processConn) addCall(c *call) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.calls = append(pc.calls, c)
}

// errReset is the error of a write to a reset connection.
var errReset = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNRESET)}

// Write sends b with the planned outcome of the attempt, unless the process is killed. To be killed at the first byte of a call is an
// attempt for its messages: their records say that they may have run.
func (pc *processConn) Write(b []byte) (int, error) {
	alive, kills := pc.process.countOperation()
	if kills {
		ids, _ := readMessageIDs(bufio.NewReader(bytes.NewReader(b))) // none if b is not a whole request
		pc.process.world.checker.callAttempted(ids)
	}
	if !alive {
		return 0, errReset
	}
	half := b[:len(b)/2]
	switch pc.attempt {
	case TruncateRequest:
		n, _ := pc.Conn.Write(half)
		_ = pc.Conn.Close()
		return n, errReset
	case KillMidRequest:
		_, _ = pc.Conn.Write(half)
		pc.process.kill()
		return 0, errReset
	}
	if pc.duplicate != nil {
		_, _ = pc.duplicate.Write(b)
		time.Sleep(time.Millisecond) // until the endpoint has read the copy, which it does not answer
	}
	return pc.Conn.Write(b)
}

// Close closes the connection in both directions. The calls on it end at this moment for the process, not when the endpoint
// detects it.
func (pc *processConn) Close() error {
	pc.mu.Lock()
	pc.process.world.checker.callsAbandoned(pc.calls)
	pc.mu.Unlock()
	if pc.duplicate != nil {
		_ = pc.duplicate.Close()
	}
	return pc.Conn.Close()
}

// SyscallConn returns errors.ErrUnsupported, as there is no file descriptor. The dispatcher then cannot check an idle
// connection and does not reuse it.
func (pc *processConn) SyscallConn() (syscall.RawConn, error) { return nil, errors.ErrUnsupported }

// platform simulates the platform's endpoint list and its answers to notices.
type platform struct{ process *process }

// Watch does nothing, because the world sends the list as planned.
func (platform) Watch(func(gateway.Event)) {}

// FetchOnce does nothing, because the world sends the list as planned.
func (platform) FetchOnce(func(gateway.Event)) {}

// Notify records a notice and answers it as planned.
func (pf platform) Notify(n gateway.Notify, post func(gateway.Event)) {
	p := pf.process
	if !p.beginOperation() {
		return
	}
	p.world.checker.noticeReceived(p.world.now(), n.ID, n.Outcome, !p.plan.NoticesUnanswered)
	if p.plan.NoticesUnanswered {
		return
	}
	go func() {
		time.Sleep(5 * time.Millisecond)
		if p.alive() {
			post(gateway.NoticeAnswered{ID: n.ID})
		}
	}()
}
