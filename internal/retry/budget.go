package retry

import (
	"fmt"
	"sync"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

// BudgetSettings configures the retries that one VM sends to one service.
type BudgetSettings struct {
	// Share is how many retries each successful request earns. Default 0.1, from 0 to 1.
	Share float64 `json:"share"`
	// Reserve is the initial budget and its upper bound, in retries. Default
	// 10, at least 1.
	Reserve float64 `json:"reserve"`
	// Attempts is the maximum number of attempts per request, including the first.
	// Default 3, from 1 to 10.
	Attempts int `json:"attempts"`
	// Backoff is the maximum wait before the second attempt, in milliseconds;
	// it doubles for each further attempt. Default 4, at least 1.
	Backoff config.Milliseconds `json:"backoff_ms"`
	// MaxBackoff bounds the doubling, in milliseconds. Default 250, at least
	// the backoff.
	MaxBackoff config.Milliseconds `json:"max_backoff_ms"`
}

// maxAttempts bounds the attempts setting: with doubling backoff, further attempts
// would fall after the caller's deadline.
const maxAttempts = 10

// DefaultBudgetSettings returns the default of every field.
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
	if s.Attempts < 1 || s.Attempts > maxAttempts {
		return fmt.Errorf("attempts: %d is not allowed; want 1 to %d", s.Attempts, maxAttempts)
	}
	if s.Backoff < 1 {
		return fmt.Errorf("backoff_ms: %d is not allowed; want at least 1", s.Backoff)
	}
	if s.MaxBackoff < s.Backoff {
		return fmt.Errorf("max_backoff_ms: %d is not allowed; want at least backoff_ms, %d", s.MaxBackoff, s.Backoff)
	}
	return nil
}

// BudgetPolicy is a retry budget. Every success adds Share to the budget and every
// retry takes 1 from it, except the redirect of a first attempt. So the number of other
// retries never exceeds Reserve + Share x successes. During an outage nothing succeeds
// and only the reserve is available. Each service has its own policy, so an outage of
// one service does not use up the budget of another. It is safe for concurrent use.
type BudgetPolicy struct {
	settings BudgetSettings
	random   func() float64 // in [0, 1)

	lock   sync.Mutex // guards budget and random
	budget float64    // remaining retries
}

// NewBudgetPolicy returns a policy with a full reserve. random returns a number in
// [0, 1); it is called with the policy's lock held.
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
	if a.Number >= p.settings.Attempts || !isRetryable(a) {
		return false, 0
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	wait = p.jitteredBackoff(a.Number)
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

// Left returns the remaining budget, in retries.
func (p *BudgetPolicy) Left() float64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.budget
}

// isRedirect reports whether the first attempt went to a server that no longer owns
// the key. The retry at the new owner costs no budget: the old owner did no work,
// and a move of many keys would otherwise use up the whole budget. If a later
// attempt gets the same answer, its retry does cost budget.
func isRedirect(a Attempt) bool {
	return a.Kind == fault.NotOwner && a.Number == 1
}

// jitteredBackoff returns a random wait between half and all of the exponential
// backoff. Without jitter, requests that failed together would be retried together.
func (p *BudgetPolicy) jitteredBackoff(attempt int) time.Duration {
	longest := p.settings.Backoff.Duration() << (attempt - 1)
	longest = min(longest, p.settings.MaxBackoff.Duration())
	return time.Duration(float64(longest) * (1 + p.random()) / 2)
}
