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

// settingsPollInterval is how often the settings file is checked for changes, as it
// may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// hangupSignals subscribes to SIGHUP, which requests a reload of the settings file.
// Main calls it first: an unhandled SIGHUP terminates the process.
func hangupSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// watchSettings reloads the settings file on SIGHUP or when it changes, until ctx
// ends. If the new file is invalid, it logs an error and keeps the current settings.
func (g *Gateway) watchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := readFileState(path)
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signaled = true
		case <-ticker.C:
		}
		if now := readFileState(path); signaled || now != last {
			last = now
			g.reload(path)
		}
	}
}

// fileState identifies one version of a file by modification time and size.
type fileState struct {
	modTime time.Time
	size    int64
}

func readFileState(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{} // the file is being replaced; the next poll finds it
	}
	return fileState{info.ModTime(), info.Size()}
}

// reload applies the settings that can change while the process runs.
func (g *Gateway) reload(path string) {
	next, err := Load(path)
	if err != nil {
		slog.Error("gateway: settings not reloaded, keeping the current ones", "error", err.Error())
		return
	}
	g.budget.Set(dispatch.BudgetSettings{
		Ratio: next.RetryRatio, Slack: next.RetrySlack, Window: seconds(next.RetryWindow), Share: retryBudgetShare,
	})
	unchanged := next.VM == g.settings.VM && next.Listen == g.settings.Listen && next.PeerListen == g.settings.PeerListen &&
		next.Store == g.settings.Store && next.FailureDomain == g.settings.FailureDomain
	slog.Info("gateway: settings reloaded", "retry_ratio", next.RetryRatio, "retry_slack", next.RetrySlack,
		"addresses_need_a_restart", !unchanged)
}
