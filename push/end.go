package push

import "orchiddrift/decide"

// End says how a push, or the attempt to connect for it, ended.
type End int

// The ends of a push. Those up to InvalidResponse are the ends of pushes with a response. The later ones are those of pushes
// without a response or a connection, and of pushes that were not sent.
const (
	Delivered         End = iota // 200: the push was processed
	Failed                       // 500: the push failed at the endpoint
	Throttled                    // 429 or 503: not processed, possibly with Retry-After
	ConnectionLimit              // 503 with Connection: close and no Retry-After: the endpoint accepts no more connections
	NoFreeSlot                   // 503 with X-Over-Slots: not processed, since no slot was free
	AlreadySettled               // 410: not processed, since the message already has its final answer
	AttemptsExhausted            // 504: not processed, since the message has used up its pushes
	Rejected                     // 400 or 413: not processed, since the endpoint cannot parse the message
	BatchRejected                // 400 or 413 for a batch; the response does not say which message is at fault
	InvalidResponse              // a malformed or truncated response, or an unexpected status
	ConnectFailed                // the connection was refused, or failed in another way
	ConnectTimeout               // the connection attempt timed out
	WriteFailed                  // the connection broke before the request was written completely
	ConnectionLost               // the connection broke or was closed after the request was written and before the response
	ResponseTimeout              // no response within the timeout
	Cancelled                    // Conn.Close was called during the call
	Withdrawn                    // not sent: an event since it was placed forbids it, no time is left, or the call is full
	LedgerFailed                 // not sent: its start could not be written to the ledger
	NoSocket                     // not sent: local error, such as no free file descriptor, that does not count against the endpoint
)

// endProperties holds for each end its name in logs, metrics and stored data, its decide.Result, and whether it is the final
// answer for the message.
var endProperties = [...]struct {
	name   string
	result decide.Result
	final  bool
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

// String returns the name of the end as it appears in logs, metrics and stored data.
func (e End) String() string { return endProperties[e].name }

// Outcome returns the outcome of a push that ended this way, as package decide takes it. Only the fields that follow from
// the end are set.
func (e End) Outcome() decide.Outcome {
	return decide.Outcome{Result: endProperties[e].result, Final: endProperties[e].final, NoSlot: e == NoFreeSlot,
		TooManyConnections: e == ConnectionLimit, Unsent: e == Withdrawn || e == NoSocket || e == LedgerFailed,
		NoMorePushes: e == AttemptsExhausted || e == Rejected}
}

// MayHaveRun reports whether the push may have taken effect at the endpoint.
func (e End) MayHaveRun() bool {
	switch endProperties[e].result {
	case decide.Delivered, decide.Failed, decide.TimedOut, decide.Reset, decide.Cancelled:
		return true
	}
	return false
}

// MayStillRun reports whether the push may still take effect after its end, since no response was received.
func (e End) MayStillRun() bool {
	switch endProperties[e].result {
	case decide.TimedOut, decide.Reset, decide.Cancelled:
		return true
	}
	return false
}
