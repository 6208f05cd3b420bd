package gateway

import (
	"context"
	"log/slog"
	"time"

	"kumquatcleat/internal/wait"
)

const (
	// outOfRotationDelay is how long the platform may still send connections to a VM that
	// is not ready: two readiness probes, one second apart.
	outOfRotationDelay = 2300 * time.Millisecond
	// listenAfterStop is how long connections are still accepted after the stop begins. It
	// exceeds outOfRotationDelay, so that the last connections from the platform are served.
	listenAfterStop = 3200 * time.Millisecond
	// stopMargin makes the process exit before the platform kills it.
	stopMargin = 250 * time.Millisecond
	// answerMargin is the time for writing the answers to requests that end at their deadline.
	answerMargin = 150 * time.Millisecond
	stopPoll     = 20 * time.Millisecond
)

// stop shuts down gracefully: it reports the VM as not ready, resigns as coordinator,
// then closes connections as their requests finish.
func (g *Gateway) stop() {
	began := time.Now()
	g.draining.Store(true)
	slog.Info("gateway: stopping", "in_flight", g.core.InFlight(), "connections", g.entry.ConnectionCount())
	background := context.Background()
	resignCtx, cancel := context.WithTimeout(background, time.Second)
	if err := g.coordinatorLease.Resign(resignCtx); err != nil {
		slog.Warn("gateway: resign as coordinator failed", "error", err.Error())
	}
	g.peers.withdraw(resignCtx)
	cancel()
	wait.For(background, outOfRotationDelay-time.Since(began))
	deadline := began.Add(g.settings.Grace() - stopMargin)
	answered := deadline.Add(-answerMargin)
	g.core.StopBy(answered)
	g.entry.BeginShutdown(answered)
	for time.Now().Before(deadline) {
		if time.Since(began) > listenAfterStop {
			g.entry.StopListening()
			if g.entry.ConnectionCount() == 0 && g.core.InFlight() == 0 && g.relays.receiving.Load() == 0 {
				break
			}
		}
		wait.For(background, stopPoll)
	}
	g.entry.ReportUndelivered()
	slog.Info("gateway: stopped", "in_flight", g.core.InFlight(), "connections", g.entry.ConnectionCount())
}
