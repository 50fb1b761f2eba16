package dispatcher

import (
	"time"

	"orchiddrift/gateway"
	"orchiddrift/intake"
)

// Phases of a graceful stop, counted from SIGTERM or SIGINT: notifications are accepted until stopIntakeAfter, pushes start
// until stopPushesAfter, and pushes that are still out may end until exitAfter. Requests without an answer, and records that are
// not written, hold the process until abandonAfter.
const (
	stopIntakeAfter = 500 * time.Millisecond
	stopPushesAfter = 2200 * time.Millisecond
	exitAfter       = 3400 * time.Millisecond
	abandonAfter    = 30 * time.Second
)

// stop carries out the phases of a graceful stop. It returns after abandonAfter.
func stop(server *intake.Server, runner *gateway.Runner, stopLoop func()) {
	startedAt := time.Now()
	server.DisableKeepAlives()
	time.Sleep(stopIntakeAfter - time.Since(startedAt))
	go func() {
		_ = server.Close() // waits for requests that are still being answered
		runner.Post(gateway.IntakeClosed{})
	}()
	time.Sleep(stopPushesAfter - time.Since(startedAt))
	runner.Post(gateway.PushesStopped{})
	time.Sleep(exitAfter - time.Since(startedAt))
	runner.Post(gateway.ExitDue{})
	time.Sleep(abandonAfter - time.Since(startedAt))
	stopLoop()
}
