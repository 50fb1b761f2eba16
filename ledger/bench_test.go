package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"orchiddrift/disk"
	"orchiddrift/ledger"
)

// openInDir opens a ledger in a directory of the operating system. The directory stays locked until the benchmark ends.
func openInDir(b *testing.B, dir string, limit int) (*ledger.Ledger, []ledger.Pending) {
	folder, err := disk.OpenDir(dir)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = folder.Close() })
	l, pending, _, err := ledger.Open(folder, ledger.Options{LimitBytes: limit})
	if err != nil {
		b.Fatal(err)
	}
	return l, pending
}

// Measures writing the records of one notification (Accepted, CallStarted, Completed) while 1,000 others are pending: the
// time for all three, the longest single write, and the bytes rewritten by compaction.
func BenchmarkNotificationLifecycle(b *testing.B) {
	l, _ := openInDir(b, b.TempDir(), 3_000_000)
	for i := range 1000 {
		if err := l.Write(accepted(fmt.Sprint("pending", i), 200)); err != nil {
			b.Fatal(err)
		}
	}
	longest := time.Duration(0)
	write := func(records ...ledger.Record) {
		start := time.Now()
		if err := l.Write(records...); err != nil {
			b.Fatal(err)
		}
		longest = max(longest, time.Since(start))
	}
	rewrittenBefore := l.RewrittenBytes()
	b.ResetTimer()
	for i := range b.N {
		id := fmt.Sprint("n", i)
		write(accepted(id, 200))
		write(ledger.Record{Kind: ledger.CallStarted, ID: id, StartedAt: 1001, Endpoint: "e1"})
		write(ledger.Record{Kind: ledger.Completed, ID: id})
	}
	b.ReportMetric(float64(longest.Microseconds()), "us-longest")
	b.ReportMetric(float64(l.RewrittenBytes()-rewrittenBefore)/float64(b.N), "B-anew/op")
}

// Measures opening a ledger with the given number of pending notifications.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir, limit := b.TempDir(), 3_000_000+n*1600
			l, _ := openInDir(b, dir, limit)
			for i := range n {
				if err := l.Write(accepted(fmt.Sprint("pending", i), 200)); err != nil {
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
				l, pending, _, err := ledger.Open(folder, ledger.Options{LimitBytes: limit, ReadOnly: true})
				if err != nil || len(pending) != n {
					b.Fatal(len(pending), err)
				}
				_ = l.Close()
			}
		})
	}
}
