// Package crowd simulates crowds of clients that make a dispatcher hold or do more than they are entitled to: they write slowly, stop
// half way through a request, send large heads and bodies, send at full speed on one connection, or leave without reading their answers.
package crowd

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/lab/loop"
	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

const (
	// dialTimeout is how long a client of a crowd waits for its connection.
	dialTimeout = time.Second
	// endTimeout is the time within which a dispatcher has to answer a bad client or close its connection: 3 s as the platform
	// requires, and half a second for a busy host.
	endTimeout = 3500 * time.Millisecond
	// dripBytes and dripInterval are what a slow writer sends at a time.
	dripBytes    = 2000
	dripInterval = 60 * time.Millisecond
	// maxPause is the longest pause of a client between two connections.
	maxPause = 50 * time.Millisecond
	// defaultClients is the number of clients of a trouble that names none.
	defaultClients = 100
)

// Crowd runs the crowds of a scenario.
type Crowd struct {
	World     *scenario.World
	Journal   *record.Journal
	Clock     *loop.Clock
	Addr      func(dispatcher int) string // address of a dispatcher
	requests  atomic.Int64                // requests so far, which number the IDs
	neglected atomic.Int64                // connections that got neither an answer nor their end in time
	running   sync.WaitGroup
}

// Start starts the crowds, which end by themselves or when ctx is done. It returns at once.
func (c *Crowd) Start(ctx context.Context) {
	for i, t := range c.World.Troubles {
		if !t.IsCrowd() {
			continue
		}
		for dispatcher := range c.World.Dispatchers.Count {
			if t.AppliesToDispatcher(dispatcher) {
				c.running.Go(func() { c.play(ctx, t, dispatcher, uint64(i)) })
			}
		}
	}
}

// Wait waits until all crowds have ended, and returns the number of connections that got neither an answer nor their end within
// endTimeout although their dispatcher was neither stopped nor started meanwhile.
func (c *Crowd) Wait() int {
	c.running.Wait()
	return int(c.neglected.Load())
}

// play runs the clients of a trouble against one dispatcher.
func (c *Crowd) play(ctx context.Context, t scenario.Trouble, dispatcher int, stream uint64) {
	select {
	case <-time.After(c.Clock.Until(t.At)):
	case <-ctx.Done():
		return
	}
	ctx, stop := context.WithTimeout(ctx, time.Duration(t.Duration*float64(time.Second)))
	defer stop()
	clients := t.Count
	if clients == 0 {
		clients = defaultClients
	}
	if t.Kind == scenario.Flood {
		clients = max(1, t.Count)
	}
	var group sync.WaitGroup
	for i := range clients {
		random := rand.New(rand.NewPCG(c.World.Seed+uint64(dispatcher)<<32, stream<<32+uint64(i)))
		v := &visitor{crowd: c, trouble: t, dispatcher: dispatcher, random: random}
		group.Go(func() { v.run(ctx) })
	}
	group.Wait()
}

// visitor is a client of a crowd.
type visitor struct {
	crowd      *Crowd
	trouble    scenario.Trouble
	dispatcher int
	random     *rand.Rand
}

// run connects and misbehaves again and again until ctx is done.
func (v *visitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		if conn, err := net.DialTimeout("tcp", v.crowd.Addr(v.dispatcher), dialTimeout); err == nil {
			release := context.AfterFunc(ctx, func() { _ = conn.Close() })
			v.visit(ctx, conn)
			release()
			_ = conn.Close()
		}
		sleep(ctx, time.Duration(v.random.Int64N(int64(maxPause))))
	}
}

// visit misbehaves on one connection.
func (v *visitor) visit(ctx context.Context, conn net.Conn) {
	switch v.trouble.Kind {
	case scenario.SlowWriters:
		v.drip(ctx, conn, v.largeRequest(v.random.IntN(2) == 0))
	case scenario.HalfRequests:
		text := v.largeRequest(v.random.IntN(4) == 0)
		v.stop(ctx, conn, text[:len(text)/2])
	case scenario.ManyFields:
		text := v.largeRequest(true)
		end := len(text) / 2
		if inHead := v.random.IntN(2) == 0; inHead {
			end = maxHead - 2 // within the last line of the head
		}
		v.stop(ctx, conn, text[:end])
	case scenario.WholeLarge:
		v.sendWhole(ctx, conn)
	case scenario.Flood:
		v.flood(ctx, conn)
	case scenario.LeaveUnread:
		v.leave(ctx, conn)
	case scenario.PipelinedLarge:
		v.pipelineLarge(conn)
	case scenario.AnswersUnread:
		v.writeUnread(ctx, conn, v.unsoundRequests())
	case scenario.MetricsFlood:
		v.writeUnread(ctx, conn, []byte(strings.Repeat(metricsRequest, requestsPerWrite)))
	}
}

// drip writes a request a little at a time, and then waits for its answer.
func (v *visitor) drip(ctx context.Context, conn net.Conn, text string) {
	startedAt := time.Now()
	for len(text) > 0 && ctx.Err() == nil {
		n := min(dripBytes, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return // it was closed
		}
		text = text[n:]
		if endedByPeer(conn) {
			return
		}
		sleep(ctx, dripInterval)
	}
	v.awaitEnd(ctx, conn, startedAt)
}

// stop writes a part of a request and stays.
func (v *visitor) stop(ctx context.Context, conn net.Conn, part string) {
	startedAt := time.Now()
	_ = conn.SetWriteDeadline(startedAt.Add(endTimeout))
	if _, err := io.WriteString(conn, part); err != nil {
		return
	}
	v.awaitEnd(ctx, conn, startedAt)
}

// awaitEnd waits for an answer or the end of a connection, and records if neither comes in time.
func (v *visitor) awaitEnd(ctx context.Context, conn net.Conn, startedAt time.Time) {
	_ = conn.SetReadDeadline(startedAt.Add(endTimeout))
	_, err := conn.Read(make([]byte, 1))
	if ctx.Err() == nil && os.IsTimeout(err) && v.servedSince(startedAt) {
		v.crowd.neglected.Add(1)
	}
}

// servedSince reports whether the visitor's dispatcher has been running since a time, with no signal.
func (v *visitor) servedSince(startedAt time.Time) bool {
	from := v.crowd.Clock.Now() - time.Since(startedAt).Seconds()
	undisturbed := true
	v.crowd.Journal.WithLock(func() {
		for _, event := range v.crowd.Journal.ProcessEvents {
			if event.Dispatcher == v.dispatcher && event.At >= from && event.Kind != record.LimitExceeded {
				undisturbed = false
			}
		}
	})
	return undisturbed
}

// endedByPeer reports whether the other side has answered or ended a connection, without waiting.
func endedByPeer(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Microsecond))
	n, err := conn.Read(make([]byte, 1))
	return n > 0 || !os.IsTimeout(err)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
