package balance

import (
	"time"

	"kumquatcleat/internal/registry"
)

// LatenessLoss returns the expected loss through lateness of an answer with the given mean
// latency, by the same estimate by which servers are compared.
func LatenessLoss(mean, objective time.Duration) float64 {
	return expectedLatenessLoss(mean, objective)
}

// ServiceTime returns the mean service time of a service at the present speed of its servers.
func (b *Balancer) ServiceTime(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	mean := b.serviceTimes[service]
	if mean == 0 {
		mean = b.settings.InitialServiceTime.Seconds()
	}
	if average := b.slowdowns[service]; average > 0 {
		mean *= average
	}
	return time.Duration(mean * float64(time.Second))
}

// InFlightByDomain returns the requests that this VM has at servers, by failure domain. Domains
// without any are left out.
func (b *Balancer) InFlightByDomain(servers []*registry.Server) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	inFlight := map[string]int{}
	for _, s := range servers {
		if st := b.servers[s.Instance()]; st != nil && st.inFlight > 0 {
			inFlight[s.FailureDomain] += st.inFlight
		}
	}
	return inFlight
}

// Placement is where a request is to be executed. The zero value compares servers of all failure
// domains.
type Placement struct {
	Domain string
	// Only says that all other domains are full, so that a full server is no reason to leave.
	Only bool
}

// failingLoss is the expected loss through failures from which a server is no reason to stay in its
// domain: it failed about every fourteenth attempt.
const failingLoss = 0.05

// ChooseIn is Choose for a request that is to be executed in one failure domain. It compares
// servers of all domains, as Choose does, if the domain has no server for the request, or the best
// of those that were compared is full, failing or expected to answer after the objective.
func (b *Balancer) ChooseIn(now time.Time, p Placement, servers []*registry.Server, objective time.Duration, excluded func(*registry.Server) bool) (Choice, bool) {
	if p.Domain != "" {
		outside := func(s *registry.Server) bool { return s.FailureDomain != p.Domain || excluded(s) }
		b.mu.Lock()
		c, ok := b.choose(now, p.Domain, servers, objective, outside)
		failures := 0.0
		if ok {
			failures = b.expectedFailureLoss(now, c.Server)
		}
		b.mu.Unlock()
		serves := failures <= failingLoss && !c.Full && (objective <= 0 || c.Expected < objective)
		if ok && (serves || p.Only && failures < pausedPenalty) {
			return c, true
		}
	}
	return b.Choose(now, servers, objective, excluded)
}

// minRequestBytes is the size of a short request and its response, of which most are heads.
const minRequestBytes = 1000

// ObserveSize records the bytes of the bodies of a request and its response.
func (b *Balancer) ObserveSize(service string, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sizes[service] = smooth(b.sizes[service], minRequestBytes+float64(bytes))
}

// RequestKB returns the mean size of a request of a service with its response, in kB.
func (b *Balancer) RequestKB(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.sizes[service], minRequestBytes) / 1000
}
