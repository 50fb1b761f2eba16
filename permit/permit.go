// Package permit decides whether something may be done now: whether a client's connection may be closed, a request handed on, a
// call sent, a client answered, a record written, a notice sent, and the process ended. It is the only place for these decisions.
// Callers pass what they observe, and act only if the answer is Granted. Package invariant checks what was done with accounts of
// its own.
package permit

import "time"

// Denial is the reason why something may not be done now.
type Denial string

// Granted means that it may be done.
const Granted Denial = ""

// Unread says whether bytes of a client stand in its socket.
type Unread int

// The values of Unread.
const (
	NoneUnread    Unread = iota // the socket was seen empty
	SomeUnread                  // bytes have arrived
	UnknownUnread               // the socket could not be looked at
)

// ClientConn is what is known of a client's connection.
type ClientConn struct {
	ReadClosed      bool          // this side reads nothing any more
	EvictedMidway   bool          // it was closed for reading within a request
	RequestStarted  bool          // bytes of the current request were read
	RequestComplete bool          // the current request was read completely
	Responded       bool          // the current request was answered
	Refused         bool          // the current request was answered with a refusal before it was read completely
	Pipelined       bool          // complete requests were read behind the current one
	ClientGone      bool          // the client has closed or reset the connection, or does not take its answer
	AnswerStuckFor  time.Duration // for how long the system has taken nothing more of the current answer; 0 if it does
	MessageAnswer   bool          // the current answer is one to a message
	SilentFor       time.Duration // since it was accepted, or a byte was read from it or written to it
	Used            bool          // a request on it was answered before
}

// Reasons concerning connections.
const (
	AlreadyClosed     Denial = "already closed for reading"
	RequestInProgress Denial = "a request is in progress"
	RequestUnread     Denial = "bytes stand in the socket, or may"
	RequestOnItsWay   Denial = "bytes may be on their way"
	RequestUnanswered Denial = "a request that was read has no answer"
)

// CloseIdle asks: has no byte of a request been read from the connection, or arrived on it, since the last answer?
func CloseIdle(c ClientConn, unread func() Unread) Denial {
	switch {
	case c.ReadClosed:
		return AlreadyClosed
	case c.RequestStarted:
		return RequestInProgress
	case unread() != NoneUnread:
		return RequestUnread
	}
	return Granted
}

// The times after which a client that takes nothing of its answer counts as not reading, if the connection could make room: one for
// answers to messages, which a client waits for, and one for others. A client that reads has room for an answer.
const (
	messageStuckTime = 400 * time.Millisecond
	otherStuckTime   = 20 * time.Millisecond
)

// AnswerStuck reports whether the client does not read its answers.
func AnswerStuck(c ClientConn) bool {
	if c.MessageAnswer {
		return c.AnswerStuckFor >= messageStuckTime
	}
	return c.AnswerStuckFor >= otherStuckTime
}

// Evict asks: may the connection make room for another, because no whole request was read from it, none stands in its socket, and
// it has been silent for so long that none is on its way? An incomplete request may be cut off, and so may the rest of one that was
// refused: its client has its answer. So may one whose client does not read its answers.
func Evict(c ClientConn, minSilence time.Duration, unread func() Unread) Denial {
	switch {
	case c.ReadClosed:
		return AlreadyClosed
	case c.Refused, AnswerStuck(c):
		return Granted
	case c.RequestStarted && (c.RequestComplete || c.Responded):
		return RequestInProgress
	case c.SilentFor < minSilence:
		return RequestOnItsWay
	case unread() != NoneUnread:
		return RequestUnread
	}
	return Granted
}

// crossingTime is how long the first request of a connection, or its next part, may be on its way.
const crossingTime = 20 * time.Millisecond

// EvictFresh asks: may a connection that Evict lets go make room although its first request may be on its way? It may in place of a used one
// that could go. Else the new connection waits.
func EvictFresh(c ClientConn, usedCouldGo bool) Denial {
	fresh := !c.Used && c.SilentFor < crossingTime
	if fresh && !c.Refused && !AnswerStuck(c) && !usedCouldGo {
		return RequestOnItsWay
	}
	return Granted
}

// EvictStuck asks: may the connection make room for another because its client does not read its answers?
func EvictStuck(c ClientConn) Denial {
	switch {
	case c.ReadClosed:
		return AlreadyClosed
	case AnswerStuck(c):
		return Granted
	}
	return RequestInProgress
}

// End asks: has each request that was read from the connection its answer, or is the client gone?
func End(c ClientConn) Denial {
	if c.RequestComplete && !c.ClientGone && (!c.Responded || c.Pipelined) {
		return RequestUnanswered
	}
	return Granted
}

// HandOn asks: will the client of a request that was read get the answer, so that the request may be passed to the gateway?
func HandOn(c ClientConn) Denial {
	if c.ReadClosed && !c.EvictedMidway {
		return AlreadyClosed
	}
	return Granted
}
