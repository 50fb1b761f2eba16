package crowd

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"time"

	"orchiddrift/lab/record"
)

const (
	// leaveRequests is how many requests a client writes before it leaves. They fit into the buffers of the sockets: the end of the stream
	// reaches the dispatcher only behind them.
	leaveRequests = 200
	// leavePause is how long a client that has left stays away.
	leavePause = 300 * time.Millisecond
	// repeatedRequests is how many of its requests a client that has left hands in again on a new connection.
	repeatedRequests = 5
)

// leave writes many requests, reads no answer and leaves, by a FIN or a reset. Then it hands some of them in again, one after another,
// on a new connection.
func (v *visitor) leave(ctx context.Context, conn net.Conn) {
	var text strings.Builder
	var handIns []*record.HandIn
	var requests []request
	for range leaveRequests {
		r := v.validRequest("")
		requests = append(requests, r)
		handIns = append(handIns, v.record(r))
		text.WriteString(r.text())
	}
	_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	_, _ = io.WriteString(conn, text.String()) // what does not fit is not sent: the dispatcher reads as fast as it answers
	if tcp, ok := conn.(*net.TCPConn); ok && v.random.IntN(2) == 0 {
		_ = tcp.SetLinger(0) // a reset
	}
	_ = conn.Close()
	v.crowd.Journal.WithLock(func() {
		for _, h := range handIns {
			h.LeftAt = v.crowd.Clock.Now()
		}
	})
	v.handInAgain(ctx, requests[len(requests)-repeatedRequests:])
	sleep(ctx, leavePause)
}

// handInAgain hands requests in again, one after another, on a new connection.
func (v *visitor) handInAgain(ctx context.Context, requests []request) {
	conn, err := net.DialTimeout("tcp", v.crowd.Addr(v.dispatcher), dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, r := range requests {
		if ctx.Err() != nil {
			return
		}
		h := v.record(r)
		_ = conn.SetDeadline(time.Now().Add(answerTimeout))
		_, _ = io.WriteString(conn, r.text())
		status, closed := readAnswer(reader)
		if status != 0 {
			v.answered(h, status)
		}
		if closed {
			return
		}
	}
}
