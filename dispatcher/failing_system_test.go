package dispatcher_test

import (
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"orchiddrift/disk"
	"orchiddrift/dispatcher"
	"orchiddrift/sock"
)

// callName names a kind of system call of a failingSystem.
type callName string

// The kinds of calls.
const (
	callAccept       callName = "accept"
	callRegister     callName = "register with the poller"
	callClientRead   callName = "client read"
	callClientWrite  callName = "client write"
	callClientPeek   callName = "client peek"
	callShutdown     callName = "client shutdown"
	callDial         callName = "endpoint dial"
	callEndpointRead callName = "endpoint read"
	callEndpointSend callName = "endpoint write"
	callAgentDial    callName = "agent dial"
	callAgentRead    callName = "agent read"
	callAgentWrite   callName = "agent write"
	callFileRead     callName = "file read"
	callFileWrite    callName = "file write"
	callFileOpen     callName = "file open"
	callFileCreate   callName = "file create"
	callFolderList   callName = "folder list"
	callConfigRead   callName = "configuration read"
	callListen       callName = "listen"
	callBootID       callName = "boot ID"
	callUptime       callName = "uptime"
)

// callErrors lists the errors with which the calls fail. They say nothing of the other side.
var callErrors = map[callName][]syscall.Errno{
	callAccept:       {syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM},
	callRegister:     {syscall.ENOMEM, syscall.ENOSPC},
	callClientRead:   {syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO, syscall.EINTR},
	callClientWrite:  {syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO, syscall.EINTR},
	callClientPeek:   {syscall.ENOMEM, syscall.ENOBUFS},
	callShutdown:     {syscall.ENOBUFS},
	callDial:         {syscall.ENOBUFS, syscall.EMFILE, syscall.EADDRNOTAVAIL},
	callEndpointRead: {syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO},
	callEndpointSend: {syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO},
	callAgentDial:    {syscall.ENOBUFS, syscall.EMFILE, syscall.EADDRNOTAVAIL},
	callAgentRead:    {syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO},
	callAgentWrite:   {syscall.ENOMEM, syscall.ENOBUFS, syscall.EIO},
	callFileRead:     {syscall.EIO, syscall.ENOMEM},
	callFileWrite:    {syscall.EIO, syscall.ENOSPC},
	callFileOpen:     {syscall.EMFILE, syscall.EIO, syscall.ENFILE},
	callFileCreate:   {syscall.EMFILE, syscall.ENOSPC, syscall.EIO},
	callFolderList:   {syscall.EMFILE, syscall.EIO},
	callConfigRead:   {syscall.EMFILE, syscall.EIO},
	callListen:       {syscall.EADDRINUSE, syscall.EMFILE},
	callBootID:       {syscall.EMFILE, syscall.EIO},
	callUptime:       {syscall.EINTR, syscall.EIO},
}

// failingSystem makes calls of one kind fail: from the call after skip successful ones on, counted from arm, either that call
// alone, or all calls for a duration, or every second one of all kinds in alternate. mu guards the fields below it.
type failingSystem struct {
	call      callName
	alternate []callName
	skip      int
	duration  time.Duration
	mu        sync.Mutex
	random    *rand.Rand
	armed     bool
	failures  int
	until     time.Time // end of the failures, once the first has occurred
	calls     int       // calls of the kinds in alternate
}

// arm starts the count of calls.
func (f *failingSystem) arm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.armed = true
}

// failed returns how many calls have failed.
func (f *failingSystem) failed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures
}

// check returns the error with which a call has to fail, or nil.
func (f *failingSystem) check(call callName) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.armed && slices.Contains(f.alternate, call):
		if f.calls++; f.calls%2 == 0 {
			return nil
		}
	case !f.armed || call != f.call:
		return nil
	case f.failures > 0 && time.Now().After(f.until):
		return nil
	case f.failures == 0 && f.skip > 0:
		f.skip--
		return nil
	case f.failures == 0:
		f.until = time.Now().Add(f.duration)
	}
	f.failures++
	errs := callErrors[call]
	return errs[f.random.IntN(len(errs))]
}

// wrap returns a system whose calls fail as f says.
func (f *failingSystem) wrap(host dispatcher.System) dispatcher.System {
	system := host
	system.PanicOnViolation = true
	system.ReadFile = func(path string) ([]byte, error) {
		if err := f.check(callConfigRead); err != nil {
			return nil, err
		}
		return host.ReadFile(path)
	}
	system.ClockSource.BootID = func() (string, error) {
		if err := f.check(callBootID); err != nil {
			return "", err
		}
		return host.ClockSource.BootID()
	}
	system.ClockSource.SinceBoot = func() (time.Duration, error) {
		if err := f.check(callUptime); err != nil {
			return 0, err
		}
		return host.ClockSource.SinceBoot()
	}
	system.OpenFolder = func(path string) (dispatcher.StateFolder, error) {
		if err := f.check(callFileOpen); err != nil {
			return nil, err
		}
		folder, err := host.OpenFolder(path)
		return failingFolder{folder, f}, err
	}
	system.Listen = func(address string) (net.Listener, error) {
		if err := f.check(callListen); err != nil {
			return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", err)}
		}
		return sock.Listen(address, failingSocketCalls{f})
	}
	system.Dial = f.dialer(host.Dial, callDial, callEndpointRead, callEndpointSend)
	system.DialAgent = f.dialer(host.DialAgent, callAgentDial, callAgentRead, callAgentWrite)
	return system
}

// dialer returns a function that connects with dial, and whose calls fail as f says.
func (f *failingSystem) dialer(dial func(string, time.Duration) (net.Conn, error), dialName, readName, writeName callName) func(string, time.Duration) (net.Conn, error) {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		if err := f.check(dialName); err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
		}
		conn, err := dial(address, timeout)
		if err != nil {
			return nil, err
		}
		return &failingConn{conn.(*net.TCPConn), f, readName, writeName}, nil
	}
}

// failingSocketCalls are the calls on clients' sockets.
type failingSocketCalls struct{ *failingSystem }

func (c failingSocketCalls) Accept(fd int) (int, syscall.Sockaddr, error) {
	if err := c.check(callAccept); err != nil {
		return -1, nil, err
	}
	return sock.HostCalls{}.Accept(fd)
}

func (c failingSocketCalls) Register(fd int) (*os.File, error) {
	if err := c.check(callRegister); err != nil {
		return os.NewFile(uintptr(fd), "tcp"), err
	}
	return sock.HostCalls{}.Register(fd)
}

func (c failingSocketCalls) Read(fd int, b []byte) (int, error) {
	if err := c.check(callClientRead); err != nil {
		return -1, err
	}
	return sock.HostCalls{}.Read(fd, b)
}

func (c failingSocketCalls) Write(fd int, b []byte) (int, error) {
	if err := c.check(callClientWrite); err != nil {
		return -1, err
	}
	return sock.HostCalls{}.Write(fd, b)
}

func (c failingSocketCalls) Peek(fd int) (int, error) {
	if err := c.check(callClientPeek); err != nil {
		return -1, err
	}
	return sock.HostCalls{}.Peek(fd)
}

func (c failingSocketCalls) PeerEnded(fd int) (bool, error) {
	if err := c.check(callClientPeek); err != nil {
		return false, err
	}
	return sock.HostCalls{}.PeerEnded(fd)
}

func (c failingSocketCalls) ShutdownWrite(fd int) error {
	if err := c.check(callShutdown); err != nil {
		return err
	}
	return sock.HostCalls{}.ShutdownWrite(fd)
}

// failingConn is a dialled connection.
type failingConn struct {
	*net.TCPConn
	*failingSystem
	readName, writeName callName
}

func (c *failingConn) Read(b []byte) (int, error) {
	if err := c.check(c.readName); err != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
	}
	return c.TCPConn.Read(b)
}

func (c *failingConn) Write(b []byte) (int, error) {
	if err := c.check(c.writeName); err != nil {
		n, _ := c.TCPConn.Write(b[:len(b)/2]) // the system took a part of the bytes before it failed
		return n, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", err)}
	}
	return c.TCPConn.Write(b)
}

// failingFolder is the state folder.
type failingFolder struct {
	dispatcher.StateFolder
	*failingSystem
}

func (f failingFolder) List() ([]string, error) {
	if err := f.check(callFolderList); err != nil {
		return nil, err
	}
	return f.StateFolder.List()
}

func (f failingFolder) Create(name string) (disk.File, error) {
	if err := f.check(callFileCreate); err != nil {
		return nil, err
	}
	file, err := f.StateFolder.Create(name)
	return failingFile{file, f.failingSystem}, err
}

func (f failingFolder) Open(name string) (disk.File, error) {
	if err := f.check(callFileOpen); err != nil {
		return nil, err
	}
	file, err := f.StateFolder.Open(name)
	return failingFile{file, f.failingSystem}, err
}

// failingFile is a file in the state folder. A write that fails stores nothing, a part, or all.
type failingFile struct {
	disk.File
	*failingSystem
}

func (f failingFile) ReadAt(b []byte, offset int64) (int, error) {
	if err := f.check(callFileRead); err != nil {
		return 0, err
	}
	return f.File.ReadAt(b, offset)
}

func (f failingFile) WriteAt(b []byte, offset int64) (int, error) {
	if err := f.check(callFileWrite); err != nil {
		f.mu.Lock()
		stored := []int{0, len(b) / 2, len(b)}[f.random.IntN(3)]
		f.mu.Unlock()
		n, _ := f.File.WriteAt(b[:stored], offset)
		return n, err
	}
	return f.File.WriteAt(b, offset)
}
