// Command simhost runs many schedulers in one process for a simulator, which it talks to over stdin and stdout.
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
