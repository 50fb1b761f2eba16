package soak

import (
	"bytes"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"orchiddrift/lab/scenario"
)

// lagRange is a range of times from an answer to what follows it, in seconds.
type lagRange struct{ shortest, longest float64 }

// The ranges from which troubles that write out of turn are drawn. maxLostNotices is the largest share of requests with notices
// that an agent ignores: with all of them ignored no final answer could come in time.
var (
	lagRanges       = []lagRange{{0, 0}, {0.001, 0.004}, {0.004, 0.012}, {0.02, 0.06}, {0.1, 0.3}, {0.5, 1.5}, {5, 5}}
	outOfTurnShares = []float64{0.02, 0.1, 0.5, 1}
)

const (
	maxLostNotices = 0.4
	maxCopies      = 3
)

// drawOutOfTurn draws a trouble in which endpoints or agents write copies of answers or answers that nobody asked for, or in which
// agents ignore notices.
func drawOutOfTurn(s *scenario.Scenario, random *rand.Rand) scenario.Trouble {
	kinds := []string{scenario.CopyAnswers, scenario.CopyAnswers, scenario.StrayAnswers, scenario.AgentCopies, scenario.AgentStrays, scenario.AgentLost}
	lag := lagRanges[random.IntN(len(lagRanges))]
	t := scenario.Trouble{Kind: kinds[random.IntN(len(kinds))], At: quietStart + random.Float64()*(s.Length-quietStart), Duration: 1 + 4*random.Float64(),
		Share: outOfTurnShares[random.IntN(len(outOfTurnShares))], MinLag: lag.shortest, MaxLag: lag.longest, Copies: 1 + random.IntN(maxCopies)}
	switch {
	case t.Kind == scenario.AgentLost:
		t.Share = min(t.Share, maxLostNotices)
	case t.AffectsPartners():
		t.Destinations = random.Perm(countDestinations(s))[:1+random.IntN(countDestinations(s))]
	}
	return t
}

// requestCopier writes the requests of a connection to a dispatcher, and some of them once more at a later time. mu is held while
// a request is written, so that a copy comes between two requests.
type requestCopier struct {
	server *net.TCPConn
	share  float64
	random *rand.Rand
	mu     sync.Mutex
	split  bool // a request came in more than one part, so that its end is not known: nothing more is copied
}

// The copies of requests.
const (
	// requestCopyShare is the share of the connections on which requests come twice, and of the requests on these.
	requestCopyConns, requestCopyShare = 0.15, 0.3
	// maxCopyLag is the longest time from a request to its copy.
	maxCopyLag = 60 * time.Millisecond
)

// write writes bytes that came from the client in chunks of at most chunkSize, and plans a copy if they are a request.
func (c *requestCopier) write(b []byte, chunkSize int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := writeChunks(c.server, b, chunkSize); err != nil {
		return err
	}
	if c.share == 0 || len(b) == 0 {
		return nil
	}
	if c.split = c.split || !isWholeRequest(b); c.split || c.random.Float64() >= c.share {
		return nil
	}
	request, lag := bytes.Clone(b), time.Duration(c.random.Int64N(int64(maxCopyLag)))
	time.AfterFunc(lag, func() { c.writeCopy(request) })
	return nil
}

// writeCopy writes a copy of a request, unless the dispatcher has ended the connection or a request is on its way in parts.
func (c *requestCopier) writeCopy(request []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.split && !hasEnded(c.server) {
		_, _ = c.server.Write(request) // an error means that the connection has ended
	}
}

// isWholeRequest reports whether b is one request with a length.
func isWholeRequest(b []byte) bool {
	head, body, complete := bytes.Cut(b, []byte("\r\n\r\n"))
	_, rest, hasLength := bytes.Cut(head, []byte("\r\nContent-Length: "))
	line, _, _ := bytes.Cut(rest, []byte("\r\n"))
	length, err := strconv.Atoi(string(line))
	return complete && hasLength && err == nil && length == len(body) && bytes.HasPrefix(b, []byte("POST "))
}
