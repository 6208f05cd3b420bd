package daemon

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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

// NewGroups returns the duty. env.Servers is set here: the configuration names
// the servers.
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
	env.Servers = g
	g.env = env
	return g
}

// Controller implements ownership.ControllerFinder.
func (g *Groups) Controller(server string) (backend.Controller, bool) {
	for _, service := range g.store.Services() {
		for _, s := range service.Servers {
			if s.ID == server {
				return g.clients.For(s.Address), true
			}
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
	driver := ownership.NewDriver(id.String(), replica, g.env)
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
		run.driver.Tell(ctx, ownership.MembersChanged{Candidates: keepers.Candidates, Gone: keepers.Gone})
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

// plan decides the wanted owners of a group's slots and tells the driver.
func (g *Groups) plan(ctx context.Context, run *groupRun, roster *Roster) {
	service, ok := g.store.Service(run.id.Service)
	if !ok {
		return
	}
	status, err := run.driver.Status(ctx)
	if err != nil {
		return
	}
	routes, err := run.driver.Routes(ctx, g.self)
	if err != nil {
		return
	}
	now := g.env.Clock()
	input := placementInput(service, run.id, routes, run.rates.total(now))
	draining := run.rates.draining(now)
	maps.Copy(draining, roster.Leave)
	countMoves(input, status.Moves)
	markServers(input.Servers, status, draining)
	event := ownership.PlanChanged{Servers: make(map[string]ownership.ServerPlan, len(input.Servers))}
	if mayPlan(status) {
		event.Owners = placement.Plan(input, g.settingsFor(service))
	}
	for _, server := range service.ServersOf(run.id) {
		event.Servers[server.ID] = ownership.ServerPlan{
			Drain:  server.Drain || draining[server.ID],
			Checks: server.Checks,
			Gone:   roster.LostServers[server.ID],
		}
	}
	run.driver.Tell(ctx, event)
}

// settingsFor returns the placement settings of a service. With servers that do
// not check, a moved slot is dark for a whole request deadline: no move for the
// sake of balance is worth that.
func (g *Groups) settingsFor(service *config.Service) placement.Settings {
	settings := g.placement
	if hasUnchecked(service) {
		settings.MoveBudget = 0
	}
	return settings
}

// hasUnchecked reports whether a service has a server that does not check grants.
func hasUnchecked(service *config.Service) bool {
	return slices.ContainsFunc(service.Servers, func(s config.Server) bool { return !s.Checks })
}

// mayPlan reports whether wanted owners can be worked out here: by the keeper,
// who knows the present ones, or for a group that has none yet. A plan made
// without the present owners would move most slots after a change of keeper.
func mayPlan(status ownership.Status) bool {
	return status.Role == ownership.RoleKeeper || status.Token.Epoch == 0
}

func placementInput(service *config.Service, id config.GroupID, routes ownership.Routes, rates map[uint32]float64) placement.Input {
	input := placement.Input{Current: map[uint32]string{}}
	for _, slot := range service.SlotsOf(id) {
		input.Slots = append(input.Slots, placement.SlotLoad{Slot: slot, Load: rates[slot]})
	}
	for _, server := range service.ServersOf(id) {
		input.Servers = append(input.Servers, placement.Server{
			ID:       server.ID,
			Capacity: float64(server.Slots),
			Home:     server.FailureDomain == id.Domain,
			Drain:    server.Drain,
		})
	}
	for _, route := range routes.Slots {
		if !route.Server.IsZero() {
			input.Current[route.Slot] = route.Server.ID
		}
	}
	return input
}

// countMoves counts each slot under a move as its new owner's. A plan that took it
// for the old owner's would move the slot back as soon as the move has ended.
func countMoves(input placement.Input, moves []ownership.Move) {
	for _, move := range moves {
		input.Current[move.Slot] = move.To.ID
	}
}

// markServers marks the servers that are draining and those that the keeper gets
// no answer from.
func markServers(servers []placement.Server, status ownership.Status, draining map[string]bool) {
	answers := map[string]bool{}
	for _, s := range status.Servers {
		answers[s.Server.ID] = s.Answers
	}
	for i := range servers {
		s := &servers[i]
		s.Drain = s.Drain || draining[s.ID]
		answering, known := answers[s.ID]
		s.Lost = known && !answering
	}
}

// Stop hands every role over and waits for that until ctx ends.
func (g *Groups) Stop(ctx context.Context) {
	g.stopping.Store(true)
	runs := g.runs()
	for _, run := range runs {
		run.driver.Tell(ctx, ownership.StopRequested{})
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

// AnswerRoutes answers another VM's question, or this VM's own.
func (g *Groups) AnswerRoutes(ctx context.Context, request *peer.RoutesRequest) (*peer.RoutesAnswer, error) {
	run, ok := g.find(request.GetGroup())
	if !ok {
		return &peer.RoutesAnswer{}, nil
	}
	from := decodeVM(request.GetFrom())
	routes, err := run.driver.Routes(ctx, from)
	if err != nil {
		return nil, err
	}
	if routes.Keeper {
		run.rates.report(g.env.Clock(), from.ID, request.GetLoads())
		run.rates.reportDraining(g.env.Clock(), request.GetDraining())
	}
	if service, ok := g.store.Service(run.id.Service); ok && !hasUnchecked(service) {
		routes.Lease = 0 // nobody needs it, and a VM would renew it all the time
	}
	return encodeRoutes(routes, request.GetKnownVersion()), nil
}

func encodeRoutes(routes ownership.Routes, known uint64) *peer.RoutesAnswer {
	out := &peer.RoutesAnswer{
		Keeper:       routes.Keeper,
		KeeperHint:   encodeVM(routes.Hint),
		Version:      routesVersion(routes),
		Token:        &peer.Token{Epoch: routes.Token.Epoch, Seq: routes.Token.Seq},
		RouteLeaseMs: uint32(routes.Lease.Milliseconds()),
	}
	if !routes.Keeper || out.Version == known {
		return out
	}
	for _, r := range routes.Slots {
		out.Routes = append(out.Routes, &peer.Route{
			Slot:              r.Slot,
			Server:            r.Server.ID,
			ServerIncarnation: r.Server.Incarnation,
			Token:             &peer.Token{Epoch: r.Token.Epoch, Seq: r.Token.Seq},
			Moving:            r.Moving,
		})
	}
	return out
}

// routesVersion returns a hash of the routes. A counter would not do: slots come
// into use when a server accepts its grant, which no write to the row tells.
func routesVersion(routes ownership.Routes) uint64 {
	const bytesPerRoute = 64
	text := make([]byte, 0, bytesPerRoute*len(routes.Slots))
	for _, r := range routes.Slots {
		text = binary.AppendUvarint(text, uint64(r.Slot))
		text = binary.AppendUvarint(text, r.Token.Epoch)
		text = binary.AppendUvarint(text, r.Token.Seq)
		text = append(text, r.Server.ID...)
		text = append(text, 0)
		text = append(text, r.Server.Incarnation...)
		text = strconv.AppendBool(text, r.Moving)
	}
	return xxhash.Sum64(text)
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
	run.driver.Tell(ctx, event)
	return nil
}
