// Package httphead checks the heads of the HTTP answers that both programs read: statuses and field
// names. net/http accepts any three digits as a status, 101 as a final one, and blanks in field names.
package httphead

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// MaxInterim bounds the interim answers (1xx) before a final one. A faulty server may send them
// without end.
const MaxInterim = 16

// ErrInvalid marks an answer whose head is invalid, or that came before its request. What else came on
// its connection can't be trusted.
var ErrInvalid = errors.New("invalid answer")

// invalidError tells what is invalid in an answer.
type invalidError struct{ what string }

// Error implements error.
func (e invalidError) Error() string { return "invalid " + e.what }

// Is reports that the error is an ErrInvalid.
func (e invalidError) Is(target error) bool { return target == ErrInvalid }

func invalid(format string, args ...any) error { return invalidError{fmt.Sprintf(format, args...)} }

// CheckFinal returns an error if a final answer can't have the status.
func CheckFinal(status int) error {
	if status < http.StatusOK || status > 599 {
		return invalid("status %03d", status)
	}
	return nil
}

// Sequence checks the statuses of successive answers to one request. The zero value is ready for
// the first one.
type Sequence struct{ interim int }

// Next reports whether an answer is the final one. No request asks for another protocol, so 101 is
// interim like any 1xx.
func (s *Sequence) Next(status int) (final bool, err error) {
	if status < http.StatusContinue || status >= http.StatusOK {
		return true, CheckFinal(status)
	}
	if s.interim++; s.interim > MaxInterim {
		return false, invalid("status %03d after %d interim answers", status, MaxInterim)
	}
	return false, nil
}

// CheckNames returns an error if the name of a field is no token (RFC 9110, section 5.1). Parsers read
// such a line differently: "Content-Length : 2" states a length for some, and nothing for others.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return invalid("field name %.*q", maxQuotedName, name)
		}
	}
	return nil
}

// maxQuotedName is how many characters of a field name an error quotes.
const maxQuotedName = 40
