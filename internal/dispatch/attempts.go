package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/registry"
)

const (
	// mostConnects bounds the servers that are tried without reaching any.
	mostConnects = 4
	// leastUseful is the time below which an attempt can't bring an answer.
	leastUseful = 5 * time.Millisecond
	// ownerRetry is the hint for keys that change owners: a move takes a few
	// hundred milliseconds.
	ownerRetry = 300 * time.Millisecond
	// unreachedRetry is the hint when no server could be reached.
	unreachedRetry = 400 * time.Millisecond
	// waitShare is the part of a caller's time that a request may wait for its
	// key's owner; a refusal after it leaves time for another try.
	waitShare = 0.35
)

// attempts sends the request until it is answered or no attempt is left. Once
// an attempt may have run, no later one can make the request not have run: the
// answer of the earlier attempt stands in for a refusal that would promise so.
func (r *run) attempts(ctx context.Context) *Answer {
	for {
		answer, again := r.next(ctx)
		if again && r.mayRepeat() {
			continue
		}
		if r.ran != nil && !answer.Abandoned && answer.notRun() {
			return r.ran
		}
		return answer
	}
}

// next makes one attempt, or refuses the request. The second result tells whether
// another attempt makes sense.
func (r *run) next(ctx context.Context) (*Answer, bool) {
	if ctx.Err() != nil {
		return &Answer{Abandoned: true}, false
	}
	if time.Until(r.deadline) < leastUseful {
		return refuse(fault.QueueTimeout, 0, "the time of %v was over before an attempt", r.deadline.Sub(r.request.Arrived)), false
	}
	choice, refusal := r.choose(ctx)
	if refusal != nil {
		return refusal, false
	}
	return r.race(ctx, choice)
}

// mayRepeat reports whether another attempt is allowed by the route and paid for
// by the budget.
func (r *run) mayRepeat() bool {
	if r.connects >= mostConnects {
		return false
	}
	if r.sends == 0 {
		return true // nothing reached a server: no repeat
	}
	return r.sends < max(r.route.MaxAttempts, 1) && r.core.Budget.TakeRetry(r.service.Name)
}

// choose returns the server of the next attempt.
func (r *run) choose(ctx context.Context) (balance.Choice, *Answer) {
	if r.service.DividedByKey {
		return r.chooseOwner(ctx)
	}
	choice, ok := r.untried()
	if !ok {
		return choice, refuse(fault.NoServer, unreachedRetry, "service %q: %d servers, %d tried",
			r.service.Name, len(r.core.Registry.Usable(r.service.Name)), len(r.tried))
	}
	return choice, r.admit(choice)
}

// untried returns the best server that this request was not sent to yet.
func (r *run) untried() (balance.Choice, bool) {
	tried := func(s *registry.Server) bool { return slices.Contains(r.tried, s) }
	return r.core.Balancer.Choose(time.Now(), r.core.Registry.Usable(r.service.Name), r.route.Objective, tried)
}

// admit refuses a request that would not be answered in time.
func (r *run) admit(choice balance.Choice) *Answer {
	left := time.Until(r.deadline)
	if !choice.Full && choice.Expected < left {
		return nil
	}
	return refuse(fault.Overloaded, r.overloadRetry(choice, left), "server %s: an answer is expected after %v, %v are left, full: %v",
		choice.Server.ID, choice.Expected.Round(time.Millisecond), left.Round(time.Millisecond), choice.Full)
}

// overloadRetry is when a server's queue will have shrunk enough, within what
// callers honor: a third of their time.
func (r *run) overloadRetry(choice balance.Choice, left time.Duration) time.Duration {
	return max(min(choice.Expected/2, left/3), 20*time.Millisecond)
}

// chooseOwner returns the owner of the request's key, waiting for a move to end.
func (r *run) chooseOwner(ctx context.Context) (balance.Choice, *Answer) {
	until := time.Now().Add(time.Duration(float64(time.Until(r.deadline)) * waitShare))
	for {
		server, why := r.owner()
		if server != nil {
			choice := r.core.Balancer.Judge(time.Now(), server)
			return choice, r.admit(choice)
		}
		left := time.Until(until)
		if left <= 0 || ctx.Err() != nil {
			return balance.Choice{}, refuse(fault.NoOwner, ownerRetry, "key %d of service %q: %s", r.request.Key, r.service.Name, why)
		}
		r.core.Owners.Wait(ctx, min(left, registryPoll))
	}
}

// grantTime is how long after its record the grant of an owner may come: some ticks
// of the coordinator and a call.
const grantTime = 100 * time.Millisecond

// registryPoll bounds a wait for a record, as a server's return shows elsewhere.
const registryPoll = 100 * time.Millisecond

// owner returns the server that owns the request's key, or why there is none.
func (r *run) owner() (*registry.Server, string) {
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
		return nil, fmt.Sprintf("owner %s has no entry, record %d", owner.Server, version)
	case server.Incarnation != owner.Incarnation || r.core.Registry.HasEnded(server.ID, server.Incarnation):
		return nil, fmt.Sprintf("owner %s ended, record %d", owner.Server, version)
	case server.Draining && time.Since(server.SeenAt) > r.core.Settings.DrainOwnerGrace:
		return nil, fmt.Sprintf("owner %s is leaving, record %d", owner.Server, version)
	case version == r.recordAt && time.Since(r.notOwnerAt) < grantTime:
		return nil, fmt.Sprintf("owner %s did not run it, record %d", owner.Server, version)
	}
	r.recordAt, r.notOwnerAt = version, time.Time{}
	return server, ""
}
