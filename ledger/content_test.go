package ledger_test

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"orchiddrift/disk/faulty"
	"orchiddrift/ledger"
)

// contentLimit is the limit of a ledger in bytes; its files are recycled several times in a run.
const contentLimit = 400 << 10

// contentRun is a folder that is filled with messages whose bodies hold bytes of a ledger, and what is to be found in it.
type contentRun struct {
	folder *faulty.Folder
	ledger *ledger.Ledger
	random *rand.Rand
	ids    string // prefix of the IDs
	last   int    // number in the last ID
	owed   []string
	handed map[string][]byte // bodies by ID
}

// newContentRun returns a run on an empty folder.
func newContentRun(ids string, seed uint64) *contentRun {
	r := &contentRun{folder: faulty.New(), random: rand.New(rand.NewPCG(seed, 2)), ids: ids, handed: map[string][]byte{}}
	r.ledger, _, _, _ = ledger.Open(r.folder, ledger.Options{LimitBytes: contentLimit})
	return r
}

// fill writes messages with bodies that are windows of source at random offsets, and completes most of them.
func (r *contentRun) fill(t *testing.T, messages int, source func() []byte) {
	t.Helper()
	const maxOwed, minBody, maxBody = 20, 50, 6000
	for range messages {
		r.last++
		id := fmt.Sprint(r.ids, r.last)
		text := source()
		start := r.random.IntN(max(1, len(text)-minBody))
		record := accepted(id, 0)
		record.Message.Body = bytes.Clone(text[start:min(len(text), start+minBody+r.random.IntN(maxBody-minBody))])
		if err := r.ledger.Write(record); err != nil {
			t.Fatal(err)
		}
		r.handed[id], r.owed = record.Message.Body, append(r.owed, id)
		for len(r.owed) > maxOwed {
			i := r.random.IntN(len(r.owed))
			if err := r.ledger.Write(ledger.Record{Kind: ledger.Completed, ID: r.owed[i]}); err != nil {
				t.Fatal(err)
			}
			r.owed = slices.Delete(r.owed, i, i+1)
		}
	}
}

// restart opens the folder in the next process, and checks what is owed there. As many messages as records are damaged may be missing.
func (r *contentRun) restart(t *testing.T, name string, damagedRecords int) {
	t.Helper()
	r.folder = r.folder.Restart()
	l, pending, _, err := ledger.Open(r.folder, ledger.Options{LimitBytes: contentLimit})
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	r.ledger = l
	foreign := 0
	var found []string
	for _, p := range pending {
		body, ok := r.handed[p.Message.ID]
		if !ok || !bytes.Equal(body, p.Message.Body) {
			foreign++
			continue
		}
		found = append(found, p.Message.ID)
	}
	if foreign > 0 {
		t.Errorf("%s: %d messages are owed that nobody handed in", name, foreign)
	}
	if damagedRecords == 0 && !slices.Equal(found, r.owed) {
		t.Errorf("%s: owed %v, want %v", name, found, r.owed)
	}
	if missing := without(r.owed, found...); len(missing) > damagedRecords {
		t.Errorf("%s: %v are lost, %d records are damaged", name, missing, damagedRecords)
	}
	r.owed = found
}

// bytesOf returns the bytes of all files of a folder.
func bytesOf(folder *faulty.Folder) []byte {
	var all []byte
	names, _ := folder.List()
	for _, name := range names {
		all = append(all, folder.Content(name)...)
	}
	return all
}

// entryV1 returns a record with a message in the form of format version 1, repeated.
func entryV1(seq uint64) []byte {
	return bytes.Repeat(encodeV1(seq, accepted("forged", 20)), 100)
}

// Guards against messages that nobody handed in: bytes of a ledger in the bodies of messages are read as records at a restart, from
// what a recycled file held before or from within a damaged range.
func TestContentIsNotReadAsRecords(t *testing.T) {
	const seeds, restarts, messages, flippedBytes = 3, 4, 300, 3
	sources := map[string]func(t *testing.T, r *contentRun) func() []byte{
		"a ledger that is far ahead": func(t *testing.T, _ *contentRun) func() []byte {
			other := newContentRun("other", 99)
			other.fill(t, 2000, func() []byte { return make([]byte, 1000) })
			text := bytesOf(other.folder)
			return func() []byte { return text }
		},
		"a copy of the folder, run on": func(t *testing.T, r *contentRun) func() []byte {
			copied := newContentRun("copied", 98)
			copied.folder = r.folder.Restart()
			copied.ledger, _, _, _ = ledger.Open(copied.folder, ledger.Options{LimitBytes: contentLimit})
			copied.fill(t, 400, func() []byte { return make([]byte, 1000) })
			text := bytesOf(copied.folder)
			return func() []byte { return text }
		},
		"the folder as it is": func(_ *testing.T, r *contentRun) func() []byte {
			return func() []byte { return bytesOf(r.folder) }
		},
		"a record with the highest number": func(*testing.T, *contentRun) func() []byte {
			text := entryV1(math.MaxUint64)
			return func() []byte { return text }
		},
	}
	for name, source := range sources {
		for _, damaged := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, damaged %v", name, damaged), func(t *testing.T) {
				for seed := range uint64(seeds) {
					r := newContentRun("n", seed)
					for restart := range restarts {
						r.fill(t, messages, source(t, r))
						damagedRecords := 0
						if damaged {
							damagedRecords = flip(r, flippedBytes)
						}
						r.restart(t, fmt.Sprintf("seed %d, restart %d", seed, restart), damagedRecords)
					}
				}
			})
		}
	}
}

// flip damages bytes of the folder at random, and returns how many records can be lost by it: all of them if a file's header is hit.
func flip(r *contentRun, count int) int {
	const headerBytes = 64
	damaged := 0
	names, _ := r.folder.List()
	for range count {
		content := r.folder.Content(names[r.random.IntN(len(names))])
		offset := r.random.IntN(len(content))
		content[offset] ^= byte(1 + r.random.IntN(255))
		if damaged++; offset < headerBytes {
			damaged += len(r.owed)
		}
	}
	return damaged
}

// Guards against a refused message whose body is read as records: the write of its record fails, or the process is killed in it, with
// any part of it stored.
func TestTornContentIsNotReadAsRecords(t *testing.T) {
	base := newContentRun("n", 5)
	base.fill(t, 60, func() []byte { return make([]byte, 1000) })
	copied := newContentRun("copied", 6)
	copied.folder = base.folder.Restart()
	copied.ledger, _, _, _ = ledger.Open(copied.folder, ledger.Options{LimitBytes: contentLimit})
	copied.fill(t, 3, func() []byte { return make([]byte, 100) })
	hostile := accepted("refused", 0)
	hostile.Message.Body = slices.Concat(entryV1(1<<10), bytesOf(copied.folder))[:20<<10]
	openWithRoom := func() (*faulty.Folder, *ledger.Ledger) {
		folder := base.folder.Restart()
		l, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: contentLimit})
		if err != nil {
			t.Fatal(err)
		}
		for _, fillerBytes := range []int{46 << 10, 7 << 10} { // the second one begins a segment
			if err := l.Write(accepted("filler", fillerBytes), ledger.Record{Kind: ledger.Completed, ID: "filler"}); err != nil {
				t.Fatal(err)
			}
		}
		return folder, l
	}
	folder, l := openWithRoom()
	writesBefore := folder.Writes
	if err := l.Write(hostile); err != nil {
		t.Fatal(err)
	}
	recordWrite := folder.Writes - writesBefore // the last one; those before it are of compaction
	for keep := 0; keep < len(hostile.Message.Body); keep += 97 {
		for _, crash := range []bool{false, true} {
			folder, l := openWithRoom()
			if crash {
				folder.CrashAtWrite, folder.CrashKeepBytes = folder.Writes+recordWrite, keep
			} else {
				folder.FailFrom, folder.FailUntil, folder.FailKeep = folder.Writes+recordWrite, 1<<30, float64(keep)/float64(len(hostile.Message.Body))
			}
			if l.Write(hostile) == nil {
				t.Fatal("the write succeeded")
			}
			r := *base
			r.folder = folder
			r.restart(t, fmt.Sprintf("%d bytes stored, crash %v", keep, crash), 0)
		}
	}
}
