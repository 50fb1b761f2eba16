package ledger_test

import (
	"fmt"
	"strings"
	"testing"

	"orchiddrift/ledger"
)

// Guards against a ledger that takes on more than it can end: messages with long IDs, keys and tenants, which clients choose, fill it as
// far as HasRoom allows, and then each of them can still be pushed, given up and completed.
func TestLongNamesLeaveRoomForTheEnd(t *testing.T) {
	l := openEmpty(t, 3_000_000)
	for _, nameBytes := range []int{16, 800, 1300} {
		var ids []string
		for n := 0; ; n++ {
			record := accepted(fmt.Sprintf("%0*d", nameBytes, n), 10)
			m := record.Message
			m.Tenant, m.Key, m.IdempotencyKey = strings.Repeat("t", nameBytes), strings.Repeat("k", nameBytes), ""
			if !l.HasRoom(m.Size(), len(m.ID)) {
				break
			}
			if err := l.Write(record); err != nil {
				t.Fatalf("names of %d bytes: message %d cannot be written although there is room: %v", nameBytes, n, err)
			}
			ids = append(ids, m.ID)
		}
		if len(ids) < 100 {
			t.Errorf("names of %d bytes: only %d messages fit", nameBytes, len(ids))
		}
		later := func(record ledger.Record) {
			for i, id := range ids {
				record.ID, record.CallNumber = id, uint64(i+1)
				if err := l.Write(record); err != nil {
					t.Fatalf("names of %d bytes: a later record of kind %d of message %d of %d cannot be written: %v", nameBytes, record.Kind, i, len(ids), err)
				}
			}
		}
		later(ledger.Record{Kind: ledger.CallStarted, StartedAt: 1000, Endpoint: "s-5be2a07c", Zone: "a"})
		later(ledger.Record{Kind: ledger.CallNotRun})
		later(ledger.Record{Kind: ledger.NoticePending, Outcome: "handed_back", RetryIn: 1})
		later(ledger.Record{Kind: ledger.Completed})
	}
}
