package endpointstate

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/directory"
	"orchiddrift/disk"
)

// faultyFolder is a folder in which writes end early.
type faultyFolder struct {
	disk.Folder
	tornAt atomic.Int64 // bytes of each write that reach the file; -1 for all
}

var errKilled = errors.New("killed")

func (f *faultyFolder) Create(name string) (disk.File, error) {
	file, err := f.Folder.Create(name)
	return &faultyFile{file, f}, err
}

type faultyFile struct {
	disk.File
	folder *faultyFolder
}

func (f *faultyFile) WriteAt(b []byte, offset int64) (int, error) {
	tornAt := int(f.folder.tornAt.Load())
	if tornAt < 0 {
		return f.File.WriteAt(b, offset)
	}
	n, _ := f.File.WriteAt(b[:min(len(b), tornAt)], offset)
	return n, errKilled
}

func newFolder(t testing.TB) *faultyFolder {
	t.Helper()
	dir, err := disk.OpenDir(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dir.Close() })
	folder := &faultyFolder{Folder: dir}
	folder.tornAt.Store(-1)
	return folder
}

var testOptions = Options{Dispatcher: "d-1", MaxBytes: 64 << 10}

func openStore(t testing.TB, folder disk.Folder, options Options) (*Store, *State, []error) {
	t.Helper()
	store, state, damages, err := Open(folder, options)
	if err != nil {
		t.Fatal(err)
	}
	return store, state, damages
}

func testEndpoint(n int) directory.Endpoint {
	return directory.Endpoint{ID: fmt.Sprint("s-", n), Addr: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), Zone: []string{"a", "b"}[n%2], Kind: "bulk",
		Dest: fmt.Sprint(n / 4), Stage: directory.Ready, Rate: float64(n) / 2}
}

func testHead(version int64) Head {
	return Head{Dispatcher: "d-1", Source: "127.0.0.1:9", Version: version, HighestVersion: version + 3, Configured: 1 << 63}
}

// testState returns a list of n endpoints, with addresses and texts of all forms.
func testState(version int64, n int) State {
	state := State{Head: testHead(version), Destinations: []string{"without endpoints"}}
	dir := directory.New()
	dir.AddDestination(state.Destinations[0])
	for i := range n {
		e := testEndpoint(i)
		e.Addr = []string{e.Addr, "[::1]:80", "host.example:443", "127.0.0.1:080", e.Addr}[i%5]
		dir.Apply([]directory.Endpoint{e})
	}
	return stateOf(state.Head, dir)
}

// What is written is read again: the whole list, then the changes after it.
func TestReadWhatWasWritten(t *testing.T) {
	folder := newFolder(t)
	store, state, _ := openStore(t, folder, testOptions)
	if state != nil {
		t.Fatal("a list in an empty folder")
	}
	want := testState(7, 23)
	if omitted, err := store.writeAll(want); err != nil || omitted > 0 {
		t.Fatal(omitted, err)
	}
	if _, state, damages := openStore(t, folder, testOptions); damages != nil || !reflect.DeepEqual(*state, want) {
		t.Fatalf("%v\nread %+v\nwant %+v", damages, state, want)
	}
	gone, draining := want.Endpoints[3], want.Endpoints[5]
	gone.Stage, draining.Stage = directory.Gone, directory.Draining
	if err := store.appendChanges(testHead(8), []directory.Endpoint{gone, draining}); err != nil {
		t.Fatal(err)
	}
	_, state, _ = openStore(t, folder, testOptions)
	if state.Version != 8 || len(state.Endpoints) != 22 || slices.ContainsFunc(state.Endpoints, func(e directory.Endpoint) bool { return e.ID == gone.ID }) ||
		!slices.Contains(state.Endpoints, draining) || !slices.Equal(state.Destinations, want.Destinations) {
		t.Errorf("after changes: %+v", state)
	}
}

// A process that is killed after any number of bytes of a write leaves the list of before that write, or of after it.
func TestKilledAmidWrite(t *testing.T) {
	before, after := testState(1, 4), testState(2, 6)
	for _, whole := range []bool{true, false} {
		for tornAt := 0; tornAt < 400; tornAt++ {
			folder := newFolder(t)
			store, _, _ := openStore(t, folder, testOptions)
			if _, err := store.writeAll(before); err != nil {
				t.Fatal(err)
			}
			folder.tornAt.Store(int64(tornAt))
			if whole {
				_, _ = store.writeAll(after)
			} else {
				_ = store.appendChanges(after.Head, after.Endpoints[4:])
			}
			_, state, _ := openStore(t, folder, testOptions)
			if state == nil || state.Version != 1 && state.Version != 2 || len(state.Endpoints) != map[int64]int{1: 4, 2: 6}[state.Version] {
				t.Fatalf("whole list %v, killed after %d bytes: %+v", whole, tornAt, state)
			}
		}
	}
}

// content returns a file with a whole list and two changes, and the lists after each of them.
func content(t testing.TB) (text string, versions map[int64]State) {
	t.Helper()
	folder := newFolder(t)
	store, _, _ := openStore(t, folder, testOptions)
	if _, err := store.writeAll(testState(1, 5)); err != nil {
		t.Fatal(err)
	}
	versions = map[int64]State{1: testState(1, 5)}
	for version := int64(2); version < 4; version++ {
		gone := testEndpoint(int(version))
		gone.Stage = directory.Gone
		if err := store.appendChanges(testHead(version), []directory.Endpoint{gone}); err != nil {
			t.Fatal(err)
		}
		_, state, _ := openStore(t, folder, testOptions)
		versions[version] = *state
	}
	text, err := disk.ReadFile(folder, FileNames[1], 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	return text, versions
}

// A file with any byte changed, or cut anywhere, gives a list that was written, or none and the reason.
func TestDamagedFile(t *testing.T) {
	text, versions := content(t)
	store := &Store{options: testOptions}
	check := func(what string, damaged string) {
		_, state, damage := store.decode(damaged)
		if state == nil && damage == nil {
			t.Fatalf("%s: neither a list nor a reason", what)
		}
		if state != nil && !reflect.DeepEqual(*state, versions[state.Version]) {
			t.Fatalf("%s: %+v was never written", what, state)
		}
	}
	for i := range len(text) {
		check(fmt.Sprint("cut at ", i), text[:i])
		for bit := range 8 {
			changed := []byte(text)
			changed[i] ^= 1 << bit
			check(fmt.Sprint("bit ", bit, " of byte ", i), string(changed))
		}
	}
}

// Files of another dispatcher, of another format, and frames of an earlier file are not used.
func TestForeignFile(t *testing.T) {
	text, _ := content(t)
	other := &Store{options: Options{Dispatcher: "d-2", MaxBytes: testOptions.MaxBytes}}
	if _, state, damage := other.decode(text); state != nil || !errors.Is(damage, errOtherOwner) {
		t.Errorf("of another dispatcher: %v, %v", state, damage)
	}
	store := &Store{options: testOptions}
	if _, state, damage := store.decode("orchiddrift endpoints 2\n" + text); state != nil || !errors.Is(damage, errOtherFormat) {
		t.Errorf("of another format: %v, %v", state, damage)
	}
	earlier, _ := encodeFrame(frame{kind: changesOnly, generation: 9, sequence: 3, head: testHead(99)}, 1000)
	if _, state, damage := store.decode(text + string(earlier)); state == nil || state.Version != 3 || !errors.Is(damage, errOutOfOrder) {
		t.Errorf("with a frame of another file: %+v, %v", state, damage)
	}
}

// Both files stay under their limit however many changes come, and the list stays right.
func TestFilesStayUnderTheirLimit(t *testing.T) {
	folder := newFolder(t)
	options := Options{Dispatcher: "d-1", MaxBytes: 8 << 10}
	store, _, _ := openStore(t, folder, options)
	dir := directory.New()
	for i := range 100 {
		dir.Apply([]directory.Endpoint{testEndpoint(i)})
	}
	for i := range 2000 {
		e := testEndpoint(i % 100)
		e.Rate = float64(i)
		dir.Apply([]directory.Endpoint{e})
		err := store.appendChanges(testHead(int64(i)), []directory.Endpoint{e})
		if errors.Is(err, errNoRoom) {
			_, err = store.writeAll(stateOf(testHead(int64(i)), dir))
		}
		if err != nil {
			t.Fatal(err)
		}
		total := 0
		for _, name := range FileNames {
			if text, err := readFile(folder, name); err == nil {
				total += len(text)
			}
		}
		if total > options.MaxBytes+len(FileNames)*len(formatName) {
			t.Fatalf("%d bytes after %d changes, %d are allowed", total, i, options.MaxBytes)
		}
	}
	_, state, _ := openStore(t, folder, options)
	if want := stateOf(testHead(1999), dir); !reflect.DeepEqual(*state, want) {
		t.Errorf("read %+v", state)
	}
}

// Of a list that has no room, one ready endpoint of each destination is stored first. The list is marked as incomplete.
func TestListTooLargeForFiles(t *testing.T) {
	folder := newFolder(t)
	options := Options{Dispatcher: "d-1", MaxBytes: 8 << 10}
	store, _, _ := openStore(t, folder, options)
	whole := testState(1, 300)
	for i := range whole.Endpoints {
		if i%2 == 0 {
			whole.Endpoints[i].Stage = directory.Draining
		}
	}
	omitted, err := store.writeAll(whole)
	if err != nil || omitted == 0 {
		t.Fatal(omitted, err)
	}
	_, state, _ := openStore(t, folder, options)
	dests := map[string]bool{}
	for _, e := range state.Endpoints {
		dests[e.Dest] = true
		if e.Stage != directory.Ready {
			t.Errorf("%s is stored although it takes no calls", e.ID)
		}
	}
	if !state.Incomplete || len(state.Endpoints) != len(whole.Endpoints)-omitted || len(dests) < 75 {
		t.Errorf("incomplete %v, %d endpoints of %d destinations, %d omitted", state.Incomplete, len(state.Endpoints), len(dests), omitted)
	}
}

// saved waits until a list with a version is in the folder.
func saved(t *testing.T, folder disk.Folder, version int64) *State {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, state, _ := openStore(t, folder, testOptions); state != nil && state.Version == version {
			return state
		}
		if time.Now().After(deadline) {
			t.Fatalf("no list of version %d", version)
		}
	}
}

// The saver writes each update soon, writes the whole list again after a failed write, tells of the failure once, and writes what is
// pending as it is closed.
func TestSaver(t *testing.T) {
	folder := newFolder(t)
	store, _, _ := openStore(t, folder, testOptions)
	failures := make(chan error, 100)
	saver := NewSaver(store, testHead(0), Observer{Failed: func(err error) { failures <- err }})
	dir := directory.New()
	tell := func(version int64, full bool, endpoints ...directory.Endpoint) {
		dir.Apply(endpoints)
		saver.Told(Update{Source: "127.0.0.1:9", Version: version, Full: full, Endpoints: endpoints}, dir)
	}
	tell(4, true, testEndpoint(1), testEndpoint(2))
	saved(t, folder, 4)
	tell(5, false, testEndpoint(3))
	saved(t, folder, 5)
	folder.tornAt.Store(3)
	tell(6, false, testEndpoint(4))
	if err := <-failures; !errors.Is(err, errKilled) {
		t.Fatal(err)
	}
	for range 5 {
		time.Sleep(maxRetryPause / 20)
		saver.Due(dir)
	}
	folder.tornAt.Store(-1)
	if len(failures) > 0 {
		t.Errorf("%d failures told after the first", len(failures))
	}
	tell(7, false, testEndpoint(5))
	saver.Close(dir)
	if state := saved(t, folder, 7); len(state.Endpoints) != 5 {
		t.Errorf("after the end: %+v", state)
	}
}

// A list that comes again unchanged, and answers without changes, write nothing.
func TestUnchangedListIsNotWritten(t *testing.T) {
	folder := newFolder(t)
	store, _, _ := openStore(t, folder, testOptions)
	saver := NewSaver(store, testHead(0), Observer{})
	dir := directory.New()
	dir.Apply([]directory.Endpoint{testEndpoint(1)})
	update := Update{Source: "127.0.0.1:9", Version: 4, Full: true}
	saver.Told(update, dir)
	saved(t, folder, 4)
	size := func() (n int) {
		text, _ := readFile(folder, FileNames[1])
		return len(text)
	}
	before := size()
	for i := range 20 {
		update.Full = i%2 == 0
		saver.Told(update, dir)
	}
	saver.Close(dir)
	if names, _ := folder.List(); size() != before || len(names) != 1 {
		t.Errorf("%d bytes, %d before; files %v", size(), before, names)
	}
}

// Only what two lists agree on is common, and an endpoint that drains in one of them drains.
func TestCommon(t *testing.T) {
	a := []directory.Endpoint{testEndpoint(1), testEndpoint(2), testEndpoint(3), testEndpoint(4)}
	b := slices.Clone(a[:3])
	b[0].Addr, b[1].Stage = "10.9.9.9:1", directory.Draining
	draining := a[1]
	draining.Stage = directory.Draining
	want := []directory.Endpoint{draining, a[2]}
	if got := Common(a, b); !slices.Equal(got, want) {
		t.Errorf("%+v", got)
	}
	if got := Common(b, a); !slices.Equal(got, want) {
		t.Errorf("the other way round: %+v", got)
	}
}

// No text makes the reader panic, or take many times the memory of the file.
func FuzzDecode(f *testing.F) {
	text, _ := content(f)
	f.Add([]byte(text[len(formatName):]))
	f.Add([]byte{0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		d := &decoder{bytes: b}
		fr := d.frame()
		if len(fr.endpoints) > len(b) || len(fr.destinations) > len(b) {
			t.Errorf("%d endpoints and %d destinations from %d bytes", len(fr.endpoints), len(fr.destinations), len(b))
		}
		_, _, _ = decodeFrame(b)
	})
}
