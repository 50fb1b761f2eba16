package ledger_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
	"testing"

	"orchiddrift/disk/faulty"
	"orchiddrift/ledger"
)

// Sizes of format version 1, in bytes.
const (
	headerSizeV1       = 24
	recordHeaderSizeV1 = 16
	segmentSizeV1      = 50688 // of a folder with contentLimit
)

// segmentV1 builds a segment file of format version 1.
type segmentV1 struct {
	content []byte
	seq     uint64 // number of the last record
	offsets []int  // of the records
	end     int    // offset behind the last record
}

// newSegmentV1 returns a segment without records, in a file that is filled with stale bytes.
func newSegmentV1(number int, baseSeq uint64, stale []byte) *segmentV1 {
	s := &segmentV1{content: make([]byte, segmentSizeV1), seq: baseSeq, end: headerSizeV1}
	if len(stale) > 0 {
		copy(s.content, bytes.Repeat(stale, segmentSizeV1/len(stale)+1))
	}
	clear(s.content[:headerSizeV1])
	copy(s.content, "ODLG\x01")
	binary.LittleEndian.PutUint32(s.content[8:], uint32(number))
	binary.LittleEndian.PutUint64(s.content[12:], baseSeq)
	binary.LittleEndian.PutUint32(s.content[20:], crc32.Checksum(s.content[:20], crc32.MakeTable(crc32.Castagnoli)))
	return s
}

// write appends records with successive numbers.
func (s *segmentV1) write(records ...ledger.Record) {
	for _, r := range records {
		s.seq++
		s.writeNumbered(s.seq, r)
	}
}

// writeNumbered appends a record with a number.
func (s *segmentV1) writeNumbered(seq uint64, r ledger.Record) {
	s.offsets = append(s.offsets, s.end)
	s.end += copy(s.content[s.end:], encodeV1(seq, r))
}

// encodeV1 returns a record with a number in the form of format version 1.
func encodeV1(seq uint64, r ledger.Record) []byte {
	b := append(binary.LittleEndian.AppendUint64(nil, seq), ledger.EncodeRecord(r)...)
	header := binary.LittleEndian.AppendUint32(nil, uint32(len(b)-8))
	header = binary.LittleEndian.AppendUint32(header, crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)))
	return append(header, b...)
}

// sequenced returns an Accepted record with its place in the order.
func sequenced(id string, order int, body []byte) ledger.Record {
	r := accepted(id, 0)
	r.Message.Body, r.AcceptedSeq = body, order
	return r
}

// hostileV1 returns stale bytes: a record whose number continues the given one, repeated, behind bytes that keep it out of line.
func hostileV1(seq uint64) []byte { return append([]byte("out of line"), entryV1(seq+2)...) }

// folderV1 returns a folder of format version 1 with two segments in use, whose second holds hostile stale bytes, and a free file that
// is filled with them. It owes a, c and d.
func folderV1() (*faulty.Folder, *segmentV1) {
	folder := faulty.New()
	one := newSegmentV1(7, 100, hostileV1(103))
	one.write(sequenced("a", 1, hostileV1(100)[:3000]), sequenced("b", 2, nil), sequenced("c", 3, hostileV1(110)[:3000]))
	two := newSegmentV1(8, one.seq, hostileV1(105))
	two.write(ledger.Record{Kind: ledger.Completed, ID: "b"}, sequenced("d", 4, hostileV1(105)[:500]))
	folder.Put("segment-000001", one.content)
	folder.Put("segment-000002", two.content)
	free := newSegmentV1(0, 0, hostileV1(105)).content
	clear(free[:headerSizeV1])
	folder.Put("segment-000003", free)
	return folder, one
}

// openIDs opens a ledger and returns the IDs of what is owed, in order.
func openIDs(t *testing.T, folder *faulty.Folder, readOnly bool) (*ledger.Ledger, []string, ledger.Report) {
	t.Helper()
	l, pending, report, err := ledger.Open(folder, ledger.Options{LimitBytes: contentLimit, ReadOnly: readOnly})
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, p := range pending {
		ids = append(ids, p.Message.ID)
	}
	return l, ids, report
}

// Guards against messages that nobody handed in, and owed ones that are lost, at the first start on a folder of format version 1:
// whole, read only, and after a crash at any write of that start. From then on no file of that version is left.
func TestVersion1FolderIsMigrated(t *testing.T) {
	owed := []string{"a", "c", "d"}
	uncrashed, _ := folderV1()
	if _, ids, report := openIDs(t, uncrashed, true); !slices.Equal(ids, owed) || report.OldSegments != 2 {
		t.Fatalf("read only: owed %v, want %v; %d old segments", ids, owed, report.OldSegments)
	}
	if _, ids, _ := openIDs(t, uncrashed, false); !slices.Equal(ids, owed) {
		t.Fatalf("owed %v, want %v", ids, owed)
	}
	for crashAt := 1; crashAt <= uncrashed.Writes; crashAt++ {
		for _, keep := range []int{0, 9, 30, 1 << 20} {
			folder, _ := folderV1()
			folder.CrashAtWrite, folder.CrashKeepBytes = crashAt, keep
			_, _, _, _ = ledger.Open(folder, ledger.Options{LimitBytes: contentLimit})
			for start := range 3 {
				folder = folder.Restart()
				l, ids, report := openIDs(t, folder, false)
				if !slices.Equal(ids, owed) {
					t.Fatalf("crash at write %d, %d bytes kept, start %d: owed %v, want %v", crashAt, keep, start, ids, owed)
				}
				if start > 0 && report.OldSegments > 0 {
					t.Errorf("crash at write %d, start %d: %d old segments", crashAt, start, report.OldSegments)
				}
				if start == 1 {
					if err := l.Write(ledger.Record{Kind: ledger.NoticePending, ID: "d", Outcome: "given_up"}); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
	}
	names, _ := uncrashed.List()
	for _, name := range names {
		if content := uncrashed.Content(name); content[4] != 2 || bytes.Contains(content, []byte("out of line")) && !bytes.Contains(content, []byte("acme")) {
			t.Errorf("%s was not written by this version", name)
		}
	}
}

// Guards against owed messages that are lost behind a damaged record in a segment of format version 1 that is not the newest, and
// against records in the damaged one's body: reading continues behind its length, or, if that is damaged, where the rest fits in.
func TestVersion1DamageInOlderSegment(t *testing.T) {
	for _, damaged := range []int{0, 1} { // records of a and b
		for _, field := range []int{0, 1, 4, 8, recordHeaderSizeV1 + 9} { // length, checksum, number, content
			folder, one := folderV1()
			folder.Content("segment-000001")[one.offsets[damaged]+field] ^= 0x55
			want := [][]string{{"c", "d"}, {"a", "c", "d"}}[damaged]
			for start := range 2 {
				_, ids, report := openIDs(t, folder, false)
				if !slices.Equal(ids, want) {
					t.Errorf("record %d, byte %d, start %d: owed %v, want %v", damaged, field, start, ids, want)
				}
				if reported := len(report.Damaged) > 0; reported != (start == 0) {
					t.Errorf("record %d, byte %d, start %d: damage reported: %v", damaged, field, start, reported)
				}
				folder = folder.Restart()
			}
		}
	}
}

// Guards against a record with the highest number, after which numbers begin again: what is written then is not read at the next start.
func TestVersion1HighestNumber(t *testing.T) {
	folder, _ := folderV1()
	two := newSegmentV1(9, 105, nil)
	two.write(sequenced("e", 5, nil))
	two.writeNumbered(1<<64-1, sequenced("forged", 6, nil))
	folder.Put("segment-000004", two.content)
	want := []string{"a", "c", "d", "e"}
	for start := range 3 {
		l, ids, _ := openIDs(t, folder, false)
		if !slices.Equal(ids, want) {
			t.Fatalf("start %d: owed %v, want %v", start, ids, want)
		}
		id := fmt.Sprint("new", start)
		if err := l.Write(accepted(id, 10)); err != nil {
			t.Fatal(err)
		}
		want = append(want, id)
		folder = folder.Restart()
	}
}
