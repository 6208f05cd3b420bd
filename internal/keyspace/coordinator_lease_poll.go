package keyspace

import (
	"context"
	"time"

	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/wait"
)

// How VMs that do not coordinate detect that the coordinator lease is free.

// waitForPoll waits until the next poll is due. If pollSignal wakes this VM earlier,
// it first waits rank * signaledPollStagger, so that signaled VMs do not poll at the
// same time. It reports whether ctx is still alive.
func (l *CoordinatorLease) waitForPoll(ctx context.Context, d time.Duration) bool {
	alive, signaled := wait.ForSignal(ctx, d, l.pollSignal)
	if signaled {
		return wait.For(ctx, time.Duration(l.rank())*signaledPollStagger)
	}
	return alive
}

const (
	// suspectPollers is how many VMs poll at first when the coordinator does not answer.
	// Their first polls are staggered by rank, signaledPollStagger apart; the first VM
	// that finds the lease expired acquires it.
	suspectPollers      = 8
	signaledPollStagger = 50 * time.Millisecond
	// suspectPollDuration is how long a VM polls often after it suspected the
	// coordinator.
	suspectPollDuration = 3 * time.Second
)

// SuspectCoordinator reports that the coordinator does not answer or no longer
// coordinates. VMs of low rank then poll often. As long as that lasts, so do further
// ones, suspectPollers more every suspectPollDuration: all before them may be lost.
func (l *CoordinatorLease) SuspectCoordinator() {
	rank := l.rank()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held || l.abstains() {
		return
	}
	now := l.clock()
	if l.reportedAt == 0 || now-l.reportedAt >= suspectPollDuration {
		l.reportedSince = now
	}
	l.reportedAt = now
	if lasted := int((now - l.reportedSince) / suspectPollDuration); rank >= suspectPollers*(1+lasted) {
		return
	}
	l.suspectedAt = now
	wait.Signal(l.pollSignal)
}

// suspectsCoordinator reports whether this VM suspects the coordinator and therefore
// polls often.
func (l *CoordinatorLease) suspectsCoordinator() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspectedAt != 0 && l.clock()-l.suspectedAt < suspectPollDuration
}

// firstRanksPollFactor and otherPollFactor are the poll intervals, in renewal
// intervals, of VMs that are not the standby: those of ranks 0 and 1, and all others.
// Others poll often for a while when the coordinator does not accept their reports, see
// SuspectCoordinator.
const (
	firstRanksPollFactor = 12
	otherPollFactor      = 150
)

// pollInterval returns the time until the next read of the coordinator row. The
// standby polls often, and again as soon as the known lease expires.
func (l *CoordinatorLease) pollInterval() time.Duration {
	if l.shouldRenew() {
		return l.settings.RenewInterval
	}
	switch rank := l.rank(); {
	case l.doesNotCoordinate():
		return l.settings.RenewInterval * otherPollFactor
	case l.isStandby(), l.suspectsCoordinator():
		return min(l.settings.RenewInterval, max(l.untilExpiry(), minPollInterval))
	case rank <= 1:
		return min(l.settings.RenewInterval*firstRanksPollFactor, max(l.untilExpiry(), minPollInterval))
	default:
		return l.settings.RenewInterval * otherPollFactor
	}
}

// minPollInterval is the interval between polls of an expired lease, which may be
// renewed at any moment.
const minPollInterval = 50 * time.Millisecond

func (l *CoordinatorLease) doesNotCoordinate() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.abstains()
}

// untilExpiry returns the time until this VM may take over the lease it last read;
// negative once that time has passed.
func (l *CoordinatorLease) untilExpiry() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versionSeenAt + l.takeoverTimeout(l.lastClaim) - l.clock() + time.Millisecond
}

// poll reads the coordinator row and acquires the lease if it is free. It reports
// whether the store answered.
func (l *CoordinatorLease) poll(ctx context.Context) (answered bool) {
	row, err := l.store.Get(ctx, l.table, coordinatorKey)
	if err != nil {
		return false // not logged here: on VMs that read tables from the store, rows.Follower logs failures
	}
	now := l.clock()
	l.mu.Lock()
	l.held = false // a lease held earlier has expired; from here on version is that of any VM's claim
	if row.Version != l.version {
		l.version, l.versionSeenAt = row.Version, now
	}
	last := readClaim(row)
	l.lastClaim = last
	if era := max(l.store.Era(), rows.Era(row.Version)); era != l.era || l.eraSeenAt == 0 {
		l.era, l.eraSeenAt = era, now
	}
	free := l.isFree(now, row.Version, last)
	if free && !l.abstains() {
		l.lastLongLeaseAt = 0
		if l.mayHaveGrantedLongLeases(last, row.Version) {
			l.lastLongLeaseAt = now
		}
	}
	abstains := l.abstains()
	l.mu.Unlock()
	if free && !abstains {
		l.writeClaim(ctx, row.Version, "lead: this VM coordinates")
	}
	return true
}

// isFree reports whether the coordinator row, of a version and with a claim, shows that no VM
// holds the lease. The caller holds the lock.
func (l *CoordinatorLease) isFree(now time.Duration, version uint64, last claim) bool {
	if version == 0 {
		// A copy may lack the row of a VM that still holds the lease.
		return now-l.eraSeenAt > l.takeoverTimeout(last)
	}
	// An earlier process of this VM has terminated, as a VM runs one process at a time.
	if last.VM == l.ownClaim.VM && last.Start != l.ownClaim.Start && !last.restored(version) {
		return true
	}
	return now-l.versionSeenAt > l.takeoverTimeout(last)
}

// takeoverTimeout returns how long after the last claim was first read another VM may
// take over. The standby takes over first: it knows whether long leases are
// outstanding.
func (l *CoordinatorLease) takeoverTimeout(last claim) time.Duration {
	lease := withDrift(l.settings.Duration, l.settings.DriftPerMill)
	if last.Standby != (Process{}) && last.Standby != l.ownClaim.Process {
		lease += l.settings.RenewInterval
	}
	return lease
}
