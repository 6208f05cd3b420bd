package gateway

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/bootclock"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/spill"
)

// spiller connects the decisions about requests that leave the failure domain to the load reports.
// It acts only for services without keys whose servers are in more than one domain.
type spiller struct {
	enabled  bool   // the settings ask for decisions
	domain   string // of this VM
	decider  *spill.Decider
	totals   *spill.Totals // of this VM, if it coordinates
	services func() []string
	usable   func(service string) []*registry.Server
	domains  func() []string // failure domains of VMs
	balancer *balance.Balancer
	// objective returns the latency within which the answers of a service should arrive.
	objective  func(service string) time.Duration
	pricePerKB float64
	metrics    metrics.Registry
	spilled    metrics.Counter

	mu      sync.Mutex                    // guards the fields below
	slots   map[string]map[string]float64 // by service and domain, computed at slotsAt
	slotsAt time.Duration
}

func newSpiller(s *Settings, balancer *balance.Balancer, m metrics.Registry) *spiller {
	return &spiller{
		enabled: s.spills(), domain: s.FailureDomain, decider: spill.New(spill.Settings{Domain: s.FailureDomain, Latency: time.Duration(s.CrossDomainMS * float64(time.Millisecond))}),
		totals: spill.NewTotals(), domains: func() []string { return nil }, balancer: balancer, pricePerKB: s.crossDomainPrice(),
		metrics: m, spilled: metrics.GetOrRegisterCounter("requests_spilled", m),
	}
}

// report returns what this VM tells the coordinator; nothing if it knows one domain only. Without
// the reports of all VMs there are no figures and no decisions.
func (s *spiller) report() spill.Report {
	if !s.enabled {
		return spill.Report{}
	}
	report := spill.Report{InFlight: map[string]map[string]int{}}
	several := false
	for _, service := range s.services() {
		servers := s.usable(service)
		for _, server := range servers {
			several = several || server.FailureDomain != s.domain
		}
		if inFlight := s.balancer.InFlightByDomain(servers); len(inFlight) > 0 {
			report.InFlight[service] = inFlight
		}
	}
	if !several {
		return spill.Report{}
	}
	report.Domain, report.Into = s.domain, s.decider.Into()
	return report
}

// received adds the report of a VM, as the coordinator.
func (s *spiller) received(vm string, r spill.Report) { s.totals.Add(bootclock.Now(), vm, r) }

// figures returns the loads by domain, as the coordinator.
func (s *spiller) figures() spill.Figures {
	if !s.enabled {
		return nil
	}
	now := bootclock.Now()
	return s.totals.Figures(now, s.currentSlots(now))
}

// slotsInterval is how often the slots are computed, half of the interval at which VMs report.
const slotsInterval = 200 * time.Millisecond

// currentSlots returns the slots of the usable servers by service and domain, weighted by how fast
// this VM knows the servers to be.
func (s *spiller) currentSlots(now time.Duration) map[string]map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots != nil && now-s.slotsAt < slotsInterval {
		return s.slots
	}
	slots := map[string]map[string]float64{}
	for _, service := range s.services() {
		if byDomain := s.weightedSlots(time.Now(), s.usable(service)); len(byDomain) > 1 {
			slots[service] = byDomain
		}
	}
	s.slots, s.slotsAt = slots, now
	return slots
}

func (s *spiller) weightedSlots(now time.Time, servers []*registry.Server) map[string]float64 {
	byDomain, slots, capacity := map[string]float64{}, 0.0, 0.0
	for _, server := range servers {
		c := s.balancer.Capacity(now, server)
		byDomain[server.FailureDomain] += c
		capacity += c
		slots += float64(max(server.Slots, 1))
	}
	for domain := range byDomain {
		byDomain[domain] *= slots / capacity
	}
	for _, domain := range s.domains() {
		byDomain[domain] += 0 // of a domain without usable servers
	}
	return byDomain
}

// follow applies the loads in the coordinator's response to a report that was sent at the given time.
func (s *spiller) follow(sent time.Time, figures spill.Figures) {
	s.decider.Update(time.Now(), sent, figures, s.properties)
}

// publish logs the decisions that changed and updates the metrics.
func (s *spiller) publish() {
	if !s.enabled {
		return
	}
	now := time.Now()
	for _, c := range s.decider.Changes(now) {
		slog.Info("spill: share of requests that leave the domain changed", "service", c.Service, "decided", c.Decided,
			"shares", c.Shares, "loads_per_slot", c.Loads, "age_ms", c.Age.Milliseconds())
	}
	for _, service := range s.decider.Services() {
		share := 0.0
		for _, part := range s.decider.Shares(now, service) {
			share += part
		}
		metrics.GetOrRegisterGaugeFloat64("spill_share."+service, s.metrics).Update(share)
	}
}

func (s *spiller) properties(service string) spill.Service {
	return spill.Service{
		ServiceTime: s.balancer.ServiceTime(service),
		Objective:   s.objective(service),
		Price:       s.pricePerKB * s.balancer.RequestKB(service),
	}
}

// place returns where the first attempt of a request is to be executed.
func (s *spiller) place(service string) balance.Placement {
	if !s.enabled {
		return balance.Placement{}
	}
	p := s.decider.Draw(time.Now(), service, rand.Float64())
	if p.Domain != "" && p.Domain != s.domain {
		s.spilled.Inc(1)
	}
	return p
}
