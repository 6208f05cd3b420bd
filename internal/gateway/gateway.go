package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/entry"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/operator"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/reachability"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/serverconn"
	"kumquatcleat/internal/telemetry"
	"kumquatcleat/internal/termination"
	"kumquatcleat/internal/wait"
)

// Adapter holds the platform-specific parts of a gateway: the store, the HTTP
// dialect, decoders for the platform's rows and the control calls to servers.
type Adapter struct {
	Store   rows.Store
	Dialect *dialect.Dialect
	// ConfigTable and ConfigKey name the row that holds the router's configuration.
	ConfigTable string
	ConfigKey   string
	// ServersTable is the table of server registrations, keyed by server ID.
	ServersTable string
	DecodeConfig func(value []byte) (routetable.Config, error)
	DecodeServer func(id string, value []byte) (registry.Server, error)
	// EvacuatedDomain returns the failure domain that a row of ConfigTable with the given key
	// evacuates while it exists, and false for other rows.
	EvacuatedDomain func(key string) (domain string, ok bool)
	// NewControl returns the client for control calls to servers. It calls
	// terminated for each server incarnation found to have terminated.
	NewControl func(sender *serverconn.Sender, terminated func(id string, incarnation int64, reason string)) keyspace.Control
}

// Tables that the gateway keeps in the store.
const (
	vmsTable = "vms" // one row per VM, keyed by VM name
	// keysTable holds one owners record per service that is divided by key, and a row
	// with the coordinator's address.
	keysTable             = "keys"
	coordinatorLeaseTable = "lead" // the row of the coordinator lease
)

// Gateway is the process kumquatcleat-gateway of one VM. One of the VMs, the
// coordinator, assigns key ranges to servers (package keyspace).
type Gateway struct {
	settings *Settings
	adapter  Adapter
	startID  string // unique ID of this run of the process
	metrics  metrics.Registry

	table            atomic.Pointer[routetable.Table]
	registry         *registry.Registry
	owners           *keyspace.Owners
	balancer         *balance.Balancer
	requestPool      *serverconn.Pool
	controlPool      *serverconn.Pool
	sender           *serverconn.Sender
	budget           *dispatch.Budget
	rateLimits       *ratelimit.Limits
	pauses           *dispatch.Pauses
	suspicions       *dispatch.Suspicions
	quarantine       *retry.MemoryQuarantine
	core             *dispatch.Core
	reach            *reachability.Monitor
	relays           *relays
	entry            *entry.Server
	coordinatorLease *keyspace.CoordinatorLease
	coordinator      *keyspace.Coordinator
	decisions        *logging.Decisions
	peers            *peers
	viewSync         *viewSync
	freshness        *freshness
	loads            *loadReporter
	follower         *rows.Follower
	views            *rows.Set

	configs, servers, vms, keys *rows.View

	evacuationsMu        sync.Mutex // serializes changes of evacuations, guards unsettledEvacuations
	unsettledEvacuations unsettledEvacuations

	draining atomic.Bool
}

// Current implements dispatch.Tables.
func (g *Gateway) Current() *routetable.Table { return g.table.Load() }

// New returns a gateway; Run starts it.
func New(s *Settings, adapter Adapter) *Gateway {
	g := &Gateway{settings: s, adapter: adapter, startID: uuid.NewString(), metrics: metrics.NewRegistry(), unsettledEvacuations: unsettledEvacuations{}}
	g.decisions = logging.NewDecisions(g.metrics)
	g.registry = registry.New()
	g.owners = keyspace.NewOwners()
	g.provisionViews()
	g.provisionRequests()
	g.provisionKeys()
	return g
}

// Run serves until ctx ends, then stops within the configured grace period. If ctx has
// ended already, it does not listen.
func (g *Gateway) Run(ctx context.Context) error {
	if ctx.Err() != nil {
		slog.Info("gateway: asked to stop before it listened", "vm", g.settings.VM)
		return nil
	}
	tasksCtx, stopTasks := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stopTasks()
	if err := g.entry.Listen(g.settings.Listen); err != nil {
		return err
	}
	failed := make(chan error, 3)
	if err := g.serveHTTP(failed); err != nil {
		return err
	}
	for _, task := range []func(context.Context){
		g.decisions.Run, func(ctx context.Context) { g.peers.announce(ctx, g.vms) }, g.sweep, g.coordinator.Run,
		func(ctx context.Context) { g.follower.Run(ctx, g.configs) },
		func(ctx context.Context) { g.follower.Run(ctx, g.servers) },
		func(ctx context.Context) { g.follower.Run(ctx, g.vms) },
		func(ctx context.Context) { g.follower.Run(ctx, g.keys) },
		g.viewSync.followFirstSource, g.viewSync.pollSecondSource, g.loads.run,
		func(ctx context.Context) { g.viewSync.followCoordinator(ctx, keysTable) },
		g.runCoordinatorLease, g.coordinatorLease.MaintainStandby, g.reach.Run,
	} {
		running.Go(func() { task(tasksCtx) })
	}
	go g.entry.Serve()
	slog.Info("gateway: started", "vm", g.settings.VM, "domain", g.settings.FailureDomain, "start", g.startID, "listen", g.settings.Listen)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	g.stop(termination.Received(ctx))
	return nil
}

// runCoordinatorLease waits until the other VMs are known before it starts polling the
// coordinator row, so that only a few of many VMs that start together poll it.
func (g *Gateway) runCoordinatorLease(ctx context.Context) {
	for !g.vms.Synced() {
		if !wait.For(ctx, vmsPollInterval) {
			return
		}
	}
	if g.vms.Row(g.settings.VM).Version == 0 && !wait.For(ctx, newVMLeaseDelay) {
		return
	}
	g.coordinatorLease.Run(ctx)
}

// newVMLeaseDelay is how long a VM without a row in the store waits before it polls for
// the coordinator lease. Otherwise, when all VMs start for the first time, a VM that
// ranks low by vmRow.Strength could be the first to see its own row and become the
// coordinator. Keys are first assigned even later, see firstPlanWait.
const newVMLeaseDelay = 1200 * time.Millisecond

// vmsPollInterval is the interval at which startup checks whether the list of VMs is known.
const vmsPollInterval = 50 * time.Millisecond

// notReadyReason returns why this VM must not receive connections, or "" if it is ready.
func (g *Gateway) notReadyReason() string {
	switch {
	case g.draining.Load():
		return "stopping"
	case g.Current() == nil:
		return "no configuration is known"
	case !g.servers.Synced():
		return "no servers are known"
	default:
		return ""
	}
}

func (g *Gateway) serveHTTP(failed chan<- error) error {
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if reason := g.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", telemetry.ServeText(g.metrics))
	metricsMux.HandleFunc("GET "+operator.PathExplainRequest, g.serveExplain)
	peerMux := g.viewSync.mux()
	peerMux.HandleFunc("POST "+pathRelay, g.relays.receive)
	for address, mux := range map[string]*http.ServeMux{
		g.settings.ReadyListen: readyMux, g.settings.MetricsListen: metricsMux, g.settings.PeerListen: peerMux,
	} {
		if err := listenAndServe(address, mux, failed); err != nil {
			return err
		}
	}
	return nil
}

// sweepInterval is how often servers without a registration are removed after their
// grace period, and the connections and statistics of removed servers dropped.
const sweepInterval = 200 * time.Millisecond

func (g *Gateway) sweep(ctx context.Context) {
	for wait.For(ctx, sweepInterval) {
		g.registry.Sweep(time.Now())
		g.endUnsettledEvacuations(time.Now())
		keep := func(instance registry.Instance) bool {
			s := g.registry.Get(instance.ID)
			return s != nil && s.Instance() == instance
		}
		g.requestPool.Sweep(keep)
		g.controlPool.Sweep(keep)
		g.balancer.Sweep(keep)
		g.rateLimits.Sweep(time.Now(), keep)
		g.pauses.Sweep(time.Now(), keep)
	}
}

func listenAndServe(address string, mux http.Handler, failed chan<- error) error {
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: maxHeadBytes}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("gateway: listen on %s: %w", address, err)
	}
	go func() { failed <- fmt.Errorf("gateway: serve %s: %w", address, server.Serve(listener)) }()
	return nil
}
