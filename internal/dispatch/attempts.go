package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/overload"
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
		if refusal := r.refuseUntilFree(untried); refusal != nil {
			return choice, refusal
		}
		return choice, refuse(fault.NoServer, r.honored(unreachedRetryAfter), "service %q: %d servers, %d tried",
			r.service.Name, len(r.core.Registry.Usable(r.service.Name)), len(r.tried))
	}
	return choice, r.admit(choice)
}

// untried returns the best server that this request has not tried and whose rate limit
// leaves room.
func (r *requestState) untried() (balance.Choice, bool) {
	now := time.Now()
	if choice, ok := r.limitedLocal(now); ok {
		return choice, true
	}
	excluded := func(s *registry.Server) bool { return r.hasTried(s) || r.core.serverWait(now, s) > 0 }
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
		if r.hasTried(s) || r.core.Pauses.Wait(now, s.Instance()) > 0 || !r.core.RateLimits.HasRoom(now, s.Instance()) {
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

// serverWait returns the time until a server may get a request from this VM, 0 if it may now:
// pauses that it asks for and rate limits that it states.
func (c *Core) serverWait(now time.Time, s *registry.Server) time.Duration {
	return max(c.Pauses.Wait(now, s.Instance()), c.RateLimits.Wait(now, s.Instance()))
}

// refuseUntilFree refuses a request that only pauses and rate limits keep from all of some
// servers. Without servers, it returns nil.
func (r *requestState) refuseUntilFree(servers []*registry.Server) *Answer {
	now := time.Now()
	var first *registry.Server
	var wait time.Duration
	for _, s := range servers {
		if w := r.core.serverWait(now, s); first == nil || w < wait {
			first, wait = s, w
		}
	}
	if first == nil {
		return nil
	}
	reason := "its rate limit leaves this VM no room"
	if r.core.Pauses.Wait(now, first.Instance()) > 0 {
		reason = "it asked for a pause"
	}
	hint := overload.Signal{WaitS: wait.Seconds()}.RetryAfter(r.route.Objective, rand.Float64())
	return refuse(fault.Overloaded, r.honored(hint), "server %s: %s, for %v more", first.ID, reason, wait.Round(time.Millisecond))
}

// chooseOwner returns the owner of the request's key. It waits for a move of the
// key to complete.
func (r *requestState) chooseOwner(ctx context.Context) (balance.Choice, *Answer) {
	until := time.Now().Add(time.Duration(float64(time.Until(r.deadline)) * ownerWaitShare))
	for {
		server, reason := r.owner()
		if server != nil {
			choice := r.core.Balancer.Estimate(time.Now(), server)
			if refusal := r.admitOwner(server); refusal != nil {
				return choice, refusal
			}
			return choice, r.admit(choice)
		}
		left := time.Until(until)
		if left <= 0 || ctx.Err() != nil {
			return balance.Choice{}, refuse(fault.NoOwner, r.honored(ownerRetryAfter), "key %d of service %q: %s", r.request.Key, r.service.Name, reason)
		}
		r.core.Owners.Wait(ctx, min(left, registryPollInterval))
	}
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
	case version == r.recordVersion && time.Since(r.notOwnerAt) < grantDelay:
		return nil, fmt.Sprintf("owner %s did not run it, record %d", owner.Server, version)
	}
	r.recordVersion, r.notOwnerAt = version, time.Time{}
	return server, ""
}
