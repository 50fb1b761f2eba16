package lab

import (
	"fmt"
	"os"
	"path/filepath"

	"orchiddrift/lab/rules"
)

// The timeline of an overload tells, for each call, what its dispatcher had met, and from the log what it assumed then.
func Example_overloadTimeline() {
	dir, err := os.MkdirTemp("", "timeline-")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	log := `{"dest":"3","state":"suspected","why":"timeout cut short by the TTL","end":"timed out","dropped":true,"message":"failure seen"}
{"dest":"3","state":"ejected","before":"suspected","why":"two failures in a row","message":"health changed"}
{"ntf":"3-7-0","dest":"3","state":"ejected","failures":2,"sent":0,"part":0,"span":1.5,"message":"push to a recovering destination"}
`
	if err := os.WriteFile(filepath.Join(dir, "d4.log"), []byte(log), 0o600); err != nil {
		fmt.Println(err)
		return
	}
	for _, line := range explainOverloads(dir, []rules.Violation{{Rule: rules.Overload, Span: []rules.SpanCall{
		{At: 10.2, Dispatcher: 4, ID: "3-7-0", Endpoint: "e3-0", Failures: 2, Aware: true, Process: 1},
		{At: 10.3, Dispatcher: 4, ID: "3-8-0", Endpoint: "e3-0", Failures: 2, Aware: true, Process: 2},
	}}}) {
		fmt.Println(line)
	}
	// Output:
	// 10.200 dispatcher 4, process 1, 3-7-0 to e3-0, saw the outage: true, 2 failures in it; ejected, 2 failures in a row, sent 0.00 of 0.00 in 1.5 s; last change: suspected to ejected (two failures in a row)
	// 10.300 dispatcher 4, process 2, 3-8-0 to e3-0, saw the outage: true, 2 failures in it; sent as to a healthy destination; last change: suspected to ejected (two failures in a row)
}
