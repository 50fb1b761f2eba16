package syserr

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Each question about an error has the answer that the callers rely on, also for wrapped errors.
func TestQuestions(t *testing.T) {
	for _, c := range []struct {
		err                                                 error
		connMayPass, connGone, stepMayPass, local, resource bool
	}{
		{syscall.ENOBUFS, true, false, true, true, true},
		{syscall.EMFILE, true, false, true, true, true},
		{syscall.EIO, true, false, true, true, false},
		{syscall.EINTR, true, false, true, true, false},
		{syscall.EADDRINUSE, true, false, true, true, false},
		{syscall.ENETUNREACH, true, false, true, true, false},
		{syscall.EPERM, true, false, false, true, false},
		{syscall.EHOSTUNREACH, true, false, false, false, false},
		{syscall.ECONNRESET, false, true, false, false, false},
		{syscall.EPIPE, false, true, false, false, false},
		{syscall.ETIMEDOUT, false, true, true, false, false},
		{syscall.EBADF, false, false, false, false, false},
		{syscall.ECONNREFUSED, true, false, false, false, false},
		{syscall.ENOENT, true, false, false, false, false},
		{io.EOF, false, true, false, false, false},
		{os.ErrDeadlineExceeded, false, false, false, false, false},
		{net.ErrClosed, false, false, false, false, false},
		{nil, false, false, false, false, false},
	} {
		wrapped := c.err
		if c.err != nil && c.err != io.EOF {
			wrapped = fmt.Errorf("wrapped: %w", &net.OpError{Op: "read", Err: os.NewSyscallError("read", c.err)})
		}
		got := []bool{ConnMayPass(wrapped), ConnGone(wrapped), StepMayPass(wrapped), Local(wrapped), OutOfResources(wrapped)}
		want := []bool{c.connMayPass, c.connGone, c.stepMayPass, c.local, c.resource}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%v: got %v, want %v", c.err, got, want)
		}
	}
}

// Failures are counted by call and error, and logged at most once a second, with how many there were.
func TestRecorder(t *testing.T) {
	var log bytes.Buffer
	r := NewRecorder(zerolog.New(&log))
	for range 5 {
		r.Failed(ClientRead, "m1", os.NewSyscallError("read", syscall.ENOMEM))
	}
	r.Failed(LedgerWrite, "", io.ErrShortWrite)
	var text strings.Builder
	r.Write(&text)
	for _, want := range []string{`{call="client read",error="ENOMEM"} 5`, `{call="ledger write",error="other"} 1`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %s in %s", want, text.String())
		}
	}
	if lines := strings.Count(log.String(), "\n"); lines != 2 || !strings.Contains(log.String(), `"id":"m1"`) {
		t.Errorf("log: %s", log.String())
	}
	r.loggedAt[ClientRead] = time.Now().Add(-logInterval)
	r.Failed(ClientRead, "m2", syscall.EIO)
	if !strings.Contains(log.String(), `"failures":5`) {
		t.Errorf("failures between two lines are not told: %s", log.String())
	}
	(*Recorder)(nil).Failed(Accept, "", syscall.EIO)
}

// A Backoff pauses before each attempt and ends with its time.
func TestBackoff(t *testing.T) {
	start, attempts := time.Now(), 0
	for b := NewBackoff(100 * time.Millisecond); b.Wait(); {
		attempts++
	}
	if took := time.Since(start); attempts < 3 || attempts > 8 || took < 100*time.Millisecond {
		t.Errorf("%d attempts in %v", attempts, took)
	}
}
