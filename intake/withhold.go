package intake

import (
	"bytes"
	"slices"
	"time"

	"orchiddrift/message"
)

// rememberedIDs is how many of the last requests on a connection are recognized when they come once more.
const rememberedIDs = 16

// withheldHeader marks a response that is not written to the client.
const withheldHeader = "X-Withheld"

var (
	withheldLine  = []byte("\r\n" + withheldHeader + ": 1\r\n")
	responseStart = []byte("HTTP/1.1 ")
	headEnd       = []byte("\r\n\r\n")
)

// answeredRequests recognizes requests that come once more on a connection. A client has one request open on a connection and
// gives each a new ID, so the second one is a copy made on the way. A response to it would be taken for the response to the
// client's next request. A request that has the ID of an earlier one, but asks for something else, is no copy.
type answeredRequests struct{ last []answeredRequest }

// answeredRequest is a request that was answered at a time.
type answeredRequest struct {
	id          string
	fingerprint message.Fingerprint
	at          time.Time
}

// add records that the request with a message was answered.
func (a *answeredRequests) add(m *message.Message) {
	a.last = append(a.last, answeredRequest{m.ID, m.Fingerprint(), time.Now()})
	a.last = a.last[max(0, len(a.last)-rememberedIDs):]
}

// hasID reports whether a request with the ID was answered.
func (a *answeredRequests) hasID(id string) bool {
	return slices.ContainsFunc(a.last, func(request answeredRequest) bool { return request.id == id })
}

// find returns the time at which the request with a message was answered, and whether it was.
func (a *answeredRequests) find(m *message.Message) (time.Time, bool) {
	for _, request := range a.last {
		if request.id == m.ID && request.fingerprint == m.Fingerprint() {
			return request.at, true
		}
	}
	return time.Time{}, false
}

// responseCutter removes marked responses without a body from the bytes that the HTTP server writes. It is used by the goroutine
// that serves the connection only.
type responseCutter struct {
	pending int    // marked responses that were not removed yet
	held    []byte // bytes written since the first of them was announced
}

// expect announces a marked response.
func (r *responseCutter) expect() { r.pending++ }

// cut returns the bytes to write in place of b. It holds bytes back while a marked response is incomplete.
func (r *responseCutter) cut(b []byte) []byte {
	if r.pending == 0 {
		return b
	}
	r.held = append(r.held, b...)
	for r.pending > 0 {
		start, end, found := findWithheld(r.held)
		if !found {
			return nil
		}
		r.held = slices.Delete(r.held, start, end)
		r.pending--
	}
	rest := r.held
	r.held = nil
	return rest
}

// findWithheld returns where the first marked response begins and ends, if it is there as a whole.
func findWithheld(b []byte) (start, end int, found bool) {
	mark := bytes.Index(b, withheldLine)
	if mark < 0 {
		return 0, 0, false
	}
	length := bytes.Index(b[mark:], headEnd)
	start = bytes.LastIndex(b[:mark], responseStart)
	if length < 0 || start < 0 {
		return 0, 0, false
	}
	return start, mark + length + len(headEnd), true
}
