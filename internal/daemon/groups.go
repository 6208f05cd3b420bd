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
	keepersPerGroup = 3                      // keeper, standby, and the one that follows them
	manageInterval  = 250 * time.Millisecond // how late a change of VMs or records reaches the groups
	planInterval    = time.Second            // of placement decisions
)

// Groups runs a Driver for each group that this VM may keep. Its goroutine
// starts and stops them; mu guards running.
type Groups struct {
	self      ownership.VMRef
	timing    ownership.Timing
	placement placement.Settings
	env       ownership.Environment
	members   *Members
	store     *config.Store
	clients   *backend.ControlClients
	claims    *Claims // set before Run

	stopping atomic.Bool // no new roles, no new plans

	mu      sync.Mutex
	running map[string]*groupRun
}

// groupRun is one running Driver with what it was last told.
type groupRun struct {
	id      config.GroupID
	driver  *ownership.Driver
	cancel  context.CancelFunc
	rates   *rateBook
	told    string // fingerprint of the last MembersChanged
	planned time.Duration
}

// NewGroups returns the duty. env.Servers is set for each group: the
// configuration names its servers.
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

// serviceServers finds the servers of one service: ids are unique within a
// service only. It implements ownership.ControllerFinder.
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

// Run starts and stops drivers until ctx ends.
func (g *Groups) Run(ctx context.Context) {
	for wait.For(ctx, manageInterval) {
		roster := g.members.Roster()
		g.startWanted(ctx, roster)
		for _, run := range g.runs() {
			g.tell(ctx, run, roster)
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

func (g *Groups) startWanted(ctx context.Context, roster *Roster) {
	if g.stopping.Load() || !roster.Settled {
		return
	}
	for name, keepers := range roster.Groups {
		// All listed VMs count here: one that knows few of the others' starts
		// would otherwise take itself for the first in every group.
		if !isCandidate(keepers.Askable, g.self) {
			continue
		}
		g.mu.Lock()
		if _, ok := g.running[name]; !ok {
			g.running[name] = g.start(ctx, keepers.ID)
		}
		g.mu.Unlock()
	}
}

func isCandidate(candidates []ownership.VMRef, self ownership.VMRef) bool {
	for i, ref := range candidates {
		if ref == self && i < keepersPerGroup {
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
	return &groupRun{id: id, driver: driver, cancel: cancel, rates: newRateBook()}
}

// tell passes on what changed: the VMs that may keep the group, and the plan.
func (g *Groups) tell(ctx context.Context, run *groupRun, roster *Roster) {
	keepers, ok := roster.Groups[run.id.String()]
	if !ok || g.stopping.Load() {
		return
	}
	if told := fmt.Sprint(keepers.Candidates, keepers.Gone); told != run.told {
		run.told = told
		run.driver.Deliver(ctx, ownership.MembersChanged{Candidates: keepers.Candidates, Gone: keepers.Gone})
	}
	if status, err := run.driver.Status(ctx); err == nil {
		g.claims.Follow(ctx, run.id.String(), status)
		g.mention(ctx, status, roster)
		if status.Keeper == g.self {
			g.members.Meet(ctx, keepers.Askable[:min(keepersPerGroup, len(keepers.Askable))])
		}
	}
	now := g.env.Clock()
	if run.planned != 0 && now-run.planned < planInterval {
		return
	}
	run.planned = now
	g.plan(ctx, run, roster)
}

// mention has the VMs looked into that the row names and the roster lacks: a
// third VM may take over only once both are known to be gone.
func (g *Groups) mention(ctx context.Context, status ownership.Status, roster *Roster) {
	for _, ref := range []ownership.VMRef{status.Keeper, status.Standby} {
		vm, live := roster.ByID[ref.ID]
		if !ref.IsZero() && (!live || vm.Incarnation != ref.Incarnation) {
			g.members.Mention(ctx, ref)
		}
	}
}

// Stop hands every role over and waits for that until ctx ends.
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
			slog.Warn("ownership: role not handed over in time", "group", run.id.String())
		}
		run.cancel()
	}
}

// Kept returns the groups of a service that this VM decides about now.
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

// Agree hands an agreement message to the group's driver.
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
