package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/trace"
)

func traceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST LOG...",
		Short: "Show the routing decisions for a request from collected gateway logs",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []trace.Line
			for _, path := range args[1:] {
				read, err := readLog(path)
				if err != nil {
					return withExitCode(err)
				}
				lines = append(lines, read...)
			}
			explanation := trace.Explain(lines, args[0])
			if len(explanation.Request) == 0 {
				return withExitCode(fmt.Errorf("request %q is not in any of the %d logs: collect the logs of all VMs, starting before the request was sent", args[0], len(args)-1))
			}
			explanation.Print(cmd.OutOrStdout())
			return nil
		},
	}
}

func readLog(path string) ([]trace.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return trace.Read(path, file)
}
