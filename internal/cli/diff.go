package cli

import (
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
