package retry

import (
	"fmt"
	"sync"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

// BudgetSettings bound the retries of one VM towards one service.
type BudgetSettings struct {
	// Share is how many retries each success earns. Default 0.1, from 0 to 1.
	Share float64 `json:"share"`
	// Reserve is the most budget that is kept, in retries, and the budget at
	// the start. Default 10, at least 1.
	Reserve float64 `json:"reserve"`
	// Attempts is the most attempts of a request, the first included.
	// Default 3, from 1 to 10.
	Attempts int `json:"attempts"`
	// Backoff is the longest wait before the second attempt, in milliseconds;
	// it doubles for each further one. Default 4, at least 1.
	Backoff config.Milliseconds `json:"backoff_ms"`
	// MaxBackoff bounds the doubling, in milliseconds. Default 250, at least
	// the backoff.
	MaxBackoff config.Milliseconds `json:"max_backoff_ms"`
}

// mostAttempts bounds the setting: doubling waits make further attempts pointless
// within a caller's patience.
const mostAttempts = 10

// DefaultBudgetSettings returns the defaults that each field states.
func DefaultBudgetSettings() BudgetSettings {
	return BudgetSettings{Share: 0.1, Reserve: 10, Attempts: 3, Backoff: 4, MaxBackoff: 250}
}

// Validate returns an error that names the first field outside its range, its
// value and what is allowed.
func (s BudgetSettings) Validate() error {
	if !(s.Share >= 0 && s.Share <= 1) {
		return fmt.Errorf("share: %g is not allowed; want 0 to 1", s.Share)
	}
	if !(s.Reserve >= 1) {
		return fmt.Errorf("reserve: %g is not allowed; want at least 1", s.Reserve)
	}
	if s.Attempts < 1 || s.Attempts > mostAttempts {
		return fmt.Errorf("attempts: %d is not allowed; want 1 to %d", s.Attempts, mostAttempts)
	}
	if s.Backoff < 1 {
		return fmt.Errorf("backoff_ms: %d is not allowed; want at least 1", s.Backoff)
	}
	if s.MaxBackoff < s.Backoff {
		return fmt.Errorf("max_backoff_ms: %d is not allowed; want at least backoff_ms, %d", s.MaxBackoff, s.Backoff)
	}
	return nil
}

// BudgetPolicy retries while budget is left. Every success earns a share of a
// retry and every retry spends one, so retries stay below reserve + share x
// successes: an outage, which has no successes, gets only the reserve. One policy
// serves one service, so that an outage of one spends no other's budget. It is
// safe for concurrent use.
type BudgetPolicy struct {
	settings BudgetSettings
	random   func() float64 // from 0 up to 1

	lock   sync.Mutex // owns budget and random
	budget float64    // retries that may still be made
}

// NewBudgetPolicy returns a policy with a full reserve. random returns a number
// from 0 up to 1 and is called under the policy's lock.
func NewBudgetPolicy(s BudgetSettings, random func() float64) Policy {
	return &BudgetPolicy{settings: s, random: random, budget: s.Reserve}
}

// Succeeded implements Policy.
func (p *BudgetPolicy) Succeeded() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.budget = min(p.budget+p.settings.Share, p.settings.Reserve)
}

// Next implements Policy.
func (p *BudgetPolicy) Next(a Attempt) (again bool, wait time.Duration) {
	if a.Number >= p.settings.Attempts || !mayRepeat(a) {
		return false, 0
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	wait = p.jittered(a.Number)
	if wait >= a.Remaining {
		return false, 0
	}
	if isRedirect(a) {
		return true, wait
	}
	if p.budget < 1 {
		return false, 0
	}
	p.budget--
	return true, wait
}

// Left returns the budget that is left, in retries.
func (p *BudgetPolicy) Left() float64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.budget
}

// isRedirect returns whether a first attempt went to a server that no longer owns
// the key. Asking the new owner spends no budget: the old one did no work, and a
// move of many keys would otherwise spend all of it. A second such answer does.
func isRedirect(a Attempt) bool {
	return a.Kind == fault.NotOwner && a.Number == 1
}

// jittered returns a wait between half and all of the doubled backoff. Without
// the jitter the requests that failed together come back together.
func (p *BudgetPolicy) jittered(attempt int) time.Duration {
	longest := p.settings.Backoff.Duration() << (attempt - 1)
	longest = min(longest, p.settings.MaxBackoff.Duration())
	return time.Duration(float64(longest) * (1 + p.random()) / 2)
}
