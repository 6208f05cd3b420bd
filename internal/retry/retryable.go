package retry

import "kumquatcleat/internal/fault"

// isRetryable reports whether another attempt is safe: the request has not run, or it
// is idempotent. A body that cannot be sent again from the start rules out any retry;
// callers of Policy also set Replayable if the attempt consumed none of the body.
func isRetryable(a Attempt) bool {
	if !a.Replayable {
		return false
	}
	switch a.Kind {
	case fault.ConnectFailed, fault.ServerRefused, fault.NotOwner, fault.Overloaded:
		return true // no server started the request
	case fault.ConnectionLost, fault.ServerTimeout:
		return a.Idempotent
	default:
		return false
	}
}
