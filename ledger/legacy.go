package ledger

import (
	"errors"
	"io"
	"slices"

	"orchiddrift/disk"
)

// legacyFile is the whole ledger before there were segments.
const legacyFile = "ledger"

// readLegacy reads the old single file, where there is one. While it is there segments hold at most a part of it, of a
// takeover that was cut short, and go.
func readLegacy(folder disk.Folder) ([]byte, error) {
	names, err := folder.List()
	if err != nil || !slices.Contains(names, legacyFile) {
		return nil, err
	}
	f, err := folder.Open(legacyFile)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	n, err := f.Size()
	if err != nil {
		return nil, err
	}
	text := make([]byte, n)
	if _, err := f.ReadAt(text, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	for _, name := range names {
		if name != legacyFile {
			if err := folder.Remove(name); err != nil {
				return nil, err
			}
		}
	}
	return text, nil
}

// takeOver writes what the old file owes into segments, then removes it. Both together may take more than the limit for
// that moment, by what is owed.
func (l *Ledger) takeOver(folder disk.Folder, text []byte) (int, error) {
	n := 0
	for len(text) > 0 {
		r, size, err := decodeOld(text)
		if err != nil {
			break // the tail was being written when the process ended
		}
		if r.Kind == Accepted || l.owed[r.ID] != nil {
			l.apply(r, 0, size)
		}
		text, n = text[size:], n+1
	}
	for _, x := range l.inOrder() {
		if err := l.rewrite(x); err != nil {
			return n, err
		}
	}
	return n, folder.Remove(legacyFile)
}
