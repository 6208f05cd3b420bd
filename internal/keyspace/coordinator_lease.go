package keyspace

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"kumquatcleat/internal/bootclock"
	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/wait"
)

// CoordinatorLeaseSettings holds the durations of the coordinator lease.
type CoordinatorLeaseSettings struct {
	// Duration is how long the lease lasts, counted from before the write that
	// renewed it.
	Duration time.Duration
	// RenewInterval is the interval between renewals.
	RenewInterval time.Duration
	// DegradedAfter is how long the store may take to answer a renewal before key
	// leases are lengthened: the coordinator lease may expire before the next
	// renewal succeeds.
	DegradedAfter time.Duration
	// CallTimeout is the timeout of a renewal.
	CallTimeout time.Duration
	// LongLease is the longest key lease that a coordinator grants.
	LongLease time.Duration
	// DriftPerMill is the maximum clock drift between two VMs, in thousandths.
	DriftPerMill int64
}

// Process identifies one run of the router process on a VM.
type Process struct {
	VM    string `json:"vm"`
	Start string `json:"start"`
}

// CoordinatorLease holds or tries to acquire the lease that allows a VM to
// coordinate. The lease is a row in the store, the coordinator row. Its holder counts
// the duration from before the write that renewed it; every other VM counts it from
// the moment it first read the row version. So no two VMs hold the lease at the same
// time.
type CoordinatorLease struct {
	settings CoordinatorLeaseSettings
	store    rows.Store
	table    string
	// ownClaim is the claim that this VM last sent. Its Process never changes; the
	// other fields are used only by the goroutine that calls Run, and changed under
	// mu.
	ownClaim claim
	clock    bootclock.Clock
	// rank returns this VM's position among the VMs that may coordinate. Low ranks
	// poll often.
	rank func() int
	// askStandby sends a request to the VM chosen as standby.
	askStandby AskStandby

	mu            sync.Mutex // guards the fields below
	version       uint64     // of the coordinator row: as written by this VM while held, else as last read
	expiresAt     time.Duration
	versionSeenAt time.Duration // when version was first read
	held          bool
	resigned      bool // the process stops
	ineligible    bool // see SetEligible
	// storeDegraded reports that the last claim has been unanswered for DegradedAfter,
	// or failed other than by a conflict.
	storeDegraded bool
	// lastLongLeaseAt is the latest time at which long leases may have been granted,
	// either by this VM while the store was degraded or by a predecessor. Zero: no
	// long lease can be outstanding.
	lastLongLeaseAt time.Duration

	// era is that of the store when the coordinator row was last read, eraSeenAt when it was
	// first read in that era.
	era       uint64
	eraSeenAt time.Duration

	lastClaim   claim         // in the coordinator row as last read
	suspectedAt time.Duration // when this VM last began to poll often, as the coordinator did not answer; 0: never
	// reportedAt is when SuspectCoordinator was last called, reportedSince when it was first
	// called in the current series of calls.
	reportedAt, reportedSince time.Duration

	standbySignal chan struct{} // wakes MaintainStandby
	pollSignal    chan struct{} // wakes Run: this VM must poll often

	nextStandby    Process // standby that the next claim names
	namedStandby   Process // standby that the coordinator row is certain to name; empty while unknown
	standbyConsent bool    // namedStandby consented to long leases while the store is degraded
	// State of this VM as the standby of another:
	lastStandbyRequestAt time.Duration // when a coordinator last sent a request
	consentedTo          Process       // coordinator whose long leases this VM consented to
}

// coordinatorKey is the key of two rows: the coordinator row, which holds the claim
// on the coordinator lease, and a row in the table of owners records, which holds the
// coordinator's peer address.
const coordinatorKey = "coordinator"

// NewCoordinatorLease returns a lease that is not held.
func NewCoordinatorLease(s CoordinatorLeaseSettings, store rows.Store, table string, self Process, clock bootclock.Clock, rank func() int, askStandby AskStandby) *CoordinatorLease {
	return &CoordinatorLease{settings: s, store: store, table: table, ownClaim: claim{Process: self}, clock: clock, rank: rank, askStandby: askStandby, standbySignal: make(chan struct{}, 1), pollSignal: make(chan struct{}, 1)}
}

// Held reports whether this VM may coordinate now. Callers check it again right
// before sending each order.
func (l *CoordinatorLease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.clock() < l.expiresAt
}

// LongLeasesAllowed reports whether long leases may be granted: the store did not
// answer the last renewal in time, and the standby, which cannot reach the store
// either, consented.
func (l *CoordinatorLease) LongLeasesAllowed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeDegraded && l.standbyConsent
}

// LongLeasesOutstanding reports whether long leases may be outstanding, granted by
// this VM while the store was degraded or by a predecessor.
func (l *CoordinatorLease) LongLeasesOutstanding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.longLeasesOutstandingLocked()
}

// WriteCondition returns the write condition that makes a commit fail once another VM
// coordinates. It returns false if this VM does not hold the lease as far as it
// knows.
func (l *CoordinatorLease) WriteCondition() (rows.Write, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return rows.Write{}, false
	}
	return rows.Write{Table: l.table, Key: coordinatorKey, Expect: l.version, CheckOnly: true}, true
}

// Run acquires and renews the lease until ctx ends.
func (l *CoordinatorLease) Run(ctx context.Context) {
	pause := time.Duration(0)
	if l.rank() > maxInitialPollRank {
		pause = l.pollInterval()
	}
	for l.waitForPoll(ctx, pause) {
		l.releaseIfIneligible(ctx)
		if l.shouldRenew() {
			sent := l.clock()
			l.renew(ctx)
			pause = l.settings.RenewInterval - (l.clock() - sent)
			continue
		}
		answered := l.poll(ctx)
		pause = l.pollInterval()
		if !answered {
			pause = max(pause, l.settings.RenewInterval)
		}
	}
}

// releaseIfIneligible gives up the lease if this VM holds it and may not coordinate.
func (l *CoordinatorLease) releaseIfIneligible(ctx context.Context) {
	l.mu.Lock()
	release := l.held && l.ineligible
	l.mu.Unlock()
	if !release {
		return
	}
	if err := l.release(ctx); err != nil {
		slog.Warn("lead: give up the lease failed, it expires", "error", err.Error())
	}
}

// maxInitialPollRank is the highest rank that polls right after its start. Standbys and
// VMs that suspect the coordinator poll often anyway.
const maxInitialPollRank = 3

// shouldRenew reports whether this VM held the lease last, as far as it knows, and
// the lease expired at most one lease duration ago. Until then it keeps renewing.
func (l *CoordinatorLease) shouldRenew() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.clock() < l.expiresAt+l.settings.Duration
}

// SetEligible tells whether this VM may coordinate: one that reaches no server can't assign
// keys. If it may not, it gives up the lease.
func (l *CoordinatorLease) SetEligible(eligible bool) {
	l.mu.Lock()
	l.ineligible = !eligible
	l.mu.Unlock()
	wait.Signal(l.pollSignal)
}

// abstains reports whether this VM does not coordinate. The caller holds the lock.
func (l *CoordinatorLease) abstains() bool { return l.resigned || l.ineligible }

// Resign gives up the lease for good.
func (l *CoordinatorLease) Resign(ctx context.Context) error {
	l.mu.Lock()
	l.resigned = true
	l.mu.Unlock()
	return l.release(ctx)
}

// release deletes the coordinator row so that another VM can take over without
// waiting. While long leases may be outstanding it leaves the row in place and lets
// the lease expire.
func (l *CoordinatorLease) release(ctx context.Context) error {
	l.mu.Lock()
	held, version := l.held, l.version
	longLeases := l.longLeasesOutstandingLocked()
	l.held = false
	l.mu.Unlock()
	if !held || longLeases {
		return nil
	}
	_, err := l.store.Commit(ctx, []rows.Write{{Table: l.table, Key: coordinatorKey, Expect: version, Delete: true}})
	if err != nil {
		return fmt.Errorf("lead: resign: delete the coordinator row: %w", err)
	}
	slog.Info("lead: gave up the lease")
	return nil
}
