package decide

// RepeatPolicy says whether a notification of a topic may be pushed again once a push of it may have run.
type RepeatPolicy string

// The repeat policies, with their values in the settings and on the wire. A Repeatable notification may run any number of
// times. Endpoints discard repeats of a Collapsible one by its idempotency key, within the topic's DedupWindow and
// DedupScope. A OnceOnly one is not pushed again once a push of it may have run.
const (
	Repeatable  RepeatPolicy = "free"
	Collapsible RepeatPolicy = "guarded"
	OnceOnly    RepeatPolicy = "single_shot"
)

// Topic holds the settings of a topic. Times are in seconds.
type Topic struct {
	Name             string
	Repeat           RepeatPolicy
	DedupWindow      float64 // Collapsible: repeats are recognised for this long after the first push that may have run
	DedupScope       string  // Collapsible: repeats are recognised by "all" endpoints of the destination, or by those of one "zone"
	Objective        float64 // a delivery within this time earns the full benefit
	TTL              float64 // a notification is delivered within this time or given up
	Benefit          float64 // of one delivery, relative to other topics
	LateBenefit      float64 // share of the benefit that a delivery at the TTL earns
	ExponentialDecay bool    // the benefit halves with each further objective, down to LateBenefit; otherwise it falls linearly
	Ordered          bool    // notifications with the same key are pushed one at a time, in the order taken
}

// Notification is the input of Scheduler.Place. The empty Notification asks for the maintenance that is due.
type Notification struct {
	ID       string
	Topic    string
	Tenant   string
	Dest     string
	Key      string  // ordering key; "" for none
	TimeLeft float64 // time until the TTL ends, in seconds, when the notification arrives

	// The fields below describe a notification that a restarted dispatcher has read back from its ledger.
	Restored         bool    // it was read back from the ledger
	NoticePending    bool    // it has its final answer, and only the notice of that is still unacknowledged
	Pushes           int     // pushes already used
	FirstRunAt       float64 // time at which the first push that may have run was sent, in seconds; 0 for none
	FirstRunEndpoint string  // endpoint of that push
	FirstRunZone     string  // zone of that endpoint at the time; "" if not recorded
	LastPushFailed   bool    // its last push ended without an answer that delivered it
}

// Result says how a push ended, or what else an Outcome reports.
type Result int

// The results. Those before Withdrawn are ends of a push. Throttled to NotAttempted have the numbers of the wire's completion
// codes.
const (
	Delivered    Result = iota
	Failed              // answered with an error: may have run
	Throttled           // rejected before processing: has not run
	TimedOut            // no answer in time: may have run
	NotConnected        // no connection: has not run
	Reset               // the connection broke: may have run
	Cancelled           // cancelled by the dispatcher: may have run
	NotAttempted        // not sent, or not run for a reason that says nothing about the endpoint
	Withdrawn           // not a push: the client withdrew the notification, or has received its final answer
	PeerMessage         // not a push: a message from another dispatcher
)

// String returns the name of the result in logs.
func (r Result) String() string {
	return [...]string{"delivered", "failed", "throttled", "timed out", "not connected", "reset", "cancelled", "not attempted",
		"withdrawn", "peer message"}[r]
}

// Outcome is the input of Scheduler.HandleOutcome. NotificationID is empty for the result of a probe, for a message from
// another dispatcher, and for a Wait that Endpoint of Dest told after its push had ended.
type Outcome struct {
	NotificationID     string
	Dest               string
	PushNumber         int
	Result             Result
	Final              bool // the notification has its final answer
	Endpoint           string
	Latency            float64 // time from the start of the push to its end, in seconds
	ToldWait           float64 // the wait that the endpoint told, in seconds; 0 for none
	TooManyConnections bool    // Throttled: the endpoint holds no more connections and closed this one
	NoSlot             bool    // NotAttempted: all slots were taken
	Unsent             bool    // NotAttempted: returned before the first byte was sent; does not count as a push
	NoMorePushes       bool    // NotAttempted: no further push of the notification can be accepted
	LimitReported      bool    // LimitLeft and Limit were reported
	LimitLeft          float64 // share of Limit that is left, 0 to 1
	Limit              float64 // calls per second
}

// Action is what a Decision asks the caller to do.
type Action int

// The actions of a Decision.
const (
	Hold          Action = iota // do nothing for now
	Push                        // send NotificationID to Endpoint and wait up to Timeout for the answer
	Throttle                    // final answer: not delivered and safe to submit again, preferably after RetryIn
	Expire                      // final answer: given up; it may have run and is not safe to submit again
	CancelPush                  // stop waiting for push PushNumber of NotificationID
	ProbeEndpoint               // check Endpoint
	WatchList                   // watch the list of endpoints
	FetchList                   // fetch the whole list of endpoints once
	Broadcast                   // send Body to every other dispatcher
	CloseIdle                   // close the idle connections to Endpoint
)

// Decision is what the Scheduler asks its caller to do. Durations are in seconds.
type Decision struct {
	Action         Action
	NotificationID string
	Endpoint       string
	Timeout        float64  // Push: the push ends without an answer after this time
	AnswerValidFor float64  // Push: an answer within this time counts, also for the other notifications of the call
	StartWithin    float64  // Push: it starts within this time or is returned unsent; +Inf if unbounded
	NewConnection  bool     // Push: use a new connection
	FirstRun       FirstRun // Push: the first push of the notification that may have run
	RetryIn        float64  // Throttle: time after which the client is advised to submit the notification again
	PushNumber     int      // CancelPush: number of the push
	Body           string   // Broadcast: the message
}

// FirstRun identifies the first push of a notification that may have run.
type FirstRun struct {
	SentAt float64 // time at which it was sent, in seconds; 0 for none
	Zone   string  // zone of the endpoint it was sent to
}

// Capacity limits what a dispatcher has in progress at once.
type Capacity struct {
	MaxCalls  int            // calls in flight
	MaxHeld   int            // notifications held
	BatchSize map[string]int // by kind: most notifications in one call
}

// Routes describes how endpoints are throttled and what pushes cost. An endpoint that is a separate route has a throttle of
// its own; the others share that of their destination.
type Routes struct {
	SeparateKinds map[string]bool    // by kind: whether endpoints of it are separate routes
	FeeByZone     map[string]float64 // by zone: cost of a push to an endpoint in it
	FreeRefusals  bool               // a refused push costs nothing
}

// Recovery describes how many calls a destination can take, from all Dispatchers together, as it returns from an outage.
// Times are in seconds.
type Recovery struct {
	InitialCapacityShare, WarmUp float64 // share of capacity at its return, and time until it has all of it
	OverloadFactor, OverloadSpan float64 // it fails again if sent more than OverloadFactor times its capacity for OverloadSpan
	Dispatchers                  int
	RatesUnlisted                bool // the list of endpoints has no rates
}

// PushPolicy limits how often (MaxPushes) and when a notification is pushed. Times are in seconds.
type PushPolicy struct {
	MaxPushes   int
	KeyCooldown float64 // pause of a key after a push that may still run
	Tick        float64 // least time between two batches of decisions
	IdleTimeout float64 // connections are closed after this time without use
}

// TenantQuotas limits what tenants may submit.
type TenantQuotas struct {
	Rate             map[string]float64 // by tenant: notifications per second, over all dispatchers
	OverQuotaBenefit float64            // share of the benefit that a notification beyond its tenant's quota earns
}
