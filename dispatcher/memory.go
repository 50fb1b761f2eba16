package dispatcher

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"

	"orchiddrift/admission"
)

// memoryAdmission bounds the memory of a process by its configured limit.
type memoryAdmission struct {
	limitBytes int
	division   admission.Division
	budget     *admission.Budget
	room       *admission.Room
	watch      *memoryWatch
}

// newMemoryAdmission returns the accounts of a configuration with a memory limit, and logs how that is divided. Nothing is watched until
// the watch runs.
func newMemoryAdmission(cfg *config, limitBytes int, log zerolog.Logger) *memoryAdmission {
	a := &memoryAdmission{limitBytes: limitBytes, division: cfg.division, watch: &memoryWatch{limitBytes: limitBytes, stateDir: cfg.stateDir, log: log}}
	a.budget = admission.NewBudget(cfg.division, func(p admission.Purpose, full bool) {
		if full {
			log.Warn().Stringer("purpose", p).Int("bytes", cfg.division.Bytes[p]).Msg("memory account full: what does not fit is refused")
			return
		}
		log.Info().Stringer("purpose", p).Msg("memory account has room again")
	})
	a.room = admission.NewRoom(cfg.division, a.budget)
	log.Info().Int("limit", a.limitBytes).Int("heap", a.division.HeapBytes).Int("sockets", a.division.SocketBytes).
		Int("folder", a.division.FolderBytes).Int("reserve", a.division.ReserveBytes).Int("connections", a.division.MaxConnections).
		Int("backlog", a.division.Backlog).Int("calls", a.division.MaxCalls).
		Int("messages", a.division.MaxMessages).Ints("accounts", a.division.Bytes[:]).Msg("memory divided")
	return a
}

// write writes the state of the accounts, the limit and the resident memory in the Prometheus text format, in bytes.
func (a *memoryAdmission) write(w io.Writer) {
	gauge := func(name string, purpose string, value int) {
		label := ""
		if purpose != "" {
			label = fmt.Sprintf("{purpose=%q}", purpose)
		}
		_, _ = fmt.Fprintf(w, "orchiddrift_memory_%s%s %d\n", name, label, value)
	}
	gauge("limit_bytes", "", a.limitBytes)
	latest, peak := a.watch.reading()
	gauge("resident_bytes", "", latest.Resident)
	gauge("file_pages_bytes", "", latest.FilePages)
	gauge("socket_bytes", "", latest.Sockets)
	gauge("folder_bytes", "", latest.Folder)
	gauge("total_peak_bytes", "", peak)
	gauge("sockets", "", latest.SocketCount)
	gauge("descriptors", "", latest.Descriptors)
	gauge("goroutines", "", latest.Goroutines)
	gauge("threads", "", latest.Threads)
	gauge("runtime_limit_bytes", "", latest.RuntimeLimit)
	gauge("collections_total", "", latest.Collections)
	for _, usage := range a.budget.Usage() {
		gauge("account_bytes", usage.Purpose.String(), usage.Capacity)
		gauge("reserved_bytes", usage.Purpose.String(), usage.Reserved)
		gauge("peak_bytes", usage.Purpose.String(), usage.Peak)
		gauge("refusals_total", usage.Purpose.String(), usage.Refused)
	}
}
