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

// writeOldLayoutFile writes a file of the old layout with one partner, whose endpoints at the addresses first and second are
// in different zones. It returns the file's path.
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

// A dry run prints the same as a migration and writes nothing. An existing file is overwritten only with --force, and OLD
// never. Invalid input exits with 1 and wrong usage with 2; both print one line and write nothing.
func TestMigrateCommand(t *testing.T) {
	old := writeOldLayoutFile(t, "127.0.0.1:8081", "127.0.0.1:8500", "127.0.0.1:9001", "127.0.0.1:9002")
	original, _ := os.ReadFile(old)
	migrated := filepath.Join(t.TempDir(), "new.toml")
	code, dryRunOutput := runProgram("", "config", "migrate", old, "-o", migrated, "--dry-run")
	if _, err := os.Stat(migrated); code != 0 || err == nil || !strings.Contains(dryRunOutput, "partners[0].rate: not carried over") {
		t.Errorf("dry run: %d, %v, %s", code, err, dryRunOutput)
	}
	if code, text := runProgram("", "config", "migrate", old, "-o", migrated); code != 0 || text != dryRunOutput {
		t.Errorf("run: %d, output differs from the dry run: %s", code, text)
	}
	if code, text := runProgram("", "config", "check", migrated); code != 0 {
		t.Errorf("migrated file refused: %s", text)
	}
	migratedText, _ := os.ReadFile(migrated)
	bad := filepath.Join(t.TempDir(), "bad.toml")
	invalid := strings.Replace(string(original), "dest = 7", "dest = -7\nlode = 3", 1)
	if err := os.WriteFile(bad, []byte(invalid), 0o600); err != nil {
		t.Fatal(err)
	}
	other := filepath.Join(t.TempDir(), "other.toml")
	for _, c := range []struct {
		code int
		want string
		args []string
	}{
		{1, "already exists", []string{old, "-o", migrated}},
		{1, "already exists", []string{old, "-o", old, "--force"}},
		{1, "already uses the new layout", []string{migrated, "-o", other}},
		{1, "lode", []string{bad, "-o", other}},
		{1, "no such file", []string{"nowhere.toml", "-o", other}},
		{2, "-o is not given", []string{old}},
		{2, "unknown flag", []string{old, "-o", other, "--dry"}},
	} {
		code, text := runProgram("", append([]string{"config", "migrate"}, c.args...)...)
		_, err := os.Stat(other)
		if code != c.code || !strings.Contains(text, c.want) || strings.Count(strings.TrimSpace(text), "\n") > 0 || err == nil {
			t.Errorf("%v: exit %d, %q, written: %v", c.args, code, text, err == nil)
		}
	}
	if code, _ := runProgram("", "config", "migrate", old, "-o", migrated, "--force"); code != 0 {
		t.Error("--force does not overwrite")
	}
	oldAfter, _ := os.ReadFile(old)
	migratedAfter, _ := os.ReadFile(migrated)
	temporaryFiles, _ := filepath.Glob(filepath.Join(filepath.Dir(migrated), ".migrate-*"))
	if string(oldAfter) != string(original) || string(migratedAfter) != string(migratedText) || len(temporaryFiles) > 0 {
		t.Error("old file changed, new file differs, or temporary files left:", temporaryFiles)
	}
}

// countingEndpoint is an endpoint that counts its calls.
type countingEndpoint struct {
	*httptest.Server
	calls atomic.Int64
}

// newCountingEndpoint returns an endpoint that answers each call with answer.
func newCountingEndpoint(answer func(http.ResponseWriter)) *countingEndpoint {
	endpoint := &countingEndpoint{}
	endpoint.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		endpoint.calls.Add(1)
		answer(w)
	}))
	return endpoint
}

// A dispatcher runs on a migrated configuration, so its partner's endpoints are separate routes. The cheaper endpoint refuses
// a call with a Retry-After of a minute and receives no other call; the other endpoint receives all notifications.
func TestMigratedSeparateRoutes(t *testing.T) {
	refusing := newCountingEndpoint(func(w http.ResponseWriter) {
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	defer refusing.Close()
	accepting := newCountingEndpoint(func(http.ResponseWriter) {})
	defer accepting.Close()
	env := newEnvironment()
	defer os.RemoveAll(env.dir)
	defer env.agent.Close()
	strip := func(url string) string { return strings.TrimPrefix(url, "http://") }
	old := writeOldLayoutFile(t, env.listen, strip(env.agent.URL), strip(refusing.URL), strip(accepting.URL))
	migrated := filepath.Join(env.dir, "new.toml")
	if code, text := runProgram("", "config", "migrate", old, "-o", migrated); code != 0 {
		t.Fatal(text)
	}
	text, _ := os.ReadFile(migrated) // set the fee of the second zone, as the notes ask for
	i := strings.LastIndex(string(text), "fee = 0.0")
	if i < 0 {
		t.Fatalf("no zone fee in the file:\n%s", text)
	}
	if err := os.WriteFile(migrated, []byte(string(text[:i])+"fee = 0.1"+string(text[i+len("fee = 0.0"):])), 0o600); err != nil {
		t.Fatal(err)
	}
	code, converted := runProgram("", "config", "convert", migrated)
	if code != 0 {
		t.Fatal(converted)
	}
	if err := os.WriteFile(filepath.Join(env.dir, "config.json"), []byte(converted), 0o600); err != nil {
		t.Fatal(err)
	}
	env.start()
	defer func() { _ = env.process.Process.Kill(); _ = env.process.Wait() }()
	const notifications = 6
	for i := range notifications {
		env.submit(fmt.Sprint("m", i), "order-status", "x")
		for deadline := time.Now().Add(5 * time.Second); accepting.calls.Load() <= int64(i) && time.Now().Before(deadline); {
			time.Sleep(5 * time.Millisecond)
		}
	}
	if refusing.calls.Load() != 1 || accepting.calls.Load() != notifications {
		t.Errorf("refusing route got %d calls, want 1; other route got %d of %d\n%s", refusing.calls.Load(), accepting.calls.Load(), notifications, env.log.String())
	}
}
