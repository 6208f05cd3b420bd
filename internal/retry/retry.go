// Package retry decides whether a request may be sent again. It contains the retry
// budget, the claims that make a request run at most once, the store and worker of
// deferred requests, and the quarantine of requests that crash their servers.
package retry

import (
	"context"
	"time"

	"kumquatcleat/internal/fault"
)

// Attempt describes a failed attempt to a Policy.
type Attempt struct {
	Number     int  // 1 for the first
	Idempotent bool // may run more than once
	Kind       fault.Kind
	Replayable bool          // the body can be sent again from the start
	Remaining  time.Duration // until the caller's deadline
}

// Policy decides whether a request is retried.
type Policy interface {
	// Next returns whether to try again and how long to wait first.
	Next(a Attempt) (again bool, wait time.Duration)
	// Succeeded reports a successful request, which adds to the retry budget.
	Succeeded()
}

// Verdict is the answer to a claim.
type Verdict int

const (
	// ClaimRefused means that no claim was made; the request must not be sent.
	ClaimRefused Verdict = iota
	// ClaimFirst means that this copy of the request may run.
	ClaimFirst
	// ClaimDuplicate means that an earlier copy ran or may have run.
	ClaimDuplicate
)

// Claim allows its holder to send the only copy of a request with an idempotency key.
type Claim interface {
	// Finished reports that a complete answer was received.
	Finished(ctx context.Context)
	// NotRun reports that no copy started and none still can, which frees the key.
	NotRun(ctx context.Context)
}

// Claimer claims idempotency keys at the keeper of a group.
type Claimer interface {
	Claim(ctx context.Context, group, idempotencyKey, requestID string) (Claim, Verdict, error)
}

// Quarantine refuses requests that have crashed two servers.
type Quarantine interface {
	// Admit returns a *fault.Error of kind Quarantined, or nil.
	Admit(service string, request Fingerprints) error
	// ServerLost reports that a server was lost while it ran the request.
	ServerLost(service string, request Fingerprints, server string)
	// Ran reports that a server ran the request to completion.
	Ran(service string, request Fingerprints)
}
