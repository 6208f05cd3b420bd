package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatcleat/internal/admission"
	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/eligibility"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/registry"
)

const (
	// maxConnectFailures is how many servers that can't be reached are tried.
	maxConnectFailures = 4
	// minAttemptTime is the remaining time below which no attempt is made, because it
	// could not finish before the deadline.
	minAttemptTime = 5 * time.Millisecond
	// ownerRetryAfter is the Retry-After hint for keys that change owners: a move
	// takes a few hundred milliseconds.
	ownerRetryAfter = 300 * time.Millisecond
	// unreachedRetryAfter is the Retry-After hint when no server could be reached.
	unreachedRetryAfter = 400 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After hint when all servers are in evacuated failure
	// domains. Evacuations last for seconds at least, so callers return as late as they would.
	evacuatedRetryAfter = time.Minute
	// ownerWaitShare is the share of the remaining time that a request may wait for its
	// key's owner. A refusal after that leaves the caller time for a retry.
	ownerWaitShare = 0.35
)

// attempts sends the request until it is answered or no retry is allowed. Once
// an attempt may have run, a later refusal must not promise that the request did
// not run, so the answer of the earlier attempt replaces it.
func (r *requestState) attempts(ctx context.Context) *Answer {
	for {
		answer, retryable := r.nextAttempt(ctx)
		if retryable && r.mayRetry() {
			continue
		}
		if r.mayHaveRunAnswer != nil && !answer.Abandoned && answer.promisesNotRun() {
			return r.mayHaveRunAnswer
		}
		return answer
	}
}

// nextAttempt makes one attempt, or refuses the request. The second result reports
// whether a retry may succeed.
func (r *requestState) nextAttempt(ctx context.Context) (*Answer, bool) {
	if ctx.Err() != nil {
		return &Answer{Abandoned: true}, false
	}
	if time.Until(r.deadline) < minAttemptTime {
		return refuse(fault.QueueTimeout, 0, "the timeout of %v expired before an attempt", r.deadline.Sub(r.request.Arrived)), false
	}
	if r.relayed {
		return r.relay(ctx)
	}
	choice, refusal := r.choose(ctx)
	if r.core.Reach.Isolated() && (refusal != nil || !r.core.HasIdleConnection(choice.Server)) {
		if !r.request.Relayed {
			return r.relay(ctx)
		}
		if refusal == nil && r.sends == 0 {
			// The VM that sent the request here tries another one.
			return refuse(fault.Isolated, 0, "this VM has no open connection to server %s and can't open one", choice.Server.ID), false
		}
	}
	if refusal != nil {
		return refusal, false
	}
	return r.hedge(ctx, choice)
}

// mayRetry reports whether the route and the retry budget allow another attempt.
// It takes a retry from the budget if an earlier attempt reached a server.
func (r *requestState) mayRetry() bool {
	if r.connectFailures >= maxConnectFailures {
		return false
	}
	if r.sends == 0 {
		return true // nothing reached a server, so this is not a retry
	}
	return r.sends < max(r.route.MaxAttempts, 1) && r.core.Suspicions.MayRepeat(r.service.Name, r.fingerprints, r.broken) && r.core.Budget.TakeRetry(r.service.Name)
}

// choose returns the server for the next attempt, or a refusal.
func (r *requestState) choose(ctx context.Context) (balance.Choice, *Answer) {
	if r.service.DividedByKey {
		return r.chooseOwner(ctx)
	}
	choice, ok := r.untried()
	if !ok {
		untried := slices.DeleteFunc(slices.Clone(r.core.Registry.Usable(r.service.Name)), r.hasTried)
		if refusal := r.refuseUntilEligible(untried, r.core.eligibility.CheckUsable); refusal != nil {
			return choice, refusal
		}
		return choice, r.refuseWithoutServer()
	}
	return choice, r.admit(choice)
}

// refuseWithoutServer refuses a request whose service has no server left to try.
func (r *requestState) refuseWithoutServer() *Answer {
	hint := unreachedRetryAfter
	if len(r.tried) == 0 && r.evacuatedEverywhere() {
		hint = evacuatedRetryAfter
	}
	return refuse(fault.NoServer, r.honored(hint), "service %q: %d servers, %d tried, %d failure domains evacuated",
		r.service.Name, len(r.core.Registry.Usable(r.service.Name)), len(r.tried), r.core.Registry.EvacuatedDomains())
}

// untried returns the best server that this request has not tried and whose rate limit
// leaves room.
func (r *requestState) untried() (balance.Choice, bool) {
	now := time.Now()
	if choice, ok := r.limitedLocal(now); ok {
		return choice, true
	}
	excluded := func(s *registry.Server) bool {
		return r.hasTried(s) || !r.core.eligibility.CheckUsable(now, s).Allowed()
	}
	placement := balance.Placement{}
	if r.core.Place != nil && len(r.tried) == 0 {
		placement = r.core.Place(r.service.Name)
	}
	for {
		choice, ok := r.core.Balancer.ChooseIn(now, placement, r.core.Registry.Usable(r.service.Name), r.route.Objective, excluded)
		// Another request may have taken the room meanwhile.
		if !ok || r.core.RateLimits.Take(now, choice.Server.Instance()) {
			return choice, ok
		}
	}
}

// limitedLocal returns a server of the VM's own failure domain whose rate limit leaves room. It
// gets its share even if others are as good: only its answers show when the limit ends.
func (r *requestState) limitedLocal(now time.Time) (balance.Choice, bool) {
	if !r.core.RateLimits.Any() {
		return balance.Choice{}, false
	}
	for _, s := range r.core.Registry.Usable(r.service.Name) {
		if !r.core.RateLimits.HasRoom(now, s.Instance()) || r.hasTried(s) || !r.core.eligibility.CheckUsable(now, s).Allowed() {
			continue
		}
		if choice, ok := r.core.Balancer.Local(now, s, r.route.Objective); ok && r.core.RateLimits.Take(now, s.Instance()) {
			return choice, true
		}
	}
	return balance.Choice{}, false
}

// hasTried reports whether the request was sent to this instance of a server. The registry
// replaces the *registry.Server at each change of the registration, so pointers don't tell.
func (r *requestState) hasTried(s *registry.Server) bool {
	return slices.Contains(r.tried, s.Instance())
}

// refuseUntilEligible refuses a request that may be sent to none of some servers now. Without
// servers, it returns nil.
func (r *requestState) refuseUntilEligible(servers []*registry.Server, check func(time.Time, *registry.Server) eligibility.Verdict) *Answer {
	now := time.Now()
	first, verdict, found := eligibility.Earliest(servers, func(s *registry.Server) eligibility.Verdict { return check(now, s) })
	if !found {
		return nil
	}
	r.core.requestMetrics.withheld(verdict.Reason)
	return r.refuseUntil(first, verdict)
}

// refuseUntil refuses a request because of the verdict on a server.
func (r *requestState) refuseUntil(first *registry.Server, verdict eligibility.Verdict) *Answer {
	if verdict.Wait == 0 {
		return refuse(fault.NoServer, r.honored(unreachedRetryAfter), "server %s: %s", first.ID, verdict.Reason)
	}
	hint := admission.RetryAfter(verdict.Wait, r.route.Objective, rand.Float64())
	return refuse(fault.Overloaded, r.honored(hint), "server %s: %s, for %v more", first.ID, verdict.Reason, verdict.Wait.Round(time.Millisecond))
}

// chooseOwner returns the owner of the request's key. It waits for a move of the
// key to complete.
func (r *requestState) chooseOwner(ctx context.Context) (balance.Choice, *Answer) {
	until := time.Now().Add(time.Duration(float64(time.Until(r.deadline)) * ownerWaitShare))
	for {
		server, reason := r.owner()
		if server != nil {
			choice := r.core.Balancer.Estimate(time.Now(), server)
			return choice, r.admitOwner(choice)
		}
		if r.evacuatedEverywhere() {
			return balance.Choice{}, refuse(fault.NoServer, r.honored(evacuatedRetryAfter), "key %d of service %q: %s; all servers are in evacuated failure domains",
				r.request.Key, r.service.Name, reason)
		}
		left := time.Until(until)
		if left <= 0 || ctx.Err() != nil {
			return balance.Choice{}, refuse(fault.NoOwner, r.honored(ownerRetryAfter), "key %d of service %q: %s", r.request.Key, r.service.Name, reason)
		}
		r.core.Owners.Wait(ctx, min(left, registryPollInterval))
	}
}

// evacuatedEverywhere reports whether evacuations leave the service without a usable server.
func (r *requestState) evacuatedEverywhere() bool {
	return len(r.core.Registry.Usable(r.service.Name)) == 0 && r.core.Registry.HasEvacuated(r.service.Name)
}

// grantDelay is how long after its owners record a grant may reach the owner: a
// few ticks of the coordinator and one call.
const grantDelay = 100 * time.Millisecond

// registryPollInterval bounds each wait for a new owners record. A server that
// returns changes only the registry, which does not end the wait.
const registryPollInterval = 100 * time.Millisecond

// owner returns the server that owns the request's key, or the reason why there
// is none.
func (r *requestState) owner() (*registry.Server, string) {
	owner, version, ok := r.core.Owners.Find(r.service.Name, r.request.Key)
	if !ok {
		return nil, "no record is known"
	}
	if owner.Pending {
		return nil, fmt.Sprintf("moves to server %s by record %d", owner.Server, version)
	}
	server := r.core.Registry.Get(owner.Server)
	switch {
	case server == nil:
		return nil, fmt.Sprintf("owner %s is not registered, record %d", owner.Server, version)
	case server.Incarnation != owner.Incarnation || r.core.Registry.IsTerminated(server.ID, server.Incarnation):
		return nil, fmt.Sprintf("owner %s terminated, record %d", owner.Server, version)
	case server.Draining && time.Since(server.SeenAt) > r.core.Settings.DrainOwnerGrace:
		return nil, fmt.Sprintf("owner %s is draining, record %d", owner.Server, version)
	case r.core.eligibility.CheckOwner(time.Now(), server).Reason == eligibility.Evacuated:
		return nil, fmt.Sprintf("the failure domain of owner %s is evacuated, record %d", owner.Server, version)
	case version == r.recordVersion && time.Since(r.notOwnerAt) < grantDelay:
		return nil, fmt.Sprintf("owner %s did not run it, record %d", owner.Server, version)
	}
	r.recordVersion, r.notOwnerAt = version, time.Time{}
	return server, ""
}
