package soak

import (
	"os"
	"syscall"
	"time"

	"orchiddrift/disk"
	"orchiddrift/dispatcher"
	"orchiddrift/seglog"
)

// headerFaultShare is the share of the writes of a segment's header that fail.
const headerFaultShare = 0.1

// faultyFolder is a folder with failing and slow writes, and failing reads.
type faultyFolder struct {
	dispatcher.StateFolder
	*faultInjector
}

// List returns the names of the files, or fails.
func (f faultyFolder) List() ([]string, error) {
	if err := f.callError(folderList); err != nil {
		return nil, &os.PathError{Op: "open", Path: "soak", Err: err}
	}
	return f.StateFolder.List()
}

// Create creates a file, or fails while the disk fails.
func (f faultyFolder) Create(name string) (disk.File, error) {
	if f.active(f.diskFaults) {
		return nil, f.diskError("open")
	}
	file, err := f.StateFolder.Create(name)
	if err != nil {
		return nil, err
	}
	return faultyFile{file, f.faultInjector}, nil
}

// Open opens a file, also while the disk fails to write.
func (f faultyFolder) Open(name string) (disk.File, error) {
	if err := f.callError(fileOpen); err != nil {
		return nil, &os.PathError{Op: "open", Path: "soak", Err: err}
	}
	file, err := f.StateFolder.Open(name)
	if err != nil {
		return nil, err
	}
	return faultyFile{file, f.faultInjector}, nil
}

// Remove removes a file, or fails while the disk fails.
func (f faultyFolder) Remove(name string) error {
	if f.active(f.diskFaults) {
		return f.diskError("unlink")
	}
	return f.StateFolder.Remove(name)
}

// diskError returns a random error of a failing disk.
func (in *faultInjector) diskError(op string) error {
	return &os.PathError{Op: op, Path: "soak", Err: in.pickError(syscall.EIO, syscall.ENOSPC)}
}

// faultyFile is a file with failing and slow writes, and failing reads.
type faultyFile struct {
	disk.File
	*faultInjector
}

// ReadAt reads from the file, or fails.
func (f faultyFile) ReadAt(b []byte, at int64) (int, error) {
	if err := f.callError(fileRead); err != nil {
		return 0, &os.PathError{Op: "read", Path: "soak", Err: err}
	}
	return f.File.ReadAt(b, at)
}

// WriteAt writes b, or fails while the disk fails: then nothing is stored, a part, or all.
func (f faultyFile) WriteAt(b []byte, at int64) (int, error) {
	if f.active(f.slowWrites) {
		time.Sleep(time.Duration(f.randomBelow(int(maxWriteDelay))))
	}
	isHeader := at == 0 && len(b) == seglog.HeaderSize
	if !f.active(f.diskFaults) && !(isHeader && f.occurs(headerFaultShare)) {
		return f.File.WriteAt(b, at)
	}
	stored := []int{0, f.randomBelow(len(b) + 1), len(b)}[f.randomBelow(3)]
	n := 0
	if stored > 0 {
		n, _ = f.File.WriteAt(b[:stored], at)
	}
	return n, f.diskError("write")
}

// Sync syncs the file, or fails while the disk fails.
func (f faultyFile) Sync() error {
	if f.active(f.diskFaults) {
		return f.diskError("sync")
	}
	return f.File.Sync()
}
