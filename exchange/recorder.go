package exchange

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// Unsolicited describes bytes that belong to no request.
type Unsolicited struct {
	Peer    Peer
	Conn    uint64 // number of the connection
	Addr    string // of the other side
	Moment  Moment
	Request string        // label of the connection's request; empty before it
	After   time.Duration // since the connection was opened, or its answer was read
	Bytes   []byte        // the first of the bytes
}

// Recorder counts what happens on connections, and logs it. A nil Recorder does nothing. It is safe for concurrent use.
type Recorder struct {
	log zerolog.Logger
	set *metrics.Set
}

// NewRecorder returns a Recorder that logs to log.
func NewRecorder(log zerolog.Logger) *Recorder { return &Recorder{log: log, set: metrics.NewSet()} }

// Unsolicited counts and logs bytes that belong to no request.
func (r *Recorder) Unsolicited(u Unsolicited) {
	if r == nil {
		return
	}
	r.count("unsolicited_bytes", u.Peer, "when", string(u.Moment))
	r.log.Warn().Str("peer", string(u.Peer)).Uint64("conn", u.Conn).Str("addr", u.Addr).Str("when", string(u.Moment)).
		Str("request", u.Request).Float64("after", u.After.Seconds()).
		Bytes("bytes", u.Bytes[:min(len(u.Bytes), maxPrefix)]).Msg("unsolicited bytes")
}

// opened counts a new connection.
func (r *Recorder) opened(c *Conn) {
	if r != nil {
		r.count("connections_opened", c.peer, "", "")
	}
}

// closed counts the end of a connection, and logs it at debug level.
func (r *Recorder) closed(c *Conn, reason CloseReason) {
	if r == nil {
		return
	}
	r.count("connections_closed", c.peer, "why", string(reason))
	r.log.Debug().Str("peer", string(c.peer)).Uint64("conn", c.id).Str("addr", c.RemoteAddr().String()).
		Str("why", string(reason)).Msg("connection closed by this side")
}

// count increments a counter with the peer and one more label, unless its name is empty.
func (r *Recorder) count(name string, peer Peer, label, value string) {
	labels := `peer="` + string(peer) + `"`
	if label != "" {
		labels += `,` + label + `="` + value + `"`
	}
	r.set.GetOrCreateCounter("orchiddrift_" + name + "_total{" + labels + "}").Inc()
}

// Write writes the counters in the Prometheus text format.
func (r *Recorder) Write(w io.Writer) {
	if r != nil {
		r.set.WritePrometheus(w)
	}
}
