// Package intake accepts messages from clients over HTTP/1.1. Each request is decoded into one message and answered once.
//
// Files: intake.go has the server, serve.go the requests of a connection, head.go and request.go their reading, response.go the
// answers, clients.go the listener, and client*.go the connections.
package intake

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/admission"
	"orchiddrift/exchange"
	"orchiddrift/gateway"
	"orchiddrift/invariant"
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
	listener           *limitListener
	closeAfterResponse atomic.Bool        // keep-alives are disabled
	writeMetrics       func(io.Writer)    // writes further metrics at /_metrics; may be nil
	exchanges          *exchange.Recorder // may be nil
	budget             *admission.Budget  // of the memory for bodies; may be nil
	room               *admission.Room    // for messages; may be nil
	pace               *admission.Pace    // of work for requests that bring no message; may be nil
	metrics            *metricSet
	metricsPage        metricsPage
	requestBegun       func(*clientConn) // called when the first byte of a request was read; for tests, may be nil
}

// NewServer returns a server that passes each message to submit as a gateway.Arrived, and keeps at most maxConns connections
// open. clock returns the current time in seconds, and ttl returns the TTL of a topic in seconds and whether the topic is known.
func NewServer(clock func() float64, ttl func(string) (float64, bool), submit func(gateway.Event), maxConns int,
	log zerolog.Logger) *Server {
	s := &Server{clock: clock, ttl: ttl, submit: submit, debugLog: log, metrics: newMetricSet(),
		badRequestLog: log.Sample(&zerolog.BurstSampler{Burst: badRequestLogsPerSecond, Period: time.Second})}
	s.listener = &limitListener{maxConns: maxConns, open: map[*clientConn]bool{}, log: log}
	return s
}

// SetAdmission sets the accounts of memory, and the room for messages. It must be called before Serve.
func (s *Server) SetAdmission(budget *admission.Budget, room *admission.Room) {
	s.budget, s.room, s.listener.budget = budget, room, budget
}

// SetPace sets the pace of work for requests that bring no message. It must be called before Serve.
func (s *Server) SetPace(pace *admission.Pace) { s.pace = pace }

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
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return nil // the listener is closed
		}
		go s.serveConn(c.(*clientConn))
	}
}

// DisableKeepAlives makes the server close each connection after its next response, so that clients connect elsewhere.
func (s *Server) DisableKeepAlives() { s.closeAfterResponse.Store(true) }

// Close stops accepting connections and requests. It answers the requests that it has begun to read, and returns once the
// responses are written and all connections are closed.
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
