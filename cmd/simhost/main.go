// Command simhost runs the schedulers of many dispatchers in one process for a simulator. It reads events from stdin and writes
// actions to stdout, in batches.
package main

import (
	"bufio"
	"fmt"
	"os"

	"orchiddrift/directory"
	"orchiddrift/simwire"
)

func main() {
	out := bufio.NewWriterSize(os.Stdout, 1<<20)
	h := &host{in: simwire.NewReader(os.Stdin), out: out, lists: map[int64][]directory.Endpoint{},
		instances: map[int64]*instance{}}
	if err := h.run(); err != nil {
		out.Flush()
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
