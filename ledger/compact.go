package ledger

import (
	"errors"
	"fmt"

	"orchiddrift/seglog"
)

// How much is written again.
const (
	leastMoved    = 2048 // bytes with a write, at least
	movedPerByte  = 2    // and so many for each that is written
	reserveRetry  = 32   // writes between two tries to make files on a disk without room
	worthMovingAt = 2    // times what is owed: so much has to be in use
)

// compact empties the oldest segment by a little more than is about to be written, and makes sure of the reserve. Its
// work is bounded by what is written, and by going once through the segments where too few files are free.
func (l *Ledger) compact(bytes int, takes bool) error {
	l.reserve()
	budget, free := max(leastMoved, movedPerByte*bytes), 1
	if takes {
		free = reservedFiles
	}
	for last := l.log.NewestSegment(); l.log.UsedFiles() > 1 && l.log.OldestSegment() <= last && l.worthwhile(); {
		did, err := l.step(max(budget, leastMoved))
		if err != nil {
			return fmt.Errorf("ledger: %w", err)
		}
		if budget -= did; budget <= 0 && l.log.FreeFiles() >= free {
			break
		}
	}
	if takes && !l.reserve() {
		return l.why
	}
	return nil
}

// reserve tells whether enough files are free, after making them where that can be. On a disk without room it tries
// only now and then.
func (l *Ledger) reserve() bool {
	if l.log.FreeFiles() >= reservedFiles {
		l.tight = 0
		return true
	}
	if l.tight--; l.tight > 0 {
		return false
	}
	err := l.log.Reserve(reservedFiles)
	if l.tight = 0; err == nil {
		return true
	}
	l.tight, l.why = reserveRetry, fmt.Errorf("ledger: %w", err)
	if errors.Is(err, seglog.ErrFull) {
		l.why = ErrFull
	}
	return false
}

// worthwhile tells whether emptying the oldest segment wins room that is wanted: more is in use than twice what is owed,
// or no more files can be had.
func (l *Ledger) worthwhile() bool {
	const beside = 2 // segments: the newest, and one that is being emptied
	used := (l.log.UsedFiles() - beside) * l.room
	return used > worthMovingAt*l.live || l.log.FreeFiles() < reservedFiles
}

// step writes again what is owed in the oldest segment, up to so many bytes, and gives it back once nothing is. It tells
// the bytes it wrote, or looked at.
func (l *Ledger) step(budget int) (int, error) {
	const look = 16 // what passing over one that is over counts for
	oldest, did := l.log.OldestSegment(), 0
	list := l.members[oldest]
	for ; l.cursor < len(list); l.cursor++ {
		x := list[l.cursor]
		if x.over || x.segment != oldest {
			did += look
			continue
		}
		if did >= budget {
			return did, nil
		}
		if err := l.rewrite(x); err != nil {
			return did, err
		}
		did += x.size
	}
	delete(l.members, oldest)
	l.cursor = 0
	return did + look, l.log.ReleaseOldest()
}

// rewrite writes all that is needed of a notification into the newest segment, as one record: a part of it would make a push
// that may have run one that never did.
func (l *Ledger) rewrite(x *Pending) error {
	b := encode(nil, Record{Kind: Batch, ID: x.Message.ID, Parts: x.records()})
	segment, err := l.log.Append(b)
	if err != nil {
		return err
	}
	x.segment = segment
	l.members[segment] = append(l.members[segment], x)
	l.moved += len(b) + seglog.RecordOverhead
	return nil
}

// Compact writes all that is owed again, gives the room of the rest back to the disk, and keeps the reserve.
func (l *Ledger) Compact() error {
	for last := l.log.NewestSegment(); l.log.UsedFiles() > 1 && l.log.OldestSegment() < last; {
		if _, err := l.step(largestSegment); err != nil {
			return fmt.Errorf("ledger: %w", err)
		}
	}
	l.log.TrimFree(reservedFiles)
	return nil
}
