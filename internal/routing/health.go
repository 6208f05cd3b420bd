package routing

import (
	"sync"
	"time"
)

const (
	minBackoff = 200 * time.Millisecond // short, to retry a restarting server soon
	maxBackoff = 5 * time.Second        // bounds the delay until a recovered server is noticed
)

// healthTracker excludes a server after a failed request, for a backoff that doubles
// with each failure. It relies on request results instead of health endpoints,
// which lag or mislead. mu guards servers and recovered.
//
// Both maps are keyed by server id alone, although ids are unique only within a
// service: servers of several services that have the same id share one state.
type healthTracker struct {
	now       func() time.Time
	mu        sync.RWMutex
	servers   map[string]backoff
	recovered map[string]int // number of answers that followed a failure
}

type backoff struct {
	until time.Time
	delay time.Duration
}

func newHealthTracker(now func() time.Time) *healthTracker {
	return &healthTracker{now: now, servers: map[string]backoff{}, recovered: map[string]int{}}
}

func (t *healthTracker) usable(server string) bool {
	t.mu.RLock()
	b, ok := t.servers[server]
	t.mu.RUnlock()
	return !ok || !t.now().Before(b.until)
}

func (t *healthTracker) recordFailure(server string) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	b, known := t.servers[server]
	if known && now.Before(b.until) {
		return // failures of concurrent requests count as one
	}
	b.delay = min(maxBackoff, max(minBackoff, 2*b.delay))
	b.until = now.Add(b.delay)
	t.servers[server] = b
}

func (t *healthTracker) recordSuccess(server string) {
	t.mu.RLock()
	_, ok := t.servers[server]
	t.mu.RUnlock()
	if !ok {
		return
	}
	t.mu.Lock()
	if _, ok := t.servers[server]; ok {
		delete(t.servers, server)
		t.recovered[server]++
	}
	t.mu.Unlock()
}

// recoveries returns how often a server has answered after a failure.
func (t *healthTracker) recoveries(server string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.recovered[server]
}
