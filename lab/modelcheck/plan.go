// Package modelcheck runs the messages of one dispatcher through a series of processes that share one ledger folder, with
// crashes and faults as a plan specifies, and checks the calls and answers that result against the delivery rules. The gateway,
// the decision module, the ledger and the calls are those of the product; the package simulates the clock, the folder, the
// connections, the endpoint list and the platform. It is meant for the virtual time of testing/synctest, in which a run
// of ten seconds takes about a millisecond, so that all short series can be tried.
//
// The checker works outside the processes: from the first byte of each call, the answers to hand-ins and the notices. It
// reads neither the ledger nor the state of a process.
package modelcheck

import "fmt"

// Times of a plan, in seconds.
const (
	// TTL is the time to live of each message, in seconds.
	TTL = 9.0
	// DedupWindow is how long an endpoint recognizes a repeat, in seconds from the first byte of the first call.
	DedupWindow = 3.0
	// DefaultLifetime is the time until a process is killed or stopped, in seconds, if it sets no Lifetime.
	DefaultLifetime = 1.2
	// Downtime is the time between the end of a process and the start of the next, in seconds.
	Downtime = 0.2
	// timingSlack extends every time limit of the checker, in seconds.
	timingSlack = 0.05
)

// AttemptOutcome is the outcome of an attempt to call an endpoint.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	// RefuseConnection refuses the connection.
	RefuseConnection AttemptOutcome = iota
	// ConnectLate delays the connection, then answers the call as delivered.
	ConnectLate
	// ToldWaitOnConnect sends the process a told wait of the destination while the connection is being set up.
	ToldWaitOnConnect
	// RejectBusy answers that the destination is busy: the call never ran.
	RejectBusy
	// AnswerError answers with an error: the call may have run.
	AnswerError
	// Hang runs the call and sends no answer.
	Hang
	// ResetUnanswered runs the call and breaks the connection without an answer.
	ResetUnanswered
	// TruncateRequest breaks the connection before the last byte of the request.
	TruncateRequest
	// KillMidRequest kills the process before the last byte of the request.
	KillMidRequest
	// KillAfterRequest kills the process when the last byte of the request has arrived.
	KillAfterRequest
	// DeliverFirstOnly delivers the first message of a call and rejects the others as busy.
	DeliverFirstOnly
	// FailLastOnly rejects all messages of a call but the last as busy, and answers the last with an error.
	FailLastOnly
	// Deliver answers the call as delivered.
	Deliver
	// attemptOutcomeCount is the number of outcomes.
	attemptOutcomeCount
)

// String returns the name of the outcome.
func (a AttemptOutcome) String() string {
	return [...]string{"refuse", "connect late", "told wait on connect", "busy", "fail", "hang", "reset", "truncate request", "kill mid-request",
		"kill after request", "deliver first only", "fail last only", "serve"}[a]
}

// ListMode is the way in which a process gets the list of endpoints.
type ListMode int

// The modes of the list.
const (
	// ListComplete sends all endpoints, after 0.02 s.
	ListComplete ListMode = iota
	// ListDelayed sends all endpoints, after 0.8 s.
	ListDelayed
	// ListWithheld sends no list: the process only has the one from its start.
	ListWithheld
	// ListWithoutFirst sends a list without the first endpoint.
	ListWithoutFirst
	// ListFirstMoved sends a list with the first endpoint in the other zone.
	ListFirstMoved
	// listModeCount is the number of modes.
	listModeCount
)

// Process is one process of a series. An operation is something that is visible outside the process: a write or removal of
// a file, a connection, a write to it, an answer to a client, or a notice.
type Process struct {
	Attempts          []AttemptOutcome // outcomes of its attempts in order; the last one applies to all that follow
	List              ListMode
	KillAtOp          int     // number of the operation at which it is killed, counted from 1; 0: none
	TornWriteBytes    int     // bytes of a write that reach the file although the process is killed at it
	GracefulStop      bool    // it is stopped gracefully at the end of its lifetime instead of killed
	StopAtOp          int     // number of the operation at which a graceful stop begins, if its event loop runs by then; 0: none
	DiskFaultAt       float64 // seconds after its start at which writes to its folder begin to fail
	DiskFaultDuration float64 // seconds for which writes to its folder fail; 0: none fail
	FailedWriteBytes  int     // bytes of the first failing write that reach the file
	NoticesUnanswered bool    // its notices get no answer
	Lifetime          float64 // seconds until it is killed, or stopped gracefully if GracefulStop is set; 0: DefaultLifetime
}

// Plan is a series of processes. One more process without faults follows them.
type Plan struct {
	Topic           string // topic of all messages, one of Topics
	SharedCalls     bool   // messages have different keys and may share calls; otherwise all have the same key
	Processes       []Process
	ExtraMessagesAt float64 // seconds after the start of the first process at which two more messages come; 0: none
}

// String describes the plan for a failure message.
func (p Plan) String() string {
	description := p.Topic
	if p.SharedCalls {
		description += " shared"
	}
	for _, x := range p.Processes {
		description += fmt.Sprintf(" | %v", x.Attempts)
		if x.List != ListComplete {
			description += fmt.Sprintf(" list %d", x.List)
		}
		if x.KillAtOp > 0 {
			description += fmt.Sprintf(" killed at operation %d with %d bytes written", x.KillAtOp, x.TornWriteBytes)
		}
		if x.DiskFaultDuration > 0 {
			description += fmt.Sprintf(" disk fails from %.2f s for %.2f s with %d bytes written", x.DiskFaultAt, x.DiskFaultDuration, x.FailedWriteBytes)
		}
		if x.StopAtOp > 0 {
			description += fmt.Sprintf(" stopped gracefully at operation %d", x.StopAtOp)
		}
		if x.GracefulStop {
			description += " stopped gracefully"
		}
		if x.NoticesUnanswered {
			description += " notices unanswered"
		}
	}
	return description
}

// Fault is a defect of the dispatcher that a run simulates, to show that the checker detects it.
type Fault int

// The faults.
const (
	// NoFault simulates no defect.
	NoFault Fault = iota
	// ForgetMayHaveRun loses, at a restart, the record that a call may have run.
	ForgetMayHaveRun
	// WindowFromLastCall counts the deduplication window from the last call after a restart, instead of the first.
	WindowFromLastCall
	// LoseNotice loses, at a restart, each unanswered notice together with its message.
	LoseNotice
	// DuplicateCalls sends each call twice at the same time.
	DuplicateCalls
)
