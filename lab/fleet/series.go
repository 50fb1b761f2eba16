package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"

	"orchiddrift/lab/record"
	"orchiddrift/lab/scenario"
)

// The parameters of a series. Signals that are neither stalls nor restarts are kills.
const (
	stallShare      = 0.2  // of all signals
	restartShare    = 0.15 // of all signals
	maxStallSeconds = 0.8
	maxDownSeconds  = 0.3 // pause before the dispatcher is started again
)

// injectSeries sends one dispatcher a series of signals without waiting until each new process is ready, so that
// processes are killed, terminated and stalled at any point of their lifetime, start-up included. The world's seed
// determines the signals and their times.
func (f *Fleet) injectSeries(ctx context.Context, p *process, t scenario.Trouble) {
	rng := rand.New(rand.NewPCG(f.world.Seed, uint64(p.index)<<32|uint64(t.At*1000)))
	var starts sync.WaitGroup
	defer starts.Wait()
	meanGap := t.Duration / float64(max(1, t.SignalCount))
	for range t.SignalCount {
		switch x := rng.Float64(); {
		case x < stallShare:
			f.stall(ctx, p, maxStallSeconds*rng.Float64())
		case x < stallShare+restartShare:
			f.terminate(p)
			f.waitStopped(p)
		default:
			f.kill(p)
			f.waitStopped(p)
		}
		if !sleep(ctx, secondsToDuration(maxDownSeconds*rng.Float64())) {
			return
		}
		if f.hasExited(p) && !f.startAsync(ctx, p, &starts) {
			return
		}
		if !sleep(ctx, secondsToDuration(2*meanGap*rng.Float64())) {
			return
		}
	}
}

// startAsync launches a dispatcher and reports whether that worked. It does not wait until the process is ready: a
// goroutine in starts records a process that does not become ready.
func (f *Fleet) startAsync(ctx context.Context, p *process, starts *sync.WaitGroup) bool {
	cmd, exited, err := f.launch(p)
	if errors.Is(err, errStopped) {
		return false
	}
	if err != nil {
		f.recordEvent(p, record.Crashed, err.Error())
		return false
	}
	starts.Go(func() {
		if err := f.waitReady(ctx, p, cmd, exited); err != nil && ctx.Err() == nil && !f.stoppedOrReplaced(p, cmd) {
			f.recordEvent(p, record.Crashed, err.Error())
		}
	})
	return true
}

// stall suspends a dispatcher's process with SIGSTOP for s seconds.
func (f *Fleet) stall(ctx context.Context, p *process, s float64) {
	f.recordEvent(p, record.Stalled, "")
	f.signal(p, syscall.SIGSTOP, false)
	sleep(ctx, secondsToDuration(s))
	f.signal(p, syscall.SIGCONT, false)
	f.recordEvent(p, record.Resumed, "")
}

// hasExited reports whether a dispatcher's process has exited.
func (f *Fleet) hasExited(p *process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}
