package gateway

import (
	"context"
	"log/slog"
	"time"

	"kumquatcleat/internal/wait"
)

const (
	// outOfRotation is how long the platform may still send connections to a VM
	// that is not ready: two questions, a second apart.
	outOfRotation = 2300 * time.Millisecond
	// listenFor is how long connections are accepted after the stop began.
	listenFor = 3200 * time.Millisecond
	// stopMargin keeps the end of the process away from the platform's kill.
	stopMargin = 250 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// stop ends the work: readiness first, then connections as their requests end.
func (g *Gateway) stop() {
	began := time.Now()
	g.draining.Store(true)
	slog.Info("gateway: stopping", "in_flight", g.core.InFlight(), "connections", g.entry.ConnectionCount())
	background := context.Background()
	resignCtx, cancel := context.WithTimeout(background, time.Second)
	if err := g.lead.Resign(resignCtx); err != nil {
		slog.Warn("gateway: coordination was not given up", "error", err.Error())
	}
	g.peers.withdraw(resignCtx)
	cancel()
	wait.For(background, outOfRotation-time.Since(began))
	g.entry.BeginShutdown()
	end := began.Add(g.settings.Grace() - stopMargin)
	for time.Now().Before(end) {
		if time.Since(began) > listenFor {
			g.entry.StopListening()
			if g.entry.ConnectionCount() == 0 {
				break
			}
		}
		wait.For(background, stopPoll)
	}
	slog.Info("gateway: stopped", "in_flight", g.core.InFlight(), "connections", g.entry.ConnectionCount())
}
