package keyspace

import (
	"context"
	"log/slog"
	"time"

	"kumquatcleat/internal/wait"
)

// The coordinator names another VM's process as its standby. It grants long leases
// only with the consent of the standby that the coordinator row names, and a standby
// consents only while it cannot reach the store either. So a standby that takes over
// knows, without a message from its predecessor, whether long leases may be
// outstanding. If not, the keys of unresponsive servers wait only for their usual
// lease. Every other VM that takes over, and a standby that was restarted, has to
// assume long leases.

// StandbyRequest is the request of a coordinator to its standby.
type StandbyRequest struct {
	From       Process `json:"from"`
	LongLeases bool    `json:"long"` // asks for consent to long leases
}

// StandbyAnswer is the answer of the standby.
type StandbyAnswer struct {
	Process Process `json:"process"` // the standby
	Consent bool    `json:"consent"`
}

// AskStandby sends a request to the VM chosen as this one's standby. It logs if that
// VM does not respond.
type AskStandby func(ctx context.Context, request StandbyRequest) (StandbyAnswer, error)

const (
	// standbyCheckInterval is the interval between requests to the standby while the
	// store answers, so that a lost standby is replaced before it is needed.
	standbyCheckInterval = time.Second
	// consentRetryInterval is the interval between requests for consent. Several fit
	// into the remaining coordinator lease when the store stops answering.
	consentRetryInterval = 50 * time.Millisecond
	// standbyRoleTimeout is how long a VM remains standby after the last request.
	standbyRoleTimeout = 3 * standbyCheckInterval
)

// MaintainStandby keeps a standby assigned while this VM coordinates, until ctx ends.
func (l *CoordinatorLease) MaintainStandby(ctx context.Context) {
	pause := standbyCheckInterval
	for l.waitForStandbyCheck(ctx, pause) {
		pause = standbyCheckInterval
		if l.Held() && l.askStandbyOnce(ctx) {
			pause = consentRetryInterval
		}
	}
}

// askStandbyOnce sends one request to the standby and reports whether the store is
// degraded.
func (l *CoordinatorLease) askStandbyOnce(ctx context.Context) bool {
	degraded, named := l.degradedState()
	answer, err := l.askStandby(ctx, StandbyRequest{From: l.ownClaim.Process, LongLeases: degraded})
	if err != nil {
		answer = StandbyAnswer{} // no standby and no consent; askStandby has logged a VM that did not respond
	}
	l.handleStandbyAnswer(answer, degraded, named)
	return degraded
}

// waitForStandbyCheck waits until the next request is due or the store becomes
// degraded. It reports whether ctx is still alive.
func (l *CoordinatorLease) waitForStandbyCheck(ctx context.Context, d time.Duration) bool {
	alive, _ := wait.ForSignal(ctx, d, l.standbySignal)
	return alive
}

// degradedState returns whether the store is degraded, and the standby that the
// coordinator row names.
func (l *CoordinatorLease) degradedState() (degraded bool, named Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeDegraded, l.namedStandby
}

// handleStandbyAnswer processes an answer of the standby. named is the standby that
// the row named when the request was sent: consent of any other VM does not count.
func (l *CoordinatorLease) handleStandbyAnswer(answer StandbyAnswer, degraded bool, named Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextStandby != answer.Process && !degraded {
		slog.Info("lead: standby changed", "vm", answer.Process.VM, "start", answer.Process.Start)
		l.nextStandby = answer.Process
	}
	if !answer.Consent || !degraded || !l.storeDegraded || named == (Process{}) || answer.Process != named || l.namedStandby != named {
		return
	}
	if !l.standbyConsent {
		slog.Info("lead: granting long leases, the standby cannot reach the store either", "standby", named.VM)
	}
	l.standbyConsent, l.lastLongLeaseAt = true, l.clock()
}

// prepareClaim builds the next claim for an era of the store and returns the standby it names. If the standby
// changes, namedStandby is unknown until the claim is answered.
func (l *CoordinatorLease) prepareClaim(era uint64) Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownClaim.Count++
	l.ownClaim.Era = era
	l.ownClaim.Standby = l.nextStandby
	l.ownClaim.LongLeases = l.longLeasesOutstandingLocked()
	if l.namedStandby != l.nextStandby {
		l.namedStandby, l.standbyConsent = Process{}, false
	}
	return l.nextStandby
}

// longLeasesOutstandingLocked is LongLeasesOutstanding for callers that hold the
// lock.
func (l *CoordinatorLease) longLeasesOutstandingLocked() bool {
	return l.lastLongLeaseAt != 0 && l.clock()-l.lastLongLeaseAt < withDrift(l.settings.LongLease, l.settings.DriftPerMill)+longGrantMargin
}

// longGrantMargin covers the time that a grant with a long lease takes to reach its
// server.
const longGrantMargin = time.Second

// mayHaveGrantedLongLeases reports whether the holder of the last claim, or of one that was
// lost in a restore, may have granted long leases that are still outstanding. version is that
// of the coordinator row. The caller holds the lock.
func (l *CoordinatorLease) mayHaveGrantedLongLeases(last claim, version uint64) bool {
	if version == 0 {
		return l.era > 0 && l.clock()-l.eraSeenAt < withDrift(l.settings.LongLease, l.settings.DriftPerMill)+longGrantMargin
	}
	return last.restored(version) || last.LongLeases || last.Standby != l.ownClaim.Process || l.consentedTo == last.Process
}

// HandleStandbyRequest answers a coordinator whose standby this VM is.
func (l *CoordinatorLease) HandleStandbyRequest(ctx context.Context, request StandbyRequest) StandbyAnswer {
	becomesStandby := !l.isStandby()
	l.mu.Lock()
	l.lastStandbyRequestAt = l.clock()
	if becomesStandby {
		wait.Signal(l.pollSignal)
	}
	answer := StandbyAnswer{Process: l.ownClaim.Process}
	refuse := !request.LongLeases || l.held || l.abstains()
	l.mu.Unlock()
	if refuse || l.reachesStore(ctx) {
		return answer
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held || l.abstains() {
		return answer
	}
	l.consentedTo, answer.Consent = request.From, true
	return answer
}

// reachesStore reports whether the store answers within DegradedAfter.
func (l *CoordinatorLease) reachesStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, l.settings.DegradedAfter)
	defer cancel()
	_, err := l.store.Get(ctx, l.table, coordinatorKey)
	return err == nil
}

// isStandby reports whether a coordinator sent a request within standbyRoleTimeout.
func (l *CoordinatorLease) isStandby() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastStandbyRequestAt != 0 && l.clock()-l.lastStandbyRequestAt < standbyRoleTimeout
}
