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
	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/overload"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/reachability"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/serverconn"
)

const (
	// firstReaderWatch and longWatch are how long a watch call waits for changes at the
	// store. A call made during an outage may never be answered, so the first reader of a
	// domain abandons it within the recovery time that operators allow after an outage.
	// The second reader only backs up a first reader that the store rejects, and the list
	// of VMs has no deadline; both use longWatch.
	firstReaderWatch = 2600 * time.Millisecond
	longWatch        = 8 * time.Second
	// coordinatorWatch is shorter because all domains follow the coordinator's records
	// and a connection may stop delivering data without an error.
	coordinatorWatch = 1200 * time.Millisecond
	// firstReaderPause batches a series of changes into fewer calls. It is a small part
	// of the seconds within which a change has to take effect.
	firstReaderPause = 120 * time.Millisecond
	// secondReaderPause, with secondSourceMinAge and secondSourceInterval, lets changes
	// that the first reader misses arrive through the second well within the same bound.
	secondReaderPause = 500 * time.Millisecond
	// keysPause is shorter because requests wait while keys move.
	keysPause        = 10 * time.Millisecond
	readerRetryDelay = 250 * time.Millisecond
	// selfReadRetryDelay doubles with each failure, up to maxSelfReadDoublings times.
	selfReadRetryDelay    = time.Second
	maxSelfReadDoublings  = 3
	readerRecheckInterval = 200 * time.Millisecond
	// watchWindow is the maximum number of changes kept per table for peers.
	watchWindow = 2000

	// maxCallerBodyBytes is the maximum size of one body, whatever the configuration
	// allows.
	maxCallerBodyBytes = 64 << 20
	bodyTimeout        = 10 * time.Second
)

// Shares of a VM's memory that bodies may occupy. A body is held in full until its request
// is answered, because it may be sent again, and an answer until it is written, because a
// part of it must not look complete. While a body grows, it occupies up to the same
// memory once more.
const (
	requestBodiesShare = 1.0 / 4  // bodies of all requests together
	answerBodyShare    = 1.0 / 32 // body of one answer
	answerBodiesShare  = 1.0 / 8  // bodies of all answers together
)

// initialLimits apply until the first configuration is loaded.
var initialLimits = routetable.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

func (g *Gateway) provisionViews() {
	g.peers = newPeers(g.settings, g.adapter.Store)
	g.freshness = newFreshness()
	g.peers.readsStore = g.freshness.readsStore
	g.views = rows.NewSet()
	g.configs = g.views.Add(g.adapter.ConfigTable, watchWindow)
	g.servers = g.views.Add(g.adapter.ServersTable, watchWindow)
	g.vms = g.views.Add(vmsTable, watchWindow)
	g.keys = g.views.Add(keysTable, watchWindow)
	g.configs.OnApply(g.applyConfig)
	g.configs.OnApply(g.applyEvacuations)
	g.configs.OnApply(func([]rows.Row) { g.applyWarmups(time.Now(), g.registry.All()) })
	g.servers.OnApply(g.applyServers)
	g.servers.OnApply(g.applyChangedWarmups)
	g.vms.OnApply(g.peers.apply)
	g.keys.OnApply(g.owners.Apply)
	g.quarantine = retry.NewQuarantine(retry.DefaultQuarantineSettings(), time.Now)
	g.quarantine.TryEarly(func() bool { return g.coordinatorLease.Held() })
	g.suspicions = dispatch.NewSuspicions(g.quarantine, time.Now, func(ctx context.Context, server *registry.Server) bool {
		return serverconn.Refused(g.requestPool.OpenIdle(ctx, server))
	})
	g.loads = newLoadReporter(g.settings, g.startID, g.suspicions, func(r keyspace.Report) { g.coordinator.Report(r) }, g.serviceTimes)
	g.loads.inFlight = func(service string) map[string]int { return g.balancer.InFlight(g.registry.Usable(service)) }
	g.rateLimits = ratelimit.New(g.rateLimitShare, g.metrics)
	g.pauses = dispatch.NewPauses(g.metrics)
	g.loads.registry = g.registry
	g.loads.rateLimits = g.rateLimits
	g.loads.rateLimitChanges = func() []ratelimit.Statement { return g.coordinator.RateLimitChanges() }
	g.loads.slowKeys = &g.owners.Slow
	g.loads.currentSlowKeys = func() map[string][]keyspace.SlowSpan { return g.coordinator.SlowKeys() }
	g.loads.overloads = func() map[string]overload.Signal { return g.coordinator.Overloads() }
	g.loads.isCoordinator = func() bool { return g.coordinatorLease.Held() }
	g.loads.suspectCoordinator = func() { g.coordinatorLease.SuspectCoordinator() }
	g.loads.post = g.peers.post
	g.peers.learn = g.quarantine.Merge
	g.keys.OnApply(g.loads.apply)
	s := rows.FollowerSettings{Wait: g.watchTimeout, Pause: g.watchPause, Retry: g.watchRetryDelay, RecheckInterval: readerRecheckInterval, SettleTime: storeSettleTime, Confirmed: g.confirmViews}
	g.follower = rows.NewFollower(s, g.adapter.Store, g.views, g.readsFromStore, g.metrics)
	g.viewSync = newViewSync(g.peers, g.views, g.loads, g.freshness, g.adapter.ConfigTable)
	g.viewSync.owners = g.owners
	g.viewSync.isCoordinator = g.loads.isCoordinator
	g.viewSync.coordinatorAddress = g.loads.coordinatorAddress
	g.viewSync.answerStandby = func(ctx context.Context, q keyspace.StandbyRequest) keyspace.StandbyAnswer {
		return g.coordinatorLease.HandleStandbyRequest(ctx, q)
	}
}

// confirmViews records that a table was read from the store. The configuration stands for all
// tables: a VM that reads it reaches the store.
func (g *Gateway) confirmViews(table string) {
	if table == g.adapter.ConfigTable {
		g.freshness.confirmFromStore()
	}
}

// readsFromStore reports whether this VM reads a table from the store. The first reader
// of a domain reads all tables. The second reads those whose changes must arrive within
// seconds under any fault: the configuration and the servers. The owners records are
// read by the coordinator, which writes them; first readers follow the coordinator and
// read them from the store only while they can't.
func (g *Gateway) readsFromStore(table string) bool {
	position := g.peers.domainPosition(time.Now())
	if table == keysTable {
		return g.coordinatorLease.Held() || position == 0 && !g.viewSync.followsCoordinator.Load()
	}
	urgent := table == g.adapter.ConfigTable || table == g.adapter.ServersTable
	return position == 0 || urgent && (position < readersPerDomain || g.freshness.readsItself(position))
}

// watchRetryDelay returns the pause after failed calls. A VM that reads only because it is
// behind backs off: while the store is away, all VMs are.
func (g *Gateway) watchRetryDelay(_ string, failures int) time.Duration {
	if g.peers.domainPosition(time.Now()) < readersPerDomain {
		return readerRetryDelay
	}
	return selfReadRetryDelay << min(failures-1, maxSelfReadDoublings)
}

func (g *Gateway) watchTimeout(table string) time.Duration {
	if table == keysTable && g.coordinatorLease.Held() {
		return coordinatorWatch
	}
	position := g.peers.domainPosition(time.Now())
	switch {
	case table == g.adapter.ConfigTable && (position == 0 || position >= readersPerDomain):
		return confirmInterval
	case position > 0 || table == vmsTable:
		return longWatch
	default:
		return firstReaderWatch
	}
}

func (g *Gateway) watchPause(table string) time.Duration {
	switch {
	case table == keysTable:
		return keysPause
	case g.peers.domainPosition(time.Now()) == 1:
		return secondReaderPause
	default:
		return firstReaderPause
	}
}

func (g *Gateway) provisionRequests() {
	g.balancer = balance.New(balance.Settings{
		FailureDomain:      g.settings.FailureDomain,
		CrossDomainCost:    g.settings.crossDomainPrice(), // of a short request, about 1 kB
		InitialServiceTime: initialService,
		MaxRequestsPerSlot: maxQueue,
		HasIdleConnection:  func(s *registry.Server) bool { return g.requestPool.HasIdle(s) },
	})
	g.loads.spill = newSpiller(g.settings, g.balancer, g.metrics)
	g.loads.spill.services = func() []string { return undividedServices(g.Current()) }
	g.loads.spill.usable = g.registry.Usable
	g.loads.spill.domains = g.peers.failureDomains
	g.loads.spill.objective = func(service string) time.Duration { return objectiveOf(g.Current(), service) }
	g.reach = reachability.NewMonitor(g.settings.FailureDomain, g.registry.All, g.probeServer, func(isolated bool) {
		g.coordinatorLease.SetEligible(!isolated)
	})
	g.requestPool = serverconn.NewPool(serverconn.Settings{
		DialTimeout: dialTimeout, IdlePerServer: g.idlePerServer, LocalIP: g.settings.IP, Dialed: g.reach.Dialed,
	}, g.metrics)
	g.sender = serverconn.NewSender(g.requestPool, g.adapter.Dialect, g.settings.memoryShare(answerBodyShare))
	g.budget = newRetryBudget(dispatch.BudgetSettings{
		Ratio: g.settings.RetryRatio, Slack: g.settings.RetrySlack, Window: seconds(g.settings.RetryWindow), Share: retryBudgetShare,
	}, g.peers)
	g.registry.OnEnded(g.suspicions.Ended)
	requestMemory, answerMemory := membudget.New(g.settings.memoryShare(requestBodiesShare)), membudget.New(g.settings.memoryShare(answerBodiesShare))
	g.relays = newRelays(g.peers, requestMemory, answerMemory, g.settings.memoryShare(answerBodyShare))
	g.core = dispatch.New(dispatch.Parts{
		Settings: dispatch.Settings{
			SplitOffset:     splitOffset(g.settings.VM),
			DrainOwnerGrace: seconds(g.settings.DrainS) * 6 / 10, // the rest is for requests in flight
			DefaultTimeout:  defaultTimeout,
			// The rest is for requests in flight, and for VMs that learn of the evacuation late.
			EvacuatedOwnerGrace: g.settings.evacuateBound() / 2,
		},
		Tables: g, Registry: g.registry, Owners: g.owners, Balancer: g.balancer, Sender: g.sender,
		Budget: g.budget, Overload: g.loads.gate, RateLimits: g.rateLimits, Pauses: g.pauses, Suspicions: g.suspicions,
		Reach: g.reach, Relay: g.relays, HasIdleConnection: g.requestPool.HasIdle,
		CountKey:  g.loads.count,
		Place:     g.loads.spill.place,
		Decisions: g.decisions, Metrics: g.metrics, Dialect: g.adapter.Dialect,
	})
	g.entry = entry.NewServer(entry.Settings{
		Limits: initialLimits, MaxBodyBytes: maxCallerBodyBytes, BodyTimeout: bodyTimeout,
		RequestMemory: requestMemory, AnswerMemory: answerMemory, Metrics: g.metrics,
	}, g.core, g, g.adapter.Dialect, g.decisions)
	g.relays.serve = g.core.Serve
	g.relays.version = func() uint64 {
		if table := g.Current(); table != nil {
			return table.Version
		}
		return 0
	}
	g.relays.ready = func() bool { return g.notReadyReason() == "" }
}

// newRetryBudget returns the retry budget of this VM. All VMs that may have sent retries in the same
// window share the slack. A process has none in its first window: the one that it replaces may have
// used it.
func newRetryBudget(s dispatch.BudgetSettings, p *peers) *dispatch.Budget {
	return dispatch.NewBudget(s, func() int {
		if time.Since(p.startedAt) < s.Window {
			return 0
		}
		return p.countRecent(s.Window)
	}, time.Now)
}

// probeServer opens a connection to a server to find out whether this VM reaches it.
func (g *Gateway) probeServer(ctx context.Context, server *registry.Server) error {
	ctx, cancel := context.WithTimeout(ctx, 2*dialTimeout)
	defer cancel()
	return g.requestPool.OpenIdle(ctx, server)
}

const (
	// defaultCrossDomainPrice is the cost of 1 kB sent between failure domains, as a fraction
	// of the worth of an answer in time. The traffic of a short request, about 1 kB, costs
	// 0.12 at one of the two sites where the router runs and 0.013 at the other; this value
	// lies between.
	defaultCrossDomainPrice = 0.05
	// defaultCrossDomainMS is the one-way latency between failure domains: 0.9 and 1.4 ms at two
	// sites.
	defaultCrossDomainMS = 1.0
	initialService       = 100 * time.Millisecond
	// maxQueue is the number of queued and running requests per slot at which a server
	// counts as full. It stays below the servers' own limit of five per slot, four queued and
	// one running, because some servers reset connections when their queue is full.
	maxQueue    = 4.5
	dialTimeout = 300 * time.Millisecond // 100 times a TCP handshake between domains
	// idleConnectionShare is the fraction of a server's connection limit that idle
	// connections may use. Connections in use come on top, and servers accept fewer
	// while their queue is long.
	idleConnectionShare = 0.5
	maxIdlePerServer    = 6
	// retryBudgetShare leaves a margin, because the numbers of requests and VMs differ from
	// window to window.
	retryBudgetShare = 0.8
	defaultTimeout   = 30 * time.Second
)

// idlePerServer returns how many idle connections this VM keeps to each server of a
// service: its share of the server's connection limit among all VMs.
func (g *Gateway) idlePerServer(service string) int {
	table := g.Current()
	if table == nil {
		return 1
	}
	s, ok := table.Service(service)
	if !ok || s.MaxConnections == 0 {
		return maxIdlePerServer
	}
	return max(1, min(maxIdlePerServer, int(idleConnectionShare*float64(s.MaxConnections)/float64(g.peers.count()))))
}

// rateLimitShare returns this VM's share of the rate limit of a server.
func (g *Gateway) rateLimitShare(server string) float64 {
	domain := ""
	if s := g.registry.Get(server); s != nil {
		domain = s.FailureDomain
	}
	inDomain, all := g.peers.countIn(domain)
	return ratelimit.Share(domain == g.settings.FailureDomain, inDomain, all)
}

// splitOffset maps VM names evenly onto the unit interval by a hash.
func splitOffset(vm string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm))
	return float64(h.Sum32()) / math.MaxUint32
}

func (g *Gateway) provisionKeys() {
	s := keyspaceSettings(g.settings, g.adapter.Dialect.MaxKey+1)
	g.coordinatorLease = keyspace.NewCoordinatorLease(s.CoordinatorLease, g.adapter.Store, coordinatorLeaseTable, keyspace.Process{VM: g.settings.VM, Start: g.startID},
		bootclock.Now, g.peers.rank, g.askStandby)
	g.coordinator = keyspace.NewCoordinator(keyspace.Options{
		Settings: s, Store: g.adapter.Store, CoordinatorLease: g.coordinatorLease,
		Control:    g.adapter.NewControl(g.newControlSender(), g.registry.MarkTerminated),
		Members:    &members{registry: g.registry, balancer: g.balancer, evacuationTime: evacuationShare * g.settings.evacuateBound().Seconds(), warmupRate: g.rateLimits.WarmupRate},
		Owners:     g.owners,
		Services:   func() []string { return keyedServices(g.Current()) },
		Objective:  func(service string) time.Duration { return objectiveOf(g.Current(), service) },
		SlowTime:   func(service string) time.Duration { return slowTimeOf(g.Current(), service) },
		AskRecords: g.viewSync.askRecords,
		Format:     g.peers.recordFormat,
		Clock:      bootclock.Now,
		Address:    g.settings.PeerListen,
		WriteID:    g.settings.VM + "/" + g.startID,
	})
}

// newControlSender returns a sender with a dedicated connection pool. Lease renewals
// have to use the connections of the grant's session, and requests would occupy them.
func (g *Gateway) newControlSender() *serverconn.Sender {
	g.controlPool = serverconn.NewPool(serverconn.Settings{
		DialTimeout: dialTimeout, LocalIP: g.settings.IP, IdlePerServer: func(string) int { return serverconn.ControlConnections },
	}, g.metrics)
	return serverconn.NewSender(g.controlPool, g.adapter.Dialect, 0) // control calls have answers without a body
}

func keyedServices(t *routetable.Table) []string {
	if t == nil {
		return nil
	}
	return t.KeyedServices()
}

func undividedServices(t *routetable.Table) []string {
	if t == nil {
		return nil
	}
	return t.UndividedServices()
}

// objectiveOf returns the objective of a service, or 0 if unknown.
func objectiveOf(t *routetable.Table, service string) time.Duration {
	if t == nil {
		return 0
	}
	return t.Objective(service)
}

// slowTimeOf returns for how long keys of a service are slow that move without handover data, 0 if
// unknown.
func slowTimeOf(t *routetable.Table, service string) time.Duration {
	if t == nil {
		return 0
	}
	s, _ := t.Service(service)
	return s.SlowKeysTime
}

// serviceTimes returns the service times measured at each server of a service since
// the last call.
func (g *Gateway) serviceTimes(service string) map[string]balance.Samples {
	times := map[string]balance.Samples{}
	for _, s := range g.registry.Usable(service) {
		if sample, ok := g.balancer.TakeSamples(s); ok {
			times[s.ID] = sample
		}
	}
	return times
}
