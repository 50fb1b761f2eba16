package push

import (
	"encoding/base64"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"orchiddrift/message"
)

const (
	maxResponseBody   = 64 << 10 // of an answer
	maxBatchBody      = 64 << 10 // of a call with several messages
	batchItemOverhead = 256      // what stands round a message there
)

// MinBudget is the least time that a call can tell its endpoint, in seconds.
const MinBudget = 1e-3

// Fits tells whether one more message fits the body of a call.
func Fits(list []*message.Message, m *message.Message) bool {
	size := 0
	for _, x := range append(list[:len(list):len(list)], m) {
		size += batchItemOverhead + len(x.ID) + len(x.IdempotencyKey) + base64.StdEncoding.EncodedLen(len(x.Body))
	}
	return size <= maxBatchBody
}

// CallResult tells how a call ended: one end for each message, in their order, and what the endpoint told.
type CallResult struct {
	Ends                []End
	RetryAfter          float64 // seconds, 0 for none
	HasLoadReport       bool
	LoadShare           float64
	LoadLimit           float64
	Reusable            bool   // the connection can carry another call
	RawPrefix           []byte // the first bytes of an answer that could not be read
	LateResponsePending bool   // it was given up, and what is still on its way there is to be heard: LastWord
}

// UniformResult is the answer in which all of n messages ended alike.
func UniformResult(n int, end End) CallResult {
	a := CallResult{Ends: make([]End, n)}
	for i := range a.Ends {
		a.Ends[i] = end
	}
	return a
}

// Send writes one call with the messages and waits so many seconds for its answer. A connection that cannot be
// used again is closed, or else the answer is Late, and LastWord closes it.
func (c *Conn) Send(list []*message.Message, wait float64) CallResult {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	wait = math.Floor(wait*1000) / 1000 // as it is told: an answer after that counts for nothing at the endpoint
	encodeRequest(req, c.addr, list, wait)
	end, reusable := c.exchange(req, resp, len(list) == 1, time.Now().Add(toDuration(wait)))
	late := end == ResponseTimeout || end == InvalidResponse && !reusable
	if late {
		c.closeWrite()
	} else if !reusable {
		c.Close()
	}
	if end == Rejected && len(list) > 1 {
		end = BatchRejected
	}
	a := UniformResult(len(list), end)
	if a.LateResponsePending = late; end == InvalidResponse {
		a.RawPrefix = c.rawPrefix()
	}
	if end > InvalidResponse {
		return a
	}
	a.Reusable = reusable
	a.RetryAfter = parseSeconds(string(resp.Header.Peek("Retry-After")))
	a.LoadShare, a.LoadLimit, a.HasLoadReport = parseLoadReport(string(resp.Header.Peek("X-Load-Report")))
	if end == Delivered && len(list) > 1 {
		a.Ends = parseBatchStates(resp.Body(), list)
	}
	return a
}

// encodeRequest writes the request: a call of its own for one message, a list for several.
func encodeRequest(req *fasthttp.Request, addr string, list []*message.Message, wait float64) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost(addr)
	req.Header.SetNoDefaultContentType(true)
	req.Header.Set("X-Budget", strconv.Itoa(int(math.Round(wait*1000)))+"m")
	if len(list) == 1 {
		req.SetRequestURI("/hook")
		req.Header.Set("X-Call-Id", list[0].ID)
		if list[0].IdempotencyKey != "" {
			req.Header.Set("Idempotency-Key", list[0].IdempotencyKey)
		}
		req.SetBodyRaw(list[0].Body)
		return
	}
	type line struct {
		ID   string `json:"id"`
		Key  string `json:"key,omitempty"`
		Body []byte `json:"body"`
	}
	lines := make([]line, len(list))
	for i, m := range list {
		lines[i] = line{m.ID, m.IdempotencyKey, m.Body}
		if m.Body == nil {
			lines[i].Body = []byte{}
		}
	}
	body, _ := json.Marshal(lines) // strings and bytes always marshal
	req.SetRequestURI("/hook/batch")
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
}

var endByState = map[string]End{"done": Delivered, "failed": Failed, "busy": Throttled, "void": AlreadySettled, "used_up": AttemptsExhausted}

// parseBatchStates reads how each message of a call ended; one that is not named, or in a way not known, may have run.
func parseBatchStates(body []byte, list []*message.Message) []End {
	var lines []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	told := map[string]End{}
	if json.Unmarshal(body, &lines) == nil {
		for _, l := range lines {
			if end, ok := endByState[l.State]; ok {
				told[l.ID] = end
			}
		}
	}
	ends := make([]End, len(list))
	for i, m := range list {
		end, ok := told[m.ID]
		if !ok {
			end = InvalidResponse
		}
		ends[i] = end
	}
	return ends
}

// parseLoadReport reads a load report, "TEXT x0=0.4, x1=25"; one that lacks a figure or has an odd one is no report.
func parseLoadReport(text string) (share, limit float64, ok bool) {
	seen := map[string]float64{}
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r == ' ' || r == ',' }) {
		if name, value, cut := strings.Cut(word, "="); cut {
			v, err := strconv.ParseFloat(value, 64)
			if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				return 0, 0, false
			}
			seen[name] = v
		}
	}
	share, a := seen["x0"]
	limit, b := seen["x1"]
	return share, limit, a && b
}

// parseSeconds reads a count of seconds; 0 stands for none, and for one that cannot be read.
func parseSeconds(text string) float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0
	}
	return v
}
