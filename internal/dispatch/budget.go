package dispatch

import (
	"sync"
	"time"
)

// BudgetSettings bound the retries that all VMs together send to one service.
type BudgetSettings struct {
	Ratio  float64       // retries for each request of the window
	Slack  float64       // additional retries in a window, over all VMs
	Window time.Duration // length of the sliding window
	// Share is the fraction of its allowance that this VM uses, less than one
	// because the numbers of requests and VMs differ from window to window.
	Share float64
}

// budgetBuckets is the number of buckets in a window. The oldest bucket counts in
// full until it is cleared.
const budgetBuckets = 10

// Budget limits retries per service. It counts requests and retries in a sliding
// window. Each VM allows the ratio of its own requests and its share of the slack,
// so VMs need not exchange counts. Safe for concurrent use.
type Budget struct {
	settings BudgetSettings
	vms      func() int
	now      func() time.Time
	mu       sync.Mutex // guards services
	services map[string]*budgetWindow
}

// budgetWindow holds the counts of one service by time bucket.
type budgetWindow struct {
	bucket   int64
	requests [budgetBuckets + 1]float64
	retries  [budgetBuckets + 1]float64
}

// NewBudget returns a budget without any counted requests. vms returns the number of
// VMs that share the slack, 0 if this VM has no share.
func NewBudget(s BudgetSettings, vms func() int, now func() time.Time) *Budget {
	return &Budget{settings: s, vms: vms, now: now, services: map[string]*budgetWindow{}}
}

// Request counts a request.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.bucket%int64(len(w.requests))]++
}

// TakeRetry counts one retry, or returns false when none is left.
func (b *Budget) TakeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	allowed := b.settings.Ratio * sum(w.requests[:])
	if vms := b.vms(); vms > 0 {
		allowed += b.settings.Slack / float64(vms)
	}
	allowed *= b.settings.Share
	if sum(w.retries[:])+1 > allowed {
		return false
	}
	w.retries[w.bucket%int64(len(w.retries))]++
	return true
}

// window returns a service's counts, with expired buckets cleared.
func (b *Budget) window(service string) *budgetWindow {
	bucket := b.now().UnixNano() / (b.settings.Window.Nanoseconds() / budgetBuckets)
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{bucket: bucket}
		b.services[service] = w
	}
	for range min(bucket-w.bucket, int64(len(w.requests))) {
		w.bucket++
		w.requests[w.bucket%int64(len(w.requests))] = 0
		w.retries[w.bucket%int64(len(w.retries))] = 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// Set changes the bounds. The window keeps its initial length.
func (b *Budget) Set(s BudgetSettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.Window = b.settings.Window
	b.settings = s
}
