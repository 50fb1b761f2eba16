package dispatcher

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"

	"orchiddrift/admission"
	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/platform"
	"orchiddrift/settings"
)

// config is the dispatcher's configuration, read from the file that ROUTER_CONFIG names and the other ROUTER_ variables.
type config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limits          `json:"limits"`
	Known     platform.List   `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Ledger    struct {
		Sync string `json:"sync"`
	} `json:"ledger"`
	division admission.Division // how Limits are divided
	stateDir string             // path of the folder that outlives the process, from ROUTER_STATE
	values   *settings.Values   // the parsed Settings
}

// limits are the resources that the process may use. 1 MB is 1e6 bytes.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
	DiskMB   float64 `json:"disk_mb"` // size of the ledger
}

// Values of ledger.sync: when ledger records are synced to disk. syncNone, the default, never syncs and suits a folder whose
// contents survive the process without it. syncBatch syncs once for all events handled together, syncAlways for each event.
const (
	syncNone   = "none"
	syncBatch  = "batch"
	syncAlways = "always"
)

// loadConfig reads and checks the configuration. The ROUTER_ variables take precedence over the file, except that
// ROUTER_DISCOVERY is used only if the file has no discovery address: a reload has to be able to change the address, and a
// process's variables stay the same.
func loadConfig(system System) (*config, error) {
	path := system.Getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG is not set")
	}
	text, err := system.ReadFile(path)
	if err != nil {
		return nil, err
	}
	cfg := &config{Limits: limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 3}}
	if err := json.Unmarshal(text, cfg); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, field := range map[string]*string{"ROUTER_NAME": &cfg.Name, "ROUTER_LISTEN": &cfg.Listen,
		"ROUTER_DISCOVERY": &cfg.Discovery, "ROUTER_STATE": &cfg.stateDir} {
		if v := system.Getenv(name); v != "" && (*field == "" || field != &cfg.Discovery) {
			*field = v
		}
		if *field == "" {
			return nil, fmt.Errorf("%s is not set", name)
		}
	}
	if l := cfg.Limits; l.Cores <= 0 || l.MemoryMB <= 0 || l.Sockets < 16 || l.DiskMB <= 0 {
		return nil, fmt.Errorf("%s: limits cannot be %+v", path, l)
	}
	if sync := cfg.Ledger.Sync; sync != "" && sync != syncNone && sync != syncBatch && sync != syncAlways {
		return nil, fmt.Errorf("%s: ledger.sync cannot be %q: use none, batch or always", path, sync)
	}
	if len(cfg.Settings) == 0 {
		return nil, fmt.Errorf("%s: settings are missing", path)
	}
	if cfg.values, err = settings.FromJSON(cfg.Settings); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if cfg.division, err = admission.Divide(cfg.admissionLimits()); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// admissionLimits returns the limits that are divided among the purposes of memory.
func (c *config) admissionLimits() admission.Limits {
	const bytesPerMB = 1e6
	return admission.Limits{MemoryBytes: int(c.Limits.MemoryMB * bytesPerMB), DiskBytes: int(c.Limits.DiskMB * bytesPerMB),
		Descriptors: descriptorLimit(c.Limits.Sockets), MaxMessages: int(c.values.FloatOr("policy-limits.most-held", 0)),
		MaxCalls: int(c.values.FloatOr("family-info.max-calls", 0))}
}

// seed returns the scheduler's seed: the value of Seed if it consists of up to 16 hex digits, or else its hash.
func (c *config) seed() uint64 {
	if v, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return v
	}
	hash := fnv.New64a()
	hash.Write([]byte(c.Seed))
	return hash.Sum64()
}

// components holds the scheduler and the other parameters that the settings define. Times are in seconds.
type components struct {
	scheduler         *decide.Scheduler
	separateRoutes    map[string]bool // by kind: each endpoint is a separate route
	batchSizes        map[string]int  // by kind: maximum number of notifications in a call
	dialTimeout, tick float64         // tick is the minimum time between two rounds
	drainGrace        float64         // calls may start for this long after the endpoint is listed as leaving
}

// defaultDrainGrace is the drain grace, in seconds, if the settings do not set it.
const defaultDrainGrace = 0.5

// build returns the components, with a scheduler that reads endpoints from dir. The error names the first setting that is
// missing or invalid.
func (c *config) build(dir *directory.Directory) (parts components, err error) {
	if parts.scheduler, err = c.values.NewScheduler(c.seed(), dir); err == nil {
		parts.separateRoutes, parts.batchSizes, parts.dialTimeout, parts.tick = c.values.SeparateRoutes(), c.values.BatchSizes(),
			c.values.Seconds("policy-limits.dial-timeout-ms"), c.values.Seconds("tick-ms")
		parts.drainGrace = c.values.FloatOr("guarantees.stop-sending-within-ms", defaultDrainGrace*1000) / 1000
		err = c.values.Err()
	}
	if err != nil {
		err = fmt.Errorf("settings: %w", err)
	}
	return parts, err
}
