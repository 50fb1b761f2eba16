// Package disk defines the file system operations that the ledger uses, so that tests can substitute a failing
// implementation, and implements them for directories of the operating system.
package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// Folder is a flat set of files, addressed by name. Create truncates an existing file; Open fails if there is none.
type Folder interface {
	List() ([]string, error) // the file names, sorted
	Create(name string) (File, error)
	Open(name string) (File, error)
	Remove(name string) error
	Sync() error // makes created and removed names durable
}

// File is an open file. Offsets and sizes are in bytes.
type File interface {
	ReadAt(b []byte, offset int64) (int, error)
	WriteAt(b []byte, offset int64) (int, error)
	Size() (int64, error)
	Sync() error
	Close() error
}

// ReadFile returns the content of a file, up to maxBytes.
func ReadFile(folder Folder, name string, maxBytes int) (string, error) {
	f, err := folder.Open(name)
	if err != nil {
		return "", err
	}
	defer f.Close()
	content := make([]byte, maxBytes)
	n, err := f.ReadAt(content, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	return string(content[:n]), nil
}

// Dir is a Folder in a directory of the operating system.
type Dir struct {
	path string
	lock *os.File // nil if opened read-only
}

// lockFileName is the name of the file that the owning process locks.
const lockFileName = "lock"

// ErrLocked is returned by OpenDir when another process has locked the directory.
var ErrLocked = errors.New("locked by another process")

// OpenDir opens and locks a directory for exclusive use by this process. The operating system releases the lock when the
// process exits, even on a crash.
func OpenDir(path string) (*Dir, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
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

// OpenDirReadOnly opens a directory for reading only, without locking it. Another process may be using it.
func OpenDirReadOnly(path string) (*Dir, error) {
	info, err := os.Stat(path)
	if err == nil && !info.IsDir() {
		err = fmt.Errorf("%s is not a directory", path)
	}
	return &Dir{path: path}, err
}

// Close releases the lock. It does not close the files of the directory.
func (d *Dir) Close() error {
	if d.lock == nil {
		return nil
	}
	return d.lock.Close()
}

// List returns the sorted names of the regular files, without the lock file.
func (d *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	var names []string
	for _, e := range entries {
		if e.Name() != lockFileName && e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, err
}

// Create creates an empty file, or truncates an existing one.
func (d *Dir) Create(name string) (File, error) {
	return d.open(name, os.O_CREATE|os.O_TRUNC|os.O_RDWR)
}

// Open opens an existing file. The file is read-only if the directory was opened read-only.
func (d *Dir) Open(name string) (File, error) {
	if d.lock == nil {
		return d.open(name, os.O_RDONLY)
	}
	return d.open(name, os.O_RDWR)
}

// open opens a file with the flags of os.OpenFile.
func (d *Dir) open(name string, flags int) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), flags, 0o600)
	if err != nil {
		return nil, err
	}
	return file{f}, nil
}

// Remove removes a file. The removal is durable after Sync.
func (d *Dir) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

// Sync flushes the directory entries to disk.
func (d *Dir) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// file is an open file of a Dir.
type file struct{ *os.File }

// Size returns the size of the file in bytes.
func (f file) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
