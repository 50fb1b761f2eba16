package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"orchiddrift/disk"
	"orchiddrift/ledger"
)

// newLedgerCommand returns the command that inspects and compacts a dispatcher's ledger.
func newLedgerCommand() *cobra.Command {
	command := &cobra.Command{Use: "ledger", Short: "Inspect a dispatcher's ledger, or compact it"}
	var asJSON bool
	var diskMB float64
	command.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	command.PersistentFlags().Float64Var(&diskMB, "disk-mb", 3, "size limit of the folder in MB, as in the dispatcher's configuration")
	show := func(output io.Writer, report ledger.Report, pending []ledger.Pending) error {
		if asJSON {
			return showJSON(output, report, pending)
		}
		return showText(output, report, pending)
	}
	read := func(path string) (ledger.Report, []ledger.Pending, error) {
		folder, err := disk.OpenDirReadOnly(path)
		if err != nil {
			return ledger.Report{}, nil, err
		}
		l, pending, report, err := ledger.Open(folder, ledger.Options{LimitBytes: int(diskMB * 1e6), ReadOnly: true})
		if err != nil {
			return report, nil, err
		}
		return report, pending, l.Close()
	}
	inspect := func(failOnDamage bool) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, args []string) error {
			report, pending, err := read(args[0])
			if err == nil {
				err = show(cmd.OutOrStdout(), report, pending)
			}
			if err == nil && failOnDamage && len(report.Damaged) > 0 {
				err = errors.New("records are damaged: readable records are kept, and pushes of notifications owed before them count as may have run; check the disk")
			}
			return asFailure(err)
		}
	}
	command.AddCommand(
		&cobra.Command{Use: "inspect FOLDER", Short: "Print what is owed; the dispatcher may be running", Args: cobra.ExactArgs(1), RunE: inspect(false)},
		&cobra.Command{Use: "verify FOLDER", Short: "Read every record; exit 1 if one is damaged", Args: cobra.ExactArgs(1), RunE: inspect(true)},
		&cobra.Command{Use: "compact FOLDER", Short: "Free the space of finished notifications; the dispatcher must not be running",
			Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
				folder, err := disk.OpenDir(args[0])
				if err != nil {
					return asFailure(err)
				}
				defer folder.Close()
				l, _, _, err := ledger.Open(folder, ledger.Options{LimitBytes: int(diskMB * 1e6)})
				if err != nil {
					return asFailure(err)
				}
				if err := errors.Join(l.Compact(), l.Close()); err != nil {
					return asFailure(err)
				}
				report, pending, err := read(args[0])
				if err == nil {
					err = show(cmd.OutOrStdout(), report, pending)
				}
				return asFailure(err)
			}},
	)
	return command
}

// pendingEntry is what is printed about a pending notification. Call numbers are the same as in the dispatcher's log.
type pendingEntry struct {
	ID         string     `json:"id"`
	Topic      string     `json:"topic"`
	Dest       string     `json:"dest"`
	Pushes     int        `json:"pushes"`
	State      string     `json:"state"`
	MayHaveRun bool       `json:"may_have_run"`
	Ran        *callEntry `json:"ran,omitempty"`    // the first call that may have run
	Last       *callEntry `json:"last,omitempty"`   // the last call, if its records still exist
	Notice     string     `json:"notice,omitempty"` // outcome in the notice that has not been answered yet
	Until      float64    `json:"until"`            // end of its TTL, in seconds of the dispatcher's clock
}

// callEntry is a call that carried a push of a notification.
type callEntry struct {
	Call uint64  `json:"call"` // number of the call
	At   float64 `json:"at"`   // start in seconds of the dispatcher's clock
	To   string  `json:"to"`   // endpoint
	Zone string  `json:"zone,omitempty"`
	End  string  `json:"end,omitempty"` // how the call ended
}

// newPendingEntry returns the entry for a pending notification.
func newPendingEntry(pending ledger.Pending) pendingEntry {
	message := pending.Message
	entry := pendingEntry{ID: message.ID, Topic: message.Topic, Dest: message.Dest, Pushes: message.Pushes,
		State: pending.State().String(), MayHaveRun: message.FirstRunAt > 0, Until: message.ExpiresAt}
	if message.FirstRunAt > 0 {
		entry.Ran = &callEntry{Call: message.FirstRunCall, At: message.FirstRunAt, To: message.FirstRunEndpoint, Zone: message.FirstRunZone}
	}
	if pending.LastCall.End != ledger.EndNone {
		entry.Last = &callEntry{Call: pending.LastCall.Number, At: pending.LastCall.StartedAt, To: pending.LastCall.Endpoint, End: string(pending.LastCall.End)}
	}
	if pending.Notice != nil {
		entry.Notice = pending.Notice.Outcome
	}
	return entry
}

// showJSON prints the report and the pending notifications as one JSON object.
func showJSON(output io.Writer, report ledger.Report, pending []ledger.Pending) error {
	entries := []pendingEntry{}
	for _, p := range pending {
		entries = append(entries, newPendingEntry(p))
	}
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", " ")
	return encoder.Encode(map[string]any{"report": report, "owed": entries})
}

// showText prints the report and a line for each pending notification.
func showText(output io.Writer, report ledger.Report, pending []ledger.Pending) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "segments\t%d, and %d free files\n", report.Segments, report.Free)
	fmt.Fprintf(table, "records\t%d in %d bytes\n", report.Records, report.Bytes)
	fmt.Fprintf(table, "owed\t%d, counted as %d bytes\n", report.Pending, report.LiveBytes)
	for _, damaged := range report.Damaged {
		fmt.Fprintf(table, "damaged\t%s from byte %d on, %d bytes\n", damaged.File, damaged.Offset, damaged.Bytes)
	}
	for _, p := range pending {
		entry := newPendingEntry(p)
		fmt.Fprintf(table, "%s\t%s to %s, %d pushes, %s", entry.ID, entry.Topic, entry.Dest, entry.Pushes, entry.State)
		if entry.Ran != nil {
			fmt.Fprintf(table, ": call %d of %.3f to %q in zone %q", entry.Ran.Call, entry.Ran.At, entry.Ran.To, entry.Ran.Zone)
		}
		if entry.Last != nil {
			fmt.Fprintf(table, "; last call %d of %.3f to %q %s", entry.Last.Call, entry.Last.At, entry.Last.To, entry.Last.End)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
