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
	refreshInterval    = time.Second            // a moved slot's refusal refreshes at once; this only bounds silence
	minRefreshInterval = 10 * time.Millisecond  // bounds the questions that refusals can cause
	askTimeout         = 500 * time.Millisecond // a lost keeper is asked past within the 3 s to service
	unusedAfter        = time.Minute            // a group that nobody asked for is forgotten
	// movingRefresh is how often the keeper is asked while requests wait for a
	// slot's new owner: it adds to the time without an answer.
	movingRefresh = 50 * time.Millisecond
)

// SlotRoute is the owner of one slot, as a VM learnt it.
type SlotRoute struct {
	Server            string
	ServerIncarnation string
	Token             backend.Token
	Moving            bool // nobody owns the slot until the move ends
}

// RouteAnswer is what the keeper of a group told.
type RouteAnswer struct {
	Unchanged bool // nothing is newer than the version in the question
	Version   uint64
	Slots     map[uint32]SlotRoute
	// Lease is the right to send to servers that do not check, counted from
	// when the question was sent.
	Lease time.Duration
}

// SlotRate is how often a slot was sent to, for the keeper's placement.
type SlotRate struct {
	Slot      uint32
	PerSecond float64
}

// RouteSource asks the keeper of a group for its routes.
type RouteSource interface {
	FetchRoutes(ctx context.Context, question RouteRequest) (RouteAnswer, error)
}

// RouteRequest asks for a group's routes and tells what the VM saw meanwhile.
type RouteRequest struct {
	Group    string
	Known    uint64     // version that the VM has; 0: none
	Rates    []SlotRate // since the last question
	Draining []string   // servers that refused requests because they are draining
}

// RouteTable is a Resolver that keeps each used group's routes and refreshes
// them from the keeper. Safe for concurrent use.
type RouteTable struct {
	source RouteSource
	ctx    context.Context // ends the refreshing goroutines
	mu     sync.Mutex      // guards groups
	groups map[string]*groupRoutes
}

// NewRouteTable returns a table whose goroutines end with ctx.
func NewRouteTable(ctx context.Context, source RouteSource) *RouteTable {
	return &RouteTable{source: source, ctx: ctx, groups: map[string]*groupRoutes{}}
}

// Resolve implements Resolver.
func (t *RouteTable) Resolve(ctx context.Context, service *config.Service, slot uint32) (Target, error) {
	name := service.GroupOf(slot).String()
	for {
		group := t.group(name)
		found, changed := group.lookup(service, slot)
		if found.state == routeUsable {
			found.target.Group = name
			return found.target, nil
		}
		if found.state == routeOutdated {
			group.kick()
		} else {
			group.awaitMove()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Target{}, fault.New(fault.NoOwner, "slot %d of service %q has no owner now: send the request again", slot, service.Name)
		}
	}
}

// Stale implements Resolver.
func (t *RouteTable) Stale(target Target) {
	group := t.group(target.Group)
	group.distrust(target.Slot, time.Now())
	group.kick()
}

// Draining implements Resolver. The keeper is told with the next question.
func (t *RouteTable) Draining(target Target) {
	group := t.group(target.Group)
	group.noteDraining(target.Server.ID)
	group.kick()
}

// Confirm implements Resolver. A server that checks refuses a stale target
// itself; for one that doesn't, the route lease must still be valid.
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
			t.forget(name, group)
		}()
	}
	group.used.Store(time.Now().UnixNano())
	return group
}

func (t *RouteTable) forget(name string, group *groupRoutes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.groups[name] == group {
		delete(t.groups, name)
	}
}

// routeSnapshot is an immutable set of routes.
type routeSnapshot struct {
	askedAt    time.Time // when the question was sent: the routes may be that old
	leaseUntil time.Time
	version    uint64
	slots      map[uint32]SlotRoute
}

// groupRoutes holds one group's routes. Readers load snapshot; only the
// refreshing goroutine stores it. mu guards changed, distrusted, counts and
// draining.
type groupRoutes struct {
	name       string
	source     RouteSource
	snapshot   atomic.Pointer[routeSnapshot]
	kicks      chan struct{} // ask at once
	moves      chan struct{} // a request waits for a slot's new owner
	used       atomic.Int64  // Unix nanoseconds of the last use
	mu         sync.Mutex
	changed    chan struct{}        // closed when a refresh ends
	distrusted map[uint32]time.Time // a server refused the route at that time
	counts     map[uint32]int
	countedAt  time.Time
	draining   map[string]bool // servers that said so since the last question
}

func newGroupRoutes(name string, source RouteSource) *groupRoutes {
	return &groupRoutes{
		name:       name,
		source:     source,
		kicks:      make(chan struct{}, 1),
		moves:      make(chan struct{}, 1),
		changed:    make(chan struct{}),
		distrusted: map[uint32]time.Time{},
		counts:     map[uint32]int{},
		countedAt:  time.Now(),
		draining:   map[string]bool{},
	}
}

// routeState tells whether a slot's route can be used.
type routeState int

const (
	routeUsable   routeState = iota
	routeOutdated            // the keeper may know better: it is asked at once
	routeMoving              // the keeper said that nobody owns the slot for now
)

// foundRoute is what lookup found.
type foundRoute struct {
	state  routeState
	target Target
}

// lookup returns the slot's target, or a channel that closes with the next refresh.
func (g *groupRoutes) lookup(service *config.Service, slot uint32) (foundRoute, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	snapshot := g.snapshot.Load()
	if snapshot == nil {
		return foundRoute{state: routeOutdated}, g.changed
	}
	if since, bad := g.distrusted[slot]; bad && !snapshot.askedAt.After(since) {
		return foundRoute{state: routeOutdated}, g.changed
	}
	route, ok := snapshot.slots[slot]
	if !ok || route.Moving || route.Server == "" {
		return foundRoute{state: routeMoving}, g.changed
	}
	server, ok := serverByID(service, route.Server)
	if !ok {
		return foundRoute{state: routeMoving}, g.changed
	}
	if !server.Checks && !time.Now().Before(snapshot.leaseUntil) {
		return foundRoute{state: routeOutdated}, g.changed
	}
	g.counts[slot]++
	target := Target{
		Server: server, Incarnation: route.ServerIncarnation,
		Slot: slot, Token: route.Token, HasKey: true,
	}
	return foundRoute{target: target}, nil
}

func serverByID(service *config.Service, id string) (config.Server, bool) {
	for _, server := range service.Servers {
		if server.ID == id {
			return server, true
		}
	}
	return config.Server{}, false
}

func (g *groupRoutes) distrust(slot uint32, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.distrusted[slot] = now
}

func (g *groupRoutes) kick() {
	select {
	case g.kicks <- struct{}{}:
	default:
	}
}

// awaitMove has the keeper asked again soon.
func (g *groupRoutes) awaitMove() {
	select {
	case g.moves <- struct{}{}:
	default:
	}
}

func (g *groupRoutes) refreshWhileUsed(ctx context.Context) {
	for {
		due := g.refresh(ctx)
		if !wait.For(ctx, minRefreshInterval) {
			return
		}
		timer := time.NewTimer(due)
		select {
		case <-g.kicks:
		case <-g.moves:
			wait.For(ctx, movingRefresh)
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		idle := time.Since(time.Unix(0, g.used.Load()))
		if ctx.Err() != nil || idle > unusedAfter {
			return
		}
	}
}

// refresh asks the keeper once and returns how long the answer is good for.
func (g *groupRoutes) refresh(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	old := g.snapshot.Load()
	var known uint64
	if old != nil {
		known = old.version
	}
	askedAt := time.Now()
	answer, err := g.source.FetchRoutes(ctx, RouteRequest{
		Group: g.name, Known: known, Rates: g.takeRates(askedAt), Draining: g.takeDraining(),
	})
	if err != nil {
		return refreshInterval / 10
	}
	next := &routeSnapshot{
		askedAt:    askedAt,
		leaseUntil: askedAt.Add(answer.Lease),
		version:    answer.Version,
		slots:      answer.Slots,
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
	for slot, since := range g.distrusted {
		if next.askedAt.After(since) {
			delete(g.distrusted, slot)
		}
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *groupRoutes) noteDraining(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining[server] = true
}

// takeDraining returns and clears the servers that said that they are draining.
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
