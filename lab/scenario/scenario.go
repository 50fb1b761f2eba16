// Package scenario defines the input of a laboratory run: the format of scenario files, their validation, and the world and the
// load plan that are generated from them.
package scenario

// Scenario is a run as its file describes it. Times are in seconds, rates per second. Length is the duration of the load; the
// run then continues until each accepted notification has its final answer or the time for one has passed.
type Scenario struct {
	Name        string             `toml:"-"`
	Title       string             `toml:"title"`
	About       string             `toml:"about"`
	Extends     string             `toml:"extends"` // shipped scenario that provides the values missing here
	Seed        uint64             `toml:"seed"`
	Length      float64            `toml:"length"`
	Dispatchers Dispatchers        `toml:"dispatchers"`
	Recovery    Recovery           `toml:"returns"`
	Topics      []Topic            `toml:"topics"`
	Tenants     []Tenant           `toml:"tenants"`
	Kinds       []Kind             `toml:"kinds"`
	Groups      []DestinationGroup `toml:"destinations"`
	Load        Load               `toml:"load"`
	Troubles    []Trouble          `toml:"troubles"`
}

// Dispatchers is the number of dispatchers and the settings and limits of each.
type Dispatchers struct {
	Count        int     `toml:"count"`
	MaxCalls     int     `toml:"slots"`   // concurrent calls
	MaxHeld      int     `toml:"held"`    // notifications held
	MaxPushes    int     `toml:"pushes"`  // per notification
	TickInterval float64 `toml:"tick"`    // minimum time between two rounds
	DialTimeout  float64 `toml:"dial"`    // for a new connection
	DrainGrace   float64 `toml:"grace"`   // time after the announcement of a drain in which calls may still go to the endpoint
	KeyCooldown  float64 `toml:"rest"`    // pause of an ordered key after a push that may still be running
	Cores        float64 `toml:"cores"`   // CPU limit of the process
	MemoryMB     float64 `toml:"memory"`  // memory limit of the process, in MB
	Sockets      int     `toml:"sockets"` // limit of file descriptors
	DiskMB       float64 `toml:"disk"`    // size limit of the state directory, in MB
}

// Recovery is how much load a destination can take after an outage.
type Recovery struct {
	InitialCapacityShare float64 `toml:"cold_from"` // share of its capacity at the end of the outage
	WarmUp               float64 `toml:"cold_span"` // time until its full capacity is back
	OverloadFactor       float64 `toml:"multiple"`  // multiple of its current capacity that brings it down again, for good
	OverloadSpan         float64 `toml:"fall"`      // length of the window in which that multiple is measured
}

// The repeat policies of a topic type.
const (
	Repeatable  = "repeatable"
	Collapsible = "collapsible"
	OnceOnly    = "once-only"
)

// Which endpoints share the deduplication of a collapsible topic type.
const (
	DedupScopeAll  = "all"
	DedupScopeZone = "zone"
)

// Topic is a topic type.
type Topic struct {
	Name        string  `toml:"name"`
	Repeat      string  `toml:"repeat"`
	DedupWindow float64 `toml:"memory"` // collapsible: how long endpoints recognize a repeat
	DedupScope  string  `toml:"group"`  // collapsible: "all" endpoints of the destination recognize a repeat, or those of one "zone"
	Objective   float64 `toml:"objective"`
	TTL         float64 `toml:"ttl"`
	Benefit     float64 `toml:"benefit"`
	LateBenefit float64 `toml:"late_benefit"` // share of the benefit that is left at the TTL
	Ordered     bool    `toml:"ordered"`
	Share       float64 `toml:"share"` // weight in the load
}

// Tenant is an organization whose clients hand in notifications.
type Tenant struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"` // weight in the load
	QuotaRate float64 `toml:"rate"`  // notifications per second; 0: 1.5 times the tenant's share of the load
}

// The rate limits of a partner kind.
const (
	NoLimit     = "none"
	RateLimit   = "rate"
	WindowLimit = "window"
)

// Kind is a kind of partner.
type Kind struct {
	Name           string  `toml:"name"`
	BatchSize      int     `toml:"batch"`       // maximum notifications in a call
	LimitKind      string  `toml:"limit"`       // none, rate or window
	LimitWindow    float64 `toml:"window"`      // length of the window of a windowed limit
	CountRejected  bool    `toml:"count_full"`  // rejected calls count against the limit too
	ReportsLoad    bool    `toml:"reports"`     // answers report what is left of the limit
	ToldWaitShare  float64 `toml:"tell_wait"`   // share of rejections with a told wait
	MinToldWait    float64 `toml:"wait"`        // lower bound of a told wait
	QueueLength    int     `toml:"queue"`       // calls that may queue at an endpoint
	MaxConnections int     `toml:"connections"` // per endpoint, idle ones included; 0: no maximum
	IdleTimeout    float64 `toml:"idle"`        // after which an endpoint closes an idle connection
	HandshakeDelay float64 `toml:"handshake"`   // added to the first call on a connection
}

// How the traffic of a group is divided among its destinations.
const (
	EvenShares   = "even"
	ZipfShares   = "zipf"
	ListedShares = "listed"
)

// DestinationGroup is a group of destinations of one kind.
type DestinationGroup struct {
	Count           int       `toml:"count"`
	Kind            string    `toml:"kind"`
	Endpoints       int       `toml:"endpoints"`      // per destination
	Share           float64   `toml:"share"`          // weight of the group in the load
	Distribution    string    `toml:"spread"`         // even, zipf or listed
	ZipfExponent    float64   `toml:"exponent"`       // for zipf
	Shares          []float64 `toml:"shares"`         // for listed: the weight of each destination
	CapacityFactor  float64   `toml:"room"`           // capacity of a destination over its part of the load
	MinRate         float64   `toml:"least_rate"`     // lower bound of a destination's capacity, in calls per second
	ServiceTime     float64   `toml:"service"`        // median service time of a call
	ServiceSigma    float64   `toml:"service_spread"` // standard deviation of the logarithm of the service time; 0: constant
	MedianSigma     float64   `toml:"pace_spread"`    // standard deviation of the logarithm of the median over the destinations
	SharedListeners int       `toml:"listeners"`      // shared listeners of the destinations, per endpoint number; 0: none are shared
}

// Load is how notifications arrive.
type Load struct {
	Rate                  float64     `toml:"rate"`
	ClosedLoop            int         `toml:"closed"`     // concurrent hand-ins in a closed loop; 0: open loop
	Clients               int         `toml:"clients"`    // client processes
	BurstShare            float64     `toml:"clumps"`     // share of notifications that arrive in bursts for one destination
	BurstSize             int         `toml:"clump_size"` // notifications in a burst
	Keys                  int         `toml:"keys"`       // keys of ordered topic types, over all destinations
	BodyBytes             int         `toml:"body"`       // body size in bytes
	MaxRetries            int         `toml:"retries"`    // of a hand-in that was refused or got no answer
	RetryDelay            float64     `toml:"retry_wait"` // used where a refusal gives no Retry-After
	FailureDetectionDelay float64     `toml:"front"`      // time until the clients' balancer avoids a dead dispatcher
	MaxLateness           float64     `toml:"late_bound"` // 99th percentile of the generator's own lateness above which a run is void
	Ramp                  []RampPoint `toml:"ramp"`       // factor on the rate over time
}

// RampPoint sets the factor on the rate at one time. Between two points the factor is interpolated linearly.
type RampPoint struct {
	At     float64 `toml:"at"`
	Factor float64 `toml:"factor"`
}

// The kinds of trouble.
const (
	RefuseConnections = "refuse"      // endpoints accept no connections
	Hang              = "hang"        // endpoints accept calls and never answer
	FailCalls         = "errors"      // a share of the notifications in calls fails; status 500 when all of a call fail
	SlowAnswers       = "slow"        // service times are multiplied by the factor
	LoseAnswers       = "lost"        // a share of calls is executed and never answered
	ResetConnections  = "reset"       // a share of calls is executed, then the connection is reset instead of an answer
	BreakReused       = "reused"      // a share of calls on reused connections has its connection reset before it is executed
	LateAnswers       = "late"        // a share of calls is executed and answered after the earliest TTL in it: counts as no answer
	TruncateAnswers   = "cut"         // a share of answers is truncated
	CorruptAnswers    = "spoil"       // a share of answers cannot be parsed
	CloseAfterAnswer  = "close"       // after a share of good answers the connection is closed, without a Connection: close header
	CopyAnswers       = "copy"        // a share of answers is followed, on their connection, by copies of answers that were written there
	StrayAnswers      = "stray"       // a share of answers is followed, on their connection, by answers that nobody asked for
	RejectAll         = "shut"        // endpoints reject all calls; when announced, with a told wait until the end of the trouble
	ChangeLimit       = "limit"       // the rate limit is multiplied by the factor
	Drain             = "drain"       // endpoints drain, are removed, and are replaced
	Kill              = "kill"        // dispatchers get SIGKILL and are started again
	Restart           = "restart"     // dispatchers get SIGTERM and are started again
	Stall             = "stall"       // dispatchers are suspended with SIGSTOP and resumed with SIGCONT
	ListDown          = "list-down"   // the agent does not answer requests for the list
	ListSlow          = "list-slow"   // the agent delays each answer with the list by the factor, in seconds
	AgentCopies       = "agent-copy"  // a share of the agent's answers is followed, on their connection, by copies of answers written there
	AgentStrays       = "agent-stray" // a share of the agent's answers is followed, on their connection, by answers that nobody asked for
	AgentLost         = "agent-lost"  // a share of the requests with notices is ignored: the agent closes their connections
	SignalSeries      = "series"      // dispatchers are killed, terminated and stalled in succession, also while they start
	MoveAgent         = "move"        // the agent's address changes: dispatchers get a new configuration and SIGHUP
	SameID            = "same-id"     // bad clients use the IDs of a share of the hand-ins, for something else
	Surge             = "surge"       // the load is multiplied by the factor
	HotClient         = "hot"         // one client process sends additional load, the factor times the rate
	BusyDisk          = "busy-disk"   // another process writes to the disk of the dispatchers' state directories

	// Crowds of bad clients at dispatchers, as many as count says.

	SlowWriters  = "slow-writers"  // they write large requests a little at a time
	HalfRequests = "half-requests" // they stop half way through a large request and stay
	ManyFields   = "many-fields"   // they stop within a request with a head of very many short fields, or behind it
	WholeLarge   = "whole-large"   // they send large requests with such heads, one after another
	Flood        = "flood"         // they send small requests at full speed, of the kind that sends names
	LeaveUnread  = "leave-unread"  // they write many requests at once, read no answer and leave

	PipelinedLarge = "pipelined-large" // they send large requests, one behind the other without a rest, and read the answers
	AnswersUnread  = "answers-unread"  // they send small unsound requests at full speed and read no answer
	MetricsFlood   = "metrics-flood"   // they ask for the metrics at full speed and read no answer
)

// What a flood sends.
const (
	FloodPages        = "pages"        // requests for pages that do not exist
	FloodTopics       = "topics"       // messages of ever new topic types, which do not exist
	FloodDestinations = "destinations" // messages for ever new destinations, which do not exist
	FloodTenants      = "tenants"      // valid messages of ever new tenants
	FloodNames        = "names"        // valid messages with long IDs, keys and tenants
	FloodBodies       = "bodies"       // valid messages with bodies of some KB
	FloodMessages     = "messages"     // valid messages without bodies
)

// FloodTraffic lists what a flood can send. One that names nothing sends all of it.
var FloodTraffic = []string{FloodPages, FloodTopics, FloodDestinations, FloodTenants, FloodNames, FloodBodies, FloodMessages}

// Trouble is one planned disturbance of a run: a fault of partners, dispatchers, agents or disks, or a change of the load.
type Trouble struct {
	Kind         string  `toml:"kind"`
	At           float64 `toml:"at"`
	Duration     float64 `toml:"for"`
	Pick         string  `toml:"pick"`         // how destinations are chosen: largest, smallest, random or all
	Count        int     `toml:"count"`        // how many destinations are chosen; of a crowd: how many clients, for each dispatcher
	Destinations []int   `toml:"destinations"` // the destinations by number, from 0; empty: chosen by Pick and Count
	Endpoint     int     `toml:"endpoint"`     // number of the only affected endpoint of each destination, from 1; 0: all
	Dispatchers  []int   `toml:"dispatchers"`  // the dispatchers by number, from 0; empty: all
	Share        float64 `toml:"share"`        // of the calls, answers or notifications that the kind affects; 0: all
	Factor       float64 `toml:"factor"`
	Announced    bool    `toml:"tell"`    // shut: rejections carry a told wait; limit: load reports show the new limit
	Wait         float64 `toml:"wait"`    // drain: time from its start to the removal of the endpoint; restart, kill: downtime
	ReturnsWarm  bool    `toml:"warm"`    // the destination has its full capacity at once when an outage ends
	ListDelay    float64 `toml:"learned"` // drain: delay until the list shows it
	SignalCount  int     `toml:"times"`   // series: number of signals within its duration
	MinLag       float64 `toml:"lag"`     // copy, stray, agent-copy, agent-stray: shortest time from the answer to what follows it
	MaxLag       float64 `toml:"max_lag"` // longest such time; not below lag
	Traffic      string  `toml:"sends"`   // flood: one of FloodTraffic; empty: all of them
	Copies       int     `toml:"copies"`  // copy, stray, agent-copy, agent-stray: how many follow an answer
}

// End returns when the trouble ends.
func (t Trouble) End() float64 { return t.At + t.Duration }

// IsCrowd reports whether the trouble is a crowd of bad clients.
func (t Trouble) IsCrowd() bool {
	switch t.Kind {
	case SlowWriters, HalfRequests, ManyFields, WholeLarge, Flood, LeaveUnread, PipelinedLarge, AnswersUnread, MetricsFlood:
		return true
	}
	return false
}

// CausesOutage reports whether the trouble is an outage of its destinations, which go through slow start after it.
func (t Trouble) CausesOutage() bool {
	switch t.Kind {
	case RefuseConnections, Hang, RejectAll:
		return true
	case FailCalls, LoseAnswers:
		return t.Share == 0 || t.Share > 0.5
	}
	return false
}
