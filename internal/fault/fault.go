// Package fault defines the closed list of error kinds and the table that maps
// each kind to the answer that a caller receives.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is an error kind.
type Kind string

// The closed list of error kinds. Every kind has a row in the answer table.
const (
	// BadRequest is a malformed header, key, path or query.
	BadRequest Kind = "bad_request"
	// BodyTooLarge is a request body over the limit of its service.
	BodyTooLarge Kind = "body_too_large"
	// BodyCut is a streamed body that exceeded the limit after its first part was sent
	// to a server, or that would have to be sent a second time.
	BodyCut Kind = "body_cut"
	// UnknownService is a path that names no configured service.
	UnknownService Kind = "unknown_service"
	// KeyRequired is a request without a key to a service that is divided by key.
	KeyRequired Kind = "key_required"
	// NoOwner is a slot without an owner that may run the request now.
	NoOwner Kind = "no_owner"
	// NoServer is a service without a server that can take the request now.
	NoServer Kind = "no_server"
	// Isolated is a VM that reaches no server and no other VM that does.
	Isolated Kind = "isolated"
	// Overloaded is a full queue or an exhausted concurrency limit.
	Overloaded Kind = "overloaded"
	// QueueTimeout is a deadline that passed before the request was sent.
	QueueTimeout Kind = "queue_timeout"
	// ConnectFailed is a connection that could not be opened.
	ConnectFailed Kind = "connect_failed"
	// ServerRefused is a server's own statement that it did not start the request.
	ServerRefused Kind = "server_refused"
	// NotOwner is a server's statement that it does not hold the slot under the token,
	// or a send that this VM's own check stopped before the first byte.
	NotOwner Kind = "not_owner"
	// ConnectionLost is a connection that broke after a byte may have been sent.
	ConnectionLost Kind = "connection_lost"
	// ServerTimeout is a deadline that passed after the request was sent.
	ServerTimeout Kind = "server_timeout"
	// AnswerCut is an answer that was truncated after its first bytes were sent to
	// the caller. The connection to the caller is closed without an error answer.
	AnswerCut Kind = "answer_cut"
	// Quarantined is a request whose fingerprint has crashed servers before.
	Quarantined Kind = "quarantined"
	// ClaimUnavailable is an at-most-once claim that could not be recorded.
	ClaimUnavailable Kind = "claim_unavailable"
	// DuplicateRequest is a resent request whose first copy ran or may have run.
	DuplicateRequest Kind = "duplicate_request"
	// Stopping is a VM that is shutting down and ends before the request would have to be
	// answered.
	Stopping Kind = "stopping"
	// Starting is a VM that does not know the configuration in force yet.
	Starting Kind = "starting"
	// DeferralUnavailable is a deferred request that could not be stored durably.
	DeferralUnavailable Kind = "deferral_unavailable"
	// DeferralUnconfirmed is a deferred request whose durable write was not confirmed.
	DeferralUnconfirmed Kind = "deferral_unconfirmed"
	// CallerGone is a caller that closed its connection before the answer.
	CallerGone Kind = "caller_gone"
	// ConfigConflict is a configuration write that lost a race.
	ConfigConflict Kind = "config_conflict"
	// ConfigInvalid is a configuration record that fails validation.
	ConfigInvalid Kind = "config_invalid"
	// PlatformUnavailable is a platform call without a usable answer.
	PlatformUnavailable Kind = "platform_unavailable"
	// NotFound is an operator's request or a ticket query for something that does not
	// exist.
	NotFound Kind = "not_found"
	// Internal is an error in the router itself before anything was sent.
	Internal Kind = "internal"
)

// Outcome states whether the request ran.
type Outcome string

const (
	// NotRun guarantees that no server has started the request and none will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run or may still run.
	Unknown Outcome = "unknown"
)

// Answer is what a caller receives for a kind.
type Answer struct {
	Status     int
	Outcome    Outcome
	RetryAfter time.Duration // zero: the answer has no retry hint
}

var answers = map[Kind]Answer{
	BadRequest:          {http.StatusBadRequest, NotRun, 0},
	BodyTooLarge:        {http.StatusRequestEntityTooLarge, NotRun, 0},
	BodyCut:             {http.StatusRequestEntityTooLarge, Unknown, 0},
	UnknownService:      {http.StatusNotFound, NotRun, 0},
	KeyRequired:         {http.StatusBadRequest, NotRun, 0},
	NoOwner:             {http.StatusServiceUnavailable, NotRun, time.Second},
	NoServer:            {http.StatusServiceUnavailable, NotRun, time.Second},
	Isolated:            {http.StatusServiceUnavailable, NotRun, time.Second},
	Overloaded:          {http.StatusTooManyRequests, NotRun, time.Second},
	QueueTimeout:        {http.StatusServiceUnavailable, NotRun, time.Second},
	ConnectFailed:       {http.StatusBadGateway, NotRun, time.Second},
	ServerRefused:       {http.StatusServiceUnavailable, NotRun, time.Second},
	NotOwner:            {http.StatusServiceUnavailable, NotRun, time.Second},
	ConnectionLost:      {http.StatusBadGateway, Unknown, 0},
	ServerTimeout:       {http.StatusGatewayTimeout, Unknown, 0},
	AnswerCut:           {http.StatusBadGateway, Unknown, 0},
	Quarantined:         {http.StatusUnprocessableEntity, NotRun, time.Minute},
	ClaimUnavailable:    {http.StatusServiceUnavailable, NotRun, time.Second},
	DuplicateRequest:    {http.StatusConflict, Unknown, 0},
	Stopping:            {http.StatusServiceUnavailable, NotRun, time.Second},
	Starting:            {http.StatusServiceUnavailable, NotRun, time.Second},
	DeferralUnavailable: {http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	DeferralUnconfirmed: {http.StatusGatewayTimeout, Unknown, 0},
	CallerGone:          {http.StatusBadGateway, Unknown, 0},
	ConfigConflict:      {http.StatusConflict, NotRun, 0},
	ConfigInvalid:       {http.StatusBadRequest, NotRun, 0},
	PlatformUnavailable: {http.StatusServiceUnavailable, NotRun, time.Second},
	NotFound:            {http.StatusNotFound, NotRun, 0},
	Internal:            {http.StatusInternalServerError, NotRun, 0},
}

// Kinds returns every kind of the closed list, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	return kinds
}

// AnswerFor returns the answer for a kind. An undefined kind gets the status of
// Internal with the outcome Unknown, because nothing is known about it.
func AnswerFor(k Kind) Answer {
	a, ok := answers[k]
	if !ok {
		return Answer{Status: http.StatusInternalServerError, Outcome: Unknown}
	}
	return a
}

// Error is an error of a known kind.
type Error struct {
	Kind    Kind
	Message string
	Err     error // the cause; may be nil
}

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k with a formatted message and the cause err.
func Wrap(k Kind, err error, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), Err: err}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Kind, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Kind, e.Message, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in the chain, or Internal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
