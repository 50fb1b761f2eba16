package dispatcher

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/platform"
	"orchiddrift/settings"
)

// config is what the dispatcher is told at its start.
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
	state  string
	values *settings.Values
}

// limits are the machine's.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// When the ledger's records are synced to the disk: never, as suits a folder that outlives the process by itself; once for
// all events taken in together; or for each event.
const (
	syncNone   = "none"
	syncBatch  = "batch"
	syncAlways = "always"
)

// load reads the file that ROUTER_CONFIG names; what stands in the other variables goes before it. Discovery alone
// is the file's where it names one: the file may be replaced while the program runs, and its variables stay.
func load(system System) (*config, error) {
	path := system.Getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG is not set")
	}
	text, err := system.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &config{Limits: limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 3}}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, field := range map[string]*string{"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen,
		"ROUTER_DISCOVERY": &c.Discovery, "ROUTER_STATE": &c.state} {
		if v := system.Getenv(name); v != "" && (*field == "" || field != &c.Discovery) {
			*field = v
		}
		if *field == "" {
			return nil, fmt.Errorf("%s is not set", name)
		}
	}
	if l := c.Limits; l.Cores <= 0 || l.MemoryMB <= 0 || l.Sockets < 16 || l.DiskMB <= 0 {
		return nil, fmt.Errorf("%s: limits cannot be %+v", path, l)
	}
	if sync := c.Ledger.Sync; sync != "" && sync != syncNone && sync != syncBatch && sync != syncAlways {
		return nil, fmt.Errorf("%s: ledger.sync cannot be %q: use none, batch or always", path, sync)
	}
	if len(c.Settings) == 0 {
		return nil, fmt.Errorf("%s: settings are missing", path)
	}
	if c.values, err = settings.FromJSON(c.Settings); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// seed reads the seed: hex digits as a rule, any text else.
func (c *config) seed() uint64 {
	if v, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(c.Seed))
	return h.Sum64()
}

// parts are what the settings give.
type parts struct {
	module     *decide.Scheduler
	apart      map[string]bool
	batch      map[string]int
	dial, tick float64
	grace      float64 // a call may go so long to an endpoint that was told to be leaving
}

// usualGrace is the grace in seconds where the settings give none.
const usualGrace = 0.5

func (c *config) parts(dir *directory.Directory) (p parts, err error) {
	if p.module, err = c.values.NewScheduler(c.seed(), dir); err == nil {
		p.apart, p.batch, p.dial, p.tick = c.values.SeparateRoutes(), c.values.BatchSizes(), c.values.Seconds("policy-limits.dial-timeout-ms"), c.values.Seconds("tick-ms")
		p.grace = c.values.FloatOr("guarantees.stop-sending-within-ms", usualGrace*1000) / 1000
		err = c.values.Err()
	}
	if err != nil {
		err = fmt.Errorf("settings: %w", err)
	}
	return p, err
}
