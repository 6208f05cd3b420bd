package keyspace

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"kumquatcleat/internal/bootclock"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/wait"
)

// Control gives orders to servers.
type Control interface {
	// Grant gives keys. guard is asked right before the call is sent.
	Grant(ctx context.Context, order Order, guard func() bool) Result
	// Release takes keys back and returns when no work on them runs any more.
	Release(ctx context.Context, order Order, guard func() bool) Result
}

// Members tells which servers of a service may own keys and what is known of
// holders.
type Members interface {
	Members(service string) []Member
	State(h Holder) ServerState
}

// CoordinatorSettings are the durations and thresholds of a coordinator.
type CoordinatorSettings struct {
	CoordinatorLease CoordinatorLeaseSettings
	Timing           Timing
	Plan             PlanSettings
	// Tick is how often orders that are due are looked for.
	Tick time.Duration
	// PlanInterval spaces the plans that move keys for load alone.
	PlanInterval time.Duration
	// MoveWait is how long moves for load wait for those that are under way. A move
	// from a silent server takes seconds and must not hold the others up.
	MoveWait time.Duration
	// FirstPlanWait lets servers announce themselves before keys are divided.
	FirstPlanWait time.Duration
	// ReleaseTimeout bounds a release, which waits for running work.
	ReleaseTimeout time.Duration
	// Keys is how many keys there are.
	Keys uint32
	// Table is the store's table of records.
	Table string
}

// Coordinator keeps the records of all keyed services while this VM has the
// right to, and does nothing else.
type Coordinator struct {
	settings CoordinatorSettings
	store    rows.Store
	lead     *CoordinatorLease
	control  Control
	members  Members
	owners   *Owners
	services func() []string
	clock    bootclock.Clock
	address  string
	writeID  string

	mu      sync.Mutex // owns the fields below
	desks   map[string]*desk
	weights map[string]*Weights
	speeds  map[string]speed // by server
	writes  uint64

	wake chan struct{} // a record was written: orders are due
}

// desk is what the coordinator does for one service.
type desk struct {
	service    string
	ledger     *Ledger
	committing bool
	seenAt     time.Duration // when members were first seen
	plannedAt  time.Duration
	movedAt    time.Duration // when moves for load last began
}

// Options are what a Coordinator works with. All are needed.
type Options struct {
	Settings         CoordinatorSettings
	Store            rows.Store
	CoordinatorLease *CoordinatorLease
	Control          Control
	Members          Members
	Owners           *Owners
	Services         func() []string
	Clock            bootclock.Clock
	Address          string // where other VMs report to
	WriteID          string // prefix that no other process uses
}

// NewCoordinator returns a coordinator that waits for its right.
func NewCoordinator(o Options) *Coordinator {
	return &Coordinator{
		settings: o.Settings, store: o.Store, lead: o.CoordinatorLease, control: o.Control, members: o.Members,
		owners: o.Owners, services: o.Services, clock: o.Clock, address: o.Address, writeID: o.WriteID,
		desks: map[string]*desk{}, weights: map[string]*Weights{}, speeds: map[string]speed{},
		wake: make(chan struct{}, 1),
	}
}

// idleTick is how often a VM that does not coordinate looks whether it does.
const idleTick = 200 * time.Millisecond

// Run coordinates until ctx ends. It waits for its calls to end.
func (c *Coordinator) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	pause := idleTick
	for c.pause(ctx, pause) {
		if !c.lead.Held() {
			c.forget()
			pause = idleTick
			continue
		}
		if pause == idleTick {
			calls.Go(func() { c.announce(ctx) })
		}
		pause = c.settings.Tick
		for _, service := range c.services() {
			c.tick(ctx, service, &calls)
		}
	}
}

// pause waits for the next tick, or for a record that was written.
func (c *Coordinator) pause(ctx context.Context, d time.Duration) bool {
	alive, _ := wait.ForSignal(ctx, d, c.wake)
	return alive
}

// announce writes where other VMs report their load to.
func (c *Coordinator) announce(ctx context.Context) {
	for c.lead.Held() {
		row, err := c.store.Get(ctx, c.settings.Table, coordinatorKey)
		if err == nil && string(row.Value) != c.address {
			_, err = c.store.Commit(ctx, []rows.Write{{Table: c.settings.Table, Key: coordinatorKey, Expect: row.Version, Value: []byte(c.address)}})
		}
		if err == nil || !wait.For(ctx, commitRetry) {
			return
		}
	}
}

// forget drops what was known as coordinator: another VM may decide now.
func (c *Coordinator) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.desks)
}

func (c *Coordinator) tick(ctx context.Context, service string, calls *sync.WaitGroup) {
	d := c.desk(ctx, service)
	if d == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	d.ledger.Strain(c.lead.LongLeasesAllowed())
	for _, batch := range batches(d.ledger.Orders(now, c.members.State)) {
		calls.Go(func() { c.carryOut(ctx, d, batch) })
	}
	if d.committing {
		return
	}
	next, reason := c.next(now, d)
	if reason == "" {
		return
	}
	next.raiseTokens()
	d.committing = true
	c.writes++
	next.WriteID = fmt.Sprintf("%s/%d", c.writeID, c.writes)
	version := d.ledger.version
	calls.Go(func() { c.commit(ctx, d, next, version, reason) })
}

// desk returns the desk of a service, reading the record first if it is new.
func (c *Coordinator) desk(ctx context.Context, service string) *desk {
	c.mu.Lock()
	d := c.desks[service]
	c.mu.Unlock()
	if d != nil {
		return d
	}
	row, err := c.store.Get(ctx, c.settings.Table, service)
	if err != nil {
		slog.Warn("keyspace: the record can't be read", "service", service, "error", err.Error())
		return nil
	}
	var record Record
	if row.Version != 0 {
		if record, err = DecodeRecord(row.Value, row.Version); err != nil {
			slog.Error("keyspace: the record can't be read", "service", service, "error", err.Error())
			return nil
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	hold := c.settings.Timing.Lease
	if c.lead.LongLeasesOutstanding() {
		hold = c.settings.Timing.LongLease
	}
	d = &desk{service: service, ledger: NewLedger(c.settings.Timing, record, row.Version, now, hold)}
	c.desks[service] = d
	slog.Info("keyspace: coordinating", "service", service, "version", row.Version, "ranges", len(record.Ranges))
	return d
}

// next returns the record that should be written, and why; an empty reason: none.
func (c *Coordinator) next(now time.Duration, d *desk) (Record, string) {
	members := c.withSpeeds(c.members.Members(d.service))
	if len(members) == 0 {
		return Record{}, ""
	}
	if d.seenAt == 0 {
		d.seenAt = now
	}
	next := d.ledger.record.clone()
	reason := ""
	if d.ledger.settle(now, &next) {
		reason = "orders ended"
	}
	if d.ledger.renewTokens(&next) {
		return next, "took over"
	}
	if len(next.Ranges) == 0 {
		if now-d.seenAt < c.settings.FirstPlanWait {
			return Record{}, ""
		}
		_, slow := c.planners(now, d, members)
		next.Ranges = slow.first()
		return next, "first division"
	}
	unfit := func(r *Range) bool { return c.mustMove(now, d, r) }
	if slices.ContainsFunc(next.Ranges, func(r Range) bool { return unfit(&r) }) {
		_, p := c.planners(now, d, members)
		p.count(next.Ranges)
		ended := func(h Holder) bool { return c.members.State(h) == Terminated }
		if ranges, changed := p.reassign(next.Ranges, unfit, ended); changed {
			next.Ranges = ranges
			return next, "owners left"
		}
	}
	settled := !next.hasPending()
	if now-d.plannedAt >= c.settings.PlanInterval && (settled || now-d.movedAt > c.settings.MoveWait) {
		d.plannedAt = now
		if ranges, why := c.spread(now, d, members, next.Ranges, settled); why != "" {
			next.Ranges, reason, d.movedAt = ranges, why, now
		}
	}
	if reason != "" {
		next.Ranges, _ = join(next.Ranges, d.ledger.granted)
	}
	return next, reason
}

// spread moves keys for load: at once where a server is overloaded by the last
// second's requests, else where the last seconds show a lasting difference and
// all earlier moves have ended.
func (c *Coordinator) spread(now time.Duration, d *desk, members []Member, ranges []Range, settled bool) ([]Range, string) {
	fast, slow := c.planners(now, d, members)
	fast.settings.Busy = c.settings.Plan.Overloaded
	for _, p := range []struct {
		planner *planner
		reason  string
	}{{fast, "overload"}, {slow, "load"}} {
		if p.planner == slow && !settled {
			break
		}
		p.planner.count(ranges)
		if next, changed := p.planner.balance(ranges); changed {
			return next, p.reason
		}
	}
	return ranges, ""
}

// unfit reports whether an owner must not keep its keys.
func (c *Coordinator) unfit(now time.Duration, d *desk, h Holder) bool {
	return c.members.State(h) != Serving || d.ledger.silentFor(now, h) > c.settings.Timing.UnresponsiveTimeout
}

// mustMove reports whether a range needs another owner. One that leaves keeps keys
// until it acknowledged them under their present token: then its release is known
// to come after all grants.
func (c *Coordinator) mustMove(now time.Duration, d *desk, r *Range) bool {
	if !c.unfit(now, d, r.Owner) {
		return false
	}
	answers := c.members.State(r.Owner) == Draining && d.ledger.silentFor(now, r.Owner) <= c.settings.Timing.UnresponsiveTimeout
	return r.Pending || !answers || d.ledger.granted(r)
}

// planners returns planners by the fast and by the slow profile of load.
func (c *Coordinator) planners(now time.Duration, d *desk, members []Member) (fast, slow *planner) {
	fit := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return c.unfit(now, d, m.Holder) })
	fastProfile, slowProfile := c.weightsOf(d.service).profiles(now, c.settings.Keys)
	fast, slow = newPlanner(c.settings.Plan, fastProfile, fit), newPlanner(c.settings.Plan, slowProfile, fit)
	fast.granted, slow.granted = d.ledger.granted, d.ledger.granted
	return fast, slow
}
