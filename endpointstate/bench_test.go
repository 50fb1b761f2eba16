package endpointstate

import (
	"fmt"
	"testing"

	"orchiddrift/directory"
)

// fleetEndpoint is an endpoint with texts of the length that a platform uses.
func fleetEndpoint(n int) directory.Endpoint {
	return directory.Endpoint{ID: fmt.Sprintf("s-%08x", n), Addr: fmt.Sprintf("10.%d.%d.%d:8081", n>>16&255, n>>8&255, n&255), Zone: fmt.Sprint("zone-", n%3),
		Kind: "small-partners", Dest: fmt.Sprint(1 + n%800), Stage: directory.Ready, Rate: 80}
}

// fleetOptions are those of a folder of 3 MB.
var fleetOptions = Options{Dispatcher: testOptions.Dispatcher, MaxBytes: 300_000}

// BenchmarkRollingFleet replaces the endpoints of a fleet of 3,000 one after another, each in three steps, and tells how many bytes are
// written for a change.
func BenchmarkRollingFleet(b *testing.B) {
	const size = 3000
	store, _, _ := openStore(b, newFolder(b), fleetOptions)
	dir := directory.New()
	for n := range size {
		dir.Apply([]directory.Endpoint{fleetEndpoint(n)})
	}
	written, whole := 0, 0
	for step := 0; b.Loop(); step++ {
		e := fleetEndpoint(step / 3)
		switch step % 3 {
		case 0:
			e.Stage = directory.Draining
		case 1:
			e = fleetEndpoint(size + step/3)
		case 2:
			e.Stage = directory.Gone
		}
		dir.Apply([]directory.Endpoint{e})
		before := store.size
		err := store.appendChanges(testHead(int64(step)), []directory.Endpoint{e})
		if err == errNoRoom {
			before, whole = 0, whole+1
			_, err = store.writeAll(stateOf(testHead(int64(step)), dir))
		}
		if err != nil {
			b.Fatal(err)
		}
		written += store.size - before
	}
	b.ReportMetric(float64(written)/float64(b.N), "bytes/change")
	b.ReportMetric(float64(whole), "whole-lists")
}

// BenchmarkOpen reads a list of 3,200 endpoints, as at a start.
func BenchmarkOpen(b *testing.B) {
	folder := newFolder(b)
	store, _, _ := openStore(b, folder, fleetOptions)
	dir := directory.New()
	for n := range 3200 {
		dir.Apply([]directory.Endpoint{fleetEndpoint(n)})
	}
	omitted, err := store.writeAll(stateOf(testHead(1), dir))
	if err != nil || omitted > 0 {
		b.Fatal(omitted, err)
	}
	for b.Loop() {
		if _, state, _ := openStore(b, folder, fleetOptions); len(state.Endpoints) != 3200 {
			b.Fatal(len(state.Endpoints))
		}
	}
	b.ReportMetric(float64(store.size), "bytes")
	b.ReportMetric(float64(store.size)/3200, "bytes/endpoint")
}
