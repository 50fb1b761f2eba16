package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

const (
	// floodWindow is how many requests a flood has written before it waits for an answer.
	floodWindow = 256
	// floodBody is the size of the larger bodies of a flood, in bytes.
	floodBody = 3000
	// longName is the length of the long names of a flood, in bytes.
	longName = 800
)

// flood sends small requests at full speed on one connection, many at once, and reads the answers.
func (v *visitor) flood(ctx context.Context, conn net.Conn) {
	written := make(chan *record.HandIn, floodWindow)
	var reading sync.WaitGroup
	reading.Go(func() { v.readFloodAnswers(conn, written) })
	writer := bufio.NewWriterSize(conn, 32<<10)
	for ctx.Err() == nil {
		text, r := v.floodRequest()
		var h *record.HandIn
		if r != nil {
			h = v.record(*r)
		}
		if _, err := io.WriteString(writer, text); err != nil {
			break
		}
		if len(written) == cap(written) {
			if writer.Flush() != nil {
				break
			}
		}
		select {
		case written <- h:
		case <-ctx.Done():
		}
	}
	_ = writer.Flush()
	close(written)
	reading.Wait()
}

// readFloodAnswers reads an answer for each request that was written. Once there is none any more, it closes the connection.
func (v *visitor) readFloodAnswers(conn net.Conn, written <-chan *record.HandIn) {
	reader := bufio.NewReader(conn)
	ended := false
	for h := range written {
		if ended {
			continue
		}
		_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
		status, closed := readAnswer(reader)
		if h != nil && status != 0 {
			v.answered(h, status)
		}
		if closed {
			ended = true
			_ = conn.Close()
		}
	}
}

// floodRequest returns the text of the next request of a flood, and the request itself if its message is valid.
func (v *visitor) floodRequest() (string, *request) {
	traffic := v.trouble.Traffic
	if traffic == "" {
		traffic = scenario.FloodTraffic[v.random.IntN(len(scenario.FloodTraffic))]
	}
	r := v.validRequest("")
	switch traffic {
	case scenario.FloodPages:
		return fmt.Sprintf("GET /page-%s HTTP/1.1\r\nHost: a\r\n\r\n", r.id), nil
	case scenario.FloodTopics:
		r.topic = "topic-" + r.id
	case scenario.FloodDestinations:
		r.dest = fmt.Sprint(1_000_000 + v.random.IntN(1_000_000_000))
	case scenario.FloodTenants:
		r.tenant = "tenant-" + r.id
		return r.text(), &r
	case scenario.FloodNames:
		r.id += strings.Repeat("i", longName)
		r.tenant = r.id
		r.key = r.id
		return r.text(), &r
	case scenario.FloodBodies:
		r.body = strings.Repeat("b", floodBody)
		return r.text(), &r
	case scenario.FloodMessages:
		return r.text(), &r
	}
	return r.text(), nil
}
