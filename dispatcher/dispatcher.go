// Package dispatcher assembles a dispatcher from its configuration and runs it. A dispatcher accepts notifications from
// clients and pushes them to partners' endpoints.
package dispatcher

import (
	"errors"
	"math"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

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

	disableHugePages()
	signal.Ignore(syscall.SIGPIPE) // otherwise a closed log pipe terminates the process
	startup := &startupSequence{stopSignals: stopSignals, log: logOptions.logger().With().Timestamp().Logger(), startedAt: time.Now()}

	var cfg *config
	err := startup.retry("configuration", func() (err error) { cfg, err = loadConfig(system); return err })
	if err != nil {
		return ignoreStopped(err)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	ended := make(chan struct{})
	defer close(ended)
	go newRuntimeLimit(cfg.division).run(ended)
	log := logOptions.logger().With().Timestamp().Str("dispatcher", cfg.Name).Logger()

	startup.log = log
	p, err := newProcess(system, cfg, startup)
	if err != nil {
		return ignoreStopped(err)
	}
	defer p.state.folder.Close()
	go watchReloads(reloadSignals, system, cfg, p.agent, p.lists, p.errors, log)
	err = p.run()
	why := endPlanned
	if err != nil {
		why = err.Error()
	}
	p.admission.watch.ended(why)
	log.Info().Str("why", why).Msg("process ends")
	return err
}

// endPlanned is why a process ends that was asked to.
const endPlanned = "stopped by a signal"

// disableHugePages keeps the kernel from backing the heap with huge pages, which are resident as a whole once a byte of them is used. A
// system that refuses it has its own setting.
func disableHugePages() { _ = unix.Prctl(unix.PR_SET_THP_DISABLE, 1, 0, 0, 0) }

// ignoreStopped returns err, or nil if the start was interrupted by a stop signal.
func ignoreStopped(err error) error {
	if errors.Is(err, errStoppedDuringStartup) {
		return nil
	}
	return err
}
