// Package clock provides a clock in seconds of real time that ignores steps of the wall clock, both within a process and
// across successive processes that use the same folder. The folder holds the clock's offset from the time since boot. After
// a reboot this offset is no longer valid, and the clock starts again from the wall clock.
package clock

import (
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
	"unsafe"

	"orchiddrift/disk"
)

// Source holds the functions that read the machine's clocks, so that tests can replace them.
type Source struct {
	Wall      func() time.Time              // wall-clock time, which may be stepped
	SinceBoot func() (time.Duration, error) // time since boot, including time in suspend
	BootID    func() (string, error)        // identifies the boot that SinceBoot counts from
}

// SystemSource returns a Source that reads the clocks of this machine.
func SystemSource() Source {
	return Source{Wall: time.Now, SinceBoot: sinceBoot, BootID: func() (string, error) {
		id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
		return strings.TrimSpace(string(id)), err
	}}
}

// clockBoottime is CLOCK_BOOTTIME of clock_gettime(2), which is never stepped and includes time in suspend.
const clockBoottime = 7

// sinceBoot returns the time since boot, including time in suspend.
func sinceBoot() (time.Duration, error) {
	var now syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&now)), 0); errno != 0 {
		return 0, os.NewSyscallError("clock_gettime", errno)
	}
	return time.Duration(now.Nano()), nil
}

// ErrOffsetUnreadable is returned when the folder holds an offset that could not be read. A clock that starts without it
// may be off by a step of the wall clock. The error may be transient, so opening the clock can be retried.
var ErrOffsetUnreadable = errors.New("the clock's offset could not be read")

// ErrSourceUnreadable is returned when the boot ID or the time since boot could not be read, without which the offset cannot be
// used. A clock that starts nevertheless follows the wall clock. The error may be transient, so opening the clock can be retried.
var ErrSourceUnreadable = errors.New("the time since boot could not be read")

// FileName is the name of the file that holds the offset.
const FileName = "clock"

// Clock is the clock of one process.
type Clock struct {
	baseSeconds float64 // the clock's time at startedAt, in Unix seconds
	startedAt   time.Time
	folder      disk.Folder
	source      Source
	saved       bool // the folder holds the clock's offset
	sync        bool // flush the offset file to disk after writing it
}

// Now returns the time in Unix seconds. It is based on the wall clock as it was when the first process since boot opened
// the clock in this folder.
func (c *Clock) Now() float64 { return c.baseSeconds + time.Since(c.startedAt).Seconds() }

// Save writes the clock's offset from the time since boot to the folder, unless the folder holds an offset of this boot. It
// returns nil only if the folder then holds one.
func (c *Clock) Save() error {
	if c.saved {
		return nil
	}
	bootID, uptime, err := c.source.read()
	if err != nil {
		return err
	}
	_, known, err := readOffset(c.folder, bootID)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOffsetUnreadable, err)
	}
	if known {
		c.saved = true
		return nil
	}
	return c.store(bootID, uptime)
}

// store writes the clock's offset from the time since boot, which was read just now, to the folder.
func (c *Clock) store(bootID string, uptime time.Duration) error {
	err := writeOffsetFile(c.folder, formatOffsetLine(bootID, c.Now()-uptime.Seconds()), c.sync)
	c.saved = err == nil
	return err
}

// read returns the boot ID and the time since boot.
func (s Source) read() (bootID string, uptime time.Duration, err error) {
	if bootID, err = s.BootID(); err == nil {
		uptime, err = s.SinceBoot()
	}
	if err != nil {
		return "", 0, fmt.Errorf("%w: %w", ErrSourceUnreadable, err)
	}
	return bootID, uptime, nil
}

// Open returns the clock of this process. It reads the offset from the time since boot that an earlier process stored in
// the folder, or stores a new one. If the time since boot is not available, or the offset cannot be read or stored, Open
// returns both a working clock and an error: a step of the wall clock before the next process starts would then shift that
// process's clock. Save can be called to retry a failed write. sync determines whether the offset file is flushed to disk.
func Open(folder disk.Folder, source Source, sync bool) (*Clock, error) {
	c := &Clock{startedAt: time.Now(), baseSeconds: float64(source.Wall().UnixNano()) / float64(time.Second), folder: folder, source: source,
		sync: sync}
	bootID, uptime, err := source.read()
	if err != nil {
		return c, err
	}
	offset, known, err := readOffset(folder, bootID)
	if err != nil {
		return c, fmt.Errorf("%w: %w", ErrOffsetUnreadable, err)
	}
	if known {
		c.baseSeconds, c.saved = offset+uptime.Seconds(), true
		return c, nil
	}
	return c, c.store(bootID, uptime)
}

// readOffset returns the offset stored for the given boot. known reports whether there is one.
func readOffset(folder disk.Folder, bootID string) (offset float64, known bool, err error) {
	names, err := folder.List()
	if err != nil || !slices.Contains(names, FileName) {
		return 0, false, err
	}
	text, err := disk.ReadFile(folder, FileName, maxLineBytes)
	if err != nil {
		return 0, false, err
	}
	offset, known = parseOffsetLine(text, bootID)
	return offset, known, nil
}

// formatOffsetLine returns the content of the offset file, a single line: the boot ID, the offset in seconds, and a CRC-32 of
// both.
func formatOffsetLine(bootID string, offset float64) string {
	text := fmt.Sprintf("%s %.9f", bootID, offset)
	return fmt.Sprintf("%s %08x\n", text, crc32.ChecksumIEEE([]byte(text)))
}

// parseOffsetLine returns the offset in seconds from a line, and reports whether the line is complete and of the given boot.
func parseOffsetLine(line, bootID string) (float64, bool) {
	fields := strings.Fields(line)
	if len(fields) != 3 || fields[0] != bootID {
		return 0, false
	}
	var offset float64
	if _, err := fmt.Sscanf(fields[1], "%f", &offset); err != nil {
		return 0, false
	}
	return offset, formatOffsetLine(bootID, offset) == line
}

// maxLineBytes is the size of the buffer for reading the offset file. It exceeds the length of any valid line.
const maxLineBytes = 256

// writeOffsetFile replaces the offset file and, with sync, flushes the file and the folder to disk.
func writeOffsetFile(folder disk.Folder, line string, sync bool) error {
	f, err := folder.Create(FileName)
	if err != nil {
		return err
	}
	defer f.Close()
	if n, err := f.WriteAt([]byte(line), 0); err != nil || n < len(line) {
		return errors.Join(err, fmt.Errorf("%s: wrote %d of %d bytes", FileName, n, len(line)))
	}
	if !sync {
		return nil
	}
	return errors.Join(f.Sync(), folder.Sync())
}
