package gateway_test

import (
	"fmt"
	"net"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/gateway"
	"orchiddrift/invariant"
	"orchiddrift/message"
	"orchiddrift/push"
)

// Guards against an account that believes the scheduler: one that ignores what the earlier process was told pushes all that it has,
// and the account counts the calls above this dispatcher's part.
func Example_outageIgnoredAfterRestart() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer ln.Close()
	for _, ignored := range []bool{false, true} {
		counters := &invariant.Counters{}
		dir := directory.New()
		dir.Apply([]directory.Endpoint{{ID: "A", Kind: "plain", Dest: "A", Stage: directory.Ready, Rate: 10}})
		scheduler := decide.New(1, dir, []decide.Topic{{Name: "reading", Repeat: decide.Repeatable, DedupScope: "all", Objective: 2, TTL: 20, Benefit: 1}},
			decide.Capacity{MaxCalls: 40, MaxHeld: 90}, decide.Routes{},
			decide.Recovery{InitialCapacityShare: 0.2, WarmUp: 10, OverloadFactor: 2, OverloadSpan: 2, Dispatchers: 34},
			decide.PushPolicy{MaxPushes: 8, Tick: 0.005, IdleTimeout: 10}, decide.TenantQuotas{}, false)
		g := gateway.New(scheduler, dir, func(int, int) bool { return true }, nil, nil, 1.5)
		checker := invariant.NewRecoveryChecker(counters)
		g.SetRecoveryChecker(checker)
		if ignored {
			checker.Restored("A", 995, 0)
		} else {
			g.RestoreRecovery(1000, []decide.RecoveryState{{Owner: "A", BoundSince: 995}})
		}
		calls := 0
		for i := range 10 {
			m := &message.Message{ExpiresAt: 1020}
			m.ID, m.Topic, m.Dest = fmt.Sprint("A", i), "reading", "A"
			g.Step(1000, gateway.Arrived{Message: m, Respond: func(gateway.Reply) {}})
		}
		effects, _ := g.PlaceDue(1000)
		for _, effect := range effects {
			if dial, ok := effect.(gateway.Dial); ok {
				calls++
				conn, end := push.Dial(ln.Addr().String(), 1)
				g.Step(1000, gateway.Dialed{Call: dial.Call, Conn: conn, End: end})
			}
		}
		fmt.Printf("ignored %v: %d calls, %d over the part\n", ignored, calls, counters.Count(invariant.SentOverPart))
	}
	// Output:
	// ignored false: 0 calls, 0 over the part
	// ignored true: 10 calls, 5 over the part
}
