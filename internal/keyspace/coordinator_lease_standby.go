package keyspace

import (
	"context"
	"log/slog"
	"time"

	"kumquatcleat/internal/wait"
)

// The coordinator names another VM's process as its standby. It gives long leases
// only with the consent of the standby that the row names, and a standby consents
// only while it does not reach the store either. So a standby that takes over knows
// whether long leases may be out, without a word from its predecessor: keys of
// servers that fell silent wait for their usual lease alone. Every other VM that
// takes over, and a standby that was started again, has to assume long ones.

// StandbyRequest is what a coordinator asks its standby.
type StandbyRequest struct {
	From       Process `json:"from"`
	LongLeases bool    `json:"long"` // may long leases be given?
}

// StandbyAnswer is what the standby answers.
type StandbyAnswer struct {
	Process Process `json:"process"` // the standby
	Consent bool    `json:"consent"`
}

// AskStandby asks the VM that should stand by for this one.
type AskStandby func(ctx context.Context, q StandbyRequest) (StandbyAnswer, error)

const (
	// standbyCheckInterval spaces questions to a standby in calm times, so that a lost one
	// is replaced before it is needed.
	standbyCheckInterval = time.Second
	// consentRetryInterval spaces questions for consent: a few fit into what is left of the
	// right when the store falls silent.
	consentRetryInterval = 50 * time.Millisecond
	// standbyTimeout is how long a VM counts as standby after it was asked.
	standbyTimeout = 3 * standbyCheckInterval
)

// MaintainStandby keeps a standby while this VM coordinates, until ctx ends.
func (l *CoordinatorLease) MaintainStandby(ctx context.Context) {
	pause := standbyCheckInterval
	for l.waitForStandbyCheck(ctx, pause) {
		pause = standbyCheckInterval
		if l.Held() && l.askStandbyOnce(ctx) {
			pause = consentRetryInterval
		}
	}
}

// askStandbyOnce asks the standby and reports whether the store is silent.
func (l *CoordinatorLease) askStandbyOnce(ctx context.Context) bool {
	degraded, named := l.degradedState()
	answer, err := l.askStandby(ctx, StandbyRequest{From: l.self.Process, LongLeases: degraded})
	if err != nil {
		answer = StandbyAnswer{} // none: the asking side logs why
	}
	l.handleStandbyAnswer(answer, degraded, named)
	return degraded
}

// waitForStandbyCheck waits for the next question, or for the store's silence.
func (l *CoordinatorLease) waitForStandbyCheck(ctx context.Context, d time.Duration) bool {
	alive, _ := wait.ForSignal(ctx, d, l.standbySignal)
	return alive
}

// degradedState returns whether the store is silent, and the standby that the row names.
func (l *CoordinatorLease) degradedState() (degraded bool, named Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeDegraded, l.namedStandby
}

// handleStandbyAnswer takes in what the standby handleStandbyAnswer. named is whom the row named when it
// was asked: consent of another VM does not count.
func (l *CoordinatorLease) handleStandbyAnswer(answer StandbyAnswer, degraded bool, named Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextStandby != answer.Process && !degraded {
		slog.Info("lead: standby", "vm", answer.Process.VM, "start", answer.Process.Start)
		l.nextStandby = answer.Process
	}
	if !answer.Consent || !degraded || !l.storeDegraded || named == (Process{}) || answer.Process != named || l.namedStandby != named {
		return
	}
	if !l.standbyConsent {
		slog.Info("lead: long leases, the standby does not reach the store either", "standby", named.VM)
	}
	l.standbyConsent, l.lastLongLeaseAt = true, l.clock()
}

// prepareClaim makes the next claim and returns the standby that it names. Until the
// claim is answered, whom the row names is not known if that changes.
func (l *CoordinatorLease) prepareClaim() Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Count++
	l.self.Standby = l.nextStandby
	l.self.LongLeases = l.longLeasesOutstandingLocked()
	if l.namedStandby != l.nextStandby {
		l.namedStandby, l.standbyConsent = Process{}, false
	}
	return l.nextStandby
}

// longLeasesOutstandingLocked reports whether longLeasesOutstandingLocked leases may be out. The caller holds the lock.
func (l *CoordinatorLease) longLeasesOutstandingLocked() bool {
	return l.lastLongLeaseAt != 0 && l.clock()-l.lastLongLeaseAt < withDrift(l.settings.LongLease, l.settings.DriftPerMill)+longGrantMargin
}

// longGrantMargin covers a long grant's way to its server.
const longGrantMargin = time.Second

// mayHaveGivenLongLeases reports whether the holder of the last claim may have given long leases
// that are still out. The caller holds the lock.
func (l *CoordinatorLease) mayHaveGivenLongLeases(last claim) bool {
	return last.LongLeases || last.Standby != l.self.Process || l.consentedTo == last.Process
}

// HandleStandbyRequest answers a coordinator as its standby.
func (l *CoordinatorLease) HandleStandbyRequest(ctx context.Context, q StandbyRequest) StandbyAnswer {
	begins := !l.isStandby()
	l.mu.Lock()
	l.lastStandbyRequestAt = l.clock()
	if begins {
		wait.Signal(l.pollSignal)
	}
	answer := StandbyAnswer{Process: l.self.Process}
	refuse := !q.LongLeases || l.held || l.resigned
	l.mu.Unlock()
	if refuse || l.reachesStore(ctx) {
		return answer
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held || l.resigned {
		return answer
	}
	l.consentedTo, answer.Consent = q.From, true
	return answer
}

// reachesStore reports whether the store answers within the time after which a
// coordinator counts it as silent.
func (l *CoordinatorLease) reachesStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, l.settings.DegradedAfter)
	defer cancel()
	_, err := l.store.Get(ctx, l.table, coordinatorKey)
	return err == nil
}

// isStandby reports whether a coordinator asked lately.
func (l *CoordinatorLease) isStandby() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastStandbyRequestAt != 0 && l.clock()-l.lastStandbyRequestAt < standbyTimeout
}
