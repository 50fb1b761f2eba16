package dispatcher

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"orchiddrift/sock"
)

const (
	// memoryWatchInterval is the time between two readings of the memory of the process.
	memoryWatchInterval = 500 * time.Millisecond
	// fallShare is how far the memory has to fall below a level, as a part of the limit, to count as below it.
	fallShare = 0.05
)

// memoryLevels are the parts of the memory limit at which the memory by kind is logged.
var memoryLevels = []float64{0.5, 0.75, 0.9}

// memoryByKind is everything that a limit on the memory of the process may count, in bytes, and what it stands for.
type memoryByKind struct {
	Resident    int
	FilePages   int // part of Resident
	Sockets     int // of the kernel, for open sockets; those in the accept queue are not seen
	Folder      int
	SocketCount int
	Descriptors int
	Goroutines  int
	Threads     int
	// RuntimeLimit is the runtime's limit, in bytes, and Collections how often it has collected so far.
	RuntimeLimit, Collections int
}

// total returns the sum of all memory in bytes.
func (m memoryByKind) total() int { return m.Resident + m.Sockets + m.Folder }

// readMemory reads the memory of this process. What cannot be read counts as 0.
func readMemory(stateDir string) memoryByKind {
	m := memoryByKind{Goroutines: runtime.NumGoroutine(), Folder: folderBytes(stateDir)}
	m.Resident, m.FilePages, _ = residentBytes()
	m.RuntimeLimit, m.Collections = runtimeState()
	if status, err := os.ReadFile("/proc/self/status"); err == nil {
		if _, after, found := strings.Cut(string(status), "\nThreads:\t"); found {
			_, _ = fmt.Sscan(after, &m.Threads)
		}
	}
	m.readSockets()
	return m
}

// residentBytes returns the resident memory of this process and the part of it that is pages of files, in bytes, and reports whether they
// could be read.
func residentBytes() (all, filePages int, ok bool) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, 0, false
	}
	var size int
	if _, err := fmt.Sscan(string(text), &size, &all, &filePages); err != nil {
		return 0, 0, false
	}
	return all * os.Getpagesize(), filePages * os.Getpagesize(), true
}

// readSockets adds the descriptors of this process and the memory of its sockets.
func (m *memoryByKind) readSockets() {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return
	}
	defer dir.Close()
	names, _ := dir.Readdirnames(-1)
	m.Descriptors = len(names)
	for _, name := range names {
		fd, err := strconv.Atoi(name)
		if err != nil {
			continue
		}
		if bytes, err := sock.BufferedBytes(fd); err == nil {
			m.SocketCount++
			m.Sockets += bytes + sock.StructureBytes
		}
	}
}

// folderBytes returns the size of the files in a folder.
func folderBytes(path string) (bytes int) {
	files, _ := os.ReadDir(path)
	for _, file := range files {
		if info, err := file.Info(); err == nil {
			bytes += int(info.Size())
		}
	}
	return bytes
}

// memoryWatch reads the memory of the process again and again, and logs it by kind when it passes one of memoryLevels and when it has
// fallen again.
type memoryWatch struct {
	limitBytes int
	stateDir   string
	log        zerolog.Logger
	lastRun    *lastRunFile
	lock       sync.Mutex // guards the fields below
	latest     memoryByKind
	peak       int // largest sum, in bytes
	level      int // how many of memoryLevels are passed
}

// run watches the memory until done is closed.
func (w *memoryWatch) run(done <-chan struct{}) {
	for {
		w.note(readMemory(w.stateDir))
		select {
		case <-done:
			return
		case <-time.After(memoryWatchInterval):
		}
	}
}

// note records a reading, and logs and saves it if a level was passed or left.
func (w *memoryWatch) note(m memoryByKind) {
	w.lock.Lock()
	before := w.level
	w.latest, w.peak = m, max(w.peak, m.total())
	used := float64(m.total()) / float64(w.limitBytes)
	for w.level < len(memoryLevels) && used >= memoryLevels[w.level] {
		w.level++
	}
	for w.level > 0 && used < memoryLevels[w.level-1]-fallShare {
		w.level--
	}
	changed := w.level != before
	run := lastRun{Ended: stillRunning, At: time.Now().UTC(), Total: m.total(), Peak: w.peak, Limit: w.limitBytes}
	w.lock.Unlock()
	if changed {
		w.log.Warn().Int("total", run.Total).Int("limit", w.limitBytes).Int("resident", m.Resident).Int("file_pages", m.FilePages).
			Int("sockets", m.Sockets).Int("folder", m.Folder).Int("socket_count", m.SocketCount).Int("descriptors", m.Descriptors).
			Int("goroutines", m.Goroutines).Int("threads", m.Threads).Int("runtime_limit", m.RuntimeLimit).
			Int("collections", m.Collections).Msg("memory by kind")
	}
	w.lastRun.save(run)
}

// ended saves why the process ends, and waits for a moment until that is written.
func (w *memoryWatch) ended(why string) {
	w.lock.Lock()
	run := lastRun{Ended: why, At: time.Now().UTC(), Total: w.latest.total(), Peak: w.peak, Limit: w.limitBytes}
	w.lock.Unlock()
	w.lastRun.saveLast(run)
}

// reading returns the latest reading and the largest sum so far, in bytes.
func (w *memoryWatch) reading() (memoryByKind, int) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.latest, w.peak
}
