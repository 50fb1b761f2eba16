// Package faulty provides an in-memory disk.Folder with fault injection for tests: a full disk, short writes, errors, and
// a crash of the process at a given write, of which a prefix of any length is stored.
package faulty

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"syscall"

	"orchiddrift/disk"
)

// ErrCrashed is returned by the operation during which the process crashes and by later ones.
var ErrCrashed = errors.New("crashed")

// Folder is an in-memory folder whose exported fields configure faults and count operations. It is not safe for concurrent
// use.
type Folder struct {
	CapacityBytes          int                     // total size that files may reach; negative for no limit
	WriteErr               error                   // if set, returned by each write
	CreateRemoveErr        error                   // if set, returned by each create and remove
	SyncErr                error                   // if set, returned by each file sync
	FailWritesAfterSyncErr bool                    // once a file sync has failed, all later writes fail with the same error
	Syncs                  int                     // number of file syncs so far
	CrashAtWrite           int                     // number, from 1, of the write or remove at which the process crashes; 0 for none
	CrashKeepBytes         int                     // bytes of that write that are stored nevertheless
	FailFrom, FailUntil    int                     // numbers of the first and the last write that fail although they are stored in part; 0 for none
	FailKeep               float64                 // share of the bytes of those writes that are stored
	Writes                 int                     // number of writes and removes so far
	LongestWrite           int                     // size of the longest write, in bytes
	WrittenBytes           int                     // total size of all writes, in bytes
	OpenFiles              int                     // number of files that were opened or created, and not closed
	files                  map[string]*fileContent // by name
	crashed                bool                    // the process has crashed: later operations return ErrCrashed
}

// fileContent is the content of a file, shared by the open files of it.
type fileContent struct{ data []byte }

// New returns an empty folder without a size limit or faults.
func New() *Folder { return &Folder{CapacityBytes: -1, files: map[string]*fileContent{}} }

// Restart returns a copy of the folder for the next process, with the same capacity and without the other faults.
func (f *Folder) Restart() *Folder {
	next := New()
	next.CapacityBytes = f.CapacityBytes
	for name, content := range f.files {
		next.files[name] = &fileContent{slices.Clone(content.data)}
	}
	return next
}

// UsedBytes returns the space that all files take, in whole blocks.
func (f *Folder) UsedBytes() int {
	const blockBytes = 512
	sum := 0
	for _, content := range f.files {
		sum += (len(content.data) + blockBytes - 1) / blockBytes * blockBytes
	}
	return sum
}

// Content returns the content of a file, or nil if there is none. Changes to it change the file.
func (f *Folder) Content(name string) []byte {
	if content := f.files[name]; content != nil {
		return content.data
	}
	return nil
}

// Put stores a file, replacing any of the same name. It does not count as a write.
func (f *Folder) Put(name string, b []byte) { f.files[name] = &fileContent{slices.Clone(b)} }

// List returns the sorted file names.
func (f *Folder) List() ([]string, error) {
	var names []string
	for name := range f.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, f.checkCrashed()
}

// checkCrashed returns ErrCrashed if the process has crashed.
func (f *Folder) checkCrashed() error {
	if f.crashed {
		return ErrCrashed
	}
	return nil
}

// Create creates an empty file, or truncates an existing one.
func (f *Folder) Create(name string) (disk.File, error) {
	if err := errors.Join(f.checkCrashed(), f.CreateRemoveErr); err != nil {
		return nil, err
	}
	content := &fileContent{}
	f.files[name] = content
	f.OpenFiles++
	return &file{f, name, content}, nil
}

// Open opens an existing file.
func (f *Folder) Open(name string) (disk.File, error) {
	content := f.files[name]
	if content == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	f.OpenFiles++
	return &file{f, name, content}, f.checkCrashed()
}

// Remove removes a file. It counts as a write, so the crash can occur here; the file is then removed only if
// CrashKeepBytes is not 0.
func (f *Folder) Remove(name string) error {
	if err := errors.Join(f.checkCrashed(), f.CreateRemoveErr); err != nil {
		return err
	}
	if f.Writes++; f.Writes == f.CrashAtWrite {
		if f.crashed = true; f.CrashKeepBytes == 0 {
			return ErrCrashed
		}
	}
	delete(f.files, name)
	return f.checkCrashed()
}

// Sync only checks for the crash, since created and removed names are durable at once.
func (f *Folder) Sync() error { return f.checkCrashed() }

// file is an open file of a Folder.
type file struct {
	folder *Folder
	name   string
	*fileContent
}

// ReadAt reads from the given offset. It returns io.EOF if the file ends before b is full.
func (f *file) ReadAt(b []byte, offset int64) (int, error) {
	if offset >= int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.data[offset:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, f.folder.checkCrashed()
}

// WriteAt writes b at the given offset and counts the write. It stores fewer bytes, and returns an error, if the crash occurs
// at this write or the capacity is reached.
func (f *file) WriteAt(b []byte, offset int64) (int, error) {
	folder := f.folder
	if err := errors.Join(folder.checkCrashed(), folder.WriteErr); err != nil {
		return 0, err
	}
	folder.Writes++
	folder.LongestWrite, folder.WrittenBytes = max(folder.LongestWrite, len(b)), folder.WrittenBytes+len(b)
	n, err := len(b), error(nil)
	if folder.Writes == folder.CrashAtWrite {
		folder.crashed, n, err = true, min(folder.CrashKeepBytes, len(b)), ErrCrashed
	}
	if folder.Writes >= folder.FailFrom && folder.Writes <= folder.FailUntil {
		n, err = int(folder.FailKeep*float64(len(b))), fmt.Errorf("%s: %w", f.name, syscall.EIO)
	}
	if grown := int(offset) + n - len(f.data); grown > 0 && folder.CapacityBytes >= 0 && folder.UsedBytes()+grown > folder.CapacityBytes {
		n, err = max(0, n-(folder.UsedBytes()+grown-folder.CapacityBytes)), fmt.Errorf("%s: %w", f.name, syscall.ENOSPC)
	}
	if grown := int(offset) + n - len(f.data); grown > 0 && n > 0 {
		f.data = append(f.data, make([]byte, grown)...)
	}
	if n > 0 {
		copy(f.data[offset:], b[:n])
	}
	return n, err
}

// Size returns the size of the file in bytes.
func (f *file) Size() (int64, error) { return int64(len(f.data)), f.folder.checkCrashed() }

// Close only counts. The file can still be used afterwards.
func (f *file) Close() error {
	f.folder.OpenFiles--
	return nil
}

// Sync counts the call and returns SyncErr if set. It never has to flush anything.
func (f *file) Sync() error {
	f.folder.Syncs++
	if f.folder.SyncErr != nil && f.folder.FailWritesAfterSyncErr {
		f.folder.WriteErr = f.folder.SyncErr
	}
	return errors.Join(f.folder.checkCrashed(), f.folder.SyncErr)
}
