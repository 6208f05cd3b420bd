package cli

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

func applyCommand() *cobra.Command {
	var o options
	var expect uint64
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a record; of concurrent changes to the same version, only one is accepted",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			next, data, err := readRecord(cmd, args[0])
			if err != nil {
				return withExitCode(err)
			}
			if !cmd.Flags().Changed("expect") {
				expect = next.Version - 1
			}
			return withExitCode(apply(cmd, &o, data, expect))
		},
	}
	o.addPlatformFlags(cmd)
	cmd.Flags().Uint64Var(&expect, "expect", 0, "version that the change is based on (default: the file's version minus one)")
	return cmd
}

// conflictOutput is the --json output when another operator's change was accepted
// first.
type conflictOutput struct {
	Kind   fault.Kind      `json:"kind"`
	Name   string          `json:"name"`
	Expect uint64          `json:"expect"`
	Theirs *config.Service `json:"theirs"`
	Yours  *config.Service `json:"yours"`
}

// apply applies one encoded record and prints the result.
func apply(cmd *cobra.Command, o *options, data []byte, expect uint64) error {
	acceptor, err := o.acceptor()
	if err != nil {
		return err
	}
	ctx, cancel := o.withTimeout(cmd)
	defer cancel()
	accepted, err := acceptor.Apply(ctx, data, expect)
	if err != nil {
		return printConflict(cmd, o, err)
	}
	if o.asJSON {
		return printJSON(cmd.OutOrStdout(), accepted)
	}
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: version %d accepted\n", accepted.Name, accepted.Version)
	printMessage(cmd, "takes effect on every reachable VM within 5 s; see 'kumquatcleat status'")
	return nil
}

// printConflict returns err. With --json it first prints both records if err is a
// conflict.
func printConflict(cmd *cobra.Command, o *options, err error) error {
	var c *config.Conflict
	if !o.asJSON || !errors.As(err, &c) {
		return err
	}
	output := conflictOutput{Kind: fault.ConfigConflict, Name: c.Name, Expect: c.Expect, Theirs: c.Theirs, Yours: c.Mine}
	if printErr := printJSON(cmd.OutOrStdout(), output); printErr != nil {
		return errors.Join(err, printErr)
	}
	return err
}
