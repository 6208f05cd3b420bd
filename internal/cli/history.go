package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/config"
)

func historyCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "history NAME",
		Short: "List the accepted versions of a record and the fields that each changed",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withExitCode(history(cmd, &o, args[0]))
		},
	}
	o.addPlatformFlags(cmd)
	return cmd
}

func history(cmd *cobra.Command, o *options, name string) error {
	table, err := o.platformClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.withTimeout(cmd)
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

// maxHistoryFields limits the changed fields printed for one version; --json prints
// all of them.
const maxHistoryFields = 8

func printHistoryEntry(cmd *cobra.Command, e config.HistoryEntry) {
	out := cmd.OutOrStdout()
	_, _ = fmt.Fprintf(out, "version %d, write %s, %d fields changed\n", e.Version, e.WriteID, len(e.Changed))
	if e.Problem != "" {
		_, _ = fmt.Fprintf(out, "  cannot be read: %s\n", e.Problem)
	}
	for i, d := range e.Changed {
		if i == maxHistoryFields {
			_, _ = fmt.Fprintf(out, "  and %d more\n", len(e.Changed)-i)
			return
		}
		_, _ = fmt.Fprintf(out, "  %s\n", d)
	}
}
