// Package appconfig reads and checks the configuration files that operators write for an application's dispatcher, and
// converts them to the platform's format. Checks do no I/O.
package appconfig

import (
	"fmt"
	"time"
)

// App is the configuration file of one application.
type App struct {
	File      string `toml:"-"`
	Name      string `toml:"name"`
	Listen    string `toml:"listen"`    // address that clients connect to
	State     string `toml:"state"`     // folder that outlives the process
	Discovery string `toml:"discovery"` // address of the agent
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

	lines map[string]int // line in the file by key
}

// Limits are the resources that the process may use.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	DiskMB   float64 `toml:"disk_mb"`
}

// Ledger configures when records are synced to disk: none, batch or always.
type Ledger struct {
	Sync string `toml:"sync"`
}

// Dispatcher configures a dispatcher: Slots is the maximum number of calls out, Held of notifications held, Pushes of
// pushes per notification. Tick is the least time between two batches, Dial the time-out of a connection attempt, and Idle
// the time after which an unused connection is closed.
type Dispatcher struct {
	Count  int      `toml:"count"` // dispatchers that share the partners
	Slots  int      `toml:"slots"`
	Held   int      `toml:"held"`
	Pushes int      `toml:"pushes"`
	Tick   Duration `toml:"tick"`
	Dial   Duration `toml:"dial"`
	Idle   Duration `toml:"idle"`
	Rest   Duration `toml:"rest"` // wait before the next push of an ordered key while an earlier one may still run
}

// Load is the load that the application is expected to submit.
type Load struct {
	Rate float64 `toml:"rate"` // notifications per second
	Body int     `toml:"body"` // bytes per notification
}

// Returns describes a destination that recovers from an outage: it starts with the share ColdFrom of its capacity and has
// all of it after ColdSpan. It fails again if it gets more than Multiple of its capacity for Fall.
type Returns struct {
	ColdFrom float64  `toml:"cold_from"`
	ColdSpan Duration `toml:"cold_span"`
	Multiple float64  `toml:"multiple"`
	Fall     Duration `toml:"fall"`
}

// Layout describes the platform. Keys that are left out have the values of the old layout.
type Layout struct {
	List     string `toml:"list"`     // whether discovery pushes the list of endpoints or sends it on request
	Rates    string `toml:"rates"`    // whether the list has the rates of partners
	Refusals string `toml:"refusals"` // whether calls refused above a limit have a cost
	Late     string `toml:"late"`     // whether benefit decays linearly after the objective or by halves
}

// Values of Layout. The first of each pair is the old layout's.
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

// Zone is a zone of endpoints, with the fee of a notification that a separate route in the zone accepts.
type Zone struct {
	Name string  `toml:"name"`
	Fee  float64 `toml:"fee"`
}

// Values of Partner.Routes: the endpoints share the partner's limit, or each is a route with its own limit, pace and
// outages.
const (
	RoutesShared   = "shared"
	RoutesSeparate = "apart"
)

// Values of Topic.Repeat.
const (
	Repeatable  = "repeatable"
	Collapsible = "collapsible"
	OnceOnly    = "once-only"
)

// Topic is a topic type. LateBenefit is the share of Benefit to which the benefit decays after the objective, in the way
// that Layout.Late sets.
type Topic struct {
	Name        string   `toml:"name"`
	Repeat      string   `toml:"repeat"`
	Resends     int      `toml:"resends"` // pushes after one that may have run; 0 for once-only
	Memory      Duration `toml:"memory"`  // collapsible: how long partners remember the idempotency key
	Objective   Duration `toml:"objective"`
	TTL         Duration `toml:"ttl"`
	Benefit     float64  `toml:"benefit"`
	LateBenefit float64  `toml:"late_benefit"`
	Ordered     bool     `toml:"ordered"`
	Key         string   `toml:"key"` // what the notifications of one ordered sequence share
}

// Tenant is the organisation of a client. Rate is its quota in notifications per second.
type Tenant struct {
	Name string  `toml:"name"`
	Rate float64 `toml:"rate"`
}

// Partner is a system that receives notifications. Dest is the number of its destination, Answer the mean time of an
// answer, and Batch the maximum number of notifications in a call.
type Partner struct {
	Name      string     `toml:"name"`
	Dest      int        `toml:"dest"`
	Kind      string     `toml:"kind"`
	Rate      float64    `toml:"rate,omitempty"` // calls per second that it accepts from all applications
	Load      float64    `toml:"load"`           // notifications per second from this application
	Answer    Duration   `toml:"answer"`
	Batch     int        `toml:"batch"`
	Protocol  string     `toml:"protocol"`
	Routes    string     `toml:"routes"`           // shared or apart
	DropsKeys bool       `toml:"drops_keys"`       // it does not recognize repeats by their idempotency key
	Topics    []string   `toml:"topics,omitempty"` // topics that it receives; all if empty
	Endpoints []Endpoint `toml:"endpoints"`
}

// Endpoint is a server of a partner.
type Endpoint struct {
	ID   string `toml:"id"`
	Addr string `toml:"addr"`
	Zone string `toml:"zone"`
}

// Duration is a duration, written with a unit such as 2.5s or 500ms.
type Duration struct{ Seconds float64 }

// UnmarshalText parses a duration. A number without a unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit, such as 2.5s or 500ms", text)
	}
	d.Seconds = v.Seconds()
	return nil
}

// MarshalText formats a duration as UnmarshalText parses it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

func (d Duration) String() string { return time.Duration(d.Seconds * float64(time.Second)).String() }
