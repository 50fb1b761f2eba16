package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// misbehavingClients simulates clients that misbehave during the load: they send incomplete requests, nothing, pipelined
// requests or invalid bytes. It records connections that the dispatcher does not close in time, and missing answers. mu guards
// findings and visits.
type misbehavingClients struct {
	addr            func(i int) string // address of a dispatcher
	dispatcherCount int
	ready           func(i int, from, to time.Time) bool // reports whether a dispatcher was ready all the time
	random          *rand.Rand
	mu              sync.Mutex
	findings        []string
	visits          int // number of visits that were checked
}

// The timing and size of the visits.
const (
	// closeDeadline is the time within which a dispatcher must close a connection: 3 s as required, and 0.5 s for a busy host.
	closeDeadline = 3500 * time.Millisecond
	// visitInterval is the time between two visits.
	visitInterval = 40 * time.Millisecond
	// pipelinedRequests is the number of pipelined requests.
	pipelinedRequests = 3
)

// healthRequest is a request that a dispatcher answers at once.
const healthRequest = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"

// handInRequest is the format of a complete hand-in, with a number for its id.
const handInRequest = "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: rude-%d\r\nX-Call-Class: nothing\r\nX-Budget: 100m\r\nX-Addressing: dest=0\r\n" +
	"Content-Length: 5\r\n\r\nhello"

// run starts visits until ctx is done, and waits for them to end.
func (c *misbehavingClients) run(ctx context.Context) {
	var visits sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		dispatcher, kind, cut := c.random.IntN(c.dispatcherCount), c.random.IntN(4), 1+c.random.IntN(len(handInRequest)-8)
		visits.Go(func() { c.visit(ctx, n, dispatcher, kind, cut) })
		select {
		case <-ctx.Done():
		case <-time.After(visitInterval):
		}
	}
	visits.Wait()
}

// visit runs client number n. It connects to a dispatcher and misbehaves in one of four ways, by kind; an incomplete request is
// cut after the given number of bytes. It records a finding if the dispatcher was ready all the time but did not close the
// connection or answer.
func (c *misbehavingClients) visit(ctx context.Context, n, dispatcher, kind, cut int) {
	startedAt := time.Now()
	conn, err := net.DialTimeout("tcp", c.addr(dispatcher), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	release := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer release()
	request := fmt.Sprintf(handInRequest, n)
	failure := ""
	_ = conn.SetDeadline(startedAt.Add(closeDeadline))
	switch kind {
	case 0: // an incomplete request
		_, _ = io.WriteString(conn, request[:cut])
		if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
			failure = fmt.Sprintf("connection with %d bytes of a request still open after %v", cut, closeDeadline)
		}
	case 1: // no bytes
		if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
			failure = fmt.Sprintf("connection without a request still open after %v", closeDeadline)
		}
	case 2: // pipelined requests, which are answered up to the answer that closes the connection
		// A connection that ends before its first answer is tried once more, because the dispatcher may have closed it before
		// it read the requests.
		if failure = sendPipelined(conn); failure == firstUnanswered {
			retry, err := net.DialTimeout("tcp", c.addr(dispatcher), time.Second)
			if err != nil {
				return
			}
			defer retry.Close()
			_ = retry.SetDeadline(time.Now().Add(closeDeadline))
			failure = sendPipelined(retry)
		}
	default: // invalid bytes, which get an answer or a closed connection
		_, _ = io.WriteString(conn, "\x16\x03\x01 what\r\n\r\n"+request[:cut/2])
		if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
			failure = fmt.Sprintf("connection with invalid bytes still open after %v", closeDeadline)
		}
	}
	if ctx.Err() != nil || !c.ready(dispatcher, startedAt, time.Now()) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.visits++; failure != "" {
		c.findings = append(c.findings, fmt.Sprintf("clients: dispatcher %d: %s", dispatcher, failure))
	}
}

// firstUnanswered is the failure of a connection that ended before its first answer.
const firstUnanswered = "the first pipelined request got no answer"

// sendPipelined sends pipelined requests and returns what is wrong with the answers, or "".
func sendPipelined(conn net.Conn) string {
	_, _ = io.WriteString(conn, strings.Repeat(healthRequest, pipelinedRequests))
	reader := bufio.NewReader(conn)
	for k := range pipelinedRequests {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil && k == 0 {
			return firstUnanswered
		}
		if err != nil {
			return fmt.Sprintf("pipelined request %d of %d: %v", k+1, pipelinedRequests, err)
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return map[bool]string{false: fmt.Sprintf("connection closed after answer %d of %d", k+1, pipelinedRequests)}[k == pipelinedRequests-1]
		}
	}
	return ""
}

// isTimeout reports whether err is a network time-out.
func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
