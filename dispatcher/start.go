package dispatcher

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/clock"
	"orchiddrift/disk"
	"orchiddrift/ledger"
)

// A start that fails for a reason that may pass is tried again for so long: a dispatcher has 30 s to be ready, and some of
// those go to what follows.
const (
	startFor   = 25 * time.Second
	startPause = 100 * time.Millisecond
)

// errStopped tells that SIGTERM came before the dispatcher had started.
var errStopped = errors.New("told to end before the start was over")

// passing are the errors of system calls that may pass: resources that others may give back, disks and folders that fail
// for a while, addresses and locks that a process before this one is about to let go of.
var passing = []error{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS,
	syscall.EAGAIN, syscall.EINTR, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH,
	syscall.EBUSY, syscall.ETIMEDOUT, syscall.ESTALE, disk.ErrLocked}

// starter carries out the steps of a start.
type starter struct {
	stops <-chan os.Signal
	log   zerolog.Logger
	begun time.Time
	steps []step // that are over and not told yet
	told  bool   // the configuration is taken: steps are told as they are over
}

// step is one of a start that is over.
type step struct {
	name  string
	after float64 // seconds after the process began
}

// done notes that a step is over. Where a start hangs is behind the last step that the log tells.
func (s *starter) done(name string) {
	s.steps = append(s.steps, step{name, time.Since(s.begun).Seconds()})
	if s.told {
		s.tell(s.log)
	}
}

// tell puts the steps into a log from now on. Until the configuration is taken there are none: a bad one is told in one line.
func (s *starter) tell(log zerolog.Logger) {
	s.log, s.told = log, true
	for _, x := range s.steps {
		log.Info().Str("step", x.name).Float64("after", x.after).Msg("start step done")
	}
	s.steps = nil
}

// try carries out a step until it succeeds, fails for a reason that does not pass, or takes too long.
func (s *starter) try(name string, do func() error) error {
	for told := false; ; {
		err := do()
		if err == nil {
			s.done(name)
		}
		if err == nil || !passes(err) || time.Since(s.begun) > startFor {
			return err
		}
		if !told {
			s.log.Warn().Err(err).Str("step", name).Msg("start waits: it is tried again")
			told = true
		}
		select {
		case <-s.stops:
			return errStopped
		case <-time.After(startPause):
		}
	}
}

func passes(err error) bool {
	for _, e := range passing {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// kept is what the folder that outlives the process holds.
type kept struct {
	folder Folder
	ledger *ledger.Ledger
	owed   []ledger.Pending
	found  ledger.Report
	clock  func() float64
}

// openKept opens the folder and reads what is owed since before.
func openKept(system System, c *config, log zerolog.Logger) (*kept, error) {
	k := &kept{}
	var err error
	if k.folder, err = system.OpenFolder(c.state); err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	sync := c.Ledger.Sync == syncBatch || c.Ledger.Sync == syncAlways
	k.ledger, k.owed, k.found, err = ledger.Open(k.folder, ledger.Options{Limit: int(c.Limits.DiskMB * 1e6), Sync: sync})
	if err != nil {
		_ = k.folder.Close()
		return nil, err
	}
	for _, d := range k.found.Damaged {
		log.Error().Str("file", d.File).Int("at", d.Offset).Int("bytes", d.Bytes).Msg("ledger damaged: what is owed from before may have run")
	}
	running, err := clock.Open(k.folder, system.Clocks, sync)
	if errors.Is(err, clock.ErrOffsetUnreadable) {
		return nil, errors.Join(err, k.ledger.Close(), k.folder.Close())
	}
	if err != nil {
		log.Warn().Err(err).Msg("clock not kept: a step of the time of day before the next start would move what is owed")
		go keepLater(running, log)
	}
	k.clock = running.Now
	return k, nil
}

// keepPause is the pause between two tries to keep the clock.
const keepPause = 200 * time.Millisecond

// keepLater keeps the clock once the folder can be written to.
func keepLater(c *clock.Clock, log zerolog.Logger) {
	for c.Save() != nil {
		time.Sleep(keepPause)
	}
	log.Info().Msg("clock kept")
}
