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

// claim is the value of the row that names the coordinator.
type claim struct {
	Process
	Count   uint64  `json:"count"`   // makes each renewal a new version
	Standby Process `json:"standby"` // without whose consent no long leases are given
	// LongLeases says that long leases may be out that the standby may not know of.
	LongLeases bool `json:"long,omitempty"`
}

// readClaim returns the claim in the coordinator's row, an empty one where there
// is none or where it can't be read.
func readClaim(row rows.Row) claim {
	var found claim
	if row.Version == 0 {
		return found
	}
	if err := json.Unmarshal(row.Value, &found); err != nil {
		slog.Warn("lead: the coordinator's row can't be read", "version", row.Version, "error", err.Error())
	}
	return found
}

// withDrift lengthens a duration by the drift between two clocks.
func withDrift(d time.Duration, perMill int64) time.Duration {
	return d + d*time.Duration(perMill)/1000
}

func (l *CoordinatorLease) renew(ctx context.Context) {
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	l.writeClaim(ctx, version, "")
}

// writeClaim claims the right. The lease counts from before the call.
func (l *CoordinatorLease) writeClaim(ctx context.Context, expect uint64, message string) {
	sent := l.clock()
	standby := l.prepareClaim()
	value, err := json.Marshal(l.self)
	if err != nil {
		slog.Error("lead: claim can't be encoded", "error", err.Error())
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout)
	defer cancel()
	strain := time.AfterFunc(l.settings.DegradedAfter, l.markStoreDegraded)
	defer strain.Stop()
	version, err := l.store.Commit(callCtx, []rows.Write{{Table: l.table, Key: coordinatorKey, Expect: expect, Value: value}})
	strain.Stop()
	l.recordStoreAnswer(err == nil || errors.Is(err, rows.ErrConflict))
	switch {
	case err == nil:
		l.recordAcquired(version, sent, standby)
	case errors.Is(err, rows.ErrConflict):
		l.resolveClaim(ctx, sent)
	default:
		slog.Warn("lead: the claim was not answered", "expect", expect, "error", err.Error())
		l.resolveClaim(ctx, sent)
		return
	}
	if message != "" && l.Held() {
		slog.Info(message, "version", version)
	}
}

// markStoreDegraded begins a time in which the standby is asked for its consent.
func (l *CoordinatorLease) markStoreDegraded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeDegraded = true
	wait.Signal(l.standbySignal)
}

// recordStoreAnswer takes in whether the store answered a claim.
func (l *CoordinatorLease) recordStoreAnswer(answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.standbyConsent {
		l.lastLongLeaseAt = l.clock() // long leases were given until now
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
	if l.resigned {
		return
	}
	l.version, l.held = version, true
	if l.namedStandby != standby {
		l.namedStandby, l.standbyConsent = standby, false
	}
	l.expiresAt = max(l.expiresAt, sent+l.settings.Duration)
}

// resolveClaim finds out whether an unanswered or refused claim was written after
// all: a claim of this process is as good as an answer.
func (l *CoordinatorLease) resolveClaim(ctx context.Context, sent time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout)
	defer cancel()
	row, err := l.store.Get(ctx, l.table, coordinatorKey)
	if err != nil {
		return
	}
	found := readClaim(row)
	if found.Process == l.self.Process {
		if found.Count == l.self.Count {
			l.recordAcquired(row.Version, sent, found.Standby)
			return
		}
		l.recordEarlierClaim(row.Version, found.Standby)
		return
	}
	l.recordLost(row.Version, found.VM)
}

// recordEarlierClaim takes in that the row holds an recordEarlierClaim claim of this process. The last one
// may still be applied, so the standby is known only if both name the same.
func (l *CoordinatorLease) recordEarlierClaim(version uint64, standby Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	if standby != l.self.Standby || standby != l.namedStandby {
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
