package dispatcher

import (
	"io"
	"net"
	"os"
	"time"

	"orchiddrift/clock"
	"orchiddrift/disk"
)

// Folder is the folder that outlives the process, held by it alone until it is closed.
type Folder interface {
	disk.Folder
	io.Closer
}

// System is what a dispatcher asks of its machine, as values, so that a test can hand in one that fails.
type System struct {
	Getenv           func(name string) string
	ReadFile         func(path string) ([]byte, error)
	Clocks           clock.Source
	OpenFolder       func(path string) (Folder, error)
	Listen           func(address string) (net.Listener, error)
	Dial             func(address string, within time.Duration) (net.Conn, error)
	PanicOnViolation bool // a violated invariant panics: for tests
}

// HostSystem is the machine that the process runs on.
func HostSystem(getenv func(string) string) System {
	return System{
		Getenv:     getenv,
		ReadFile:   os.ReadFile,
		Clocks:     clock.SystemSource(),
		OpenFolder: func(path string) (Folder, error) { return disk.OpenDir(path) },
		Listen:     func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial: func(address string, within time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, within)
		},
	}
}
