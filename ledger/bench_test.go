package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"orchiddrift/disk"
	"orchiddrift/ledger"
)

// openAt opens a ledger on the test's own disk.
func openAt(b *testing.B, dir string, limit int) (*ledger.Ledger, []ledger.Pending) {
	folder, err := disk.OpenDir(dir)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = folder.Close() })
	l, owed, _, err := ledger.Open(folder, ledger.Options{Limit: limit})
	if err != nil {
		b.Fatal(err)
	}
	return l, owed
}

// The life of one notification, taken, pushed, over, with 1,000 others owed: the time of each, the longest single write,
// and the bytes written anew for it.
func BenchmarkLife(b *testing.B) {
	l, _ := openAt(b, b.TempDir(), 3_000_000)
	for i := range 1000 {
		if err := l.Write(taken(fmt.Sprint("owed", i), 200)); err != nil {
			b.Fatal(err)
		}
	}
	longest := time.Duration(0)
	write := func(records ...ledger.Record) {
		begun := time.Now()
		if err := l.Write(records...); err != nil {
			b.Fatal(err)
		}
		longest = max(longest, time.Since(begun))
	}
	moved := l.RewrittenBytes()
	b.ResetTimer()
	for i := range b.N {
		id := fmt.Sprint("n", i)
		write(taken(id, 200))
		write(ledger.Record{Kind: ledger.CallStarted, ID: id, StartedAt: 1001, Endpoint: "e1"})
		write(ledger.Record{Kind: ledger.Completed, ID: id})
	}
	b.ReportMetric(float64(longest.Microseconds()), "us-longest")
	b.ReportMetric(float64(l.RewrittenBytes()-moved)/float64(b.N), "B-anew/op")
}

// A start with so many owed.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir, limit := b.TempDir(), 3_000_000+n*1600
			l, _ := openAt(b, dir, limit)
			for i := range n {
				if err := l.Write(taken(fmt.Sprint("owed", i), 200)); err != nil {
					b.Fatal(err)
				}
			}
			if err := l.Close(); err != nil {
				b.Fatal(err)
			}
			folder, err := disk.OpenDirReadOnly(dir)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				l, owed, _, err := ledger.Open(folder, ledger.Options{Limit: limit, ReadOnly: true})
				if err != nil || len(owed) != n {
					b.Fatal(len(owed), err)
				}
				_ = l.Close()
			}
		})
	}
}
