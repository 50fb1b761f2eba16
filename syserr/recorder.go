package syserr

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// Call names a system call, or a group of calls with one purpose, in metrics and logs.
type Call string

// The calls that are counted.
const (
	Listen         Call = "listen"
	Accept         Call = "accept"
	Register       Call = "register with the poller"
	ClientRead     Call = "client read"
	ClientWrite    Call = "client write"
	ClientPeek     Call = "client peek"
	ClientShutdown Call = "client shutdown"
	Dial           Call = "dial"
	EndpointRead   Call = "endpoint read"
	EndpointSend   Call = "endpoint write"
	AgentDial      Call = "agent dial"
	AgentRead      Call = "agent read"
	AgentWrite     Call = "agent write"
	LedgerWrite    Call = "ledger write"
	RecoveryWrite  Call = "recovery state write"
	ListWrite      Call = "list of endpoints write"
	ConfigRead     Call = "configuration read"
)

// logInterval is the minimum time between two log lines about failures of the same call.
const logInterval = time.Second

// Recorder counts failed system calls and logs them. A nil Recorder does nothing. It is safe for concurrent use.
type Recorder struct {
	log zerolog.Logger
	set *metrics.Set
	mu  sync.Mutex
	// unlogged and loggedAt are guarded by mu.
	unlogged map[Call]int       // failures since the last log line
	loggedAt map[Call]time.Time // time of the last log line
}

// NewRecorder returns a Recorder that logs to log.
func NewRecorder(log zerolog.Logger) *Recorder {
	return &Recorder{log: log, set: metrics.NewSet(), unlogged: map[Call]int{}, loggedAt: map[Call]time.Time{}}
}

// Failed counts the failure of a call. id is the ID of the message or the address of the connection concerned, or empty.
func (r *Recorder) Failed(call Call, id string, err error) {
	if r == nil {
		return
	}
	r.set.GetOrCreateCounter(counterName(call, err)).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged[call]++
	now := time.Now()
	if last, logged := r.loggedAt[call]; logged && now.Sub(last) < logInterval {
		return
	}
	r.log.Warn().Err(err).Str("call", string(call)).Str("id", id).Int("failures", r.unlogged[call]).Msg("system call failed")
	r.unlogged[call], r.loggedAt[call] = 0, now
}

// counterName returns the name of the counter of a call and an error.
func counterName(call Call, err error) string {
	name := "other"
	var errno syscall.Errno
	if errors.As(err, &errno) {
		name = unix.ErrnoName(errno)
	}
	return `orchiddrift_system_call_errors_total{call="` + string(call) + `",error="` + name + `"}`
}

// Write writes the counters in the Prometheus text format.
func (r *Recorder) Write(w io.Writer) {
	if r != nil {
		r.set.WritePrometheus(w)
	}
}
