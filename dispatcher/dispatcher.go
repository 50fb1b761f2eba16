// Package dispatcher assembles a dispatcher from its configuration and runs it. A dispatcher accepts notifications from
// clients and pushes them to partners' endpoints.
package dispatcher

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/directory"
	"orchiddrift/gateway"
	"orchiddrift/intake"
	"orchiddrift/invariant"
	"orchiddrift/platform"
	"orchiddrift/push"
	"orchiddrift/sock"
	"orchiddrift/syserr"
)

// Phases of a graceful stop, counted from SIGTERM or SIGINT: notifications are accepted until stopIntakeAfter, pushes start
// until stopPushesAfter, and pushes that are still out may end until exitAfter. Requests without an answer, and records that are
// not written, hold the process until abandonAfter.
const (
	stopIntakeAfter = 500 * time.Millisecond
	stopPushesAfter = 2200 * time.Millisecond
	exitAfter       = 3400 * time.Millisecond
	abandonAfter    = 30 * time.Second
)

// firstListTimeout is the maximum time after the start for which pushes wait for the first list from discovery.
const firstListTimeout = 500 * time.Millisecond

// eventQueueSize is the maximum number of events queued for the gateway's loop.
const eventQueueSize = 1024

// Run runs a dispatcher on the host until SIGTERM, SIGINT or an error. It reads the ROUTER_ variables with getenv. It
// returns nil after a stop by a signal.
func Run(getenv func(string) string, logOptions LogOptions) error {
	return RunOn(HostSystem(getenv), logOptions)
}

// RunOn runs a dispatcher on a system until SIGTERM, SIGINT or an error. It returns nil after a stop by a signal.
func RunOn(system System, logOptions LogOptions) error {
	// Signal handling is set up first, because a SIGHUP may arrive as soon as the process exists and would terminate it.
	// A SIGHUP that arrives during the start reloads the configuration afterwards.
	stopSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stopSignals)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)

	signal.Ignore(syscall.SIGPIPE) // otherwise a closed log pipe terminates the process
	startup := &startupSequence{stopSignals: stopSignals, log: logOptions.logger().With().Timestamp().Logger(), startedAt: time.Now()}

	var cfg *config
	err := startup.retry("configuration", func() (err error) { cfg, err = loadConfig(system); return err })
	if err != nil {
		return ignoreStopped(err)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * 1e6 / 2))
	log := logOptions.logger().With().Timestamp().Str("dispatcher", cfg.Name).Logger()

	dir := directory.New()
	parts, err := cfg.build(dir)
	if err != nil {
		return err
	}
	startup.enableLog(log)
	dir.Replace(cfg.Known.Endpoints())
	var state *persistentState
	err = startup.retry("folder", func() (err error) {
		state, err = openState(system, cfg, log, time.Since(startup.startedAt) > clockRetryTimeout)
		return err
	})
	if err != nil {
		return ignoreStopped(err)
	}
	defer state.folder.Close()

	systemErrors := syserr.NewRecorder(log)
	agent := platform.NewAgent(cfg.Discovery, cfg.Known.Version, log)
	agent.SetDialer(retryingDialer(system.DialAgent, systemErrors, syserr.AgentDial, syserr.AgentRead, syserr.AgentWrite))
	runner := &gateway.Runner{Gateway: gateway.New(parts.scheduler, dir, state.ledger.HasRoom, parts.separateRoutes,
		parts.batchSizes, parts.dialTimeout),
		Ledger: state.ledger, Platform: agent, Clock: state.clock, Tick: parts.tick, Log: log, Events: make(chan gateway.Event, eventQueueSize),
		WritePerEvent: cfg.Ledger.Sync == syncAlways, Dialer: retryingDialer(system.Dial, systemErrors, syserr.Dial, syserr.EndpointRead, syserr.EndpointSend), Metrics: gateway.NewMetrics()}
	invariants := &invariant.Counters{Log: log, Strict: system.PanicOnViolation}
	runner.Errors = systemErrors
	runner.Replies = invariant.NewReplyChecker(invariants)
	firstListBy := state.clock() + firstListTimeout.Seconds()
	runner.Gateway.SetSendChecker(invariant.NewSendChecker(invariants,
		invariant.Margins{DrainGrace: parts.drainGrace, KeyHold: parts.scheduler.KeyCooldown()}, firstListBy))
	log.Info().Int("owed", len(state.pending)).Int("taken_over", state.report.MigratedRecords).Int("listed", len(cfg.Known.Servers)).Msg("start")
	runner.Gateway.AdvanceCallID(state.ledger.LastCallNumber())
	runner.Gateway.AwaitFirstList(firstListBy)
	runner.Restore(state.pending)
	go agent.SendNotices()
	if !cfg.values.ListOnDemand() {
		agent.WatchForever(runner.Post)
	}
	go watchReloads(reloadSignals, system, cfg, agent, systemErrors, log)
	ln, err := system.Listen(cfg.Listen)
	if err != nil && !isTransient(err) {
		return err
	}
	if err == nil {
		startup.recordStep("listener")
	}
	server := intake.NewServer(state.clock, parts.scheduler.TopicTTL, runner.Post, descriptorLimit(cfg.Limits.Sockets)/2, log)
	server.SetErrorRecorder(systemErrors)
	server.SetMetrics(invariants, func(w io.Writer) {
		runner.Metrics.Write(w)
		systemErrors.Write(w)
	})
	done, failed := make(chan struct{}), make(chan error, 1)
	stopLoop := sync.OnceFunc(func() { close(done) })
	fail := func(err error) {
		failed <- err
		stopLoop()
	}
	go func() {
		// Listening may fail for some seconds if the address is still in use. Pending notifications are pushed meanwhile.
		if ln == nil {
			err = startup.retry("listener", func() (err error) { ln, err = system.Listen(cfg.Listen); return err })
		}
		switch {
		case errors.Is(err, errStoppedDuringStartup):
		case err != nil:
			fail(err)
			return
		default:
			go func() {
				if err := server.Serve(ln); err != nil {
					fail(err)
				}
			}()
			<-stopSignals
		}
		log.Info().Msg("stopping")
		stop(server, runner, stopLoop)
	}()
	runner.Run(done)
	log.Info().Int("held", runner.Gateway.Pending()).Msg("end")
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// retryingDialer returns a dialer whose connections try failed calls again, and that records failed dials and calls.
func retryingDialer(dial func(string, time.Duration) (net.Conn, error), errs *syserr.Recorder, dialCall, readCall, writeCall syserr.Call) push.Dialer {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		conn, err := dial(address, timeout)
		if err != nil {
			if syserr.Local(err) {
				errs.Failed(dialCall, address, err)
			}
			return nil, err
		}
		return sock.NewRetryingConn(conn, errs, readCall, writeCall), nil
	}
}

// ignoreStopped returns err, or nil if the start was interrupted by a stop signal.
func ignoreStopped(err error) error {
	if errors.Is(err, errStoppedDuringStartup) {
		return nil
	}
	return err
}

// stop carries out the phases of a graceful stop. It returns after abandonAfter.
func stop(server *intake.Server, runner *gateway.Runner, stopLoop func()) {
	startedAt := time.Now()
	server.DisableKeepAlives()
	time.Sleep(stopIntakeAfter - time.Since(startedAt))
	go func() {
		_ = server.Close() // waits for requests that are still being answered
		runner.Post(gateway.IntakeClosed{})
	}()
	time.Sleep(stopPushesAfter - time.Since(startedAt))
	runner.Post(gateway.PushesStopped{})
	time.Sleep(exitAfter - time.Since(startedAt))
	runner.Post(gateway.ExitDue{})
	time.Sleep(abandonAfter - time.Since(startedAt))
	stopLoop()
}

// After a SIGHUP, a configuration that is invalid, such as an incomplete file, is read again every reloadRetryInterval until
// reloadRetryTimeout has passed or the next SIGHUP arrives. One that cannot be read for an error that may pass is read again until
// the next SIGHUP, or it can be read.
const (
	reloadRetryTimeout  = 3 * time.Second
	reloadRetryInterval = 100 * time.Millisecond
)

// watchReloads reloads the configuration on each SIGHUP. An invalid configuration changes nothing. initial is the
// configuration at the start.
func watchReloads(signals <-chan os.Signal, system System, initial *config, agent *platform.Agent, errs *syserr.Recorder, log zerolog.Logger) {
	for range signals {
		startedAt := time.Now()
		err := reload(system, initial, agent, log)
		if err != nil {
			log.Error().Err(err).Dur("again_for", reloadRetryTimeout).Msg("configuration not reloaded; keeping the current one")
		}
		for err != nil && len(signals) == 0 && (isTransient(err) || time.Since(startedAt) < reloadRetryTimeout) {
			if isTransient(err) {
				errs.Failed(syserr.ConfigRead, initial.Name, err)
			}
			time.Sleep(reloadRetryInterval)
			err = reload(system, initial, agent, log)
		}
		if err != nil {
			log.Error().Err(err).Float64("after", time.Since(startedAt).Seconds()).Msg("configuration given up until the next SIGHUP")
		}
	}
}

// reload reads the configuration again and applies the discovery address. Other changes need a restart: it logs a warning
// if the configuration differs from initial in any of them.
func reload(system System, initial *config, agent *platform.Agent, log zerolog.Logger) error {
	cfg, err := loadConfig(system)
	if err != nil {
		return err
	}
	if _, err := cfg.build(directory.New()); err != nil {
		return err
	}
	moved := agent.SetAddr(cfg.Discovery)
	log.Info().Str("discovery", cfg.Discovery).Bool("moved", moved).Msg("configuration reloaded")
	if cfg.Name != initial.Name || cfg.Listen != initial.Listen || cfg.stateDir != initial.stateDir || cfg.Limits != initial.Limits ||
		cfg.Ledger != initial.Ledger || !bytes.Equal(cfg.Settings, initial.Settings) {
		log.Warn().Msg("configuration changes other than discovery need a restart")
	}
	return nil
}

// descriptorLimit returns the number of file descriptors that the process may hold: the configured one, or the
// RLIMIT_NOFILE soft limit if that is lower.
func descriptorLimit(configured int) int {
	var rlimit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit) != nil || rlimit.Cur > uint64(configured) {
		return configured
	}
	return int(rlimit.Cur)
}
