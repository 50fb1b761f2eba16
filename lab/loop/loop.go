// Package loop provides the loopback addresses and the clock that the parts of a run share.
package loop

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Network is the second octet N of a loopback network, 127.N.0.0/16, that one run has to itself. Its ports are below
// the ephemeral range, so that no outgoing connection can occupy the address of a listener that is closed for a while.
type Network int

const (
	firstNetwork = 16
	networkCount = 224
	maxTries     = 8
)

// candidates counts the networks that this process has tried, so that each attempt tries another network.
var candidates atomic.Int64

// AcquireNetwork returns a network that no other run uses, and a function that releases it. A dedicated listener
// reserves the network: a run's other listeners can be closed for a while, and would not prevent another process from
// taking the same addresses.
func AcquireNetwork() (Network, func(), error) {
	for range maxTries {
		n := Network(firstNetwork + (os.Getpid()*31+int(candidates.Add(1)))%networkCount)
		ln, err := net.Listen("tcp", n.lockAddr())
		if err == nil {
			return n, func() { _ = ln.Close() }, nil
		}
	}
	return 0, nil, fmt.Errorf("no free loopback network after %d attempts: stop other runs of the laboratory", maxTries)
}

// lockAddr returns the address whose listener reserves the network.
func (n Network) lockAddr() string { return fmt.Sprintf("127.%d.255.254:8499", n) }

// DispatcherAddr returns the address of a dispatcher. Dispatchers count from 0.
func (n Network) DispatcherAddr(i int) string { return fmt.Sprintf("127.%d.0.%d:8081", n, i+1) }

// AgentAddr returns the address of a dispatcher's agent.
func (n Network) AgentAddr(i int) string { return fmt.Sprintf("127.%d.1.%d:8500", n, i+1) }

// MovedAgentAddr returns the address of a dispatcher's agent after the agent has moved.
func (n Network) MovedAgentAddr(i int) string { return fmt.Sprintf("127.%d.1.%d:8500", n, i+101) }

// ProxyAddr returns the address of the proxy between clients and a dispatcher.
func (n Network) ProxyAddr(i int) string { return fmt.Sprintf("127.%d.1.%d:8081", n, i+201) }

// EndpointAddr returns the address of a listener of endpoints. Listeners count from 0.
func (n Network) EndpointAddr(listener int) string {
	const perSubnet = 250
	return fmt.Sprintf("127.%d.%d.%d:9000", n, 2+listener/perSubnet, 1+listener%perSubnet)
}

// Clock measures the seconds since a run began. Until Start is called Now returns -1.
type Clock struct{ start atomic.Pointer[time.Time] }

// Start starts the clock at 0.
func (c *Clock) Start() {
	now := time.Now()
	c.start.Store(&now)
}

// Now returns the seconds since Start, or -1 before it.
func (c *Clock) Now() float64 {
	if start := c.start.Load(); start != nil {
		return time.Since(*start).Seconds()
	}
	return -1
}

// Until returns the time until the given second of the run. It is negative if that is past.
func (c *Clock) Until(at float64) time.Duration {
	return time.Duration((at - c.Now()) * float64(time.Second))
}
