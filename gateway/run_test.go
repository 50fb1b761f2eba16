package gateway_test

import (
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/disk"
	"orchiddrift/gateway"
	"orchiddrift/ledger"
	"orchiddrift/message"
)

// What was told before the process ends is in the ledger, whichever the loop looks at first: of notifications whose
// notice was answered none is owed after the restart.
func Example_last() {
	owed := 0
	for range 32 {
		dir, err := os.MkdirTemp("", "last")
		if err != nil {
			panic(err)
		}
		folder, _ := disk.OpenDir(dir)
		book, _, _, err := ledger.Open(folder, ledger.Options{Limit: 3e6})
		if err != nil {
			panic(err)
		}
		known := directory.New()
		m := decide.New(1, known, []decide.Topic{{Name: "reading", Repeat: decide.Repeatable, Objective: 2, TTL: 20}},
			decide.Slots{Calls: 6, Held: 9}, decide.Routes{}, decide.Returns{}, decide.Pushes{Most: 8}, decide.Shares{}, false)
		r := &gateway.Runner{Gateway: gateway.New(m, known, book.Room, nil, nil, 1), Ledger: book, Log: zerolog.Nop(),
			Clock: func() float64 { return 1000 }, Events: make(chan gateway.Event, 9)}
		a := &message.Message{Until: 1020}
		a.ID, a.Topic, a.Dest = "A1", "reading", "A"
		if err := book.Write(ledger.Record{Kind: ledger.Taken, ID: "A1", Message: a}); err != nil {
			panic(err)
		}
		r.Restore([]ledger.Owed{{Message: a}})
		r.Tell(gateway.Noticed{ID: "A1"})
		stop := make(chan struct{})
		close(stop)
		r.Run(stop)
		_, list, _, _ := ledger.Open(folder, ledger.Options{Limit: 3e6, Read: true})
		owed += len(list)
		_ = os.RemoveAll(dir)
	}
	fmt.Println("owed", owed)
	// Output:
	// owed 0
}
