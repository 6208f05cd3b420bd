package gateway

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"kumquatcleat/internal/dispatch"
)

// reloadPoll is how often the settings file is looked at: it may change without
// a signal.
const reloadPoll = 2 * time.Second

// hangups returns the signals that tell of a new settings file. Called first of all:
// until then a hangup ends the process.
func hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// reloads follows the settings file until ctx ends. A file that is wrong is
// logged and the settings in force stay.
func (g *Gateway) reloads(ctx context.Context, path string, signals <-chan os.Signal) {
	ticker := time.NewTicker(reloadPoll)
	defer ticker.Stop()
	last := modified(path)
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			asked = true
		case <-ticker.C:
		}
		if now := modified(path); asked || now != last {
			last = now
			g.reload(path)
		}
	}
}

// fileState tells whether a file was written again.
type fileState struct {
	at   time.Time
	size int64
}

func modified(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{} // a file that is being replaced: the next look finds it
	}
	return fileState{info.ModTime(), info.Size()}
}

// reload puts in force what can change while the process runs.
func (g *Gateway) reload(path string) {
	next, err := Load(path)
	if err != nil {
		slog.Error("gateway: settings were not reloaded", "error", err.Error())
		return
	}
	g.budget.Set(dispatch.BudgetSettings{
		Ratio: next.RetryRatio, Slack: next.RetrySlack, Window: seconds(next.RetryWindow), Share: budgetPart,
	})
	fixed := next.VM == g.settings.VM && next.Listen == g.settings.Listen && next.PeerListen == g.settings.PeerListen &&
		next.Store == g.settings.Store && next.FailureDomain == g.settings.FailureDomain
	slog.Info("gateway: settings reloaded", "retry_ratio", next.RetryRatio, "retry_slack", next.RetrySlack,
		"addresses_need_a_restart", !fixed)
}
