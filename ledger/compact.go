package ledger

import (
	"errors"
	"fmt"

	"orchiddrift/seglog"
)

// Parameters of compaction.
const (
	minRewriteBytes            = 2048 // smallest compaction budget of a write, in bytes
	rewriteBytesPerByteWritten = 2    // compaction budget per byte of a write, in bytes
	reserveRetryWrites         = 32   // number of writes between attempts to allocate the reserved files after a failure
	minUsedToLiveRatio         = 2    // ratio of used to live bytes above which compaction runs
)

// compact rewrites part of the oldest segment, in proportion to the size of the write that follows, and allocates the
// reserved files. hasAccepted reports whether the write contains an Accepted record, for which the reserved files must be free.
// The work is bounded by the size of the write or, if too few files are free, by one pass over the segments.
func (l *Ledger) compact(writtenBytes int, hasAccepted bool) error {
	l.reserve()
	budget, wantFree := max(minRewriteBytes, rewriteBytesPerByteWritten*writtenBytes), 1
	if hasAccepted {
		wantFree = reservedFiles
	}
	for newest := l.log.NewestSegment(); l.log.UsedFiles() > 1 && l.log.OldestSegment() <= newest && l.shouldCompact(); {
		used, err := l.compactStep(max(budget, minRewriteBytes))
		if err != nil {
			return fmt.Errorf("ledger: %w", err)
		}
		if budget -= used; budget <= 0 && l.log.FreeFiles() >= wantFree {
			break
		}
	}
	if hasAccepted && !l.reserve() {
		return l.reserveErr
	}
	return nil
}

// reserve reports whether the reserved files are free, allocating them if necessary. After a failure it retries only every
// reserveRetryWrites writes.
func (l *Ledger) reserve() bool {
	if l.log.FreeFiles() >= reservedFiles {
		l.writesUntilReserve = 0
		return true
	}
	if l.writesUntilReserve--; l.writesUntilReserve > 0 {
		return false
	}
	err := l.log.Reserve(reservedFiles)
	if l.writesUntilReserve = 0; err == nil {
		return true
	}
	l.writesUntilReserve, l.reserveErr = reserveRetryWrites, fmt.Errorf("ledger: %w", err)
	if errors.Is(err, seglog.ErrFull) {
		l.reserveErr = ErrFull
	}
	return false
}

// shouldCompact reports whether the oldest segment should be compacted: the used space exceeds minUsedToLiveRatio times the
// live bytes, or fewer files are free than reserved.
func (l *Ledger) shouldCompact() bool {
	const inProgressSegments = 2 // the newest segment and the one being compacted
	used := (l.log.UsedFiles() - inProgressSegments) * l.segmentCapacity
	return used > minUsedToLiveRatio*l.liveBytes || l.log.FreeFiles() < reservedFiles
}

// compactStep rewrites pending notifications of the oldest segment until the budget in bytes is used, and releases the
// segment once none are left. It returns the part of the budget that it used.
func (l *Ledger) compactStep(budget int) (int, error) {
	const skipCost = 16 // bytes of the budget charged for skipping a notification that needs no rewriting
	oldest, used := l.log.OldestSegment(), 0
	notifications := l.bySegment[oldest]
	for ; l.compactCursor < len(notifications); l.compactCursor++ {
		p := notifications[l.compactCursor]
		if p == nil {
			used += skipCost
			continue
		}
		if used >= budget {
			return used, nil
		}
		if err := l.rewrite(p); err != nil {
			return used, err
		}
		used += p.chargedBytes
	}
	delete(l.bySegment, oldest)
	l.compactCursor = 0
	return used + skipCost, l.log.ReleaseOldest()
}

// rewrite writes the state of a notification to the newest segment as a single record. If only a part of it were stored, a
// push that may have run would later count as one that never ran.
func (l *Ledger) rewrite(p *Pending) error {
	b := encode(nil, Record{Kind: Batch, ID: p.Message.ID, Parts: p.minimalRecords()})
	segment, err := l.log.Append(b)
	if err != nil {
		return err
	}
	l.dropFromSegment(p)
	l.addToSegment(p, segment)
	l.rewrittenBytes += len(b) + seglog.RecordOverhead
	return nil
}

// migrateSegments rewrites the pending notifications of segments that an earlier version of the format left, and removes their files.
// First it begins a segment of the current version, whose header tells where the earlier ones end. What is left after an error
// is rewritten as compaction goes on.
func (l *Ledger) migrateSegments() {
	if l.log.OldestVersion() == seglog.FormatVersion || l.log.StartSegment() != nil {
		return
	}
	_ = l.rewriteOlderSegments()
}

// rewriteOlderSegments rewrites all pending notifications of the segments before the newest one, and frees their files.
func (l *Ledger) rewriteOlderSegments() error {
	for newest := l.log.NewestSegment(); l.log.UsedFiles() > 1 && l.log.OldestSegment() < newest; {
		if _, err := l.compactStep(maxSegmentBytes); err != nil {
			return fmt.Errorf("ledger: %w", err)
		}
	}
	return nil
}

// Compact rewrites all pending notifications of the older segments, and removes the files that become free, except for
// the reserved ones.
func (l *Ledger) Compact() error {
	if err := l.rewriteOlderSegments(); err != nil {
		return err
	}
	l.log.TrimFree(reservedFiles)
	return nil
}
