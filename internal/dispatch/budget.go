package dispatch

import (
	"sync"
	"time"
)

// BudgetSettings bound the repeats of all VMs towards one service.
type BudgetSettings struct {
	Ratio  float64       // repeats for each request of the window
	Slack  float64       // repeats in a window besides, over all VMs
	Window time.Duration // sliding
	// Share is the share of its allowance that this VM uses: requests and VMs are
	// spread unevenly.
	Share float64
}

// budgetSlots divide the window; the oldest slot still counts in full.
const budgetSlots = 10

// Budget counts requests and repeats of each service in a sliding window. Each
// VM takes the ratio of its own requests and its part of the slack, so no talk
// between VMs is needed. Safe for concurrent use.
type Budget struct {
	settings BudgetSettings
	vms      func() int
	now      func() time.Time
	mu       sync.Mutex // owns services
	services map[string]*budgetWindow
}

// budgetWindow holds counts by slot of time.
type budgetWindow struct {
	slot     int64
	requests [budgetSlots + 1]float64
	repeats  [budgetSlots + 1]float64
}

// NewBudget returns a full budget.
func NewBudget(s BudgetSettings, vms func() int, now func() time.Time) *Budget {
	return &Budget{settings: s, vms: vms, now: now, services: map[string]*budgetWindow{}}
}

// Request counts a request.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.slot%int64(len(w.requests))]++
}

// TakeRetry takes one repeat, or reports that none is left.
func (b *Budget) TakeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	allowed := b.settings.Share * (b.settings.Ratio*sum(w.requests[:]) + b.settings.Slack/float64(max(b.vms(), 1)))
	if sum(w.repeats[:])+1 > allowed {
		return false
	}
	w.repeats[w.slot%int64(len(w.repeats))]++
	return true
}

// window returns a service's counts with the slots that passed cleared.
func (b *Budget) window(service string) *budgetWindow {
	slot := b.now().UnixNano() / (b.settings.Window.Nanoseconds() / budgetSlots)
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{slot: slot}
		b.services[service] = w
	}
	for range min(slot-w.slot, int64(len(w.requests))) {
		w.slot++
		w.requests[w.slot%int64(len(w.requests))] = 0
		w.repeats[w.slot%int64(len(w.repeats))] = 0
	}
	w.slot = max(w.slot, slot)
	return w
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// Set changes the bounds. The window keeps the length that it had at the start.
func (b *Budget) Set(s BudgetSettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.Window = b.settings.Window
	b.settings = s
}
