// Package loop gives the parts of a run their loopback addresses and their clock.
package loop

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Network is a part of the loopback range, 127.N.0.0/16, that one run has to itself. Its ports lie below those that
// outgoing connections get, so that a listener which closes for a while finds its address free.
type Network int

const (
	firstNetwork = 16
	networks     = 224
	tries        = 8
)

// found counts the networks that this process looked at: two runs of it never get the same.
var found atomic.Int64

// AcquireNetwork returns a network that no other run holds, and what gives it back. A listener of its own holds it: a run's agents are
// down at times, and another process that looked then would take the same addresses.
func AcquireNetwork() (Network, func(), error) {
	for range tries {
		n := Network(firstNetwork + (os.Getpid()*31+int(found.Add(1)))%networks)
		ln, err := net.Listen("tcp", n.held())
		if err == nil {
			return n, func() { _ = ln.Close() }, nil
		}
	}
	return 0, nil, fmt.Errorf("no free loopback network among %d: end the runs that still go on", tries)
}

// held is the address that holds the network for a run.
func (n Network) held() string { return fmt.Sprintf("127.%d.255.254:8499", n) }

// DispatcherAddr is the address of a dispatcher, counted from 0.
func (n Network) DispatcherAddr(i int) string { return fmt.Sprintf("127.%d.0.%d:8081", n, i+1) }

// AgentAddr is the address of a dispatcher's agent.
func (n Network) AgentAddr(i int) string { return fmt.Sprintf("127.%d.1.%d:8500", n, i+1) }

// MovedAgentAddr is where a dispatcher's agent is found once it has moved.
func (n Network) MovedAgentAddr(i int) string { return fmt.Sprintf("127.%d.1.%d:8500", n, i+101) }

// ProxyAddr is the address of what stands between clients and a dispatcher.
func (n Network) ProxyAddr(i int) string { return fmt.Sprintf("127.%d.1.%d:8081", n, i+201) }

// EndpointAddr is the address of a listener of endpoints.
func (n Network) EndpointAddr(listener int) string {
	const row = 250
	return fmt.Sprintf("127.%d.%d.%d:9000", n, 2+listener/row, 1+listener%row)
}

// Clock tells the seconds since a run began. Before that it stands at -1.
type Clock struct{ start atomic.Pointer[time.Time] }

// Start sets the clock going.
func (c *Clock) Start() {
	now := time.Now()
	c.start.Store(&now)
}

// Now is the time since the beginning.
func (c *Clock) Now() float64 {
	if start := c.start.Load(); start != nil {
		return time.Since(*start).Seconds()
	}
	return -1
}

// Until is how long it is until a moment; it may be past.
func (c *Clock) Until(at float64) time.Duration {
	return time.Duration((at - c.Now()) * float64(time.Second))
}
