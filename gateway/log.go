package gateway

import (
	"github.com/rs/zerolog"

	"orchiddrift/ledger"
	"orchiddrift/message"
	"orchiddrift/push"
)

// trace follows messages by their ids through their pushes, delivered ones too, where the log's level asks for it.
func (r *Runner) trace(c *Call, text string, a push.CallResult) {
	if r.Log.GetLevel() > zerolog.DebugLevel {
		return
	}
	for i, m := range c.Messages {
		line := about(r.Log.Debug(), c, m, a).Float64("since_placed", r.Clock()-c.placed).Float64("call_left", c.until-r.Clock())
		if len(a.Ends) > 0 {
			line = line.Stringer("end", a.Ends[i])
		}
		if len(a.RawPrefix) > 0 {
			line = line.Bytes("raw", a.RawPrefix)
		}
		line.Msg(text)
	}
}

// about starts a line on a message's push: which, where to, and what the endpoint reported of its limit.
func about(line *zerolog.Event, c *Call, m *message.Message, a push.CallResult) *zerolog.Event {
	if a.HasLoadReport {
		line = line.Float64("share", a.LoadShare).Float64("limit", a.LoadLimit)
	}
	if c.ID > 0 {
		line = line.Uint64("call", c.ID)
	}
	return line.Str("ntf", m.ID).Str("topic", m.Topic).Str("dest", m.Dest).Str("endpoint", c.Endpoint.ID)
}

// logOwed tells of each message that a process before left behind what the ledger says of it, so that a log can be laid beside
// the log of that process and beside "orchiddrift ledger inspect".
func (r *Runner) logOwed(owed []ledger.Pending) {
	now := r.Clock()
	for _, o := range owed {
		m := o.Message
		line := r.Log.Info().Str("ntf", m.ID).Str("topic", m.Topic).Str("dest", m.Dest).Int("pushes", m.Pushes).
			Float64("left", m.ExpiresAt-now).Stringer("state", o.State())
		if o.LastCall.End != ledger.EndNone {
			line = line.Uint64("last_call", o.LastCall.Number).Float64("last_began", o.LastCall.StartedAt).Str("last_to", o.LastCall.Endpoint).Str("last_end", string(o.LastCall.End))
		}
		if m.RanAt > 0 {
			line = line.Uint64("ran_call", m.RanCall).Float64("ran_at", m.RanAt).Float64("ran_ago", now-m.RanAt).
				Str("ran_to", m.RanTo).Str("ran_zone", m.RanZone)
		}
		if o.Notice != nil {
			line = line.Str("notice", o.Notice.Outcome)
		}
		line.Msg("owed")
		r.Metrics.owed(o.State())
	}
}

// logRepeats tells of each message in a call whose earlier call may have run how long ago that was and where it is known.
func (r *Runner) logRepeats(b SendCall) {
	for _, x := range b.Repeats {
		r.Log.Info().Str("ntf", x.ID).Uint64("call", b.Call.ID).Str("endpoint", b.Call.Endpoint.ID).Float64("since_first", x.SinceFirst).
			Str("group", x.Group).Str("zone", x.Zone).Str("endpoint_zone", b.Call.Endpoint.Zone).Msg("repeat")
		r.Metrics.repeated()
	}
}

// log writes the lines that on-call staff read.
func (r *Runner) log(e Event) {
	switch e := e.(type) {
	case CallEnded:
		r.trace(e.Call, "push ended", e.Answer)
		for i, m := range e.Call.Messages {
			r.Metrics.ended(e.Answer.Ends[i])
			if end := e.Answer.Ends[i]; end != push.Delivered {
				about(r.Log.Info(), e.Call, m, e.Answer).Stringer("end", end).Float64("wait", e.Answer.RetryAfter).
					Float64("after", r.Clock()-e.Call.placed).Msg("push not delivered")
			}
		}
	case Dialed:
		if e.Conn == nil {
			ids := make([]string, len(e.Call.Messages))
			for i, m := range e.Call.Messages {
				ids[i] = m.ID
				r.Metrics.ended(e.End)
			}
			r.Log.Info().Str("endpoint", e.Call.Endpoint.ID).Str("dest", e.Call.Endpoint.Dest).Strs("ntfs", ids).
				Stringer("end", e.End).Msg("no connection")
		}
	case LateWait:
		r.Log.Info().Str("endpoint", e.Endpoint.ID).Str("dest", e.Endpoint.Dest).Float64("wait", e.Wait).Msg("wait told late")
	case NoticeAnswered:
		r.Log.Debug().Str("ntf", e.ID).Msg("notice answered")
	case Listed:
		if e.Full || len(e.Endpoints) > 0 || r.listLost {
			r.Log.Info().Bool("full", e.Full).Int("entries", len(e.Endpoints)).Msg("list")
		}
		r.listLost = false
	case ListLost:
		if !r.listLost {
			r.Log.Warn().Msg("list not told")
		}
		r.listLost = true
	case IntakeClosed:
		r.Log.Info().Int("held", r.Gateway.Pending()).Msg("no client comes any more")
	case PushesStopped:
		r.Log.Info().Int("held", r.Gateway.Pending()).Msg("no push starts any more")
	}
}
