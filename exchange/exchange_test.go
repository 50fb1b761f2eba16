package exchange

import (
	"bytes"
	"errors"
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
		WhileUnused: func(c *Conn, far net.Conn) {
			_, _ = io.WriteString(far, stray)
			awaitBytes(t, c)
			if c.Usable() {
				t.Error("bytes from the other side were not seen on an idle connection")
			}
		},
		BeforeWrite: func(c *Conn, far net.Conn) {
			_, _ = io.WriteString(far, stray)
			awaitBytes(t, c)
			_ = c.Begin("m1")
			if n, err := c.Write([]byte("POST")); n > 0 || !errors.Is(err, ErrUnsolicited) {
				t.Errorf("wrote %d bytes: %v", n, err)
			}
		},
		AfterAnswer: func(c *Conn, _ net.Conn) {
			_ = c.Begin("m1")
			c.Written()
			c.ReadAnswer([]byte(stray))
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

// Guards against a connection that carries a second request, whatever became of the first one: an answer could not be told from a
// late copy of the first one's.
func TestSecondRequestIsRefused(t *testing.T) {
	for name, end := range map[string]func(*Conn){
		"writing":  func(*Conn) {},
		"awaiting": func(c *Conn) { c.Written() },
		"answered": func(c *Conn) { c.Written(); c.ReadAnswer(nil) },
	} {
		c, _, _, _ := connect(t)
		if err := c.Begin("m1"); err != nil {
			t.Fatal(err)
		}
		end(c)
		if err := c.Begin("m2"); !errors.Is(err, ErrUsed) {
			t.Errorf("%s: the second request began: %v", name, err)
		}
		if name == "writing" {
			continue
		}
		if n, err := c.Write([]byte("POST")); n > 0 || err == nil {
			t.Errorf("%s: wrote %d bytes: %v", name, n, err)
		}
	}
}

// Guards against a request whose last byte is written although an answer has come: an answer that is there before cannot be its
// own. The other side must not get the whole request, however long it is.
func TestAnswerBeforeLastByte(t *testing.T) {
	for _, length := range []int{1, lastPart, lastPart + 1, 64 << 10} {
		c, far, _, _ := connect(t)
		_ = c.Begin("m1")
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\n")
		awaitBytes(t, c)
		if n, err := c.Write(make([]byte, length)); n >= length || !errors.Is(err, ErrUnsolicited) {
			t.Errorf("wrote %d of %d bytes: %v", n, length, err)
		}
	}
}
