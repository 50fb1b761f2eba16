package decide

// RepeatPolicy tells what a topic type allows once a push may have run.
type RepeatPolicy string

// The kinds of topic type, as the wire spells them.
const (
	Repeatable  RepeatPolicy = "free"
	Collapsible RepeatPolicy = "guarded"
	OnceOnly    RepeatPolicy = "single_shot"
)

// Topic is a topic type: what its notifications are worth and what they allow. Times are in seconds.
type Topic struct {
	Name             string
	Repeat           RepeatPolicy
	DedupWindow      float64 // collapsible: how long a repeat is known, from the first push that may have run
	DedupScope       string  // collapsible: "all" endpoints of the destination know it, or those of one "zone"
	Objective        float64 // delivered within this time it earns its full benefit
	TTL              float64
	Benefit          float64
	LateBenefit      float64 // the share of the benefit left at the TTL
	ExponentialDecay bool    // it falls to that by half with each further objective, not in a line
	Ordered          bool    // notifications of one key go one at a time, in the order taken
}

// Notification is what the adapter hands to Place; the empty one asks for the module's own errands.
type Notification struct {
	ID       string
	Topic    string
	Tenant   string
	Dest     string
	Key      string  // of the order; "" for none
	TimeLeft float64 // seconds in which it may still be delivered, when it came in

	// What a dispatcher that restarts still owes comes with what became of it before.
	Restored       bool
	NoticePending  bool    // its notice is not answered yet; that is all it needs
	Pushes         int     // pushes used
	RanAt          float64 // when the first push that may have run was sent, 0 for none
	RanTo          string  // where to
	RanZone        string  // and that endpoint's zone then; "" where that was not kept
	LastPushFailed bool    // its last push broke: it ended with no answer that delivered
}

// Result tells how a push ended.
type Result int

// The results; those after Delivered up to NoSlot keep the wire's meaning.
const (
	Delivered    Result = iota
	Failed              // answered with an error: may have run
	Throttled           // turned away unseen: never ran
	TimedOut            // no answer in time: may have run
	NotConnected        // no connection: never ran
	Reset               // the connection broke: may have run
	Cancelled           // called off: may have run
	NotAttempted        // not sent at all
	Withdrawn           // nobody wants the notification any more, or its final answer was heard
	PeerMessage         // a note from another dispatcher
)

// Outcome is what the adapter hands to After. Ntf is empty for the result of a probe or a note, and for a Wait that an
// Endpoint of Dest told after its push had ended.
type Outcome struct {
	NotificationID     string
	Dest               string
	PushNumber         int
	Result             Result
	Final              bool // the notification has its final answer
	Endpoint           string
	Latency            float64
	Wait               float64 // the wait told, 0 for none
	TooManyConnections bool    // Throttled: the endpoint holds no more connections, and closed this one
	NoSlot             bool    // Moot: every slot was taken
	Unsent             bool    // Moot: it was handed back before a byte was sent, and counts as no push
	NoMorePushes       bool    // Moot: no further push of it will be taken
	LimitReported      bool    // Share and Limit were told
	LimitLeft          float64 // of the limit, left just now
	Limit              float64 // calls a second
}

// Action is what an answer asks for.
type Action int

// What the module can answer.
const (
	Hold          Action = iota // not yet, or nothing
	Push                        // send Ntf to Endpoint, waiting Timeout
	Throttle                    // final: not delivered, may safely come again, best after RetryIn
	Expire                      // final: given up, with no promise
	CancelPush                  // stop waiting for the push numbered Push of Ntf
	ProbeEndpoint               // check Endpoint
	WatchList                   // follow the list
	FetchList                   // ask for the whole list once
	Broadcast                   // send Body to every other dispatcher
	CloseIdle                   // close the idle connections to Endpoint
)

// Decision is what the module answers.
type Decision struct {
	Action         Action
	NotificationID string
	Endpoint       string
	Timeout        float64
	AnswerValidFor float64  // Push: an answer counts for so long, whoever shares the call
	StartWithin    float64  // Push: it is to start within this, or to be given back; +Inf for no bound of its own
	NewConnection  bool     // Push: on a new connection
	FirstRun       FirstRun // Push: the first push of it that may have run
	RetryIn        float64
	PushNumber     int
	Body           string
}

// FirstRun is the first push of a notification that may have run.
type FirstRun struct {
	SentAt float64 // when it was sent; 0 for none
	Zone   string  // the zone that it was sent to
}

// Capacity says how much may be out and held at once.
type Capacity struct {
	MaxCalls  int            // calls out
	MaxHeld   int            // notifications held
	BatchSize map[string]int // by kind: notifications that share a call
}

// Routes says which kinds' endpoints are routes apart, what a notification costs by zone, and whether pushes that
// are refused cost nothing.
type Routes struct {
	SeparateByKind map[string]bool
	FeeByZone      map[string]float64
	FreeRefusals   bool
}

// Recovery says what a destination back from an outage can take.
type Recovery struct {
	InitialCapacity, WarmUp      float64 // the share of capacity it starts with, and the time until all is back
	OverloadFactor, OverloadSpan float64 // sent more than this multiple of its capacity for this time, it falls
	Dispatchers                  int
	RatesUnlisted                bool // the list tells no rates
}

// PushPolicy says how often a notification may be pushed, and when.
type PushPolicy struct {
	MaxPushes   int
	KeyCooldown float64 // the rest of a key after a push that may still run
	Tick        float64 // the least time between two batches
	IdleTimeout float64 // a connection without use closes by itself after this
}

// TenantQuotas says what tenants may ask, and what is left of the benefit beyond that.
type TenantQuotas struct {
	Rate             map[string]float64 // notifications a second, over all dispatchers
	OverQuotaBenefit float64            // share of the benefit
}
