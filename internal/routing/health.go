package routing

import (
	"sync"
	"time"
)

const (
	minBackoff = 200 * time.Millisecond // a restarting server is tried again soon
	maxBackoff  = 5 * time.Second        // bounds how late a recovered server is noticed
)

// healthTracker keeps servers that failed in-band out of the choice for a while
// that doubles with each failure. What requests meet outranks health endpoints,
// which lag or mislead. mu guards servers.
type healthTracker struct {
	now     func() time.Time
	mu      sync.RWMutex
	servers map[string]backoff
	// recovered counts how often a server answered again after a failure.
	recovered map[string]int
}

type backoff struct {
	until  time.Time
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
		return // requests that were out together count as one failure
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

// recoveries reports how often a server answered again after a failure.
func (t *healthTracker) recoveries(server string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.recovered[server]
}
