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

// deferredInterval is how late deferred work starts after it was accepted; each
// look is one list of the platform's table for each service with a group kept here.
const deferredInterval = time.Second

// deferredWorkers runs deferred work: the keeper of the group that a ticket falls
// into runs it. Keepers change; the compare-and-set on the item then decides
// between the old and the new one. It belongs to one goroutine.
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
	for wait.For(ctx, deferredInterval) {
		for _, service := range d.store.Services() {
			if defers(service) {
				d.step(ctx, service)
			}
		}
	}
}

// defers reports whether a service has a rule under which work can wait.
func defers(service *config.Service) bool {
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
	mine := func(ticket string) bool { return kept[service.GroupOf(service.SlotOf(ticket))] }
	if _, err := worker.Step(ctx, mine); err != nil {
		slog.Debug("deferred: platform not readable", "service", service.Name, "error", err.Error())
	}
}
