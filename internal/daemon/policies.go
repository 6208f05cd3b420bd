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

// servicePolicies holds one retry budget per service, created on first use. It
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

// probeTimeout bounds the probe of a server whose connection broke. A server that does
// not answer in this time counts as lost.
const probeTimeout = 200 * time.Millisecond

// prober asks a server for its current incarnation. It implements routing.Prober.
type prober struct {
	clients *backend.ControlClients
}

// Lost implements routing.Prober. For a request without a key, the incarnation that got
// the request is not known, so a server that restarted immediately looks the same as one
// that never stopped. It counts as lost: sparing a third server from a request that
// crashes servers matters more than one wrong refusal.
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
