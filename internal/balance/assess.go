package balance

import (
	"time"

	"kumquatcleat/internal/registry"
)

// Assessment is how Choose sees a server.
type Assessment struct {
	Choice
	Loss        float64 // Choose prefers the server with the least one
	FailureLoss float64 // part of Loss through failures
	Promising   bool    // Local would return the server if it is in the VM's own failure domain
	Connected   bool    // there is an idle connection to the server, or that is unknown
}

// Assess returns how Choose sees a server, without counting it as considered.
func (b *Balancer) Assess(now time.Time, s *registry.Server, objective time.Duration) Assessment {
	b.mu.Lock()
	defer b.mu.Unlock()
	instance := s.Instance()
	if known := b.servers[instance]; known != nil {
		saved := *known
		defer func() { *known = saved }()
	} else {
		defer delete(b.servers, instance) // the estimate adds it
	}
	a := Assessment{Connected: b.connected(s)}
	a.Choice, a.Promising = b.promising(now, s, objective)
	a.FailureLoss = b.expectedFailureLoss(now, s)
	a.Loss = b.loss(now, a.Choice, objective)
	if s.FailureDomain != b.settings.FailureDomain {
		a.Loss += b.settings.CrossDomainCost
	}
	return a
}
