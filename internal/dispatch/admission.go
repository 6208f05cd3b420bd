package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/admission"
	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/registry"
)

// admissions is what decisions on admission need to know of earlier requests.
type admissions struct {
	ages          *admission.Ages
	withoutReturn metrics.Counter // refusals for good
	mu            sync.Mutex      // guards mixes
	mixes         map[string]*admission.Mix
}

func newAdmissions(m metrics.Registry) *admissions {
	return &admissions{ages: admission.NewAges(), mixes: map[string]*admission.Mix{},
		withoutReturn: metrics.GetOrRegisterCounter("refusals_without_return", m)}
}

// mix returns the mix of a service.
func (a *admissions) mix(service string) *admission.Mix {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.mixes[service]
	if m == nil {
		m = &admission.Mix{}
		a.mixes[service] = m
	}
	return m
}

// knownMix returns the mix of a service, or nil if there is none yet.
func (a *admissions) knownMix(service string) *admission.Mix {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mixes[service]
}

// admit refuses a request for which its server has no room: by the VM's own estimate and,
// for owners of keys, by the loads that all VMs report.
func (r *requestState) admit(choice balance.Choice) *Answer {
	refusal, _ := r.decide(time.Now(), choice)
	return refusal
}

// admitOwner refuses a request for which the owner of its key has no room: by its load, by the
// pause that it asked for and by its rate limit.
func (r *requestState) admitOwner(choice balance.Choice) *Answer {
	now, server := time.Now(), choice.Server
	if !r.core.eligibility.CheckOwner(now, server).Allowed() {
		return r.refuseUntilEligible([]*registry.Server{server}, r.core.eligibility.CheckOwner)
	}
	refusal, rateLimited := r.decide(now, choice)
	switch {
	case refusal != nil:
		return refusal
	case rateLimited && r.core.RateLimits.WarmupRate(now, server.Instance()) == 0:
		return nil // the signal divides the rate among the VMs by their requests
	// The signal follows the demand of the last second, and a cold server bears no more than its
	// rate: each VM also keeps to its share.
	case !r.core.RateLimits.Take(now, server.Instance()):
		return r.refuseUntilEligible([]*registry.Server{server}, r.core.eligibility.CheckUsable)
	}
	return nil
}

// decide decides whether a server gets a request. The second result reports whether the
// coordinator's signal keeps the requests of all VMs within the rate limit of the server.
func (r *requestState) decide(now time.Time, choice balance.Choice) (refusal *Answer, rateLimited bool) {
	request, state := r.admissionInputs(now, choice)
	rateLimited = state.RateLimited
	d := admission.Decide(now, request, state, r.core.admissions.mix(r.service.Name), rand.Float64(), rand.Float64())
	if d.Outcome == admission.Admit && !state.Limited {
		return nil, rateLimited
	}
	r.admission = d.Describe(request, state)
	server := choice.Server
	switch d.Outcome {
	case admission.Return:
		return refuse(fault.Overloaded, d.RetryAfter, "server %s: %s", server.ID, r.admission), rateLimited
	case admission.Final:
		r.core.admissions.withoutReturn.Inc(1)
		return refuse(fault.Overloaded, 0, "server %s: %s", server.ID, r.admission), rateLimited
	default:
		return nil, rateLimited
	}
}

// admissionInputs returns what the decision on a request for a server depends on.
func (r *requestState) admissionInputs(now time.Time, choice balance.Choice) (admission.Request, admission.State) {
	server := choice.Server
	request := admission.Request{Rank: r.route.Rank, Objective: r.route.Objective, Age: r.age(now), Left: r.deadline.Sub(now)}
	if r.request.Timeout > 0 {
		request.CallerLeft = max(r.request.Arrived.Add(r.request.Timeout).Sub(now), 1)
	}
	slots := max(server.Slots, 1)
	state := admission.State{
		Load: choice.Load, Slots: slots, Expected: choice.Expected, Full: choice.Full,
		ServiceTime: time.Duration(float64(slots) / r.core.Balancer.Capacity(now, server) * float64(time.Second)),
	}
	if r.service.DividedByKey {
		state.SlowFor, state.JustMoved = r.slowFor(now)
		state.Watched = r.core.Overload.Watches(now)
		if signal, age, found := r.core.Overload.Signal(now, server.ID); found {
			state = state.Limit(signal.Load, signal.Admit, time.Duration(signal.WaitS*float64(time.Second)), age)
			state.RateLimited = signal.RateLimited
		}
	}
	return request, state
}

// slowFor returns for how long the request's key is slow at its owner, 0 if it is not, and whether
// it only seems so, because it has just moved from a lost owner.
func (r *requestState) slowFor(now time.Time) (left time.Duration, justMoved bool) {
	slowTime := r.service.SlowKeysTime
	if slowTime == 0 || !r.service.DividedByKey {
		return 0, false
	}
	slow := &r.core.Owners.Slow
	if left := slow.Left(now, r.service.Name, r.request.Key); left > 0 {
		return left, false
	}
	if slow.JustMoved(now, r.service.Name, r.request.Key) {
		return slowTime, true
	}
	return 0, false
}

// age returns the time since the caller's first attempt. It is inferred once: each call counts
// the deadline that the caller states.
func (r *requestState) age(now time.Time) time.Duration {
	if r.firstAttempt.IsZero() {
		age := r.core.admissions.ages.Infer(now, r.route.Name, r.request.Timeout, r.route.Timeout)
		r.firstAttempt = r.request.Arrived.Add(-age)
	}
	return now.Sub(r.firstAttempt)
}

// minRetryAfter is the shortest Retry-After hint.
const minRetryAfter = admission.MinRetryAfter

// overloadRetryAfter returns the Retry-After hint for an overloaded server: the time
// until its queue has halved, at most a third of the remaining time, as callers
// do not honor a longer hint.
func (r *requestState) overloadRetryAfter(choice balance.Choice, left time.Duration) time.Duration {
	return max(min(choice.Expected/2, left/3), minRetryAfter)
}
