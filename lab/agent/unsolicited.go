package agent

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"orchiddrift/lab/behaviour"
	"orchiddrift/lab/scenario"
)

// recordingListener is a listener whose connections record the answers that are written to them.
type recordingListener struct{ net.Listener }

// Accept returns the next connection.
func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: conn, history: behaviour.NewAnswerHistory(conn)}, nil
}

// recordingConn is a connection that records the answer that is being written.
type recordingConn struct {
	net.Conn
	history *behaviour.AnswerHistory
	mu      sync.Mutex
	answer  []byte // guarded by mu
}

// Write writes and records bytes of an answer.
func (c *recordingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.answer = append(c.answer, b...)
	c.mu.Unlock()
	return c.history.Write(b)
}

// takeAnswer returns the bytes that were written since it was last called.
func (c *recordingConn) takeAnswer() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := c.answer
	c.answer = nil
	return answer
}

// follower writes, after an agent's answers, what nobody asked for. mu guards random.
type follower struct {
	agents     *Agents
	dispatcher int
	mu         sync.Mutex
	random     *rand.Rand
}

// newFollower returns the follower of a dispatcher's agent.
func (a *Agents) newFollower(dispatcher int) *follower {
	return &follower{agents: a, dispatcher: dispatcher, random: rand.New(rand.NewPCG(a.world.Seed, unsolicitedStream<<32|uint64(dispatcher)))}
}

// The random streams of an agent.
const (
	unsolicitedStream = iota + 201
	lostStream
)

// connState is called by the server when a connection changes its state. A connection that becomes idle has been answered.
func (f *follower) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*recordingConn)
	if !ok || state != http.StateIdle {
		return
	}
	c.history.Answered(c.takeAnswer())
	c.history.WriteLater(f.draw())
}

// draw returns what follows an answer that was written now.
func (f *follower) draw() (list []behaviour.Unsolicited) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.agents.world.ActiveTroubles(f.dispatcher, f.agents.clock.Now(), scenario.AgentCopies, scenario.AgentStrays) {
		list = append(list, behaviour.DrawUnsolicited(t, t.Kind == scenario.AgentCopies, f.random)...)
	}
	return list
}

// losesNotices reports whether a request with notices that has come now is ignored.
func (a *Agents) losesNotices(dispatcher int) bool {
	a.lostMu.Lock()
	defer a.lostMu.Unlock()
	for _, t := range a.world.ActiveTroubles(dispatcher, a.clock.Now(), scenario.AgentLost) {
		if a.lost.Float64() < t.Share {
			return true
		}
	}
	return false
}
