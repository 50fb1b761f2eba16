// Package scenario holds what a run of the laboratory plays: its format, its checks, and the world made from it.
package scenario

// Scenario is a run as its file says it. Times are seconds; rates are a second.
type Scenario struct {
	Name        string             `toml:"-"`
	Title       string             `toml:"title"`
	About       string             `toml:"about"`
	Extends     string             `toml:"extends"` // a shipped scenario; what is not said here is as there
	Seed        uint64             `toml:"seed"`
	Length      float64            `toml:"length"` // of the load; the run goes on until all that was taken is over
	Dispatchers Dispatchers        `toml:"dispatchers"`
	Recovery    Recovery           `toml:"returns"`
	Topics      []Topic            `toml:"topics"`
	Tenants     []Tenant           `toml:"tenants"`
	Kinds       []Kind             `toml:"kinds"`
	Groups      []DestinationGroup `toml:"destinations"`
	Load        Load               `toml:"load"`
	Troubles    []Trouble          `toml:"troubles"`
}

// Dispatchers says how many there are and what each may use.
type Dispatchers struct {
	Count        int     `toml:"count"`
	MaxCalls     int     `toml:"slots"`   // calls out at once
	MaxHeld      int     `toml:"held"`    // notifications held
	MaxPushes    int     `toml:"pushes"`  // for one notification
	TickInterval float64 `toml:"tick"`    // the least time between two turns
	DialTimeout  float64 `toml:"dial"`    // a connection is waited for so long
	DrainGrace   float64 `toml:"grace"`   // after a drain was told
	KeyCooldown  float64 `toml:"rest"`    // of an ordered key after a push that may still run
	Cores        float64 `toml:"cores"`   // limits of the process
	MemoryMB     float64 `toml:"memory"`  // MB
	Sockets      int     `toml:"sockets"` // descriptors
	DiskMB       float64 `toml:"disk"`    // MB of the lasting folder
}

// Recovery says what a destination back from an outage can take.
type Recovery struct {
	InitialCapacity float64 `toml:"cold_from"` // share of its capacity at first
	WarmUp          float64 `toml:"cold_span"` // until all is back
	OverloadFactor  float64 `toml:"multiple"`  // sent more than so many times what it can take
	OverloadSpan    float64 `toml:"fall"`      // for so long, it falls over and stays down
}

// The repeat kinds of a topic type.
const (
	Repeatable  = "repeatable"
	Collapsible = "collapsible"
	OnceOnly    = "once-only"
)

// Where a repeat of a collapsible one is known.
const (
	DedupScopeAll  = "all"
	DedupScopeZone = "zone"
)

// Topic is a topic type.
type Topic struct {
	Name        string  `toml:"name"`
	Repeat      string  `toml:"repeat"`
	DedupWindow float64 `toml:"memory"` // collapsible: how long a repeat is known
	DedupScope  string  `toml:"group"`  // collapsible: by "all" endpoints of the destination, or by those of one "zone"
	Objective   float64 `toml:"objective"`
	TTL         float64 `toml:"ttl"`
	Benefit     float64 `toml:"benefit"`
	LateBenefit float64 `toml:"late_benefit"` // share of the benefit left at the TTL
	Ordered     bool    `toml:"ordered"`
	Share       float64 `toml:"share"` // of all notifications
}

// Tenant is a client's organisation.
type Tenant struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"` // of all notifications
	QuotaRate float64 `toml:"rate"`  // its quota; 0: half more than its share of the load
}

// The limits of a kind.
const (
	NoLimit     = "none"
	RateLimit   = "rate"
	WindowLimit = "window"
)

// Kind is a kind of partner.
type Kind struct {
	Name           string  `toml:"name"`
	BatchSize      int     `toml:"batch"`       // notifications that may share a call
	LimitKind      string  `toml:"limit"`       // none, rate or window
	LimitWindow    float64 `toml:"window"`      // span of a windowed limit
	CountRejected  bool    `toml:"count_full"`  // refused calls use up the limit too
	ReportsLoad    bool    `toml:"reports"`     // answers tell what is left of the limit
	ToldWaitShare  float64 `toml:"tell_wait"`   // share of refusals that tell a wait
	MinToldWait    float64 `toml:"wait"`        // the least wait told
	QueueLength    int     `toml:"queue"`       // calls that wait at an endpoint
	MaxConnections int     `toml:"connections"` // an endpoint holds so many, idle ones counted; 0: any
	IdleTimeout    float64 `toml:"idle"`        // idle connections are closed after so long
	HandshakeDelay float64 `toml:"handshake"`   // what the first call on a connection waits more
}

// How a group's traffic is shared out.
const (
	EvenShares   = "even"
	ZipfShares   = "zipf"
	ListedShares = "listed"
)

// DestinationGroup is a group of destinations of one kind.
type DestinationGroup struct {
	Count           int       `toml:"count"`
	Kind            string    `toml:"kind"`
	Endpoints       int       `toml:"endpoints"`      // of each destination
	Share           float64   `toml:"share"`          // of all notifications that this group gets
	Distribution    string    `toml:"spread"`         // even, zipf or listed
	ZipfExponent    float64   `toml:"exponent"`       // of zipf
	Shares          []float64 `toml:"shares"`         // listed
	CapacityFactor  float64   `toml:"room"`           // capacity over the calls that the load asks of it
	MinRate         float64   `toml:"least_rate"`     // capacity of the smallest
	ServiceTime     float64   `toml:"service"`        // median time of a call
	ServiceSigma    float64   `toml:"service_spread"` // sigma of its logarithm; 0: all alike
	MedianSigma     float64   `toml:"pace_spread"`    // sigma of the logarithm of the median over the destinations
	SharedListeners int       `toml:"listeners"`      // destinations share so many; 0: each endpoint has its own
}

// Load is how notifications come.
type Load struct {
	Rate                  float64     `toml:"rate"`
	ClosedLoop            int         `toml:"closed"`     // so many connections, each waiting for its answer; 0: open loop
	Clients               int         `toml:"clients"`    // processes that hand in
	BurstShare            float64     `toml:"clumps"`     // share of notifications that come in clumps for one destination
	BurstSize             int         `toml:"clump_size"` // notifications in one
	Keys                  int         `toml:"keys"`       // of ordered topic types
	BodyBytes             int         `toml:"body"`       // bytes
	MaxRetries            int         `toml:"retries"`    // after a refusal
	RetryDelay            float64     `toml:"retry_wait"` // where none is told
	FailureDetectionDelay float64     `toml:"front"`      // the front notices a dead dispatcher after so long
	MaxLateness           float64     `toml:"late_bound"` // p99 of the generator's own lateness, past which a run is void
	Ramp                  []RampPoint `toml:"ramp"`       // the rate's factor over time
}

// RampPoint is a factor at a moment; between two it is drawn straight.
type RampPoint struct {
	At     float64 `toml:"at"`
	Factor float64 `toml:"factor"`
}

// The troubles.
const (
	RefuseConnections = "refuse"    // endpoints take no connection
	Hang              = "hang"      // they take calls and answer none
	FailCalls         = "errors"    // a share of calls fails with 500
	SlowAnswers       = "slow"      // they answer so many times slower
	LoseAnswers       = "lost"      // a share of calls runs, and its answer never comes
	ResetConnections  = "reset"     // a share of calls runs, then the connection breaks in the place of an answer
	BreakReused       = "reused"    // connections that were used before break under the next call, before it runs
	LateAnswers       = "late"      // a share of calls runs, and is answered just after the first TTL in it: that counts as none
	TruncateAnswers   = "cut"       // a share of answers breaks off in the middle
	CorruptAnswers    = "spoil"     // a share of answers cannot be read
	CloseAfterAnswer  = "close"     // a share of connections is closed untold behind a good answer
	RejectAll         = "shut"      // they turn all calls away; with tell a wait until they open
	ChangeLimit       = "limit"     // the limit is so many times what it was
	Drain             = "drain"     // endpoints drain, go, and others take their place
	Kill              = "kill"      // dispatchers are killed outright and come back
	Restart           = "restart"   // dispatchers are told to end, and come back
	Stall             = "stall"     // dispatchers stand still
	ListDown          = "list-down" // the list is silent
	ListSlow          = "list-slow" // each answer with the list takes so many seconds more
	SignalSeries      = "series"    // dispatchers are killed, told to end and stalled one time after another, during their starts too
	MoveAgent         = "move"      // the agent moves: dispatchers are told by a new configuration and SIGHUP
	Surge             = "surge"     // the load is so many times what it was
	HotClient         = "hot"       // one client process sends so much more, as a factor of the load
	BusyDisk          = "busy-disk" // the dispatchers' folders share a disk that somebody writes to
)

// Trouble is something that goes wrong for a while.
type Trouble struct {
	Kind         string  `toml:"kind"`
	At           float64 `toml:"at"`
	Duration     float64 `toml:"for"`
	Pick         string  `toml:"pick"`         // partners: largest, smallest, random or all
	Count        int     `toml:"count"`        // so many of them
	Destinations []int   `toml:"destinations"` // or these, counted from 0
	Endpoint     int     `toml:"endpoint"`     // only the one of this number, from 1; 0: all
	Dispatchers  []int   `toml:"dispatchers"`  // counted from 0; none: all
	Share        float64 `toml:"share"`        // of calls or answers; 0: all
	Factor       float64 `toml:"factor"`
	Announced    bool    `toml:"tell"`    // shut: the wait is told; limit: reports tell the new one
	Wait         float64 `toml:"wait"`    // drain: from the drain's telling to the endpoint's going; restart, kill: time down
	ReturnsWarm  bool    `toml:"warm"`    // the destination comes back warm
	ListDelay    float64 `toml:"learned"` // drain, list: told so much later
	SignalCount  int     `toml:"times"`   // series: so many signals, within its time
}

// End is when a trouble is over.
func (t Trouble) End() float64 { return t.At + t.Duration }

// CausesOutage tells whether the trouble takes a destination down, so that it comes back cold.
func (t Trouble) CausesOutage() bool {
	switch t.Kind {
	case RefuseConnections, Hang, RejectAll:
		return true
	case FailCalls, LoseAnswers:
		return t.Share == 0 || t.Share > 0.5
	}
	return false
}
