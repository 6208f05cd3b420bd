// Package balance selects the server for a request among those that may execute it: the
// one with the lowest expected latency, with a preference for the VM's own failure domain.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"kumquatcleat/internal/registry"
)

// Settings configure a balancer.
type Settings struct {
	// FailureDomain is the failure domain of this VM.
	FailureDomain string
	// CrossDomainCost is the cost of the bytes that a request sends between failure
	// domains, as a loss: 1 is the worth of an answer that arrives in time.
	CrossDomainCost float64
	// InitialServiceTime is the service time assumed for a service without answers yet.
	InitialServiceTime time.Duration
	// MaxRequestsPerSlot is how many requests per slot, running or queued and counted
	// over all VMs, a server may have before it counts as full.
	MaxRequestsPerSlot float64
	// HasIdleConnection reports whether there is an idle connection to a server; nil: unknown.
	HasIdleConnection func(*registry.Server) bool
}

// Balancer chooses servers by their statistics. It is safe for concurrent use.
type Balancer struct {
	settings     Settings
	mu           sync.Mutex // protects the fields below
	servers      map[registry.Instance]*stats
	serviceTimes map[string]float64 // smoothed service time of a service at the usual speed, in seconds
	slowdowns    map[string]float64 // smoothed slowdown that the servers of a service state; 0: they state none
	samples      map[registry.Instance]Samples
	sizes        map[string]float64 // smoothed bytes of a request of a service with its response
}

const (
	// candidates is how many servers are compared in the VM's own failure domain. Each VM judges them
	// by its own answers, so VMs do not all turn to the same one.
	candidates = 12
	// remoteCandidates is how many are compared in other failure domains, of which a VM knows little.
	remoteCandidates = 2
	// newConnectionCost is the cost of opening a connection, as a loss.
	newConnectionCost = 0.03
)

// New returns a balancer without statistics.
func New(s Settings) *Balancer {
	return &Balancer{settings: s, servers: map[registry.Instance]*stats{}, serviceTimes: map[string]float64{}, slowdowns: map[string]float64{}, samples: map[registry.Instance]Samples{}, sizes: map[string]float64{}}
}

// Choice is a server with its expected latency and load.
type Choice struct {
	Server   *registry.Server
	Expected time.Duration // latency of the answer
	Load     float64       // estimated requests running or waiting
	Full     bool          // the server would probably reject the request
}

// Choose returns the best of a few servers for a request whose answer should arrive
// within objective. It returns false if no server is available.
func (b *Balancer) Choose(now time.Time, servers []*registry.Server, objective time.Duration, excluded func(*registry.Server) bool) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.choose(now, b.settings.FailureDomain, servers, objective, excluded)
}

// choose returns the best of a few servers. Those of the given failure domain cost nothing extra,
// those of others the crossing.
func (b *Balancer) choose(now time.Time, domain string, servers []*registry.Server, objective time.Duration, excluded func(*registry.Server) bool) (Choice, bool) {
	var near, far []*registry.Server
	for _, s := range servers {
		if excluded(s) {
			continue
		}
		if s.FailureDomain == domain {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	near, unused, fresh := b.splitByUse(now, near)
	// In another domain, servers that this VM has not used yet are new to it, not to all VMs.
	if domain == b.settings.FailureDomain && len(fresh) > 0 && rand.Float64() < freshShare {
		if c, ok := b.promising(now, fresh[rand.IntN(len(fresh))], objective); ok {
			return c, true
		}
	}
	best, minLoss, found := Choice{}, math.Inf(1), false
	consider := func(list []*registry.Server, limit int, cost float64) {
		for range min(limit, len(list)) {
			i := rand.IntN(len(list))
			s := list[i]
			list[i] = list[len(list)-1]
			list = list[:len(list)-1]
			c := b.estimate(now, s)
			if loss := cost + b.loss(now, c, objective); loss < minLoss {
				best, minLoss, found = c, loss, true
			}
		}
	}
	consider(near, candidates, 0)
	unusedCost := b.unusedCost()
	if rand.Float64() < exploreShare {
		consider(unused, 1, unusedCost-newConnectionCost)
	} else {
		consider(unused, 1, unusedCost)
	}
	if best.Full || !found {
		consider(unused, len(unused), unusedCost)
	}
	farCandidates := remoteCandidates
	if len(near)+len(unused) == 0 || best.Full || b.expectedFailureLoss(now, best.Server) >= pausedPenalty {
		farCandidates = len(far)
	}
	consider(far, farCandidates, b.settings.CrossDomainCost)
	return best, found
}

// promising returns a server as a choice, and whether it is expected to answer within
// objective and has not failed lately.
func (b *Balancer) promising(now time.Time, s *registry.Server, objective time.Duration) (Choice, bool) {
	c := b.estimate(now, s)
	return c, !c.Full && (objective <= 0 || c.Expected < objective) && b.expectedFailureLoss(now, s) == 0
}

// Local returns a server as a choice if it is in the VM's own failure domain, is expected to
// answer within objective and has not failed lately.
func (b *Balancer) Local(now time.Time, s *registry.Server, objective time.Duration) (Choice, bool) {
	if s.FailureDomain != b.settings.FailureDomain {
		return Choice{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.promising(now, s, objective)
}
