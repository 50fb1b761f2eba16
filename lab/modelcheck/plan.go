// Package modelcheck plays one dispatcher's messages through a series of processes on one folder and judges what the world saw
// of them. The gateway, the decision module, the ledger and the calls are the product's own; time, the folder, connections,
// the list and the platform are the package's. It is meant for the virtual time of testing/synctest, in which a run of
// ten seconds takes a millisecond, so that all short series can be tried.
//
// The judge keeps its account outside the processes: from the first byte of each call, the answers to hand-ins and the
// notices. It reads neither the ledger nor what a process believes.
package modelcheck

import "fmt"

// Times of a plan, in seconds.
const (
	TTL             = 9.0 // of each message
	DedupWindow     = 3.0 // in which an endpoint knows a repeat, from its first byte on
	DefaultLifetime = 1.2 // of a process that is killed by time
	Downtime        = 0.2 // between a process and the next
	slack           = 0.05
)

// Attempt is what becomes of an attempt to call an endpoint.
type Attempt int

// What can become of an attempt.
const (
	RefuseConnection  Attempt = iota // no connection
	ConnectLate                      // the connection comes up late, then the call is answered
	ToldWaitOnConnect                // the destination tells a wait while the connection comes up
	RejectBusy                       // turned away: it never runs
	AnswerError                      // answered with an error: it may have run
	Hang                             // it runs and is not answered
	ResetUnanswered                  // it runs, and the connection breaks
	TruncateRequest                  // the connection breaks before the call's last byte
	KillMidRequest                   // the process is killed before the call's last byte
	KillAfterRequest                 // the process is killed as the call's last byte is there
	DeliverFirstOnly                 // of a call with two the first is delivered and the second turned away; alone: delivered
	FailLastOnly                     // the first is turned away and the second may have run; alone: an error
	Deliver                          // answered as delivered
	attempts
)

// String is its name.
func (a Attempt) String() string {
	return [...]string{"refuse", "come up late", "give back", "busy", "fail", "hang", "reset", "cut short", "kill at first byte",
		"kill at last byte", "first done", "last failed", "serve"}[a]
}

// ListMode is what a process is told of the endpoints.
type ListMode int

// What it can be told.
const (
	ListComplete     ListMode = iota // all of them, at once
	ListDelayed                      // after 0.8 s
	ListWithheld                     // never: it has the list known at its start
	ListWithoutFirst                 // without the first endpoint
	ListFirstMoved                   // the first endpoint is in the other zone
	lists
)

// Process is one process of a series.
type Process struct {
	Attempts          []Attempt // of its attempts, in their order; the last goes for all that follow
	List              ListMode
	KillAtOp          int     // killed instead of its outside operation of this number, from 1 on; 0: after LifeTime
	TornWriteBytes    int     // bytes of a file's write that are there all the same
	GracefulStop      bool    // told to end after LifeTime, not killed
	StopAtOp          int     // told to end at its outside operation of this number, where its loop runs by then, and killed after LifeTime; 0: not
	DiskFaultAt       float64 // its folder cannot be written to from then on, seconds after its start,
	DiskFaultDuration float64 // for so long
	FailedWriteBytes  int     // bytes of the first write that fails that are there all the same
	NoticesUnanswered bool    // its notices get no answer
	Lifetime          float64 // instead of LifeTime; 0 for that
}

// Plan is a series of processes. The last one is followed by one to which nothing happens.
type Plan struct {
	Topic           string // of all messages: once, zoned, known or free
	SharedCalls     bool   // messages share calls and have keys of their own; else they have one key
	Processes       []Process
	ExtraMessagesAt float64 // two more messages come so many seconds after the first process's start; 0: none
}

func (p Plan) String() string {
	text := p.Topic
	if p.SharedCalls {
		text += " shared"
	}
	for _, x := range p.Processes {
		text += fmt.Sprintf(" | %v", x.Attempts)
		if x.List != ListComplete {
			text += fmt.Sprintf(" list %d", x.List)
		}
		if x.KillAtOp > 0 {
			text += fmt.Sprintf(" killed at operation %d with %d bytes kept", x.KillAtOp, x.TornWriteBytes)
		}
		if x.DiskFaultDuration > 0 {
			text += fmt.Sprintf(" disk fails from %.2f for %.2f with %d bytes there", x.DiskFaultAt, x.DiskFaultDuration, x.FailedWriteBytes)
		}
		if x.StopAtOp > 0 {
			text += fmt.Sprintf(" told to end at operation %d", x.StopAtOp)
		}
		if x.GracefulStop {
			text += " told to end"
		}
		if x.NoticesUnanswered {
			text += " notices unheard"
		}
	}
	return text
}

// Fault is a fault planted into a run, to show that the judge sees it.
type Fault int

// The faults.
const (
	NoFault            Fault = iota
	ForgetMayHaveRun         // a restart forgets that a call may have run
	WindowFromLastCall       // a restart counts the window from the last call
	LoseNotice               // a restart forgets a notice that was not answered, and its message
	DuplicateCalls           // each call is sent twice at once
)
