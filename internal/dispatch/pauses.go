package dispatch

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/registry"
)

// Pauses holds until when servers want no requests from this VM. Safe for concurrent use.
type Pauses struct {
	count atomic.Int64 // length of until; 0 makes Wait cheap
	gauge metrics.Gauge
	mu    sync.Mutex // guards until
	until map[registry.Instance]time.Time
}

const (
	// maxPause bounds a pause. A server that asks for longer is tried again then.
	maxPause = time.Hour
	// pauseSpread and maxPauseSpread are how much longer than asked for a VM pauses, at random,
	// as a share of the pause and at most: VMs were turned away together and must not
	// return together.
	pauseSpread    = 0.25
	maxPauseSpread = 500 * time.Millisecond
)

// NewPauses returns Pauses of no server. Their number is the metric servers_paused.
func NewPauses(m metrics.Registry) *Pauses {
	return &Pauses{gauge: metrics.GetOrRegisterGauge("servers_paused", m), until: map[registry.Instance]time.Time{}}
}

// Stated records that a server wants no requests from this VM for some time. A shorter time
// than one that still runs does not end that.
func (p *Pauses) Stated(now time.Time, server registry.Instance, pause time.Duration) {
	pause = min(pause, maxPause)
	spread := min(time.Duration(pauseSpread*float64(pause)), maxPauseSpread)
	until := now.Add(pause + time.Duration(rand.Float64()*float64(spread)))
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.until[server]
	if !known.After(now) {
		slog.Info("dispatch: server asks for a pause", "server", server.ID, "incarnation", server.Incarnation, "pause_ms", pause.Milliseconds())
	}
	if until.After(known) {
		p.until[server] = until
		p.updateCount()
	}
}

// Wait returns the time until this VM may send a request to a server, 0 if it may now.
func (p *Pauses) Wait(now time.Time, server registry.Instance) time.Duration {
	if p.count.Load() == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.until[server].Sub(now), 0)
}

// Sweep forgets pauses that are over and those of servers for which keep returns false.
func (p *Pauses) Sweep(now time.Time, keep func(registry.Instance) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, until := range p.until {
		if !until.After(now) || !keep(server) {
			delete(p.until, server)
		}
	}
	p.updateCount()
}

func (p *Pauses) updateCount() {
	p.count.Store(int64(len(p.until)))
	p.gauge.Update(int64(len(p.until)))
}
