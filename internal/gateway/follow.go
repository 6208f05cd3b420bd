package gateway

import (
	"log/slog"
	"time"

	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/rows"
)

// applyConfig puts a newer configuration in force. An older one is never.
func (g *Gateway) applyConfig(changed []rows.Row) {
	for _, row := range changed {
		if row.Key != g.adapter.ConfigKey || row.Deleted {
			continue
		}
		config, err := g.adapter.DecodeConfig(row.Value)
		if err != nil {
			slog.Error("gateway: the configuration can't be read", "row_version", row.Version, "error", err.Error())
			continue
		}
		if current := g.Current(); current != nil && config.Version <= current.Version {
			continue
		}
		g.table.Store(routetable.Compile(config))
		slog.Info("gateway: configuration in force", "version", config.Version, "row_version", row.Version,
			"routes", len(config.Routes), "services", len(config.Services))
	}
}

const (
	// storeSettles is how long after the store's return entries may be missing.
	storeSettles = 3 * time.Second
	// lapseGrace is how long a server is used whose entry vanished meanwhile. Most
	// entries of servers that live are back by then; a server that left must get
	// nothing two seconds after the store knew.
	lapseGrace = 1200 * time.Millisecond
)

// applyServers takes in servers' entries.
func (g *Gateway) applyServers(changed []rows.Row) {
	now := time.Now()
	for _, row := range changed {
		if row.Deleted {
			g.entryGone(row, now)
			continue
		}
		server, err := g.adapter.DecodeServer(row.Key, row.Value)
		if err != nil {
			slog.Warn("gateway: an entry is not used", "server", row.Key, "row_version", row.Version, "error", err.Error())
			g.registry.Remove(row.Key, "its entry can't be used")
			continue
		}
		g.registry.Put(server)
	}
}

// entryGone drops a server, or keeps it for a moment where its entry may have
// lapsed only because the store was down.
func (g *Gateway) entryGone(row rows.Row, now time.Time) {
	known := g.registry.Get(row.Key)
	if known != nil && !known.Draining && row.Unsettled {
		g.registry.RetainUntil(row.Key, now.Add(lapseGrace))
		return
	}
	g.registry.Remove(row.Key, "its entry is gone")
}
