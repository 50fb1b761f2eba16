// Package intake accepts messages from clients over HTTP. Each request is decoded into one message and answered once.
package intake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"orchiddrift/exchange"
	"orchiddrift/gateway"
	"orchiddrift/invariant"
	"orchiddrift/message"
	"orchiddrift/syserr"
)

const (
	maxBodyBytes            = 64 << 10                // largest body of a request
	maxHeadBytes            = 4 << 10                 // largest head of a request
	idleTimeout             = 2200 * time.Millisecond // how long a connection may stay idle between requests
	ioTimeout               = 2 * time.Second         // for reading a request, from the accept or its first byte; for a response
	badRequestLogsPerSecond = 10                      // further bad requests of the same second are not logged
)

// Server is the HTTP server for clients.
type Server struct {
	clock              func() float64                     // current time in seconds
	ttl                func(topic string) (float64, bool) // TTL of a topic in seconds, and whether the topic is known
	submit             func(gateway.Event)                // passes an event to the gateway
	badRequestLog      zerolog.Logger                     // for bad requests; rate limited
	debugLog           zerolog.Logger                     // for each request and connection, at debug level
	httpServer         *fasthttp.Server
	listener           *limitListener
	closeAfterResponse atomic.Bool        // keep-alives are disabled
	writeMetrics       func(io.Writer)    // writes further metrics at /_metrics; may be nil
	exchanges          *exchange.Recorder // may be nil
}

// NewServer returns a server that passes each message to submit as a gateway.Arrived, and keeps at most maxConns connections
// open. clock returns the current time in seconds, and ttl returns the TTL of a topic in seconds and whether the topic is known.
func NewServer(clock func() float64, ttl func(string) (float64, bool), submit func(gateway.Event), maxConns int,
	log zerolog.Logger) *Server {
	s := &Server{clock: clock, ttl: ttl, submit: submit, debugLog: log,
		badRequestLog: log.Sample(&zerolog.BurstSampler{Burst: badRequestLogsPerSecond, Period: time.Second})}
	s.listener = &limitListener{maxConns: maxConns, open: map[*clientConn]bool{}, log: log}
	s.httpServer = &fasthttp.Server{Handler: s.handle, Concurrency: 2 * maxConns, MaxRequestBodySize: maxBodyBytes,
		ReadBufferSize: maxHeadBytes, ErrorHandler: s.handleParseError, ConnState: trackState,
		IdleTimeout: idleTimeout, ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, NoDefaultServerHeader: true,
		NoDefaultContentType: true, Logger: discardLogger{}}
	return s
}

// SetMetrics sets the counters for invariant violations, which /_metrics serves, and a function that writes further metrics
// there. It must be called before Serve.
func (s *Server) SetMetrics(invariants *invariant.Counters, writeMetrics func(io.Writer)) {
	s.listener.invariants, s.writeMetrics = invariants, writeMetrics
}

// SetErrorRecorder sets what records failed system calls. It must be called before Serve.
func (s *Server) SetErrorRecorder(errors *syserr.Recorder) { s.listener.errors = errors }

// SetExchangeRecorder sets what records requests that came once more. It must be called before Serve.
func (s *Server) SetExchangeRecorder(exchanges *exchange.Recorder) { s.exchanges = exchanges }

// Serve serves connections from a listener until Close is called.
func (s *Server) Serve(ln net.Listener) error {
	if l, ok := ln.(interface{ SetErrorRecorder(*syserr.Recorder) }); ok {
		l.SetErrorRecorder(s.listener.errors)
	}
	s.listener.lock.Lock()
	s.listener.Listener = ln
	s.listener.lock.Unlock()
	return s.httpServer.Serve(s.listener)
}

// DisableKeepAlives makes the server close each connection after its next response, so that clients connect elsewhere.
func (s *Server) DisableKeepAlives() { s.closeAfterResponse.Store(true) }

// Close stops accepting connections and requests. It answers the requests that it has begun to read, and returns once the
// responses are written and all connections are closed. It does not use fasthttp's Shutdown, which drops a request that it
// reads while it closes an idle connection.
func (s *Server) Close() error {
	s.listener.lock.Lock()
	ln := s.listener.Listener
	s.listener.lock.Unlock()
	if ln == nil { // Serve was not called yet
		return nil
	}
	err := s.listener.stopAccepting()
	s.listener.waitClosed()
	return err
}

// handleParseError answers a request that fasthttp cannot parse. Its end, and with it any request after it, is unknown.
func (s *Server) handleParseError(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*clientConn); ok {
		c.stopCounting()
	}
	s.rejectRequest(ctx, err)
}

// rejectRequest logs a malformed, oversized or invalid request and answers it with status 400.
func (s *Server) rejectRequest(ctx *fasthttp.RequestCtx, err error) {
	s.badRequestLog.Info().Stringer("client", ctx.RemoteAddr()).Err(err).Msg("bad request")
	ctx.Error(err.Error(), fasthttp.StatusBadRequest)
}

// handle answers a request according to its path and method.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c, id := ctx.Conn().(*clientConn), string(ctx.Request.Header.Peek("X-Call-Id"))
	ok, closeAfter := c.requestReceived(id)
	answeredAt, isCopy := s.findAnswered(ctx, c, id)
	if (closeAfter || s.closeAfterResponse.Load()) && !isCopy && !c.hasPipelinedRequests() {
		ctx.SetConnectionClose()
	}
	switch path := string(ctx.Path()); {
	case isCopy:
		s.withholdResponse(ctx, c, id, time.Since(answeredAt))
	case !ok: // the client does not receive the response: a message must not be accepted and delivered without its knowledge
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case path == "/_health" && ctx.IsGet():
		ctx.SetStatusCode(fasthttp.StatusOK)
	case path == "/_metrics" && ctx.IsGet():
		ctx.SetContentType("text/plain; version=0.0.4")
		_ = s.listener.invariants.Write(ctx)
		if s.writeMetrics != nil {
			s.writeMetrics(ctx)
		}
	case path != "/api" && path != "/_health" && path != "/_metrics":
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case path != "/api" || !ctx.IsPost():
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	default:
		s.acceptMessage(ctx)
	}
}

// findAnswered returns the time at which the request was answered before on its connection, and whether it was.
func (s *Server) findAnswered(ctx *fasthttp.RequestCtx, c *clientConn, id string) (time.Time, bool) {
	if !c.answered.hasID(id) {
		return time.Time{}, false
	}
	m, _, err := s.decode(ctx)
	if err != nil {
		return time.Time{}, false
	}
	return c.answered.find(m)
}

// withholdResponse sees to it that a request which was answered on the same connection some time before gets no second response.
func (s *Server) withholdResponse(ctx *fasthttp.RequestCtx, c *clientConn, id string, after time.Duration) {
	s.exchanges.Unsolicited(exchange.Unsolicited{Peer: exchange.Client, Addr: c.RemoteAddr().String(), Moment: exchange.RequestCopy,
		Request: id, After: after, Bytes: ctx.Request.Header.RawHeaders()})
	c.cutter.expect()
	ctx.SetStatusCode(fasthttp.StatusAccepted)
	ctx.Response.Header.Set(withheldHeader, "1")
}

// acceptMessage submits the message of a request to the gateway, waits for the reply, and answers the request accordingly.
func (s *Server) acceptMessage(ctx *fasthttp.RequestCtx) {
	m, timeLeft, err := s.decode(ctx)
	if err != nil {
		s.rejectRequest(ctx, err)
		return
	}
	c := ctx.Conn().(*clientConn)
	m.ExpiresAt = s.clock() + timeLeft - c.arrivalDelay()
	c.readDelay = 0
	reply := make(chan gateway.Reply, 1)
	s.submit(gateway.Arrived{Message: m, Respond: func(r gateway.Reply) { reply <- r }})
	r := <-reply
	c.answered.add(m)
	s.debugLog.Debug().Str("ntf", m.ID).Stringer("client", ctx.RemoteAddr()).Bool("taken", r.Accepted).Str("why", string(r.Reason)).
		Float64("after", time.Since(ctx.Time()).Seconds()).Msg("request answered")
	if r.Accepted {
		ctx.SetStatusCode(fasthttp.StatusAccepted)
		return
	}
	if r.Reason == gateway.IDInUse {
		s.badRequestLog.Info().Stringer("client", ctx.RemoteAddr()).Str("ntf", m.ID).Str("error", string(r.Reason)).Msg("bad request")
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	if r.RetryIn > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(r.RetryIn, 'f', 3, 64))
	}
}

// decode returns the message of a request, and the time, in seconds, that its client allows, at most its TTL. The message does not refer
// to memory of the request.
func (s *Server) decode(ctx *fasthttp.RequestCtx) (*message.Message, float64, error) {
	h := &ctx.Request.Header
	if hasConflictingLengths(h.RawHeaders()) {
		return nil, 0, errors.New("both Content-Length and Transfer-Encoding: where the request ends is not certain")
	}
	m := &message.Message{IdempotencyKey: string(h.Peek("Idempotency-Key")), Body: append([]byte(nil), ctx.PostBody()...)}
	m.ID, m.Topic, m.Tenant = string(h.Peek("X-Call-Id")), string(h.Peek("X-Call-Class")), string(h.Peek("X-Caller"))
	m.Key = string(h.Cookie("about"))
	if m.ID == "" {
		return nil, 0, errors.New("X-Call-Id is missing")
	}
	ttl, ok := s.ttl(m.Topic)
	if !ok {
		return nil, 0, fmt.Errorf("X-Call-Class %q is not known", m.Topic)
	}
	for _, pair := range strings.FieldsFunc(string(h.Peek("X-Addressing")), isSeparator) {
		if name, value, _ := strings.Cut(pair, "="); name == "dest" {
			m.Dest = value
		}
	}
	if _, err := strconv.ParseUint(m.Dest, 10, 64); err != nil {
		return nil, 0, errors.New("X-Addressing names no dest")
	}
	budget, err := parseBudget(string(h.Peek("X-Budget")))
	if err != nil {
		return nil, 0, err
	}
	return m, min(budget, ttl), nil // a mistaken budget must not keep a message pending for days
}

// hasConflictingLengths reports whether a request has both a Content-Length and a Transfer-Encoding. Implementations disagree
// on where such a request ends, so its body can hide a second request (request smuggling). It is rejected, and
// fasthttp closes the connection. Well-behaved clients never send both.
func hasConflictingLengths(head []byte) bool {
	seen := map[string]bool{}
	for _, line := range bytes.Split(head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		seen[strings.ToLower(string(bytes.TrimSpace(name)))] = true
	}
	return seen["content-length"] && seen["transfer-encoding"]
}

// isSeparator reports whether r separates the name=value pairs of X-Addressing.
func isSeparator(r rune) bool { return r == ' ' || r == ',' || r == ';' }

// parseBudget parses a duration, a number followed by m for milliseconds or u for microseconds, and returns it in seconds.
func parseBudget(text string) (float64, error) {
	unitsPerSecond := map[string]float64{"m": 1e3, "u": 1e6}
	if n := len(text) - 1; n > 0 {
		v, err := strconv.ParseFloat(text[:n], 64)
		if scale := unitsPerSecond[text[n:]]; err == nil && scale > 0 && v >= 0 && v < 1e12 {
			return v / scale, nil
		}
	}
	return 0, fmt.Errorf("X-Budget cannot be %q", text)
}

// discardLogger discards the log lines of fasthttp, since a client that disconnects needs no log line.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
