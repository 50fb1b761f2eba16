package invariant

import "math"

// Rules are what a notification allows.
type Rules struct {
	Deadline        float64 // its TTL ends
	Window          float64 // how long a repeat is known after the first push that may have run; 0 for no bound
	OnceOnly        bool    // it may not be pushed again once a push may have run
	Key             string  // notifications of one key go one at a time, in the order taken; "" for none
	MayHaveRunSince float64 // when the first push that may have run was sent, in the process before; 0 for none
}

// Target is where a call goes.
type Target struct {
	Throttle string // what a told wait binds: the destination, or one of its routes
	Endpoint string
}

// Margins are the allowances within which a dispatcher may be late, in seconds.
type Margins struct {
	DrainGrace float64 // a call may still go to an endpoint so long after it was told to be leaving
	KeyHold    float64 // a key rests after a push that may still run
}

// SendChecker checks each call before it is sent. It is one goroutine's. Times are seconds of the dispatcher's clock.
type SendChecker struct {
	counters *Counters
	margins  Margins
	open     map[string]*open
	final    map[string]float64 // by notification: until when its TTL runs
	keys     map[string][]string
	rests    map[string]rest // by key
	waits    map[string]float64
	leaving  map[string]float64 // by endpoint: since when
	listed   bool
	listBy   float64
	starts   map[string][]float64
}

// rest is how long a key waits behind a push of a notification that may still run; that itself may be pushed again.
type rest struct {
	id    string
	until float64
}

// open is a notification without its final answer.
type open struct {
	Rules
	out bool
}

// NewSendChecker returns the checks of a process that may send from a moment on, or once it has heard a list.
func NewSendChecker(counters *Counters, margins Margins, listBy float64) *SendChecker {
	return &SendChecker{counters: counters, margins: margins, listBy: listBy, open: map[string]*open{}, final: map[string]float64{},
		keys: map[string][]string{}, rests: map[string]rest{}, waits: map[string]float64{}, leaving: map[string]float64{},
		starts: map[string][]float64{}}
}

// Accepted tells that a notification was taken on.
func (s *SendChecker) Accepted(id string, r Rules) {
	if s == nil {
		return
	}
	delete(s.final, id)
	s.open[id] = &open{Rules: r}
	if r.Key != "" {
		s.keys[r.Key] = append(s.keys[r.Key], id)
	}
}

// Finished tells that a notification has its final answer, or was never taken on.
func (s *SendChecker) Finished(id string) {
	if s == nil || s.open[id] == nil {
		return
	}
	s.final[id] = s.open[id].Deadline
	if key := s.open[id].Key; key != "" {
		s.leaveKey(key, id)
	}
	delete(s.open, id)
}

func (s *SendChecker) leaveKey(key, id string) {
	list := s.keys[key][:0]
	for _, x := range s.keys[key] {
		if x != id {
			list = append(list, x)
		}
	}
	if s.keys[key] = list; len(list) == 0 {
		delete(s.keys, key)
	}
}

// WaitTold tells that an endpoint told a wait.
func (s *SendChecker) WaitTold(throttle string, until float64) {
	if s != nil {
		s.waits[throttle] = max(s.waits[throttle], until)
	}
}

// ListWaitEnded tells that discovery has said something, or was asked in vain.
func (s *SendChecker) ListWaitEnded() {
	if s != nil {
		s.listed = true
	}
}

// EndpointListed tells that an endpoint was listed as ready or as leaving.
func (s *SendChecker) EndpointListed(now float64, endpoint string, ready bool) {
	if s == nil {
		return
	}
	if ready {
		delete(s.leaving, endpoint)
	} else if s.leaving[endpoint] == 0 {
		s.leaving[endpoint] = now
	}
}

// CheckSend checks a notification that is about to be sent.
func (s *SendChecker) CheckSend(now float64, id string, to Target) {
	if s == nil {
		return
	}
	if until, over := s.final[id]; over {
		s.counters.Report(SentAfterFinal, id, "to %s; its TTL ends at %.3f", to.Endpoint, until)
		return
	}
	o := s.open[id]
	if o == nil {
		s.counters.Report(SentAfterFinal, id, "to %s; it is not in hand", to.Endpoint)
		return
	}
	if o.out {
		s.counters.Report(SentWhileInFlight, id, "to %s; another push of it is out", to.Endpoint)
	}
	if now > o.Deadline {
		s.counters.Report(SentOutsideWindow, id, "to %s at %.3f; its TTL ended at %.3f", to.Endpoint, now, o.Deadline)
	}
	if o.MayHaveRunSince > 0 && (o.OnceOnly || o.Window > 0 && now > o.MayHaveRunSince+o.Window) {
		s.counters.Report(SentOutsideWindow, id, "to %s at %.3f; a push of %.3f may have run", to.Endpoint, now, o.MayHaveRunSince)
	}
	if until := s.waits[to.Throttle]; now < until {
		s.counters.Report(SentDuringWait, id, "to %s at %.3f; told to wait until %.3f", to.Endpoint, now, until)
	}
	if since, leaving := s.leaving[to.Endpoint]; leaving && now > since+s.margins.DrainGrace {
		s.counters.Report(SentToLeaving, id, "to %s at %.3f; leaving since %.3f", to.Endpoint, now, since)
	}
	if !s.listed && now < s.listBy {
		s.counters.Report(SentBeforeList, id, "to %s at %.3f; the list is waited for until %.3f", to.Endpoint, now, s.listBy)
	}
	if o.Key != "" {
		s.inTurn(now, id, o.Key, to)
	}
	o.out = true
}

// inTurn checks that a key is a notification's own.
func (s *SendChecker) inTurn(now float64, id, key string, to Target) {
	first, r := s.keys[key][0], s.rests[key]
	if first != id || r.id != id && now < r.until {
		s.counters.Report(SentOutOfOrder, id, "of key %q to %s at %.3f; first is %q, the key rests until %.3f behind %q", key,
			to.Endpoint, now, first, r.until, r.id)
	}
}

// PushEnded tells that a push ended: whether it may have run, and whether it may run still.
func (s *SendChecker) PushEnded(now, sentAt float64, id string, mayHaveRun, mayStillRun bool) {
	if s == nil || s.open[id] == nil {
		return
	}
	o := s.open[id]
	o.out = false
	if mayHaveRun && o.MayHaveRunSince == 0 {
		o.MayHaveRunSince = sentAt
	}
	if mayStillRun && o.Key != "" {
		s.rests[o.Key] = rest{id, now + s.margins.KeyHold}
	}
}

// CheckRecovery checks a call to a destination, or a route, that comes back from an outage: in the span it may get so many
// calls as the settings allow it, with some for chance, and this dispatcher alone may not send more.
func (s *SendChecker) CheckRecovery(now float64, id, throttle string, calls, span float64) {
	if s == nil {
		return
	}
	list := s.starts[throttle]
	for len(list) > 0 && list[0] <= now-span {
		list = list[1:]
	}
	list = append(list, now)
	s.starts[throttle] = list
	if most := RecoveryBudget(calls); float64(len(list)) > most {
		s.counters.Report(SentOverRecovery, id, "call %d in %.1f s to %s, of %.1f", len(list), span, throttle, most)
	}
}

// few is the number of calls under which chance weighs more.
const few = 30

// RecoveryBudget is how many calls a destination in slow start takes where the settings allow it so many.
func RecoveryBudget(calls float64) float64 {
	if calls < few {
		return calls + 3*math.Sqrt(calls) + 3
	}
	return calls + 2*math.Sqrt(calls) + 2
}

// Prune lets go of final answers whose TTLs are over, waits that are, and endpoints that nobody knows any more.
func (s *SendChecker) Prune(now float64, known func(endpoint string) bool) {
	if s == nil {
		return
	}
	drop := func(m map[string]float64) {
		for k, until := range m {
			if until < now {
				delete(m, k)
			}
		}
	}
	drop(s.final)
	drop(s.waits)
	for key, r := range s.rests {
		if r.until < now {
			delete(s.rests, key)
		}
	}
	for e := range s.leaving {
		if !known(e) {
			delete(s.leaving, e)
		}
	}
}
