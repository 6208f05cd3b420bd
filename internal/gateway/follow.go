package gateway

import (
	"log/slog"
	"time"

	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/rows"
)

// applyEvacuations updates the evacuated failure domains from changed rows.
func (g *Gateway) applyEvacuations(changed []rows.Row) {
	g.evacuationsMu.Lock()
	defer g.evacuationsMu.Unlock()
	now := time.Now()
	for _, row := range changed {
		domain, ok := g.adapter.EvacuatedDomain(row.Key)
		switch {
		case !ok:
		case domain == "":
			slog.Warn("gateway: evacuation ignored, it names no failure domain", "row", row.Key, "row_version", row.Version)
		case !row.Deleted:
			delete(g.unsettledEvacuations, domain)
			g.registry.Evacuate(now, domain)
		case row.Unsettled:
			g.unsettledEvacuations[domain] = now.Add(storeSettleTime)
		default:
			delete(g.unsettledEvacuations, domain)
			g.endEvacuation(domain)
		}
	}
}

// endUnsettledEvacuations ends the evacuations whose row did not come back.
func (g *Gateway) endUnsettledEvacuations(now time.Time) {
	g.evacuationsMu.Lock()
	defer g.evacuationsMu.Unlock()
	for _, domain := range g.unsettledEvacuations.takeExpired(now) {
		g.endEvacuation(domain)
	}
}

// endEvacuation lets the servers of a failure domain get requests again. The caller holds the lock.
func (g *Gateway) endEvacuation(domain string) {
	if _, evacuated := g.registry.Evacuated(domain); !evacuated {
		return
	}
	now := time.Now()
	g.presumeCold(now, domain) // before any of them gets a request
	g.applyWarmups(now, g.registry.InDomain(domain))
	g.registry.EndEvacuation(domain)
}

// unsettledEvacuations holds, by failure domain, until when evacuations last whose row was missing in a
// store that had just returned or was restored from a copy: the operator may write it again.
type unsettledEvacuations map[string]time.Time

// takeExpired returns the failure domains whose row did not come back.
func (u unsettledEvacuations) takeExpired(now time.Time) []string {
	var expired []string
	for domain, until := range u {
		if !now.Before(until) {
			expired = append(expired, domain)
			delete(u, domain)
		}
	}
	return expired
}

// applyConfig activates a configuration that is newer than the active one. It ignores
// older ones.
func (g *Gateway) applyConfig(changed []rows.Row) {
	for _, row := range changed {
		if row.Key != g.adapter.ConfigKey || row.Deleted {
			continue
		}
		config, err := g.adapter.DecodeConfig(row.Value)
		if err != nil {
			slog.Error("gateway: decode configuration failed", "row_version", row.Version, "error", err.Error())
			continue
		}
		if current := g.Current(); current != nil && config.Version <= current.Version {
			continue
		}
		g.table.Store(routetable.Compile(config))
		slog.Info("gateway: configuration activated", "version", config.Version, "row_version", row.Version,
			"routes", len(config.Routes), "services", len(config.Services))
	}
}

const (
	// storeSettleTime is how long after the end of a store outage registrations may be missing.
	storeSettleTime = 3 * time.Second
	// missingServerGrace is how long a server stays in use if its registration disappears
	// in that time. Most registrations of live servers are back by then. A server that
	// left must get no requests two seconds after the store recorded it.
	missingServerGrace = 1200 * time.Millisecond
)

// applyServers updates the registry from changed registrations.
func (g *Gateway) applyServers(changed []rows.Row) {
	now := time.Now()
	g.registry.Update(func(servers *registry.Edit) {
		for _, row := range changed {
			servers.InEra(rows.Era(row.Version))
			if row.Deleted {
				registrationDeleted(servers, row, now)
				continue
			}
			server, err := g.adapter.DecodeServer(row.Key, row.Value)
			if err != nil {
				slog.Warn("gateway: decode server registration failed, server not used", "server", row.Key, "row_version", row.Version, "error", err.Error())
				servers.Remove(row.Key, "its entry can't be used")
				continue
			}
			servers.Put(server)
		}
	})
}

// registrationDeleted removes a server, or keeps it for missingServerGrace if its
// registration may have expired only because the store was down.
func registrationDeleted(servers *registry.Edit, row rows.Row, now time.Time) {
	server := servers.Get(row.Key)
	if server != nil && !server.Draining && row.Unsettled {
		servers.RetainUntil(row.Key, now.Add(missingServerGrace))
		return
	}
	servers.Remove(row.Key, "its entry is gone")
}
