package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/retry"
)

func deferredCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "deferred",
		Short: "Inspect deferred requests and resolve parked ones",
	}
	cmd.AddCommand(deferredListCommand(), deferredShowCommand(), deferredResolveCommand())
	return cmd
}

// deferred returns a client for the deferred requests in the platform's table.
func (o *options) deferred() (*retry.Deferred, error) {
	table, err := o.platformClient()
	if err != nil {
		return nil, err
	}
	return retry.NewDeferred(retry.DefaultDeferredSettings(), table, "operator"), nil
}

func deferredListCommand() *cobra.Command {
	var o options
	var all bool
	cmd := &cobra.Command{
		Use:   "list SERVICE",
		Short: "List the deferred requests that are not finished",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withExitCode(listDeferred(cmd, &o, args[0], all))
		},
	}
	o.addPlatformFlags(cmd)
	cmd.Flags().BoolVar(&all, "all", false, "include done and withdrawn requests")
	return cmd
}

func listDeferred(cmd *cobra.Command, o *options, service string, all bool) error {
	deferred, err := o.deferred()
	if err != nil {
		return err
	}
	ctx, cancel := o.withTimeout(cmd)
	defer cancel()
	items, unreadable, err := deferred.List(ctx, service)
	if err != nil {
		return err
	}
	shown := make([]retry.DeferredItem, 0, len(items))
	for _, item := range items {
		open := item.State != retry.DeferredDone && item.State != retry.DeferredWithdrawn
		if all || open {
			shown = append(shown, item)
		}
	}
	if unreadable > 0 {
		printMessage(cmd, "%d rows cannot be decoded by this release; use a newer release of this program", unreadable)
	}
	return printItems(cmd, o, shown)
}

func printItems(cmd *cobra.Command, o *options, items []retry.DeferredItem) error {
	if o.asJSON {
		return printJSON(cmd.OutOrStdout(), items)
	}
	w := newTable(cmd.OutOrStdout())
	_, _ = fmt.Fprintln(w, "TICKET\tSTATE\tATTEMPTS\tREQUEST\tREASON")
	for _, item := range items {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s %s\t%s\n",
			item.Ticket, item.State, item.Attempt, item.Request.Method, item.Request.Path, item.Reason)
	}
	return w.Flush()
}

func deferredShowCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "show SERVICE TICKET",
		Short: "Print one deferred request as JSON",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withExitCode(showDeferred(cmd, &o, args[0], args[1]))
		},
	}
	o.addPlatformFlags(cmd)
	return cmd
}

func showDeferred(cmd *cobra.Command, o *options, service, ticket string) error {
	deferred, err := o.deferred()
	if err != nil {
		return err
	}
	ctx, cancel := o.withTimeout(cmd)
	defer cancel()
	item, err := deferred.Status(ctx, service, ticket)
	if err != nil {
		return err
	}
	return printJSON(cmd.OutOrStdout(), item)
}

func deferredResolveCommand() *cobra.Command {
	var o options
	var ran, notRun bool
	var reason string
	cmd := &cobra.Command{
		Use:   "resolve SERVICE TICKET",
		Short: "Resolve a parked request: --ran marks it done, --not-run queues it again",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if ran == notRun {
				return usageError(errors.New("want one of --ran and --not-run: find out first whether the request ran"))
			}
			return withExitCode(resolveDeferred(cmd, &o, args[0], args[1], ran, reason))
		},
	}
	o.addPlatformFlags(cmd)
	cmd.Flags().BoolVar(&ran, "ran", false, "the request ran: never send it again")
	cmd.Flags().BoolVar(&notRun, "not-run", false, "the request did not run and can no longer run: send it again")
	cmd.Flags().StringVar(&reason, "reason", "resolved by an operator", "how you know, stored with the request")
	return cmd
}

func resolveDeferred(cmd *cobra.Command, o *options, service, ticket string, ran bool, reason string) error {
	deferred, err := o.deferred()
	if err != nil {
		return err
	}
	ctx, cancel := o.withTimeout(cmd)
	defer cancel()
	if err := deferred.Resolve(ctx, service, ticket, ran, reason); err != nil {
		return err
	}
	return printResolved(ctx, cmd, o, deferred, service, ticket)
}

// printResolved prints the current state of the deferred request.
func printResolved(ctx context.Context, cmd *cobra.Command, o *options, deferred *retry.Deferred, service, ticket string) error {
	item, err := deferred.Status(ctx, service, ticket)
	if err != nil {
		return err
	}
	if o.asJSON {
		return printJSON(cmd.OutOrStdout(), item)
	}
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", ticket, item.State)
	return nil
}
