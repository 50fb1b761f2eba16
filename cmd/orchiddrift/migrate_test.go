package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// writeOldLayoutFile writes a file of the old layout that has a partner with two endpoints in two zones.
func writeOldLayoutFile(t *testing.T, listen, agent, first, second string) string {
	text := fmt.Sprintf(`name = "stock"
listen = %q
state = %q
discovery = %q
[load]
rate = 5.0
[[topics]]
name = "order-status"
repeat = "repeatable"
objective = "2s"
ttl = "9s"
benefit = 3.0
late_benefit = 0.5
[[partners]]
name = "retail"
dest = 7
rate = 20.0
load = 5.0
[[partners.endpoints]]
id = "r-north"
addr = %q
zone = "north"
[[partners.endpoints]]
id = "r-south"
addr = %q
zone = "south"
`, listen, t.TempDir(), agent, first, second)
	file := filepath.Join(t.TempDir(), "old.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// A dry run prints the same as a real one and writes nothing. An existing file is overwritten only with --force, OLD never.
// Invalid input writes nothing, prints one line and exits with 1; wrong usage exits with 2.
func TestMigrateCommand(t *testing.T) {
	old := writeOldLayoutFile(t, "127.0.0.1:8081", "127.0.0.1:8500", "127.0.0.1:9001", "127.0.0.1:9002")
	original, _ := os.ReadFile(old)
	next := filepath.Join(t.TempDir(), "new.toml")
	code, output := runProgram("", "config", "migrate", old, "-o", next, "--dry-run")
	if _, err := os.Stat(next); code != 0 || err == nil || !strings.Contains(output, "partners[0].rate: not carried over") {
		t.Errorf("dry run: %d, %v, %s", code, err, output)
	}
	if again, text := runProgram("", "config", "migrate", old, "-o", next); again != 0 || text != output {
		t.Errorf("run: %d, output differs from the dry run: %s", again, text)
	}
	if code, text := runProgram("", "config", "check", next); code != 0 {
		t.Errorf("migrated file refused: %s", text)
	}
	first, _ := os.ReadFile(next)
	bad := filepath.Join(t.TempDir(), "bad.toml")
	broken := strings.Replace(string(original), "dest = 7", "dest = -7\nlode = 3", 1)
	if err := os.WriteFile(bad, []byte(broken), 0o600); err != nil {
		t.Fatal(err)
	}
	other := filepath.Join(t.TempDir(), "other.toml")
	for _, c := range []struct {
		code int
		word string
		args []string
	}{
		{1, "already exists", []string{old, "-o", next}},
		{1, "already exists", []string{old, "-o", old, "--force"}},
		{1, "already uses the new layout", []string{next, "-o", other}},
		{1, "lode", []string{bad, "-o", other}},
		{1, "no such file", []string{"nowhere.toml", "-o", other}},
		{2, "-o is not given", []string{old}},
		{2, "unknown flag", []string{old, "-o", other, "--dry"}},
	} {
		code, text := runProgram("", append([]string{"config", "migrate"}, c.args...)...)
		_, err := os.Stat(other)
		if code != c.code || !strings.Contains(text, c.word) || strings.Count(strings.TrimSpace(text), "\n") > 0 || err == nil {
			t.Errorf("%v: exit %d, %q, written: %v", c.args, code, text, err == nil)
		}
	}
	if code, _ := runProgram("", "config", "migrate", old, "-o", next, "--force"); code != 0 {
		t.Error("--force does not overwrite")
	}
	now, _ := os.ReadFile(old)
	last, _ := os.ReadFile(next)
	left, _ := filepath.Glob(filepath.Join(filepath.Dir(next), ".migrate-*"))
	if string(now) != string(original) || string(last) != string(first) || len(left) > 0 {
		t.Error("old file changed, new file differs, or temporary files left:", left)
	}
}

// countingEndpoint is an endpoint that counts its calls.
type countingEndpoint struct {
	*httptest.Server
	calls atomic.Int64
}

func newCountingEndpoint(answer func(http.ResponseWriter)) *countingEndpoint {
	r := &countingEndpoint{}
	r.Server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		r.calls.Add(1)
		answer(rw)
	}))
	return r
}

// A dispatcher runs on a migrated configuration, so its partner's endpoints are separate routes. The cheaper one refuses
// with a Retry-After of a minute and gets no further call; the other one gets all notifications.
func TestMigratedSeparateRoutes(t *testing.T) {
	refusing := newCountingEndpoint(func(rw http.ResponseWriter) {
		rw.Header().Set("Retry-After", "60")
		rw.WriteHeader(http.StatusTooManyRequests)
	})
	defer refusing.Close()
	accepting := newCountingEndpoint(func(http.ResponseWriter) {})
	defer accepting.Close()
	w := newEnvironment()
	defer os.RemoveAll(w.dir)
	defer w.agent.Close()
	strip := func(url string) string { return strings.TrimPrefix(url, "http://") }
	old := writeOldLayoutFile(t, w.listen, strip(w.agent.URL), strip(refusing.URL), strip(accepting.URL))
	next := filepath.Join(w.dir, "new.toml")
	if code, text := runProgram("", "config", "migrate", old, "-o", next); code != 0 {
		t.Fatal(text)
	}
	text, _ := os.ReadFile(next) // set the fee of the second zone, as the notes ask for
	i := strings.LastIndex(string(text), "fee = 0.0")
	if i < 0 {
		t.Fatalf("no zone fee in the file:\n%s", text)
	}
	if err := os.WriteFile(next, []byte(string(text[:i])+"fee = 0.1"+string(text[i+len("fee = 0.0"):])), 0o600); err != nil {
		t.Fatal(err)
	}
	code, form := runProgram("", "config", "convert", next)
	if code != 0 {
		t.Fatal(form)
	}
	if err := os.WriteFile(filepath.Join(w.dir, "config.json"), []byte(form), 0o600); err != nil {
		t.Fatal(err)
	}
	w.start()
	defer func() { _ = w.process.Process.Kill(); _ = w.process.Wait() }()
	const messages = 6
	for i := range messages {
		w.submit(fmt.Sprint("m", i), "order-status", "x")
		for until := time.Now().Add(5 * time.Second); accepting.calls.Load() <= int64(i) && time.Now().Before(until); {
			time.Sleep(5 * time.Millisecond)
		}
	}
	if refusing.calls.Load() != 1 || accepting.calls.Load() != messages {
		t.Errorf("refusing route got %d calls, want 1; other route got %d of %d\n%s", refusing.calls.Load(), accepting.calls.Load(), messages, w.log.String())
	}
}
