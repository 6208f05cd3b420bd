// Package daemon puts the duties of one entry VM together: it provisions them
// from settings, runs them, and stops them without cutting a request.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/core/proc"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
	"kumquatcleat/internal/limits"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/membership"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/peer"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/routing"
	"kumquatcleat/internal/settings"
	"kumquatcleat/internal/wait"
)

const (
	// noticeTime is how long readiness answers 503 before the listener closes,
	// so that the platform's balancer has seen it.
	noticeTime = time.Second
	// handOverTime bounds the handing over of roles in a planned stop.
	handOverTime = 3 * time.Second
	// readHeaderTimeout bounds a caller that opens a connection and says nothing.
	readHeaderTimeout = 10 * time.Second
	// libraryQuitTime is beyond any planned stop: go-zero would otherwise kill
	// the process 5.5 s after a signal.
	libraryQuitTime = 24 * time.Hour
)

// Daemon is one entry VM's process.
type Daemon struct {
	settings  *settings.Settings
	localIP   string // that its connections to others come from
	self      ownership.VMRef
	registry  metrics.Registry
	decisions *logging.Decisions
	platform  *platform.Client
	store     *config.Store
	syncer    *config.Syncer
	clients   *peer.Clients
	members   *Members
	directory *Directory
	groups    *Groups
	claims    *Claims
	gates     *limits.Gates
	suspects  *suspects
	canceler  *canceler
	handler   *routing.Handler
	callers   *callerServer
	peers     *http.Server
	stopping  atomic.Bool
	cancel    context.CancelFunc // ends the duties
}

// New provisions a daemon. Nothing runs before Run.
func New(s *settings.Settings) (*Daemon, error) {
	proc.SetTimeToForceQuit(libraryQuitTime)
	host, _, err := net.SplitHostPort(s.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("daemon: peer_listen %q: %w", s.PeerListen, err)
	}
	d := &Daemon{
		settings: s,
		localIP:  host,
		self:     ownership.VMRef{ID: s.ID, Incarnation: newIncarnation(s.Incarnation)},
		registry: metrics.NewRegistry(),
		platform: platform.NewClientFrom(host, s.Platform),
		store:    config.NewStore(),
	}
	d.decisions = logging.NewDecisions(d.registry)
	d.clients = peer.NewClients(host)
	d.provisionOwnership()
	d.provisionRequestPath()
	d.provisionServers()
	return d, nil
}

func (d *Daemon) provisionOwnership() {
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	self := membership.Self{
		ID:            d.self.ID,
		Incarnation:   d.self.Incarnation,
		FailureDomain: d.settings.FailureDomain,
		Address:       d.settings.PeerListen,
	}
	view := membership.NewView(self, membership.DefaultSettings)
	d.members = NewMembers(self, view, d.platform, d.clients, d.store, clock, d.settings.Peers)
	d.directory = NewDirectory(d.self, d.members, d.clients)
	d.claims = NewClaims(d.self, d.settings.Retry.Claims, d.directory)
	env := ownership.Environment{
		Table:     d.platform,
		Peers:     d.directory,
		Decisions: d.decisions,
		Clock:     clock,
	}
	d.groups = NewGroups(d.self, d.settings.OwnershipTiming(), d.settings.Placement, env, d.members, d.store, d.localIP)
	d.groups.claims = d.claims
	d.syncer = config.NewSyncer(config.SyncerOptions{
		Self:        config.Member{ID: d.self.ID, FailureDomain: d.settings.FailureDomain},
		Incarnation: d.self.Incarnation,
		Store:       d.store,
		Table:       d.platform,
		Peers:       &configPeers{directory: d.directory},
		Members:     (&configMembers{members: d.members}).list,
		Metrics:     d.registry,
	})
	d.directory.groups = d.groups
	d.directory.claims = d.claims
}

func (d *Daemon) provisionRequestPath() {
	vms := func() int { return max(1, len(d.members.Roster().VMs)) }
	d.gates = limits.New(d.settings.Limits, vms, time.Now)
	d.suspects = newSuspects(d.self, retry.NewQuarantine(d.settings.Retry.Quarantine, time.Now), d.members, d.clients)
	d.canceler = newCanceler(backend.NewControlClientsFrom(d.localIP))
}

func (d *Daemon) provisionServers() {
	mux := http.NewServeMux()
	d.operatorRoutes(mux)
	mux.Handle(peer.PeerPathPrefix, peer.NewPeerServer(&peerService{daemon: d}))
	d.peers = &http.Server{Addr: d.settings.PeerListen, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	d.callers = newCallerServer(d.settings.Listen)
}

// serveCallers builds the request path, whose goroutines end with ctx.
func (d *Daemon) serveCallers(ctx context.Context) error {
	d.handler = routing.NewHandler(routing.Parts{
		Services:   &effectiveServices{store: d.store, members: d.members, synced: d.syncer.Synced},
		Resolver:   routing.NewRouteTable(ctx, d.directory),
		Gate:       d.gates,
		Policies:   &servicePolicies{settings: d.settings.Retry.Budget},
		Prober:     &prober{clients: backend.NewControlClientsFrom(d.localIP)},
		Claimer:    d.claims,
		Quarantine: d.suspects,
		Transport:  routing.NewTransportFrom(d.localIP, 0),
		Canceler:   d.canceler,
		Deferrals:  retry.NewDeferred(d.settings.Retry.Deferred, d.platform, d.self.ID),
		Decisions:  d.decisions,
		Registry:   d.registry,

		UncheckedDeadline: d.settings.OwnershipTiming().RequestDeadline,
	})
	handler, err := newRestHandler("kumquatcleatd", d.handler)
	if err != nil {
		return fmt.Errorf("daemon: rest: %w", err)
	}
	d.callers.server.Handler = handler
	return nil
}

// Run serves until ctx ends, then stops without cutting requests in flight for
// as long as the settings' grace. It returns an error when a listener fails or
// the grace was too short.
func (d *Daemon) Run(ctx context.Context) error {
	duties, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	var decisions sync.WaitGroup
	defer func() {
		cancel()
		decisions.Wait() // the last lines are written before the process ends
	}()
	if err := d.serveCallers(duties); err != nil {
		return err
	}
	failed := make(chan error, 2)
	if err := listenAndServe(d.peers, failed); err != nil {
		return err
	}
	if err := d.callers.start(failed); err != nil {
		return err
	}
	decisions.Go(func() { d.decisions.Run(duties) })
	go d.members.Run(duties)
	go d.groups.Run(duties)
	go d.canceler.run(duties)
	go d.suspects.run(duties)
	go d.newDeferredWorkers().loop(duties)
	go func() { _ = d.syncer.Run(duties) }()
	slog.Info("daemon: started", "vm", d.self.String(), "failure_domain", d.settings.FailureDomain,
		"listen", d.settings.Listen, "peer_listen", d.settings.PeerListen)
	go d.announceReady(duties)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return d.stop()
	}
}

func (d *Daemon) newDeferredWorkers() *deferredWorkers {
	return &deferredWorkers{
		self:     d.self,
		settings: d.settings.Retry.Deferred,
		table:    d.platform,
		store:    d.store,
		groups:   d.groups,
		run:      d.handler.RunDeferred,
		workers:  map[string]*retry.Worker{},
	}
}

func listenAndServe(server *http.Server, failed chan<- error) error {
	listener, err := net.Listen("tcp", server.Addr)
	if err != nil {
		return fmt.Errorf("daemon: listen: %w", err)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("daemon: serve %s: %w", server.Addr, err)
		}
	}()
	return nil
}

func (d *Daemon) announceReady(ctx context.Context) {
	for wait.For(ctx, memberTick) {
		if d.notReady() == "" {
			slog.Info("daemon: ready", "vm", d.self.String())
			return
		}
	}
}

// stop ends the process's work: readiness turns 503, callers are let go as
// their requests end, roles are handed over.
func (d *Daemon) stop() error {
	d.stopping.Store(true)
	d.handler.Stop()
	slog.Info("daemon: stopping", "in_flight", d.handler.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownGrace())
	defer cancel()
	_ = wait.For(ctx, min(noticeTime, d.settings.ShutdownGrace()))
	d.handOver(ctx)
	err := d.callers.finish(ctx)
	if err != nil {
		err = fmt.Errorf("daemon: %d requests were cut: the grace of %v was too short", d.handler.InFlight(), d.settings.ShutdownGrace())
	}
	_ = d.peers.Close()
	slog.Info("daemon: stopped")
	return err
}

func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	d.groups.Stop(ctx)
}

// Cut ends at once and returns how many requests in flight that cuts.
func (d *Daemon) Cut() int64 {
	if d.handler == nil {
		return 0
	}
	return d.handler.InFlight()
}
