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

// lastRunFile writes a lastRun. A nil lastRunFile writes nothing. It may be used concurrently.
type lastRunFile struct {
	file  disk.File
	lock  sync.Mutex // guards ended
	ended bool       // the last word is written
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
	f := &lastRunFile{file: file}
	f.save(lastRun{Ended: stillRunning, At: time.Now().UTC()})
	return f
}

// save writes the state of the process. A failure is not told: the next reading is written again.
func (f *lastRunFile) save(run lastRun) {
	if f == nil {
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	text, err := json.Marshal(run)
	if err != nil || len(text) > lastRunBytes || f.ended {
		return
	}
	f.ended = run.Ended != stillRunning
	_, _ = f.file.WriteAt([]byte(string(text)+strings.Repeat(" ", lastRunBytes-len(text))), 0)
}
