package invariant

import "strings"

const (
	// recentConnections is how many connections a ConnectionChecker remembers.
	recentConnections = 1024
	// maxReportedID is the length, in bytes, to which an ID is cut that is kept for a report.
	maxReportedID = 64
)

// ConnectionChecker checks that a connection carries a single call: while it could carry another one, a late copy of its answer
// could be taken for that of the other call. It is not safe for concurrent use. A nil ConnectionChecker checks nothing.
type ConnectionChecker struct {
	counters *Counters
	carried  map[uint64]string // by connection: ID of a notification in its call
	order    []uint64          // the connections in carried, oldest first
}

// NewConnectionChecker returns a ConnectionChecker that has seen no connection.
func NewConnectionChecker(counters *Counters) *ConnectionChecker {
	return &ConnectionChecker{counters: counters, carried: map[uint64]string{}}
}

// CallSent records that a call with the notification is sent on a connection.
func (c *ConnectionChecker) CallSent(connection uint64, id string) {
	if c == nil {
		return
	}
	if earlier, used := c.carried[connection]; used {
		c.counters.Report(ConnectionUsedTwice, id, "connection %d has carried %s", connection, earlier)
		return
	}
	if len(c.order) == recentConnections {
		delete(c.carried, c.order[0])
		c.order = c.order[1:]
	}
	c.carried[connection] = strings.Clone(id[:min(len(id), maxReportedID)])
	c.order = append(c.order, connection)
}

// NotSent records that the call of a connection was not begun.
func (c *ConnectionChecker) NotSent(connection uint64) {
	if c == nil {
		return
	}
	delete(c.carried, connection)
	for i, seen := range c.order {
		if seen == connection {
			c.order = append(c.order[:i:i], c.order[i+1:]...)
			return
		}
	}
}
