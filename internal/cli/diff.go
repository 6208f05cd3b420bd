package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

// diffOutput is the --json output of diff.
type diffOutput struct {
	Name       string              `json:"name"`
	InForce    uint64              `json:"in_force"` // version; 0 if there is no such record
	InFile     uint64              `json:"in_file"`
	Applicable bool                `json:"applicable"` // whether the file may follow the record in force, with a version one above it
	Changed    []config.Difference `json:"changed"`
}

func diffCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "Show the fields in which a file differs from the record in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withExitCode(diff(cmd, &o, args[0]))
		},
	}
	o.addPlatformFlags(cmd)
	return cmd
}

func diff(cmd *cobra.Command, o *options, file string) error {
	next, _, err := readRecord(cmd, file)
	if err != nil {
		return err
	}
	table, err := o.platformClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.withTimeout(cmd)
	defer cancel()
	current, err := config.Read(ctx, table, next.Name)
	if err != nil && fault.KindOf(err) != fault.NotFound {
		return err
	}
	output := diffOutput{Name: next.Name, InFile: next.Version}
	if current != nil {
		output.InForce = current.Version
	}
	output.Applicable = config.ValidateChange(current, next) == nil
	if output.Changed, err = config.Diff(current, next); err != nil {
		return err
	}
	return printDiff(cmd, o, output)
}

func printDiff(cmd *cobra.Command, o *options, output diffOutput) error {
	if o.asJSON {
		return printJSON(cmd.OutOrStdout(), output)
	}
	for _, d := range output.Changed {
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), d)
	}
	if !output.Applicable {
		printMessage(cmd, "%s: version %d is in force, the file has version %d: apply would refuse it", output.Name, output.InForce, output.InFile)
	}
	return nil
}
