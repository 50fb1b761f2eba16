// Package faulty is a folder in memory whose disk fails as it is told: no room from some byte on, short writes, errors, and
// a crash after any write, of which any part may be there.
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

// ErrCrashed ends everything once the crash has come.
var ErrCrashed = errors.New("crashed")

// Folder is the folder and its disk.
type Folder struct {
	CapacityBytes          int   // bytes that files may take in all; below 0: any
	WriteErr               error // of each write, where it is set
	CreateRemoveErr        error // of each create and remove
	SyncErr                error // of each sync
	FailWritesAfterSyncErr bool  // with the first sync that fails: no write goes through after it
	Syncs                  int   // so far
	CrashAtWrite           int   // the write, counted from 1, with which the process ends; 0: never
	CrashKeepBytes         int   // bytes of that write that are there afterwards
	Writes                 int   // so far
	LongestWrite           int   // bytes of the longest write
	WrittenBytes           int   // bytes in all
	files                  map[string]*content
	crashed                bool
}

type content struct{ b []byte }

// New returns an empty folder with all the room there is.
func New() *Folder { return &Folder{CapacityBytes: -1, files: map[string]*content{}} }

// Restart is the folder as the next process finds it, in good order.
func (f *Folder) Restart() *Folder {
	next := New()
	next.CapacityBytes = f.CapacityBytes
	for name, c := range f.files {
		next.files[name] = &content{slices.Clone(c.b)}
	}
	return next
}

// UsedBytes is what all files take, in whole blocks.
func (f *Folder) UsedBytes() int {
	const block = 512
	sum := 0
	for _, c := range f.files {
		sum += (len(c.b) + block - 1) / block * block
	}
	return sum
}

// Content is a file's content, to look at or to damage.
func (f *Folder) Content(name string) []byte {
	if c := f.files[name]; c != nil {
		return c.b
	}
	return nil
}

// Put places a file.
func (f *Folder) Put(name string, b []byte) { f.files[name] = &content{slices.Clone(b)} }

// List names the files.
func (f *Folder) List() ([]string, error) {
	var names []string
	for name := range f.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, f.alive()
}

func (f *Folder) alive() error {
	if f.crashed {
		return ErrCrashed
	}
	return nil
}

// Create makes an empty file.
func (f *Folder) Create(name string) (disk.File, error) {
	if err := errors.Join(f.alive(), f.CreateRemoveErr); err != nil {
		return nil, err
	}
	c := &content{}
	f.files[name] = c
	return &file{f, name, c}, nil
}

// Open opens one that is there.
func (f *Folder) Open(name string) (disk.File, error) {
	c := f.files[name]
	if c == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return &file{f, name, c}, f.alive()
}

// Remove removes a file. A crash may come with it as with a write.
func (f *Folder) Remove(name string) error {
	if err := errors.Join(f.alive(), f.CreateRemoveErr); err != nil {
		return err
	}
	if f.Writes++; f.Writes == f.CrashAtWrite {
		if f.crashed = true; f.CrashKeepBytes == 0 {
			return ErrCrashed
		}
	}
	delete(f.files, name)
	return f.alive()
}

// Sync does nothing: what is written is there.
func (f *Folder) Sync() error { return f.alive() }

type file struct {
	folder *Folder
	name   string
	*content
}

func (f *file) ReadAt(b []byte, at int64) (int, error) {
	if at >= int64(len(f.b)) {
		return 0, io.EOF
	}
	n := copy(b, f.b[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, f.folder.alive()
}

func (f *file) WriteAt(b []byte, at int64) (int, error) {
	d := f.folder
	if err := errors.Join(d.alive(), d.WriteErr); err != nil {
		return 0, err
	}
	d.Writes++
	d.LongestWrite, d.WrittenBytes = max(d.LongestWrite, len(b)), d.WrittenBytes+len(b)
	n, err := len(b), error(nil)
	if d.Writes == d.CrashAtWrite {
		d.crashed, n, err = true, min(d.CrashKeepBytes, len(b)), ErrCrashed
	}
	if grown := int(at) + n - len(f.b); grown > 0 && d.CapacityBytes >= 0 && d.UsedBytes()+grown > d.CapacityBytes {
		n, err = max(0, n-(d.UsedBytes()+grown-d.CapacityBytes)), fmt.Errorf("%s: %w", f.name, syscall.ENOSPC)
	}
	if grown := int(at) + n - len(f.b); grown > 0 && n > 0 {
		f.b = append(f.b, make([]byte, grown)...)
	}
	if n > 0 {
		copy(f.b[at:], b[:n])
	}
	return n, err
}

func (f *file) Size() (int64, error) { return int64(len(f.b)), f.folder.alive() }
func (f *file) Close() error         { return nil }

// Sync counts, and fails as told; all writes after it may.
func (f *file) Sync() error {
	f.folder.Syncs++
	if f.folder.SyncErr != nil && f.folder.FailWritesAfterSyncErr {
		f.folder.WriteErr = f.folder.SyncErr
	}
	return errors.Join(f.folder.alive(), f.folder.SyncErr)
}
