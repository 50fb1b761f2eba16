package settings_test

import (
	"fmt"

	"orchiddrift/directory"
	"orchiddrift/settings"
)

// FromJSON and FromPairs give the same settings. An error names the setting that is missing or invalid.
func Example_formats() {
	nested, err := settings.FromJSON([]byte(`{"kinds":["bulk","small"],"family-info":{"batch-by-kind":[20,1]},
		"tenants":[{"name":"a","quota-rps":17.0},{"name":"b"}],"guarantees":{"cold-ms":14000.0},
		"membership-mode":"push","weight-kind":null,"flag":true}`))
	fmt.Println(err)
	pairs, err := settings.FromPairs([]string{"kinds=bulk,small", "family-info.batch-by-kind=20,1", "tenants.count=2",
		"tenants.0.name=a", "tenants.0.quota-rps=17.0", "tenants.1.name=b", "guarantees.cold-ms=14000.0",
		"membership-mode=push", "flag=true"})
	fmt.Println(err)
	for _, s := range []*settings.Values{nested, pairs} {
		fmt.Println(s.BatchSizes(), s.ListOnDemand(), s.Int("tenants.count"), s.Text("tenants.1.name"), s.Bool("flag"),
			s.Float("tenants.0.quota-rps"), s.Seconds("guarantees.cold-ms"), s.Err())
		_, err := s.NewScheduler(1, directory.New())
		fmt.Println(err)
	}
	_, err = settings.FromJSON([]byte(`{"kinds":`))
	fmt.Println(err)
	_, err = settings.FromPairs([]string{"kinds"})
	fmt.Println(err)
	// Output:
	// <nil>
	// <nil>
	// map[bulk:20 small:1] false 2 b true 17 14 <nil>
	// field tenants.1.quota-rps cannot be ""
	// map[bulk:20 small:1] false 2 b true 17 14 <nil>
	// field tenants.1.quota-rps cannot be ""
	// settings: unexpected EOF
	// field boot-info cannot be "kinds"
}

// A setting with a fixed set of words rejects any other word. The error lists the valid ones.
func Example_invalidWords() {
	for _, pairs := range [][]string{{"over-share-worth=1", "weight-kind=heavy"}, {"weight-kind=silent", "classes.count=1", "family-info.loses-worth=steps"}} {
		s, _ := settings.FromPairs(pairs)
		_, err := s.NewScheduler(1, directory.New())
		fmt.Println(err)
	}
	// Output:
	// field weight-kind cannot be "heavy": use one of silent, nominal, rough, live
	// field family-info.loses-worth cannot be "steps": use one of line, halves
}
