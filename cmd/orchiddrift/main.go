// Command orchiddrift is a dispatcher: it takes notifications from clients and pushes them to their partners'
// endpoints.
package main

import (
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/directory"
	"orchiddrift/gateway"
	"orchiddrift/intake"
	"orchiddrift/ledger"
	"orchiddrift/platform"
)

// A planned stop: clients are answered for so long after SIGTERM, then pushes go on, then those out may end.
const (
	answerFor = 500 * time.Millisecond
	pushFor   = 2 * time.Second
	endWithin = 1300 * time.Millisecond
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "orchiddrift:", err)
		os.Exit(1)
	}
}

func run() error {
	c, err := load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB * 1e6 / 2))
	log := zerolog.New(os.Stderr).With().Timestamp().Str("dispatcher", c.Name).Logger()

	dir := directory.New()
	module, err := c.values.Module(c.seed(), dir)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	batch, dial, tick := c.values.Batch(), c.values.Seconds("policy-limits.dial-timeout-ms"), c.values.Seconds("tick-ms")
	if err := c.values.Err(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	dir.Replace(c.Known.Endpoints())
	book, owed, err := ledger.Open(c.state, int(c.Limits.DiskMB*1e6))
	if err != nil {
		return err
	}

	clock := sinceStart()
	agent := platform.NewAgent(c.Discovery, c.Known.Version)
	r := &gateway.Runner{Gateway: gateway.New(module, dir, book.Room, batch, dial), Ledger: book, Platform: agent,
		Clock: clock, Tick: tick, Log: log, Events: make(chan gateway.Event, 1024)}
	log.Info().Int("owed", len(owed)).Int("listed", len(c.Known.Servers)).Msg("start")
	r.Restore(owed)
	go agent.SendNotices()
	if !c.values.Asked() {
		agent.Follow(r.Tell)
	}

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	server := intake.NewServer(clock, module.Knows, r.Tell, c.Limits.Sockets/2)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(c.Listen) }()
	stop := make(chan struct{})
	go func() {
		<-signals
		log.Info().Msg("stopping")
		r.Tell(gateway.Stopping{})
		time.Sleep(answerFor)
		close(stop)
	}()
	r.Run(stop)
	select {
	case err := <-failed:
		return err
	default:
	}
	_ = server.Close()
	return book.Close()
}

// sinceStart is a clock in Unix seconds that only moves forward.
func sinceStart() func() float64 {
	start := time.Now()
	base := float64(start.UnixNano()) / 1e9
	return func() float64 { return base + time.Since(start).Seconds() }
}
