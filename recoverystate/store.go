// Package recoverystate stores, in the folder that outlives the process, which destinations had a push fail and are not back to
// normal, so that the next process keeps to the recovery budget too. Two files are written in turn, so that a write that is torn
// by a crash or fails leaves the older one.
package recoverystate

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strings"

	"orchiddrift/decide"
	"orchiddrift/disk"
)

// FileNames are the names of the two files.
var FileNames = [2]string{"recovery-0", "recovery-1"}

// MaxBytes is the largest size of a file. Of more states than fit, those bound last are stored.
const MaxBytes = 32 << 10

// stored is the content of a file. Its JSON form is followed by a line with its CRC-32.
type stored struct {
	Version int                    `json:"version"` // of the two files, the one with the higher version is valid
	States  []decide.RecoveryState `json:"states"`
}

// Store reads and writes the files. It is not safe for concurrent use.
type Store struct {
	folder  disk.Folder
	sync    bool
	version int // highest version that was read or written
}

// Open reads the states that the previous process left; none if there is no file, or no file that is complete. An error means that
// a file could not be read, which may pass. sync determines whether writes are flushed to disk.
func Open(folder disk.Folder, sync bool) (*Store, []decide.RecoveryState, error) {
	store := &Store{folder: folder, sync: sync}
	names, err := folder.List()
	if err != nil {
		return nil, nil, err
	}
	var latest []decide.RecoveryState
	for _, name := range FileNames {
		if !slices.Contains(names, name) {
			continue
		}
		text, err := disk.ReadFile(folder, name, MaxBytes)
		if err != nil {
			return nil, nil, err
		}
		if content, ok := decode(text); ok && content.Version > store.version {
			store.version, latest = content.Version, content.States
		}
	}
	return store, latest, nil
}

// Write replaces the older of the two files.
func (s *Store) Write(states []decide.RecoveryState) error {
	text := encode(stored{s.version + 1, states})
	f, err := s.folder.Create(FileNames[(s.version+1)%len(FileNames)])
	if err != nil {
		return err
	}
	defer f.Close()
	if n, err := f.WriteAt(text, 0); err != nil || n < len(text) {
		return errors.Join(err, fmt.Errorf("recovery state: wrote %d of %d bytes", n, len(text)))
	}
	if s.sync {
		if err := errors.Join(f.Sync(), s.folder.Sync()); err != nil {
			return err
		}
	}
	s.version++
	return nil
}

// encode returns the content of a file of at most MaxBytes.
func encode(content stored) []byte {
	slices.SortStableFunc(content.States, func(a, b decide.RecoveryState) int {
		switch {
		case a.BoundSince > b.BoundSince:
			return -1
		case a.BoundSince < b.BoundSince:
			return 1
		}
		return 0
	})
	for {
		text, _ := json.Marshal(content) // plain values always marshal
		line := fmt.Appendf(text, "\n%08x\n", crc32.ChecksumIEEE(text))
		if len(line) <= MaxBytes || len(content.States) == 0 {
			return line
		}
		content.States = content.States[:len(content.States)*MaxBytes/(len(line)+1)]
	}
}

// decode returns the content of a file, and whether it is complete.
func decode(text string) (content stored, ok bool) {
	body, checksum, found := strings.Cut(text, "\n")
	if !found || checksum != fmt.Sprintf("%08x\n", crc32.ChecksumIEEE([]byte(body))) {
		return stored{}, false
	}
	return content, json.Unmarshal([]byte(body), &content) == nil
}
