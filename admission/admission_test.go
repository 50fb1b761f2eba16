package admission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against parts that together may take more than the limit of the process, kernel memory and files included; against accounts that
// leave the collector no room; and against limits that leave a purpose less than it needs.
func TestDivisionStaysUnderTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{MemoryBytes: rapid.IntRange(18, 2048).Draw(t, "MB") * bytesPerMB, Descriptors: rapid.IntRange(64, 4096).Draw(t, "descriptors"),
			DiskBytes: rapid.IntRange(1, 100).Draw(t, "disk MB") * bytesPerMB, MaxMessages: rapid.IntRange(1, 10_000).Draw(t, "messages"),
			MaxCalls: rapid.IntRange(0, 1000).Draw(t, "calls")}
		checkDivision(t, l)
	})
	for _, memoryMB := range []int{18, 32, 48, 64, 128, 192, 2048} {
		for _, descriptors := range []int{64, 256, 384, 1024, 4096} {
			for _, diskMB := range []int{1, 3, 16, 100} {
				checkDivision(t, Limits{MemoryBytes: memoryMB * bytesPerMB, DiskBytes: diskMB * bytesPerMB, Descriptors: descriptors, MaxMessages: 100, MaxCalls: 20})
			}
		}
	}
	if d, _ := Divide(Limits{MemoryBytes: 32_000_000, DiskBytes: 3_000_000, Descriptors: 1024, MaxCalls: 20}); d.MaxConnections < 1024/3 {
		t.Errorf("%d connections with the least memory and 1,024 descriptors: clients may hold a third of those", d.MaxConnections)
	}
}

// checkDivision checks how limits are divided.
func checkDivision(t interface {
	Errorf(format string, args ...any)
}, l Limits) {
	d, err := Divide(l)
	if err != nil {
		t.Errorf("%+v: %v", l, err)
		return
	}
	clients := d.MaxConnections + 2*max(1, d.MaxConnections/LingerDivisor)
	sockets := (clients-1)*ClientSocketBytes + d.Backlog*QueuedSocketBytes + (2*d.MaxCalls+agentSockets)*OutgoingSocketBytes + d.Bytes[ReceiveBuffers]
	if sum := programBytes + d.FolderBytes + d.HeapBytes + sockets; sum > l.MemoryBytes || d.SocketBytes < sockets || d.ReserveBytes < l.MemoryBytes/40 {
		t.Errorf("%+v: %d bytes in all, sockets take %d: %+v", l, sum, sockets, d)
	}
	sum := 0
	for p, bytes := range d.Bytes {
		if Purpose(p) != ReceiveBuffers {
			sum += bytes
		}
		if bytes < leastBytes[p] {
			t.Errorf("%+v: %s has %d bytes", l, Purpose(p), bytes)
		}
	}
	connections := float64(d.Bytes[Connections])
	if float64(sum+baseHeapBytes)-connections > workingShare*(float64(d.HeapBytes)-connections/stackShare)+1 {
		t.Errorf("%+v: %d bytes in accounts: %+v", l, sum, d)
	}
	if d.MaxConnections*ConnectionBytes > d.Bytes[Connections] || d.MaxConnections > l.Descriptors/2 || d.MaxConnections < 16 || d.Backlog < 16 {
		t.Errorf("%+v: %d connections, %d waiting", l, d.MaxConnections, d.Backlog)
	}
	if d.FolderBytes > l.DiskBytes || d.MaxCalls < 8 {
		t.Errorf("%+v: %+v", l, d)
	}
}

// Guards against a dispatcher that starts with limits under which it would be killed, and against an error that does not say what is
// needed.
func TestTooLittleMemoryIsRefused(t *testing.T) {
	l := Limits{MemoryBytes: 12_000_000, DiskBytes: 3_000_000, Descriptors: 1024, MaxMessages: 100}
	_, err := Divide(l)
	if err == nil || err.Error() != fmt.Sprintf("limits.memory_mb cannot be 12: a dispatcher with these limits needs at least %d", LeastMemoryMB(l)) {
		t.Fatal(err)
	}
	l.MemoryBytes = LeastMemoryMB(l) * bytesPerMB
	if _, err := Divide(l); err != nil {
		t.Error(err)
	}
	l.MemoryBytes -= bytesPerMB
	if _, err := Divide(l); err == nil {
		t.Error("one MB less is accepted too")
	}
}

// Guards against an account that grants more than its capacity, keeps what was given back, or refuses what the process owes; and against
// logs that tell of each refusal.
func TestAccounts(t *testing.T) {
	var told []string
	d := Division{}
	d.Bytes[Requests], d.Bytes[Messages] = 100, 100
	b := NewBudget(d, func(p Purpose, full bool) { told = append(told, fmt.Sprint(p, " ", full)) })
	if !b.Reserve(Requests, 60) || b.Reserve(Requests, 41) || b.Reserve(Requests, 50) || !b.Reserve(Requests, 40) {
		t.Error("the account does not end at its capacity")
	}
	b.Release(Requests, 20)
	if len(told) != 1 {
		t.Errorf("told %q", told)
	}
	b.Release(Requests, 10)
	if !b.Reserve(Requests, 30) || fmt.Sprint(told) != "[requests true requests false]" {
		t.Errorf("told %q", told)
	}
	b.Force(Messages, 150)
	if b.Reserve(Messages, 1) {
		t.Error("an account over its capacity grants more")
	}
	usage := b.Usage()[Requests]
	if usage.Reserved != 100 || usage.Peak != 100 || usage.Refused != 2 {
		t.Errorf("%+v", usage)
	}
	var none *Budget
	if !none.Reserve(Requests, 1<<40) || none.Usage() != nil {
		t.Error("no budget refuses")
	}
}

// newTestRoom returns the room for a number of messages, with memory for many.
func newTestRoom(maxMessages int) *Room {
	d := Division{MaxMessages: maxMessages, ScarceBytes: 1 << 20}
	d.Bytes[Messages], d.Bytes[Identifiers] = 1<<20, 1<<20
	return NewRoom(d, NewBudget(d, nil))
}

// Guards against one client that takes all room for messages, so that others find none, and against one that gets little although it is
// alone.
func TestFloodLeavesRoomToOthers(t *testing.T) {
	fill := func(r *Room, c *Client) (taken int) {
		for range 200 {
			if _, refusal := r.Take(1, c, 10); refusal == Granted {
				taken++
			}
		}
		return taken
	}
	if taken := fill(newTestRoom(100), &Client{}); taken != 75 {
		t.Errorf("a client alone gets %d of 100, want 75", taken)
	}
	room, flood, others := newTestRoom(100), &Client{}, []*Client{{}, {}, {}}
	for _, c := range others {
		if _, refusal := room.Take(1, c, 10); refusal != Granted {
			t.Fatal(refusal)
		}
	}
	if taken := fill(room, flood); taken < 25 || taken > 50 {
		t.Errorf("a flood beside three others gets %d of 100", taken)
	}
	for i, c := range others {
		for range 10 {
			if _, refusal := room.Take(1, c, 10); refusal != Granted {
				t.Errorf("client %d: %s", i, refusal)
			}
		}
	}
}

// Guards against large messages of many clients that leave no room for small ones.
func TestLargeMessagesLeaveRoomToSmallOnes(t *testing.T) {
	room := newTestRoom(1000)
	large := 0
	for range 300 {
		if _, refusal := room.Take(1, &Client{}, 64_000); refusal == Granted {
			large++
		}
	}
	if large == 0 || large > 12 {
		t.Errorf("%d large messages in an account of 1 MB", large)
	}
	for i := range 100 { // 180 KB
		if _, refusal := room.Take(1, &Client{}, 300); refusal != Granted {
			t.Fatalf("small message %d: %s", i, refusal)
		}
	}
}

// Guards against room that is not given back: by a final answer, by an ID that is not recognized any more, and by a message of an earlier
// process, which always fits.
func TestRoomIsGivenBack(t *testing.T) {
	room, client := newTestRoom(10), &Client{}
	var holds []*Hold
	for range 12 {
		holds = append(holds, room.Restore(100))
	}
	if _, refusal := room.Take(1, client, 100); refusal != NoRoom {
		t.Errorf("a full room says %q", refusal)
	}
	for _, h := range holds {
		h.Settle()
		h.Settle()
	}
	h, refusal := room.Take(1, client, 100)
	if refusal != Granted {
		t.Fatal(refusal)
	}
	for _, hold := range append(holds, h) {
		hold.Forget()
		hold.Forget()
	}
	for _, usage := range room.budget.Usage() {
		if usage.Reserved != 0 {
			t.Errorf("%+v", usage)
		}
	}
	if *client != (Client{epoch: client.epoch}) || room.messages != 0 || room.identifiers != 0 {
		t.Errorf("%+v, %d messages", client, room.messages)
	}
}
