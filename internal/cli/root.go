// Package cli holds the commands of the operators' program.
package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command could not do its work
	ExitUsage    = 2 // wrong arguments, settings or records
	ExitConflict = 3 // another operator's change came first
)

// ExitError carries the exit code of a failed command.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// NewRoot returns the program's root command.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "kumquatcleat",
		Short:         "Operate kumquatcleat, the router for servers that own keys exclusively",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(standinCommand(), benchCommand())
	return root
}

// Execute runs the program and returns its exit code.
func Execute() int {
	err := NewRoot().Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(os.Stderr, "kumquatcleat:", err)
	if exit, ok := err.(*ExitError); ok {
		return exit.Code
	}
	return ExitUsage
}
