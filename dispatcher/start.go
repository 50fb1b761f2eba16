package dispatcher

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/admission"
	"orchiddrift/clock"
	"orchiddrift/decide"
	"orchiddrift/disk"
	"orchiddrift/ledger"
	"orchiddrift/recoverystate"
	"orchiddrift/syserr"
)

// A startup step that fails with a transient error is retried every startupRetryInterval until startupRetryTimeout after
// the start. A dispatcher has 30 s to become ready; the remaining 5 s are for the steps that follow.
const (
	startupRetryTimeout  = 25 * time.Second
	startupRetryInterval = 100 * time.Millisecond
)

// errStoppedDuringStartup is returned when SIGTERM or SIGINT arrives before the start is complete.
var errStoppedDuringStartup = errors.New("stopped by a signal before the start was complete")

// startupSequence runs and logs the steps of a start. It is not safe for concurrent use.
type startupSequence struct {
	stopSignals   <-chan os.Signal
	log           zerolog.Logger
	startedAt     time.Time
	unloggedSteps []startupStep // complete but not logged yet
	logEnabled    bool          // the configuration is valid: steps are logged as they complete
}

// startupStep is a completed step of a start.
type startupStep struct {
	name    string
	elapsed float64 // seconds since the start began
}

// recordStep records that a step is complete, and logs it if logging is enabled. The last step in the log shows where a
// start hangs.
func (s *startupSequence) recordStep(name string) {
	s.unloggedSteps = append(s.unloggedSteps, startupStep{name, time.Since(s.startedAt).Seconds()})
	if s.logEnabled {
		s.enableLog(s.log)
	}
}

// enableLog logs the recorded steps to log, and later steps as they complete. It is called once the configuration is valid,
// so that an invalid configuration is reported in a single line.
func (s *startupSequence) enableLog(log zerolog.Logger) {
	s.log, s.logEnabled = log, true
	for _, step := range s.unloggedSteps {
		log.Info().Str("step", step.name).Float64("after", step.elapsed).Msg("startup step complete")
	}
	s.unloggedSteps = nil
}

// retry runs a step until it succeeds, it fails with an error that is not transient, startupRetryTimeout has passed, or a
// stop signal arrives, for which it returns errStoppedDuringStartup.
func (s *startupSequence) retry(name string, run func() error) error {
	for logged := false; ; {
		err := run()
		if err == nil {
			s.recordStep(name)
		}
		if err == nil || !isTransient(err) || time.Since(s.startedAt) > startupRetryTimeout {
			return err
		}
		if !logged {
			s.log.Warn().Err(err).Str("step", name).Msg("startup step failed with a transient error; retrying")
			logged = true
		}
		select {
		case <-s.stopSignals:
			return errStoppedDuringStartup
		case <-time.After(startupRetryInterval):
		}
	}
}

// isTransient reports whether a retry may resolve err: an error of the system that may pass, or a lock that a previous process is
// about to release.
func isTransient(err error) bool { return syserr.StepMayPass(err) || errors.Is(err, disk.ErrLocked) }

// persistentState is the state that the dispatcher keeps in the folder that outlives the process.
type persistentState struct {
	folder  StateFolder
	ledger  *ledger.Ledger
	pending []ledger.Pending // notifications that the previous process left pending
	report  ledger.Report    // result of reading the ledger
	clock   func() float64   // Unix time in seconds, unaffected by steps of the wall clock
	// recovering lists the destinations to which the previous process limited pushes; recoveryStore holds those of this process.
	recovering    []decide.RecoveryState
	recoveryStore *recoverystate.Store
	list          keptList
}

// openState opens the folder, the ledger and the clock, and logs damaged ledger records. If the clock's offset cannot be
// saved, it is saved in the background once that is possible. If the time since boot, or the list of endpoints from before, cannot be
// read just now, the start is retried, unless goOn says to go on by the wall clock and by the configured list.
func openState(system System, cfg *config, log zerolog.Logger, goOn bool) (*persistentState, error) {
	state := &persistentState{}
	var err error
	if state.folder, err = system.OpenFolder(cfg.stateDir); err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	sync := cfg.Ledger.Sync == syncBatch || cfg.Ledger.Sync == syncAlways
	state.ledger, state.pending, state.report, err = ledger.Open(state.folder, ledger.Options{LimitBytes: ledgerBytes(cfg.division), Sync: sync})
	if err != nil {
		_ = state.folder.Close()
		return nil, err
	}
	for _, damaged := range state.report.Damaged {
		log.Error().Str("file", damaged.File).Int("at", damaged.Offset).Int("bytes", damaged.Bytes).Msg("ledger damaged: pushes of notifications owed from before may have run")
	}
	if state.recoveryStore, state.recovering, err = recoverystate.Open(state.folder, sync); err != nil {
		return nil, errors.Join(fmt.Errorf("recovery state: %w", err), state.ledger.Close(), state.folder.Close())
	}
	if state.list, err = openKeptList(state.folder, cfg, sync, goOn, log); err != nil {
		return nil, errors.Join(fmt.Errorf("list of endpoints: %w", err), state.ledger.Close(), state.folder.Close())
	}
	processClock, err := clock.Open(state.folder, system.ClockSource, sync)
	if errors.Is(err, clock.ErrOffsetUnreadable) || errors.Is(err, clock.ErrSourceUnreadable) && isTransient(err) && !goOn {
		return nil, errors.Join(err, state.ledger.Close(), state.folder.Close())
	}
	if err != nil {
		log.Warn().Err(err).Msg("clock offset not saved: a step of the wall clock before the next start would shift the deadlines of what is owed")
		go saveClockLater(processClock, log)
	}
	state.clock = processClock.Now
	return state, nil
}

// ledgerBytes returns the part of the lasting folder that the ledger may take.
func ledgerBytes(division admission.Division) int {
	return division.FolderBytes - len(recoverystate.FileNames)*recoverystate.MaxBytes - lastRunBytes - division.EndpointFileBytes
}

// optionalStateTimeout is the time since the start after which a dispatcher goes on without the time since boot, or the list from before,
// if they cannot be read. Nine in ten dispatchers have to be ready within 10 s.
const optionalStateTimeout = 8 * time.Second

// clockSaveInterval is the time between two attempts to save the clock's offset.
const clockSaveInterval = 200 * time.Millisecond

// saveClockLater tries to save the clock's offset until it succeeds.
func saveClockLater(c *clock.Clock, log zerolog.Logger) {
	for c.Save() != nil {
		time.Sleep(clockSaveInterval)
	}
	log.Info().Msg("clock offset saved")
}
