package gateway

import (
	"context"
	"hash/fnv"
	"math"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/bootclock"
	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/entry"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/serverconn"
)

const (
	// firstWatch and longWatch are how long a watch call waits at the store. One that
	// was made in an outage may never be answered; the first reader of a domain gives
	// it up within the time that users allow after an outage. The second stands in for
	// a first that the store turns away, and the list of VMs has no time to keep.
	firstWatch = 2600 * time.Millisecond
	longWatch  = 8 * time.Second
	// coordinatorWatch is shorter: all domains follow the coordinator's records, and a
	// connection may go silent.
	coordinatorWatch = 1200 * time.Millisecond
	// watchPause lets a series of changes cost one call for several of them; it
	// is a small part of the seconds in which a change has to be in force.
	watchPause = 120 * time.Millisecond
	// secondPause lets a second reader bring what the first has not brought, with
	// secondAge and secondAsk, well within the same bound.
	secondPause = 500 * time.Millisecond
	// keysPause is shorter: requests wait for moves of keys.
	keysPause  = 10 * time.Millisecond
	watchRetry = 250 * time.Millisecond
	watchIdle  = 200 * time.Millisecond
	// watchWindow bounds the changes that are kept for peers.
	watchWindow = 2000

	callerBodyMemory = 64 << 20 // one body held whole, a quarter of a VM's memory
	bodyTimeout      = 10 * time.Second
)

// startLimits apply until a configuration is known.
var startLimits = routetable.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

func (g *Gateway) provisionViews() {
	g.peers = newPeers(g.settings, g.adapter.Store)
	g.views = rows.NewSet()
	g.configs = g.views.Add(g.adapter.ConfigTable, watchWindow)
	g.servers = g.views.Add(g.adapter.ServersTable, watchWindow)
	g.vms = g.views.Add(vmsTable, watchWindow)
	g.keys = g.views.Add(keysTable, watchWindow)
	g.configs.OnApply(g.applyConfig)
	g.servers.OnApply(g.applyServers)
	g.vms.OnApply(g.peers.apply)
	g.keys.OnApply(g.owners.Apply)
	g.loads = newLoads(g.settings, func(r keyspace.Report) { g.coord.Report(r) }, g.serviceTimes)
	g.loads.coordinates = func() bool { return g.lead.Held() }
	g.loads.lost = func() { g.lead.Suspect() }
	g.keys.OnApply(g.loads.apply)
	s := rows.FollowerSettings{Wait: g.watchWait, Pause: g.watchPause, Retry: watchRetry, RecheckInterval: watchIdle, SettleTime: storeSettles}
	g.follower = rows.NewFollower(s, g.adapter.Store, g.views, g.reads, g.metrics)
	g.exchange = newExchange(g.peers, g.views, g.loads, g.adapter.ConfigTable)
	g.exchange.coordinates = g.loads.coordinates
	g.exchange.coordinator = g.loads.coordinatorAddress
	g.exchange.stand = func(ctx context.Context, q keyspace.StandbyQuestion) keyspace.StandbyAnswer {
		return g.lead.Stand(ctx, q)
	}
}

// reads reports whether this VM reads a table from the store: its domain's first
// reader all, the second what must be known within seconds whatever happens. The
// records of owners are read by the VM that writes them, whom first readers follow.
func (g *Gateway) reads(table string) bool {
	place := g.peers.place(time.Now())
	if table == keysTable {
		return g.lead.Held() || place == 0 && !g.exchange.followsKeys.Load()
	}
	return place == 0 || place == 1 && (table == g.adapter.ConfigTable || table == g.adapter.ServersTable)
}

func (g *Gateway) watchWait(table string) time.Duration {
	if table == keysTable && g.lead.Held() {
		return coordinatorWatch
	}
	if g.peers.place(time.Now()) > 0 || table == vmsTable {
		return longWatch
	}
	return firstWatch
}

func (g *Gateway) watchPause(table string) time.Duration {
	switch {
	case table == keysTable:
		return keysPause
	case g.peers.place(time.Now()) > 0:
		return secondPause
	default:
		return watchPause
	}
}

func (g *Gateway) provisionRequests() {
	g.balancer = balance.New(balance.Settings{
		FailureDomain:   g.settings.FailureDomain,
		CrossDomainCost: crossDomainCost,
		InitialService:  initialService,
		MaxQueue:        maxQueue,
	})
	g.pool = serverconn.NewPool(serverconn.Settings{
		DialTimeout: dialTimeout, IdlePerServer: g.idlePerServer, LocalIP: g.settings.IP,
	}, g.metrics)
	g.sender = serverconn.NewSender(g.pool, g.adapter.Dialect)
	g.budget = dispatch.NewBudget(dispatch.BudgetSettings{
		Ratio: g.settings.RetryRatio, Slack: g.settings.RetrySlack, Window: seconds(g.settings.RetryWindow), Share: budgetPart,
	}, g.peers.count, time.Now)
	g.suspicions = dispatch.NewSuspicions(retry.NewQuarantine(retry.DefaultQuarantineSettings(), time.Now), time.Now)
	g.core = dispatch.New(dispatch.Parts{
		Settings: dispatch.Settings{
			SplitOffset:     offset(g.settings.VM),
			DrainOwnerGrace: seconds(g.settings.DrainS) * 6 / 10, // the rest is for requests on their way
			DefaultTimeout:  defaultPatience,
		},
		Tables: g, Registry: g.registry, Owners: g.owners, Balancer: g.balancer, Sender: g.sender,
		Budget: g.budget, Suspicions: g.suspicions,
		CountKey:  g.loads.count,
		Decisions: g.decisions, Metrics: g.metrics, Dialect: g.adapter.Dialect,
	})
	g.entry = entry.NewServer(entry.Settings{Limits: startLimits, BodyMemory: callerBodyMemory, BodyTimeout: bodyTimeout},
		g.core, g, g.adapter.Dialect, g.decisions)
}

const (
	// crossDomainCost lies between what the kilobyte of a short exchange with another
	// domain costs the users of one site, 0.12 of its worth, and of the other, 0.013.
	crossDomainCost = 0.05
	initialService  = 100 * time.Millisecond
	// maxQueue keeps below the queue of servers, some of which reset connections
	// when it is full: four requests wait for each slot there, and one runs.
	maxQueue    = 4.5
	dialTimeout = 300 * time.Millisecond // a hundred times a handshake between domains
	// connectionPart is the part of a server's connections that idle ones may take:
	// those in use come on top, and servers accept fewer while their queue is long.
	connectionPart  = 0.5
	mostIdle        = 6
	budgetPart      = 0.8 // requests and VMs are spread unevenly over windows
	defaultPatience = 30 * time.Second
)

// idlePerServer divides what a server of a service accepts among the VMs.
func (g *Gateway) idlePerServer(service string) int {
	table := g.Current()
	if table == nil {
		return 1
	}
	s, ok := table.Service(service)
	if !ok || s.MaxConnections == 0 {
		return mostIdle
	}
	return max(1, min(mostIdle, int(connectionPart*float64(s.MaxConnections)/float64(g.peers.count()))))
}

// offset spreads VMs evenly over the unit interval by their names.
func offset(vm string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm))
	return float64(h.Sum32()) / math.MaxUint32
}

func (g *Gateway) provisionKeys() {
	s := keyspaceSettings(g.settings, g.adapter.Dialect.MaxKey+1)
	g.lead = keyspace.NewLead(s.Lead, g.adapter.Store, leadTable, keyspace.Process{VM: g.settings.VM, Start: g.start},
		bootclock.Now, g.peers.rank, g.askStandby)
	g.coord = keyspace.NewCoordinator(keyspace.Options{
		Settings: s, Store: g.adapter.Store, Lead: g.lead,
		Control:  g.adapter.NewControl(g.newControlSender(), g.registry.MarkTerminated),
		Members:  &members{registry: g.registry, balancer: g.balancer},
		Owners:   g.owners,
		Services: func() []string { return keyedServices(g.Current()) },
		Clock:    bootclock.Now,
		Address:  g.settings.PeerListen,
		WriteID:  g.settings.VM + "/" + g.start,
	})
}

// newControlSender returns a sender with connections of its own: renewals need
// those of the grant's session, which requests would take.
func (g *Gateway) newControlSender() *serverconn.Sender {
	g.control = serverconn.NewPool(serverconn.Settings{
		DialTimeout: dialTimeout, LocalIP: g.settings.IP, IdlePerServer: func(string) int { return serverconn.ControlConnections },
	}, g.metrics)
	return serverconn.NewSender(g.control, g.adapter.Dialect)
}

func keyedServices(t *routetable.Table) []string {
	if t == nil {
		return nil
	}
	return t.KeyedServices()
}

// serviceTimes returns the service times of a service's servers since the last call.
func (g *Gateway) serviceTimes(service string) map[string]balance.Samples {
	times := map[string]balance.Samples{}
	for _, s := range g.registry.Usable(service) {
		if sample, ok := g.balancer.Take(s); ok {
			times[s.ID] = sample
		}
	}
	return times
}
