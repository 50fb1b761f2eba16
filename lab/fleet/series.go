package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"

	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

// The shares of a series' signals: the rest are kills.
const (
	stallShare   = 0.2
	restartShare = 0.15
	longestStall = 0.8 // seconds
	longestDown  = 0.3
)

// series sends one dispatcher signals one after another, without waiting for a start to come to its end: its processes are
// killed, told to end and stalled at any moment of their lives. Which and when follows from the world's seed.
func (f *Fleet) series(ctx context.Context, p *process, t scenario.Trouble) {
	chance := rand.New(rand.NewPCG(f.world.Seed, uint64(p.number)<<32|uint64(t.At*1000)))
	var starts sync.WaitGroup
	defer starts.Wait()
	gap := t.Duration / float64(max(1, t.SignalCount))
	for range t.SignalCount {
		switch x := chance.Float64(); {
		case x < stallShare:
			f.stall(ctx, p, longestStall*chance.Float64())
		case x < stallShare+restartShare:
			f.term(p)
			f.ending(p)
		default:
			f.kill(p)
			f.ending(p)
		}
		if !pause(ctx, seconds(longestDown*chance.Float64())) {
			return
		}
		if f.ended(p) && !f.startSoon(ctx, p, &starts) {
			return
		}
		if !pause(ctx, seconds(2*gap*chance.Float64())) {
			return
		}
	}
}

// startSoon starts a dispatcher and goes on; whether it becomes ready is noted meanwhile.
func (f *Fleet) startSoon(ctx context.Context, p *process, starts *sync.WaitGroup) bool {
	cmd, ended, err := f.launch(p)
	if err != nil {
		f.life(p, record.Crashed, err.Error())
		return false
	}
	starts.Go(func() {
		if err := f.awaitReady(ctx, p, cmd, ended); err != nil && ctx.Err() == nil && !f.asked(p, cmd) {
			f.life(p, record.Crashed, err.Error())
		}
	})
	return true
}

// stall lets a dispatcher stand still for so many seconds.
func (f *Fleet) stall(ctx context.Context, p *process, s float64) {
	f.life(p, record.Stalled, "")
	f.signal(p, syscall.SIGSTOP, false)
	pause(ctx, seconds(s))
	f.signal(p, syscall.SIGCONT, false)
	f.life(p, record.Resumed, "")
}

// ended tells that a dispatcher's process is gone.
func (f *Fleet) ended(p *process) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}
