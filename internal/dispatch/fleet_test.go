package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/overload"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/routetable"
)

// fleetDomains is the number of failure domains of the VMs and servers of a test fleet.
const fleetDomains = 3

// newFleetVM returns one of several VMs before the servers of the services "plain" and
// "keyed". Routes below /p/ and /k/ lead there, /u/ is the non-idempotent route to "plain".
func newFleetVM(vm, vms int, service time.Duration, servers *registry.Registry, owners *keyspace.Owners, sender Sender, probe func(context.Context, *registry.Server) bool) *Core {
	route := func(prefix, service string, idempotent bool) routetable.Route {
		return routetable.Route{Name: prefix, Host: "h", Prefix: prefix, Idempotent: idempotent, MaxAttempts: 2,
			Timeout: 800 * time.Millisecond, Objective: 300 * time.Millisecond, Targets: []routetable.Target{{Service: service, Weight: 1}}}
	}
	m := metrics.NewRegistry()
	domain := fmt.Sprint(vm % fleetDomains)
	core := New(Parts{
		Settings: Settings{DefaultTimeout: time.Second, DrainOwnerGrace: time.Second},
		Tables: table{routetable.Compile(routetable.Config{
			Version: 1, Routes: []routetable.Route{route("/p/", "plain", true), route("/k/", "keyed", true), route("/u/", "plain", false)},
			Services: []routetable.Service{{Name: "plain"}, {Name: "keyed", DividedByKey: true}},
		})},
		Registry: servers, Owners: owners,
		Balancer: balance.New(balance.Settings{FailureDomain: domain, CrossDomainCost: 0.05, InitialServiceTime: service, MaxRequestsPerSlot: 4.5}),
		Sender:   sender,
		Budget:   NewBudget(BudgetSettings{Ratio: 0.2, Slack: 64, Window: 10 * time.Second, Share: 0.8}, func() int { return vms }, time.Now),
		Overload: overload.NewGate(), RateLimits: ratelimit.New(func(server string) float64 {
			s := servers.Get(server)
			return ratelimit.Share(s.FailureDomain == domain, vmsIn(vms, s.FailureDomain), vms)
		}, m), Pauses: NewPauses(m), Suspicions: NewSuspicions(retry.NewQuarantine(retry.DefaultQuarantineSettings(), time.Now), time.Now, probe), Reach: alwaysReaching{},
		CountKey: func(string, uint32) {}, Decisions: logging.NewDecisions(m), Metrics: m, Dialect: &dialect.Dialect{},
	})
	servers.OnEnded(core.Suspicions.Ended)
	return core
}
