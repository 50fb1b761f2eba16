// Package dispatcher assembles a dispatcher from its configuration and runs it. A dispatcher accepts notifications from
// clients and pushes them to partners' endpoints.
package dispatcher

import (
	"bytes"
	"errors"
	"math"
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
)

// Phases of a graceful stop, counted from SIGTERM: clients are accepted until stopIntakeAfter, pushes start until
// stopPushesAfter, and pushes that are still out may end until exitAfter.
const (
	stopIntakeAfter = 500 * time.Millisecond
	stopPushesAfter = 2200 * time.Millisecond
	exitAfter       = 3400 * time.Millisecond
)

// firstListTimeout is how long after the start pushes wait for the first list from discovery.
const firstListTimeout = 500 * time.Millisecond

// eventQueueSize is the maximum number of events queued for the gateway's loop.
const eventQueueSize = 1024

// Run runs a dispatcher on the host until SIGTERM, SIGINT or an error. It reads the ROUTER_ variables with getenv and
// logs as logOptions say.
func Run(getenv func(string) string, logOptions LogOptions) error {
	return RunOn(HostSystem(getenv), logOptions)
}

// RunOn runs a dispatcher on a system until SIGTERM, SIGINT or an error. It returns nil after a stop by a signal.
func RunOn(system System, logOptions LogOptions) error {
	// Signals are handled before anything else: a SIGHUP may arrive as soon as the process exists and would terminate it.
	// One that arrives during the start reloads the configuration afterwards.
	stopSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stopSignals)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)

	signal.Ignore(syscall.SIGPIPE) // otherwise a closed log pipe terminates the process
	start := &starter{stopSignals: stopSignals, log: logOptions.logger().With().Timestamp().Logger(), startedAt: time.Now()}

	var cfg *config
	err := start.retry("configuration", func() (err error) { cfg, err = loadConfig(system); return err })
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
	start.enableLog(log)
	dir.Replace(cfg.Known.Endpoints())
	var state *persistentState
	if err := start.retry("folder", func() (err error) { state, err = openState(system, cfg, log); return err }); err != nil {
		return ignoreStopped(err)
	}
	defer state.folder.Close()

	agent := platform.NewAgent(cfg.Discovery, cfg.Known.Version, log)
	runner := &gateway.Runner{Gateway: gateway.New(parts.scheduler, dir, state.ledger.HasRoom, parts.separateRoutes, parts.batchSizes, parts.dialTimeout), Ledger: state.ledger,
		Platform: agent, Clock: state.clock, Tick: parts.tick, Log: log, Events: make(chan gateway.Event, eventQueueSize),
		WritePerEvent: cfg.Ledger.Sync == syncAlways, Dialer: push.Dialer(system.Dial), Metrics: gateway.NewMetrics()}
	invariants := &invariant.Counters{Log: log, Strict: system.PanicOnViolation}
	firstListBy := state.clock() + firstListTimeout.Seconds()
	runner.Gateway.SetSendChecker(invariant.NewSendChecker(invariants, invariant.Margins{DrainGrace: parts.drainGrace, KeyHold: parts.scheduler.KeyCooldown()}, firstListBy))
	log.Info().Int("owed", len(state.pending)).Int("taken_over", state.report.Migrated).Int("listed", len(cfg.Known.Servers)).Msg("start")
	runner.Gateway.AdvanceCallID(state.ledger.LastCallNumber())
	runner.Gateway.AwaitFirstList(firstListBy)
	runner.Restore(state.pending)
	go agent.SendNotices()
	if !cfg.values.ListOnDemand() {
		agent.WatchForever(runner.Post)
	}
	go watchReloads(reloadSignals, system, cfg, agent, log)
	ln, err := system.Listen(cfg.Listen)
	if err != nil && !isTransient(err) {
		return err
	}
	if err == nil {
		start.recordStep("listener")
	}
	server := intake.NewServer(state.clock, parts.scheduler.TTL, runner.Post, descriptorLimit(cfg.Limits.Sockets)/2, log)
	server.SetMetrics(invariants, runner.Metrics.Write)
	done, failed := make(chan struct{}), make(chan error, 1)
	stopLoop := sync.OnceFunc(func() { close(done) })
	fail := func(err error) {
		failed <- err
		stopLoop()
	}
	go func() {
		// The address may become available only after seconds. Pending notifications are pushed in the meantime.
		if ln == nil {
			err = start.retry("listener", func() (err error) { ln, err = system.Listen(cfg.Listen); return err })
		}
		switch {
		case errors.Is(err, errStoppedDuringStart):
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

// ignoreStopped returns err, or nil if the start was interrupted by a stop signal.
func ignoreStopped(err error) error {
	if errors.Is(err, errStoppedDuringStart) {
		return nil
	}
	return err
}

// stop carries out a graceful stop.
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
	stopLoop()
}

// A configuration that cannot be read or is incomplete is read again every reloadRetryInterval until reloadRetryFor has
// passed or the next SIGHUP arrives.
const (
	reloadRetryFor      = 3 * time.Second
	reloadRetryInterval = 100 * time.Millisecond
)

// watchReloads reloads the configuration on each SIGHUP. An invalid configuration changes nothing.
func watchReloads(signals <-chan os.Signal, system System, old *config, agent *platform.Agent, log zerolog.Logger) {
	for range signals {
		startedAt := time.Now()
		err := reload(system, old, agent, log)
		if err != nil {
			log.Error().Err(err).Dur("again_for", reloadRetryFor).Msg("configuration not reloaded; keeping the current one")
		}
		for err != nil && time.Since(startedAt) < reloadRetryFor && len(signals) == 0 {
			time.Sleep(reloadRetryInterval)
			err = reload(system, old, agent, log)
		}
	}
}

// reload reads the configuration again and applies the discovery address. All other changes need a restart.
func reload(system System, old *config, agent *platform.Agent, log zerolog.Logger) error {
	cfg, err := loadConfig(system)
	if err != nil {
		return err
	}
	if _, err := cfg.build(directory.New()); err != nil {
		return err
	}
	moved := agent.SetAddr(cfg.Discovery)
	log.Info().Str("discovery", cfg.Discovery).Bool("moved", moved).Msg("configuration reloaded")
	if cfg.Name != old.Name || cfg.Listen != old.Listen || cfg.state != old.state || cfg.Limits != old.Limits || cfg.Ledger != old.Ledger ||
		!bytes.Equal(cfg.Settings, old.Settings) {
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
