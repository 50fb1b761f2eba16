package gateway

import (
	"orchiddrift/admission"
	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/ledger"
	"orchiddrift/message"
	"orchiddrift/push"
)

// Event is an input of Gateway.Step: Arrived, AcceptFailed, Dialed, CallEnded, LateWait, Listed, ListLost,
// NoticeAnswered, IntakeClosed, PushesStopped or ExitDue.
type Event interface{ event() }

// Arrived reports a message submitted by a client. Respond is called exactly once.
type Arrived struct {
	Message     *message.Message
	Hold        *admission.Hold // the room that the message takes; the gateway gives it back
	SubmittedAt float64         // in seconds of the dispatcher's clock
	ClientLeft  func() bool     // reports whether the client has ended its connection; may be nil
	Respond     func(Reply)
}

// AcceptFailed reports that a message was not accepted because it could not be written to the ledger.
type AcceptFailed struct{ ID string }

// Dialed reports the connection established for a call. If Conn is nil, End says why there is none.
type Dialed struct {
	Call *Call
	Conn *push.Conn
	End  push.End
	Took float64 // seconds from the dial to the connection
}

// SpareDialed reports a second connection that came up although its call has one or has ended.
type SpareDialed struct {
	Endpoint directory.Endpoint
	Conn     *push.Conn
}

// CallEnded reports the result of a call.
type CallEnded struct {
	Call   *Call
	Result push.CallResult
}

// LateWait reports a wait that an endpoint told after its call had been given up.
type LateWait struct {
	Endpoint directory.Endpoint
	Wait     float64 // seconds from the time of the event
}

// Listed is an update of the endpoint list: the full list, or the entries that changed.
type Listed struct {
	Full      bool
	Version   int64  // version of the list after the update
	Source    string // address of the agent that told it
	Endpoints []directory.Endpoint
}

// ListLost reports that a watch or a fetch of the endpoint list failed.
type ListLost struct{}

// NoticeAnswered reports that the platform has answered the notice for a message.
type NoticeAnswered struct{ ID string }

// IntakeClosed reports that the process is shutting down and clients can no longer connect.
type IntakeClosed struct{}

// PushesStopped reports that no push may start any more during shutdown, because it could not end before the process exits.
type PushesStopped struct{}

// ExitDue reports that the time of calls that are in flight, and of unanswered notices, is over during shutdown.
type ExitDue struct{}

func (Arrived) event()        {}
func (AcceptFailed) event()   {}
func (Dialed) event()         {}
func (SpareDialed) event()    {}
func (CallEnded) event()      {}
func (LateWait) event()       {}
func (Listed) event()         {}
func (ListLost) event()       {}
func (NoticeAnswered) event() {}
func (IntakeClosed) event()   {}
func (PushesStopped) event()  {}
func (ExitDue) event()        {}

// Reply is the answer to the client that submitted a message.
type Reply struct {
	Accepted bool
	RetryIn  float64 // seconds, if refused
	Reason   Refusal // if refused
}

// Refusal is the reason why a message was not accepted.
type Refusal string

// Reasons for a refusal.
const (
	LedgerFull   Refusal = "ledger full"   // the ledger's folder has no room for the message
	LedgerFailed Refusal = "ledger failed" // the message could not be written to the ledger
	ShuttingDown Refusal = "stopping"      // the process is shutting down
	NotPlaceable Refusal = "not placeable" // the scheduler has no room for the message, or its destination is unknown
	// IDInUse: another message with its ID is pending, or was settled and its TTL has not ended.
	IDInUse Refusal = "id in use by another request"
	// ClientLeft: the client ended its connection before the message was taken on.
	ClientLeft Refusal = "client left"
)

// Effect is an output of Gateway: Accept, Answer, WriteRecords, Dial, SendCall, CloseConn, Notify, Watch or Fetch.
// Effects are carried out in order.
type Effect interface{ effect() }

// Accept writes a message to the ledger and then confirms it to the client. If the write fails, AcceptFailed follows and
// the client is answered with LedgerFailed.
type Accept struct {
	Message *message.Message
	Respond func(Reply)
}

// Answer replies to a client. A request that came once more is confirmed only if the ledger has the message: it may arrive before the
// record of the message is written, and that write may fail.
type Answer struct {
	ID      string
	Respond func(Reply)
	Reply
}

// WriteRecords writes records to the ledger.
type WriteRecords struct{ Records []ledger.Record }

// Dial establishes a connection for a call; Dialed follows. If it is not up after AgainAfter, a second one is dialed, and
// SpareDialed follows for the one that comes up later. Timeout and AgainAfter are in seconds.
type Dial struct {
	Call       *Call
	Timeout    float64
	AgainAfter float64
}

// SendCall records the start of a call's pushes in the ledger and then sends the call; CallEnded follows.
type SendCall struct {
	Call    *Call
	Records []ledger.Record
	Repeats []Repeat              // messages in the call with an earlier push that may have run
	Health  decide.RecoveryStatus // of the destination or route, as the call was prepared
}

// Repeat describes, for the log, a message with an earlier push that may have run.
type Repeat struct {
	ID         string
	SinceFirst float64 // seconds since the first push that may have run
	DedupScope string  // where a repeat of that push is recognized: at "all" endpoints of the destination, or in its "zone"
	Zone       string  // zone of the first push that may have run
}

// CloseConn closes a connection.
type CloseConn struct{ Conn *push.Conn }

// Notify sends a notice to the platform until it is answered; NoticeAnswered follows.
type Notify struct {
	ID           string
	Outcome      string  // GivenUp or HandedBack
	RetryIn      float64 // seconds after which the client should submit it again; 0 for GivenUp
	Dest         string  // for the log: destination of the message
	RemainingTTL float64 // seconds left of its TTL; a message with much time left and no push was ended for lack of room
}

// Watch watches the endpoint list: Listed events follow until it fails, and then ListLost.
type Watch struct{}

// Fetch requests the full endpoint list once; Listed or ListLost follows.
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
