package fleet

import (
	"fmt"
	"os"

	"github.com/prometheus/procfs"

	"orchiddrift/lab/record"
)

// Usage is the resource usage of a dispatcher, over all its processes. Memory is everything that a limit of the platform may count: the
// resident memory, what the kernel holds for the sockets, and the files of the state directory.
type Usage struct {
	CPUSeconds      float64 `json:"cpu_s"`        // CPU time in seconds, without the start of each process
	PeakBytes       int     `json:"peak_bytes"`   // largest resident memory, as the system keeps it for each process
	IdleBytes       int     `json:"rest_bytes"`   // PeakBytes when last ready; memory without load only if never restarted
	PeakSocketBytes int     `json:"socket_bytes"` // most memory of the kernel for the sockets, in any sample
	PeakSockets     int     `json:"sockets"`      // most sockets, those in the accept queue included, in any sample
	PeakTotalBytes  int     `json:"total_bytes"`  // largest sum of resident memory, sockets and files in any sample, at least PeakBytes
	PeakDescriptors int     `json:"descriptors"`  // most open file descriptors
	PeakDiskBytes   int     `json:"disk_bytes"`   // largest size of its state directory, in whole blocks
}

// sampleAll samples the resource usage of all dispatchers.
func (f *Fleet) sampleAll() {
	sockets, _ := readSockets() // without them, the memory of the processes alone is judged
	for _, p := range f.processes {
		f.sampleUsage(p, sockets)
	}
}

// sampleUsage samples the resource usage of a dispatcher, and records the first time that it exceeds a limit. sockets are the sockets of
// the machine; nil if they were not read.
func (f *Fleet) sampleUsage(p *process, sockets []socketMemory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	u := &p.usage
	diskBytes := folderBytes(p.stateDir)
	u.PeakDiskBytes = max(u.PeakDiskBytes, diskBytes)
	if proc, err := procfs.NewProc(p.cmd.Process.Pid); err == nil {
		if stat, err := proc.Stat(); err == nil {
			p.cpuSeconds = stat.CPUTime()
		}
		residentBytes := 0
		if status, err := proc.NewStatus(); err == nil {
			u.PeakBytes, residentBytes = max(u.PeakBytes, int(status.VmHWM)), int(status.VmRSS)
		}
		if n, err := proc.FileDescriptorsLen(); err == nil {
			u.PeakDescriptors = max(u.PeakDescriptors, n)
		}
		count, socketBytes := ofDispatcher(sockets, f.network.DispatcherAddr(p.index), socketInodes(proc))
		u.PeakSockets, u.PeakSocketBytes = max(u.PeakSockets, count), max(u.PeakSocketBytes, socketBytes)
		u.PeakTotalBytes = max(u.PeakTotalBytes, u.PeakBytes, residentBytes+socketBytes+diskBytes)
	}
	f.checkLimits(p)
}

// checkLimits records the first time that a dispatcher exceeds a limit. The caller holds the lock of the process.
func (f *Fleet) checkLimits(p *process) {
	for i, resource := range []struct {
		name    string
		used    int
		limitMB float64
	}{{"memory", p.usage.PeakTotalBytes, f.world.Dispatchers.MemoryMB}, {"disk", p.usage.PeakDiskBytes, f.world.Dispatchers.DiskMB}} {
		if float64(resource.used) > resource.limitMB*1e6 && !p.limitExceeded[i] {
			p.limitExceeded[i] = true
			f.recordEvent(p, record.LimitExceeded, fmt.Sprintf("%s: %d bytes used, limit %.0f MB", resource.name, resource.used, resource.limitMB))
		}
	}
}

// folderBytes returns the size of a directory's files in whole blocks. An unreadable directory counts as empty.
func folderBytes(dir string) (bytes int) {
	files, _ := os.ReadDir(dir)
	for _, file := range files {
		if info, err := file.Info(); err == nil {
			const blockSize = 512
			bytes += int(info.Size()+blockSize-1) / blockSize * blockSize
		}
	}
	return bytes
}

// Usage returns the resource usage of each dispatcher so far.
func (f *Fleet) Usage() []Usage {
	var list []Usage
	for _, p := range f.processes {
		p.mu.Lock()
		u := p.usage
		u.CPUSeconds += p.cpuSeconds - p.cpuAtReady
		list = append(list, u)
		p.mu.Unlock()
	}
	return list
}
