package dispatcher

import (
	"io"
	"net"
	"os"
	"time"

	"orchiddrift/clock"
	"orchiddrift/disk"
	"orchiddrift/sock"
)

// StateFolder is the folder that outlives the process. The process has exclusive access until it closes the folder.
type StateFolder interface {
	disk.Folder
	io.Closer
}

// System holds the functions of the operating system that a dispatcher uses. Tests replace them to inject faults.
type System struct {
	Getenv           func(name string) string
	ReadFile         func(path string) ([]byte, error)
	ClockSource      clock.Source
	OpenFolder       func(path string) (StateFolder, error)
	Listen           func(address string) (net.Listener, error)
	Dial             func(address string, timeout time.Duration) (net.Conn, error) // to endpoints
	DialAgent        func(address string, timeout time.Duration) (net.Conn, error)
	PanicOnViolation bool // for tests: panic when an invariant is violated
}

// HostSystem returns the System of the machine that the process runs on.
func HostSystem(getenv func(string) string) System {
	return System{
		Getenv:      getenv,
		ReadFile:    os.ReadFile,
		ClockSource: clock.SystemSource(),
		OpenFolder:  func(path string) (StateFolder, error) { return disk.OpenDir(path) },
		Listen:      func(address string) (net.Listener, error) { return sock.Listen(address, sock.HostCalls{}) },
		Dial:        sock.Dial,
		DialAgent:   sock.Dial,
	}
}
