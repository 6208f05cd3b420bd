package routing

import (
	"sync"
	"time"
)

const (
	firstPause = 200 * time.Millisecond // a restarting server is tried again soon
	longPause  = 5 * time.Second        // bounds how late a recovered server is noticed
)

// healthTracker keeps servers that failed in-band out of the choice for a while
// that doubles with each failure. What requests meet outranks health endpoints,
// which lag or mislead. mu guards servers.
type healthTracker struct {
	now     func() time.Time
	mu      sync.RWMutex
	servers map[string]pause
	// returned counts how often a server answered again after a failure.
	returned map[string]int
}

type pause struct {
	until  time.Time
	length time.Duration
}

func newHealthTracker(now func() time.Time) *healthTracker {
	return &healthTracker{now: now, servers: map[string]pause{}, returned: map[string]int{}}
}

func (t *healthTracker) usable(server string) bool {
	t.mu.RLock()
	p, ok := t.servers[server]
	t.mu.RUnlock()
	return !ok || !t.now().Before(p.until)
}

func (t *healthTracker) failed(server string) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p, known := t.servers[server]
	if known && now.Before(p.until) {
		return // requests that were out together count as one failure
	}
	p.length = min(longPause, max(firstPause, 2*p.length))
	p.until = now.Add(p.length)
	t.servers[server] = p
}

func (t *healthTracker) answered(server string) {
	t.mu.RLock()
	_, ok := t.servers[server]
	t.mu.RUnlock()
	if !ok {
		return
	}
	t.mu.Lock()
	if _, ok := t.servers[server]; ok {
		delete(t.servers, server)
		t.returned[server]++
	}
	t.mu.Unlock()
}

// returns reports how often a server answered again after a failure.
func (t *healthTracker) returns(server string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.returned[server]
}
