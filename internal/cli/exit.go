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
	ExitConflict = 3 // another operator's change came first
)

// ExitError carries the exit code of a failed command.
type ExitError struct {
	Code int
	Err  error
	Next string // what the operator does next; may be empty
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// refusal is the exit code and the advice for one kind of error.
type refusal struct {
	code int
	next string
}

// refusals holds the kinds that operators meet.
var refusals = map[fault.Kind]refusal{
	fault.ConfigConflict: {ExitConflict, "read the record in force with 'kumquatcleat get NAME', bring your change into it, " +
		"set version one above it and apply again"},
	fault.ConfigInvalid:       {ExitUsage, "correct what is named and check it with 'kumquatcleat validate FILE'"},
	fault.BadRequest:          {ExitUsage, "see 'kumquatcleat help'"},
	fault.PlatformUnavailable: {ExitFailed, "check --platform and that the platform answers; VMs go on with the records in force"},
	fault.NotFound:            {ExitFailed, "list the names with 'kumquatcleat get'"},
}

// exitFor turns an error of the slices below into one with an exit code.
func exitFor(err error) error {
	if err == nil {
		return nil
	}
	var done *ExitError
	if errors.As(err, &done) {
		return err
	}
	r, ok := refusals[fault.KindOf(err)]
	if !ok {
		r = refusal{code: ExitFailed}
	}
	return &ExitError{Code: r.code, Err: err, Next: r.next}
}
