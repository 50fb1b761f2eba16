package dispatcher

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/disk"
)

const (
	// lastRunName is the name of the file in the lasting folder that tells how the process was when it was last seen.
	lastRunName = "last-run"
	// lastRunBytes is the size of that file: a block.
	lastRunBytes = 512
	// stillRunning is what stands there until the process ends by a plan or with an error.
	stillRunning = "no"
)

// lastRun is what a process leaves for the log of the next one. Sizes are in bytes.
type lastRun struct {
	Ended string    `json:"ended"` // why it ended, or stillRunning: then it was killed, or ended without a word
	At    time.Time `json:"at"`    // when it was last seen
	Total int       `json:"total"` // all memory then
	Peak  int       `json:"peak"`
	Limit int       `json:"limit"`
}

// lastWordPatience is how long the end of a process waits for its last word to be written.
const lastWordPatience = 100 * time.Millisecond

// lastRunFile writes a lastRun in the background, as nothing but a log depends on it and a write may be slow. A nil lastRunFile writes
// nothing. It may be used concurrently.
type lastRunFile struct {
	file    disk.File
	lock    sync.Mutex    // guards ended and sending to next, never a write
	ended   bool          // the last word is said
	next    chan lastRun  // the latest one that is to be written
	written chan struct{} // closed once the last word is written
}

// openLastRun logs what the process before left in a folder, and returns the file for this one. It is nil if that cannot be opened:
// nothing but the log depends on it.
func openLastRun(folder disk.Folder, log zerolog.Logger) *lastRunFile {
	var before lastRun
	if text, err := disk.ReadFile(folder, lastRunName, lastRunBytes); err == nil && json.Unmarshal([]byte(strings.TrimRight(text, " \x00")), &before) == nil {
		log.Info().Str("ended", before.Ended).Time("at", before.At).Int("total", before.Total).Int("peak", before.Peak).
			Int("limit", before.Limit).Msg("process before")
	}
	file, err := folder.Create(lastRunName)
	if err != nil {
		return nil
	}
	f := &lastRunFile{file: file, next: make(chan lastRun, 1), written: make(chan struct{})}
	go f.writeAll()
	f.save(lastRun{Ended: stillRunning, At: time.Now().UTC()})
	return f
}

// save has the state of the process written, in place of one that still waits to be, unless the last word is said.
func (f *lastRunFile) save(run lastRun) {
	if f == nil {
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.ended {
		return
	}
	f.ended = run.Ended != stillRunning
	select {
	case <-f.next:
	default:
	}
	f.next <- run
}

// saveLast has the last word written and waits for that, up to lastWordPatience.
func (f *lastRunFile) saveLast(run lastRun) {
	if f == nil {
		return
	}
	f.save(run)
	select {
	case <-f.written:
	case <-time.After(lastWordPatience):
	}
}

// writeAll writes what is saved, up to the last word.
func (f *lastRunFile) writeAll() {
	for run := range f.next {
		f.write(run)
		if run.Ended != stillRunning {
			close(f.written)
			return
		}
	}
}

// write writes the state of the process. A failure is not told: the next reading is written again.
func (f *lastRunFile) write(run lastRun) {
	text, err := json.Marshal(run)
	if err != nil || len(text) > lastRunBytes {
		return
	}
	_, _ = f.file.WriteAt([]byte(string(text)+strings.Repeat(" ", lastRunBytes-len(text))), 0)
}
