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
	From Process `json:"from"`
	Long bool    `json:"long"` // may long leases be given?
}

// StandbyAnswer is what the standby answers.
type StandbyAnswer struct {
	Process Process `json:"process"` // the standby
	Consent bool    `json:"consent"`
}

// AskStandby asks the VM that should stand by for this one.
type AskStandby func(ctx context.Context, q StandbyRequest) (StandbyAnswer, error)

const (
	// standbyInterval spaces questions to a standby in calm times, so that a lost one
	// is replaced before it is needed.
	standbyInterval = time.Second
	// consentInterval spaces questions for consent: a few fit into what is left of the
	// right when the store falls silent.
	consentInterval = 50 * time.Millisecond
	// standbyMemory is how long a VM counts as standby after it was asked.
	standbyMemory = 3 * standbyInterval
)

// MaintainStandby keeps a standby while this VM coordinates, until ctx ends.
func (l *CoordinatorLease) MaintainStandby(ctx context.Context) {
	pause := standbyInterval
	for l.pause(ctx, pause) {
		pause = standbyInterval
		if l.Held() && l.askOnce(ctx) {
			pause = consentInterval
		}
	}
}

// askOnce asks the standby and reports whether the store is silent.
func (l *CoordinatorLease) askOnce(ctx context.Context) bool {
	strained, named := l.strain()
	answer, err := l.ask(ctx, StandbyRequest{From: l.self.Process, Long: strained})
	if err != nil {
		answer = StandbyAnswer{} // none: the asking side logs why
	}
	l.answered(answer, strained, named)
	return strained
}

// pause waits for the next question, or for the store's silence.
func (l *CoordinatorLease) pause(ctx context.Context, d time.Duration) bool {
	alive, _ := wait.ForSignal(ctx, d, l.strains)
	return alive
}

// strain returns whether the store is silent, and the standby that the row names.
func (l *CoordinatorLease) strain() (strained bool, named Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.strained, l.named
}

// answered takes in what the standby answered. named is whom the row named when it
// was asked: consent of another VM does not count.
func (l *CoordinatorLease) answered(answer StandbyAnswer, strained bool, named Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.standby != answer.Process && !strained {
		slog.Info("lead: standby", "vm", answer.Process.VM, "start", answer.Process.Start)
		l.standby = answer.Process
	}
	if !answer.Consent || !strained || !l.strained || named == (Process{}) || answer.Process != named || l.named != named {
		return
	}
	if !l.consent {
		slog.Info("lead: long leases, the standby does not reach the store either", "standby", named.VM)
	}
	l.consent, l.longAt = true, l.clock()
}

// nextClaim makes the next claim and returns the standby that it names. Until the
// claim is answered, whom the row names is not known if that changes.
func (l *CoordinatorLease) nextClaim() Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Count++
	l.self.Standby = l.standby
	l.self.Long = l.long()
	if l.named != l.standby {
		l.named, l.consent = Process{}, false
	}
	return l.standby
}

// long reports whether long leases may be out. The caller holds the lock.
func (l *CoordinatorLease) long() bool {
	return l.longAt != 0 && l.clock()-l.longAt < stretch(l.settings.LongLease, l.settings.DriftPerMill)+longMargin
}

// longMargin covers a long grant's way to its server.
const longMargin = time.Second

// mayBeLong reports whether the holder of the last claim may have given long leases
// that are still out. The caller holds the lock.
func (l *CoordinatorLease) mayBeLong(last claim) bool {
	return last.Long || last.Standby != l.self.Process || l.consentedTo == last.Process
}

// HandleStandbyRequest answers a coordinator as its standby.
func (l *CoordinatorLease) HandleStandbyRequest(ctx context.Context, q StandbyRequest) StandbyAnswer {
	begins := !l.standsBy()
	l.mu.Lock()
	l.standsIn = l.clock()
	if begins {
		wait.Signal(l.suspicions)
	}
	answer := StandbyAnswer{Process: l.self.Process}
	refuse := !q.Long || l.held || l.paused
	l.mu.Unlock()
	if refuse || l.reachesStore(ctx) {
		return answer
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held || l.paused {
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

// standsBy reports whether a coordinator asked lately.
func (l *CoordinatorLease) standsBy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.standsIn != 0 && l.clock()-l.standsIn < standbyMemory
}
