package seglog

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"orchiddrift/disk/faulty"
)

// testSegmentBytes is the size of a segment in the tests.
const testSegmentBytes = 8 << 10

// openLog opens a log and returns it with the records that it holds.
func openLog(t testing.TB, folder *faulty.Folder) (*Log, [][]byte, Report) {
	t.Helper()
	var records [][]byte
	l, report, err := Open(folder, Options{SegmentBytes: testSegmentBytes, MaxFiles: 6},
		func(_ int, record []byte) { records = append(records, bytes.Clone(record)) }, func(Damage) {})
	if err != nil {
		t.Fatal(err)
	}
	return l, records, report
}

// appendAll appends records, and frees the oldest segments as long as few files are free.
func appendAll(t testing.TB, l *Log, records ...[]byte) {
	t.Helper()
	for _, record := range records {
		for l.UsedFiles() > 3 {
			if err := l.ReleaseOldest(); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := l.Append(record); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against content in which a frame marker stands, and content that stuffing changes: pairs at each edge of a piece, halves of pairs,
// and pieces of the largest size.
func TestStuffing(t *testing.T) {
	pair := string(stuffedPair)
	long := bytes.Repeat([]byte{pairFirst}, maxPiece+1)
	for _, text := range [][]byte{nil, []byte("a"), []byte(pair), []byte(pair + pair), []byte("a" + pair), []byte(pair + "a"), {pairFirst}, {pairSecond},
		{pairSecond, pairFirst}, {pairFirst, pairFirst, pairSecond, pairSecond}, long[:maxPiece-1], long[:maxPiece], long,
		slices.Concat(long[:maxPiece-1], []byte{pairSecond, 1}), slices.Concat(long[:maxPiece], []byte{pairSecond, 1}),
		slices.Concat(long, []byte{pairSecond}, long)} {
		checkStuffing(t, text)
	}
}

// checkStuffing stuffs a text and restores it.
func checkStuffing(t testing.TB, text []byte) {
	t.Helper()
	stuffed := appendStuffed(nil, text)
	if bytes.Contains(stuffed, stuffedPair) || len(stuffed) > stuffedSize(len(text)) {
		t.Errorf("%d bytes are stuffed to %d bytes, a pair in it: %v", len(text), len(stuffed), bytes.Contains(stuffed, stuffedPair))
	}
	restored, ok := appendUnstuffed(nil, stuffed)
	if !ok || !bytes.Equal(restored, text) {
		t.Errorf("%d bytes are not restored", len(text))
	}
}

// hostileFrame returns the frame of a record with the next numbers in the newest segment, as somebody would make it who has read the folder.
func hostileFrame(l *Log, ahead uint64) []byte {
	var w frameWriter
	return w.encode(l.active().header.salt, l.lastSeq+ahead, []byte("forged"))
}

// Guards against content that is read as a record although its author knows the salt and the number of the next record: the frames that
// its body holds stand in a record that is whole, damaged or torn.
func TestFrameInContent(t *testing.T) {
	for _, ahead := range []uint64{1, 2, 3, 4, math.MaxUint64} {
		folder := faulty.New()
		l, _, _ := openLog(t, folder)
		appendAll(t, l, []byte("first"))
		body := bytes.Repeat(hostileFrame(l, ahead), 20)
		start := l.active().writeOffset
		appendAll(t, l, body)
		end := l.active().writeOffset
		appendAll(t, l, []byte("last"))
		for offset := start; offset < end; offset++ {
			damaged := folder.Restart()
			damaged.Content(l.active().name)[offset] ^= 0x55
			if _, records, report := openLog(t, damaged); len(records) != 2 || string(records[1]) != "last" || len(report.Damaged) != 1 {
				t.Fatalf("%d ahead, byte %d of %d damaged: %d records, damage %v", ahead, offset-start, end-start, len(records), report.Damaged)
			}
			torn := folder.Restart()
			clear(torn.Content(l.active().name)[offset:])
			if _, records, _ := openLog(t, torn); len(records) != 1 {
				t.Fatalf("%d ahead, torn at byte %d of %d: %d records", ahead, offset-start, end-start, len(records))
			}
		}
	}
}

// Guards against a frame of an earlier use of a file that is read in a later one, wherever the later records end.
func TestFramesOfAnEarlierUse(t *testing.T) {
	folder := faulty.New()
	l, _, _ := openLog(t, folder)
	for i := range 2000 {
		appendAll(t, l, fmt.Appendf(nil, "record %d", i))
		if i%7 > 0 {
			continue
		}
		_, records, report := openLog(t, folder.Restart())
		if got := string(records[len(records)-1]); got != fmt.Sprint("record ", i) || len(report.Damaged) > 0 {
			t.Fatalf("the last record is %q, want record %d; damage %v", got, i, report.Damaged)
		}
	}
}

// Guards against a number that jumps further than the bytes in between have room for, with a valid checksum.
func TestJumpOfNumbersIsDamage(t *testing.T) {
	for _, ahead := range []uint64{2, 1 << 40, math.MaxUint64} {
		folder := faulty.New()
		l, _, _ := openLog(t, folder)
		appendAll(t, l, []byte("first"))
		s, lastSeq := l.active(), l.lastSeq
		l.lastSeq += ahead - 1
		appendAll(t, l, []byte("jumps"))
		l.lastSeq = lastSeq
		_, records, _ := openLog(t, folder.Restart())
		if len(records) != 1 {
			t.Errorf("%d ahead: %d records in %s", ahead, len(records), s.name)
		}
	}
}

// Guards against what a record of any content does to the reader: no record is read that was not appended, whatever the contents are, and
// whichever bytes of the files are damaged. Without damage, all are read.
func FuzzRecords(f *testing.F) {
	var w frameWriter
	frame := w.encode(0, 1, []byte("frame"))
	f.Add([]byte("plain"), []byte{}, uint64(1), uint8(0))
	f.Add(bytes.Repeat(frame, 10), frame, uint64(2), uint8(3))
	f.Add(frameMarker, stuffedPair, uint64(3), uint8(30))
	f.Fuzz(func(t *testing.T, one, two []byte, seed uint64, damagedBytes uint8) {
		random := rand.New(rand.NewPCG(seed, 1))
		folder := faulty.New()
		l, _, _ := openLog(t, folder)
		var appended [][]byte
		for range 10 + random.IntN(30) {
			record := append([]byte{byte(random.IntN(256))}, hostileContent(l, one, two, random)...)
			record = record[:min(len(record), testSegmentBytes/4)]
			appendAll(t, l, record)
			appended = append(appended, record)
		}
		folder = folder.Restart()
		names, _ := folder.List()
		for range damagedBytes {
			content := folder.Content(names[random.IntN(len(names))])
			content[random.IntN(len(content))] = byte(random.Uint32())
		}
		_, records, report := openLog(t, folder)
		rest := appended
		for _, record := range records {
			i := slices.IndexFunc(rest, func(a []byte) bool { return bytes.Equal(a, record) })
			if i < 0 {
				t.Fatalf("a record of %d bytes was read that was not appended, or not in its place", len(record))
			}
			rest = rest[i+1:]
		}
		if damagedBytes == 0 && (len(rest) > 0 || len(report.Damaged) > 0) {
			t.Fatalf("%d records are lost, damage %v", len(rest), report.Damaged)
		}
	})
}

// hostileContent returns content of a record: one of two texts, alone or in frames that somebody who has read the folder would make.
func hostileContent(l *Log, one, two []byte, random *rand.Rand) []byte {
	text := [][]byte{one, two, slices.Concat(one, two), slices.Concat(frameMarker, two)}[random.IntN(4)]
	if l.active() == nil || random.IntN(2) == 0 {
		return text
	}
	var w frameWriter
	return bytes.Clone(w.encode(l.active().header.salt, l.lastSeq+uint64(random.IntN(5)), append(text, 'f')))
}

// Guards against a stuffed text that is not restored, or in which a pair stands.
func FuzzStuffing(f *testing.F) {
	f.Add([]byte{pairFirst, pairSecond, pairSecond, pairFirst}, 3)
	f.Add([]byte{pairFirst}, maxPiece)
	f.Fuzz(func(t *testing.T, text []byte, repeat int) {
		const maxBytes = 200_000
		checkStuffing(t, bytes.Repeat(text, max(1, min(repeat, maxBytes/max(1, len(text))))))
	})
}

// Guards against a reader that ends, or goes on for ever, over a file that holds anything: what is read from bytes that were never written
// by the log is nothing.
func FuzzSegment(f *testing.F) {
	header := newHeader(1, 0)
	f.Add(header.encode())
	f.Add(slices.Concat(header.encode(), frameMarker, []byte{5, 0, 0, 1, 2, 3}))
	f.Fuzz(func(t *testing.T, content []byte) {
		folder := faulty.New()
		folder.Put(fileNamePrefix+"000001", slices.Concat(newHeader(1, 0).encode(), content))
		folder.Put(fileNamePrefix+"000002", content)
		l, _, err := Open(folder, Options{SegmentBytes: testSegmentBytes, MaxFiles: 6}, func(_ int, record []byte) {
			t.Errorf("read %d bytes that were never appended", len(record))
		}, func(Damage) {})
		if err != nil {
			return // of another version
		}
		appendAll(t, l, []byte("appended"))
	})
}
