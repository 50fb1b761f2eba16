package ledger

import (
	"errors"
	"io"
	"slices"

	"orchiddrift/disk"
)

// legacyFile is the name of the single file that held the ledger in versions without segments.
const legacyFile = "ledger"

// readLegacy returns the content of the legacy file, or nil if there is none. If it exists, any segments are from an
// interrupted migration, and are removed.
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
	content := make([]byte, n)
	if _, err := f.ReadAt(content, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	for _, name := range names {
		if name != legacyFile {
			if err := folder.Remove(name); err != nil {
				return nil, err
			}
		}
	}
	return content, nil
}

// migrateLegacy writes the pending notifications of the legacy file to segments, then removes the file. It returns the
// number of records read. Until the file is removed, the folder may exceed its limit by the size of these notifications.
func (l *Ledger) migrateLegacy(folder disk.Folder, content []byte) (int, error) {
	records := 0
	for len(content) > 0 {
		r, size, err := decodeLegacy(content)
		if err != nil {
			break // a torn write at the end of the file
		}
		if r.Kind == Accepted || l.pending[r.ID] != nil {
			l.apply(r, 0, size)
		}
		content, records = content[size:], records+1
	}
	for _, p := range l.pendingInOrder() {
		if err := l.rewrite(p); err != nil {
			return records, err
		}
	}
	return records, folder.Remove(legacyFile)
}
