package permit

import (
	"testing"
	"time"
)

// Each question is denied for each of its reasons, and granted once none is left.
func TestReasons(t *testing.T) {
	unread := func(u Unread) func() Unread { return func() Unread { return u } }
	call := Call{Now: 5, EndpointReady: true, PlacedAt: 4, WaitToldAt: 3, StartBy: 6, Remaining: 1, MinBudget: 0.001}
	process := Process{IntakeClosed: true, PushesStopped: true}
	for _, c := range []struct {
		name      string
		got, want Denial
	}{
		{"idle", CloseIdle(ClientConn{}, unread(NoneUnread)), Granted},
		{"idle, closed", CloseIdle(ClientConn{ReadClosed: true}, unread(NoneUnread)), AlreadyClosed},
		{"idle, request begun", CloseIdle(ClientConn{RequestStarted: true}, unread(NoneUnread)), RequestInProgress},
		{"idle, bytes in the socket", CloseIdle(ClientConn{}, unread(SomeUnread)), RequestUnread},
		{"idle, look failed", CloseIdle(ClientConn{}, unread(UnknownUnread)), RequestUnread},
		{"evict", Evict(ClientConn{}, 0, unread(NoneUnread)), Granted},
		{"evict, incomplete request", Evict(ClientConn{RequestStarted: true}, 0, unread(NoneUnread)), Granted},
		{"evict, whole request", Evict(ClientConn{RequestStarted: true, RequestComplete: true}, 0, unread(NoneUnread)), RequestInProgress},
		{"evict, just answered", Evict(ClientConn{RequestStarted: true, Responded: true}, 0, unread(NoneUnread)), RequestInProgress},
		{"evict, bytes in the socket", Evict(ClientConn{}, 0, unread(SomeUnread)), RequestUnread},
		{"evict, closed", Evict(ClientConn{ReadClosed: true}, 0, unread(NoneUnread)), AlreadyClosed},
		{"evict, bytes may come", Evict(ClientConn{SilentFor: time.Second}, 2*time.Second, unread(NoneUnread)), RequestOnItsWay},
		{"evict, refused and still sending", Evict(ClientConn{RequestStarted: true, Refused: true}, time.Second, unread(SomeUnread)), Granted},
		{"evict, refused and closed", Evict(ClientConn{ReadClosed: true, Refused: true}, 0, unread(NoneUnread)), AlreadyClosed},
		{"evict, silent for long", Evict(ClientConn{SilentFor: 2 * time.Second}, 2*time.Second, unread(NoneUnread)), Granted},
		{"evict, just accepted", EvictFresh(ClientConn{}, false), RequestOnItsWay},
		{"evict, just accepted, in place of a used one", EvictFresh(ClientConn{}, true), Granted},
		{"evict, unused for a while", EvictFresh(ClientConn{SilentFor: crossingTime}, false), Granted},
		{"evict, used", EvictFresh(ClientConn{Used: true}, false), Granted},
		{"evict, just accepted and refused", EvictFresh(ClientConn{Refused: true}, false), Granted},
		{"evict, just accepted and stuck", EvictFresh(ClientConn{AnswerStuckFor: otherStuckTime}, false), Granted},
		{"evict, answer stuck", EvictStuck(ClientConn{AnswerStuckFor: otherStuckTime}), Granted},
		{"evict, answer stuck for a moment", EvictStuck(ClientConn{AnswerStuckFor: otherStuckTime - 1}), RequestInProgress},
		{"evict, answer to a message stuck", EvictStuck(ClientConn{AnswerStuckFor: messageStuckTime, MessageAnswer: true}), Granted},
		{"evict, answer to a message stuck for a moment", EvictStuck(ClientConn{AnswerStuckFor: otherStuckTime, MessageAnswer: true}), RequestInProgress},
		{"evict, answer stuck and closed", EvictStuck(ClientConn{ReadClosed: true, AnswerStuckFor: messageStuckTime}), AlreadyClosed},
		{"end, answered", End(ClientConn{RequestComplete: true, Responded: true}), Granted},
		{"end, unanswered", End(ClientConn{RequestComplete: true}), RequestUnanswered},
		{"end, another behind", End(ClientConn{RequestComplete: true, Responded: true, Pipelined: true}), RequestUnanswered},
		{"end, client gone", End(ClientConn{RequestComplete: true, ClientGone: true}), Granted},
		{"hand on", HandOn(ClientConn{}), Granted},
		{"hand on, closed", HandOn(ClientConn{ReadClosed: true}), AlreadyClosed},
		{"hand on, evicted within it", HandOn(ClientConn{ReadClosed: true, EvictedMidway: true}), Granted},
		{"send", SendCall(call), Granted},
		{"send, endpoint left", SendCall(with(call, func(c *Call) { c.EndpointReady = false })), EndpointLeft},
		{"send, wait told", SendCall(with(call, func(c *Call) { c.WaitToldAt = 4 })), WaitTold},
		{"send, stopped", SendCall(with(call, func(c *Call) { c.PushesStopped = true })), PushesStopped},
		{"send, held", SendCall(with(call, func(c *Call) { c.NoPushBefore = 5.1 })), PushesHeld},
		{"send, too late", SendCall(with(call, func(c *Call) { c.StartBy = 4.9 })), StartsTooLate},
		{"send, no time", SendCall(with(call, func(c *Call) { c.Remaining = 0.0009 })), NoTimeLeft},
		{"accept", Accept(Arrival{LedgerRoom: true}), Granted},
		{"accept, stopping", Accept(Arrival{PushesStopped: true, LedgerRoom: true}), ShuttingDown},
		{"accept, full", Accept(Arrival{}), LedgerFull},
		{"accept, id in use", Accept(Arrival{IDInUse: true, LedgerRoom: true}), IDInUse},
		{"refuse, discarded", Refuse(Refusal{Now: 1, ExpiresAt: 2, Discarded: true}), Granted},
		{"refuse, over", Refuse(Refusal{Now: 2, ExpiresAt: 2}), Granted},
		{"refuse, readable", Refuse(Refusal{Now: 1, ExpiresAt: 2}), RecordReadable},
		{"record", WriteRecord(0), Granted},
		{"record, earlier ones wait", WriteRecord(1), EarlierRecordsWait},
		{"notice", Notify(0, 1), Granted},
		{"notice, record waits", Notify(1, 1), EarlierRecordsWait},
		{"notice, record waits, time over", Notify(1, 0), Granted},
		{"exit", Exit(with(process, func(p *Process) { p.Pending = 3 })), Granted},
		{"exit, clients", Exit(with(process, func(p *Process) { p.IntakeClosed, p.ExitDue = false, true })), ClientsConnected},
		{"exit, reply owed", Exit(with(process, func(p *Process) { p.RepliesOwed, p.ExitDue = 1, true })), RepliesOwed},
		{"exit, record owed", Exit(with(process, func(p *Process) { p.RecordsOwed, p.ExitDue = 1, true })), RecordsOwed},
		{"exit, calls", Exit(with(process, func(p *Process) { p.CallsInFlight = 1 })), CallsInFlight},
		{"exit, calls, time over", Exit(with(process, func(p *Process) { p.CallsInFlight, p.ExitDue = 1, true })), Granted},
		{"exit, notices", Exit(with(process, func(p *Process) { p.NoticesOpen = 1 })), NoticesOpen},
		{"exit, pushes go on", Exit(with(process, func(p *Process) { p.PushesStopped, p.Pending = false, 1 })), MessagesPending},
		{"exit, nothing pending", Exit(with(process, func(p *Process) { p.PushesStopped = false })), Granted},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, c.got, c.want)
		}
	}
}

// with returns a changed copy of a value.
func with[T any](value T, change func(*T)) T {
	change(&value)
	return value
}
