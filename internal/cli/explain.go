package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/operator"
)

func explainCommand() *cobra.Command {
	var o options
	var q requestOptions
	cmd := &cobra.Command{
		Use:   "explain SERVICE KEY | --gateway ADDRESS --host HOST --path PATH",
		Short: "Show where a key or a request would go now, and why, without sending anything",
		Long: "With SERVICE and KEY, asks a daemon for the key's slot, owner, token and lease, and the reason for the assignment.\n\n" +
			"With --gateway, asks a gateway where a request would go, and why: route, service, owner or candidates, limits,\n" +
			"estimates and admission. There --timeout is the time that the request's caller waits (default: not stated).\n" +
			"Nothing is sent to a server, and nothing is counted.",
		Args: func(cmd *cobra.Command, args []string) error {
			if cmd.Flags().Changed("gateway") {
				return cobra.NoArgs(cmd, args)
			}
			return cobra.ExactArgs(2)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if cmd.Flags().Changed("gateway") {
				return withExitCode(explainRequest(cmd, &o, &q))
			}
			for _, flag := range []string{"host", "path", "key"} {
				if cmd.Flags().Changed(flag) {
					return withExitCode(usageError(fmt.Errorf("--%s needs --gateway", flag)))
				}
			}
			return withExitCode(explain(cmd, &o, args[0], args[1]))
		},
	}
	o.addVMFlags(cmd)
	q.addFlags(cmd)
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
