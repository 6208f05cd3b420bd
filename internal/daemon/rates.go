package daemon

import (
	"sync"
	"time"

	"kumquatcleat/internal/peer"
)

const (
	reportLife    = 5 * time.Second // a VM that stopped reporting stops counting
	reportSmooth  = 0.3             // weight of a new report; damps bursts shorter than a few reports
	negligibleRPS = 0.01
)

// rateBook adds up how often each slot is sent to, over the VMs that report.
// mu guards reports.
type rateBook struct {
	mu      sync.Mutex
	reports map[string]*rateReport // by VM
}

type rateReport struct {
	at    time.Duration
	rates map[uint32]float64
}

func newRateBook() *rateBook { return &rateBook{reports: map[string]*rateReport{}} }

// report takes one VM's rates since its last report.
func (b *rateBook) report(now time.Duration, vm string, loads []*peer.SlotLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.reports[vm]
	if !ok {
		r = &rateReport{rates: map[uint32]float64{}}
		b.reports[vm] = r
	}
	r.at = now
	for slot, rate := range r.rates {
		r.rates[slot] = rate * (1 - reportSmooth)
		if r.rates[slot] < negligibleRPS {
			delete(r.rates, slot)
		}
	}
	for _, load := range loads {
		r.rates[load.GetSlot()] += load.GetPerSecond() * reportSmooth
	}
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
