package gateway

import (
	"orchiddrift/permit"
	"orchiddrift/push"
)

// performCall sends a call and posts its result, and then any wait that the endpoint tells after the call was given up.
func (r *Runner) performCall(c *Call) {
	conn, result := c.Conn, r.send(c)
	r.Post(CallEnded{c, result})
	if !result.LateResponsePending {
		return
	}
	if wait := conn.ReadLateRetryAfter(); wait > 0 {
		r.Post(LateWait{c.Endpoint, wait})
	}
}

// send sends a call and waits for the response. The remaining time is computed again, since writing the records takes time
// and the process may have stalled. With an outdated budget, a push could be answered as delivered after the end of its
// TTL, and a repeat could be sent after the endpoint has discarded its idempotency key. The call is withdrawn if it has no
// time left or its latest start has passed. This is wrong if the TTLs were set by a clock that differs from this one.
func (r *Runner) send(c *Call) push.CallResult {
	now := r.Clock()
	if permit.StartCall(c.permitState(now)) != permit.Granted {
		result := push.UniformResult(len(c.Messages), push.Withdrawn)
		result.NotSent = true
		return result
	}
	c.Conn.WriteWithin(c.startBy - now)
	return c.Conn.Send(c.Messages, c.Remaining(now))
}
