package dispatch

import (
	"math/rand/v2"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/registry"
)

// admit refuses a request that the server would not answer before the deadline.
func (r *requestState) admit(choice balance.Choice) *Answer {
	left := time.Until(r.deadline)
	if !choice.Full && choice.Expected < left {
		return nil
	}
	return refuse(fault.Overloaded, r.overloadRetryAfter(choice, left), "server %s: an answer is expected after %v, %v are left, full: %v",
		choice.Server.ID, choice.Expected.Round(time.Millisecond), left.Round(time.Millisecond), choice.Full)
}

// admitOwner refuses a request that the owner of its key has no room for: by the loads that
// all VMs report and by its rate limit.
func (r *requestState) admitOwner(server *registry.Server) *Answer {
	now := time.Now()
	if !r.core.eligibility.CheckOwner(now, server).Allowed() {
		return r.refuseUntilEligible([]*registry.Server{server}, r.core.eligibility.CheckOwner)
	}
	signal, admitted := r.core.Overload.Admit(now, r.service.Name, server.ID, r.route.Rank, rand.Float64())
	switch {
	case admitted && signal.RateLimited:
		return nil // the signal divides the rate among the VMs by their requests
	case admitted && r.core.RateLimits.Take(now, server.Instance()):
		return nil
	case admitted:
		return r.refuseUntilEligible([]*registry.Server{server}, r.core.eligibility.CheckUsable)
	}
	hint := r.honored(signal.RetryAfter(r.route.Objective, rand.Float64()))
	return refuse(fault.Overloaded, hint, "server %s is overloaded: %.0f requests of all VMs, admitted share %.2f",
		server.ID, signal.Load, signal.Admit)
}

// minRetryAfter is the shortest Retry-After hint.
const minRetryAfter = 20 * time.Millisecond

// overloadRetryAfter returns the Retry-After hint for an overloaded server: the time
// until its queue has halved, at most a third of the remaining time, as callers
// do not honor a longer hint.
func (r *requestState) overloadRetryAfter(choice balance.Choice, left time.Duration) time.Duration {
	return max(min(choice.Expected/2, left/3), minRetryAfter)
}
