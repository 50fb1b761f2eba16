// Package appconfig reads and checks the configuration files that operators write for an application's dispatcher, and
// converts them to the platform's format. Checks do no I/O.
package appconfig

import (
	"fmt"
	"time"
)

// App is the configuration file of one application.
type App struct {
	File      string `toml:"-"` // name of the file, for findings
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

	lines map[string]int // line in the file, from 1, by key as in partners[0].rate
}

// Limits are the resources that the process may use. 1 MB is 1e6 bytes.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"` // file descriptors
	DiskMB   float64 `toml:"disk_mb"` // size of the ledger
}

// Ledger configures the ledger.
type Ledger struct {
	Sync string `toml:"sync"` // when records are synced to disk: none, batch or always
}

// Dispatcher configures a dispatcher.
type Dispatcher struct {
	Count  int      `toml:"count"`  // dispatchers that share the partners
	Slots  int      `toml:"slots"`  // maximum number of calls in flight
	Held   int      `toml:"held"`   // maximum number of notifications held
	Pushes int      `toml:"pushes"` // maximum number of pushes per notification
	Tick   Duration `toml:"tick"`   // minimum time between two batches of decisions
	Dial   Duration `toml:"dial"`   // time-out of a connection attempt
	Idle   Duration `toml:"idle"`   // time after which an unused connection is closed
	Rest   Duration `toml:"rest"`   // wait before the next push of an ordered key while an earlier one may still run
}

// Load is the load that the application is expected to submit to all its dispatchers together.
type Load struct {
	Rate float64 `toml:"rate"` // notifications per second
	Body int     `toml:"body"` // bytes per notification
}

// Returns describes a destination that recovers from an outage. At first it has the share ColdFrom of its capacity; after
// ColdSpan it has all of it. It fails again if it receives more than Multiple times its capacity for as long as Fall.
type Returns struct {
	ColdFrom float64  `toml:"cold_from"`
	ColdSpan Duration `toml:"cold_span"`
	Multiple float64  `toml:"multiple"`
	Fall     Duration `toml:"fall"`
}

// Layout describes the platform. Keys that are not set have the values of the old layout.
type Layout struct {
	List     string `toml:"list"`     // whether discovery pushes the list of endpoints or sends it on request
	Rates    string `toml:"rates"`    // whether the list has the rates of partners
	Refusals string `toml:"refusals"` // whether calls that are refused above a limit have a cost
	Late     string `toml:"late"`     // whether benefit decays linearly or by halves after the objective
}

// Values of the fields of Layout, in pairs. The first value of each pair is the old layout's.
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

// Values of Topic.Repeat, the repeat kinds. A Repeatable notification may run any number of times. Partners discard repeats
// of a Collapsible one by its idempotency key. A OnceOnly one is not pushed again once a push of it may have run.
const (
	Repeatable  = "repeatable"
	Collapsible = "collapsible"
	OnceOnly    = "once-only"
)

// Topic is a topic type. LateBenefit is the share of Benefit to which the benefit decays after the objective, in the manner
// of Layout.Late.
type Topic struct {
	Name        string   `toml:"name"`
	Repeat      string   `toml:"repeat"`
	Resends     int      `toml:"resends"` // maximum number of pushes after one that may have run; 0 for once-only
	Memory      Duration `toml:"memory"`  // collapsible: how long partners remember the idempotency key
	Objective   Duration `toml:"objective"`
	TTL         Duration `toml:"ttl"`
	Benefit     float64  `toml:"benefit"`
	LateBenefit float64  `toml:"late_benefit"`
	Ordered     bool     `toml:"ordered"`
	Key         string   `toml:"key"` // ordered: what the notifications of one sequence have in common
}

// Tenant is the organisation of a client. Rate is its quota in notifications per second.
type Tenant struct {
	Name string  `toml:"name"`
	Rate float64 `toml:"rate"`
}

// Partner is a system that receives notifications.
type Partner struct {
	Name      string     `toml:"name"`
	Dest      int        `toml:"dest"` // number of its destination
	Kind      string     `toml:"kind"`
	Rate      float64    `toml:"rate,omitempty"` // calls per second that it accepts from all applications
	Load      float64    `toml:"load"`           // notifications per second from this application
	Answer    Duration   `toml:"answer"`         // mean time until a call is answered
	Batch     int        `toml:"batch"`          // maximum number of notifications in a call
	Protocol  string     `toml:"protocol"`
	Routes    string     `toml:"routes"`           // shared or apart
	DropsKeys bool       `toml:"drops_keys"`       // the partner does not recognize repeats by their idempotency key
	Topics    []string   `toml:"topics,omitempty"` // names of the topics that it receives; all if empty
	Endpoints []Endpoint `toml:"endpoints"`
}

// Endpoint is a server of a partner.
type Endpoint struct {
	ID   string `toml:"id"`
	Addr string `toml:"addr"`
	Zone string `toml:"zone"`
}

// Duration is a duration that is written with a unit, such as 2.5s or 500ms.
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

// MarshalText formats a duration in the form that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

func (d Duration) String() string { return time.Duration(d.Seconds * float64(time.Second)).String() }
