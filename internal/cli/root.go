// Package cli implements the commands of the kumquatcleat tool for operators. Data
// goes to standard output, messages and errors go to standard error.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// NewRoot returns the root command with all subcommands.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "kumquatcleat",
		Short: "Operate kumquatcleat, the router for servers that own keys exclusively",
		Long: "Operate kumquatcleat, the router for servers that own keys exclusively.\n\n" +
			"Exit codes: 0 success; 1 failure; 2 invalid arguments, settings or records;\n" +
			"3 another operator's change was accepted first.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		validateCommand(), diffCommand(), applyCommand(), getCommand(), historyCommand(),
		statusCommand(), explainCommand(), traceCommand(), drainCommand(), deferredCommand(),
		standinCommand(), benchCommand(),
	)
	return root
}

// Execute runs the program with the arguments and streams of the process and returns
// its exit code. SIGINT and SIGTERM cancel the command.
func Execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
}

// Run runs the program with the given arguments and streams and returns its exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := NewRoot()
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "kumquatcleat:", err)
	var exitErr *ExitError
	if !errors.As(err, &exitErr) {
		// Only cobra's errors on arguments and flags carry no exit code.
		_, _ = fmt.Fprintln(stderr, "next: see 'kumquatcleat help'")
		return ExitUsage
	}
	if exitErr.Next != "" {
		_, _ = fmt.Fprintln(stderr, "next:", exitErr.Next)
	}
	return exitErr.Code
}
