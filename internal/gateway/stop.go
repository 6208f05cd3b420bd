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
	// resignTimeout bounds the calls that tell the store and other VMs about the stop.
	resignTimeout = time.Second
	stopPoll      = 20 * time.Millisecond
)

// stopTimes are the moments of a planned stop.
type stopTimes struct {
	resigned    time.Time // calls about the stop end
	closing     time.Time // connections close from now on
	listenUntil time.Time
	answered    time.Time // requests end
	end         time.Time // the process ends
}

// planStop returns the moments of a stop for which the signal was received at received and
// that begins at began. The grace period counts from the signal, and the time for which the
// platform still sends connections from the moment at which the VM is not ready.
func planStop(received, began time.Time, grace time.Duration) stopTimes {
	end := received.Add(grace - stopMargin)
	answered := end.Add(-answerMargin)
	return stopTimes{
		resigned:    wait.Earlier(began.Add(resignTimeout), answered),
		closing:     wait.Earlier(began.Add(outOfRotationDelay), answered),
		listenUntil: began.Add(listenAfterStop),
		answered:    answered,
		end:         end,
	}
}

// stop shuts down gracefully: it reports the VM as not ready, resigns as coordinator,
// then closes connections as their requests finish. The signal to stop was received at
// received.
func (g *Gateway) stop(received time.Time) {
	g.draining.Store(true)
	times := planStop(received, time.Now(), g.settings.Grace())
	slog.Info("gateway: stopping", "in_flight", g.core.InFlight(), "connections", g.entry.ConnectionCount())
	background := context.Background()
	resignCtx, cancel := context.WithDeadline(background, times.resigned)
	if err := g.coordinatorLease.Resign(resignCtx); err != nil {
		slog.Warn("gateway: resign as coordinator failed", "error", err.Error())
	}
	g.peers.withdraw(resignCtx)
	cancel()
	wait.For(background, time.Until(times.closing))
	g.core.StopBy(times.answered)
	g.entry.BeginShutdown(times.answered)
	for time.Now().Before(times.end) {
		if time.Now().After(times.listenUntil) {
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
