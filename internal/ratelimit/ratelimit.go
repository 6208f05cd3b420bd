// Package ratelimit tracks the rate limits that servers state in their answers. Such a limit
// is for the requests of all VMs together and holds until the server answers without it.
package ratelimit

import (
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/registry"
)

// limit is what is known of the rate limit of one server.
type limit struct {
	rate float64 // requests per second from all VMs together
	// loggedAt and loggedRate bound the log lines of a server whose limit changes with
	// each answer.
	loggedAt   time.Time
	loggedRate float64
}

// Limits holds the rate limits that servers state. It is safe for concurrent use.
type Limits struct {
	known metrics.Gauge

	mu     sync.Mutex // guards limits
	limits map[registry.Instance]*limit
}

// New returns limits of no server. The number of limited servers is the metric
// servers_rate_limited.
func New(m metrics.Registry) *Limits {
	return &Limits{known: metrics.GetOrRegisterGauge("servers_rate_limited", m), limits: map[registry.Instance]*limit{}}
}

const (
	// logInterval and logChange bound the lines about one server.
	logInterval = time.Second
	logChange   = 1.1 // factor
)

// Stated records that a server stated a rate limit in an answer.
func (l *Limits) Stated(now time.Time, server registry.Instance, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[server]
	if known == nil {
		known = &limit{}
		l.limits[server] = known
		l.known.Update(int64(len(l.limits)))
	}
	known.rate = rate
	changed := rate > known.loggedRate*logChange || rate*logChange < known.loggedRate
	if known.loggedAt.IsZero() || changed && now.Sub(known.loggedAt) >= logInterval {
		slog.Info("ratelimit: server states a limit", "server", server.ID, "incarnation", server.Incarnation, "rate_per_s", rate, "logged_before", known.loggedRate)
		known.loggedAt, known.loggedRate = now, rate
	}
}

// Unstated records that a server answered without a rate limit.
func (l *Limits) Unstated(server registry.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limits[server]; known != nil {
		slog.Info("ratelimit: server states no limit any more", "server", server.ID, "incarnation", server.Incarnation, "rate_per_s", known.rate)
		l.forget(server)
	}
}

func (l *Limits) forget(server registry.Instance) {
	delete(l.limits, server)
	l.known.Update(int64(len(l.limits)))
}

// Sweep forgets the limits of servers for which keep returns false.
func (l *Limits) Sweep(keep func(registry.Instance) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server := range l.limits {
		if !keep(server) {
			l.forget(server)
		}
	}
}
