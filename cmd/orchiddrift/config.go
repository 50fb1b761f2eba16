package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
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
			found = appconfig.CheckFleet(all)
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
				text, err := all[0].PlatformConfig()
				if err == nil {
					_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s\n", text)
				}
				return failed(err)
			}},
		&cobra.Command{Use: "diff OLD NEW", Short: "Tell what keeps a new file from being taken in by a reload", Args: cobra.ExactArgs(2),
			RunE: func(cmd *cobra.Command, args []string) error {
				all, found := readApps(args)
				if len(found) == 0 {
					found = appconfig.CheckReload(all[0], all[1])
				}
				return tell(cmd.OutOrStdout(), found)
			}},
		newMigrate(tell),
		&cobra.Command{Use: "rules", Short: "List the rules", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				if asJSON {
					e := json.NewEncoder(cmd.OutOrStdout())
					e.SetIndent("", " ")
					return failed(e.Encode(appconfig.Rules()))
				}
				t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				for _, r := range appconfig.Rules() {
					fmt.Fprintf(t, "%s\t%s\t%s\n", r.ID, r.Description, r.Remedy)
				}
				return failed(t.Flush())
			}},
	)
	return c
}

// newMigrate turns a file of the old shape into its counterpart of the new one.
func newMigrate(tell func(io.Writer, []appconfig.Finding) error) *cobra.Command {
	var to string
	var dry, force bool
	c := &cobra.Command{Use: "migrate OLD -o NEW", Short: "Write a file's counterpart for routes apart and a list without rates", Args: cobra.ExactArgs(1)}
	c.RunE = func(cmd *cobra.Command, args []string) error {
		if to == "" {
			return errors.New("-o is not given: name the file to write")
		}
		all, found := readApps(args)
		if len(found) > 0 {
			more := ""
			if n := len(found) - 1; n > 0 {
				more = fmt.Sprintf(" (and %d more: see config check)", n)
			}
			return failed(fmt.Errorf("%s%s", found[0], more))
		}
		old := all[0]
		if old.UsesNewLayout() {
			return failed(fmt.Errorf("%s: is already of the new shape: it states its layout, zones or routes", args[0]))
		}
		text, notes, err := appconfig.Migrate(old)
		if err != nil {
			return failed(fmt.Errorf("%s: %w", args[0], err))
		}
		next, found := appconfig.Parse(to, text)
		if next != nil {
			found = append(found, appconfig.Check(next)...)
		}
		if !dry {
			if err := writeWhole(args[0], to, text, force); err != nil {
				return failed(err)
			}
		}
		for _, n := range notes {
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", args[0], n)
		}
		return tell(cmd.OutOrStdout(), found)
	}
	c.Flags().StringVarP(&to, "output", "o", "", "the file to write")
	c.Flags().BoolVar(&dry, "dry-run", false, "print the same and write nothing")
	c.Flags().BoolVar(&force, "force", false, "write over a file that is there")
	return c
}

// writeWhole writes a file whole or not at all, never over the old one.
func writeWhole(old, to string, text []byte, force bool) error {
	was, err := os.Stat(old)
	if err != nil {
		return err
	}
	if there, err := os.Stat(to); err == nil && (os.SameFile(was, there) || !force) {
		return fmt.Errorf("%s: is there already: name another file, or use --force for one that is not the old file", to)
	}
	f, err := os.CreateTemp(filepath.Dir(to), ".migrate-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	if err == nil {
		err = f.Chmod(was.Mode().Perm())
	}
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	switch {
	case err != nil:
		return err
	case force:
		return os.Rename(f.Name(), to)
	}
	return os.Link(f.Name(), to) // it fails where a file has come in the meantime
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
