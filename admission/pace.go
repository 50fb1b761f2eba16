package admission

import "sync"

// Pace limits how much work a process does in a second for requests that bring no message: all clients that send them share it, so that
// together they leave the processor to the others. A nil Pace limits nothing. It may be used concurrently.
type Pace struct {
	bytesPerSecond float64
	lock           sync.Mutex // guards nextAt
	nextAt         float64    // when the next bytes may be read, in seconds
}

const (
	// pacePerCore is how many bytes of such requests are read in a second by a whole core.
	pacePerCore = 8_000_000
	// paceBurst is how many seconds of unused work may be made up for.
	paceBurst = 0.02
	// maxPaceDelay is the longest delay, in seconds.
	maxPaceDelay = 0.1
	// RequestCost is what a request costs beside the bytes of its body.
	RequestCost = 4 << 10
)

// NewPace returns the pace of a process with a part of a core, or several.
func NewPace(cores float64) *Pace { return &Pace{bytesPerSecond: pacePerCore * min(1, cores)} }

// Delay returns how long to wait, in seconds, after work for a number of bytes at a time, in seconds.
func (p *Pace) Delay(now float64, bytes int) float64 {
	if p == nil {
		return 0
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.nextAt = min(max(p.nextAt, now-paceBurst)+float64(bytes)/p.bytesPerSecond, now+maxPaceDelay)
	return max(0, p.nextAt-now)
}
