package admission

import "sync"

// Refusal is the reason why a message is not taken on.
type Refusal string

// Reasons for a refusal. Granted means that the message is taken on.
const (
	Granted   Refusal = ""
	NoRoom    Refusal = "no room"        // as many messages are held as may be
	NoMemory  Refusal = "no memory"      // the accounts for messages or their IDs are full
	OverShare Refusal = "over its share" // room is scarce, and the client holds its share of it
)

const (
	// scarceShare is the part of the room from which clients are held to their shares.
	scarceShare = 0.5
	// sharedPart is the part of the room that is divided into shares. The rest is for clients still to come, and for small messages.
	sharedPart = 0.75
	// leastMessages and leastBytesOfClient are what a client may hold however many others there are.
	leastMessages      = 4
	leastBytesOfClient = 16 << 10
	// activeSpan is the time, in seconds, for which a client counts as active after a request.
	activeSpan = 1.0
	// messageOverhead is charged for a message beside its body and its texts: its entries in the tables of all packages.
	messageOverhead = 1536
	// identifierBytes is charged for the ID of a message as long as it is recognized, which is by its hash.
	identifierBytes = 128
)

// Room is the room for messages, shared by the clients that hand in messages: where it is scarce, none holds more than the others
// leave. Its methods may be called concurrently.
type Room struct {
	budget      *Budget
	maxMessages int
	maxBytes    int // of messages, by which it is told whether room is scarce
	maxIDs      int
	lock        sync.Mutex // guards the fields below and those of clients
	messages    int
	bytes       int
	identifiers int
	epoch       activity // clients that are active
}

// Client is a connection from which messages are handed in.
type Client struct {
	messages    int // without a final answer
	bytes       int
	identifiers int // of its messages that are still recognized
	epoch       int // in which it was last active
}

// activity counts the active clients, in epochs of activeSpan seconds.
type activity struct {
	number        int
	startedAt     float64
	now, previous int // active clients in this epoch and the one before
}

// NewRoom returns the room for messages of a process.
func NewRoom(d Division, budget *Budget) *Room {
	return &Room{budget: budget, maxMessages: d.MaxMessages, maxBytes: d.ScarceBytes,
		maxIDs: d.Bytes[Identifiers] / identifierBytes}
}

// Hold is the room that a message takes. A nil Hold takes none. Its methods must not be called concurrently with each other.
type Hold struct {
	room   *Room
	client *Client // nil for a message of an earlier process, and once the ID is not recognized any more
	bytes  int     // for the message; 0 once it has its final answer
}

// Take reserves the room for a message that a client hands in at a time, in seconds. size is the length of the message's body and texts.
func (r *Room) Take(now float64, c *Client, size int) (*Hold, Refusal) {
	if r == nil {
		return nil, Granted
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.noteActive(now, c)
	h := &Hold{room: r, client: c, bytes: size + messageOverhead}
	switch {
	case r.messages >= r.maxMessages:
		return nil, NoRoom
	case r.overShare(c, h.bytes):
		return nil, OverShare
	case !r.budget.Reserve(Messages, h.bytes):
		return nil, NoMemory
	case !r.budget.Reserve(Identifiers, identifierBytes):
		r.budget.Release(Messages, h.bytes)
		return nil, NoMemory
	}
	r.add(h)
	return h, Granted
}

// Restore reserves the room for a message that an earlier process took on. It always fits.
func (r *Room) Restore(size int) *Hold {
	if r == nil {
		return nil
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	h := &Hold{room: r, client: &Client{}, bytes: size + messageOverhead}
	r.budget.Force(Messages, h.bytes)
	r.budget.Force(Identifiers, identifierBytes)
	r.add(h)
	return h
}

// overShare reports whether a client may not take further bytes: room is scarce, and it would hold more than its share. The caller holds
// the lock.
func (r *Room) overShare(c *Client, bytes int) bool {
	return scarce(r.messages, r.maxMessages) && c.messages >= max(leastMessages, r.share(r.maxMessages)) ||
		scarce(r.bytes+bytes, r.maxBytes) && c.bytes+bytes > max(leastBytesOfClient, r.share(r.maxBytes)) ||
		scarce(r.identifiers, r.maxIDs) && c.identifiers >= max(leastMessages, r.share(r.maxIDs))
}

// share returns the part of a limit that each active client may hold where room is scarce. The caller holds the lock.
func (r *Room) share(limit int) int {
	return int(sharedPart*float64(limit)) / max(1, r.epoch.now, r.epoch.previous)
}

// scarce reports whether so much of a limit is used that clients are held to their shares.
func scarce(used, limit int) bool { return float64(used) >= scarceShare*float64(limit) }

// noteActive counts a client as active. The caller holds the lock.
func (r *Room) noteActive(now float64, c *Client) {
	e := &r.epoch
	if elapsed := now - e.startedAt; elapsed >= activeSpan || elapsed < 0 {
		e.previous = e.now
		if elapsed >= 2*activeSpan {
			e.previous = 0
		}
		e.number, e.startedAt, e.now = e.number+1, now, 0
	}
	if c.epoch != e.number {
		c.epoch = e.number
		e.now++
	}
}

// add counts a message that is taken on, with its ID. The caller holds the lock.
func (r *Room) add(h *Hold) {
	r.messages++
	r.bytes += h.bytes
	r.identifiers++
	h.client.messages++
	h.client.bytes += h.bytes
	h.client.identifiers++
}

// Settle gives back the room of a message that has its final answer. Its ID is still recognized.
func (h *Hold) Settle() {
	if h == nil || h.bytes == 0 {
		return
	}
	h.room.lock.Lock()
	defer h.room.lock.Unlock()
	h.room.messages--
	h.room.bytes -= h.bytes
	h.client.messages--
	h.client.bytes -= h.bytes
	h.room.budget.Release(Messages, h.bytes)
	h.bytes = 0
}

// Forget gives back all that a message took: its ID is not recognized any more.
func (h *Hold) Forget() {
	if h == nil || h.client == nil {
		return
	}
	h.Settle()
	h.room.lock.Lock()
	defer h.room.lock.Unlock()
	h.room.identifiers--
	h.client.identifiers--
	h.room.budget.Release(Identifiers, identifierBytes)
	h.client = nil
}
