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
