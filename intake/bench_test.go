package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"orchiddrift/gateway"
	"orchiddrift/intake"
	"orchiddrift/sock"
)

// BenchmarkHandIn measures a request from its write to its answer, on one connection over loopback, with a gateway that accepts at
// once.
func BenchmarkHandIn(b *testing.B) {
	ln, err := sock.Listen("127.0.0.1:0", sock.HostCalls{})
	if err != nil {
		b.Fatal(err)
	}
	ttl := func(string) (float64, bool) { return 9, true }
	s := intake.NewServer(func() float64 { return 1000 }, ttl, func(e gateway.Event) {
		e.(gateway.Arrived).Respond(gateway.Reply{Accepted: true})
	}, manyConns, zerolog.Nop())
	go func() { _ = s.Serve(ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	requests := make([]string, 100) // more than a connection remembers
	for i := range requests {
		requests[i] = strings.NewReplacer("\n", "\r\n", "a1", fmt.Sprintf("a%03d", i)).Replace(validRequest)
	}
	reader, resp := bufio.NewReader(conn), &fasthttp.Response{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := io.WriteString(conn, requests[i%len(requests)]); err != nil {
			b.Fatal(err)
		}
		if err := resp.Read(reader); err != nil || resp.StatusCode() != fasthttp.StatusAccepted {
			b.Fatal(resp.StatusCode(), err)
		}
	}
}
