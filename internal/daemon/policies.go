package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/routing"
)

// servicePolicies makes and keeps one retry budget for each service. It
// implements routing.Policies.
type servicePolicies struct {
	settings retry.BudgetSettings
	byName   sync.Map // service name to retry.Policy
}

// For implements routing.Policies.
func (p *servicePolicies) For(service string) retry.Policy {
	if policy, ok := p.byName.Load(service); ok {
		return policy.(retry.Policy)
	}
	policy, _ := p.byName.LoadOrStore(service, retry.NewBudgetPolicy(p.settings, rand.Float64))
	return policy.(retry.Policy)
}

// probeTimeout bounds the question to a server whose connection broke. One that
// does not answer in this time counts as lost.
const probeTimeout = 200 * time.Millisecond

// prober asks a server which start of it runs. It implements routing.Prober.
type prober struct {
	clients *backend.ControlClients
}

// Lost implements routing.Prober. Without a key the start that had the request is
// not known, and a server that came back at once can't be told from one that never
// left: it counts as lost, since the third server matters more than a refusal.
func (p *prober) Lost(target routing.Target) bool {
	if target.Incarnation == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	state, err := p.clients.For(target.Server.Address).State(ctx, target.Group)
	if err != nil {
		return true
	}
	return state.Incarnation != target.Incarnation
}
