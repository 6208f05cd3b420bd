// Package httpstatus checks the statuses of the HTTP answers that both programs read. net/http
// accepts any three digits as a status, and 101 as a final one.
package httpstatus

import (
	"errors"
	"fmt"
	"net/http"
)

// MaxInterim bounds the interim answers (1xx) before a final one. A faulty server may send them
// without end.
const MaxInterim = 16

// ErrInvalid marks an answer whose status is no valid one. What else came on its connection can't
// be trusted.
var ErrInvalid = errors.New("invalid status")

// CheckFinal returns an error if a final answer can't have the status.
func CheckFinal(status int) error {
	if status < http.StatusOK || status > 599 {
		return fmt.Errorf("%w %03d", ErrInvalid, status)
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
		return false, fmt.Errorf("%w %03d after %d interim answers", ErrInvalid, status, MaxInterim)
	}
	return false, nil
}
