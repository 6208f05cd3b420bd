// Package retry decides whether a request may be sent again, holds the budget
// that bounds retries, the claims that make a request run at most once, and the
// quarantine of requests that crash their servers.
package retry

import (
	"context"
	"time"

	"kumquatcleat/internal/fault"
)

// Attempt is what the policy looks at after a failed attempt.
type Attempt struct {
	Number     int  // 1 for the first
	Idempotent bool // may run more than once
	Kind       fault.Kind
	Replayable bool          // the body can be sent again from the start
	Remaining  time.Duration // until the caller's deadline
}

// Policy decides about another attempt.
type Policy interface {
	// Next returns whether to try again and how long to wait before that.
	Next(a Attempt) (again bool, wait time.Duration)
	// Succeeded tells that a request succeeded, which earns budget.
	Succeeded()
}

// Verdict is the answer to a claim.
type Verdict int

const (
	// ClaimRefused says that no claim could be made; the request must not be sent.
	ClaimRefused Verdict = iota
	// ClaimFirst lets this copy run.
	ClaimFirst
	// ClaimDuplicate says that an earlier copy ran or may have run.
	ClaimDuplicate
)

// Claim is the right to send the one copy of a request with an idempotency key.
type Claim interface {
	// Finished tells that a whole answer was received.
	Finished(ctx context.Context)
	// NotRun tells that no copy started and none still can; the key is free again.
	NotRun(ctx context.Context)
}

// Claimer makes claims at the VMs that keep the key's group.
type Claimer interface {
	Claim(ctx context.Context, group, idempotencyKey, requestID string) (Claim, Verdict, error)
}

// Quarantine refuses requests that took two servers down.
type Quarantine interface {
	// Admit returns a *fault.Error of kind Quarantined, or nil.
	Admit(service string, fingerprint uint64) error
	// ServerLost tells that a server was lost while it ran the request.
	ServerLost(service string, fingerprint uint64, server string)
	// Ran tells that a server ran the request to its end.
	Ran(service string, fingerprint uint64)
}
