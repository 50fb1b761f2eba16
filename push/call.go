package push

import (
	"encoding/base64"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"orchiddrift/exchange"
	"orchiddrift/message"
)

const (
	maxResponseBody   = 64 << 10 // maximum size of a response body, in bytes
	smallResponseBody = 8 << 10  // size of a response body up to which no memory is reserved, in bytes
	maxReusedFields   = 32       // header fields up to which a response is used again
	maxBatchBody      = 64 << 10 // maximum size of the request body of a batch, in bytes
	batchItemOverhead = 256      // bytes reserved for the JSON syntax of each message of a batch
)

// MinBudget is the smallest X-Budget that a call can announce to its endpoint, in seconds. Send announces whole milliseconds.
const MinBudget = 1e-3

// Fits reports whether m can be added to the messages of a call without exceeding the maximum size of a batch.
func Fits(messages []*message.Message, m *message.Message) bool {
	size := 0
	for _, msg := range append(messages[:len(messages):len(messages)], m) {
		size += batchItemOverhead + len(msg.ID) + len(msg.IdempotencyKey) + base64.StdEncoding.EncodedLen(len(msg.Body))
	}
	return size <= maxBatchBody
}

// CallResult is the result of a call: how each push ended, in the order of the messages, and what the endpoint reported with
// its response. If HasLoadReport is set, LoadShare is the share of the limit that is left (x0 of X-Load-Report), and LoadLimit
// is the limit in calls per second (x1).
type CallResult struct {
	Ends                []End
	RetryAfter          float64 // seconds, 0 if there was no Retry-After header
	HasLoadReport       bool
	LoadShare           float64
	LoadLimit           float64
	NotSent             bool   // the call was not begun: the connection can carry another one
	RawPrefix           []byte // the first bytes of the response if the call ended as InvalidResponse
	LateResponsePending bool   // the call was abandoned; the caller must call ReadLateRetryAfter, which closes the connection
}

// UniformResult returns the result of a call whose n pushes all ended in the same way.
func UniformResult(n int, end End) CallResult {
	result := CallResult{Ends: make([]End, n)}
	for i := range result.Ends {
		result.Ends[i] = end
	}
	return result
}

// Send writes one call with the messages and waits up to timeout seconds for its response. The connection is closed then,
// unless the result has LateResponsePending set: ReadLateRetryAfter closes it.
func (c *Conn) Send(messages []*message.Message, timeout float64) CallResult {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer c.releaseResponse(resp)
	timeout = math.Floor(timeout*1000) / 1000 // as X-Budget announces it; the endpoint disregards a response that it sent later
	encodeRequest(req, c.addr, messages, timeout)
	end := c.exchange(messages[0].ID, req, resp, len(messages) == 1, time.Now().Add(toDuration(timeout)))
	abandoned := end == ResponseTimeout || end == InvalidResponse
	if abandoned {
		c.closeWrite()
	} else {
		c.closeFor(closeReason(end))
	}
	if end == Rejected && len(messages) > 1 {
		end = BatchRejected
	}
	result := UniformResult(len(messages), end)
	if result.LateResponsePending = abandoned; end == InvalidResponse {
		result.RawPrefix = c.conn.Prefix()
	}
	if end > InvalidResponse {
		return result
	}
	result.RetryAfter = parseSeconds(string(resp.Header.Peek("Retry-After")))
	result.LoadShare, result.LoadLimit, result.HasLoadReport = parseLoadReport(string(resp.Header.Peek("X-Load-Report")))
	if end == Delivered && len(messages) > 1 {
		result.Ends = parseBatchStates(resp.Body(), messages)
	}
	return result
}

// closeReason returns the reason for which a connection is closed after a call that ended in the given way.
func closeReason(end End) exchange.CloseReason {
	switch {
	case end < InvalidResponse:
		return exchange.ClosedAnswered
	case end == WriteFailed || end == NoSocket:
		return exchange.ClosedNotSent
	}
	return exchange.ClosedUnanswered
}

// encodeRequest fills in the request: /hook for a single message, /hook/batch with a JSON list for several. X-Budget
// announces the timeout, which is in seconds, to the endpoint.
func encodeRequest(req *fasthttp.Request, addr string, messages []*message.Message, timeout float64) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost(addr)
	req.Header.SetNoDefaultContentType(true)
	req.Header.Set("X-Budget", strconv.Itoa(int(math.Round(timeout*1000)))+"m")
	if len(messages) == 1 {
		req.SetRequestURI("/hook")
		req.Header.Set("X-Call-Id", messages[0].ID)
		if messages[0].IdempotencyKey != "" {
			req.Header.Set("Idempotency-Key", messages[0].IdempotencyKey)
		}
		req.SetBodyRaw(messages[0].Body)
		return
	}
	type batchItem struct {
		ID   string `json:"id"`
		Key  string `json:"key,omitempty"`
		Body []byte `json:"body"`
	}
	items := make([]batchItem, len(messages))
	for i, m := range messages {
		items[i] = batchItem{m.ID, m.IdempotencyKey, m.Body}
		if m.Body == nil {
			items[i].Body = []byte{}
		}
	}
	body, _ := json.Marshal(items) // strings and bytes always marshal
	req.SetRequestURI("/hook/batch")
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
}

// endByState maps the states in the response to a batch to ends.
var endByState = map[string]End{"done": Delivered, "failed": Failed, "busy": Throttled, "void": AlreadySettled,
	"used_up": AttemptsExhausted}

// parseBatchStates returns the end of each message of a batch. A message that the response does not list, or lists with an
// unknown state, gets InvalidResponse, since it may have run.
func parseBatchStates(body []byte, messages []*message.Message) []End {
	var items []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	reported := map[string]End{}
	if json.Unmarshal(body, &items) == nil {
		for _, item := range items {
			if end, ok := endByState[item.State]; ok {
				reported[item.ID] = end
			}
		}
	}
	ends := make([]End, len(messages))
	for i, m := range messages {
		end, ok := reported[m.ID]
		if !ok {
			end = InvalidResponse
		}
		ends[i] = end
	}
	return ends
}

// parseLoadReport parses a load report such as "TEXT x0=0.4, x1=25": the share of the limit that is left, and the limit in
// calls per second. ok is false if a value is missing or is not a finite number of at least 0.
func parseLoadReport(text string) (share, limit float64, ok bool) {
	values := map[string]float64{}
	for _, field := range strings.FieldsFunc(text, func(r rune) bool { return r == ' ' || r == ',' }) {
		if name, value, found := strings.Cut(field, "="); found {
			v, err := strconv.ParseFloat(value, 64)
			if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				return 0, 0, false
			}
			values[name] = v
		}
	}
	share, hasShare := values["x0"]
	limit, hasLimit := values["x1"]
	return share, limit, hasShare && hasLimit
}

// parseSeconds parses a number of seconds. It returns 0 for a value that is empty, invalid, negative or not finite.
func parseSeconds(text string) float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0
	}
	return v
}
