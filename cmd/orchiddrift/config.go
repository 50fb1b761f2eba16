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

// newConfigCommand returns the command that checks, converts and migrates applications' configuration files.
func newConfigCommand() *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Check and convert applications' configurations"}
	var asJSON bool
	command.PersistentFlags().BoolVar(&asJSON, "json", false, "print findings as JSON")
	printFindings := func(to io.Writer, findings []appconfig.Finding) error {
		if asJSON {
			if findings == nil {
				findings = []appconfig.Finding{}
			}
			encoder := json.NewEncoder(to)
			encoder.SetIndent("", " ")
			if err := encoder.Encode(findings); err != nil {
				return asFailure(err)
			}
		} else {
			for _, f := range findings {
				fmt.Fprintln(to, f)
			}
		}
		if len(findings) > 0 {
			return asFailure(fmt.Errorf("refused: %d findings", len(findings)))
		}
		return nil
	}
	check := func(cmd *cobra.Command, files []string) error {
		apps, findings := readAndCheck(files)
		if len(findings) == 0 {
			findings = appconfig.CheckFleet(apps)
		}
		return printFindings(cmd.OutOrStdout(), findings)
	}
	command.AddCommand(
		&cobra.Command{Use: "check FILE...", Short: "Check files, each and together; exit 1 if there are findings", Args: cobra.MinimumNArgs(1), RunE: check},
		&cobra.Command{Use: "fleet FOLDER", Short: "Check all files of a folder together", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				files, err := filepath.Glob(filepath.Join(args[0], "*.toml"))
				if err == nil && len(files) == 0 {
					err = fmt.Errorf("%s: no .toml file found", args[0])
				}
				if err != nil {
					return asFailure(err)
				}
				return check(cmd, files)
			}},
		&cobra.Command{Use: "convert FILE", Short: "Convert a valid file to the platform's format, for ROUTER_CONFIG", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				apps, findings := readAndCheck(args)
				if len(findings) > 0 {
					return printFindings(cmd.ErrOrStderr(), findings)
				}
				text, err := apps[0].PlatformConfig()
				if err == nil {
					_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s\n", text)
				}
				return asFailure(err)
			}},
		&cobra.Command{Use: "diff OLD NEW", Short: "Report what forbids replacing OLD by NEW in a reload", Args: cobra.ExactArgs(2),
			RunE: func(cmd *cobra.Command, args []string) error {
				apps, findings := readAndCheck(args)
				if len(findings) == 0 {
					findings = appconfig.CheckReload(apps[0], apps[1])
				}
				return printFindings(cmd.OutOrStdout(), findings)
			}},
		newMigrateCommand(printFindings),
		&cobra.Command{Use: "rules", Short: "List the rules", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				if asJSON {
					encoder := json.NewEncoder(cmd.OutOrStdout())
					encoder.SetIndent("", " ")
					return asFailure(encoder.Encode(appconfig.Rules()))
				}
				table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				for _, r := range appconfig.Rules() {
					fmt.Fprintf(table, "%s\t%s\t%s\n", r.ID, r.Description, r.Remedy)
				}
				return asFailure(table.Flush())
			}},
	)
	return command
}

// newMigrateCommand returns the command that migrates a file of the old layout to the new one. It prints the notes of the
// migration and the findings of the new file, and writes the new file even if there are findings.
func newMigrateCommand(printFindings func(io.Writer, []appconfig.Finding) error) *cobra.Command {
	var output string
	var dryRun, force bool
	command := &cobra.Command{Use: "migrate OLD -o NEW", Short: "Migrate a file to separate routes and a list without rates", Args: cobra.ExactArgs(1)}
	command.RunE = func(cmd *cobra.Command, args []string) error {
		if output == "" {
			return errors.New("-o is not given: name the file to write")
		}
		apps, findings := readAndCheck(args)
		if len(findings) > 0 {
			moreFindings := ""
			if n := len(findings) - 1; n > 0 {
				moreFindings = fmt.Sprintf(" (and %d more: see config check)", n)
			}
			return asFailure(fmt.Errorf("%s%s", findings[0], moreFindings))
		}
		old := apps[0]
		if old.UsesNewLayout() {
			return asFailure(fmt.Errorf("%s: already uses the new layout: it sets layout, zones or routes", args[0]))
		}
		text, notes, err := appconfig.Migrate(old)
		if err != nil {
			return asFailure(fmt.Errorf("%s: %w", args[0], err))
		}
		migrated, findings := appconfig.Parse(output, text)
		if migrated != nil {
			findings = append(findings, appconfig.Check(migrated)...)
		}
		if !dryRun {
			if err := writeFileAtomically(args[0], output, text, force); err != nil {
				return asFailure(err)
			}
		}
		for _, n := range notes {
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", args[0], n)
		}
		return printFindings(cmd.OutOrStdout(), findings)
	}
	command.Flags().StringVarP(&output, "output", "o", "", "the file to write")
	command.Flags().BoolVar(&dryRun, "dry-run", false, "print the notes and write nothing")
	command.Flags().BoolVar(&force, "force", false, "overwrite an existing file")
	return command
}

// writeFileAtomically writes all of text to target, with the permissions of source, or leaves target as it is. It never
// overwrites source. It overwrites another existing file only if force is set.
func writeFileAtomically(source, target string, text []byte, force bool) error {
	sourceInfo, err := os.Stat(source)
	if err != nil {
		return err
	}
	if targetInfo, err := os.Stat(target); err == nil && (os.SameFile(sourceInfo, targetInfo) || !force) {
		return fmt.Errorf("%s: already exists: name another file, or use --force if it is not the old file", target)
	}
	f, err := os.CreateTemp(filepath.Dir(target), ".migrate-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	if err == nil {
		err = f.Chmod(sourceInfo.Mode().Perm())
	}
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		return err
	case force:
		return os.Rename(f.Name(), target)
	}
	return os.Link(f.Name(), target) // fails if the file was created in the meantime
}

// readAndCheck reads files and checks each on its own. It returns the files that can be read and all findings.
func readAndCheck(files []string) ([]*appconfig.App, []appconfig.Finding) {
	var apps []*appconfig.App
	var findings []appconfig.Finding
	for _, file := range files {
		app, readFindings := appconfig.Read(file)
		if findings = append(findings, readFindings...); app == nil {
			continue
		}
		findings = append(findings, appconfig.Check(app)...)
		apps = append(apps, app)
	}
	return apps, findings
}
