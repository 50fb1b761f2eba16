// Package intake takes messages from clients: a request is decoded once into a message, and answered once.
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

	"orchiddrift/gateway"
	"orchiddrift/invariant"
	"orchiddrift/message"
)

const (
	maxBody                 = 64 << 10
	maxHead                 = 4 << 10
	idleTimeout             = 2200 * time.Millisecond // a client that has asked and keeps its connection
	ioTimeout               = 2 * time.Second         // from a connection's start, or a further request's first byte, to its last
	badRequestLogsPerSecond = 10                      // bad requests that the log names in a second
)

// Server answers clients.
type Server struct {
	clock              func() float64
	ttl                func(topic string) (float64, bool)
	submit             func(gateway.Event)
	badRequestLog      zerolog.Logger // of bad requests: a few a second
	debugLog           zerolog.Logger // of each request and connection, at debug level
	httpServer         *fasthttp.Server
	listener           *limitListener
	closeAfterResponse atomic.Bool
	writeMetrics       func(io.Writer) // beside the invariants' counts; nil for none
}

// NewServer returns a server that hands each message to tell, and holds so many connections at most.
func NewServer(clock func() float64, ttl func(string) (float64, bool), submit func(gateway.Event), maxConns int,
	log zerolog.Logger) *Server {
	s := &Server{clock: clock, ttl: ttl, submit: submit, debugLog: log,
		badRequestLog: log.Sample(&zerolog.BurstSampler{Burst: badRequestLogsPerSecond, Period: time.Second})}
	s.listener = &limitListener{maxConns: maxConns, open: map[*clientConn]bool{}, log: log}
	s.httpServer = &fasthttp.Server{Handler: s.handle, Concurrency: 2 * maxConns, MaxRequestBodySize: maxBody,
		ReadBufferSize: maxHead, ErrorHandler: s.handleParseError, ConnState: trackState,
		IdleTimeout: idleTimeout, ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, NoDefaultServerHeader: true,
		NoDefaultContentType: true, Logger: discardLogger{}}
	return s
}

// SetMetrics lets what must not happen be counted, and the counts be read at /_metrics, with what more is written there.
func (s *Server) SetMetrics(invariants *invariant.Counters, writeMetrics func(io.Writer)) {
	s.listener.invariants, s.writeMetrics = invariants, writeMetrics
}

// Serve answers on a listener until Close.
func (s *Server) Serve(ln net.Listener) error {
	s.listener.lock.Lock()
	s.listener.Listener = ln
	s.listener.lock.Unlock()
	return s.httpServer.Serve(s.listener)
}

// DisableKeepAlives closes each client's connection with its next answer, so that the client goes elsewhere.
func (s *Server) DisableKeepAlives() { s.closeAfterResponse.Store(true) }

// Close takes no new connections and no new requests; those of which bytes were taken are answered, and the answers have
// left when it returns. The library's own Shutdown is not asked: it drops a request that comes as it closes a resting
// connection, though the request was read.
func (s *Server) Close() error {
	s.listener.lock.Lock()
	ln := s.listener.Listener
	s.listener.lock.Unlock()
	if ln == nil { // it has not served yet
		return nil
	}
	err := ln.Close()
	s.listener.waitClosed()
	return err
}

// handleParseError answers what is no HTTP: where it ends is not known, nor what stands behind it.
func (s *Server) handleParseError(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*clientConn); ok {
		c.stopCounting()
	}
	s.rejectRequest(ctx, err)
}

// rejectRequest answers what is no request, or one that is too large.
func (s *Server) rejectRequest(ctx *fasthttp.RequestCtx, err error) {
	s.badRequestLog.Info().Stringer("client", ctx.RemoteAddr()).Err(err).Msg("bad request")
	ctx.Error(err.Error(), fasthttp.StatusBadRequest)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	ok, closeAfter := ctx.Conn().(*clientConn).requestReceived(string(ctx.Request.Header.Peek("X-Call-Id")))
	if (closeAfter || s.closeAfterResponse.Load()) && !ctx.Conn().(*clientConn).hasPipelinedRequests() {
		ctx.SetConnectionClose()
	}
	switch path := string(ctx.Path()); {
	case !ok: // nobody hears an answer any more: what was taken on now would be run unasked
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

// acceptMessage hands in the message of a request and answers with what becomes of it.
func (s *Server) acceptMessage(ctx *fasthttp.RequestCtx) {
	m, err := s.decode(ctx)
	if err != nil {
		s.rejectRequest(ctx, err)
		return
	}
	reply := make(chan gateway.Reply, 1)
	s.submit(gateway.Arrived{Message: m, Reply: func(r gateway.Reply) { reply <- r }})
	r := <-reply
	s.debugLog.Debug().Str("ntf", m.ID).Stringer("client", ctx.RemoteAddr()).Bool("taken", r.Accepted).Str("why", string(r.Reason)).
		Float64("after", time.Since(ctx.Time()).Seconds()).Msg("request answered")
	if r.Accepted {
		ctx.SetStatusCode(fasthttp.StatusAccepted)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	if r.RetryIn > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(r.RetryIn, 'f', 3, 64))
	}
}

// decode reads the message of a request. It keeps no part of the request itself.
func (s *Server) decode(ctx *fasthttp.RequestCtx) (*message.Message, error) {
	h := &ctx.Request.Header
	if hasConflictingLengths(h.RawHeaders()) {
		return nil, errors.New("both Content-Length and Transfer-Encoding: where the request ends is not certain")
	}
	m := &message.Message{IdempotencyKey: string(h.Peek("Idempotency-Key")), Body: append([]byte(nil), ctx.PostBody()...)}
	m.ID, m.Topic, m.Tenant = string(h.Peek("X-Call-Id")), string(h.Peek("X-Call-Class")), string(h.Peek("X-Caller"))
	m.Key = string(h.Cookie("about"))
	if m.ID == "" {
		return nil, errors.New("X-Call-Id is missing")
	}
	ttl, ok := s.ttl(m.Topic)
	if !ok {
		return nil, fmt.Errorf("X-Call-Class %q is not known", m.Topic)
	}
	for _, pair := range strings.FieldsFunc(string(h.Peek("X-Addressing")), isSeparator) {
		if name, value, _ := strings.Cut(pair, "="); name == "dest" {
			m.Dest = value
		}
	}
	if _, err := strconv.ParseUint(m.Dest, 10, 64); err != nil {
		return nil, errors.New("X-Addressing names no dest")
	}
	budget, err := parseBudget(string(h.Peek("X-Budget")))
	if err != nil {
		return nil, err
	}
	m.ExpiresAt = s.clock() + min(budget, ttl) // no client's slip holds a message for days
	return m, nil
}

// hasConflictingLengths tells that a request says in two ways where it ends. Those who read it the other way may find a second
// request in its body, so nothing of it goes on; the library closes the connection. A client that means no harm
// never sends both.
func hasConflictingLengths(head []byte) bool {
	seen := map[string]bool{}
	for _, line := range bytes.Split(head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		seen[strings.ToLower(string(bytes.TrimSpace(name)))] = true
	}
	return seen["content-length"] && seen["transfer-encoding"]
}

func isSeparator(r rune) bool { return r == ' ' || r == ',' || r == ';' }

// parseBudget reads a time: a number and its unit, m for milliseconds or u for microseconds.
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

// discardLogger drops the library's own lines: a client that goes away is no news.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
