package intake

import (
	"bytes"
	"io"
	"sync"
	"time"
)

// metricsInterval is the shortest time between two texts of the metrics. It bounds the core time of clients that ask for them at full
// speed, and how many texts wait to be sent.
const metricsInterval = 50 * time.Millisecond

// metricsPage makes the text of the metrics, one at a time, and shares it among the requests that come within metricsInterval.
type metricsPage struct {
	lock   sync.Mutex // guards the fields below
	madeAt time.Time  // when the last text was begun
	text   []byte     // never changed
}

// read returns the text, which write writes.
func (p *metricsPage) read(write func(io.Writer)) []byte {
	p.lock.Lock()
	defer p.lock.Unlock()
	if time.Since(p.madeAt) < metricsInterval {
		return p.text
	}
	p.madeAt = time.Now()
	var text bytes.Buffer
	write(&text)
	p.text = bytes.Clone(text.Bytes())
	return p.text
}
