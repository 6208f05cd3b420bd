package keyspace

import (
	"context"
	"time"

	"kumquatcleat/internal/wait"
)

// How VMs that don't coordinate find out that nobody does.

// waitForPoll waits for the next look, or for word that this VM is to look often.
func (l *CoordinatorLease) waitForPoll(ctx context.Context, d time.Duration) bool {
	alive, suspected := wait.ForSignal(ctx, d, l.pollSignal)
	if suspected {
		return wait.For(ctx, time.Duration(l.rank())*suspectPollStagger)
	}
	return alive
}

const (
	// suspectPollers is how many VMs look when the coordinator does not answer, each a
	// step after the one before; the first that finds the lease over takes it.
	suspectPollers     = 8
	suspectPollStagger = 50 * time.Millisecond
	// suspectPollDuration is how long a VM looks often after that.
	suspectPollDuration = 3 * time.Second
)

// SuspectCoordinator tells that the coordinator does not answer, or coordinates no more.
func (l *CoordinatorLease) SuspectCoordinator() {
	if l.rank() >= suspectPollers {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held || l.resigned {
		return
	}
	l.suspectedAt = l.clock()
	wait.Signal(l.pollSignal)
}

// suspectsCoordinator reports whether this VM looks often for a coordinator that is lost.
func (l *CoordinatorLease) suspectsCoordinator() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspectedAt != 0 && l.clock()-l.suspectedAt < suspectPollDuration
}

// backupPollFactor and otherPollFactor are how many renewals pass between looks of VMs that
// stand in for the standby: the first two, and the rest, which look at once when the
// coordinator takes no reports.
const (
	backupPollFactor = 12
	otherPollFactor  = 150
)

// pollInterval spaces the reads of the row: the standby looks often, and again as
// soon as the lease that it knows of is over.
func (l *CoordinatorLease) pollInterval() time.Duration {
	if l.shouldRenew() {
		return l.settings.RenewInterval
	}
	switch rank := l.rank(); {
	case l.hasResigned():
		return l.settings.RenewInterval * otherPollFactor
	case l.isStandby(), l.suspectsCoordinator():
		return min(l.settings.RenewInterval, max(l.untilExpiry(), minPollInterval))
	case rank <= 1:
		return min(l.settings.RenewInterval*backupPollFactor, max(l.untilExpiry(), minPollInterval))
	default:
		return l.settings.RenewInterval * otherPollFactor
	}
}

// minPollInterval spaces looks at a row whose lease is over: it may just be renewed.
const minPollInterval = 50 * time.Millisecond

func (l *CoordinatorLease) hasResigned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resigned
}

// untilExpiry returns when the lease ends that is known of; it may be over.
func (l *CoordinatorLease) untilExpiry() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versionSeenAt + l.takeoverTimeout(l.lastClaim) - l.clock() + time.Millisecond
}

// poll reads the row and takes the right when nobody holds it. It reports whether
// the store answered.
func (l *CoordinatorLease) poll(ctx context.Context) (answered bool) {
	row, err := l.store.Get(ctx, l.table, coordinatorKey)
	if err != nil {
		return false // the view of the store logs that it does not answer
	}
	now := l.clock()
	l.mu.Lock()
	l.held = false // a right that was held lapsed; from here on version is of any VM's claim
	if row.Version != l.version {
		l.version, l.versionSeenAt = row.Version, now
	}
	last := readClaim(row)
	l.lastClaim = last
	// An earlier process of this VM has ended, as a VM runs one at a time.
	ownEarlier := last.VM == l.self.VM && last.Start != l.self.Start
	free := row.Version == 0 || ownEarlier || now-l.versionSeenAt > l.takeoverTimeout(last)
	if free && !l.resigned {
		l.lastLongLeaseAt = 0
		if row.Version != 0 && l.mayHaveGivenLongLeases(last) {
			l.lastLongLeaseAt = now
		}
	}
	paused := l.resigned
	l.mu.Unlock()
	if free && !paused {
		l.writeClaim(ctx, row.Version, "lead: this VM coordinates")
	}
	return true
}

// takeoverTimeout is how long after its last renewal a coordinator is taken for lost. The
// standby goes first: it knows whether long leases are out.
func (l *CoordinatorLease) takeoverTimeout(last claim) time.Duration {
	lease := withDrift(l.settings.Duration, l.settings.DriftPerMill)
	if last.Standby != (Process{}) && last.Standby != l.self.Process {
		lease += l.settings.RenewInterval
	}
	return lease
}
