package daemon

import (
	"math"
	"sync"
	"time"

	"kumquatcleat/internal/peer"
)

const (
	reportLife = 5 * time.Second // a VM that stopped reporting stops counting
	// rateMemory is the time constant of the smoothing. Reports come at uneven
	// intervals, some of them milliseconds long: one request in such an interval
	// looks like hundreds a second. Shorter memory moves slots on that noise; a
	// longer one follows hot keys, which change within minutes, too late.
	rateMemory    = 20 * time.Second
	negligibleRPS = 0.001
)

// rateBook adds up how often each slot is sent to, over the VMs that report.
// mu guards reports and drains.
type rateBook struct {
	mu      sync.Mutex
	reports map[string]*rateReport   // by VM
	drains  map[string]time.Duration // by server: when a VM last said that it is draining
}

type rateReport struct {
	at    time.Duration
	rates map[uint32]float64
}

func newRateBook() *rateBook {
	return &rateBook{reports: map[string]*rateReport{}, drains: map[string]time.Duration{}}
}

// report takes one VM's rates since its last report.
func (b *rateBook) report(now time.Duration, vm string, loads []*peer.SlotLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.reports[vm]
	if !ok {
		r = &rateReport{at: now, rates: map[uint32]float64{}}
		b.reports[vm] = r
	}
	keep := math.Exp(-(now - r.at).Seconds() / rateMemory.Seconds())
	r.at = now
	for slot, rate := range r.rates {
		r.rates[slot] = rate * keep
		if r.rates[slot] < negligibleRPS {
			delete(r.rates, slot)
		}
	}
	for _, load := range loads {
		r.rates[load.GetSlot()] += load.GetPerSecond() * (1 - keep)
	}
}

// drainLife is how long a server counts as draining after it last refused a
// request for that; it is tried again afterwards.
const drainLife = 30 * time.Second

// reportDraining takes the servers that a VM was refused by.
func (b *rateBook) reportDraining(now time.Duration, servers []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, server := range servers {
		b.drains[server] = now
	}
}

// draining returns the servers that lately said that they are draining.
func (b *rateBook) draining(now time.Duration) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]bool{}
	for server, at := range b.drains {
		if now-at > drainLife {
			delete(b.drains, server)
			continue
		}
		out[server] = true
	}
	return out
}

// total returns the rate of each slot over all VMs that reported lately.
func (b *rateBook) total(now time.Duration) map[uint32]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := map[uint32]float64{}
	for vm, r := range b.reports {
		if now-r.at > reportLife {
			delete(b.reports, vm)
			continue
		}
		for slot, rate := range r.rates {
			sum[slot] += rate
		}
	}
	return sum
}
