package permit

// Call is what is known of a call that is about to be sent. Times are in seconds of the dispatcher's clock.
type Call struct {
	Now           float64
	EndpointReady bool    // its endpoint is listed as ready, at the address that the call goes to
	PlacedAt      float64 // when its first message was placed
	WaitToldAt    float64 // when its destination or route last told a wait
	PushesStopped bool    // the process is shutting down
	NoPushBefore  float64 // pushes are held back until then
	StartBy       float64 // its latest start
	Remaining     float64 // how long its response may still be awaited
	MinBudget     float64 // the least time that a call can announce to its endpoint
}

// Reasons concerning calls.
const (
	EndpointLeft  Denial = "the endpoint is not listed as ready"
	WaitTold      Denial = "a wait was told since the call was placed"
	PushesStopped Denial = "no push starts any more"
	PushesHeld    Denial = "pushes are held back"
	StartsTooLate Denial = "the latest start has passed"
	NoTimeLeft    Denial = "no time is left"
)

// SendCall asks: is the call's endpoint still listed as ready, was no wait told since it was placed, are pushes neither stopped nor
// held back, and can it still start and end in time?
func SendCall(c Call) Denial {
	switch {
	case !c.EndpointReady:
		return EndpointLeft
	case c.WaitToldAt >= c.PlacedAt:
		return WaitTold
	case c.PushesStopped:
		return PushesStopped
	case c.NoPushBefore > c.Now:
		return PushesHeld
	}
	return StartCall(c)
}

// StartCall asks: has the latest start of the call not passed, and is time left for its response? It is asked again just before
// the first byte, as writing the ledger takes time and the process may have been stalled.
func StartCall(c Call) Denial {
	switch {
	case c.Now > c.StartBy:
		return StartsTooLate
	case c.Remaining < c.MinBudget:
		return NoTimeLeft
	}
	return Granted
}

// Arrival is what is known of a message that a client hands in.
type Arrival struct {
	IDInUse       bool // another message with its ID is pending, or was settled not long ago
	PushesStopped bool // the process is shutting down
	LedgerRoom    bool // the ledger has room for the message and its later records
}

// Reasons concerning arrivals.
const (
	ShuttingDown Denial = "the process is shutting down"
	LedgerFull   Denial = "the ledger has no room"
	IDInUse      Denial = "another message has the ID"
)

// Accept asks: is the message the only one with its ID, can it still be pushed by this process, and does the ledger have room for it?
func Accept(a Arrival) Denial {
	switch {
	case a.IDInUse:
		return IDInUse
	case a.PushesStopped:
		return ShuttingDown
	case !a.LedgerRoom:
		return LedgerFull
	}
	return Granted
}

// Refusal is what is known of a message whose record could not be written. Times are in seconds of the dispatcher's clock.
type Refusal struct {
	Now       float64
	ExpiresAt float64 // end of the message's TTL
	Discarded bool    // no later process can read the message's record
}

// RecordReadable is the reason against a refusal: a later process may read the record, and push the message.
const RecordReadable Denial = "a later process may read the message's record"

// Refuse asks: is it certain that neither this process nor a later one pushes the message?
func Refuse(r Refusal) Denial {
	if r.Discarded || r.Now >= r.ExpiresAt {
		return Granted
	}
	return RecordReadable
}

// EarlierRecordsWait is the reason against a record or a notice: earlier records are not written yet.
const EarlierRecordsWait Denial = "earlier records wait to be written"

// WriteRecord asks: are all earlier records written, so that the order of the records is kept?
func WriteRecord(waiting int) Denial {
	if waiting > 0 {
		return EarlierRecordsWait
	}
	return Granted
}

// Notify asks: is the notice's record written, or can no later process push its message any more because its TTL has ended?
func Notify(waiting int, remainingTTL float64) Denial {
	if waiting > 0 && remainingTTL > 0 {
		return EarlierRecordsWait
	}
	return Granted
}

// Process is what is known of a process that may end.
type Process struct {
	IntakeClosed  bool // clients can no longer connect, and all their connections are closed
	PushesStopped bool // no push starts any more
	ExitDue       bool // the time for calls that are in flight and for unanswered notices is over
	Pending       int  // accepted messages that are not settled
	CallsInFlight int  // messages whose call is in flight
	NoticesOpen   int  // messages whose notice is unanswered
	RepliesOwed   int  // requests that were read and have no answer
	RecordsOwed   int  // records, and notices behind them, that wait to be written
}

// Reasons against the end of a process.
const (
	ClientsConnected Denial = "clients are connected, or can connect"
	RepliesOwed      Denial = "requests have no answer"
	RecordsOwed      Denial = "records are not written"
	MessagesPending  Denial = "messages are pending"
	CallsInFlight    Denial = "calls are in flight"
	NoticesOpen      Denial = "notices are unanswered"
)

// Exit asks: has each request that was read its answer, is each record written, and has, unless their time is over, each push and
// each notice ended? Messages that are pending once no push starts stay in the ledger.
func Exit(p Process) Denial {
	switch {
	case !p.IntakeClosed:
		return ClientsConnected
	case p.RepliesOwed > 0:
		return RepliesOwed
	case p.RecordsOwed > 0:
		return RecordsOwed
	case p.ExitDue:
		return Granted
	case p.CallsInFlight > 0:
		return CallsInFlight
	case p.NoticesOpen > 0:
		return NoticesOpen
	case p.Pending > 0 && !p.PushesStopped:
		return MessagesPending
	}
	return Granted
}
