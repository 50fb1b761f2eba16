// Package dispatcher wires a dispatcher from its configuration and runs it: it takes notifications from clients and
// pushes them to their partners' endpoints.
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

// A planned stop, counted from SIGTERM: clients are taken in until the first moment, pushes start until the
// second, and those out may end until the third.
const (
	clientsUntil = 500 * time.Millisecond
	startsUntil  = 2200 * time.Millisecond
	endsUntil    = 3400 * time.Millisecond
)

// firstWord is how long after the start a push waits for discovery's first word.
const firstWord = 500 * time.Millisecond

// events is how many events may wait for the gateway's loop.
const events = 1024

// Run serves on this machine until SIGTERM, SIGINT or an error; getenv gives the ROUTER_ variables, and the log goes to
// logs as told by its format and level.
func Run(getenv func(string) string, logs LogOptions) error { return RunOn(HostSystem(getenv), logs) }

// RunOn serves on a system until SIGTERM, SIGINT or an error.
func RunOn(system System, logs LogOptions) error {
	// Before all else: until then SIGHUP, which may come as soon as the process is there, would end it. A configuration
	// read before one came is read again.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stops)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)

	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more ends no process
	start := &starter{stops: stops, log: logs.logger().With().Timestamp().Logger(), begun: time.Now()}

	var c *config
	err := start.try("configuration", func() (err error) { c, err = load(system); return err })
	if err != nil {
		return ended(err)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB * 1e6 / 2))
	log := logs.logger().With().Timestamp().Str("dispatcher", c.Name).Logger()

	dir := directory.New()
	p, err := c.parts(dir)
	if err != nil {
		return err
	}
	start.tell(log)
	dir.Replace(c.Known.Endpoints())
	var kept *kept
	if err := start.try("folder", func() (err error) { kept, err = openKept(system, c, log); return err }); err != nil {
		return ended(err)
	}
	defer kept.folder.Close()

	agent := platform.NewAgent(c.Discovery, c.Known.Version, log)
	r := &gateway.Runner{Gateway: gateway.New(p.module, dir, kept.ledger.HasRoom, p.apart, p.batch, p.dial), Ledger: kept.ledger,
		Platform: agent, Clock: kept.clock, Tick: p.tick, Log: log, Events: make(chan gateway.Event, events),
		WritePerEvent: c.Ledger.Sync == syncAlways, Dialer: push.Dialer(system.Dial), Metrics: gateway.NewMetrics()}
	invariants := &invariant.Counters{Log: log, Strict: system.PanicOnViolation}
	listBy := kept.clock() + firstWord.Seconds()
	r.Gateway.SetSendChecker(invariant.NewSendChecker(invariants, invariant.Margins{DrainGrace: p.grace, KeyHold: p.module.KeyCooldown()}, listBy))
	log.Info().Int("owed", len(kept.owed)).Int("taken_over", kept.found.Migrated).Int("listed", len(c.Known.Servers)).Msg("start")
	r.Gateway.AdvanceCallID(kept.ledger.LastCallNumber())
	r.Gateway.AwaitFirstList(listBy)
	r.Restore(kept.owed)
	go agent.SendNotices()
	if !c.values.ListOnDemand() {
		agent.WatchForever(r.Post)
	}
	go follow(reloads, system, c, agent, log)
	ln, err := system.Listen(c.Listen)
	if err != nil && !passes(err) {
		return err
	}
	if err == nil {
		start.done("listener")
	}
	server := intake.NewServer(kept.clock, p.module.TTL, r.Post, descriptors(c.Limits.Sockets)/2, log)
	server.SetMetrics(invariants, r.Metrics.Write)
	over, failed := make(chan struct{}), make(chan error, 1)
	end := sync.OnceFunc(func() { close(over) })
	fail := func(err error) {
		failed <- err
		end()
	}
	go func() {
		// What is owed since before goes on meanwhile: an address may be had only after seconds.
		if ln == nil {
			err = start.try("listener", func() (err error) { ln, err = system.Listen(c.Listen); return err })
		}
		switch {
		case errors.Is(err, errStopped):
		case err != nil:
			fail(err)
			return
		default:
			go func() {
				if err := server.Serve(ln); err != nil {
					fail(err)
				}
			}()
			<-stops
		}
		log.Info().Msg("stopping")
		stop(server, r, end)
	}()
	r.Run(over)
	log.Info().Int("held", r.Gateway.Pending()).Msg("end")
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// ended is the error of a start that did not come to its end: none where it was told to end.
func ended(err error) error {
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// stop carries out a planned stop.
func stop(server *intake.Server, r *gateway.Runner, end func()) {
	begun := time.Now()
	server.DisableKeepAlives()
	time.Sleep(clientsUntil - time.Since(begun))
	go func() {
		_ = server.Close() // it waits for those that are still answered
		r.Post(gateway.IntakeClosed{})
	}()
	time.Sleep(startsUntil - time.Since(begun))
	r.Post(gateway.PushesStopped{})
	time.Sleep(endsUntil - time.Since(begun))
	end()
}

// A configuration that cannot be read, or is half written, is read again for reloadFor, or until the next SIGHUP.
const (
	reloadFor   = 3 * time.Second
	reloadPause = 100 * time.Millisecond
)

// follow takes in the configuration again with each SIGHUP. A bad one changes nothing.
func follow(reloads <-chan os.Signal, system System, old *config, agent *platform.Agent, log zerolog.Logger) {
	for range reloads {
		begun := time.Now()
		err := reload(system, old, agent, log)
		if err != nil {
			log.Error().Err(err).Dur("again_for", reloadFor).Msg("configuration not taken: the old one stays")
		}
		for err != nil && time.Since(begun) < reloadFor && len(reloads) == 0 {
			time.Sleep(reloadPause)
			err = reload(system, old, agent, log)
		}
	}
}

// reload takes in the configuration again. Discovery may have moved; for anything else the program has to be started anew.
func reload(system System, old *config, agent *platform.Agent, log zerolog.Logger) error {
	c, err := load(system)
	if err != nil {
		return err
	}
	if _, err := c.parts(directory.New()); err != nil {
		return err
	}
	moved := agent.SetAddr(c.Discovery)
	log.Info().Str("discovery", c.Discovery).Bool("moved", moved).Msg("configuration taken")
	if c.Name != old.Name || c.Listen != old.Listen || c.state != old.state || c.Limits != old.Limits || c.Ledger != old.Ledger ||
		!bytes.Equal(c.Settings, old.Settings) {
		log.Warn().Msg("configuration changed beyond discovery: that needs a restart")
	}
	return nil
}

// descriptors are as many as the process may hold: what the configuration says, or less where the system gives less.
func descriptors(most int) int {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) != nil || l.Cur > uint64(most) {
		return most
	}
	return int(l.Cur)
}
