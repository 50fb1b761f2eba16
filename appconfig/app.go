// Package appconfig is the configuration that people write for an application's dispatcher: its format, the checks that a
// file must pass before it is used, and the platform's form made from it. Checks do no I/O.
package appconfig

import (
	"fmt"
	"time"
)

// App is one application's file.
type App struct {
	File      string `toml:"-"`
	Name      string `toml:"name"`
	Listen    string `toml:"listen"`    // where its clients connect
	State     string `toml:"state"`     // the folder that outlives the process
	Discovery string `toml:"discovery"` // the agent's address
	Seed      string `toml:"seed"`

	Limits     Limits     `toml:"limits"`
	Ledger     Ledger     `toml:"ledger"`
	Dispatcher Dispatcher `toml:"dispatcher"`
	Load       Load       `toml:"load"`
	Returns    Returns    `toml:"returns"`
	Layout     Layout     `toml:"layout"`
	Zones      []Zone     `toml:"zones,omitempty"`
	Topics     []Topic    `toml:"topics"`
	Tenants    []Tenant   `toml:"tenants,omitempty"`
	Partners   []Partner  `toml:"partners"`

	lines map[string]int // by key: where the file says it
}

// Limits are the process's.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	DiskMB   float64 `toml:"disk_mb"`
}

// Ledger says when records are on the disk: none, batch or always.
type Ledger struct {
	Sync string `toml:"sync"`
}

// Dispatcher is what one may hold and have out.
type Dispatcher struct {
	Count  int      `toml:"count"` // that share the partners
	Slots  int      `toml:"slots"`
	Held   int      `toml:"held"`
	Pushes int      `toml:"pushes"`
	Tick   Duration `toml:"tick"`
	Dial   Duration `toml:"dial"`
	Idle   Duration `toml:"idle"`
	Rest   Duration `toml:"rest"` // of an ordered key after a push that may still run
}

// Load is what the application says it will hand in.
type Load struct {
	Rate float64 `toml:"rate"` // notifications a second
	Body int     `toml:"body"` // bytes of one
}

// Returns is what a destination back from an outage can take.
type Returns struct {
	ColdFrom float64  `toml:"cold_from"`
	ColdSpan Duration `toml:"cold_span"`
	Multiple float64  `toml:"multiple"`
	Fall     Duration `toml:"fall"`
}

// Layout is how the platform is laid out. What it leaves out is as in the old shape.
type Layout struct {
	List     string `toml:"list"`     // the list of endpoints is pushed, or answers only when asked
	Rates    string `toml:"rates"`    // it tells what partners take, or none
	Refusals string `toml:"refusals"` // calls refused above a limit are priced, or free
	Late     string `toml:"late"`     // benefit falls in a line after the objective, or by halves
}

// The layout's words; the first of each pair is the old shape's.
const (
	ListPushed     = "pushed"
	ListOnDemand   = "asked"
	RatesListed    = "listed"
	RatesNone      = "none"
	RefusalsPriced = "priced"
	RefusalsFree   = "free"
	LateLinear     = "line"
	LateHalving    = "halves"
)

// Zone is where endpoints stand, and what a notification costs that a route apart there takes on.
type Zone struct {
	Name string  `toml:"name"`
	Fee  float64 `toml:"fee"`
}

// Whether the endpoints of a partner share its limit, or are routes with a limit, a pace and outages each.
const (
	RoutesShared   = "shared"
	RoutesSeparate = "apart"
)

// The repeat kinds, as people write them.
const (
	Repeatable  = "repeatable"
	Collapsible = "collapsible"
	OnceOnly    = "once-only"
)

// Topic is a topic type.
type Topic struct {
	Name        string   `toml:"name"`
	Repeat      string   `toml:"repeat"`
	Resends     int      `toml:"resends"` // pushes after one that may have run; the most that a purchase may have is none
	Memory      Duration `toml:"memory"`  // collapsible: how long partners know its mark
	Objective   Duration `toml:"objective"`
	TTL         Duration `toml:"ttl"`
	Benefit     float64  `toml:"benefit"`
	LateBenefit float64  `toml:"late_benefit"`
	Ordered     bool     `toml:"ordered"`
	Key         string   `toml:"key"` // of the order: what its notifications share
}

// Tenant is a client's organisation.
type Tenant struct {
	Name string  `toml:"name"`
	Rate float64 `toml:"rate"`
}

// Partner is a system that notifications go to.
type Partner struct {
	Name      string     `toml:"name"`
	Dest      int        `toml:"dest"`
	Kind      string     `toml:"kind"`
	Rate      float64    `toml:"rate,omitempty"` // calls a second that it takes from all applications
	Load      float64    `toml:"load"`           // of them this application's part
	Answer    Duration   `toml:"answer"`
	Batch     int        `toml:"batch"`
	Protocol  string     `toml:"protocol"`
	Routes    string     `toml:"routes"`           // shared or apart
	DropsKeys bool       `toml:"drops_keys"`       // it does not know a repeat by its mark
	Topics    []string   `toml:"topics,omitempty"` // those that go to it; none: all
	Endpoints []Endpoint `toml:"endpoints"`
}

// Endpoint is one of a partner's servers.
type Endpoint struct {
	ID   string `toml:"id"`
	Addr string `toml:"addr"`
	Zone string `toml:"zone"`
}

// Duration is a time, written with its unit, as 2.5s or 500ms.
type Duration struct{ Seconds float64 }

// UnmarshalText reads a time; a number without a unit is none.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time with its unit, as 2.5s or 500ms", text)
	}
	d.Seconds = v.Seconds()
	return nil
}

// MarshalText writes it as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

func (d Duration) String() string { return time.Duration(d.Seconds * float64(time.Second)).String() }
