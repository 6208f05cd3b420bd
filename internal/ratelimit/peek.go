package ratelimit

import (
	"time"

	"kumquatcleat/internal/registry"
)

// Status is what this VM knows of the rate limit of a server.
type Status struct {
	Rate       float64       // requests per second that the server states; 0: none
	WarmupRate float64       // requests per second that it takes while it is cold; 0: it is warm
	WarmupLeft time.Duration // until it is warm
	Share      float64       // this VM's share of the limit
	Room       bool          // this VM may send a request now
	Wait       time.Duration // until this VM may send a request
	WarmingUp  bool          // Wait is due to the warm-up
}

// Peek returns what this VM knows of the rate limit of a server, and false if it has none. It
// neither takes nor accrues credit.
func (l *Limits) Peek(now time.Time, server registry.Instance) (Status, bool) {
	if l.count.Load() == 0 {
		return Status{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[server]
	if known == nil {
		return Status{}, false
	}
	limit := *known
	if !now.Before(limit.warmUntil) {
		limit.warmupRate = 0
	}
	if limit.total() == 0 {
		return Status{}, false
	}
	rate := l.accrue(now, server, &limit)
	status := Status{Rate: limit.rate, WarmupRate: limit.warmupRate, Share: rate / limit.total(), Room: limit.credit >= 1}
	if limit.warmupRate > 0 {
		status.WarmupLeft = limit.warmUntil.Sub(now)
	}
	if !status.Room {
		status.Wait, status.WarmingUp = limit.untilCredit(rate)
	}
	return status, true
}
