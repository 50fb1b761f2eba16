package gateway

import (
	"orchiddrift/directory"
	"orchiddrift/ledger"
	"orchiddrift/message"
	"orchiddrift/push"
)

// Event is something that happened: Arrived, Unkept, Connected, Ended, ToldLate, Listed, ListLost, Noticed, Leaving or
// Stopping.
type Event interface{ event() }

// Arrived is a message that a client handed in. Reply is called once.
type Arrived struct {
	Message *message.Message
	Reply   func(Reply)
}

// AcceptFailed tells that an accepted message could not be written to the ledger: it was not taken on.
type AcceptFailed struct{ ID string }

// Dialed brings the connection that a call waits for, or how that failed.
type Dialed struct {
	Call *Call
	Conn *push.Conn
	End  push.End
}

// CallEnded brings the answer to a call.
type CallEnded struct {
	Call   *Call
	Answer push.CallResult
}

// LateWait brings a wait that an endpoint told as its call was given up.
type LateWait struct {
	Endpoint directory.Endpoint
	Wait     float64
}

// Listed is what discovery told: the whole list, or what changed.
type Listed struct {
	Full      bool
	Endpoints []directory.Endpoint
}

// ListLost tells that the list could not be had.
type ListLost struct{}

// NoticeAnswered tells that the platform has answered a notice.
type NoticeAnswered struct{ ID string }

// IntakeClosed tells that the process is to end and no client comes any more.
type IntakeClosed struct{}

// PushesStopped tells that no push may start any more: it could not end in time.
type PushesStopped struct{}

func (Arrived) event()        {}
func (AcceptFailed) event()   {}
func (Dialed) event()         {}
func (CallEnded) event()      {}
func (LateWait) event()       {}
func (Listed) event()         {}
func (ListLost) event()       {}
func (NoticeAnswered) event() {}
func (IntakeClosed) event()   {}
func (PushesStopped) event()  {}

// Reply is what a client is told.
type Reply struct {
	Accepted bool
	RetryIn  float64 // seconds, when not taken
	Reason   Refusal // when not taken
}

// Refusal is why a message was not taken on.
type Refusal string

// The refusals.
const (
	LedgerFull   Refusal = "ledger full"   // the folder has no room for it
	LedgerFailed Refusal = "ledger failed" // it could not be written there
	ShuttingDown Refusal = "stopping"      // a planned stop is on
	NotPlaceable Refusal = "not placeable" // the decision module has no room or no destination for it
)

// Effect is something to be done: Accept, Answer, Keep, Dial, Begin, Shut, Notify, Watch or Fetch. Effects are
// carried out one after another, in order.
type Effect interface{ effect() }

// Accept writes a message to the ledger and tells its client that it is taken on; Unkept follows if it can't.
type Accept struct {
	Message *message.Message
	Reply   func(Reply)
}

// Answer tells a client what became of its message. One that is taken on already is told so only if the ledger has it:
// the same message may have come twice before its record was written.
type Answer struct {
	ID string
	To func(Reply)
	Reply
}

// WriteRecords writes to the ledger.
type WriteRecords struct{ Records []ledger.Record }

// Dial opens a connection for a call; Connected follows.
type Dial struct {
	Call    *Call
	Timeout float64
}

// SendCall writes to the ledger that a call's pushes start, then sends it; Ended follows.
type SendCall struct {
	Call    *Call
	Records []ledger.Record
	Repeats []Repeat // of the messages in it, those whose earlier calls may have run
}

// Repeat is a message that is called again, for the log.
type Repeat struct {
	ID         string
	SinceFirst float64 // seconds since the first call that may have run
	Group      string  // within which the first call is known: all endpoints of the destination, or those of its zone
	Zone       string  // and that zone
}

// CloseConn closes a connection.
type CloseConn struct{ Conn *push.Conn }

// Notify sends a notice to the platform until it is answered; Noticed follows.
type Notify struct {
	ID           string
	Outcome      string
	RetryIn      float64
	Dest         string  // for the log: where the message was to go
	RemainingTTL float64 // for the log: seconds of its TTL still left; much left and no push means no room
}

// Watch follows the list; Listed and ListLost follow.
type Watch struct{}

// Fetch asks once for the whole list; Listed or ListLost follows.
type Fetch struct{}

func (Accept) effect()       {}
func (Answer) effect()       {}
func (WriteRecords) effect() {}
func (Dial) effect()         {}
func (SendCall) effect()     {}
func (CloseConn) effect()    {}
func (Notify) effect()       {}
func (Watch) effect()        {}
func (Fetch) effect()        {}
