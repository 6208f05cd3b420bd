package cli

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

// diffAnswer is what diff prints.
type diffAnswer struct {
	Name       string              `json:"name"`
	InForce    uint64              `json:"in_force"` // version; 0: there is no such record
	InFile     uint64              `json:"in_file"`
	Applicable bool                `json:"applicable"` // the file's version is one above
	Changed    []config.Difference `json:"changed"`
}

func diffCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "Show the fields in which a file differs from the record in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return exitFor(diff(cmd, &o, args[0]))
		},
	}
	o.forPlatform(cmd)
	return cmd
}

func diff(cmd *cobra.Command, o *options, file string) error {
	next, _, err := readRecord(cmd, file)
	if err != nil {
		return err
	}
	table, err := o.table()
	if err != nil {
		return err
	}
	ctx, cancel := o.bounded(cmd)
	defer cancel()
	current, err := config.Read(ctx, table, next.Name)
	if err != nil && fault.KindOf(err) != fault.NotFound {
		return err
	}
	answer := diffAnswer{Name: next.Name, InFile: next.Version}
	if current != nil {
		answer.InForce = current.Version
	}
	answer.Applicable = config.ValidateChange(current, next) == nil
	if answer.Changed, err = config.Diff(current, next); err != nil {
		return err
	}
	return printDiff(cmd, o, answer)
}

func printDiff(cmd *cobra.Command, o *options, answer diffAnswer) error {
	if o.asJSON {
		return printJSON(cmd.OutOrStdout(), answer)
	}
	for _, d := range answer.Changed {
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), d)
	}
	if !answer.Applicable {
		say(cmd, "%s: version %d is in force, the file says %d: apply would refuse it", answer.Name, answer.InForce, answer.InFile)
	}
	return nil
}

func applyCommand() *cobra.Command {
	var o options
	var expect uint64
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Bring a record into force; exactly one of two racing operators wins",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			next, data, err := readRecord(cmd, args[0])
			if err != nil {
				return exitFor(err)
			}
			if !cmd.Flags().Changed("expect") {
				expect = next.Version - 1
			}
			return exitFor(apply(cmd, &o, data, expect))
		},
	}
	o.forPlatform(cmd)
	cmd.Flags().Uint64Var(&expect, "expect", 0, "version that the change is based on (default: the file's version less one)")
	return cmd
}

// conflictAnswer is what a lost race prints with --json.
type conflictAnswer struct {
	Kind   fault.Kind      `json:"kind"`
	Name   string          `json:"name"`
	Expect uint64          `json:"expect"`
	Theirs *config.Service `json:"theirs"`
	Yours  *config.Service `json:"yours"`
}

// apply brings one encoded record into force and prints what became of it.
func apply(cmd *cobra.Command, o *options, data []byte, expect uint64) error {
	acceptor, err := o.acceptor()
	if err != nil {
		return err
	}
	ctx, cancel := o.bounded(cmd)
	defer cancel()
	accepted, err := acceptor.Apply(ctx, data, expect)
	if err != nil {
		return printConflict(cmd, o, err)
	}
	if o.asJSON {
		return printJSON(cmd.OutOrStdout(), accepted)
	}
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: version %d accepted\n", accepted.Name, accepted.Version)
	say(cmd, "in force on every reachable VM within 5 s; see 'kumquatcleat status'")
	return nil
}

// printConflict prints both records of a lost race as data and returns the error.
func printConflict(cmd *cobra.Command, o *options, err error) error {
	var c *config.Conflict
	if !o.asJSON || !errors.As(err, &c) {
		return err
	}
	answer := conflictAnswer{Kind: fault.ConfigConflict, Name: c.Name, Expect: c.Expect, Theirs: c.Theirs, Yours: c.Mine}
	if printErr := printJSON(cmd.OutOrStdout(), answer); printErr != nil {
		return errors.Join(err, printErr)
	}
	return err
}

func getCommand() *cobra.Command {
	var o options
	var version uint64
	cmd := &cobra.Command{
		Use:   "get [NAME]",
		Short: "Print a record in force as JSON, or the names and versions of all",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return exitFor(getAll(cmd, &o))
			}
			return exitFor(getOne(cmd, &o, args[0], version))
		},
	}
	o.forPlatform(cmd)
	cmd.Flags().Uint64Var(&version, "version", 0, "an earlier accepted version (default: the one in force)")
	return cmd
}

func getAll(cmd *cobra.Command, o *options) error {
	table, err := o.table()
	if err != nil {
		return err
	}
	ctx, cancel := o.bounded(cmd)
	defer cancel()
	records, err := config.ReadAll(ctx, table)
	if err != nil {
		return err
	}
	list := make([]recordVersion, 0, len(records))
	for _, r := range records {
		list = append(list, recordVersion{Name: r.Name, Version: r.Version})
	}
	if o.asJSON {
		return printJSON(cmd.OutOrStdout(), list)
	}
	w := newTable(cmd.OutOrStdout())
	_, _ = fmt.Fprintln(w, "NAME\tVERSION")
	for _, r := range list {
		_, _ = fmt.Fprintf(w, "%s\t%d\n", r.Name, r.Version)
	}
	return w.Flush()
}

// recordVersion is one line of get.
type recordVersion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

func getOne(cmd *cobra.Command, o *options, name string, version uint64) error {
	table, err := o.table()
	if err != nil {
		return err
	}
	ctx, cancel := o.bounded(cmd)
	defer cancel()
	var s *config.Service
	if version == 0 {
		s, err = config.Read(ctx, table, name)
	} else {
		s, err = config.ReadVersion(ctx, table, name, version)
	}
	if err != nil {
		return err
	}
	return printRecord(cmd, s)
}

// printRecord writes a record in the form that apply takes.
func printRecord(cmd *cobra.Command, s *config.Service) error {
	data, err := config.Encode(s)
	if err != nil {
		return err
	}
	return printJSON(cmd.OutOrStdout(), json.RawMessage(data))
}

func historyCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "history NAME",
		Short: "List the accepted versions of a record and what each changed",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return exitFor(history(cmd, &o, args[0]))
		},
	}
	o.forPlatform(cmd)
	return cmd
}

func history(cmd *cobra.Command, o *options, name string) error {
	table, err := o.table()
	if err != nil {
		return err
	}
	ctx, cancel := o.bounded(cmd)
	defer cancel()
	entries, err := config.ReadHistory(ctx, table, name)
	if err != nil {
		return err
	}
	if o.asJSON {
		return printJSON(cmd.OutOrStdout(), entries)
	}
	for _, e := range entries {
		printHistoryEntry(cmd, e)
	}
	return nil
}

// maxHistoryFields bounds what one version prints; --json prints all.
const maxHistoryFields = 8

func printHistoryEntry(cmd *cobra.Command, e config.HistoryEntry) {
	out := cmd.OutOrStdout()
	_, _ = fmt.Fprintf(out, "version %d, write %s, %d fields changed\n", e.Version, e.WriteID, len(e.Changed))
	if e.Problem != "" {
		_, _ = fmt.Fprintf(out, "  can't be read: %s\n", e.Problem)
	}
	for i, d := range e.Changed {
		if i == maxHistoryFields {
			_, _ = fmt.Fprintf(out, "  and %d more\n", len(e.Changed)-i)
			return
		}
		_, _ = fmt.Fprintf(out, "  %s\n", d)
	}
}
