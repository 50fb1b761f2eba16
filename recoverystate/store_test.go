package recoverystate_test

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/decide"
	"orchiddrift/disk"
	"orchiddrift/recoverystate"
)

// tornFolder is a folder in which a process is killed in the middle of its writes.
type tornFolder struct {
	disk.Folder
	tornAt atomic.Int64 // bytes of each write that reach the file; -1 for all
}

// errKilled stands for the end of the process.
var errKilled = errors.New("killed")

func (f *tornFolder) Create(name string) (disk.File, error) {
	file, err := f.Folder.Create(name)
	return &tornFile{file, f}, err
}

type tornFile struct {
	disk.File
	folder *tornFolder
}

func (f *tornFile) WriteAt(b []byte, offset int64) (int, error) {
	tornAt := int(f.folder.tornAt.Load())
	if tornAt < 0 {
		return f.File.WriteAt(b, offset)
	}
	n, _ := f.File.WriteAt(b[:min(len(b), tornAt)], offset)
	return n, errKilled
}

// open opens a store and fails the test on an error.
func open(t *testing.T, folder disk.Folder) (*recoverystate.Store, []decide.RecoveryState) {
	t.Helper()
	store, states, err := recoverystate.Open(folder, true)
	if err != nil {
		t.Fatal(err)
	}
	return store, states
}

// newFolder returns an empty folder.
func newFolder(t *testing.T) *tornFolder {
	t.Helper()
	dir, err := disk.OpenDir(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dir.Close() })
	folder := &tornFolder{Folder: dir}
	folder.tornAt.Store(-1)
	return folder
}

// A process that is killed after any number of bytes of a write leaves what it wrote before, and the next one goes on from there.
func TestKilledAmidWrite(t *testing.T) {
	first, second := []decide.RecoveryState{{Owner: "7", BoundSince: 3}}, []decide.RecoveryState{{Owner: "7", BoundSince: 3, FirstAnswer: 4}, {Owner: "e9", SeparateRoute: true, BoundSince: 2}}
	folder := newFolder(t)
	for tornAt := range 400 {
		folder.tornAt.Store(-1)
		store, _ := open(t, folder)
		if err := store.Write(first); err != nil {
			t.Fatal(err)
		}
		folder.tornAt.Store(int64(tornAt))
		err := store.Write(second)
		_, states := open(t, folder)
		want := first
		if err == nil {
			t.Fatalf("%d bytes: no error", tornAt)
		}
		if len(states) == len(second) { // all bytes were stored although the write failed
			want = second
		}
		if !slices.Equal(states, want) {
			t.Fatalf("killed after %d bytes: %v", tornAt, states)
		}
	}
}

// Of more states than a file holds, those bound last are stored.
func TestTooManyStates(t *testing.T) {
	folder := newFolder(t)
	store, _ := open(t, folder)
	var states []decide.RecoveryState
	for i := range 5000 {
		states = append(states, decide.RecoveryState{Owner: fmt.Sprint("destination-", i), BoundSince: float64(i)})
	}
	if err := store.Write(states); err != nil {
		t.Fatal(err)
	}
	_, read := open(t, folder)
	if len(read) < 100 || len(read) == len(states) || read[0].BoundSince != 4999 || read[len(read)-1].BoundSince != float64(5000-len(read)) {
		t.Errorf("%d states read, first %+v, last %+v", len(read), read[0], read[len(read)-1])
	}
}

// The saver writes the latest states although writes fail for a moment, and what is pending as it is closed.
func TestSaver(t *testing.T) {
	folder := newFolder(t)
	store, _ := open(t, folder)
	folder.tornAt.Store(10)
	failures := make(chan error, 100)
	saver := recoverystate.NewSaver(store, func(err error) { failures <- err })
	saver.Save([]decide.RecoveryState{{Owner: "1", BoundSince: 1}})
	if err := <-failures; !errors.Is(err, errKilled) {
		t.Errorf("reported %v", err)
	}
	saver.Save([]decide.RecoveryState{{Owner: "2", BoundSince: 2}})
	folder.tornAt.Store(-1)
	time.Sleep(200 * time.Millisecond)
	if _, states := open(t, folder); len(states) != 1 || states[0].Owner != "2" {
		t.Errorf("after a failure: %v", states)
	}
	saver.Save([]decide.RecoveryState{{Owner: "3", BoundSince: 3}})
	saver.Close()
	if _, states := open(t, folder); len(states) != 1 || states[0].Owner != "3" {
		t.Errorf("after the end: %v", states)
	}
}
