package dispatcher

import (
	"bytes"
	"os"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/directory"
	"orchiddrift/endpointstate"
	"orchiddrift/platform"
	"orchiddrift/syserr"
)

// After a SIGHUP, a configuration that is invalid, such as an incomplete file, is read again every reloadRetryInterval until
// reloadRetryTimeout has passed or the next SIGHUP arrives. One that cannot be read for an error that may pass is read again until
// the next SIGHUP, or it can be read.
const (
	reloadRetryTimeout  = 3 * time.Second
	reloadRetryInterval = 100 * time.Millisecond
)

// watchReloads reloads the configuration on each SIGHUP. An invalid configuration changes nothing. initial is the
// configuration at the start.
func watchReloads(signals <-chan os.Signal, system System, initial *config, agent *platform.Agent, lists listKeeper, errs *syserr.Recorder, log zerolog.Logger) {
	for range signals {
		startedAt := time.Now()
		err := reload(system, initial, agent, lists, log)
		if err != nil {
			log.Error().Err(err).Dur("again_for", reloadRetryTimeout).Msg("configuration not reloaded; keeping the current one")
		}
		for err != nil && len(signals) == 0 && (isTransient(err) || time.Since(startedAt) < reloadRetryTimeout) {
			if isTransient(err) {
				errs.Failed(syserr.ConfigRead, initial.Name, err)
			}
			time.Sleep(reloadRetryInterval)
			err = reload(system, initial, agent, lists, log)
		}
		if err != nil {
			log.Error().Err(err).Float64("after", time.Since(startedAt).Seconds()).Msg("configuration given up until the next SIGHUP")
		}
	}
}

// reload reads the configuration again and applies the discovery address. Other changes need a restart: it logs a warning
// if the configuration differs from initial in any of them.
func reload(system System, initial *config, agent *platform.Agent, lists listKeeper, log zerolog.Logger) error {
	cfg, err := loadConfig(system)
	if err != nil {
		return err
	}
	if _, err := cfg.build(directory.New()); err != nil {
		return err
	}
	moved := agent.SetAddr(cfg.Discovery)
	lists.SetConfigured(endpointstate.Digest(cfg.Known))
	log.Info().Str("discovery", cfg.Discovery).Bool("moved", moved).Msg("configuration reloaded")
	if cfg.Name != initial.Name || cfg.Listen != initial.Listen || cfg.stateDir != initial.stateDir || cfg.Limits != initial.Limits ||
		cfg.Ledger != initial.Ledger || !bytes.Equal(cfg.Settings, initial.Settings) {
		log.Warn().Msg("configuration changes other than discovery need a restart")
	}
	return nil
}
