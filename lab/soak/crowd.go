package soak

import (
	"context"
	"net"
	"time"
)

const (
	crowdSize  = 150 // idle connections to one dispatcher: more than it has descriptors
	crowdRests = 1500 * time.Millisecond
	crowdStep  = 4 * time.Millisecond // between two connections
)

// crowd keeps a dispatcher's descriptors filled with clients that connect and say nothing, until the soak is over.
func crowd(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		var idle []net.Conn
		for range crowdSize {
			if conn, err := net.DialTimeout("tcp", addr, crowdRests); err == nil {
				idle = append(idle, conn)
			}
			if !rest(ctx, crowdStep) {
				break
			}
		}
		rest(ctx, crowdRests)
		for _, conn := range idle {
			_ = conn.Close()
		}
	}
}

// rest waits; it tells whether the soak still goes on.
func rest(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
