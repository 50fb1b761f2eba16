package intake

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"orchiddrift/admission"
	"orchiddrift/exchange"
	"orchiddrift/gateway"
	"orchiddrift/message"
)

// serveConn serves the requests of a connection until it ends.
func (s *Server) serveConn(c *clientConn) {
	for s.serveRequest(c) {
		s.pauseIfUnproductive(c)
	}
	c.ahead.release()
	_ = c.Close()
	s.listener.ended(c)
}

// serveRequest reads and answers the next request of a connection. It reports whether there may be another one.
func (s *Server) serveRequest(c *clientConn) (again bool) {
	isFirst := !c.servedBefore
	if err := c.awaitRequest(); err != nil {
		return false
	}
	if !isFirst {
		_ = c.SetReadDeadline(time.Now().Add(ioTimeout))
	}
	if s.requestBegun != nil {
		s.requestBegun(c)
	}
	s.listener.requestBegun(c)
	head, err := c.readHead()
	if err != nil {
		s.rejectUnreadable(c, err)
		return false
	}
	r := &request{server: s, conn: c, head: head, reader: newBodyReader(c, &head), startedAt: time.Now()}
	return r.serve()
}

// rejectUnreadable answers a request that cannot be read. Its end, and with it any request after it, is unknown.
func (s *Server) rejectUnreadable(c *clientConn, err error) {
	c.setPipelined(false)
	s.logBadRequest(c, "", err)
	s.metrics.refused(refusedUnreadable)
	c.writeResponse(response{status: fasthttp.StatusBadRequest, text: err.Error(), close: true})
}

// logBadRequest logs a malformed, oversized or invalid request.
func (s *Server) logBadRequest(c *clientConn, id string, err error) {
	line := s.badRequestLog.Info().Stringer("client", c.RemoteAddr()).Err(err)
	if id != "" {
		line = line.Str("ntf", shortened(id))
	}
	line.Msg("bad request")
}

// maxLoggedName is the length, in bytes, up to which a log line quotes what a client has sent.
const maxLoggedName = 64

// shortened returns a text for the log, cut to maxLoggedName bytes.
func shortened(text string) string {
	if len(text) <= maxLoggedName {
		return text
	}
	return text[:maxLoggedName] + "..."
}

// request is a request whose head was read.
type request struct {
	server    *Server
	conn      *clientConn
	head      requestHead // valid until the body is read
	reader    *bodyReader
	startedAt time.Time
}

// serve answers the request and reports whether there may be another one on its connection.
func (r *request) serve() (again bool) {
	switch path, method := string(r.head.path), string(r.head.method); {
	case path == "/api" && method == fasthttp.MethodPost:
		return r.serveMessage()
	case path == "/_health" && method == fasthttp.MethodGet:
		return r.answerWithoutBody(response{status: fasthttp.StatusOK})
	case path == "/_metrics" && method == fasthttp.MethodGet:
		return r.answerWithoutBody(response{status: fasthttp.StatusOK, contentType: "text/plain; version=0.0.4",
			page: r.server.metricsPage.read(r.server.writeAllMetrics)})
	case path != "/api" && path != "/_health" && path != "/_metrics":
		return r.refuse(refusedPath, response{status: fasthttp.StatusNotFound})
	}
	return r.refuse(refusedPath, response{status: fasthttp.StatusMethodNotAllowed})
}

// writeAllMetrics writes all metrics of the process.
func (s *Server) writeAllMetrics(w io.Writer) {
	_ = s.listener.invariants.Write(w)
	s.metrics.write(w)
	if s.writeMetrics != nil {
		s.writeMetrics(w)
	}
}

// answerWithoutBody answers a request whose body means nothing.
func (r *request) answerWithoutBody(resp response) (again bool) {
	r.conn.unproductive++
	if err := r.reader.discard(r.server, false); err != nil {
		r.server.rejectUnreadable(r.conn, err)
		return false
	}
	return r.answer("", resp)
}

// answer answers a request that was read completely.
func (r *request) answer(id string, resp response) (again bool) {
	ok, closeAfter := r.conn.requestReceived(id)
	if !ok { // the client does not receive the response
		resp = response{status: fasthttp.StatusServiceUnavailable}
	}
	return r.respond(resp, closeAfter)
}

// respond writes a response. It announces the end of the connection if there is a reason for one, unless further requests were read.
func (r *request) respond(resp response, closeAfter bool) (again bool) {
	c := r.conn
	pipelined := requestSize(c.ahead.bytes()) > 0
	c.setPipelined(pipelined)
	resp.close = resp.close || (closeAfter || r.head.closes || r.server.closeAfterResponse.Load()) && !pipelined
	if err := c.writeResponse(resp); err != nil || resp.close {
		return false
	}
	r.server.listener.requestServed(c)
	return true
}

// refuse answers a request with a failure before its body is read, and then drops the body. A client that waits for permission to send
// the body may send it or not, so that nothing after the head can be told apart.
func (r *request) refuse(reason refusalReason, resp response) (again bool) {
	c := r.conn
	r.server.metrics.refused(reason)
	c.unproductive++
	if !r.head.hasBody() {
		return r.answer("", resp)
	}
	if r.head.expectContinue {
		resp.close = true
	}
	ok, closeAfter := c.refusalDue()
	if !ok {
		return false
	}
	resp.close = resp.close || closeAfter || r.head.closes || r.server.closeAfterResponse.Load()
	if err := c.writeResponse(resp); err != nil || r.head.expectContinue || !r.dropBody(resp.close) {
		return false
	}
	r.finish()
	return !resp.close
}

// finish records that a request is over whose connection goes on, and whether further requests were read behind it.
func (r *request) finish() {
	r.server.listener.requestServed(r.conn)
	r.conn.setPipelined(requestSize(r.conn.ahead.bytes()) > 0)
}

// dropBody reads and drops the rest of a request that was refused, and reports whether that came to its end. Meanwhile the connection may
// make room for another one.
func (r *request) dropBody(last bool) bool {
	r.conn.setRefused(true)
	err := r.reader.discard(r.server, last)
	r.conn.setRefused(false)
	return err == nil
}

// refuseInvalid answers a request whose message is not valid.
func (r *request) refuseInvalid(id string, err error) (again bool) {
	r.server.logBadRequest(r.conn, id, err)
	return r.refuse(refusedInvalid, response{status: fasthttp.StatusBadRequest, text: err.Error()})
}

// refuseForNow answers a request that may be handed in again.
func (r *request) refuseForNow(reason refusalReason) (again bool) {
	return r.refuse(reason, response{status: fasthttp.StatusServiceUnavailable, retryAfter: refusalWait})
}

// refusalWait is the wait, in seconds, that a client is told whose request does not fit now.
const refusalWait = 0.5

// serveMessage answers a request with a message.
func (r *request) serveMessage() (again bool) {
	s, c := r.server, r.conn
	m, timeLeft, err := s.decode(&r.head)
	mayBeCopy := c.answered.hasID(m.ID)
	if err != nil && !mayBeCopy {
		return r.refuseInvalid(m.ID, err)
	}
	if r.head.expectContinue && r.head.hasBody() && c.writeContinue() != nil {
		return false
	}
	b := body{budget: s.budget}
	defer b.release()
	readErr := r.reader.readInto(&b)
	m.Body = b.bytes
	switch {
	case errors.Is(readErr, errNoMemory) && mayBeCopy:
		return r.serveUnheldCopy(m, &b)
	case errors.Is(readErr, errNoMemory):
		b.bytes, m.Body = nil, nil
		b.release()
		return r.refuseForNow(refusedNoMemory)
	case readErr != nil:
		s.rejectUnreadable(c, readErr)
		return false
	}
	if answeredAt, isCopy := c.answered.find(m.ID, m.Fingerprint()); isCopy {
		return r.withhold(m.ID, time.Since(answeredAt))
	}
	if err != nil {
		s.logBadRequest(c, m.ID, err)
		c.unproductive++
		s.metrics.refused(refusedInvalid)
		return r.answer(m.ID, response{status: fasthttp.StatusBadRequest, text: err.Error()})
	}
	return r.acceptMessage(m, timeLeft, &b)
}

// serveUnheldCopy answers a request that has the ID of one answered before on its connection, while there is no memory for the rest of its
// body: its fingerprint tells whether it is a copy.
func (r *request) serveUnheldCopy(m *message.Message, b *body) (again bool) {
	fingerprint := message.NewFingerprinter(m)
	fingerprint.Write(b.bytes)
	b.bytes, m.Body = nil, nil
	b.release()
	if err := r.reader.forEach(fingerprint.Write); err != nil {
		r.server.rejectUnreadable(r.conn, err)
		return false
	}
	if answeredAt, isCopy := r.conn.answered.find(m.ID, fingerprint.Sum()); isCopy {
		return r.withhold(m.ID, time.Since(answeredAt))
	}
	r.server.metrics.refused(refusedNoMemory)
	return r.answer(m.ID, response{status: fasthttp.StatusServiceUnavailable, retryAfter: refusalWait})
}

// withhold sees to it that a request which was answered on the same connection some time before gets no second response.
func (r *request) withhold(id string, after time.Duration) (again bool) {
	c := r.conn
	r.server.exchanges.Unsolicited(exchange.Unsolicited{Peer: exchange.Client, Addr: c.RemoteAddr().String(), Moment: exchange.RequestCopy,
		Request: id, After: after})
	_, _ = c.requestReceived(id)
	r.finish()
	return true
}

// acceptMessage submits the message of a request to the gateway, waits for the reply, and answers the request accordingly. The message is
// not submitted if its client has left: it may hand the message in again elsewhere.
func (r *request) acceptMessage(m *message.Message, timeLeft float64, b *body) (again bool) {
	s, c := r.server, r.conn
	ok, closeAfter := c.requestReceived(m.ID)
	if !ok {
		return r.respond(response{status: fasthttp.StatusServiceUnavailable}, true)
	}
	if c.clientLeft() {
		return r.refuseAbandoned(m.ID, closeAfter)
	}
	now := s.clock()
	hold, refusal := s.room.Take(now, c.account, m.Size())
	if refusal != admission.Granted {
		s.metrics.refused(refusalReason(refusal))
		c.unproductive++
		return r.respond(response{status: fasthttp.StatusServiceUnavailable, retryAfter: refusalWait}, closeAfter)
	}
	b.release() // it is part of the message from now on
	m.ExpiresAt = now + timeLeft - c.arrivalDelay()
	c.readDelay = 0
	reply := make(chan gateway.Reply, 1)
	s.submit(gateway.Arrived{Message: m, Hold: hold, SubmittedAt: now, ClientLeft: c.clientLeft, Respond: func(r gateway.Reply) { reply <- r }})
	answer := <-reply
	c.answered.add(m)
	s.debugLog.Debug().Str("ntf", m.ID).Stringer("client", c.RemoteAddr()).Bool("taken", answer.Accepted).Str("why", string(answer.Reason)).
		Float64("after", time.Since(r.startedAt).Seconds()).Msg("request answered")
	if answer.Accepted {
		c.unproductive = 0
		return r.respond(response{status: fasthttp.StatusAccepted}, closeAfter)
	}
	c.unproductive++
	if answer.Reason == gateway.IDInUse {
		s.logBadRequest(c, m.ID, errors.New(string(answer.Reason)))
	}
	return r.respond(response{status: fasthttp.StatusServiceUnavailable, retryAfter: answer.RetryIn}, closeAfter)
}

// refuseAbandoned refuses a message whose client has left, and logs the first one of a connection.
func (r *request) refuseAbandoned(id string, closeAfter bool) (again bool) {
	c := r.conn
	if c.abandoned++; c.abandoned == 1 {
		r.server.badRequestLog.Info().Stringer("client", c.RemoteAddr()).Str("ntf", shortened(id)).Int("read_ahead", len(c.ahead.bytes())).
			Msg("client left before its request was taken on")
	}
	r.server.metrics.refused(refusedClientLeft)
	return r.respond(response{status: fasthttp.StatusServiceUnavailable}, closeAfter)
}

// decode returns the message of a request without its body, and the time, in seconds, that its client allows, at most its TTL. The message
// does not refer to memory of the request. It is returned with an error too.
func (s *Server) decode(h *requestHead) (*message.Message, float64, error) {
	m := &message.Message{IdempotencyKey: string(h.idempotencyKey)}
	m.ID, m.Topic, m.Tenant = string(h.id), string(h.topic), string(h.tenant)
	m.Key = string(cookieValue(h.cookie, "about"))
	if m.ID == "" {
		return m, 0, errors.New("X-Call-Id is missing")
	}
	ttl, ok := s.ttl(m.Topic)
	if !ok {
		return m, 0, fmt.Errorf("X-Call-Class %q is not known", shortened(m.Topic))
	}
	for _, pair := range strings.FieldsFunc(string(h.addressing), isSeparator) {
		if name, value, _ := strings.Cut(pair, "="); name == "dest" {
			m.Dest = value
		}
	}
	if _, err := strconv.ParseUint(m.Dest, 10, 64); err != nil {
		return m, 0, errors.New("X-Addressing names no dest")
	}
	budget, err := parseBudget(string(h.budget))
	if err != nil {
		return m, 0, err
	}
	return m, min(budget, ttl), nil // a mistaken budget must not keep a message pending for days
}

// isSeparator reports whether r separates the name=value pairs of X-Addressing.
func isSeparator(r rune) bool { return r == ' ' || r == ',' || r == ';' }

// parseBudget parses a duration, a number followed by m for milliseconds or u for microseconds, and returns it in seconds.
func parseBudget(text string) (float64, error) {
	if n := len(text) - 1; n > 0 {
		scale := 0.0
		switch text[n:] {
		case "m":
			scale = 1e3
		case "u":
			scale = 1e6
		}
		v, err := strconv.ParseFloat(text[:n], 64)
		if err == nil && scale > 0 && v >= 0 && v < 1e12 {
			return v / scale, nil
		}
	}
	return 0, fmt.Errorf("X-Budget cannot be %q", shortened(text))
}
