package cli

import (
	"slices"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

func drainCommand() *cobra.Command {
	var o options
	var undo bool
	cmd := &cobra.Command{
		Use:   "drain SERVICE SERVER",
		Short: "Stop sending new requests to a server; running requests finish",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withExitCode(drain(cmd, &o, args[0], args[1], !undo))
		},
	}
	o.addPlatformFlags(cmd)
	cmd.Flags().BoolVar(&undo, "undo", false, "send new requests to the server again")
	return cmd
}

// drain sets the drain field of a server in the record in force.
func drain(cmd *cobra.Command, o *options, service, server string, wanted bool) error {
	table, err := o.platformClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.withTimeout(cmd)
	defer cancel()
	current, err := config.Read(ctx, table, service)
	if err != nil {
		return err
	}
	next, err := withDrain(current, server, wanted)
	if err != nil {
		return err
	}
	if next == nil {
		printMessage(cmd, "server %s of service %s already has drain set to %t; nothing to do", server, service, wanted)
		return printUnchanged(cmd, o, current)
	}
	data, err := config.Encode(next)
	if err != nil {
		return err
	}
	return apply(cmd, o, data, current.Version)
}

// withDrain returns the next version of a record, with the server's drain field set
// to wanted. It returns nil if the field has that value already.
func withDrain(current *config.Service, server string, wanted bool) (*config.Service, error) {
	i := slices.IndexFunc(current.Servers, func(s config.Server) bool { return s.ID == server })
	if i < 0 {
		return nil, fault.New(fault.NotFound, "service %s has no server %q", current.Name, server)
	}
	if current.Servers[i].Drain == wanted {
		return nil, nil
	}
	next := *current
	next.Version++
	next.Servers = slices.Clone(current.Servers)
	next.Servers[i].Drain = wanted
	return &next, nil
}

func printUnchanged(cmd *cobra.Command, o *options, current *config.Service) error {
	if !o.asJSON {
		return nil
	}
	return printJSON(cmd.OutOrStdout(), config.Accepted{Name: current.Name, Version: current.Version})
}
