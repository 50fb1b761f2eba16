package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"strconv"

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
	state     string
	values    *settings.Values
}

// limits are the machine's.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// load reads the file that ROUTER_CONFIG names; what stands in the other variables goes before it.
func load(getenv func(string) string) (*config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &config{Limits: limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 3}}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, field := range map[string]*string{"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen,
		"ROUTER_DISCOVERY": &c.Discovery, "ROUTER_STATE": &c.state} {
		if v := getenv(name); v != "" {
			*field = v
		}
		if *field == "" {
			return nil, fmt.Errorf("%s is not set", name)
		}
	}
	if l := c.Limits; l.Cores <= 0 || l.MemoryMB <= 0 || l.Sockets < 16 || l.DiskMB <= 0 {
		return nil, fmt.Errorf("%s: limits cannot be %+v", path, l)
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
