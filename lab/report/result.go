// Package report computes the figures of a run from its records, writes them as a table, an HTML page or JSON, and compares
// two sets of runs.
package report

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"orchiddrift/lab/fleet"
	"orchiddrift/lab/load"
	"orchiddrift/lab/record"
	"orchiddrift/lab/rules"
	"orchiddrift/lab/scenario"
)

// Result holds the figures of one run with simulated partners, clients and agents. EndedAt is in seconds since the start of the
// run.
type Result struct {
	Scenario    string            `json:"scenario"`
	Title       string            `json:"title"`
	Version     string            `json:"version"`
	Seed        uint64            `json:"seed"`
	Direct      bool              `json:"straight,omitempty"` // clients called the partners directly, without dispatchers
	Interrupted bool              `json:"interrupted,omitempty"`
	VoidReason  string            `json:"void,omitempty"` // why the run is void; empty for a valid one
	EndedAt     float64           `json:"ended_s"`
	Totals      Totals            `json:"totals"`
	Figures     Figures           `json:"figures"`
	Topics      []Topic           `json:"topics"`
	Partners    []Partner         `json:"partners"` // those with the most calls
	Dispatchers []fleet.Usage     `json:"dispatchers"`
	Lateness    load.Lateness     `json:"generator_late_s"`
	Series      Series            `json:"series"`
	Bands       []Band            `json:"troubles"`
	Violations  []rules.Violation `json:"violations"`
	Recoveries  []rules.Recovery  `json:"recoveries,omitempty"` // one for each return of a destination from an outage
	Overloads   []string          `json:"overloads,omitempty"`  // timelines of the overloads in Violations
	// NeglectedClients is the number of connections of crowds that got neither an answer nor their end in time.
	NeglectedClients int `json:"neglected_clients,omitempty"`

	ExcusedEnds map[string]int `json:"excused_ends,omitempty"` // connections that ended unanswered for a reason that is allowed
}

// Totals are the counts of a run.
type Totals struct {
	Planned     int `json:"planned"`
	HandedIn    int `json:"handed_in"`   // notifications of the plan that were handed in
	Tries       int `json:"tries"`       // hand-ins, retries included
	Accepted    int `json:"taken"`       // tries accepted by a dispatcher
	Refused     int `json:"refused"`     // tries answered with a refusal
	Unanswered  int `json:"unanswered"`  // tries without an answer
	Delivered   int `json:"delivered"`   // notifications of the plan, each counted once
	Late        int `json:"late"`        // of those delivered, after their objective
	GivenUp     int `json:"given_up"`    // accepted tries that ended with such a notice
	HandedBack  int `json:"handed_back"` // accepted tries that ended with such a notice
	Unfinished  int `json:"unfinished"`  // accepted tries without a final answer at the end of the run
	Calls       int `json:"calls"`
	Pushes      int `json:"pushes"` // notifications in the calls
	Throttled   int `json:"turned_away"`
	Wasted      int `json:"wasted"` // pushes that were or may have been executed and did not deliver
	Connections int `json:"connections"`
	MaxOwed     int `json:"most_owed"` // largest number of accepted tries without a final answer at the end of a step of the series
}

// Figures are the values by which runs are compared. Times are in seconds.
type Figures struct {
	Benefit            float64 `json:"benefit"` // benefit delivered over the benefit of the notifications in Topic.Planned
	AcceptedRate       float64 `json:"taken_per_s"`
	AnswerP99          float64 `json:"answer_p99_s"` // from the planned time to the answer that the client gets, for accepted tries
	PushP50            float64 `json:"push_p50_s"`   // from the hand-in to the last byte of the first push
	PushP99            float64 `json:"push_p99_s"`
	PushP999           float64 `json:"push_p999_s"`
	DeliveredP50       float64 `json:"delivered_p50_s"` // from the planned time
	DeliveredP99       float64 `json:"delivered_p99_s"`
	PushesPerDelivered float64 `json:"pushes_per_delivered"`
	CPUPerAccepted     float64 `json:"cpu_s_per_taken"`
	MemoryPeak         float64 `json:"memory_peak_bytes"` // of the dispatcher with the largest peak
	MemoryPerOwed      float64 `json:"memory_per_owed"`   // its growth in memory over MaxOwed divided by the number of dispatchers
}

// Topic holds the figures of one topic type. P50 to P999 are latencies from the planned time, in seconds.
type Topic struct {
	Name      string       `json:"name"`
	Planned   int          `json:"planned"` // notifications whose first try was handed in
	Delivered int          `json:"delivered"`
	Late      int          `json:"late"`
	GivenUp   int          `json:"given_up"`
	Benefit   float64      `json:"benefit"`
	P50       float64      `json:"p50_s"`
	P90       float64      `json:"p90_s"`
	P99       float64      `json:"p99_s"`
	P999      float64      `json:"p999_s"`
	Curve     []CurvePoint `json:"curve"` // distribution of the latencies
}

// CurvePoint is a point of a distribution: Share of all values are at most Seconds.
type CurvePoint struct {
	Share   float64 `json:"share"`
	Seconds float64 `json:"s"`
}

// Partner holds the figures of one destination.
type Partner struct {
	Dest      int       `json:"dest"`
	Kind      string    `json:"kind"`
	Rate      float64   `json:"rate"` // capacity outside slow start, in calls per second
	Calls     int       `json:"calls"`
	Throttled int       `json:"turned_away"`
	Delivered int       `json:"delivered"`
	CallRate  []float64 `json:"calls_per_s"`    // by second of the run
	Capacity  []float64 `json:"capacity_per_s"` // by second of the run; 0 in an outage
}

// Series are values over time, one per step. All but Owed and PushesInFlight are rates per second.
type Series struct {
	Step           float64   `json:"step_s"`
	Offered        []float64 `json:"offered_per_s"`
	Delivered      []float64 `json:"delivered_per_s"`
	Late           []float64 `json:"late_per_s"`
	Refused        []float64 `json:"refused_per_s"`
	Notices        []float64 `json:"notices_per_s"`
	Owed           []float64 `json:"owed"`
	PushesInFlight []float64 `json:"pushes_out"`
}

// Band is the time span of a trouble, in seconds since the start of the run. The page template reads its fields by name.
type Band struct {
	Kind  string  `json:"kind"`
	From  float64 `json:"from"`
	To    float64 `json:"to"`
	Dests []int   `json:"destinations,omitempty"` // affected partners
}

// RunData is the input from which New computes the figures of a run.
type RunData struct {
	World    *scenario.World
	Journal  *record.Journal
	EndedAt  float64
	HandedIn int // notifications of the load plan that were handed in
	Planned  int // notifications of the load plan
	Lateness load.Lateness
	Usage    []fleet.Usage // by dispatcher
}

const (
	maxLatencyMicros  = 600_000_000 // upper end of histograms, in microseconds: the longest run
	significantDigits = 3           // precision of histograms
	maxPartners       = 12          // destinations listed in a result
)

// latencies is a histogram of latencies.
type latencies struct{ *hdrhistogram.Histogram }

// newLatencies returns an empty histogram.
func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

// add records a latency in seconds.
func (l latencies) add(seconds float64) {
	_ = l.RecordValue(min(maxLatencyMicros, max(1, int64(seconds*1e6))))
}

// percentile returns a percentile in seconds.
func (l latencies) percentile(percent float64) float64 {
	return float64(l.ValueAtQuantile(percent)) / 1e6
}

// curve returns points of the distribution, denser towards the high percentiles.
func (l latencies) curve() []CurvePoint {
	var list []CurvePoint
	for _, percent := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9, 100} {
		list = append(list, CurvePoint{percent / 100, l.percentile(percent)})
	}
	return list
}

// timeSeries sums amounts in time steps of a fixed length in seconds.
type timeSeries struct {
	step float64
	list []float64
}

// add adds an amount to the step of a time. Times outside the series are ignored.
func (s timeSeries) add(at, n float64) {
	if i := int(at / s.step); at >= 0 && i < len(s.list) {
		s.list[i] += n
	}
}

// ratesPerSecond converts the sums in place to rates per second and returns them.
func (s timeSeries) ratesPerSecond() []float64 {
	for i := range s.list {
		s.list[i] /= s.step
	}
	return s.list
}

// runningSums converts the sums in place to running sums and returns them.
func (s timeSeries) runningSums() []float64 {
	sum := 0.0
	for i, n := range s.list {
		sum += n
		s.list[i] = sum
	}
	return s.list
}

// outcomeIndex holds the outcomes of hand-ins, by their IDs. Times are in seconds since the start of the run.
type outcomeIndex struct {
	delivered map[record.MessageKey]float64 // when its first delivery ended
	firstPush map[record.MessageKey]float64 // when the last byte of its first push arrived
	notices   map[string]record.Notice      // by ID
}

// readOutcomes returns the outcomes that a journal records. The journal must not change meanwhile.
func readOutcomes(j *record.Journal) outcomeIndex {
	index := outcomeIndex{map[record.MessageKey]float64{}, map[record.MessageKey]float64{}, map[string]record.Notice{}}
	for _, c := range j.Calls {
		for i := range c.IDs {
			key := c.Message(i)
			if at, ok := index.firstPush[key]; !ok || c.LastByteAt < at {
				index.firstPush[key] = c.LastByteAt
			}
			if i < len(c.States) && c.States[i] == record.Delivered && c.EndedAt > 0 && !c.CallerClosed {
				if at, ok := index.delivered[key]; !ok || c.EndedAt < at {
					index.delivered[key] = c.EndedAt
				}
			}
		}
	}
	for _, n := range j.Notices {
		if _, again := index.notices[n.ID]; !again {
			index.notices[n.ID] = n
		}
	}
	return index
}

// CountOwed returns how many accepted hand-ins have no final answer yet.
func CountOwed(j *record.Journal) int {
	n := 0
	j.WithLock(func() {
		outcomes := readOutcomes(j)
		for _, h := range j.HandIns {
			_, delivered := outcomes.delivered[h.Message()]
			_, noticed := outcomes.notices[h.ID]
			if h.Accepted() && !delivered && !noticed {
				n++
			}
		}
	})
	return n
}

// New returns the figures of a run. The journal must not change meanwhile.
func New(run RunData) *Result {
	world, journal := run.World, run.Journal
	r := &Result{Scenario: world.Name, Title: world.Title, Seed: world.Seed, EndedAt: run.EndedAt, Lateness: run.Lateness, Dispatchers: run.Usage}
	r.Totals.Planned, r.Totals.HandedIn = run.Planned, run.HandedIn
	step := max(0.1, run.EndedAt/120)
	stepCount := int(run.EndedAt/step) + 1
	newSeries := func() timeSeries { return timeSeries{step, make([]float64, stepCount)} }
	offered, delivered, late, refused, notices, owed, inFlight := newSeries(), newSeries(), newSeries(), newSeries(), newSeries(), newSeries(), newSeries()

	outcomes := readOutcomes(journal)
	topics := map[string]int{}
	var byTopic []latencies
	var earned, planned []float64
	for i, t := range world.Topics {
		topics[t.Name] = i
		r.Topics = append(r.Topics, Topic{Name: t.Name})
		byTopic, earned, planned = append(byTopic, newLatencies()), append(earned, 0), append(planned, 0)
	}
	answers, pushes, deliveries := newLatencies(), newLatencies(), newLatencies()
	deliveredAt := map[int]float64{} // by index in the plan: when the notification was first delivered
	for _, h := range journal.HandIns {
		if h.Foreign { // the figures are those of the usual clients
			continue
		}
		i := topics[h.Topic]
		t := &r.Topics[i]
		r.Totals.Tries++
		if h.Try == 0 {
			offered.add(h.PlannedAt, 1)
			t.Planned++
			planned[i] += world.Topics[i].Benefit
		}
		switch {
		case h.Accepted():
			r.Totals.Accepted++
			answers.add(h.AnsweredAt - h.PlannedAt)
			if at, ok := outcomes.firstPush[h.Message()]; ok {
				pushes.add(at - h.SentAt)
			}
		case h.Status > 0:
			r.Totals.Refused++
			refused.add(h.AnsweredAt, 1)
		default:
			r.Totals.Unanswered++
		}
		if !h.Accepted() {
			continue
		}
		at, ok := outcomes.delivered[h.Message()]
		notice, noticed := outcomes.notices[h.ID]
		endedAt := at
		switch {
		case ok:
			if earlier, again := deliveredAt[h.PlanIndex]; !again || at < earlier {
				deliveredAt[h.PlanIndex] = at
				if !again {
					latency := at - h.PlannedAt
					r.Totals.Delivered++
					t.Delivered++
					deliveries.add(latency)
					byTopic[i].add(latency)
					delivered.add(at, 1)
					earned[i] += earnedBenefit(world.Topics[i], latency)
					if latency > world.Topics[i].Objective {
						r.Totals.Late++
						t.Late++
						late.add(at, 1)
					}
				}
			}
		case noticed:
			endedAt = notice.At
			notices.add(notice.At, 1)
			if notice.Outcome == record.HandedBack {
				r.Totals.HandedBack++
			} else {
				r.Totals.GivenUp++
				t.GivenUp++
			}
		default:
			endedAt = run.EndedAt
			r.Totals.Unfinished++
		}
		owed.add(h.AnsweredAt, 1)
		owed.add(max(endedAt, h.AnsweredAt), -1)
	}
	r.countCalls(run, inFlight)
	for i := range r.Topics {
		t := &r.Topics[i]
		t.P50, t.P90, t.P99, t.P999 = byTopic[i].percentile(50), byTopic[i].percentile(90), byTopic[i].percentile(99), byTopic[i].percentile(99.9)
		t.Curve = byTopic[i].curve()
		t.Benefit = ratio(earned[i], planned[i])
	}
	r.Series = Series{step, offered.ratesPerSecond(), delivered.ratesPerSecond(), late.ratesPerSecond(), refused.ratesPerSecond(), notices.ratesPerSecond(), owed.runningSums(), inFlight.runningSums()}
	r.Totals.MaxOwed = int(slices.Max(r.Series.Owed))
	for _, t := range world.Troubles {
		if !t.AffectsPartners() {
			r.Bands = append(r.Bands, Band{t.Kind, t.At, max(t.End(), t.At+t.Wait), nil})
		}
	}
	for _, f := range world.Faults {
		r.Bands = append(r.Bands, Band{f.Kind, f.At, max(f.End(), f.At+f.Wait), slices.Sorted(maps.Keys(f.Dests))})
	}
	slices.SortStableFunc(r.Bands, func(a, b Band) int { return cmp.Compare(a.From, b.From) })
	r.Figures = Figures{Benefit: ratio(sum(earned), sum(planned)), AcceptedRate: float64(r.Totals.Accepted) / min(world.Length, max(run.EndedAt, 1)),
		AnswerP99: answers.percentile(99), PushP50: pushes.percentile(50), PushP99: pushes.percentile(99), PushP999: pushes.percentile(99.9),
		DeliveredP50: deliveries.percentile(50), DeliveredP99: deliveries.percentile(99),
		PushesPerDelivered: ratio(float64(r.Totals.Pushes), float64(r.Totals.Delivered))}
	cpu, peakBytes, idleBytes := 0.0, 0, 0
	for _, u := range run.Usage {
		cpu += u.CPUSeconds
		if u.PeakBytes > peakBytes {
			peakBytes, idleBytes = u.PeakBytes, u.IdleBytes
		}
	}
	r.Figures.CPUPerAccepted, r.Figures.MemoryPeak = ratio(cpu, float64(r.Totals.Accepted)), float64(peakBytes)
	r.Figures.MemoryPerOwed = ratio(float64(peakBytes-idleBytes), float64(r.Totals.MaxOwed)/max(1, float64(len(run.Usage))))
	return r
}

// countCalls adds the figures of the calls that reached the partners. It adds pushes in flight to inFlight.
func (r *Result) countCalls(run RunData, inFlight timeSeries) {
	world := run.World
	partners := make([]Partner, len(world.Partners))
	perDest := make([]timeSeries, len(world.Partners))
	seconds := int(run.EndedAt) + 1
	conns := map[int]bool{}
	for _, c := range run.Journal.Calls {
		r.Totals.Calls++
		r.Totals.Pushes += len(c.IDs)
		conns[c.ConnID] = true
		inFlight.add(c.LastByteAt, float64(len(c.IDs)))
		if c.EndedAt > 0 {
			inFlight.add(c.EndedAt, -float64(len(c.IDs)))
		}
		if c.Dest < 0 || c.Dest >= len(partners) {
			continue
		}
		p := &partners[c.Dest]
		p.Calls++
		if perDest[c.Dest].list == nil {
			perDest[c.Dest] = timeSeries{1, make([]float64, seconds)}
		}
		perDest[c.Dest].add(c.LastByteAt, 1)
		for i, state := range c.States {
			switch {
			case state == record.Throttled:
				r.Totals.Throttled++
				p.Throttled++
			case state == record.Delivered && c.EndedAt > 0 && !c.CallerClosed:
				p.Delivered++
			case c.Ran[i] || state != record.Delivered:
				r.Totals.Wasted++
			}
		}
	}
	r.Totals.Connections = len(conns)
	for i := range partners {
		partners[i].Dest, partners[i].Kind, partners[i].Rate = i, world.Partners[i].Kind.Name, world.Partners[i].Rate
	}
	slices.SortStableFunc(partners, func(a, b Partner) int { return cmp.Compare(b.Calls, a.Calls) })
	for _, p := range partners[:min(maxPartners, len(partners))] {
		if p.CallRate = perDest[p.Dest].list; p.CallRate == nil {
			continue
		}
		for second := range seconds {
			capacity := p.Rate * world.CapacityShare(p.Dest, float64(second)+0.5)
			if world.InOutage(p.Dest, float64(second)+0.5) {
				capacity = 0
			}
			p.Capacity = append(p.Capacity, capacity)
		}
		r.Partners = append(r.Partners, p)
	}
}

// earnedBenefit returns the benefit of a notification that was delivered with a latency in seconds: all of it within the
// objective, then falling linearly to the late benefit at the TTL, and none after it.
func earnedBenefit(t scenario.Topic, latency float64) float64 {
	switch {
	case latency <= t.Objective:
		return t.Benefit
	case latency > t.TTL:
		return 0
	}
	return t.Benefit * (1 - (1-t.LateBenefit)*(latency-t.Objective)/max(t.TTL-t.Objective, 1e-9))
}

// ratio returns a over b, or 0 where that is undefined.
func ratio(a, b float64) float64 {
	if b == 0 || math.IsNaN(a) {
		return 0
	}
	return a / b
}

// sum returns the sum of a list.
func sum(list []float64) float64 {
	s := 0.0
	for _, x := range list {
		s += x
	}
	return s
}
