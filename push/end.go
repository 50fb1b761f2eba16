package push

import "orchiddrift/decide"

// End is one way in which a call, or the connection it was to use, can end.
type End int

// The ends. Those up to Unreadable are answers; the others are what became of the connection.
const (
	Delivered         End = iota // answered as delivered
	Failed                       // answered with an error
	Throttled                    // turned away unseen, perhaps told to wait
	ConnectionLimit              // turned away with its connection: the endpoint holds no more of them
	NoFreeSlot                   // not sent: all slots were taken
	AlreadySettled               // not sent: the message is over
	AttemptsExhausted            // not sent: the message has had all its pushes
	Rejected                     // not run: the endpoint cannot read the message
	BatchRejected                // not run: it cannot read a call with several; which is at fault is not told
	InvalidResponse              // an answer that says nothing we know
	ConnectFailed                // no connection: refused
	ConnectTimeout               // no connection in the time there was
	WriteFailed                  // the connection broke before the call's last byte was written
	ConnectionLost               // it broke, or ended, after that
	ResponseTimeout              // no answer in the time there was
	Cancelled                    // we gave the call up
	Withdrawn                    // never sent: what was told meanwhile forbids it, or the call is full
	LedgerFailed                 // never sent: the ledger did not take its start
	NoSocket                     // never sent: this process has no descriptor for a connection; it says nothing of the endpoint
)

// ends says of each end its name in the log, the module's result, and whether nothing more is owed.
var ends = [...]struct {
	name   string
	result decide.Result
	over   bool
}{
	Delivered:         {"done", decide.Delivered, true},
	Failed:            {"erred", decide.Failed, false},
	Throttled:         {"turned away", decide.Throttled, false},
	ConnectionLimit:   {"crowded", decide.Throttled, false},
	NoFreeSlot:        {"over slots", decide.NotAttempted, false},
	AlreadySettled:    {"void", decide.NotAttempted, true},
	AttemptsExhausted: {"spent", decide.NotAttempted, false},
	Rejected:          {"unusable", decide.NotAttempted, false},
	BatchRejected:     {"list unusable", decide.NotAttempted, false},
	InvalidResponse:   {"unreadable", decide.Failed, false},
	ConnectFailed:     {"refused", decide.NotConnected, false},
	ConnectTimeout:    {"never up", decide.NotConnected, false},
	WriteFailed:       {"broke early", decide.NotConnected, false},
	ConnectionLost:    {"broke late", decide.Reset, false},
	ResponseTimeout:   {"silent", decide.TimedOut, false},
	Cancelled:         {"cut off", decide.Cancelled, false},
	Withdrawn:         {"given back", decide.NotAttempted, false},
	LedgerFailed:      {"unkept", decide.NotAttempted, false},
	NoSocket:          {"no socket", decide.NotAttempted, false},
}

// String is the end's name in the log.
func (e End) String() string { return ends[e].name }

// Outcome gives the module's outcome of a push that ended so.
func (e End) Outcome() decide.Outcome {
	return decide.Outcome{Result: ends[e].result, Final: ends[e].over, NoSlot: e == NoFreeSlot, TooManyConnections: e == ConnectionLimit,
		Unsent: e == Withdrawn || e == NoSocket || e == LedgerFailed, NoMorePushes: e == AttemptsExhausted || e == Rejected}
}

// MayHaveRun tells that the push may have taken effect.
func (e End) MayHaveRun() bool {
	switch ends[e].result {
	case decide.Delivered, decide.Failed, decide.TimedOut, decide.Reset, decide.Cancelled:
		return true
	}
	return false
}

// MayStillRun tells that the push may take effect even after its end: nothing has come of it.
func (e End) MayStillRun() bool {
	switch ends[e].result {
	case decide.TimedOut, decide.Reset, decide.Cancelled:
		return true
	}
	return false
}
