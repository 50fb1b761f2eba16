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
	show := func(to io.Writer, r ledger.Report, owed []ledger.Owed) error {
		if asJSON {
			type line struct {
				ID     string  `json:"id"`
				Topic  string  `json:"topic"`
				Dest   string  `json:"dest"`
				Pushes int     `json:"pushes"`
				MayRun bool    `json:"may_have_run"`
				Notice string  `json:"notice,omitempty"`
				Until  float64 `json:"until"`
			}
			lines := []line{}
			for _, o := range owed {
				l := line{ID: o.Message.ID, Topic: o.Message.Topic, Dest: o.Message.Dest, Pushes: o.Message.Pushes,
					MayRun: o.Message.RanAt > 0, Until: o.Message.Until}
				if o.Notice != nil {
					l.Notice = o.Notice.Outcome
				}
				lines = append(lines, l)
			}
			e := json.NewEncoder(to)
			e.SetIndent("", " ")
			return e.Encode(map[string]any{"report": r, "owed": lines})
		}
		t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
		fmt.Fprintf(t, "segments\t%d, and %d free files\n", r.Segments, r.Free)
		fmt.Fprintf(t, "records\t%d in %d bytes\n", r.Records, r.Bytes)
		fmt.Fprintf(t, "owed\t%d, counted as %d bytes\n", r.Owed, r.Live)
		for _, d := range r.Damaged {
			fmt.Fprintf(t, "damaged\t%s from byte %d on, %d bytes\n", d.File, d.At, d.Bytes)
		}
		return t.Flush()
	}
	read := func(path string) (ledger.Report, []ledger.Owed, error) {
		folder, err := disk.ReadDir(path)
		if err != nil {
			return ledger.Report{}, nil, err
		}
		l, owed, r, err := ledger.Open(folder, ledger.Options{Limit: int(diskMB * 1e6), Read: true})
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
