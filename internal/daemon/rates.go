package daemon

import (
	"math"
	"sync"
	"time"

	"kumquatcleat/internal/peer"
)

const (
	reportTTL = 5 * time.Second // the rates of a VM that stopped reporting expire
	// rateTimeConstant is the time constant of the exponential smoothing. Reports come
	// at irregular intervals, some only milliseconds long, in which one request looks
	// like hundreds per second. A shorter constant would move slots on that noise. A
	// longer one would follow hot keys, which change within minutes, too late.
	rateTimeConstant = 20 * time.Second
	negligibleRPS    = 0.001
)

// slotRates aggregates the request rate of each slot over the VMs that report.
type slotRates struct {
	mu      sync.Mutex               // guards reports and drains
	reports map[string]*rateReport   // by VM
	drains  map[string]time.Duration // by server: time of the last report that it is draining
}

type rateReport struct {
	at    time.Duration
	rates map[uint32]float64
}

func newSlotRates() *slotRates {
	return &slotRates{reports: map[string]*rateReport{}, drains: map[string]time.Duration{}}
}

// report merges one VM's rates since its last report.
func (s *slotRates) report(now time.Duration, vm string, loads []*peer.SlotLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.reports[vm]
	if !ok {
		r = &rateReport{at: now, rates: map[uint32]float64{}}
		s.reports[vm] = r
	}
	keep := math.Exp(-(now - r.at).Seconds() / rateTimeConstant.Seconds())
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

// drainTTL is how long a server counts as draining after it last refused a request for
// that reason. After that it gets requests again.
const drainTTL = 30 * time.Second

// reportDraining records the servers that refused a VM's requests because they drain.
func (s *slotRates) reportDraining(now time.Duration, servers []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range servers {
		s.drains[server] = now
	}
}

// draining returns the servers reported as draining within drainTTL.
func (s *slotRates) draining(now time.Duration) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]bool{}
	for server, at := range s.drains {
		if now-at > drainTTL {
			delete(s.drains, server)
			continue
		}
		out[server] = true
	}
	return out
}

// total returns the rate of each slot over all VMs that reported within reportTTL.
func (s *slotRates) total(now time.Duration) map[uint32]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := map[uint32]float64{}
	for vm, r := range s.reports {
		if now-r.at > reportTTL {
			delete(s.reports, vm)
			continue
		}
		for slot, rate := range r.rates {
			sum[slot] += rate
		}
	}
	return sum
}
