package gateway

import (
	"time"

	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/rows"
)

// presumedWarmup is how long the servers of a failure domain count as cold after its evacuation
// ended. They may have become cold meanwhile, and a registration that says so arrives up to two
// seconds later.
const presumedWarmup = 2500 * time.Millisecond

// warmupOf returns the rate at which a server warms up and until when, by its registration. The
// rate is 0 if its service does not limit it or the server is warm.
func warmupOf(table *routetable.Table, s *registry.Server) (rate float64, until time.Time) {
	if table == nil || s.Warmup <= 0 {
		return 0, time.Time{}
	}
	service, ok := table.Service(s.Service)
	if !ok || service.WarmupRate == 0 {
		return 0, time.Time{}
	}
	left := s.Warmup
	if service.Warmup > 0 {
		left = min(left, service.Warmup)
	}
	return service.WarmupRate, s.SeenAt.Add(left)
}

// applyWarmups limits the requests to servers that are cold by their registrations.
func (g *Gateway) applyWarmups(now time.Time, servers []*registry.Server) {
	table := g.Current()
	for _, s := range servers {
		if rate, until := warmupOf(table, s); rate > 0 {
			g.rateLimits.WarmUp(now, s.Instance(), rate, until)
		}
	}
}

// applyChangedWarmups limits the requests to servers whose changed registrations say that they are
// cold.
func (g *Gateway) applyChangedWarmups(changed []rows.Row) {
	var servers []*registry.Server
	for _, row := range changed {
		if s := g.registry.Get(row.Key); s != nil {
			servers = append(servers, s)
		}
	}
	g.applyWarmups(time.Now(), servers)
}

// presumeCold limits the requests to the servers of a failure domain whose evacuation ended.
func (g *Gateway) presumeCold(now time.Time, domain string) {
	table := g.Current()
	if table == nil {
		return
	}
	for _, s := range g.registry.InDomain(domain) {
		if service, ok := table.Service(s.Service); ok {
			g.rateLimits.WarmUp(now, s.Instance(), service.WarmupRate, now.Add(presumedWarmup))
		}
	}
}
