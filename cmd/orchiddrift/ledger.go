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

// newLedger looks at, and tidies, a dispatcher's lasting folder.
func newLedger() *cobra.Command {
	c := &cobra.Command{Use: "ledger", Short: "Look at a dispatcher's lasting folder, or tidy it"}
	var asJSON bool
	var diskMB float64
	c.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	c.PersistentFlags().Float64Var(&diskMB, "disk-mb", 3, "the folder's limit, as the dispatcher is configured with")
	show := func(to io.Writer, r ledger.Report, owed []ledger.Pending) error {
		if asJSON {
			return showJSON(to, r, owed)
		}
		return showText(to, r, owed)
	}
	read := func(path string) (ledger.Report, []ledger.Pending, error) {
		folder, err := disk.OpenDirReadOnly(path)
		if err != nil {
			return ledger.Report{}, nil, err
		}
		l, owed, r, err := ledger.Open(folder, ledger.Options{Limit: int(diskMB * 1e6), ReadOnly: true})
		if err != nil {
			return r, nil, err
		}
		return r, owed, l.Close()
	}
	look := func(fails bool) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, args []string) error {
			r, owed, err := read(args[0])
			if err == nil {
				err = show(cmd.OutOrStdout(), r, owed)
			}
			if err == nil && fails && len(r.Damaged) > 0 {
				err = errors.New("records are damaged: what can be read is kept, and what was owed before them counts as what may have run; look at the disk")
			}
			return failed(err)
		}
	}
	c.AddCommand(
		&cobra.Command{Use: "inspect FOLDER", Short: "Tell what is owed; the dispatcher may be running", Args: cobra.ExactArgs(1), RunE: look(false)},
		&cobra.Command{Use: "verify FOLDER", Short: "Read every record; exit 1 where one is damaged", Args: cobra.ExactArgs(1), RunE: look(true)},
		&cobra.Command{Use: "compact FOLDER", Short: "Give back the room of what is over; the dispatcher must not be running",
			Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
				folder, err := disk.OpenDir(args[0])
				if err != nil {
					return failed(err)
				}
				defer folder.Close()
				l, _, _, err := ledger.Open(folder, ledger.Options{Limit: int(diskMB * 1e6)})
				if err != nil {
					return failed(err)
				}
				if err := errors.Join(l.Compact(), l.Close()); err != nil {
					return failed(err)
				}
				r, owed, err := read(args[0])
				if err == nil {
					err = show(cmd.OutOrStdout(), r, owed)
				}
				return failed(err)
			}},
	)
	return c
}

// owedLine is what the ledger says of a notification, with the numbers of its calls as the log of a dispatcher has them.
type owedLine struct {
	ID     string    `json:"id"`
	Topic  string    `json:"topic"`
	Dest   string    `json:"dest"`
	Pushes int       `json:"pushes"`
	State  string    `json:"state"`
	MayRun bool      `json:"may_have_run"`
	Ran    *callLine `json:"ran,omitempty"`  // the first call that may have run
	Last   *callLine `json:"last,omitempty"` // the last call, where its records are still there
	Notice string    `json:"notice,omitempty"`
	Until  float64   `json:"until"`
}

// callLine is a call; times are seconds of the dispatcher's clock.
type callLine struct {
	Call uint64  `json:"call"`
	At   float64 `json:"at"`
	To   string  `json:"to"`
	Zone string  `json:"zone,omitempty"`
	End  string  `json:"end,omitempty"`
}

// lineOf says what the ledger holds of a notification.
func lineOf(o ledger.Pending) owedLine {
	m := o.Message
	l := owedLine{ID: m.ID, Topic: m.Topic, Dest: m.Dest, Pushes: m.Pushes, State: o.State().String(), MayRun: m.RanAt > 0, Until: m.ExpiresAt}
	if m.RanAt > 0 {
		l.Ran = &callLine{Call: m.RanCall, At: m.RanAt, To: m.RanTo, Zone: m.RanZone}
	}
	if o.LastCall.End != ledger.EndNone {
		l.Last = &callLine{Call: o.LastCall.Number, At: o.LastCall.StartedAt, To: o.LastCall.Endpoint, End: string(o.LastCall.End)}
	}
	if o.Notice != nil {
		l.Notice = o.Notice.Outcome
	}
	return l
}

// showJSON prints the report and all that is owed as one object.
func showJSON(to io.Writer, r ledger.Report, owed []ledger.Pending) error {
	lines := []owedLine{}
	for _, o := range owed {
		lines = append(lines, lineOf(o))
	}
	e := json.NewEncoder(to)
	e.SetIndent("", " ")
	return e.Encode(map[string]any{"report": r, "owed": lines})
}

// showText prints the report and a line for each notification owed.
func showText(to io.Writer, r ledger.Report, owed []ledger.Pending) error {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "segments\t%d, and %d free files\n", r.Segments, r.Free)
	fmt.Fprintf(t, "records\t%d in %d bytes\n", r.Records, r.Bytes)
	fmt.Fprintf(t, "owed\t%d, counted as %d bytes\n", r.Pending, r.LiveBytes)
	for _, d := range r.Damaged {
		fmt.Fprintf(t, "damaged\t%s from byte %d on, %d bytes\n", d.File, d.Offset, d.Bytes)
	}
	for _, o := range owed {
		l := lineOf(o)
		fmt.Fprintf(t, "%s\t%s to %s, %d pushes, %s", l.ID, l.Topic, l.Dest, l.Pushes, l.State)
		if l.Ran != nil {
			fmt.Fprintf(t, ": call %d of %.3f to %q in zone %q", l.Ran.Call, l.Ran.At, l.Ran.To, l.Ran.Zone)
		}
		if l.Last != nil {
			fmt.Fprintf(t, "; last call %d of %.3f to %q %s", l.Last.Call, l.Last.At, l.Last.To, l.Last.End)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
