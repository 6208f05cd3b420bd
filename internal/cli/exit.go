package cli

import (
	"errors"

	"kumquatcleat/internal/fault"
)

// Exit codes of the program.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command could not do its work
	ExitUsage    = 2 // wrong arguments, settings or records
	ExitConflict = 3 // another operator's change was accepted first
)

// ExitError carries the exit code of a failed command.
type ExitError struct {
	Code int
	Err  error
	Next string // advice on what to do next; may be empty
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// exitAdvice is the exit code of one kind of error and the advice on what to do next.
type exitAdvice struct {
	code int
	next string
}

// exitAdviceByKind holds the error kinds that the commands return. Other kinds exit
// with ExitFailed and without advice.
var exitAdviceByKind = map[fault.Kind]exitAdvice{
	fault.ConfigConflict: {ExitConflict, "read the record in force with 'kumquatcleat get NAME', merge your change into it, " +
		"increment its version and apply it again"},
	fault.ConfigInvalid:       {ExitUsage, "correct the problems named above and check the file with 'kumquatcleat validate FILE'"},
	fault.BadRequest:          {ExitUsage, "see 'kumquatcleat help'"},
	fault.PlatformUnavailable: {ExitFailed, "check --platform and that the platform answers; VMs keep using the records in force"},
	fault.NotFound:            {ExitFailed, "list the names with 'kumquatcleat get'"},
}

// withExitCode wraps err in an ExitError according to its kind, unless it already
// contains an ExitError.
func withExitCode(err error) error {
	if err == nil {
		return nil
	}
	var exitErr *ExitError
	if errors.As(err, &exitErr) {
		return err
	}
	advice, ok := exitAdviceByKind[fault.KindOf(err)]
	if !ok {
		advice = exitAdvice{code: ExitFailed}
	}
	return &ExitError{Code: advice.code, Err: err, Next: advice.next}
}
