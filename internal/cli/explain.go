package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/operator"
)

func explainCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "explain SERVICE KEY",
		Short: "Show a key's slot, owner, token and lease, and the reason for the assignment",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withExitCode(explain(cmd, &o, args[0], args[1]))
		},
	}
	o.addVMFlags(cmd)
	return cmd
}

func explain(cmd *cobra.Command, o *options, service, key string) error {
	client, err := o.vmClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.withTimeout(cmd)
	defer cancel()
	e, err := client.Explain(ctx, service, key)
	if err != nil {
		return err
	}
	if o.asJSON {
		return printJSON(cmd.OutOrStdout(), e)
	}
	return printExplain(cmd.OutOrStdout(), e)
}

func printExplain(out io.Writer, e operator.Explain) error {
	w := newTable(out)
	_, _ = fmt.Fprintf(w, "service\t%s\n", e.Service)
	_, _ = fmt.Fprintf(w, "key\t%s\n", e.Key)
	_, _ = fmt.Fprintf(w, "slot\t%d\n", e.Slot)
	_, _ = fmt.Fprintf(w, "group\t%s\n", e.Group)
	_, _ = fmt.Fprintf(w, "owner\t%s\n", orNone(e.Owner))
	_, _ = fmt.Fprintf(w, "token\t%s\n", e.Token)
	_, _ = fmt.Fprintf(w, "lease left\t%d ms\n", e.LeaseLeftMS)
	_, _ = fmt.Fprintf(w, "moving\t%t\n", e.Moving)
	_, _ = fmt.Fprintf(w, "why\t%s\n", e.Why)
	return w.Flush()
}
