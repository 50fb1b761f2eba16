package soak

import (
	"context"
	"net"
	"time"
)

// The floods of idle connections.
const (
	// floodSize is the number of idle connections to one dispatcher. It exceeds the dispatcher's limit of file descriptors.
	floodSize = 150
	// floodHold is how long the connections stay open, and the time-out for connecting.
	floodHold = 1500 * time.Millisecond
	// floodInterval is the time between two connections.
	floodInterval = 4 * time.Millisecond
)

// floodConnections exhausts the file descriptors of a dispatcher with idle connections until ctx is done.
func floodConnections(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		var idle []net.Conn
		for range floodSize {
			if conn, err := net.DialTimeout("tcp", addr, floodHold); err == nil {
				idle = append(idle, conn)
			}
			if !sleep(ctx, floodInterval) {
				break
			}
		}
		sleep(ctx, floodHold)
		for _, conn := range idle {
			_ = conn.Close()
		}
	}
}

// sleep waits for d or until ctx is done, and reports whether it waited for d.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
