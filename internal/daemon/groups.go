package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/peer"
	"kumquatcleat/internal/placement"
	"kumquatcleat/internal/wait"
)

const (
	replicasPerGroup  = 3                      // keeper, standby, and the next candidate
	reconcileInterval = 250 * time.Millisecond // bounds the delay until groups see a change of VMs or records
	planInterval      = time.Second            // between placement decisions
)

// Groups runs an ownership.Driver for each group that this VM may keep. The goroutine of
// Run starts the drivers; Stop stops them.
type Groups struct {
	self      ownership.VMRef
	timing    ownership.Timing
	placement placement.Settings
	env       ownership.Environment
	members   *Members
	store     *config.Store
	clients   *backend.ControlClients
	claims    *Claims // set before Run

	stopping atomic.Bool // start no drivers and make no plans

	mu      sync.Mutex           // guards running
	running map[string]*groupRun // by group
}

// groupRun is a running Driver and the state of its last notifications.
type groupRun struct {
	id          config.GroupID
	driver      *ownership.Driver
	cancel      context.CancelFunc
	rates       *slotRates
	lastMembers string // text form of the last MembersChanged
	lastPlan    time.Duration
}

// NewGroups returns a Groups that runs nothing until Run. env.Servers is ignored: each
// driver gets the servers of its group's service.
func NewGroups(self ownership.VMRef, timing ownership.Timing, placing placement.Settings,
	env ownership.Environment, members *Members, store *config.Store, localIP string) *Groups {
	g := &Groups{
		self:      self,
		timing:    timing,
		placement: placing,
		members:   members,
		store:     store,
		clients:   backend.NewControlClientsFrom(localIP),
		running:   map[string]*groupRun{},
	}
	g.env = env
	return g
}

// serviceServers finds the servers of one service. Server ids are unique only within a
// service. It implements ownership.ControllerFinder.
type serviceServers struct {
	service string
	store   *config.Store
	clients *backend.ControlClients
}

// Controller implements ownership.ControllerFinder.
func (s *serviceServers) Controller(server string) (backend.Controller, bool) {
	service, ok := s.store.Service(s.service)
	if !ok {
		return nil, false
	}
	for _, candidate := range service.Servers {
		if candidate.ID == server {
			return s.clients.For(candidate.Address), true
		}
	}
	return nil, false
}

// Run starts and notifies drivers until ctx is done.
func (g *Groups) Run(ctx context.Context) {
	for wait.For(ctx, reconcileInterval) {
		roster := g.members.Roster()
		g.startMissing(ctx, roster)
		for _, run := range g.runs() {
			g.notify(ctx, run, roster)
		}
	}
}

func (g *Groups) runs() []*groupRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := make([]*groupRun, 0, len(g.running))
	for _, run := range g.running {
		runs = append(runs, run)
	}
	return runs
}

func (g *Groups) startMissing(ctx context.Context, roster *Roster) {
	if g.stopping.Load() || !roster.Settled {
		return
	}
	for name, candidates := range roster.Groups {
		// AllCandidates also has the VMs whose full incarnation is not known. Without
		// them, a VM that knows few incarnations would rank first in every group.
		if !isCandidate(candidates.AllCandidates, g.self) {
			continue
		}
		g.mu.Lock()
		if _, ok := g.running[name]; !ok {
			g.running[name] = g.start(ctx, candidates.ID)
		}
		g.mu.Unlock()
	}
}

func isCandidate(candidates []ownership.VMRef, self ownership.VMRef) bool {
	for i, ref := range candidates {
		if ref == self && i < replicasPerGroup {
			return true
		}
	}
	return false
}

func (g *Groups) start(ctx context.Context, id config.GroupID) *groupRun {
	service, _ := g.store.Service(id.Service)
	replica := ownership.NewReplica(g.self, id.String(), service.SlotsOf(id), g.timing, uuid.NewString)
	env := g.env
	env.Servers = &serviceServers{service: id.Service, store: g.store, clients: g.clients}
	driver := ownership.NewDriver(id.String(), replica, env)
	runCtx, cancel := context.WithCancel(ctx)
	go driver.Run(runCtx)
	return &groupRun{id: id, driver: driver, cancel: cancel, rates: newSlotRates()}
}

// notify sends the driver changes of the group's candidates and, every planInterval,
// a new plan.
func (g *Groups) notify(ctx context.Context, run *groupRun, roster *Roster) {
	candidates, ok := roster.Groups[run.id.String()]
	if !ok || g.stopping.Load() {
		return
	}
	if members := fmt.Sprint(candidates.Candidates, candidates.Gone); members != run.lastMembers {
		run.lastMembers = members
		run.driver.Deliver(ctx, ownership.MembersChanged{Candidates: candidates.Candidates, Gone: candidates.Gone})
	}
	if status, err := run.driver.Status(ctx); err == nil {
		g.claims.ApplyStatus(ctx, run.id.String(), status)
		g.checkRowVMs(ctx, status, roster)
		if status.Keeper == g.self {
			g.members.LearnIncarnations(ctx, candidates.AllCandidates[:min(replicasPerGroup, len(candidates.AllCandidates))])
		}
	}
	now := g.env.Clock()
	if run.lastPlan != 0 && now-run.lastPlan < planInterval {
		return
	}
	run.lastPlan = now
	g.plan(ctx, run, roster)
}

// checkRowVMs checks the keeper and the standby named by the row if the roster
// lacks them: a third VM may take over only once both are known to be gone.
func (g *Groups) checkRowVMs(ctx context.Context, status ownership.Status, roster *Roster) {
	for _, ref := range []ownership.VMRef{status.Keeper, status.Standby} {
		vm, live := roster.ByID[ref.ID]
		if !ref.IsZero() && (!live || vm.Incarnation != ref.Incarnation) {
			g.members.CheckRowVM(ctx, ref)
		}
	}
}

// Stop hands over every role and stops the drivers. It waits for the handovers until
// ctx is done.
func (g *Groups) Stop(ctx context.Context) {
	g.stopping.Store(true)
	runs := g.runs()
	for _, run := range runs {
		run.driver.Deliver(ctx, ownership.StopRequested{})
	}
	for _, run := range runs {
		select {
		case <-run.driver.Stopped():
		case <-ctx.Done():
			slog.Warn("ownership: handover of the role timed out", "group", run.id.String())
		}
		run.cancel()
	}
}

// Kept returns the groups of a service of which this VM is the keeper now.
func (g *Groups) Kept(ctx context.Context, service *config.Service) map[config.GroupID]bool {
	kept := map[config.GroupID]bool{}
	for _, id := range service.Groups() {
		run, ok := g.find(id.String())
		if !ok {
			continue
		}
		if status, err := run.driver.Status(ctx); err == nil && status.Role == ownership.RoleKeeper {
			kept[id] = true
		}
	}
	return kept
}

func (g *Groups) find(group string) (*groupRun, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	run, ok := g.running[group]
	return run, ok
}

// Agree delivers an agreement message to the group's driver.
func (g *Groups) Agree(ctx context.Context, in *peer.Agreement) error {
	if decodeVM(in.GetTo()) != g.self {
		return fmt.Errorf("agreement: meant for VM %s", decodeVM(in.GetTo()))
	}
	event, err := decodeAgreement(in)
	if err != nil {
		return err
	}
	run, ok := g.find(in.GetGroup())
	if !ok {
		return fmt.Errorf("agreement: group %q is not kept here", in.GetGroup())
	}
	run.driver.Deliver(ctx, event)
	return nil
}
