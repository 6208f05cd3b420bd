package cli

import "github.com/spf13/cobra"

func standinCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of the platform or of a server, for tests",
	}
}
