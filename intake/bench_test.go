package intake_test

import (
	"bufio"
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
	request := strings.ReplaceAll(validRequest, "\n", "\r\n")
	reader, resp := bufio.NewReader(conn), &fasthttp.Response{}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(conn, request); err != nil {
			b.Fatal(err)
		}
		if err := resp.Read(reader); err != nil || resp.StatusCode() != fasthttp.StatusAccepted {
			b.Fatal(resp.StatusCode(), err)
		}
	}
}
