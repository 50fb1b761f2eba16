package intake

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/gateway"
)

// startRefusing returns the address of a server that refuses the messages whose ID begins with r, each with the number of the
// message as its wait, and a channel of the IDs of all messages that it gets.
func startRefusing(t *testing.T) (*testServer, chan string) {
	t.Helper()
	ts, submitted := newTestServer(t), make(chan string, 99)
	ts.Server = NewServer(func() float64 { return 1000 }, func(string) (float64, bool) { return 9, true }, func(e gateway.Event) {
		arrived := e.(gateway.Arrived)
		submitted <- arrived.Message.ID
		arrived.Respond(gateway.Reply{Accepted: !strings.HasPrefix(arrived.Message.ID, "r"), RetryIn: 1})
	}, 10, zerolog.Nop())
	ts.serve()
	return ts, submitted
}

// otherWithID returns a request with the ID of the given one and another destination.
func otherWithID(request string) string { return strings.Replace(request, "dest=7", "dest=8", 1) }

// Guards against a client that takes the response to a copy of its request for that to its next one: each request gets one response
// on its connection, however often it comes, before, with or after the next one, also if it was refused. A copy is not submitted; another
// request with the ID of an earlier one is no copy, and a client is owed an answer to it.
func TestCopiedRequestGetsNoResponse(t *testing.T) {
	accepted, refused := requestWithID("a1"), requestWithID("r1")
	for name, test := range map[string]struct {
		writes []string // with a pause after each
		want   []int    // statuses
	}{
		"alone":          {[]string{accepted, accepted, refused}, []int{202, 503}},
		"with the next":  {[]string{accepted, accepted + refused}, []int{202, 503}},
		"with half":      {[]string{accepted, accepted + refused[:40], refused[40:]}, []int{202, 503}},
		"behind":         {[]string{accepted + accepted, refused}, []int{202, 503}},
		"of a refused":   {[]string{refused, refused, accepted}, []int{503, 202}},
		"many":           {[]string{accepted, strings.Repeat(accepted, 60) + refused}, []int{202, 503}},
		"of an earlier":  {[]string{accepted, refused, accepted, requestWithID("r2")}, []int{202, 503, 503}},
		"in two parts":   {[]string{accepted, accepted[:50], accepted[50:] + refused}, []int{202, 503}},
		"other content":  {[]string{accepted, otherWithID(accepted), refused}, []int{202, 202, 503}},
		"and its copy":   {[]string{accepted, otherWithID(accepted) + otherWithID(accepted) + accepted, refused}, []int{202, 202, 503}},
		"before and now": {[]string{accepted + accepted + refused + accepted + refused}, []int{202, 503}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ts, submitted := startRefusing(t)
			conn := ts.dial(t)
			for _, text := range test.writes {
				fmt.Fprint(conn, text)
				time.Sleep(20 * time.Millisecond)
			}
			in := bufio.NewReader(conn)
			for i, want := range test.want {
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != want || resp.Header.Get("X-Withheld") != "" {
					t.Fatalf("response %d: %v, %v; want status %d", i+1, resp, err, want)
				}
			}
			_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if extra, err := in.Peek(1); err == nil {
				t.Errorf("further bytes: %q", extra)
			}
			if len(submitted) != len(test.want) {
				t.Errorf("%d messages were submitted, want %d", len(submitted), len(test.want))
			}
		})
	}
}
