package behaviour

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// AnswerHistory writes answers to a connection, and what comes out of turn between them. It is safe for concurrent use.
type AnswerHistory struct {
	mu      sync.Mutex
	conn    io.WriteCloser
	answers [][]byte // the last answers, at most maxBack + 1
}

// NewAnswerHistory returns an AnswerHistory without answers that writes to conn.
func NewAnswerHistory(conn io.WriteCloser) *AnswerHistory { return &AnswerHistory{conn: conn} }

// Write writes bytes of an answer.
func (h *AnswerHistory) Write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conn.Write(b)
}

// Answered records an answer that was written.
func (h *AnswerHistory) Answered(answer []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, append([]byte(nil), answer...))
	h.answers = h.answers[max(0, len(h.answers)-maxBack-1):]
}

// WriteLater writes what nobody asked for, each at its time, and returns at once.
func (h *AnswerHistory) WriteLater(list []Unsolicited) {
	for _, u := range list {
		time.AfterFunc(time.Duration(u.After*float64(time.Second)), func() { h.write(u) })
	}
}

// write writes one unsolicited answer.
func (h *AnswerHistory) write(u Unsolicited) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var answer []byte
	switch {
	case u.Status != 0:
		answer = fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", u.Status, http.StatusText(u.Status))
	case len(h.answers) == 0:
		return
	default:
		answer = h.answers[max(0, len(h.answers)-1-u.Back)]
	}
	if u.Part == 0 {
		_, _ = h.conn.Write(answer) // an error means that the connection has ended
		return
	}
	_, _ = h.conn.Write(answer[:int(u.Part*float64(len(answer)))])
	_ = h.conn.Close()
}
