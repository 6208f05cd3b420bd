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
		Short: "Look at work that was accepted for later, and resolve what is parked",
	}
	cmd.AddCommand(deferredListCommand(), deferredShowCommand(), deferredResolveCommand())
	return cmd
}

// deferred returns the access to deferred work.
func (o *options) deferred() (*retry.Deferred, error) {
	table, err := o.table()
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
		Short: "List the work that is not done",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return exitFor(listDeferred(cmd, &o, args[0], all))
		},
	}
	o.forPlatform(cmd)
	cmd.Flags().BoolVar(&all, "all", false, "done and withdrawn work too")
	return cmd
}

func listDeferred(cmd *cobra.Command, o *options, service string, all bool) error {
	deferred, err := o.deferred()
	if err != nil {
		return err
	}
	ctx, cancel := o.bounded(cmd)
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
		say(cmd, "%d rows can't be read by this release; use the newer program", unreadable)
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
		Short: "Print one piece of work as JSON",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return exitFor(showDeferred(cmd, &o, args[0], args[1]))
		},
	}
	o.forPlatform(cmd)
	return cmd
}

func showDeferred(cmd *cobra.Command, o *options, service, ticket string) error {
	deferred, err := o.deferred()
	if err != nil {
		return err
	}
	ctx, cancel := o.bounded(cmd)
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
		Short: "Say what you found out about parked work: --ran ends it, --not-run queues it again",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if ran == notRun {
				return usageError(errors.New("want one of --ran and --not-run: find out first whether the work ran"))
			}
			return exitFor(resolveDeferred(cmd, &o, args[0], args[1], ran, reason))
		},
	}
	o.forPlatform(cmd)
	cmd.Flags().BoolVar(&ran, "ran", false, "it ran: never send it again")
	cmd.Flags().BoolVar(&notRun, "not-run", false, "it did not run and can't any more: send it again")
	cmd.Flags().StringVar(&reason, "reason", "resolved by an operator", "how you know, for the record")
	return cmd
}

func resolveDeferred(cmd *cobra.Command, o *options, service, ticket string, ran bool, reason string) error {
	deferred, err := o.deferred()
	if err != nil {
		return err
	}
	ctx, cancel := o.bounded(cmd)
	defer cancel()
	if err := deferred.Resolve(ctx, service, ticket, ran, reason); err != nil {
		return err
	}
	return printResolved(ctx, cmd, o, deferred, service, ticket)
}

// printResolved prints the state that the work has now.
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
