package gateway

import (
	"github.com/rs/zerolog"

	"orchiddrift/decide"
	"orchiddrift/ledger"
	"orchiddrift/message"
	"orchiddrift/push"
)

// traceCall logs a debug line for each message of a call, delivered ones included, so that a message can be followed by
// its ID.
func (r *Runner) traceCall(c *Call, msg string, result push.CallResult) {
	if r.Log.GetLevel() > zerolog.DebugLevel {
		return
	}
	for i, m := range c.Messages {
		line := withCallFields(r.Log.Debug(), c, m, result).Float64("since_placed", r.Clock()-c.placedAt).
			Float64("call_left", c.waitUntil-r.Clock())
		if len(result.Ends) > 0 {
			line = line.Stringer("end", result.Ends[i])
		}
		if len(result.RawPrefix) > 0 {
			line = line.Bytes("raw", result.RawPrefix)
		}
		line.Msg(msg)
	}
}

// withCallFields adds the fields of a message's push to a log line: message, call, endpoint, the limit that the endpoint
// reported, and the number of the connection.
func withCallFields(line *zerolog.Event, c *Call, m *message.Message, result push.CallResult) *zerolog.Event {
	if result.HasLoadReport {
		line = line.Float64("share", result.LoadShare).Float64("limit", result.LoadLimit)
	}
	if c.ID > 0 {
		line = line.Uint64("call", c.ID)
	}
	if c.Conn != nil {
		line = line.Uint64("conn", c.Conn.ID())
	}
	return line.Str("ntf", m.ID).Str("topic", m.Topic).Str("dest", m.Dest).Str("endpoint", c.Endpoint.ID)
}

// logRestored logs each message that an earlier process left in the ledger, with its state there, and counts it in the
// metrics. The lines can be compared with the log of that process and with the output of "orchiddrift ledger inspect".
func (r *Runner) logRestored(restored []ledger.Pending) {
	now := r.Clock()
	for _, pending := range restored {
		m := pending.Message
		line := r.Log.Info().Str("ntf", m.ID).Str("topic", m.Topic).Str("dest", m.Dest).Int("pushes", m.Pushes).
			Float64("left", m.ExpiresAt-now).Stringer("state", pending.State())
		if pending.LastCall.End != ledger.EndNone {
			line = line.Uint64("last_call", pending.LastCall.Number).Float64("last_began", pending.LastCall.StartedAt).
				Str("last_to", pending.LastCall.Endpoint).Str("last_end", string(pending.LastCall.End))
		}
		if m.FirstRunAt > 0 {
			line = line.Uint64("ran_call", m.FirstRunCall).Float64("ran_at", m.FirstRunAt).Float64("ran_ago", now-m.FirstRunAt).
				Str("ran_to", m.FirstRunEndpoint).Str("ran_zone", m.FirstRunZone)
		}
		if pending.Notice != nil {
			line = line.Str("notice", pending.Notice.Outcome)
		}
		line.Msg("message restored from the ledger")
		r.Metrics.messageRestored(pending.State())
	}
}

// logRepeats logs each message in a call that has an earlier push that may have run: how long ago that push was sent, and
// in which scope it is recognized. It counts these messages in the metrics.
func (r *Runner) logRepeats(effect SendCall) {
	for _, repeat := range effect.Repeats {
		r.Log.Info().Str("ntf", repeat.ID).Uint64("call", effect.Call.ID).Str("endpoint", effect.Call.Endpoint.ID).
			Float64("since_first", repeat.SinceFirst).Str("group", repeat.DedupScope).Str("zone", repeat.Zone).
			Str("endpoint_zone", effect.Call.Endpoint.Zone).Msg("repeat")
		r.Metrics.pushRepeated()
	}
}

// logHealth logs and counts what the scheduler has reported about destinations and routes.
func (r *Runner) logHealth() {
	for _, event := range r.Gateway.TakeHealthEvents() {
		r.recoveryChanged = true
		line := r.Log.Info().Str("dest", event.Dest).Str("state", string(event.State)).Str("why", string(event.Reason))
		if event.Endpoint != "" {
			line = line.Str("endpoint", event.Endpoint)
		}
		if event.Result == decide.Delivered {
			line.Str("before", string(event.Previous)).Msg("health changed")
			r.Metrics.healthChanged(event.State)
			continue
		}
		line.Stringer("end", event.Result).Float64("sent_at", event.SentAt).Bool("dropped", event.Dropped).Msg("failure seen")
		r.Metrics.failureSeen(event.Reason)
	}
}

// logPushInRecovery logs each message of a call to a destination or route that is not healthy, with the limits that let the
// call go.
func (r *Runner) logPushInRecovery(e SendCall) {
	if e.Health.State == decide.Healthy {
		return
	}
	for _, m := range e.Call.Messages {
		withCallFields(r.Log.Info(), e.Call, m, push.CallResult{}).Str("state", string(e.Health.State)).Int("failures", e.Health.Failures).
			Float64("part", e.Health.Part).Float64("sent", e.Health.Sent).Float64("span", e.Health.Span).
			Float64("at", e.Call.sentAt).Msg("push to a recovering destination")
	}
	r.Metrics.recoveryPushSent(e.Health.State)
}

// logEvent logs an event for operators, and counts the ends of pushes in the metrics.
func (r *Runner) logEvent(e Event) {
	switch e := e.(type) {
	case CallEnded:
		r.traceCall(e.Call, "push ended", e.Result)
		for i, m := range e.Call.Messages {
			r.Metrics.pushEnded(e.Result.Ends[i])
			if end := e.Result.Ends[i]; end != push.Delivered {
				withCallFields(r.Log.Info(), e.Call, m, e.Result).Stringer("end", end).Float64("wait", e.Result.RetryAfter).
					Float64("after", r.Clock()-e.Call.placedAt).Msg("push not delivered")
			}
		}
	case Dialed:
		if e.Conn == nil {
			ids := make([]string, len(e.Call.Messages))
			for i, m := range e.Call.Messages {
				ids[i] = m.ID
				r.Metrics.pushEnded(e.End)
			}
			r.Log.Info().Str("endpoint", e.Call.Endpoint.ID).Str("dest", e.Call.Endpoint.Dest).Strs("ntfs", ids).
				Stringer("end", e.End).Msg("no connection for call")
		}
	case LateWait:
		r.Log.Info().Str("endpoint", e.Endpoint.ID).Str("dest", e.Endpoint.Dest).Float64("wait", e.Wait).
			Msg("endpoint told a wait after its call was given up")
	case NoticeAnswered:
		r.Log.Debug().Str("ntf", e.ID).Msg("notice answered")
	case Listed:
		if e.Full || len(e.Endpoints) > 0 || r.listFailureLogged {
			r.Log.Info().Bool("full", e.Full).Int("entries", len(e.Endpoints)).Msg("endpoint list updated")
		}
		r.listFailureLogged = false
	case ListLost:
		if !r.listFailureLogged {
			r.Log.Warn().Msg("endpoint list not available")
		}
		r.listFailureLogged = true
	case IntakeClosed:
		r.Log.Info().Int("held", r.Gateway.Pending()).Msg("shutdown: clients can no longer connect")
	case ExitDue:
		r.Log.Info().Int("held", r.Gateway.Pending()).Msg("shutdown: calls in flight are no longer waited for")
	case PushesStopped:
		r.Log.Info().Int("held", r.Gateway.Pending()).Msg("shutdown: no further push starts")
	}
}
