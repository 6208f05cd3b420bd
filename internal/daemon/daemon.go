// Package daemon assembles the components of one entry VM: it builds them from the
// settings, runs them, and shuts them down without cutting off requests.
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

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
	"kumquatcleat/internal/limits"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/membership"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/peer"
	"kumquatcleat/internal/platformclient"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/routing"
	"kumquatcleat/internal/settings"
	"kumquatcleat/internal/wait"
)

const (
	// shutdownDelay is the time between readiness turning 503 and the close of the
	// listener, so that the platform's load balancer stops sending requests first.
	shutdownDelay = time.Second
	// answerMargin is the time for writing the answers to requests that end at their deadline.
	answerMargin = 150 * time.Millisecond
	// handoverTimeout bounds the handover of all roles in a planned stop.
	handoverTimeout = 3 * time.Second
	// readHeaderTimeout closes connections on which no request header arrives.
	readHeaderTimeout = 10 * time.Second
	// maxHeadBytes bounds the head of a request from a caller or another VM.
	maxHeadBytes = 64 << 10
)

// Daemon is the process kumquatcleatd, the router of one entry VM. A keeper and a standby
// per group assign the group's slots to servers (package ownership).
type Daemon struct {
	settings     *settings.Settings
	localIP      string // source address of outgoing connections
	self         ownership.VMRef
	metrics      metrics.Registry
	decisions    *logging.Decisions
	platform     *platformclient.Client
	store        *config.Store
	syncer       *config.Syncer
	clients      *peer.Clients
	members      *Members
	directory    *Directory
	groups       *Groups
	claims       *Claims
	gates        *limits.Gates
	suspects     *suspects
	canceler     *canceler
	handler      *routing.Handler
	callerServer *callerServer
	peerServer   *http.Server
	stopping     atomic.Bool
	cancel       context.CancelFunc // stops the background goroutines
}

// New creates a daemon from its settings. It starts nothing; call Run.
func New(s *settings.Settings) (*Daemon, error) {
	host, _, err := net.SplitHostPort(s.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("daemon: peer_listen %q: %w", s.PeerListen, err)
	}
	d := &Daemon{
		settings: s,
		localIP:  host,
		self:     ownership.VMRef{ID: s.ID, Incarnation: newIncarnation(s.Incarnation)},
		metrics:  metrics.NewRegistry(),
		platform: platformclient.NewFrom(host, s.Platform),
		store:    config.NewStore(),
	}
	d.decisions = logging.NewDecisions(d.metrics)
	d.clients = peer.NewClients(host)
	d.provisionOwnership()
	d.provisionRequestPath()
	d.provisionListeners()
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
		Metrics:     d.metrics,
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

func (d *Daemon) provisionListeners() {
	mux := http.NewServeMux()
	d.operatorRoutes(mux)
	mux.Handle(peer.PeerPathPrefix, peer.LimitRequests(peer.NewPeerServer(&peerService{daemon: d})))
	d.peerServer = &http.Server{Addr: d.settings.PeerListen, Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeadBytes}
	d.callerServer = newCallerServer(d.settings.Listen)
}

// buildCallerHandler builds the handler of callers' requests and sets it in callerServer.
// The handler's goroutines stop when ctx is done.
func (d *Daemon) buildCallerHandler(ctx context.Context) error {
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
		Metrics:    d.metrics,

		UncheckedDeadline: d.settings.OwnershipTiming().RequestDeadline,
	})
	handler, err := newRestHandler("kumquatcleatd", d.handler)
	if err != nil {
		return fmt.Errorf("daemon: create REST handler: %w", err)
	}
	d.callerServer.server.Handler = handler
	return nil
}

// Run serves until ctx is done. It then shuts down and waits for requests in flight,
// up to the grace period of the settings. It returns an error if a listener fails or
// if requests are still in flight at the end of the grace period. If ctx is done already,
// Run does not listen.
func (d *Daemon) Run(ctx context.Context) error {
	if ctx.Err() != nil {
		slog.Info("daemon: asked to stop before it listened", "vm", d.self.String())
		return nil
	}
	background, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	var decisionLog sync.WaitGroup
	defer func() {
		cancel()
		decisionLog.Wait() // write the last lines before the process exits
	}()
	if err := d.buildCallerHandler(background); err != nil {
		return err
	}
	failed := make(chan error, 2)
	if err := listenAndServe(d.peerServer, failed); err != nil {
		return err
	}
	if err := d.callerServer.start(failed); err != nil {
		return err
	}
	decisionLog.Go(func() { d.decisions.Run(background) })
	go d.members.Run(background)
	go d.groups.Run(background)
	go d.canceler.run(background)
	go d.suspects.run(background)
	go d.newDeferredWorkers().loop(background)
	go func() { _ = d.syncer.Run(background) }()
	slog.Info("daemon: started", "vm", d.self.String(), "failure_domain", d.settings.FailureDomain,
		"listen", d.settings.Listen, "peer_listen", d.settings.PeerListen)
	go d.logWhenReady(background)
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

func (d *Daemon) logWhenReady(ctx context.Context) {
	for wait.For(ctx, memberTick) {
		if d.notReady() == "" {
			slog.Info("daemon: ready", "vm", d.self.String())
			return
		}
	}
}

// stop shuts down gracefully: readiness turns 503, roles are handed over, and each
// caller's connection is closed when its request is answered.
func (d *Daemon) stop() error {
	d.stopping.Store(true)
	d.handler.Stop()
	slog.Info("daemon: stopping", "in_flight", d.handler.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownGrace())
	defer cancel()
	_ = wait.For(ctx, min(shutdownDelay, d.settings.ShutdownGrace()))
	if end, ok := ctx.Deadline(); ok {
		d.handler.StopBy(end.Add(-answerMargin))
	}
	d.handOver(ctx)
	err := d.callerServer.shutdown(ctx)
	if err != nil {
		err = fmt.Errorf("daemon: %d requests were cut off: shutdown grace period of %v expired", d.handler.InFlight(), d.settings.ShutdownGrace())
	}
	_ = d.peerServer.Close()
	slog.Info("daemon: stopped")
	return err
}

func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	d.groups.Stop(ctx)
}

// InFlight returns the number of requests in flight, which are cut off if the process
// exits now.
func (d *Daemon) InFlight() int64 {
	if d.handler == nil {
		return 0
	}
	return d.handler.InFlight()
}
