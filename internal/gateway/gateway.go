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
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/serverconn"
	"kumquatcleat/internal/telemetry"
	"kumquatcleat/internal/wait"
)

// Adapter is what a platform brings.
type Adapter struct {
	Store   rows.Store
	Dialect *dialect.Dialect
	// ConfigTable and ConfigKey name the row of the operator's configuration.
	ConfigTable string
	ConfigKey   string
	// ServersTable is the table of servers' entries, by id.
	ServersTable string
	DecodeConfig func(value []byte) (routetable.Config, error)
	DecodeServer func(id string, value []byte) (registry.Server, error)
	// NewControl returns the control side of servers. ended is told of starts of
	// servers that have ended.
	NewControl func(sender *serverconn.Sender, ended func(id string, incarnation int64, reason string)) keyspace.Control
}

// Tables of the product in the store.
const (
	vmsTable  = "vms"  // one row a VM, by name
	keysTable = "keys" // one record a service divided by key
	leadTable = "lead" // who coordinates
)

// Gateway is one VM's daemon.
type Gateway struct {
	settings *Settings
	adapter  Adapter
	start    string // names this start of the process
	metrics  metrics.Registry

	table      atomic.Pointer[routetable.Table]
	registry   *registry.Registry
	owners     *keyspace.Owners
	balancer   *balance.Balancer
	pool       *serverconn.Pool
	control    *serverconn.Pool
	sender     *serverconn.Sender
	budget     *dispatch.Budget
	suspicions *dispatch.Suspicions
	core       *dispatch.Core
	entry      *entry.Server
	lead       *keyspace.Lead
	coord      *keyspace.Coordinator
	decisions  *logging.Decisions
	peers      *peers
	exchange   *exchange
	loads      *loads
	follower   *rows.Follower
	views      *rows.Set

	configs, servers, vms, keys *rows.View

	draining atomic.Bool
}

// Current implements dispatch.Tables.
func (g *Gateway) Current() *routetable.Table { return g.table.Load() }

// New returns a gateway that does not run yet.
func New(s *Settings, adapter Adapter) *Gateway {
	g := &Gateway{settings: s, adapter: adapter, start: uuid.NewString(), metrics: metrics.NewRegistry()}
	g.decisions = logging.NewDecisions(g.metrics)
	g.registry = registry.New()
	g.owners = keyspace.NewOwners()
	g.provisionViews()
	g.provisionRequests()
	g.provisionKeys()
	return g
}

// Run serves until ctx ends, then stops within the grace.
func (g *Gateway) Run(ctx context.Context) error {
	duties, stopDuties := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stopDuties()
	if err := g.entry.Listen(g.settings.Listen); err != nil {
		return err
	}
	failed := make(chan error, 3)
	if err := g.serveHTTP(failed); err != nil {
		return err
	}
	for _, duty := range []func(context.Context){
		g.decisions.Run, func(ctx context.Context) { g.peers.announce(ctx, g.vms) }, g.sweep, g.coord.Run,
		func(ctx context.Context) { g.follower.Run(ctx, g.configs) },
		func(ctx context.Context) { g.follower.Run(ctx, g.servers) },
		func(ctx context.Context) { g.follower.Run(ctx, g.vms) },
		func(ctx context.Context) { g.follower.Run(ctx, g.keys) },
		g.exchange.runFirst, g.exchange.runSecond, g.loads.run,
		func(ctx context.Context) { g.exchange.runKeys(ctx, keysTable) },
		g.runLead, g.lead.RunStandby,
	} {
		running.Go(func() { duty(duties) })
	}
	go g.entry.Serve()
	slog.Info("gateway: started", "vm", g.settings.VM, "domain", g.settings.FailureDomain, "start", g.start, "listen", g.settings.Listen)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	g.stop()
	return nil
}

// runLead looks for the coordinator's row once the other VMs are known, so that
// of many VMs that start together only a few do.
func (g *Gateway) runLead(ctx context.Context) {
	for !g.vms.Synced() {
		if !wait.For(ctx, leadFirst) {
			return
		}
	}
	if g.vms.Row(g.settings.VM).Version == 0 && !wait.For(ctx, leadSettle) {
		return
	}
	g.lead.Run(ctx)
}

// leadSettle is how long a VM that is new waits before it looks for a coordinator: at
// the first start of all VMs a weak one would else be the first to know of itself,
// and keys are divided later still.
const leadSettle = 1200 * time.Millisecond

// leadFirst is the interval at which the list of VMs is looked for at the start.
const leadFirst = 50 * time.Millisecond

// ready returns why this VM should get no connections; empty: it should.
func (g *Gateway) ready() string {
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
	ready := http.NewServeMux()
	ready.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if why := g.ready(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
		}
	})
	text := http.NewServeMux()
	text.HandleFunc("GET /metrics", telemetry.ServeText(g.metrics))
	for address, mux := range map[string]*http.ServeMux{
		g.settings.ReadyListen: ready, g.settings.MetricsListen: text, g.settings.PeerListen: g.exchange.mux(),
	} {
		if err := listenAndServe(address, mux, failed); err != nil {
			return err
		}
	}
	return nil
}

// sweepInterval is how often what is left of gone servers is dropped.
const sweepInterval = 200 * time.Millisecond

func (g *Gateway) sweep(ctx context.Context) {
	for wait.For(ctx, sweepInterval) {
		g.registry.Sweep(time.Now())
		keep := func(start registry.Instance) bool {
			s := g.registry.Get(start.ID)
			return s != nil && s.Instance() == start
		}
		g.pool.Sweep(keep)
		g.control.Sweep(keep)
		g.balancer.Sweep(keep)
	}
}

func listenAndServe(address string, mux http.Handler, failed chan<- error) error {
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("gateway: listen on %s: %w", address, err)
	}
	go func() { failed <- fmt.Errorf("gateway: serve %s: %w", address, server.Serve(listener)) }()
	return nil
}
