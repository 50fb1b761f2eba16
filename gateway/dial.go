package gateway

import (
	"time"

	"orchiddrift/decide"
	"orchiddrift/push"
)

// dialResult is the result of one attempt to connect.
type dialResult struct {
	conn *push.Conn
	end  push.End      // if conn is nil
	took time.Duration // from the start of the attempt
}

// dial opens a connection with Dialer, or with the system's dialer if it is nil. The timeout is in seconds.
func (r *Runner) dial(addr string, timeout float64) (conn *push.Conn, end push.End) {
	if r.Dialer == nil {
		conn, end = push.Dial(addr, timeout)
	} else {
		conn, end = r.Dialer.Dial(addr, timeout)
	}
	if conn != nil {
		conn.UseBudget(r.Budget)
	}
	return conn, end
}

// tryDial attempts to connect, and passes the result to results.
func (r *Runner) tryDial(addr string, timeout float64, results chan<- dialResult) {
	start := time.Now()
	conn, end := r.dial(addr, timeout)
	results <- dialResult{conn, end, time.Since(start)}
}

// startSecondDial begins a second attempt to connect, and reports whether it did: not if decide.MaxSecondDials are under way.
func (r *Runner) startSecondDial(addr string, timeout float64, results chan<- dialResult) bool {
	if timeout <= 0 {
		return false
	}
	if r.secondDials.Add(1) > decide.MaxSecondDials {
		r.secondDials.Add(-1)
		return false
	}
	go func() {
		defer r.secondDials.Add(-1)
		r.tryDial(addr, timeout, results)
	}()
	return true
}

// dialForCall connects for a call and posts Dialed. If the connection is not up after AgainAfter, it dials a second one beside it
// and takes the one that comes up first; the other one is posted as SpareDialed if it comes up too. Both together take no longer
// than the timeout.
func (r *Runner) dialForCall(e Dial) {
	const attempts = 2
	results := make(chan dialResult, attempts)
	addr := e.Call.Endpoint.Addr
	go r.tryDial(addr, e.Timeout, results)
	again := time.NewTimer(time.Duration(e.AgainAfter * float64(time.Second)))
	defer again.Stop()
	open := 1
	for {
		select {
		case <-again.C:
			if r.startSecondDial(addr, e.Timeout-e.AgainAfter, results) {
				open++
			}
		case result := <-results:
			if open--; result.conn == nil && open > 0 {
				continue
			}
			r.Post(Dialed{Call: e.Call, Conn: result.conn, End: result.end, Took: result.took.Seconds()})
			if open > 0 {
				r.postSpare(e, <-results)
			}
			return
		}
	}
}

// postSpare posts a connection that came up after that of its call, if it did.
func (r *Runner) postSpare(e Dial, result dialResult) {
	if result.conn != nil {
		r.Post(SpareDialed{e.Call.Endpoint, result.conn})
	}
}
