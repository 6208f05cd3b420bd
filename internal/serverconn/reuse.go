package serverconn

import (
	"sync"
	"time"
)

const (
	// maxIdleNonIdempotent is how long a connection may have been idle to carry a
	// request that must not be repeated, while servers are found to forget idle
	// connections. The outcome of a request that meets a forgotten one is unknown.
	maxIdleNonIdempotent = 2 * time.Second
	// maxStaleRate is the share of reused connections that turn out to be forgotten up to
	// which only the idle timeout that servers announce applies.
	maxStaleRate = 0.005
	// staleSmoothing is the weight of a new sample. One forgotten connection in about two
	// hundred exceeds maxStaleRate.
	staleSmoothing = 0.01
	// minIdleSample is the idle time from which a reused connection counts as a sample.
	minIdleSample = 250 * time.Millisecond
)

// reuseRecord tracks how many reused connections turn out to have been forgotten by their
// server. It is safe for concurrent use.
type reuseRecord struct {
	mu        sync.Mutex // guards staleRate
	staleRate float64
}

// record counts the reuse of a connection that had been idle for a time.
func (r *reuseRecord) record(idle time.Duration, stale bool) {
	if idle < minIdleSample {
		return
	}
	sample := 0.0
	if stale {
		sample = 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staleRate += staleSmoothing * (sample - r.staleRate)
}

// maxIdle returns how long a connection may have been idle to carry a request.
func (r *reuseRecord) maxIdle(idempotent bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if idempotent || r.staleRate <= maxStaleRate {
		return time.Hour // only the connection's idle timeout applies
	}
	return maxIdleNonIdempotent
}
