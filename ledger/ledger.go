// Package ledger keeps what a dispatcher owes in the folder that outlives its process. A record counts once it
// is written: the folder loses nothing but with its machine, so nothing is synced.
package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"orchiddrift/message"
)

// ErrFull tells that a record does not fit the folder.
var ErrFull = errors.New("no room in the ledger")

const (
	block   = 512     // files are counted in whole blocks
	slop    = 4096    // kept free for the folder itself
	rest    = 8192    // what else a notification's records may take
	garbage = 1 << 16 // what may be over before the file is rewritten
)

// Owed is a notification that still needs its end.
type Owed struct {
	Message *message.Message // with its pushes, and the first that may have run
	Notice  *Record          // its notice, if that is all it still needs
	out     *Record          // the push that was out
	seq     int
	size    int // of the record that tells of its taking
}

// Ledger is the open folder.
type Ledger struct {
	path  string
	file  *os.File
	limit int // bytes that all files together may take
	size  int // of the file
	live  int // what a file with only the owed would hold
	owed  map[string]*Owed
	taken int
}

// Open reads the folder, drops a torn tail, and returns what is still owed in the order it was taken. A push
// that was out when the process ended may have run.
func Open(folder string, limit int) (*Ledger, []Owed, error) {
	l := &Ledger{path: filepath.Join(folder, "ledger"), limit: limit, owed: map[string]*Owed{}}
	text, err := os.ReadFile(l.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, fmt.Errorf("ledger: %w", err)
	}
	for len(text) > 0 {
		r, n, err := decode(text)
		if err != nil {
			break // the tail was being written when the process ended
		}
		l.apply(r)
		text = text[n:]
	}
	var list []Owed
	for _, o := range l.inOrder() {
		if o.out != nil {
			l.apply(Record{Kind: MayRun, ID: o.Message.ID})
		}
		list = append(list, *o)
	}
	if err := l.rewrite(); err != nil {
		return nil, nil, err
	}
	return l, list, nil
}

// Room tells whether a new notification with so large a body fits, with some left for what will be told of it.
func (l *Ledger) Room(body int) bool {
	need := body + rest
	return 2*(l.live+need) <= l.limit*7/8-slop
}

// Write appends records in one go. It rewrites the file first where much of it is over.
func (l *Ledger) Write(records ...Record) error {
	var b []byte
	for _, r := range records {
		b = encode(b, r)
	}
	if l.size-l.live > max(l.live, garbage) || blocks(l.size+len(b))+blocks(l.live+len(b)) > l.limit-slop {
		if err := l.rewrite(); err != nil {
			return err
		}
	}
	if blocks(l.size+len(b))+slop > l.limit {
		return ErrFull
	}
	if _, err := l.file.WriteAt(b, int64(l.size)); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	l.size += len(b)
	for _, r := range records {
		l.apply(r)
	}
	return nil
}

// Close closes the file.
func (l *Ledger) Close() error { return l.file.Close() }

// apply takes a record into what is owed.
func (l *Ledger) apply(r Record) {
	o := l.owed[r.ID]
	if o != nil {
		l.live -= o.bytes()
	}
	switch {
	case r.Kind == Taken:
		l.taken++
		m := *r.Message
		m.Pushes = r.Pushes
		o = &Owed{Message: &m, seq: l.taken, size: len(encode(nil, r))}
		l.owed[r.ID] = o
	case o == nil: // already over
		return
	case r.Kind == Began:
		o.Message.Pushes++
		o.out = &r
	case r.Kind == NotRun:
		o.out = nil
	case r.Kind == MayRun:
		if o.out != nil && o.Message.RanAt == 0 {
			o.Message.RanAt, o.Message.RanTo = o.out.At, o.out.To
		}
		o.out = nil
	case r.Kind == Noticed:
		o.Notice = &r
	case r.Kind == Over:
		delete(l.owed, r.ID)
		return
	}
	l.live += o.bytes()
}

// records are the fewest that tell what is owed of a notification.
func (o *Owed) records() []Record {
	list := []Record{{Kind: Taken, ID: o.Message.ID, Message: o.Message, Pushes: o.Message.Pushes}}
	if o.out != nil {
		list[0].Pushes--
		list = append(list, *o.out)
	}
	if o.Notice != nil {
		list = append(list, *o.Notice)
	}
	return list
}

// bytes is what those records take, but for the few that the first grows by.
func (o *Owed) bytes() int {
	var b []byte
	for _, r := range o.records()[1:] {
		b = encode(b, r)
	}
	return o.size + len(b)
}

// inOrder lists what is owed as it was taken.
func (l *Ledger) inOrder() []*Owed {
	list := make([]*Owed, 0, len(l.owed))
	for _, o := range l.owed {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *Owed) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// rewrite puts a file with only what is owed in the old one's place.
func (l *Ledger) rewrite() error {
	var b []byte
	for _, o := range l.inOrder() {
		for _, r := range o.records() {
			b = encode(b, r)
		}
	}
	if err := os.WriteFile(l.path+".new", b, 0o600); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	if err := os.Rename(l.path+".new", l.path); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	if l.file != nil {
		_ = l.file.Close() // the old file: all it held is in the new one
	}
	file, err := os.OpenFile(l.path, os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	l.file, l.size, l.live = file, len(b), len(b)
	return nil
}

func blocks(n int) int { return (n + block - 1) / block * block }
