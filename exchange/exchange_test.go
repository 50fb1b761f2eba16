package exchange

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// connect returns a connection that is recorded, its other side, and the log.
func connect(t *testing.T) (*Conn, net.Conn, *Recorder, *bytes.Buffer) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	log := &bytes.Buffer{}
	recorder := NewRecorder(zerolog.New(log))
	return New(near, Endpoint, recorder), far, recorder, log
}

// awaitBytes waits until bytes from the other side can be seen.
func awaitBytes(t *testing.T, c *Conn) {
	t.Helper()
	for range 500 {
		if seen, err := c.peek(); len(seen) > 0 || err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("nothing arrived")
}

// Guards against a desync that the logs do not show: each moment at which unsolicited bytes are noticed is logged and counted,
// with the requests that they met.
func TestUnsolicitedBytesAreLogged(t *testing.T) {
	const stray = "HTTP/1.1 503 Service Unavailable\r\n\r\n"
	for moment, play := range map[Moment]func(*Conn, net.Conn){
		WhileIdle: func(c *Conn, far net.Conn) {
			_, _ = io.WriteString(far, stray)
			awaitBytes(t, c)
			if c.Silent() {
				t.Error("bytes from the other side were not seen on an idle connection")
			}
		},
		BeforeWrite: func(c *Conn, far net.Conn) {
			_, _ = io.WriteString(far, stray)
			awaitBytes(t, c)
			c.Begin("m1")
			_, _ = c.Write([]byte("POST"))
		},
		AfterAnswer: func(c *Conn, _ net.Conn) {
			c.Begin("m1")
			c.Written()
			c.Answered([]byte(stray))
		},
	} {
		c, far, recorder, log := connect(t)
		play(c, far)
		metrics := &bytes.Buffer{}
		recorder.Write(metrics)
		counted := `orchiddrift_unsolicited_bytes_total{peer="endpoint",when="` + string(moment) + `"} 1`
		if !strings.Contains(metrics.String(), counted) {
			t.Errorf("%s: not counted: %s", moment, metrics)
		}
		if !strings.Contains(log.String(), `"when":"`+string(moment)+`"`) || !strings.Contains(log.String(), "HTTP/1.1 503") {
			t.Errorf("%s: logged %q", moment, log)
		}
	}
}
