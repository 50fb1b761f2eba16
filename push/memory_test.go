package push

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"orchiddrift/admission"
	"orchiddrift/message"
)

// newMessageWithID returns a message with an ID.
func newMessageWithID(id string) *message.Message {
	m := &message.Message{Body: []byte("hello")}
	m.ID = id
	return m
}

// Guards against answers of many endpoints that together take more memory than is set apart for them: a large one is read only if its
// memory can be reserved, a small one always, and what is reserved is given back.
func TestLargeResponsesNeedMemory(t *testing.T) {
	items := []string{}
	for i := range 600 {
		items = append(items, fmt.Sprintf(`{"id":"other-%d","state":"done"}`, i))
	}
	states := `{"id":"m0","state":"done"},{"id":"m1","state":"busy"}`
	small, large := "["+states+"]", "["+states+","+strings.Join(items, ",")+"]"
	withLength := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	chunked := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	for name, test := range map[string]struct {
		response string
		capacity int
		want     [2]End
	}{
		"small, full":    {withLength(small), 0, [2]End{Delivered, Throttled}},
		"large":          {withLength(large), maxResponseBody, [2]End{Delivered, Throttled}},
		"large, full":    {withLength(large), 0, [2]End{InvalidResponse, InvalidResponse}},
		"chunked":        {chunked(large), maxResponseBody, [2]End{Delivered, Throttled}},
		"chunked, full":  {chunked(large), 0, [2]End{InvalidResponse, InvalidResponse}},
		"over the limit": {"HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n[", maxResponseBody, [2]End{InvalidResponse, InvalidResponse}},
	} {
		d := admission.Division{}
		d.Bytes[admission.Responses] = test.capacity
		budget := admission.NewBudget(d, nil)
		conn := newConn("a", &scriptedConn{response: strings.NewReader(test.response), readErr: io.EOF})
		conn.UseBudget(budget)
		result := conn.Send([]*message.Message{newMessageWithID("m0"), newMessageWithID("m1")}, 1)
		if result.Ends[0] != test.want[0] || result.Ends[1] != test.want[1] {
			t.Errorf("%s: %v, want %v", name, result.Ends, test.want)
		}
		if reserved := budget.Usage()[admission.Responses].Reserved; reserved != 0 {
			t.Errorf("%s: %d bytes still reserved", name, reserved)
		}
	}
}
