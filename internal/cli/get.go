package cli

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/config"
)

func getCommand() *cobra.Command {
	var o options
	var version uint64
	cmd := &cobra.Command{
		Use:   "get [NAME]",
		Short: "Print a record in force as JSON, or list the names and versions of all records",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return withExitCode(getAll(cmd, &o))
			}
			return withExitCode(getOne(cmd, &o, args[0], version))
		},
	}
	o.addPlatformFlags(cmd)
	cmd.Flags().Uint64Var(&version, "version", 0, "print this accepted version (default: the one in force)")
	return cmd
}

func getAll(cmd *cobra.Command, o *options) error {
	table, err := o.platformClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.withTimeout(cmd)
	defer cancel()
	records, err := config.ListVersions(ctx, table)
	if err != nil {
		return err
	}
	list := make([]recordVersion, 0, len(records))
	for _, r := range records {
		list = append(list, recordVersion{Name: r.Name, Version: r.Version})
	}
	if o.asJSON {
		return printJSON(cmd.OutOrStdout(), list)
	}
	w := newTable(cmd.OutOrStdout())
	_, _ = fmt.Fprintln(w, "NAME\tVERSION")
	for _, r := range list {
		_, _ = fmt.Fprintf(w, "%s\t%d\n", r.Name, r.Version)
	}
	return w.Flush()
}

// recordVersion is one line of the list that get prints.
type recordVersion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

func getOne(cmd *cobra.Command, o *options, name string, version uint64) error {
	table, err := o.platformClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.withTimeout(cmd)
	defer cancel()
	var s *config.Service
	if version == 0 {
		s, err = config.Read(ctx, table, name)
	} else {
		s, err = config.ReadVersion(ctx, table, name, version)
	}
	if err != nil {
		return err
	}
	return printRecord(cmd, s)
}

// printRecord prints a record as JSON that apply accepts.
func printRecord(cmd *cobra.Command, s *config.Service) error {
	data, err := config.Encode(s)
	if err != nil {
		return err
	}
	return printJSON(cmd.OutOrStdout(), json.RawMessage(data))
}
