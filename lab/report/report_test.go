package report_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"orchiddrift/lab/fleet"
	"orchiddrift/lab/record"
	"orchiddrift/lab/report"
	"orchiddrift/lab/scenario"
)

// newResult returns the result of a run that handed in four of five planned notifications: one delivered in time, one
// delivered late after a failed push, one refused and then handed back, one given up.
func newResult() *report.Result {
	s := &scenario.Scenario{Name: "x", Title: "Four", Length: 4, Kinds: []scenario.Kind{{Name: "k"}}, Load: scenario.Load{Rate: 1},
		Groups:   []scenario.DestinationGroup{{Count: 1, Kind: "k", Endpoints: 1, Share: 1, MinRate: 1}},
		Topics:   []scenario.Topic{{Name: "t", Objective: 1, TTL: 5, Benefit: 2, LateBenefit: 0.5}},
		Troubles: []scenario.Trouble{{Kind: scenario.Hang, At: 1, Duration: 1, Destinations: []int{0}}}}
	j := &record.Journal{}
	handIn := func(planIndex, try int, at float64, status int) string {
		id := fmt.Sprint("0-", planIndex, "-", try)
		j.AddHandIn(&record.HandIn{ID: id, PlanIndex: planIndex, Try: try, Topic: "t", PlannedAt: float64(planIndex), SentAt: at, AnsweredAt: at + 0.1,
			Status: status, ExpiresAt: at + 5})
		return id
	}
	push := func(id string, at float64, state record.PushState) {
		j.AddCall(&record.Call{IDs: []string{id}, LastByteAt: at, EndedAt: at + 0.1, States: []record.PushState{state}, Ran: []bool{state == record.Delivered}})
	}
	push(handIn(0, 0, 0, 202), 0.2, record.Delivered)
	late := handIn(1, 0, 1, 202)
	push(late, 1.2, record.Failed)
	push(late, 3.9, record.Delivered)
	handIn(2, 0, 2, 503)
	push(handIn(2, 1, 2.5, 202), 2.7, record.Throttled)
	j.AddNotice(record.Notice{ID: "0-2-1", Outcome: record.HandedBack, At: 4})
	push(handIn(3, 0, 3, 202), 3.2, record.Unanswered)
	j.AddNotice(record.Notice{ID: "0-3-0", Outcome: record.GivenUp, At: 4})
	return report.New(report.RunData{World: scenario.NewWorld(s), Journal: j, EndedAt: 5, HandedIn: 4, Planned: 5,
		Usage: []fleet.Usage{{CPUSeconds: 0.4, PeakBytes: 30e6, IdleBytes: 10e6}}})
}

// The totals and figures follow from the journal alone, and the HTML page has all charts and loads no script.
func Example_figures() {
	r := newResult()
	fmt.Printf("%+v\n", r.Totals)
	f := r.Figures
	fmt.Printf("benefit %.4f, %.2f pushes each, %.2f s of CPU each, %.1f MB each owed\n", f.Benefit, f.PushesPerDelivered, f.CPUPerAccepted, f.MemoryPerOwed/1e6)
	fmt.Printf("delivered p50 %.2f, p99 %.2f\n", f.DeliveredP50, f.DeliveredP99)
	fmt.Println(r.Bands, len(r.Partners), r.Partners[0].Calls, r.Partners[0].Throttled, r.Partners[0].Delivered)
	var page bytes.Buffer
	err := r.WriteHTML(&page)
	fmt.Println(err, strings.Count(page.String(), "<svg"), "pictures,", strings.Contains(page.String(), "http"+"://www.w3.org") &&
		!strings.Contains(page.String(), "<script"))
	// Output:
	// {Planned:5 HandedIn:4 Tries:5 Accepted:4 Refused:1 Unanswered:0 Delivered:2 Late:1 GivenUp:1 HandedBack:1 Unfinished:0 Calls:5 Pushes:5 Throttled:1 Wasted:2 Connections:1 MaxOwed:3}
	// benefit 0.4375, 2.50 pushes each, 0.10 s of CPU each, 6.7 MB each owed
	// delivered p50 0.30, p99 3.00
	// [{hang 1 2 [0]}] 1 5 1 2
	// <nil> 4 pictures, true
}

// A difference counts as beyond the noise only if it exceeds the variation between repeats, and never for a single run.
func Example_compare() {
	file := func(benefits ...float64) report.File {
		var f report.File
		for _, b := range benefits {
			r := newResult()
			r.Figures = report.Figures{Benefit: b}
			f.Runs = append(f.Runs, r)
		}
		return f
	}
	for _, b := range []report.File{file(0.91, 0.93), file(0.94, 0.96), file(0.95)} {
		d := report.Compare(file(0.90, 0.92), b)[0]
		fmt.Printf("%s %s: %.2f (%.2f) to %.2f (%.2f), beyond the noise: %v\n", d.Scenario, d.Figure, d.MeanA, d.NoiseA, d.MeanB, d.NoiseB, d.BeyondNoise)
	}
	path := os.TempDir() + "/orchiddrift-report-test.json"
	defer os.Remove(path)
	fmt.Println(file(0.9).Write(path))
	back, err := report.Read(path)
	fmt.Println(back.Runs[0].Figures.Benefit, err)
	// Output:
	// x benefit: 0.91 (0.01) to 0.92 (0.01), beyond the noise: false
	// x benefit: 0.91 (0.01) to 0.95 (0.01), beyond the noise: true
	// x benefit: 0.91 (0.01) to 0.95 (0.00), beyond the noise: false
	// <nil>
	// 0.9 <nil>
}
