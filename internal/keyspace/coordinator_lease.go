package keyspace

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"kumquatcleat/internal/bootclock"
	"kumquatcleat/internal/rows"
)

// CoordinatorLeaseSettings are the durations of the coordinator's lease.
type CoordinatorLeaseSettings struct {
	// Duration is how long the right to coordinate lasts after the write that renewed it.
	Duration time.Duration
	// RenewInterval is the interval at which renewals are sent.
	RenewInterval time.Duration
	// DegradedAfter is how long an answer of the store may take before leases on keys are
	// lengthened: the right may end before the next one.
	DegradedAfter time.Duration
	// CallTimeout is when a renewal without an answer is given up.
	CallTimeout time.Duration
	// LongLease is the longest lease on keys that a coordinator gives.
	LongLease time.Duration
	// DriftPerMill is how much slower a clock may run than another, in thousandths.
	DriftPerMill int64
}

// Process is one start of a VM's process.
type Process struct {
	VM    string `json:"vm"`
	Start string `json:"start"`
}

// CoordinatorLease holds or awaits the right to coordinate. The right is a lease in the
// store: its holder counts it from before the write that renewed it, everyone
// else from the moment at which they saw the row's version, so no two VMs have
// it at once.
type CoordinatorLease struct {
	settings CoordinatorLeaseSettings
	store    rows.Store
	table    string
	self     claim
	clock    bootclock.Clock
	// rank is this VM's place among those that may coordinate; low ones look often.
	rank func() int
	// askStandby asks the VM that should stand by.
	askStandby AskStandby

	mu            sync.Mutex // owns the fields below
	version       uint64     // of the row while held, else of the row last seen
	expiresAt     time.Duration
	versionSeenAt time.Duration // when version was first seen
	held          bool
	resigned      bool
	storeDegraded bool // the last renewal was not answered
	// lastLongLeaseAt is when long leases may last have been given: by this VM under strain,
	// or by a predecessor that may have. Zero: none may be out.
	lastLongLeaseAt time.Duration

	lastClaim   claim         // in the row when it was last read
	suspectedAt time.Duration // when the coordinator was last found not to answer; 0: never

	standbySignal chan struct{} // wakes RunStandby
	pollSignal    chan struct{} // wakes Run: this VM is to look often

	nextStandby    Process // that the next claim names
	namedStandby   Process // that the row names for certain; empty while that is not known
	standbyConsent bool    // of named, to long leases in the present strain
	// As a standby of another VM:
	lastStandbyRequestAt time.Duration // when it was last asked
	consentedTo          Process       // coordinator that it allowed long leases
}

// coordinatorKey is the key of the row that names the coordinator.
const coordinatorKey = "coordinator"

// NewCoordinatorLease returns a lead that is not held.
func NewCoordinatorLease(s CoordinatorLeaseSettings, store rows.Store, table string, self Process, clock bootclock.Clock, rank func() int, askStandby AskStandby) *CoordinatorLease {
	return &CoordinatorLease{settings: s, store: store, table: table, self: claim{Process: self}, clock: clock, rank: rank, askStandby: askStandby, standbySignal: make(chan struct{}, 1), pollSignal: make(chan struct{}, 1)}
}

// Held reports whether this VM may coordinate now. Ask again right before each
// order is sent.
func (l *CoordinatorLease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.clock() < l.expiresAt
}

// LongLeasesAllowed reports whether long leases may be given: the store left the last
// renewal unanswered, and the standby, which does not reach it either, consented.
func (l *CoordinatorLease) LongLeasesAllowed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeDegraded && l.standbyConsent
}

// LongLeasesOutstanding reports whether long leases may be out: given by this VM under strain,
// or by a predecessor.
func (l *CoordinatorLease) LongLeasesOutstanding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.longLeasesOutstandingLocked()
}

// WriteCondition is the check that makes a write fail once another VM coordinates.
func (l *CoordinatorLease) WriteCondition() (rows.Write, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return rows.Write{}, false
	}
	return rows.Write{Table: l.table, Key: coordinatorKey, Expect: l.version, CheckOnly: true}, true
}

// Run takes and renews the right until ctx ends.
func (l *CoordinatorLease) Run(ctx context.Context) {
	pause := time.Duration(0)
	if l.rank() > initialPollers {
		pause = l.pollInterval()
	}
	for l.waitForPoll(ctx, pause) {
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

// initialPollers is how many VMs look at their start, beside those that look often.
const initialPollers = 3

// shouldRenew reports whether this VM coordinated last, by what it knows, and its lease
// ended only lately if at all: it goes on renewing then.
func (l *CoordinatorLease) shouldRenew() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.clock() < l.expiresAt+l.settings.Duration
}

// Resign gives the right up so that another VM takes it without waiting. While
// long leases may be out it only lets the right lapse.
func (l *CoordinatorLease) Resign(ctx context.Context) error {
	l.mu.Lock()
	held, version := l.held, l.version
	long := l.longLeasesOutstandingLocked()
	l.held, l.resigned = false, true
	l.mu.Unlock()
	if !held || long {
		return nil
	}
	_, err := l.store.Commit(ctx, []rows.Write{{Table: l.table, Key: coordinatorKey, Expect: version, Delete: true}})
	if err != nil {
		return fmt.Errorf("lead: resign: %w", err)
	}
	slog.Info("lead: resigned")
	return nil
}
