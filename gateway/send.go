package gateway

import "orchiddrift/push"

func (r *Runner) dial(addr string, within float64) (*push.Conn, push.End) {
	if r.Dialer == nil {
		return push.Dial(addr, within)
	}
	return r.Dialer.Dial(addr, within)
}

// call sends a call and tells how it ended, and what was still told after that.
func (r *Runner) call(c *Call) {
	conn, a := c.Conn, r.send(c)
	r.Post(CallEnded{c, a})
	if !a.LateResponsePending {
		return
	}
	if wait := conn.ReadLateRetryAfter(); wait > 0 {
		r.Post(LateWait{c.Endpoint, wait})
	}
}

// send sends a call and waits for its answer, by the clock as it is now: writing the records took its time, or the process
// stood still. A call that told and kept more than it had left could end as delivered after a TTL in it, and a repeat
// could leave when its mark is forgotten. Where there is nothing left of its time, or its time to start is over, it is
// given back. It does harm where the clock of those who set the TTLs goes otherwise.
func (r *Runner) send(c *Call) push.CallResult {
	now := r.Clock()
	left := c.Remaining(now)
	if left < push.MinBudget || c.start < now {
		a := push.UniformResult(len(c.Messages), push.Withdrawn)
		a.Reusable = true
		return a
	}
	return c.Conn.Send(c.Messages, left)
}
