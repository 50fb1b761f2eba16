// Package clock gives a dispatcher's time, in seconds that run at the pace of real time: within a process, and from one
// process to the next on the same folder, whatever becomes of the time of day. After the machine has started anew only the
// time of day can tell how much has passed.
package clock

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
	"unsafe"

	"orchiddrift/disk"
)

// Source is what the machine says of time, as values, so that a test can step its clocks.
type Source struct {
	Wall      func() time.Time              // the time of day, which anybody may step
	SinceBoot func() (time.Duration, error) // real time since the machine started
	BootID    func() (string, error)        // names the start that SinceBoot counts from
}

// SystemSource is the source of the machine that the process runs on.
func SystemSource() Source {
	return Source{Wall: time.Now, SinceBoot: sinceBoot, BootID: func() (string, error) {
		id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
		return strings.TrimSpace(string(id)), err
	}}
}

// bootTime is CLOCK_BOOTTIME of clock_gettime(2): it is never stepped, and runs on while the machine sleeps.
const bootTime = 7

func sinceBoot() (time.Duration, error) {
	var now syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, bootTime, uintptr(unsafe.Pointer(&now)), 0); errno != 0 {
		return 0, os.NewSyscallError("clock_gettime", errno)
	}
	return time.Duration(now.Nano()), nil
}

// ErrOffsetUnreadable tells that the folder holds an offset that could not be read now. A clock that starts without it may be wrong by
// a step of the time of day; another try may read it.
var ErrOffsetUnreadable = errors.New("the clock's offset could not be read")

// FileName is the file that holds the offset.
const FileName = "clock"

// Clock is a process's clock.
type Clock struct {
	base   float64 // at start
	start  time.Time
	folder disk.Folder
	line   string // what the folder is to hold
	sync   bool
}

// Now is the time in Unix seconds, as the time of day was when the folder's first process of this start of the machine
// began.
func (c *Clock) Now() float64 { return c.base + time.Since(c.start).Seconds() }

// Save puts into the folder by how much the clock is ahead of the time since the machine's start.
func (c *Clock) Save() error {
	if c.line == "" { // the machine cannot tell that time
		return nil
	}
	return write(c.folder, c.line, c.sync)
}

// Open gives a process's clock. The folder keeps by how much it is ahead of the time since the machine's start, so that the
// next process goes on from there. Where the machine cannot tell that time, or the offset could not be kept, the clock still
// runs, and the error says why a step of the time of day before the next process would go unnoticed; Keep may be tried again.
func Open(folder disk.Folder, s Source, sync bool) (*Clock, error) {
	c := &Clock{start: time.Now(), base: float64(s.Wall().UnixNano()) / float64(time.Second), folder: folder, sync: sync}
	boot, err := s.BootID()
	if err != nil {
		return c, err
	}
	since, err := s.SinceBoot()
	if err != nil {
		return c, err
	}
	before, known, err := kept(folder, boot)
	if err != nil {
		return c, fmt.Errorf("%w: %w", ErrOffsetUnreadable, err)
	}
	if known {
		c.base = before + since.Seconds()
		return c, nil
	}
	c.line = format(boot, c.base-since.Seconds())
	return c, c.Save()
}

// kept is the offset that the folder holds for a start of the machine, if it does.
func kept(folder disk.Folder, boot string) (offset float64, known bool, err error) {
	names, err := folder.List()
	if err != nil || !slices.Contains(names, FileName) {
		return 0, false, err
	}
	text, err := read(folder)
	if err != nil {
		return 0, false, err
	}
	offset, known = parse(text, boot)
	return offset, known, nil
}

// format is the file's line: the start of the machine, the offset in seconds, and a checksum of both.
func format(boot string, offset float64) string {
	text := fmt.Sprintf("%s %.9f", boot, offset)
	return fmt.Sprintf("%s %08x\n", text, crc32.ChecksumIEEE([]byte(text)))
}

// parse reads a line whole, of that start of the machine.
func parse(line, boot string) (float64, bool) {
	fields := strings.Fields(line)
	if len(fields) != 3 || fields[0] != boot {
		return 0, false
	}
	var offset float64
	if _, err := fmt.Sscanf(fields[1], "%f", &offset); err != nil {
		return 0, false
	}
	return offset, format(boot, offset) == line
}

// mostLine is more than a line can have.
const mostLine = 256

func read(folder disk.Folder) (string, error) {
	f, err := folder.Open(FileName)
	if err != nil {
		return "", err
	}
	defer f.Close()
	text := make([]byte, mostLine)
	n, err := f.ReadAt(text, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	return string(text[:n]), nil
}

func write(folder disk.Folder, line string, sync bool) error {
	f, err := folder.Create(FileName)
	if err != nil {
		return err
	}
	defer f.Close()
	if n, err := f.WriteAt([]byte(line), 0); err != nil || n < len(line) {
		return errors.Join(err, fmt.Errorf("%s: %d bytes written of %d", FileName, n, len(line)))
	}
	if !sync {
		return nil
	}
	return errors.Join(f.Sync(), folder.Sync())
}
