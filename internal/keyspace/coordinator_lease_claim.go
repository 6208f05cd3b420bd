package keyspace

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/wait"
)

// claim is the value of the coordinator row.
type claim struct {
	Process
	Count   uint64  `json:"count"`   // makes each renewal write a new row version
	Standby Process `json:"standby"` // long leases need its consent
	// Era is the era of the store in which the claim was written. A row of a newer era with
	// this claim comes from a copy: later claims may be lost.
	Era uint64 `json:"era,omitempty"`
	// LongLeases reports that long leases may be outstanding. Another standby may
	// have consented to them, or an earlier coordinator may have granted them.
	LongLeases bool `json:"long,omitempty"`
}

// readClaim returns the claim in the coordinator row. It returns an empty claim if
// there is no row or the row cannot be decoded.
func readClaim(row rows.Row) claim {
	var found claim
	if row.Version == 0 {
		return found
	}
	if err := json.Unmarshal(row.Value, &found); err != nil {
		slog.Warn("lead: cannot decode the coordinator row", "version", row.Version, "error", err.Error())
	}
	return found
}

// restored reports whether a claim was read from a copy of an earlier era. version is that of
// its row.
func (c *claim) restored(version uint64) bool { return c.Era < rows.Era(version) }

// withDrift lengthens a duration by the maximum clock drift between two VMs.
func withDrift(d time.Duration, perMill int64) time.Duration {
	return d + d*time.Duration(perMill)/1000
}

func (l *CoordinatorLease) renew(ctx context.Context) {
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	l.writeClaim(ctx, version, "")
}

// writeClaim writes a claim that acquires or renews the lease. The lease counts from
// before the call.
func (l *CoordinatorLease) writeClaim(ctx context.Context, expect uint64, message string) {
	sent := l.clock()
	standby := l.prepareClaim(max(l.store.Era(), rows.Era(expect)))
	value, err := json.Marshal(l.ownClaim)
	if err != nil {
		slog.Error("lead: cannot encode the claim", "error", err.Error())
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout)
	defer cancel()
	degradedTimer := time.AfterFunc(l.settings.DegradedAfter, l.markStoreDegraded)
	defer degradedTimer.Stop()
	version, err := l.store.Commit(callCtx, []rows.Write{{Table: l.table, Key: coordinatorKey, Expect: expect, Value: value}})
	degradedTimer.Stop()
	if err == nil && rows.Era(version) != l.ownClaim.Era {
		err = rows.ErrConflict // the store was restored during the call
	}
	l.recordStoreAnswer(err == nil || errors.Is(err, rows.ErrConflict))
	switch {
	case err == nil:
		l.recordAcquired(version, sent, standby)
	case errors.Is(err, rows.ErrConflict):
		l.resolveClaim(ctx, sent)
	default:
		slog.Warn("lead: write of the claim failed, reading the coordinator row for its outcome", "expect", expect, "error", err.Error())
		l.resolveClaim(ctx, sent)
		return
	}
	if message != "" && l.Held() {
		slog.Info(message, "version", version)
	}
}

// markStoreDegraded marks the store as degraded and wakes MaintainStandby to ask the
// standby for its consent to long leases.
func (l *CoordinatorLease) markStoreDegraded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeDegraded = true
	wait.Signal(l.standbySignal)
}

// recordStoreAnswer records whether the store answered a claim: it was written or
// conflicted with another version. Any other error counts as no answer.
func (l *CoordinatorLease) recordStoreAnswer(answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.standbyConsent {
		l.lastLongLeaseAt = l.clock() // long leases were granted until now
	}
	l.storeDegraded = !answered
	l.standbyConsent = l.standbyConsent && l.storeDegraded
	if l.storeDegraded {
		wait.Signal(l.standbySignal)
	}
}

func (l *CoordinatorLease) recordAcquired(version uint64, sent time.Duration, standby Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.abstains() {
		return
	}
	l.version, l.held = version, true
	if l.namedStandby != standby {
		l.namedStandby, l.standbyConsent = standby, false
	}
	l.expiresAt = max(l.expiresAt, sent+l.settings.Duration)
}

// resolveClaim reads the coordinator row to find out whether a claim that was refused
// or not answered was written after all. A row with the claim of this process counts
// as an acknowledgement.
func (l *CoordinatorLease) resolveClaim(ctx context.Context, sent time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout)
	defer cancel()
	row, err := l.store.Get(ctx, l.table, coordinatorKey)
	if err != nil {
		return
	}
	found := readClaim(row)
	if found.Process == l.ownClaim.Process && found.restored(row.Version) {
		l.recordRestored(row.Version)
		return
	}
	if found.Process == l.ownClaim.Process {
		if found.Count == l.ownClaim.Count {
			l.recordAcquired(row.Version, sent, found.Standby)
			return
		}
		l.recordEarlierClaim(row.Version, found.Standby)
		return
	}
	l.recordLost(row.Version, found.VM)
}

// recordRestored records that the coordinator row holds a claim of this process from a copy.
// While the lease has not expired, no other VM can have coordinated since, and this one may
// renew it. After that, another VM may have, whose claim was lost.
func (l *CoordinatorLease) recordRestored(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	slog.Info("lead: the coordinator row comes from a copy", "version", version, "era", rows.Era(version), "held", l.held && now < l.expiresAt)
	l.held = l.held && now < l.expiresAt
	l.namedStandby, l.standbyConsent = Process{}, false
	if l.version != version {
		l.version, l.versionSeenAt = version, now
	}
}

// recordEarlierClaim records that the coordinator row holds an earlier claim of this
// process. The last claim may still be applied, so the standby is known only if both
// claims name the same one.
func (l *CoordinatorLease) recordEarlierClaim(version uint64, standby Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	if standby != l.ownClaim.Standby || standby != l.namedStandby {
		l.namedStandby, l.standbyConsent = Process{}, false
	}
}

func (l *CoordinatorLease) recordLost(version uint64, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held {
		slog.Info("lead: another VM coordinates", "vm", to, "version", version)
	}
	l.held = false
	if l.version != version {
		l.version, l.versionSeenAt = version, l.clock()
	}
}
