package crowd

import (
	"bufio"
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pipelinedRequests is how many large requests a client sends one behind the other.
	pipelinedRequests = 50
	// requestsPerWrite is how many small requests a client that reads no answers writes at a time.
	requestsPerWrite = 100
	// metricsRequest asks for the metrics.
	metricsRequest = "GET /_metrics HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
)

// pipelineLarge sends large requests, one behind the other without a rest, and reads the answers meanwhile.
func (v *visitor) pipelineLarge(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(pipelinedRequests * answerTimeout))
	var reading sync.WaitGroup
	reading.Go(func() {
		reader := bufio.NewReader(conn)
		for closed := false; !closed; {
			_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
			_, closed = readAnswer(reader)
		}
		_ = conn.Close()
	})
	text := []byte(v.largeRequest(false))
	for range pipelinedRequests {
		if _, err := conn.Write(text); err != nil {
			break
		}
	}
	reading.Wait()
}

// unsoundRequests returns some small requests with messages of a class that does not exist.
func (v *visitor) unsoundRequests() []byte {
	var text strings.Builder
	for range requestsPerWrite {
		r := v.validRequest("")
		r.topic = "nothing"
		text.WriteString(r.text())
	}
	return []byte(text.String())
}

// writeUnread writes requests again and again at full speed and reads no answer, until the other side ends the connection. It records if
// that did not happen although for endTimeout nothing was taken and no answer came.
func (v *visitor) writeUnread(ctx context.Context, conn net.Conn, requests []byte) {
	rest, answers := requests, 0
	for ctx.Err() == nil {
		startedAt := time.Now()
		_ = conn.SetWriteDeadline(startedAt.Add(endTimeout))
		n, err := conn.Write(rest)
		if rest = rest[n:]; len(rest) == 0 {
			rest = requests
		}
		if err != nil && !os.IsTimeout(err) {
			return
		}
		before := answers
		answers = unreadBytes(conn)
		if err != nil && n == 0 && answers <= before && ctx.Err() == nil && v.servedSince(startedAt) {
			v.crowd.neglected.Add(1)
			return
		}
	}
}

// unreadBytes returns how many bytes of answers wait in the socket of a connection.
func unreadBytes(conn net.Conn) (bytes int) {
	if raw, err := conn.(*net.TCPConn).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	}
	return bytes
}
