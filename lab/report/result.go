// Package report turns what a run saw into figures, a table, pictures, and a comparison of two.
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

// Result is one run in figures. All are simulated: partners, clients and the agent are the laboratory's.
type Result struct {
	Scenario    string            `json:"scenario"`
	Title       string            `json:"title"`
	Version     string            `json:"version"`
	Seed        uint64            `json:"seed"`
	Direct      bool              `json:"straight,omitempty"` // to the partners, with no dispatcher between
	Interrupted bool              `json:"interrupted,omitempty"`
	VoidReason  string            `json:"void,omitempty"` // why the run counts for nothing
	EndedAt     float64           `json:"ended_s"`
	Totals      Totals            `json:"totals"`
	Figures     Figures           `json:"figures"`
	Topics      []Topic           `json:"topics"`
	Partners    []Partner         `json:"partners"` // those with most calls
	Dispatchers []fleet.Usage     `json:"dispatchers"`
	Lateness    load.Lateness     `json:"generator_late_s"`
	Series      Series            `json:"series"`
	Bands       []Band            `json:"troubles"`
	Violations  []rules.Violation `json:"violations"`
}

// Totals are counts.
type Totals struct {
	Planned     int `json:"planned"`
	HandedIn    int `json:"handed_in"`  // of the plan
	Tries       int `json:"tries"`      // with those that clients made again
	Accepted    int `json:"taken"`      // tries taken on
	Refused     int `json:"refused"`    // tries throttled at once
	Unanswered  int `json:"unanswered"` // tries with no answer
	Delivered   int `json:"delivered"`  // notifications of the plan
	Late        int `json:"late"`       // of them beyond their objective
	GivenUp     int `json:"given_up"`
	HandedBack  int `json:"handed_back"`
	Unfinished  int `json:"unfinished"` // taken on, and no answer when the run ended
	Calls       int `json:"calls"`
	Pushes      int `json:"pushes"` // notifications in them
	Throttled   int `json:"turned_away"`
	Wasted      int `json:"wasted"` // pushes that ran, or may have, and delivered nothing
	Connections int `json:"connections"`
	MaxOwed     int `json:"most_owed"` // taken on and not over, at the worst moment
}

// Figures are what runs are compared by. Times are seconds.
type Figures struct {
	Benefit            float64 `json:"benefit"` // delivered over asked for
	AcceptedRate       float64 `json:"taken_per_s"`
	AnswerP99          float64 `json:"answer_p99_s"` // from the planned moment to the client's answer
	PushP50            float64 `json:"push_p50_s"`   // from the hand-in to the first push's last byte
	PushP99            float64 `json:"push_p99_s"`
	PushP999           float64 `json:"push_p999_s"`
	DeliveredP50       float64 `json:"delivered_p50_s"` // from the planned moment
	DeliveredP99       float64 `json:"delivered_p99_s"`
	PushesPerDelivered float64 `json:"pushes_per_delivered"`
	CPUPerAccepted     float64 `json:"cpu_s_per_taken"`
	MemoryPeak         float64 `json:"memory_peak_bytes"` // the largest dispatcher
	MemoryPerOwed      float64 `json:"memory_per_owed"`   // what its memory grew by, over what was owed at the worst moment
}

// Topic is one topic type's part.
type Topic struct {
	Name      string       `json:"name"`
	Planned   int          `json:"planned"`
	Delivered int          `json:"delivered"`
	Late      int          `json:"late"`
	GivenUp   int          `json:"given_up"`
	Benefit   float64      `json:"benefit"`
	P50       float64      `json:"p50_s"`
	P90       float64      `json:"p90_s"`
	P99       float64      `json:"p99_s"`
	P999      float64      `json:"p999_s"`
	Curve     []CurvePoint `json:"curve"` // of the latencies
}

// CurvePoint is a point of a distribution: a share of all took this long at most.
type CurvePoint struct {
	Share   float64 `json:"share"`
	Seconds float64 `json:"s"`
}

// Partner is one destination's part.
type Partner struct {
	Dest      int       `json:"dest"`
	Kind      string    `json:"kind"`
	Rate      float64   `json:"rate"` // calls a second that it can take
	Calls     int       `json:"calls"`
	Throttled int       `json:"turned_away"`
	Delivered int       `json:"delivered"`
	CallRate  []float64 `json:"calls_per_s"`
	Capacity  []float64 `json:"capacity_per_s"`
}

// Series are counts by time, each over one step.
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

// Band is a trouble on the time axis.
type Band struct {
	Kind  string  `json:"kind"`
	From  float64 `json:"from"`
	To    float64 `json:"to"`
	Dests []int   `json:"destinations,omitempty"` // of partners
}

// RunData is what a run left.
type RunData struct {
	World    *scenario.World
	Journal  *record.Journal
	EndedAt  float64
	HandedIn int
	Planned  int
	Lateness load.Lateness
	Usage    []fleet.Usage
}

const (
	most         = 600_000_000 // microseconds: the longest run
	digits       = 3
	partnersKept = 12
)

// times gathers latencies.
type times struct{ *hdrhistogram.Histogram }

func newTimes() times { return times{hdrhistogram.New(1, most, digits)} }

func (t times) add(s float64) { _ = t.RecordValue(min(most, max(1, int64(s*1e6)))) }

func (t times) at(q float64) float64 { return float64(t.ValueAtQuantile(q)) / 1e6 }

// curve gives the distribution in few points, closer towards its end.
func (t times) curve() []CurvePoint {
	var list []CurvePoint
	for _, q := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9, 100} {
		list = append(list, CurvePoint{q / 100, t.at(q)})
	}
	return list
}

// series adds amounts into steps of time.
type series struct {
	step float64
	list []float64
}

func (s series) add(at, n float64) {
	if i := int(at / s.step); at >= 0 && i < len(s.list) {
		s.list[i] += n
	}
}

// rate turns counts into counts a second.
func (s series) rate() []float64 {
	for i := range s.list {
		s.list[i] /= s.step
	}
	return s.list
}

// level turns comings and goings into how many are there.
func (s series) level() []float64 {
	sum := 0.0
	for i, n := range s.list {
		sum += n
		s.list[i] = sum
	}
	return s.list
}

// fates is what became of each hand-in.
type fates struct {
	delivered map[string]float64
	first     map[string]float64 // its first push
	notices   map[string]record.Notice
}

func readFates(j *record.Journal) fates {
	f := fates{map[string]float64{}, map[string]float64{}, map[string]record.Notice{}}
	for _, c := range j.Calls {
		for i, id := range c.IDs {
			if at, ok := f.first[id]; !ok || c.LastByteAt < at {
				f.first[id] = c.LastByteAt
			}
			if i < len(c.States) && c.States[i] == record.Delivered && c.EndedAt > 0 && !c.CallerClosed {
				if at, ok := f.delivered[id]; !ok || c.EndedAt < at {
					f.delivered[id] = c.EndedAt
				}
			}
		}
	}
	for _, n := range j.Notices {
		if _, again := f.notices[n.ID]; !again {
			f.notices[n.ID] = n
		}
	}
	return f
}

// CountOwed tells how many that were taken on have no final answer yet.
func CountOwed(j *record.Journal) int {
	n := 0
	j.WithLock(func() {
		f := readFates(j)
		for _, h := range j.HandIns {
			_, delivered := f.delivered[h.ID]
			_, noticed := f.notices[h.ID]
			if h.Accepted() && !delivered && !noticed {
				n++
			}
		}
	})
	return n
}

// New makes the figures of a run.
func New(run RunData) *Result {
	w, j := run.World, run.Journal
	r := &Result{Scenario: w.Name, Title: w.Title, Seed: w.Seed, EndedAt: run.EndedAt, Lateness: run.Lateness, Dispatchers: run.Usage}
	r.Totals.Planned, r.Totals.HandedIn = run.Planned, run.HandedIn
	step := max(0.1, run.EndedAt/120)
	n := int(run.EndedAt/step) + 1
	line := func() series { return series{step, make([]float64, n)} }
	offered, delivered, late, refused, ended, owed, out := line(), line(), line(), line(), line(), line(), line()

	f := readFates(j)
	topics := map[string]int{}
	var byTopic []times
	var earned, asked []float64
	for i, t := range w.Topics {
		topics[t.Name] = i
		r.Topics = append(r.Topics, Topic{Name: t.Name})
		byTopic, earned, asked = append(byTopic, newTimes()), append(earned, 0), append(asked, 0)
	}
	answers, pushes, deliveries := newTimes(), newTimes(), newTimes()
	best := map[int]float64{} // by notification of the plan: when it was delivered
	for _, h := range j.HandIns {
		i := topics[h.Topic]
		t := &r.Topics[i]
		r.Totals.Tries++
		if h.Try == 0 {
			offered.add(h.PlannedAt, 1)
			t.Planned++
			asked[i] += w.Topics[i].Benefit
		}
		switch {
		case h.Accepted():
			r.Totals.Accepted++
			answers.add(h.AnsweredAt - h.PlannedAt)
			if at, ok := f.first[h.ID]; ok {
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
		at, ok := f.delivered[h.ID]
		notice, told := f.notices[h.ID]
		over := at
		switch {
		case ok:
			if was, again := best[h.PlanIndex]; !again || at < was {
				best[h.PlanIndex] = at
				if !again {
					took := at - h.PlannedAt
					r.Totals.Delivered++
					t.Delivered++
					deliveries.add(took)
					byTopic[i].add(took)
					delivered.add(at, 1)
					earned[i] += worth(w.Topics[i], took)
					if took > w.Topics[i].Objective {
						r.Totals.Late++
						t.Late++
						late.add(at, 1)
					}
				}
			}
		case told:
			over = notice.At
			ended.add(notice.At, 1)
			if notice.Outcome == record.HandedBack {
				r.Totals.HandedBack++
			} else {
				r.Totals.GivenUp++
				t.GivenUp++
			}
		default:
			over = run.EndedAt
			r.Totals.Unfinished++
		}
		owed.add(h.AnsweredAt, 1)
		owed.add(max(over, h.AnsweredAt), -1)
	}
	r.calls(run, out)
	for i := range r.Topics {
		t := &r.Topics[i]
		t.P50, t.P90, t.P99, t.P999 = byTopic[i].at(50), byTopic[i].at(90), byTopic[i].at(99), byTopic[i].at(99.9)
		t.Curve = byTopic[i].curve()
		t.Benefit = over(earned[i], asked[i])
	}
	r.Series = Series{step, offered.rate(), delivered.rate(), late.rate(), refused.rate(), ended.rate(), owed.level(), out.level()}
	r.Totals.MaxOwed = int(slices.Max(r.Series.Owed))
	for _, t := range w.Troubles {
		if !t.AffectsPartners() {
			r.Bands = append(r.Bands, Band{t.Kind, t.At, max(t.End(), t.At+t.Wait), nil})
		}
	}
	for _, f := range w.Faults {
		r.Bands = append(r.Bands, Band{f.Kind, f.At, max(f.End(), f.At+f.Wait), slices.Sorted(maps.Keys(f.Dests))})
	}
	slices.SortStableFunc(r.Bands, func(a, b Band) int { return cmp.Compare(a.From, b.From) })
	r.Figures = Figures{Benefit: over(sum(earned), sum(asked)), AcceptedRate: float64(r.Totals.Accepted) / min(w.Length, max(run.EndedAt, 1)),
		AnswerP99: answers.at(99), PushP50: pushes.at(50), PushP99: pushes.at(99), PushP999: pushes.at(99.9),
		DeliveredP50: deliveries.at(50), DeliveredP99: deliveries.at(99),
		PushesPerDelivered: over(float64(r.Totals.Pushes), float64(r.Totals.Delivered))}
	cpu, peak, rest := 0.0, 0, 0
	for _, u := range run.Usage {
		cpu += u.CPUSeconds
		if u.PeakBytes > peak {
			peak, rest = u.PeakBytes, u.IdleBytes
		}
	}
	r.Figures.CPUPerAccepted, r.Figures.MemoryPeak = over(cpu, float64(r.Totals.Accepted)), float64(peak)
	r.Figures.MemoryPerOwed = over(float64(peak-rest), float64(r.Totals.MaxOwed)/max(1, float64(len(run.Usage))))
	return r
}

// calls counts what reached the partners.
func (r *Result) calls(run RunData, out series) {
	w := run.World
	partners := make([]Partner, len(w.Partners))
	perDest := make([]series, len(w.Partners))
	seconds := int(run.EndedAt) + 1
	conns := map[int]bool{}
	for _, c := range run.Journal.Calls {
		r.Totals.Calls++
		r.Totals.Pushes += len(c.IDs)
		conns[c.ConnID] = true
		out.add(c.LastByteAt, float64(len(c.IDs)))
		if c.EndedAt > 0 {
			out.add(c.EndedAt, -float64(len(c.IDs)))
		}
		if c.Dest < 0 || c.Dest >= len(partners) {
			continue
		}
		p := &partners[c.Dest]
		p.Calls++
		if perDest[c.Dest].list == nil {
			perDest[c.Dest] = series{1, make([]float64, seconds)}
		}
		perDest[c.Dest].add(c.LastByteAt, 1)
		for i, s := range c.States {
			switch {
			case s == record.Throttled:
				r.Totals.Throttled++
				p.Throttled++
			case s == record.Delivered && c.EndedAt > 0 && !c.CallerClosed:
				p.Delivered++
			case c.Ran[i] || s != record.Delivered:
				r.Totals.Wasted++
			}
		}
	}
	r.Totals.Connections = len(conns)
	for i := range partners {
		partners[i].Dest, partners[i].Kind, partners[i].Rate = i, w.Partners[i].Kind.Name, w.Partners[i].Rate
	}
	slices.SortStableFunc(partners, func(a, b Partner) int { return cmp.Compare(b.Calls, a.Calls) })
	for _, p := range partners[:min(partnersKept, len(partners))] {
		if p.CallRate = perDest[p.Dest].list; p.CallRate == nil {
			continue
		}
		for s := range seconds {
			capacity := p.Rate * w.CapacityShare(p.Dest, float64(s)+0.5)
			if w.InOutage(p.Dest, float64(s)+0.5) {
				capacity = 0
			}
			p.Capacity = append(p.Capacity, capacity)
		}
		r.Partners = append(r.Partners, p)
	}
}

// worth is what a notification earns that was delivered after so long: all within its objective, then less, down to its
// late part at the TTL.
func worth(t scenario.Topic, took float64) float64 {
	switch {
	case took <= t.Objective:
		return t.Benefit
	case took > t.TTL:
		return 0
	}
	return t.Benefit * (1 - (1-t.LateBenefit)*(took-t.Objective)/max(t.TTL-t.Objective, 1e-9))
}

func over(a, b float64) float64 {
	if b == 0 || math.IsNaN(a) {
		return 0
	}
	return a / b
}

func sum(list []float64) float64 {
	s := 0.0
	for _, x := range list {
		s += x
	}
	return s
}
