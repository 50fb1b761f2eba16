package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"orchiddrift/lab/content"
	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

const (
	// maxHead is the largest head that a dispatcher reads, in bytes.
	maxHead = 4 << 10
	// largeBody is the size of the body of a large request, in bytes.
	largeBody = 64_000
	// requestTime is the time in which the message of a request may be delivered, in seconds.
	requestTime = 2.0
	// answerTimeout is how long a client of a crowd waits for an answer.
	answerTimeout = 2 * time.Second
)

// request is a request of a crowd. Its message is valid unless topic or dest are not.
type request struct {
	number                 int64 // among the requests of all crowds
	id, topic, tenant, key string
	dest                   string
	fields                 string // further lines of the head
	body                   string
}

// text returns the request as it is sent.
func (r request) text() string {
	cookie := ""
	if r.key != "" {
		cookie = "Cookie: about=" + r.key + "\r\n"
	}
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n%sX-Budget: %dm\r\n"+
		"X-Addressing: dest=%s\r\nContent-Length: %d\r\n%s\r\n%s", r.id, r.topic, r.tenant, cookie, int(requestTime*1000), r.dest, len(r.body), r.fields, r.body)
}

// validRequest returns a request with a message for a destination of the scenario.
func (v *visitor) validRequest(body string) request {
	world := v.crowd.World
	topic := world.Topics[0].Name
	for _, t := range world.Topics {
		if t.Repeat == scenario.Repeatable && !t.Ordered {
			topic = t.Name
		}
	}
	number, dest := v.crowd.requests.Add(1), fmt.Sprint(v.random.IntN(len(world.Partners)))
	id := fmt.Sprintf("%s-crowd-%d", dest, number) // partners that share listeners find the destination at its beginning
	return request{number: number, id: id, topic: topic, tenant: world.Tenants[0].Name, dest: dest, body: body}
}

// largeRequest returns a large request for a class that does not exist. With fields, its head is as large as it may be and consists of
// as many short lines as fit.
func (v *visitor) largeRequest(fields bool) string {
	r := v.validRequest(strings.Repeat("b", largeBody))
	r.topic = "nothing"
	if fields {
		r.fields = fillHead(r)
	}
	return r.text()
}

// fillHead returns lines with names of one byte that fill the head of a request.
func fillHead(r request) string {
	head := len(r.text()) - len(r.body)
	const line = "a:\r\n"
	return strings.Repeat(line, max(0, maxHead-head)/len(line))
}

// record adds the hand-in of a valid request to the journal.
func (v *visitor) record(r request) *record.HandIn {
	now := v.crowd.Clock.Now()
	dest := 0
	_, _ = fmt.Sscan(r.dest, &dest)
	h := &record.HandIn{ID: r.id, PlanIndex: -crowdIndex - int(r.number), Topic: r.topic, Tenant: r.tenant, Dest: dest, Key: r.key, Dispatcher: v.dispatcher,
		PlannedAt: now, SentAt: now, ExpiresAt: now + requestTime, Foreign: true, Content: content.DigestOf("", []byte(r.body))}
	v.crowd.Journal.AddHandIn(h)
	return h
}

// crowdIndex keeps the plan indices of crowds apart from those of other bad clients.
const crowdIndex = 1 << 40

// clientPatience is how long a client waits for an answer, in seconds. One that comes later counts for nothing.
const clientPatience = 0.4

// answered records the answer to a hand-in, if it came while its client still waited.
func (v *visitor) answered(h *record.HandIn, status int) {
	v.crowd.Journal.WithLock(func() {
		if now := v.crowd.Clock.Now(); now <= h.SentAt+clientPatience {
			h.Status, h.AnsweredAt = status, now
		}
	})
}

// sendWhole sends large requests one after another on a connection, each with a head of many fields, and reads the answers. A third of
// the messages are valid.
func (v *visitor) sendWhole(ctx context.Context, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		r := v.validRequest(strings.Repeat("b", largeBody))
		valid := v.random.IntN(3) == 0
		if !valid {
			r.topic = "nothing"
		}
		r.fields = fillHead(r)
		var h *record.HandIn
		if valid {
			h = v.record(r)
		}
		startedAt := time.Now()
		_ = conn.SetDeadline(startedAt.Add(answerTimeout))
		_, _ = io.WriteString(conn, r.text()) // it may be answered before it is written in full
		status, closed := readAnswer(reader)
		if h != nil && status != 0 {
			v.answered(h, status)
		}
		if status == 0 || closed {
			return
		}
	}
}

// readAnswer reads an answer and returns its status, 0 if there is none, and whether the connection ends with it.
func readAnswer(reader *bufio.Reader) (status int, closed bool) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, true
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close || err != nil
}
