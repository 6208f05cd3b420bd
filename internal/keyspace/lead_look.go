package keyspace

import (
	"context"
	"time"

	"kumquatcleat/internal/wait"
)

// How VMs that don't coordinate find out that nobody does.

// pauseLooks waits for the next look, or for word that this VM is to look often.
func (l *CoordinatorLease) pauseLooks(ctx context.Context, d time.Duration) bool {
	alive, suspected := wait.ForSignal(ctx, d, l.suspicions)
	if suspected {
		return wait.For(ctx, time.Duration(l.rank())*suspectStep)
	}
	return alive
}

const (
	// suspectRanks is how many VMs look when the coordinator does not answer, each a
	// step after the one before; the first that finds the lease over takes it.
	suspectRanks = 8
	suspectStep  = 50 * time.Millisecond
	// suspectMemory is how long a VM looks often after that.
	suspectMemory = 3 * time.Second
)

// SuspectCoordinator tells that the coordinator does not answer, or coordinates no more.
func (l *CoordinatorLease) SuspectCoordinator() {
	if l.rank() >= suspectRanks {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held || l.paused {
		return
	}
	l.suspectedAt = l.clock()
	wait.Signal(l.suspicions)
}

// suspects reports whether this VM looks often for a coordinator that is lost.
func (l *CoordinatorLease) suspects() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspectedAt != 0 && l.clock()-l.suspectedAt < suspectMemory
}

// firstLook and othersLook are how many renewals pass between looks of VMs that
// stand in for the standby: the first two, and the rest, which look at once when the
// coordinator takes no reports.
const (
	firstLook  = 12
	othersLook = 150
)

// lookInterval spaces the reads of the row: the standby looks often, and again as
// soon as the lease that it knows of is over.
func (l *CoordinatorLease) lookInterval() time.Duration {
	if l.isHeld() {
		return l.settings.RenewInterval
	}
	switch rank := l.rank(); {
	case l.resigned():
		return l.settings.RenewInterval * othersLook
	case l.standsBy(), l.suspects():
		return min(l.settings.RenewInterval, max(l.untilFree(), leastLook))
	case rank <= 1:
		return min(l.settings.RenewInterval*firstLook, max(l.untilFree(), leastLook))
	default:
		return l.settings.RenewInterval * othersLook
	}
}

// leastLook spaces looks at a row whose lease is over: it may just be renewed.
const leastLook = 50 * time.Millisecond

func (l *CoordinatorLease) resigned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paused
}

// untilFree returns when the lease ends that is known of; it may be over.
func (l *CoordinatorLease) untilFree() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seenAt + l.patience(l.last) - l.clock() + time.Millisecond
}

// look reads the row and takes the right when nobody holds it. It reports whether
// the store answered.
func (l *CoordinatorLease) look(ctx context.Context) (answered bool) {
	row, err := l.store.Get(ctx, l.table, coordinatorKey)
	if err != nil {
		return false // the view of the store logs that it does not answer
	}
	now := l.clock()
	l.mu.Lock()
	l.held = false // a right that was held lapsed; from here on version is of any VM's claim
	if row.Version != l.version {
		l.version, l.seenAt = row.Version, now
	}
	last := readClaim(row)
	l.last = last
	// An earlier process of this VM has ended, as a VM runs one at a time.
	ownEarlier := last.VM == l.self.VM && last.Start != l.self.Start
	free := row.Version == 0 || ownEarlier || now-l.seenAt > l.patience(last)
	if free && !l.paused {
		l.longAt = 0
		if row.Version != 0 && l.mayBeLong(last) {
			l.longAt = now
		}
	}
	paused := l.paused
	l.mu.Unlock()
	if free && !paused {
		l.write(ctx, row.Version, "lead: this VM coordinates")
	}
	return true
}

// patience is how long after its last renewal a coordinator is taken for lost. The
// standby goes first: it knows whether long leases are out.
func (l *CoordinatorLease) patience(last claim) time.Duration {
	lease := stretch(l.settings.Duration, l.settings.DriftPerMill)
	if last.Standby != (Process{}) && last.Standby != l.self.Process {
		lease += l.settings.RenewInterval
	}
	return lease
}
