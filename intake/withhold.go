package intake

import (
	"slices"
	"time"

	"orchiddrift/message"
)

// rememberedIDs is how many of the last requests on a connection are recognized when they come once more.
const rememberedIDs = 16

// answeredRequests recognizes requests that come once more on a connection. A client has one request open on a connection and
// gives each a new ID, so the second one is a copy made on the way. A response to it would be taken for the response to the
// client's next request. A request that has the ID of an earlier one, but asks for something else, is no copy.
type answeredRequests struct{ last []answeredRequest }

// answeredRequest is a request that was answered at a time.
type answeredRequest struct {
	id          message.IDHash
	fingerprint message.Fingerprint
	at          time.Time
}

// add records that the request with a message was answered.
func (a *answeredRequests) add(m *message.Message) {
	a.last = append(a.last, answeredRequest{message.HashID(m.ID), m.Fingerprint(), time.Now()})
	a.last = a.last[max(0, len(a.last)-rememberedIDs):]
}

// hasID reports whether a request with the ID was answered.
func (a *answeredRequests) hasID(id string) bool {
	hash := message.HashID(id)
	return slices.ContainsFunc(a.last, func(request answeredRequest) bool { return request.id == hash })
}

// find returns the time at which the request with an ID and a fingerprint was answered, and whether it was.
func (a *answeredRequests) find(id string, fingerprint message.Fingerprint) (time.Time, bool) {
	hash := message.HashID(id)
	for _, request := range a.last {
		if request.id == hash && request.fingerprint == fingerprint {
			return request.at, true
		}
	}
	return time.Time{}, false
}
