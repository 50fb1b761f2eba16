// Package disk is all that the ledger asks of a file system, so that one that fails can stand in for it.
package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// Folder holds files by name.
type Folder interface {
	List() ([]string, error) // in order
	Create(name string) (File, error)
	Open(name string) (File, error)
	Remove(name string) error
	Sync() error // of the names
}

// File is an open file. Offsets and sizes are bytes.
type File interface {
	ReadAt(b []byte, at int64) (int, error)
	WriteAt(b []byte, at int64) (int, error)
	Size() (int64, error)
	Sync() error
	Close() error
}

// Dir is a folder of the operating system.
type Dir struct {
	path string
	lock *os.File // nil: only to be read
}

// lockName is the file that one process at a time holds.
const lockName = "lock"

// ErrLocked tells that another process has the folder.
var ErrLocked = errors.New("another process holds it")

// OpenDir opens a folder for this process alone. The operating system lets go of it with the process, however that ends.
func OpenDir(path string) (*Dir, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Dir{path, lock}, nil
}

// OpenDirReadOnly opens a folder only to be read, which may be another process's.
func OpenDirReadOnly(path string) (*Dir, error) {
	info, err := os.Stat(path)
	if err == nil && !info.IsDir() {
		err = fmt.Errorf("%s is no folder", path)
	}
	return &Dir{path: path}, err
}

// Close lets go of the folder.
func (d *Dir) Close() error {
	if d.lock == nil {
		return nil
	}
	return d.lock.Close()
}

// List names the files but the lock.
func (d *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	var names []string
	for _, e := range entries {
		if e.Name() != lockName && e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, err
}

// Create makes an empty file.
func (d *Dir) Create(name string) (File, error) {
	return d.open(name, os.O_CREATE|os.O_TRUNC|os.O_RDWR)
}

// Open opens one that is there.
func (d *Dir) Open(name string) (File, error) {
	if d.lock == nil {
		return d.open(name, os.O_RDONLY)
	}
	return d.open(name, os.O_RDWR)
}

func (d *Dir) open(name string, flags int) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), flags, 0o600)
	if err != nil {
		return nil, err
	}
	return file{f}, nil
}

// Remove removes a file.
func (d *Dir) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

// Sync makes names last.
func (d *Dir) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

type file struct{ *os.File }

func (f file) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
