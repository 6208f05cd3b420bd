package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/operator"
)

func explainCommand() *cobra.Command {
	var o options
	var q requestOptions
	cmd := &cobra.Command{
		Use:   "explain SERVICE KEY | --path /SERVICE/PATH | --gateway ADDRESS --host HOST --path PATH",
		Short: "Show where a key or a request would go now, and why, without sending anything",
		Long: "With SERVICE and KEY, asks a daemon for the key's slot, owner, token and lease, and the reason for the assignment;\n" +
			"with --path, also for what would become of such a GET request, and why.\n\n" +
			"With --gateway, asks a gateway where a request would go, and why: route, service, owner or candidates, limits,\n" +
			"estimates and admission. There --timeout is the time that the request's caller waits (default: not stated).\n" +
			"Nothing is sent to a server, and nothing is counted.",
		Args: func(cmd *cobra.Command, args []string) error {
			if cmd.Flags().Changed("gateway") || cmd.Flags().Changed("path") {
				return cobra.NoArgs(cmd, args)
			}
			return cobra.ExactArgs(2)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if cmd.Flags().Changed("gateway") {
				return withExitCode(explainRequest(cmd, &o, &q))
			}
			if cmd.Flags().Changed("host") {
				return withExitCode(usageError(errors.New("--host needs --gateway")))
			}
			if cmd.Flags().Changed("path") {
				return withExitCode(explain(cmd, &o, func(ctx context.Context, client *vmClient) (operator.Explain, error) {
					return client.ExplainPath(ctx, q.path, q.key)
				}))
			}
			if cmd.Flags().Changed("key") {
				return withExitCode(usageError(errors.New("--key needs --path")))
			}
			return withExitCode(explain(cmd, &o, func(ctx context.Context, client *vmClient) (operator.Explain, error) {
				return client.Explain(ctx, args[0], args[1])
			}))
		},
	}
	o.addVMFlags(cmd)
	q.addFlags(cmd)
	return cmd
}

func explain(cmd *cobra.Command, o *options, ask func(context.Context, *vmClient) (operator.Explain, error)) error {
	client, err := o.vmClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.withTimeout(cmd)
	defer cancel()
	e, err := ask(ctx, client)
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
	if e.Request != nil {
		_, _ = fmt.Fprintf(w, "request\t%s, class %s, idempotent %t, timeout %v\n", e.Request.Path, e.Request.Class, e.Request.Idempotent, asMS(e.Request.TimeoutMS))
		_, _ = fmt.Fprintf(w, "outcome\t%s\n", describeOutcome(e.Request.Outcome))
	}
	if e.Request == nil || e.Key != "" {
		printKey(w, e)
	}
	_, _ = fmt.Fprintf(w, "why\t%s\n", e.Why)
	if err := w.Flush(); err != nil || e.Request == nil || len(e.Request.Servers) == 0 {
		return err
	}
	return printDaemonServers(out, e.Request)
}

func printKey(w io.Writer, e operator.Explain) {
	_, _ = fmt.Fprintf(w, "key\t%s\n", e.Key)
	_, _ = fmt.Fprintf(w, "slot\t%d\n", e.Slot)
	_, _ = fmt.Fprintf(w, "group\t%s\n", e.Group)
	_, _ = fmt.Fprintf(w, "owner\t%s\n", orNone(e.Owner))
	_, _ = fmt.Fprintf(w, "token\t%s\n", e.Token)
	_, _ = fmt.Fprintf(w, "lease left\t%d ms\n", e.LeaseLeftMS)
	_, _ = fmt.Fprintf(w, "moving\t%t\n", e.Moving)
}

func printDaemonServers(out io.Writer, r *operator.DaemonRequest) error {
	w := newTable(out)
	_, _ = fmt.Fprintln(w, "\nSERVER\tDOMAIN\tIN FLIGHT\tLIMIT\tWAITING\tWAIT\tHEALTHY\tDRAINING\tREFUSAL")
	for _, s := range r.Servers {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%d\t%v\t%t\t%t\t%s\n", s.ID, s.FailureDomain, s.InFlight, s.Limit, s.Waiting, asMS(s.WaitMS), s.Healthy, s.Draining, orNone(s.Refusal))
	}
	if r.Omitted > 0 {
		_, _ = fmt.Fprintf(w, "and %d more\n", r.Omitted)
	}
	return w.Flush()
}
