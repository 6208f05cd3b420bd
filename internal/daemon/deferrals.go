package daemon

import (
	"context"
	"log/slog"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/wait"
)

// deferredPollInterval bounds the delay from accepting a deferred request to its start.
// Each poll lists the platform's table once per service that has a group kept here.
const deferredPollInterval = time.Second

// deferredWorkers runs deferred requests. Each is run by the keeper of the group to
// which its ticket hashes. While the keeper changes, the compare-and-set on the
// request's item decides between the old and the new keeper. It is not safe for
// concurrent use.
type deferredWorkers struct {
	self     ownership.VMRef
	settings retry.DeferredSettings
	table    platform.Table
	store    *config.Store
	groups   *Groups
	run      retry.Runner
	workers  map[string]*retry.Worker // by service
}

func (d *deferredWorkers) loop(ctx context.Context) {
	for wait.For(ctx, deferredPollInterval) {
		for _, service := range d.store.Services() {
			if hasDeferRule(service) {
				d.step(ctx, service)
			}
		}
	}
}

// hasDeferRule reports whether any rule of a service allows deferral.
func hasDeferRule(service *config.Service) bool {
	for _, rule := range service.Rules {
		if rule.DeferOK {
			return true
		}
	}
	return false
}

func (d *deferredWorkers) step(ctx context.Context, service *config.Service) {
	kept := d.groups.Kept(ctx, service)
	if len(kept) == 0 || d.groups.stopping.Load() {
		return
	}
	worker, ok := d.workers[service.Name]
	if !ok {
		worker = retry.NewWorker(d.settings, d.table, service.Name, d.self.String(), d.run, time.Now)
		d.workers[service.Name] = worker
	}
	keptHere := func(ticket string) bool { return kept[service.GroupOf(service.SlotOf(ticket))] }
	if _, err := worker.Step(ctx, keptHere); err != nil {
		slog.Debug("deferred: poll of the platform's table failed", "service", service.Name, "error", err.Error())
	}
}
