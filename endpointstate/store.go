package endpointstate

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"orchiddrift/directory"
	"orchiddrift/disk"
)

// wholeListShare is the part of a file that the whole list may take, in quarters. The rest is for the changes after it.
const wholeListShare = 3

// Options of a Store.
type Options struct {
	Dispatcher string // name of the dispatcher
	MaxBytes   int    // largest size of both files together
	Sync       bool   // whether writes are flushed to disk
}

// Store reads and writes the files. It is not safe for concurrent use.
type Store struct {
	folder     disk.Folder
	options    Options
	generation uint64    // highest one that was read or written
	file       disk.File // the file that changes are appended to; nil if the whole list has to be written first
	size       int       // of that file, in bytes
	sequence   uint64    // of the next frame in it
}

// Open reads the list that the previous process left, which is nil if there is none that can be used. Damages are the reasons why a
// file, or the end of one, was not used. An error means that a file could not be read, which may pass.
func Open(folder disk.Folder, options Options) (store *Store, state *State, damages []error, err error) {
	store = &Store{folder: folder, options: options}
	names, err := folder.List()
	if err != nil {
		return nil, nil, nil, err
	}
	for _, name := range FileNames {
		if !slices.Contains(names, name) {
			continue
		}
		text, err := readFile(folder, name)
		if err != nil {
			return nil, nil, nil, err
		}
		generation, content, damage := store.decode(text)
		if damage != nil {
			damages = append(damages, fmt.Errorf("%s: %w", name, damage))
		}
		if content != nil && generation > store.generation {
			store.generation, state = generation, content
		}
	}
	return store, state, damages, nil
}

// maxReadBytes is the largest size of a file that is read: an earlier process may have had a larger folder.
const maxReadBytes = 8 << 20

// readFile returns the content of a file.
func readFile(folder disk.Folder, name string) (string, error) {
	f, err := folder.Open(name)
	if err != nil {
		return "", err
	}
	size, err := f.Size()
	if err := errors.Join(err, f.Close()); err != nil {
		return "", err
	}
	return disk.ReadFile(folder, name, int(min(size, maxReadBytes)))
}

// maxFileBytes returns the largest size of a file.
func (s *Store) maxFileBytes() int { return s.options.MaxBytes / len(FileNames) }

// maxWholeListBytes returns the largest size of the frame with the whole list.
func (s *Store) maxWholeListBytes() int { return s.maxFileBytes() * wholeListShare / 4 }

// decode returns the list of a file, or nil if its first frame cannot be used. The error says what could not be used; a file that ends
// within a frame is not damaged, as the process may have been killed while it wrote.
func (s *Store) decode(text string) (generation uint64, state *State, damage error) {
	body, found := strings.CutPrefix(text, formatName)
	if !found && strings.HasPrefix(formatName, text) {
		return 0, nil, errTruncated
	}
	if !found {
		return 0, nil, errOtherFormat
	}
	rest := []byte(body)
	dir := directory.New()
	var head Head
	for sequence := uint64(0); len(rest) > 0 || sequence == 0; sequence++ {
		f, next, err := decodeFrame(rest)
		if err == nil {
			err = s.check(f, generation, sequence)
		}
		switch {
		case err != nil && sequence == 0:
			return 0, nil, err
		case err != nil:
			result := stateOf(head, dir)
			if errors.Is(err, errTruncated) {
				err = nil
			}
			return generation, &result, err
		}
		for _, dest := range f.destinations {
			dir.AddDestination(dest)
		}
		dir.Apply(f.endpoints)
		generation, head, rest = f.generation, f.head, next
	}
	result := stateOf(head, dir)
	return generation, &result, nil
}

// check returns why a frame does not belong at a position of a file, or nil. The first frame tells the generation of the others.
func (s *Store) check(f frame, generation, sequence uint64) error {
	kind := uint64(changesOnly)
	if sequence == 0 {
		kind, generation = wholeList, f.generation
	}
	switch {
	case f.head.Dispatcher != s.options.Dispatcher:
		return errOtherOwner
	case f.kind != kind || f.generation != generation || f.sequence != sequence:
		return errOutOfOrder
	}
	return nil
}

// writeAll replaces the older of the two files by one with the whole list. It returns how many endpoints had no room.
func (s *Store) writeAll(state State) (omitted int, err error) {
	encoded, omitted := s.encodeAll(state)
	return omitted, s.replace(encoded)
}

// encodeAll returns the first frame of the next file, with as many endpoints as have room, and the number of the others.
func (s *Store) encodeAll(state State) (encoded []byte, omitted int) {
	f := frame{kind: wholeList, generation: s.generation + 1, head: state.Head, destinations: state.Destinations, endpoints: state.Endpoints}
	if encoded, omitted = encodeFrame(f, s.maxWholeListBytes()); omitted > 0 {
		f.endpoints = mostUseful(f.endpoints)
		encoded, omitted = encodeFrame(f, s.maxWholeListBytes())
	}
	return encoded, omitted
}

// replace writes a new file that begins with a frame.
func (s *Store) replace(encoded []byte) error {
	s.closeFile()
	f, err := s.folder.Create(FileNames[(s.generation+1)%uint64(len(FileNames))])
	if err != nil {
		return err
	}
	s.file, s.size, s.sequence = f, 0, 0
	if err := s.write(append([]byte(formatName), encoded...)); err != nil {
		return err
	}
	s.generation++
	if s.options.Sync {
		return s.folder.Sync()
	}
	return nil
}

// errNoRoom says that the whole list has to be written in place of changes.
var errNoRoom = errors.New("no room for changes")

// appendChanges writes entries that changed since the last write. It returns errNoRoom if the whole list has to be written instead.
func (s *Store) appendChanges(head Head, changes []directory.Endpoint) error {
	if s.file == nil {
		return errNoRoom
	}
	room := s.maxFileBytes() - s.size
	encoded, omitted := encodeFrame(frame{kind: changesOnly, generation: s.generation, sequence: s.sequence, head: head, endpoints: changes}, room)
	if omitted > 0 || len(encoded) > room {
		return errNoRoom
	}
	return s.write(encoded)
}

// write appends bytes to the file. After an error the whole list has to be written.
func (s *Store) write(b []byte) error {
	n, err := s.file.WriteAt(b, int64(s.size))
	if err == nil && n < len(b) {
		err = fmt.Errorf("list of endpoints: wrote %d of %d bytes", n, len(b))
	}
	if err == nil && s.options.Sync {
		err = s.file.Sync()
	}
	if err != nil {
		s.closeFile()
		return err
	}
	s.size += len(b)
	s.sequence++
	return nil
}

// closeFile closes the file that changes are appended to.
func (s *Store) closeFile() {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}
