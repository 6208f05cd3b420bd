package routing

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/wait"
)

const (
	refreshInterval     = time.Second            // only bounds staleness: a refusal after a move refreshes at once
	minRefreshInterval  = 10 * time.Millisecond  // limits the rate of requests that refusals cause
	routeRequestTimeout = 500 * time.Millisecond // leaves time to ask another VM after a keeper failed: keys must be served again within 3 s
	groupIdleTimeout    = time.Minute            // an unused group is removed
	// moveRefreshDelay is the delay between requests to the keeper while callers'
	// requests wait for the new owner of a slot. It adds to their latency.
	moveRefreshDelay = 50 * time.Millisecond
)

// SlotRoute is the owner of a slot, as known to this VM.
type SlotRoute struct {
	Server            string
	ServerIncarnation string
	Token             backend.Token
	Moving            bool // the slot has no owner until the move ends
}

// RouteAnswer is the keeper's answer to a RouteRequest.
type RouteAnswer struct {
	Unchanged bool // the routes of version RouteRequest.Known are current
	Version   uint64
	Slots     map[uint32]SlotRoute
	// Lease is the duration of the route lease, which allows this VM to send to
	// servers that do not check grants. It starts when the request was sent.
	Lease time.Duration
}

// SlotRate is the request rate of a slot, an input to the keeper's placement.
type SlotRate struct {
	Slot      uint32
	PerSecond float64
}

// RouteSource fetches the routes of a group from its keeper.
type RouteSource interface {
	FetchRoutes(ctx context.Context, request RouteRequest) (RouteAnswer, error)
}

// RouteRequest asks for a group's routes and reports what this VM has observed
// since the last request.
type RouteRequest struct {
	Group    string
	Known    uint64     // version that this VM has; 0: none
	Rates    []SlotRate // since the last request
	Draining []string   // servers that refused requests because they are draining
}

// RouteTable is a Resolver that caches the owners of the slots of the groups in use
// and refreshes them from the groups' keepers. It is unrelated to package routetable,
// which maps the host and path of a request to services. It is safe for concurrent use.
type RouteTable struct {
	source RouteSource
	ctx    context.Context // stops the refreshing goroutines
	mu     sync.Mutex      // guards groups
	groups map[string]*groupRoutes
}

// NewRouteTable returns an empty table whose goroutines stop when ctx ends.
func NewRouteTable(ctx context.Context, source RouteSource) *RouteTable {
	return &RouteTable{source: source, ctx: ctx, groups: map[string]*groupRoutes{}}
}

// Resolve implements Resolver.
func (t *RouteTable) Resolve(ctx context.Context, service *config.Service, slot uint32) (Target, error) {
	name := service.GroupOf(slot).String()
	for {
		group := t.group(name)
		result, changed := group.lookup(service, slot)
		if result.state == routeUsable {
			result.target.Group = name
			return result.target, nil
		}
		if result.state == routeOutdated {
			group.requestRefresh()
		} else {
			group.requestMoveRefresh()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Target{}, fault.New(fault.NoOwner, "slot %d of service %q has no owner now: send the request again", slot, service.Name)
		}
	}
}

// MarkStale implements Resolver.
func (t *RouteTable) MarkStale(target Target) {
	group := t.group(target.Group)
	group.markStale(target.Slot, time.Now())
	group.requestRefresh()
}

// MarkDraining implements Resolver. The next request reports the server to the keeper.
func (t *RouteTable) MarkDraining(target Target) {
	group := t.group(target.Group)
	group.recordDraining(target.Server.ID)
	group.requestRefresh()
}

// Confirm implements Resolver. A server that checks grants refuses a stale target
// itself. For any other server the route lease must still be valid.
func (t *RouteTable) Confirm(target Target) bool {
	if target.Server.Checks {
		return true
	}
	snapshot := t.group(target.Group).snapshot.Load()
	if snapshot == nil || !time.Now().Before(snapshot.leaseUntil) {
		return false
	}
	route, ok := snapshot.slots[target.Slot]
	return ok && !route.Moving && route.Server == target.Server.ID && route.Token == target.Token
}

func (t *RouteTable) group(name string) *groupRoutes {
	t.mu.Lock()
	defer t.mu.Unlock()
	group, ok := t.groups[name]
	if !ok {
		group = newGroupRoutes(name, t.source)
		t.groups[name] = group
		go func() {
			group.refreshWhileUsed(t.ctx)
			t.remove(name, group)
		}()
	}
	group.lastUsed.Store(time.Now().UnixNano())
	return group
}

func (t *RouteTable) remove(name string, group *groupRoutes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.groups[name] == group {
		delete(t.groups, name)
	}
}

// routeSnapshot is an immutable set of routes.
type routeSnapshot struct {
	requestedAt time.Time // when the request was sent: the routes may be that old
	leaseUntil  time.Time
	version     uint64
	slots       map[uint32]SlotRoute
}

// groupRoutes holds one group's routes. Readers load snapshot; only the
// refreshing goroutine stores it. mu guards changed, staleSince, counts, countedAt
// and draining.
type groupRoutes struct {
	name            string
	source          RouteSource
	snapshot        atomic.Pointer[routeSnapshot]
	refreshRequests chan struct{} // refresh at once
	moveWaits       chan struct{} // a caller's request waits for the new owner of a slot
	lastUsed        atomic.Int64  // Unix nanoseconds of the last use
	mu              sync.Mutex
	changed         chan struct{}        // closed by the next successful refresh
	staleSince      map[uint32]time.Time // when MarkStale was last called for the slot
	counts          map[uint32]int
	countedAt       time.Time
	draining        map[string]bool // servers that refused as draining since the last request
}

func newGroupRoutes(name string, source RouteSource) *groupRoutes {
	return &groupRoutes{
		name:            name,
		source:          source,
		refreshRequests: make(chan struct{}, 1),
		moveWaits:       make(chan struct{}, 1),
		changed:         make(chan struct{}),
		staleSince:      map[uint32]time.Time{},
		counts:          map[uint32]int{},
		countedAt:       time.Now(),
		draining:        map[string]bool{},
	}
}

// routeState states whether the route of a slot can be used.
type routeState int

const (
	routeUsable   routeState = iota
	routeOutdated            // the keeper may have a newer route: refresh at once
	routeMoving              // the slot has no usable owner at present
)

// lookupResult is the result of groupRoutes.lookup. target is set only if state is
// routeUsable.
type lookupResult struct {
	state  routeState
	target Target
}

// lookup returns the target of a slot, or a channel that is closed by the next
// successful refresh.
func (g *groupRoutes) lookup(service *config.Service, slot uint32) (lookupResult, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	snapshot := g.snapshot.Load()
	if snapshot == nil {
		return lookupResult{state: routeOutdated}, g.changed
	}
	if since, bad := g.staleSince[slot]; bad && !snapshot.requestedAt.After(since) {
		return lookupResult{state: routeOutdated}, g.changed
	}
	route, ok := snapshot.slots[slot]
	if !ok || route.Moving || route.Server == "" {
		return lookupResult{state: routeMoving}, g.changed
	}
	server, ok := serverByID(service, route.Server)
	if !ok {
		return lookupResult{state: routeMoving}, g.changed
	}
	if !server.Checks && !time.Now().Before(snapshot.leaseUntil) {
		return lookupResult{state: routeOutdated}, g.changed
	}
	g.counts[slot]++
	target := Target{
		Server: server, Incarnation: route.ServerIncarnation,
		Slot: slot, Token: route.Token, HasKey: true,
	}
	return lookupResult{target: target}, nil
}

func serverByID(service *config.Service, id string) (config.Server, bool) {
	for _, server := range service.Servers {
		if server.ID == id {
			return server, true
		}
	}
	return config.Server{}, false
}

func (g *groupRoutes) markStale(slot uint32, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.staleSince[slot] = now
}

func (g *groupRoutes) requestRefresh() {
	select {
	case g.refreshRequests <- struct{}{}:
	default:
	}
}

// requestMoveRefresh schedules a refresh after moveRefreshDelay.
func (g *groupRoutes) requestMoveRefresh() {
	select {
	case g.moveWaits <- struct{}{}:
	default:
	}
}

func (g *groupRoutes) refreshWhileUsed(ctx context.Context) {
	for {
		delay := g.refresh(ctx)
		if !wait.For(ctx, minRefreshInterval) {
			return
		}
		timer := time.NewTimer(delay)
		select {
		case <-g.refreshRequests:
		case <-g.moveWaits:
			wait.For(ctx, moveRefreshDelay)
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		idle := time.Since(time.Unix(0, g.lastUsed.Load()))
		if ctx.Err() != nil || idle > groupIdleTimeout {
			return
		}
	}
}

// refresh fetches the routes once and returns the delay until the next refresh. The
// delay is shorter after a failure, and short enough to renew a route lease before it
// expires.
func (g *groupRoutes) refresh(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, routeRequestTimeout)
	defer cancel()
	old := g.snapshot.Load()
	var known uint64
	if old != nil {
		known = old.version
	}
	requestedAt := time.Now()
	answer, err := g.source.FetchRoutes(ctx, RouteRequest{
		Group: g.name, Known: known, Rates: g.takeRates(requestedAt), Draining: g.takeDraining(),
	})
	if err != nil {
		return refreshInterval / 10
	}
	next := &routeSnapshot{
		requestedAt: requestedAt,
		leaseUntil:  requestedAt.Add(answer.Lease),
		version:     answer.Version,
		slots:       answer.Slots,
	}
	if answer.Unchanged && old != nil {
		next.slots = old.slots
	}
	g.publish(next)
	if answer.Lease > 0 {
		return min(refreshInterval, answer.Lease/3)
	}
	return refreshInterval
}

func (g *groupRoutes) publish(next *routeSnapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.snapshot.Store(next)
	for slot, since := range g.staleSince {
		if next.requestedAt.After(since) {
			delete(g.staleSince, slot)
		}
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *groupRoutes) recordDraining(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining[server] = true
}

// takeDraining returns and clears the servers that refused requests as draining.
func (g *groupRoutes) takeDraining() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	servers := slices.Collect(maps.Keys(g.draining))
	clear(g.draining)
	return servers
}

// takeRates returns and clears the request counts as rates.
func (g *groupRoutes) takeRates(now time.Time) []SlotRate {
	g.mu.Lock()
	defer g.mu.Unlock()
	seconds := now.Sub(g.countedAt).Seconds()
	if seconds <= 0 || len(g.counts) == 0 {
		return nil
	}
	rates := make([]SlotRate, 0, len(g.counts))
	for slot, count := range g.counts {
		rates = append(rates, SlotRate{Slot: slot, PerSecond: float64(count) / seconds})
	}
	clear(g.counts)
	g.countedAt = now
	return rates
}
