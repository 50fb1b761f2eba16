package dispatcher

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/admission"
	"orchiddrift/directory"
	"orchiddrift/exchange"
	"orchiddrift/gateway"
	"orchiddrift/intake"
	"orchiddrift/invariant"
	"orchiddrift/platform"
	"orchiddrift/push"
	"orchiddrift/recoverystate"
	"orchiddrift/sock"
	"orchiddrift/syserr"
)

// firstListTimeout is the maximum time after the start for which pushes wait for the first list from discovery.
const firstListTimeout = 500 * time.Millisecond

// eventQueueSize is the maximum number of events queued for the gateway's loop.
const eventQueueSize = 1024

// process holds the parts of a dispatcher that has read its configuration and its folder.
type process struct {
	system     System
	cfg        *config
	startup    *startupSequence
	log        zerolog.Logger
	parts      components
	state      *persistentState
	errors     *syserr.Recorder
	exchanges  *exchange.Recorder
	invariants *invariant.Counters
	agent      *platform.Agent
	lists      listKeeper
	runner     *gateway.Runner
	admission  *memoryAdmission
}

// newProcess opens the folder and assembles the parts of a dispatcher. It returns errStoppedDuringStartup if a stop signal arrives.
func newProcess(system System, cfg *config, startup *startupSequence) (*process, error) {
	dir := directory.New()
	parts, err := cfg.build(dir)
	if err != nil {
		return nil, err
	}
	parts.scheduler.LimitCalls(cfg.division.MaxCalls)
	startup.enableLog(startup.log)
	p := &process{system: system, cfg: cfg, startup: startup, log: startup.log, parts: parts, errors: syserr.NewRecorder(startup.log),
		exchanges:  exchange.NewRecorder(startup.log),
		invariants: &invariant.Counters{Log: startup.log, Strict: system.PanicOnViolation}}
	err = startup.retry("folder", func() (err error) {
		p.state, err = openState(system, cfg, p.log, time.Since(startup.startedAt) > optionalStateTimeout)
		return err
	})
	if err != nil {
		return nil, err
	}
	list := chooseStartList(cfg, p.state.list.state, p.log)
	list.fill(dir)
	p.lists = newListKeeper(p.state.list.store, list.head, p.errors, p.log)
	p.lists.SetConfigured(list.configured)
	p.admission = newMemoryAdmission(cfg, cfg.admissionLimits().MemoryBytes, p.log)
	p.admission.watch.lastRun = openLastRun(p.state.folder, p.log)
	p.agent = platform.NewAgent(cfg.Discovery, list.watchFrom, p.log)
	p.agent.SetMaxEntries(p.admission.division.MaxEndpoints)
	p.agent.SetDialer(platform.Dialer(p.dialer(exchange.Agent, system.DialAgent, syserr.AgentDial, syserr.AgentRead, syserr.AgentWrite)))
	p.runner = p.newRunner(dir)
	return p, nil
}

// newRunner returns the runner of a gateway that pushes to the endpoints of a directory.
func (p *process) newRunner(dir *directory.Directory) *gateway.Runner {
	r := &gateway.Runner{
		Gateway: gateway.New(p.parts.scheduler, dir, p.state.ledger.HasRoom, p.parts.separateRoutes, p.parts.batchSizes,
			p.parts.dialTimeout),
		Ledger:        p.state.ledger,
		Platform:      p.agent,
		Clock:         p.state.clock,
		Tick:          p.parts.tick,
		Log:           p.log,
		Events:        make(chan gateway.Event, eventQueueSize),
		Dialer:        p.dialer(exchange.Endpoint, p.system.Dial, syserr.Dial, syserr.EndpointRead, syserr.EndpointSend),
		Budget:        p.admission.budget,
		WritePerEvent: p.cfg.Ledger.Sync == syncAlways,
		Metrics:       gateway.NewMetrics(),
		Replies:       invariant.NewReplyChecker(p.invariants),
		Errors:        p.errors,
		Lists:         p.lists,
	}
	r.Gateway.SetRoom(p.admission.room)
	firstListBy := p.state.clock() + firstListTimeout.Seconds()
	margins := invariant.Margins{DrainGrace: p.parts.drainGrace, KeyHold: p.parts.scheduler.KeyCooldown()}
	r.Gateway.SetSendChecker(invariant.NewSendChecker(p.invariants, margins, firstListBy))
	r.Gateway.SetRecoveryChecker(invariant.NewRecoveryChecker(p.invariants))
	r.Gateway.SetConnectionChecker(invariant.NewConnectionChecker(p.invariants))
	r.Gateway.AdvanceCallID(p.state.ledger.LastCallNumber())
	r.Gateway.AwaitFirstList(firstListBy)
	return r
}

// run restores the pending notifications, serves clients and pushes notifications until a stop signal or an error.
func (p *process) run() error {
	p.log.Info().Int("owed", len(p.state.pending)).Int("taken_over", p.state.report.MigratedRecords).
		Int("old_segments", p.state.report.OldSegments).Int("configured", len(p.cfg.Known.Servers)).
		Int("recovering", len(p.state.recovering)).Msg("start")
	saver := recoverystate.NewSaver(p.state.recoveryStore, func(err error) { p.errors.Failed(syserr.RecoveryWrite, "", err) })
	defer saver.Close()
	watched := make(chan struct{})
	defer close(watched)
	go p.admission.watch.run(watched)
	p.runner.SaveRecovery = saver.Save
	p.runner.RestoreRecovery(p.state.recovering)
	p.runner.Restore(p.state.pending)
	go p.agent.SendNotices()
	if !p.cfg.values.ListOnDemand() {
		p.agent.WatchForever(p.runner.Post)
	}
	ln, err := p.listen()
	if err != nil && !isTransient(err) {
		return err
	}
	if err == nil {
		p.startup.recordStep("listener")
	}
	done, failed := make(chan struct{}), make(chan error, 1)
	stopLoop := sync.OnceFunc(func() { close(done) })
	fail := func(err error) {
		failed <- err
		stopLoop()
	}
	go p.serve(ln, stopLoop, fail)
	p.runner.Run(done)
	p.log.Info().Int("held", p.runner.Gateway.Pending()).Msg("end")
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// listen returns the listener for clients. A queue whose length cannot be set has the shortest.
func (p *process) listen() (net.Listener, error) {
	ln, err := p.system.Listen(p.cfg.Listen)
	if err != nil {
		return nil, err
	}
	if queue, ok := ln.(interface{ SetBacklog(connections int) error }); ok {
		if err := queue.SetBacklog(p.admission.division.Backlog); err != nil {
			p.errors.Failed(syserr.Listen, p.cfg.Listen, err)
		}
	}
	return ln, nil
}

// serve serves clients until a stop signal, and then carries out the stop. If ln is nil, it listens first: that may fail for some
// seconds if the address is still in use, and pending notifications are pushed meanwhile.
func (p *process) serve(ln net.Listener, stopLoop func(), fail func(error)) {
	server := p.newServer()
	var err error
	if ln == nil {
		err = p.startup.retry("listener", func() (err error) { ln, err = p.listen(); return err })
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
		<-p.startup.stopSignals
	}
	p.log.Info().Msg("stopping")
	stop(server, p.runner, stopLoop)
}

// newServer returns the server for clients.
func (p *process) newServer() *intake.Server {
	server := intake.NewServer(p.state.clock, p.parts.scheduler.TopicTTL, p.runner.Post, p.admission.division.MaxConnections, p.log)
	server.SetAdmission(p.admission.budget, p.admission.room)
	server.SetPace(admission.NewPace(p.cfg.Limits.Cores))
	server.SetErrorRecorder(p.errors)
	server.SetExchangeRecorder(p.exchanges)
	server.SetMetrics(p.invariants, func(w io.Writer) {
		p.runner.Metrics.Write(w)
		p.errors.Write(w)
		p.exchanges.Write(w)
		p.admission.write(w)
	})
	return server
}

// dialer returns a dialer for connections to a kind of peer. The connections try failed calls again and report unsolicited
// bytes. Failed dials and calls are recorded under the given names.
func (p *process) dialer(peer exchange.Peer, dial func(string, time.Duration) (net.Conn, error), dialCall, readCall, writeCall syserr.Call) push.Dialer {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		conn, err := dial(address, timeout)
		if err != nil {
			if syserr.Local(err) {
				p.errors.Failed(dialCall, address, err)
			}
			return nil, err
		}
		return exchange.New(sock.NewRetryingConn(conn, p.errors, readCall, writeCall), peer, p.exchanges), nil
	}
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
