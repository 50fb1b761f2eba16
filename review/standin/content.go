package main

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"net/http"
	"strings"
	"time"
)

func init() { cases["content"] = content }

// content: clients hand in messages whose bodies hold bytes that look like an entry of a dispatcher's lasting folder. All of them are
// delivered. Then the dispatcher is killed and started again.
func content(r *rig) bool {
	const (
		// messages fill the newest file of the ledger to two fifths: some 12 of them go into one file of 72 KB. What stands behind them
		// there is of the file's earlier use.
		messages = 245
		maxTries = 300
		bodySize = 6_000
		down     = 600 * time.Millisecond
		forgedID = "0123456789abcdef"
	)
	one := r.newEndpoint("one", "plain", 10*time.Millisecond)
	d := newDiscovery(one.entry(1, "ready"))
	known, _ := d.since(0)
	a := r.newAgent("n1", d, nil)
	n := r.newDispatcher("n1", a.addr, known, dar())
	n.start()
	time.Sleep(time.Second)
	entry := ledgerEntry(forgedID, "purchase", "1", "a purchase that no client handed in", time.Now().Add(20*time.Second))
	taken := 0
	for range maxTries {
		if taken == messages {
			break
		}
		m := newMessage("status", "power", 1, 16*time.Second)
		m.body = strings.Repeat(entry, bodySize/len(entry))
		one.expect(m.id)
		if r.handIn(n.addr, m) == http.StatusAccepted {
			taken++
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	before := one.since(time.Time{})
	r.record("taken on: %d, came to the endpoint: %d", taken, len(before))
	if r.trouble {
		n.kill()
		time.Sleep(down)
		n.start()
	}
	time.Sleep(4 * time.Second)
	broken := false
	for _, c := range one.since(time.Time{}) {
		if !one.expects(c.id) {
			broken = true
			r.record("the endpoint got %s, which no client handed in: %q", c.id, c.body)
		}
	}
	return broken
}

// ledgerEntry returns an entry of the ledger, as docs/ledger.md and the sources have its form: length, checksum, sequence number, and
// a message that was taken on.
func ledgerEntry(id, class, dest, body string, expires time.Time) string {
	var b []byte
	text := func(s string) { b = append(binary.AppendUvarint(b, uint64(len(s))), s...) }
	number := func(v float64) { b = binary.LittleEndian.AppendUint64(b, math.Float64bits(v)) }
	b = binary.LittleEndian.AppendUint64(b, 1<<40) // sequence number
	b = append(b, 1)                               // taken on
	for _, s := range []string{id, class, "power", dest, "", "", "", body} {
		text(s)
	}
	number(float64(expires.UnixMilli()) / 1000)
	number(0)           // no push may have run
	b = append(b, 0, 0) // no pushes, no place in the order yet
	header := binary.LittleEndian.AppendUint32(nil, uint32(len(b)-8))
	header = binary.LittleEndian.AppendUint32(header, crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)))
	return string(header) + string(b)
}
