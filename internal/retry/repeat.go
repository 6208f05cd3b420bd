package retry

import "kumquatcleat/internal/fault"

// mayRepeat returns whether another attempt can break no promise to the caller.
// A body that can't be sent again from the start rules out every repeat; a
// caller of Policy sets Replayable when the attempt took nothing of the body.
func mayRepeat(a Attempt) bool {
	if !a.Replayable {
		return false
	}
	switch a.Kind {
	case fault.ConnectFailed, fault.ServerRefused, fault.NotOwner, fault.Overloaded:
		return true // no server started it
	case fault.ConnectionLost, fault.ServerTimeout:
		return a.Idempotent
	default:
		return false
	}
}
