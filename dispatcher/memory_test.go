package dispatcher

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/admission"
	"orchiddrift/disk"
)

// exampleConfig returns the path of a copy of the example configuration with other limits.
func exampleConfig(t *testing.T, limits string) string {
	t.Helper()
	text, err := os.ReadFile("../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	before, rest, ok := strings.Cut(string(text), `"limits": {`)
	_, after, okRest := strings.Cut(rest, "}")
	if !ok || !okRest {
		t.Fatal("the example has no limits")
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(before+`"limits": {`+limits+"}"+after), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against a process that starts with less memory than it needs, and is killed later: the error says how much that is.
func TestTooLittleMemoryIsRefusedAtTheStart(t *testing.T) {
	load := func(limits string) (*config, error) {
		path := exampleConfig(t, limits)
		return loadConfig(System{ReadFile: os.ReadFile, Getenv: func(name string) string {
			return map[string]string{"ROUTER_CONFIG": path, "ROUTER_STATE": t.TempDir()}[name]
		}})
	}
	_, err := load(`"cores": 1, "memory_mb": 12, "sockets": 1024, "disk_mb": 3`)
	if err == nil || !strings.Contains(err.Error(), "limits.memory_mb cannot be 12: a dispatcher with these limits needs at least ") {
		t.Errorf("12 MB: %v", err)
	}
	for _, memory := range []string{"32", "64", "192", "2048"} {
		for _, sockets := range []string{"64", "256", "1024", "4096"} {
			if _, err := load(`"cores": 1, "memory_mb": ` + memory + `, "sockets": ` + sockets + `, "disk_mb": 3`); err != nil {
				t.Errorf("%s MB, %s sockets: %v", memory, sockets, err)
			}
		}
	}
}

// Guards against operators who cannot tell what memory is used for: the division is logged, an account that is full is logged once, and
// the metrics have each account beside the limit and the resident memory.
func TestMemoryIsTold(t *testing.T) {
	cfg := &config{Limits: limits{Cores: 1, MemoryMB: 32, Sockets: 1024, DiskMB: 3}}
	var err error
	if cfg.division, err = admission.Divide(admission.Limits{MemoryBytes: 32_000_000, DiskBytes: 3_000_000, Descriptors: 1024, MaxMessages: 100}); err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	a := newMemoryAdmission(cfg, 32_000_000, zerolog.New(&text))
	for range 3 {
		a.budget.Reserve(admission.Requests, 32_000_000)
	}
	a.budget.Reserve(admission.Requests, 1)
	a.budget.Release(admission.Requests, 1)
	var messages []string
	for line := range strings.Lines(text.String()) {
		var entry struct{ Message, Purpose string }
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatal(err)
		}
		messages = append(messages, entry.Purpose+" "+entry.Message)
	}
	want := []string{" memory divided", "requests memory account full: what does not fit is refused", "requests memory account has room again"}
	if strings.Join(messages, "\n") != strings.Join(want, "\n") {
		t.Errorf("logged %q", messages)
	}
	var metrics bytes.Buffer
	runtime.GC()
	a.watch.note(readMemory(t.TempDir()))
	a.write(&metrics)
	for _, series := range []string{"orchiddrift_memory_limit_bytes 32000000\n", `orchiddrift_memory_refusals_total{purpose="requests"} 3`,
		`orchiddrift_memory_peak_bytes{purpose="requests"} 1`, `orchiddrift_memory_account_bytes{purpose="connections"} `} {
		if !strings.Contains(metrics.String(), series) {
			t.Errorf("%q is missing in\n%s", series, &metrics)
		}
	}
	for _, gauge := range []string{"resident_bytes", "runtime_limit_bytes", "collections_total"} {
		if strings.Contains(metrics.String(), "orchiddrift_memory_"+gauge+" 0\n") || !strings.Contains(metrics.String(), "orchiddrift_memory_"+gauge+" ") {
			t.Errorf("%s is not told", gauge)
		}
	}
}

// Guards against a log that does not tell why a process was killed: what it used of each kind, and what the process before saw last.
func TestMemoryByKindIsTold(t *testing.T) {
	var text bytes.Buffer
	folder, err := disk.OpenDir(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	w := &memoryWatch{limitBytes: 100, log: zerolog.New(&text), lastRun: openLastRun(folder, zerolog.Nop())}
	for _, resident := range []int{49, 80, 76, 72, 71, 95, 10} {
		w.note(memoryByKind{Resident: resident - 2, Sockets: 1, Folder: 1})
	}
	if lines := strings.Count(text.String(), `"message":"memory by kind"`); lines != 3 { // at 80, 95 and 10: 71 is within the margin
		t.Errorf("%d lines:\n%s", lines, &text)
	}
	awaitLastRun(t, folder, `"total":10,`)
	text.Reset()
	openLastRun(folder, zerolog.New(&text))
	if line := text.String(); !strings.Contains(line, `"ended":"no"`) || !strings.Contains(line, `"total":10,"peak":95,"limit":100`) {
		t.Error(line)
	}
}

// awaitLastRun waits until a text stands in the file about the process.
func awaitLastRun(t *testing.T, folder disk.Folder, text string) {
	t.Helper()
	written := ""
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if written, _ = disk.ReadFile(folder, lastRunName, lastRunBytes); strings.Contains(written, text) {
			return
		}
	}
	t.Errorf("%s is missing in %q", text, written)
}

// blockedFolder is a folder whose writes end only once free is closed.
type blockedFolder struct {
	disk.Folder
	free chan struct{}
}

// blockedFile is a file of a blockedFolder.
type blockedFile struct {
	disk.File
	free chan struct{}
}

func (f blockedFolder) Create(name string) (disk.File, error) {
	file, err := f.Folder.Create(name)
	return blockedFile{file, f.free}, err
}

func (f blockedFile) WriteAt(b []byte, offset int64) (int, error) {
	<-f.free
	return f.File.WriteAt(b, offset)
}

// Guards against a start, a reading of the memory or a planned stop that waits for a slow folder, and against a last word that a later
// reading replaces.
func TestSlowFolderDelaysNoEnd(t *testing.T) {
	folder, err := disk.OpenDir(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	free, ended := make(chan struct{}), make(chan struct{})
	go func() {
		w := &memoryWatch{limitBytes: 100, log: zerolog.Nop(), lastRun: openLastRun(blockedFolder{folder, free}, zerolog.Nop())}
		w.note(memoryByKind{Resident: 10})
		w.ended(endPlanned)
		w.note(memoryByKind{Resident: 20})
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(10 * lastWordPatience):
		t.Error("the end waits for the folder")
	}
	close(free)
	<-ended
	awaitLastRun(t, folder, `{"ended":"`+endPlanned+`"`)
	awaitLastRun(t, folder, `"total":10,`)
}
