package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"kumquatcleat/internal/admission"
	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/eligibility"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/operator"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/registry"
)

const (
	// maxExplainedCandidates bounds the servers in an explanation, over all services of the
	// route: an operator reads them, and a VM has little memory.
	maxExplainedCandidates = 50
	// maxExplainedServices bounds the services of a route in an explanation, so that each has a
	// candidate at least.
	maxExplainedServices = 20
)

// Explain tells where a request would go now, and why. It sends, counts and changes nothing. domain
// is the failure domain of this VM. Whether the request is in quarantine depends on its method and body
// too.
func (c *Core) Explain(request *Request, domain string) operator.RequestExplanation {
	e := operator.RequestExplanation{FailureDomain: domain, Isolated: c.Reach.Isolated(), ConnectionsLive: c.Reach.ConnectionsLive()}
	r := &requestState{core: c, request: request}
	refusal := r.findRoute()
	if r.table != nil {
		e.ConfigVersion = &r.table.Version
	}
	if refusal != nil {
		outcome := refusalOutcome(refusal)
		e.Error, e.Outcome = refusal.Message, &outcome
		return e
	}
	e.Route = &operator.Route{
		Name: r.route.Name, Host: r.route.Host, Prefix: r.route.Prefix, Idempotent: r.route.Idempotent, ObjectiveMS: r.route.Objective.Milliseconds(),
		TimeoutMS: r.route.Timeout.Milliseconds(), MaxAttempts: r.route.MaxAttempts, Rank: r.route.Rank,
	}
	shares := r.route.Shares()
	keyless := 0 // services that need a key which the request lacks
	for _, share := range shares[:min(len(shares), maxExplainedServices)] {
		r := &serviceExplainer{requestState: requestState{core: c, request: request, table: r.table, route: r.route}, domain: domain, now: time.Now(),
			limits: peekedLimits{c.RateLimits}, maxCandidates: maxExplainedCandidates / min(len(shares), maxExplainedServices)}
		s := r.explain(share.Service)
		s.Share = share.Weight
		if s.Outcome.Kind == string(fault.KeyRequired) {
			keyless++
			e.Error = s.Outcome.Reason
		}
		e.Services = append(e.Services, s)
	}
	if keyless < len(e.Services) {
		e.Error = ""
	}
	return e
}

// peekedLimits implements eligibility.Limits without accruing credit.
type peekedLimits struct{ limits *ratelimit.Limits }

// WaitReason implements eligibility.Limits.
func (l peekedLimits) WaitReason(now time.Time, server registry.Instance) (time.Duration, bool) {
	status, _ := l.limits.Peek(now, server)
	return status.Wait, status.WarmingUp
}

// serviceExplainer explains what would become of a request to one service of its route.
type serviceExplainer struct {
	requestState
	domain        string
	now           time.Time
	limits        peekedLimits
	maxCandidates int
}

// candidate is a server that may run the request.
type candidate struct {
	server     *registry.Server
	verdict    eligibility.Verdict
	assessment balance.Assessment
	limit      ratelimit.Status
	limited    bool
}

// preferred reports whether the request goes to the server whatever the others are like.
func (c *candidate) preferred(domain string) bool {
	return c.verdict.Allowed() && c.limit.Room && c.assessment.Promising && c.server.FailureDomain == domain
}

func (x *serviceExplainer) explain(name string) operator.ServiceExplanation {
	e := operator.ServiceExplanation{Service: name}
	if refusal := x.useService(name); refusal != nil {
		e.DividedByKey, e.Outcome = x.service.DividedByKey, refusalOutcome(refusal)
		return e
	}
	age := x.core.admissions.ages.Peek(x.now, x.route.Name, x.request.Timeout, x.route.Timeout)
	x.firstAttempt = x.request.Arrived.Add(-age)
	e.DividedByKey, e.LeftMS, e.AgeMS = x.service.DividedByKey, x.deadline.Sub(x.now).Milliseconds(), x.age(x.now).Milliseconds()
	e.Domains = x.domains()
	if x.service.DividedByKey {
		x.explainOwner(&e)
	} else {
		x.explainCandidates(&e)
	}
	if outcome, found := x.decidedBefore(e); found {
		e.Outcome = outcome
	}
	return e
}

// decidedBefore returns the outcome if it does not depend on the servers.
func (x *serviceExplainer) decidedBefore(e operator.ServiceExplanation) (operator.RequestOutcome, bool) {
	if refusal := x.refuseIfStopping(); refusal != nil {
		return refusalOutcome(refusal), true
	}
	if err := x.core.Suspicions.Peek(x.service.Name, x.fingerprints); err != nil {
		return refusalOutcome(refuse(fault.Quarantined, 0, "%v", err)), true
	}
	relayed := x.core.Reach.Isolated() && !x.core.Reach.ConnectionsLive()
	if !relayed && x.deadline.Sub(x.now) < minAttemptTime {
		return refusalOutcome(refuse(fault.QueueTimeout, 0, "the time left is less than the %v that an attempt needs", minAttemptTime)), true
	}
	if relayed {
		return operator.RequestOutcome{Action: operator.ActionRelay, Reason: "this VM reaches no server"}, true
	}
	if !x.core.Reach.Isolated() || e.Outcome.Action == operator.ActionSend && x.connected(e.Outcome.Server) {
		return operator.RequestOutcome{}, false
	}
	return operator.RequestOutcome{Action: operator.ActionRelay, Reason: "this VM can't open connections and has no open one for the request: " + e.Outcome.Reason}, true
}

func (x *serviceExplainer) connected(id string) bool {
	server := x.core.Registry.Get(id)
	return server != nil && x.core.HasIdleConnection(server)
}

// domains counts the servers of the service by failure domain.
func (x *serviceExplainer) domains() []operator.ServiceDomain {
	var list []operator.ServiceDomain
	count := func(domain string) *operator.ServiceDomain {
		i, found := slices.BinarySearchFunc(list, domain, func(d operator.ServiceDomain, name string) int { return cmp.Compare(d.Domain, name) })
		if !found {
			list = slices.Insert(list, i, operator.ServiceDomain{Domain: domain, Evacuated: x.evacuatedFor(domain)})
		}
		return &list[i]
	}
	for _, s := range x.core.Registry.Registered(x.service.Name) {
		count(s.FailureDomain).Registered++
	}
	for _, s := range x.core.Registry.Usable(x.service.Name) {
		count(s.FailureDomain).Usable++
	}
	return list
}

// evacuatedFor returns for how many milliseconds a failure domain is evacuated, nil if it is not.
func (x *serviceExplainer) evacuatedFor(domain string) *int64 {
	since, evacuated := x.core.Registry.Evacuated(domain)
	if !evacuated {
		return nil
	}
	ms := x.now.Sub(since).Milliseconds()
	return &ms
}

// explainOwner describes the owner of the key and what would become of the request.
func (x *serviceExplainer) explainOwner(e *operator.ServiceExplanation) {
	owner, version, known := x.core.Owners.Find(x.service.Name, x.request.Key)
	server, unusable := x.owner()
	var registered *registry.Server
	if known {
		e.Owner = &operator.KeyOwner{Server: owner.Server, Incarnation: owner.Incarnation, Token: owner.Token, Record: version, Pending: owner.Pending, Unusable: unusable}
		registered = x.core.Registry.Get(owner.Server)
	}
	if registered != nil && registered.Incarnation == owner.Incarnation {
		c := x.assess(registered, x.core.eligibility.CheckOwner(x.now, registered))
		e.Candidates = []operator.Candidate{x.describe(c)}
	}
	switch {
	case server != nil:
		e.Outcome = x.ownerOutcome(x.assess(server, x.core.eligibility.CheckOwner(x.now, server)))
	case x.evacuatedEverywhere():
		e.Outcome = refusalOutcome(refuse(fault.NoServer, x.honored(evacuatedRetryAfter), "%s; all servers are in evacuated failure domains", unusable))
	default:
		e.Outcome = refusalOutcome(refuse(fault.NoOwner, x.honored(ownerRetryAfter), "%s", unusable))
		e.Outcome.Action, e.Outcome.WaitMS = operator.ActionWait, int64(ownerWaitShare*float64(x.deadline.Sub(x.now).Milliseconds()))
	}
}

// ownerOutcome returns what would become of a request for the owner of its key, see admitOwner.
func (x *serviceExplainer) ownerOutcome(c candidate) operator.RequestOutcome {
	if !c.verdict.Allowed() {
		return refusalOutcome(x.refuseUntil(c.server, c.verdict))
	}
	outcome, state := x.admissionOutcome(c)
	if outcome.Action == operator.ActionRefuse || state.RateLimited && c.limit.WarmupRate == 0 || !c.limited || c.limit.Room {
		return outcome
	}
	gate := eligibility.Gate{Registry: x.core.Registry, Pauses: x.core.Pauses, Limits: x.limits}
	return refusalOutcome(x.refuseUntil(c.server, gate.CheckUsable(x.now, c.server)))
}

// explainCandidates describes the servers that may run a request without a key, the best first: those
// of the VM's own failure domain, the best other one if it is better, and all others if no own one
// may get the request.
func (x *serviceExplainer) explainCandidates(e *operator.ServiceExplanation) {
	gate := *x.core.eligibility
	gate.Limits = x.limits
	var own, others []candidate
	for _, s := range x.core.Registry.Registered(x.service.Name) {
		verdict := gate.Check(x.now, s)
		if verdict.Allowed() && x.core.Registry.IsTerminated(s.ID, s.Incarnation) {
			verdict = eligibility.Verdict{Reason: eligibility.Gone}
		}
		if c := x.assess(s, verdict); s.FailureDomain == x.domain {
			own = append(own, c)
		} else {
			others = append(others, c)
		}
	}
	x.sort(own)
	x.sort(others)
	list := own
	switch {
	case len(own) == 0 || !own[0].verdict.Allowed() || own[0].assessment.Full:
		list = append(list, others...)
		x.sort(list)
	case len(others) > 0 && x.compare(others[0], own[0]) < 0:
		list = slices.Insert(list, 0, others[0])
	}
	e.Omitted = max(len(list)-x.maxCandidates, 0)
	for _, c := range list[:len(list)-e.Omitted] {
		e.Candidates = append(e.Candidates, x.describe(c))
	}
	if len(list) > 0 && list[0].verdict.Allowed() {
		e.Outcome, _ = x.admissionOutcome(list[0])
		return
	}
	e.Outcome = refusalOutcome(x.refuseWithheld(gate))
}

// refuseWithheld refuses a request that no server may get now.
func (x *serviceExplainer) refuseWithheld(gate eligibility.Gate) *Answer {
	check := func(s *registry.Server) eligibility.Verdict { return gate.CheckUsable(x.now, s) }
	if first, verdict, found := eligibility.Earliest(x.core.Registry.Usable(x.service.Name), check); found {
		return x.refuseUntil(first, verdict)
	}
	return x.refuseWithoutServer()
}

func (x *serviceExplainer) sort(list []candidate) { slices.SortFunc(list, x.compare) }

// compare orders candidates as the request would go to them.
func (x *serviceExplainer) compare(a, b candidate) int {
	last := func(late bool) int {
		if late {
			return 1
		}
		return 0
	}
	wait := func(c candidate) time.Duration {
		if c.verdict.Wait == 0 {
			return math.MaxInt64 // unknown
		}
		return c.verdict.Wait
	}
	order := cmp.Or(
		cmp.Compare(last(!a.verdict.Allowed()), last(!b.verdict.Allowed())),
		cmp.Compare(last(!a.preferred(x.domain)), last(!b.preferred(x.domain))),
	)
	switch {
	case order != 0:
		return order
	case !a.verdict.Allowed():
		return cmp.Or(cmp.Compare(wait(a), wait(b)), cmp.Compare(a.server.ID, b.server.ID))
	case a.preferred(x.domain):
		return cmp.Compare(a.server.ID, b.server.ID)
	default:
		return cmp.Or(cmp.Compare(a.assessment.Loss, b.assessment.Loss), cmp.Compare(a.server.ID, b.server.ID))
	}
}

func (x *serviceExplainer) assess(s *registry.Server, verdict eligibility.Verdict) candidate {
	c := candidate{server: s, verdict: verdict, assessment: x.core.Balancer.Assess(x.now, s, x.route.Objective)}
	c.limit, c.limited = x.core.RateLimits.Peek(x.now, s.Instance())
	return c
}

// preview returns what admission would decide if the server were chosen.
func (x *serviceExplainer) preview(c candidate) (admission.Preview, admission.Request, admission.State) {
	request, state := x.admissionInputs(x.now, c.assessment.Choice)
	return admission.PreviewDecision(x.now, request, state, x.core.admissions.knownMix(x.service.Name)), request, state
}

// admissionOutcome returns what would become of a request for which the server is chosen.
func (x *serviceExplainer) admissionOutcome(c candidate) (operator.RequestOutcome, admission.State) {
	p, request, state := x.preview(c)
	reason := fmt.Sprintf("server %s: %s", c.server.ID, p.Describe(request, state))
	if p.Admitted > 0 && p.Admitted < 1 {
		reason += fmt.Sprintf("; %.0f %% of such requests are admitted", 100*p.Admitted)
	}
	if p.Outcome != admission.Admit {
		return refusalOutcome(refuse(fault.Overloaded, p.RetryAfter, "%s", reason)), state
	}
	if !x.service.DividedByKey {
		reason += "; a request is compared with some servers at random, so that it may also go to another one of the first"
	}
	return operator.RequestOutcome{Action: operator.ActionSend, Server: c.server.ID, Reason: reason}, state
}

func (x *serviceExplainer) describe(c candidate) operator.Candidate {
	p, request, state := x.preview(c)
	s, a := c.server, c.assessment
	return operator.Candidate{
		Server: s.ID, Incarnation: s.Incarnation, Domain: s.FailureDomain, Draining: s.Draining, EvacuatedMS: x.evacuatedFor(s.FailureDomain),
		Withheld: string(c.verdict.Reason), WaitMS: wholeMS(c.verdict.Wait), PauseMS: wholeMS(x.core.Pauses.Wait(x.now, s.Instance())),
		WarmupLeftMS: wholeMS(c.limit.WarmupLeft), WarmupRate: c.limit.WarmupRate, RateLimit: c.limit.Rate, LimitShare: c.limit.Share, LimitWaitMS: wholeMS(c.limit.Wait),
		Load: a.Load, Slots: s.Slots, Full: a.Full, ExpectedMS: wholeMS(a.Expected), IdleConnection: a.Connected,
		FailureLoss: a.FailureLoss, Loss: a.Loss,
		Admission: operator.Admission{Outcome: p.Outcome.String(), Admitted: p.Admitted, RetryAfterMS: wholeMS(p.RetryAfter), Reason: p.Describe(request, state)},
	}
}

// wholeMS returns a duration in milliseconds, rounded up so that a short wait does not look like none.
func wholeMS(d time.Duration) int64 {
	return int64((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}

func refusalOutcome(a *Answer) operator.RequestOutcome {
	return operator.RequestOutcome{Action: operator.ActionRefuse, Status: a.Status, Kind: string(a.Refusal), RetryAfterMS: wholeMS(a.RetryAfter), Reason: a.Message}
}
