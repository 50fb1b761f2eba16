package main

import (
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"orchiddrift/appconfig"
)

// newConfig checks applications' configuration files and writes the platform's form of them.
func newConfig() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check applications' configurations, and convert them"}
	var asJSON bool
	c.PersistentFlags().BoolVar(&asJSON, "json", false, "print findings as JSON")
	tell := func(to io.Writer, found []appconfig.Finding) error {
		if asJSON {
			if found == nil {
				found = []appconfig.Finding{}
			}
			e := json.NewEncoder(to)
			e.SetIndent("", " ")
			if err := e.Encode(found); err != nil {
				return failed(err)
			}
		} else {
			for _, f := range found {
				fmt.Fprintln(to, f)
			}
		}
		if len(found) > 0 {
			return failed(fmt.Errorf("refused: %d things are wrong", len(found)))
		}
		return nil
	}
	check := func(cmd *cobra.Command, files []string) error {
		all, found := readApps(files)
		if len(found) == 0 {
			found = appconfig.Fleet(all)
		}
		return tell(cmd.OutOrStdout(), found)
	}
	c.AddCommand(
		&cobra.Command{Use: "check FILE...", Short: "Check files, each and together; exit 1 where anything is wrong", Args: cobra.MinimumNArgs(1), RunE: check},
		&cobra.Command{Use: "fleet FOLDER", Short: "Check all files of a folder together", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				files, err := filepath.Glob(filepath.Join(args[0], "*.toml"))
				if err == nil && len(files) == 0 {
					err = fmt.Errorf("%s: holds no .toml file", args[0])
				}
				if err != nil {
					return failed(err)
				}
				return check(cmd, files)
			}},
		&cobra.Command{Use: "convert FILE", Short: "Write the platform's form of a good file, for ROUTER_CONFIG", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				all, found := readApps(args)
				if len(found) > 0 {
					return tell(cmd.ErrOrStderr(), found)
				}
				text, err := all[0].Platform()
				if err == nil {
					_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s\n", text)
				}
				return failed(err)
			}},
		&cobra.Command{Use: "diff OLD NEW", Short: "Tell what keeps a new file from being taken in by a reload", Args: cobra.ExactArgs(2),
			RunE: func(cmd *cobra.Command, args []string) error {
				all, found := readApps(args)
				if len(found) == 0 {
					found = appconfig.Reload(all[0], all[1])
				}
				return tell(cmd.OutOrStdout(), found)
			}},
		&cobra.Command{Use: "rules", Short: "List the rules", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				if asJSON {
					e := json.NewEncoder(cmd.OutOrStdout())
					e.SetIndent("", " ")
					return failed(e.Encode(appconfig.Rules()))
				}
				t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				for _, r := range appconfig.Rules() {
					fmt.Fprintf(t, "%s\t%s\t%s\n", r.ID, r.What, r.Remedy)
				}
				return failed(t.Flush())
			}},
	)
	return c
}

// readApps reads files and checks each by itself.
func readApps(files []string) ([]*appconfig.App, []appconfig.Finding) {
	var all []*appconfig.App
	var found []appconfig.Finding
	for _, file := range files {
		a, odd := appconfig.Read(file)
		if found = append(found, odd...); a == nil {
			continue
		}
		found = append(found, appconfig.Check(a)...)
		all = append(all, a)
	}
	return all, found
}
