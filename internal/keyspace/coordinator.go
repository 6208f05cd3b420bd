package keyspace

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"kumquatcleat/internal/bootclock"
	"kumquatcleat/internal/overload"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/wait"
)

// Control sends orders to servers.
type Control interface {
	// Grant grants keys or renews their lease. guard is called right before the call
	// is sent; the call is not sent if it returns false.
	Grant(ctx context.Context, order Order, guard func() bool) Result
	// Release asks a server to release keys. It returns once no request on them is
	// running.
	Release(ctx context.Context, order Order, guard func() bool) Result
}

// Members provides the servers of a service that may own keys, and the states of
// holders.
type Members interface {
	Members(service string) []Member
	State(h Holder) ServerState
}

// CoordinatorSettings holds the durations and thresholds of a coordinator.
type CoordinatorSettings struct {
	CoordinatorLease CoordinatorLeaseSettings
	Timing           Timing
	Plan             PlanSettings
	// Tick is the interval between checks for orders that are due.
	Tick time.Duration
	// PlanInterval is the interval between plans that move keys to balance load.
	PlanInterval time.Duration
	// MoveWait is how long moves away from an overloaded server wait for moves in
	// progress, counted from when moves that balance load last started. A move away
	// from an unresponsive server takes seconds and must not hold up the others.
	MoveWait time.Duration
	// FirstPlanWait is how long servers may register before keys are first assigned.
	FirstPlanWait time.Duration
	// ReleaseTimeout is the timeout of a release, which waits for running requests.
	ReleaseTimeout time.Duration
	// Keys is the number of keys.
	Keys uint32
	// RecordBytes is the maximum size of an owners record, a row of the store.
	RecordBytes int
	// Table is the table of the store that holds the owners records and the address
	// of the coordinator.
	Table string
}

// Coordinator maintains the owners records of all keyed services while this VM holds
// the coordinator lease, and does nothing otherwise.
type Coordinator struct {
	settings  CoordinatorSettings
	store     rows.Store
	lease     *CoordinatorLease
	control   Control
	members   Members
	owners    *Owners
	services  func() []string
	objective func(service string) time.Duration
	slowTime  func(service string) time.Duration
	format    func() RecordFormat
	// askRecords asks all VMs for owners records that are newer than the cached ones, caches
	// them and reports whether all VMs answered whose process has run for minUptime.
	askRecords func(ctx context.Context, minUptime time.Duration) bool
	clock      bootclock.Clock
	address    string
	writeID    string

	mu            sync.Mutex // guards the fields below
	serviceStates map[string]*serviceState
	requestCounts map[string]*RequestCounts
	serviceTimes  map[string]serviceTime // by server: smoothed time that it takes per request
	writeCount    uint64
	inFlight      *overload.Totals // requests at servers, as VMs report them
	rateLimits    *ratelimit.Board
	signals       map[string]overload.Signal // computed at signalsAt
	signalsAt     time.Duration

	recovery recovery // used only by Run

	wake chan struct{} // signaled after a record was written: orders may be due
}

// serviceState is the coordinator's state for one service.
type serviceState struct {
	service      string
	era          uint64 // of the store when the record was read
	leases       *LeaseTracker
	committing   bool
	membersSince time.Duration // when members were first present
	plannedAt    time.Duration
	movedAt      time.Duration // when moves that balance load last started
	pausedUntil  time.Duration // no record is written before
}

// Options are the dependencies and settings of a Coordinator. All are required.
type Options struct {
	Settings         CoordinatorSettings
	Store            rows.Store
	CoordinatorLease *CoordinatorLease
	Control          Control
	Members          Members
	Owners           *Owners
	Services         func() []string
	Objective        func(service string) time.Duration                      // latency within which answers should arrive
	SlowTime         func(service string) time.Duration                      // for which keys are slow that move without handover data
	AskRecords       func(ctx context.Context, minUptime time.Duration) bool // see Coordinator.askRecords
	Format           func() RecordFormat                                     // newest format of records that all VMs read
	Clock            bootclock.Clock
	Address          string // peer address to which other VMs send load reports
	WriteID          string // write ID prefix unique to this process
}

// NewCoordinator returns a coordinator that starts work when its lease is held.
func NewCoordinator(o Options) *Coordinator {
	return &Coordinator{
		settings: o.Settings, store: o.Store, lease: o.CoordinatorLease, control: o.Control, members: o.Members,
		owners: o.Owners, services: o.Services, objective: o.Objective, slowTime: o.SlowTime, format: o.Format, askRecords: o.AskRecords, clock: o.Clock, address: o.Address, writeID: o.WriteID,
		serviceStates: map[string]*serviceState{}, requestCounts: map[string]*RequestCounts{}, serviceTimes: map[string]serviceTime{},
		inFlight: overload.NewTotals(), rateLimits: ratelimit.NewBoard(), wake: make(chan struct{}, 1),
	}
}

// idleTick is how often a VM that does not coordinate checks whether it holds the
// coordinator lease.
const idleTick = 200 * time.Millisecond

// Run coordinates until ctx ends, then waits for its calls to end.
func (c *Coordinator) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	pause, publishedIn := idleTick, uint64(0)
	for c.waitForTick(ctx, pause) {
		if !c.lease.Held() {
			c.dropServiceStates()
			pause = idleTick
			continue
		}
		if era := c.store.Era(); pause == idleTick || era != publishedIn {
			publishedIn = era
			calls.Go(func() { c.publishAddress(ctx) })
		}
		pause = c.settings.Tick
		for _, service := range c.services() {
			c.tick(ctx, service, &calls)
		}
	}
}

// waitForTick waits for the next tick or until a record was written.
func (c *Coordinator) waitForTick(ctx context.Context, d time.Duration) bool {
	alive, _ := wait.ForSignal(ctx, d, c.wake)
	return alive
}

// publishAddress writes the address to which other VMs send load reports, to a row
// of the table of owners records. This is not the coordinator row.
func (c *Coordinator) publishAddress(ctx context.Context) {
	for c.lease.Held() {
		row, err := c.store.Get(ctx, c.settings.Table, coordinatorKey)
		if err == nil && string(row.Value) != c.address {
			_, err = c.store.Commit(ctx, []rows.Write{{Table: c.settings.Table, Key: coordinatorKey, Expect: row.Version, Value: []byte(c.address)}})
		}
		if err == nil || !wait.For(ctx, commitRetryInterval) {
			return
		}
	}
}

// dropServiceStates discards the state of all services: another VM may coordinate
// now.
func (c *Coordinator) dropServiceStates() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.serviceStates)
	c.recovery = recovery{}
}

func (c *Coordinator) tick(ctx context.Context, service string, calls *sync.WaitGroup) {
	svc := c.serviceState(ctx, service)
	if svc == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	svc.leases.SetLongLeases(c.lease.LongLeasesAllowed())
	svc.leases.setSlowTime(c.slowTime(service))
	for _, batch := range groupIntoBatches(svc.leases.Orders(now, c.members.State)) {
		calls.Go(func() { c.sendBatch(ctx, svc, batch) })
	}
	if svc.committing || now < svc.pausedUntil {
		return
	}
	if svc.era < c.store.Era() {
		delete(c.serviceStates, service) // the restored store has another record
		return
	}
	next, reason := c.next(now, svc)
	if reason == "" {
		return
	}
	next.raiseTokens()
	svc.committing = true
	c.writeCount++
	next.Era = svc.era
	next.WriteID = fmt.Sprintf("%s/%d", c.writeID, c.writeCount)
	version := svc.leases.version
	calls.Go(func() { c.commit(ctx, svc, next, version, reason) })
}

// serviceState returns the state of a service. It reads the record if the service has
// no state yet.
func (c *Coordinator) serviceState(ctx context.Context, service string) *serviceState {
	c.mu.Lock()
	svc := c.serviceStates[service]
	c.mu.Unlock()
	if svc != nil {
		return svc
	}
	row, err := c.store.Get(ctx, c.settings.Table, service)
	if err != nil {
		slog.Warn("keyspace: cannot read the owners record", "service", service, "error", err.Error())
		return nil
	}
	record, err := c.readRecord(row)
	if err != nil {
		slog.Error("keyspace: cannot use the owners record", "service", service, "version", row.Version, "error", err.Error())
		return nil
	}
	era, inherited := max(c.store.Era(), rows.Era(row.Version)), row.Version
	if record.restored(row.Version) || row.Version == 0 && era > 0 {
		if record, err = c.recoverRecord(ctx, service, record); err != nil {
			return nil
		}
		inherited = max(row.Version, rows.VersionIn(era, 0))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	svc = &serviceState{service: service, era: era, leases: NewLeaseTracker(c.settings.Timing, record, row.Version, inherited, now, c.inheritedLease())}
	c.serviceStates[service] = svc
	slog.Info("keyspace: coordinating", "service", service, "version", row.Version, "ranges", len(record.Ranges))
	return svc
}

// inheritedLease returns the longest lease on keys that an earlier coordinator may have
// granted.
func (c *Coordinator) inheritedLease() time.Duration {
	if c.lease.LongLeasesOutstanding() {
		return c.settings.Timing.LongLease
	}
	return c.settings.Timing.Lease
}

// readRecord decodes the owners record in a row and checks it.
func (c *Coordinator) readRecord(row rows.Row) (Record, error) {
	if row.Version == 0 {
		return Record{}, nil
	}
	record, err := DecodeRecord(row.Value, row.Version)
	if err == nil && len(record.Ranges) > 0 && !record.covers(c.settings.Keys) {
		err = fmt.Errorf("the owners record does not cover all %d keys", c.settings.Keys)
	}
	return record, err
}

// next returns the record to write and the reason. An empty reason means that no
// write is needed.
func (c *Coordinator) next(now time.Duration, svc *serviceState) (Record, string) {
	members := c.withReportedCapacity(c.members.Members(svc.service))
	if len(members) == 0 {
		return Record{}, ""
	}
	if svc.membersSince == 0 {
		svc.membersSince = now
	}
	next := svc.leases.record.clone()
	reason := ""
	if svc.leases.applyProgress(now, &next) {
		reason = "orders ended"
	}
	if svc.leases.takeOverRanges(&next) {
		return next, "took over"
	}
	if len(next.Ranges) == 0 {
		if now-svc.membersSince < c.settings.FirstPlanWait {
			return Record{}, ""
		}
		_, slow := c.planners(now, svc, members)
		next.Ranges = slow.initialRanges()
		return next, "first division"
	}
	mustMove := func(r *Range) bool { return c.mustMove(now, svc, r) }
	if slices.ContainsFunc(next.Ranges, func(r Range) bool { return mustMove(&r) }) {
		_, p := c.planners(now, svc, members)
		p.computeLoads(next.Ranges)
		terminated := func(h Holder) bool { return c.members.State(h) == Terminated }
		if ranges, changed := p.reassign(next.Ranges, mustMove, terminated); changed {
			next.Ranges = ranges
			return next, "owners left"
		}
	}
	movesDone := !next.hasPending()
	if now-svc.plannedAt >= c.settings.PlanInterval && (movesDone || now-svc.movedAt > c.settings.MoveWait) {
		svc.plannedAt = now
		if ranges, why := c.rebalance(now, svc, members, next.Ranges, movesDone); why != "" {
			next.Ranges, reason, svc.movedAt = ranges, why, now
		}
	}
	if reason != "" {
		next.Ranges, _ = mergeAdjacent(next.Ranges, svc.leases.acknowledged)
	}
	return next, reason
}

// rebalance moves keys to balance load: at once if a server is overloaded by the
// requests of the last second, and, once all earlier moves have ended, if the last seconds show a
// lasting imbalance. One plan does both: a few overloaded keys must not put off the rest.
func (c *Coordinator) rebalance(now time.Duration, svc *serviceState, members []Member, ranges []Range, movesDone bool) ([]Range, string) {
	fast, slow := c.planners(now, svc, members)
	return rebalance(fast, slow, c.settings.Plan.Overloaded, ranges, movesDone)
}

// rebalance moves keys by the fast planner, which acts above the utilization overloaded, and by the
// slow one if movesDone. It returns the reason, empty if nothing moves.
func rebalance(fast, slow *planner, overloaded float64, ranges []Range, movesDone bool) (next []Range, reason string) {
	fast.settings.Busy = overloaded
	fast.computeLoads(ranges)
	next, changed := fast.balance(ranges)
	if changed {
		reason = "overload"
	}
	if !movesDone {
		return next, reason
	}
	slow.computeLoads(next)
	next, changed = slow.balance(next)
	switch {
	case !changed:
	case reason == "":
		reason = "load"
	default:
		reason = "overload, load"
	}
	return next, reason
}

// unavailable reports whether a server must not receive keys: it is not serving, or
// it is unresponsive.
func (c *Coordinator) unavailable(now time.Duration, svc *serviceState, h Holder) bool {
	return c.members.State(h) != Serving || svc.leases.unresponsiveFor(now, h) > c.settings.Timing.UnresponsiveTimeout
}

// mustMove reports whether a range needs another owner. A responsive owner that
// drains keeps its keys until it has acknowledged them under their current token:
// from then on a release is known to take effect after all older grants.
func (c *Coordinator) mustMove(now time.Duration, svc *serviceState, r *Range) bool {
	if !c.unavailable(now, svc, r.Owner) {
		return false
	}
	responsive := c.members.State(r.Owner) == Draining && svc.leases.unresponsiveFor(now, r.Owner) <= c.settings.Timing.UnresponsiveTimeout
	return r.Pending || !responsive || svc.leases.acknowledged(r)
}

// planners returns a planner for the fast and one for the slow load profile.
func (c *Coordinator) planners(now time.Duration, svc *serviceState, members []Member) (fast, slow *planner) {
	available := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return c.unavailable(now, svc, m.Holder) })
	available = withoutCold(available)
	fastProfile, slowProfile := c.requestCountsOf(svc.service).profiles(now, c.settings.Keys)
	fast, slow = newPlanner(c.settings.Plan, fastProfile, available), newPlanner(c.settings.Plan, slowProfile, available)
	fast.acknowledged, slow.acknowledged = svc.leases.acknowledged, svc.leases.acknowledged
	fast.maxRanges = maxRanges(c.settings.RecordBytes, members)
	slow.maxRanges = fast.maxRanges
	return fast, slow
}

// minWarmShare is the share of all slots that warm servers must have for cold ones to get no keys.
const minWarmShare = 0.5

// withoutCold leaves out cold servers if the warm ones can do without them. No other server may run the
// requests for their keys, so one key that becomes busy would exceed their warm-up rate
// before its owner is told to admit less.
func withoutCold(members []Member) []Member {
	warm := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.WarmupRate > 0 })
	if float64(slotsOf(warm)) < minWarmShare*float64(slotsOf(members)) {
		return members
	}
	return warm
}

func slotsOf(members []Member) (slots int) {
	for _, m := range members {
		slots += m.Slots
	}
	return slots
}
