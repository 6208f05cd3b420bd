package spill

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Load is what the coordinator tells VMs about one service in one failure domain.
type Load struct {
	// InFlight is the number of requests, running or queued, that all VMs together have at
	// the domain's servers.
	InFlight float64 `json:"n"`
	// Slots is the number of slots of the usable servers, weighted by the speed of the servers.
	Slots float64 `json:"slots"`
	// AgeMS is the age of the newest report of a VM of the domain.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Into holds the domains into which VMs of this domain may send requests of the service.
	Into []string `json:"into,omitempty"`
}

// PerSlot returns the requests per slot.
func (l Load) PerSlot() float64 { return l.InFlight / l.Slots }

func (l Load) age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// Figures are the loads by service and failure domain.
type Figures map[string]map[string]Load

// Report is what a VM tells the coordinator.
type Report struct {
	// Domain is the failure domain of the VM. It is empty if the VM knows only one domain or
	// runs a version that does not count its requests by domain.
	Domain string `json:"domain,omitempty"`
	// InFlight holds the requests that the VM has at servers, by service and domain.
	InFlight map[string]map[string]int `json:"in_flight,omitempty"`
	// Into holds the domains into which the VM sends requests, or wants to, by service.
	Into map[string][]string `json:"into,omitempty"`
}

const (
	// reportLife is how long the last report of a VM counts, as for the loads of owners of keys.
	reportLife = 1500 * time.Millisecond
	// collectTime is how long a new coordinator collects reports before it tells loads: VMs
	// without requests report each 1.2 s. The sums of fewer reports would show room that is not
	// there, and permits that conflict with those of VMs that have not reported.
	collectTime = 1400 * time.Millisecond
	// maxReported bounds one number in a report. A larger one is not plausible.
	maxReported = 1e6
)

// Totals sums up the reports of all VMs at the coordinator. It is safe for concurrent use.
type Totals struct {
	mu      sync.Mutex // guards the fields below
	reports map[string]receivedReport
	since   time.Duration // of the first report after a time without any
	// permits holds which domain may send requests of a service into which other. Of two domains,
	// only one has a permit. It ends when no VM of the domain asks for it any more, or has not
	// reported for so long that it sends none.
	permits map[permit]bool
}

type permit struct{ service, from, to string }

func (p permit) reverse() permit { return permit{p.service, p.to, p.from} }

type receivedReport struct {
	at time.Duration
	Report
}

// NewTotals returns totals without any report.
func NewTotals() *Totals {
	return &Totals{reports: map[string]receivedReport{}, permits: map[permit]bool{}}
}

// Add replaces the report of a VM.
func (t *Totals) Add(now time.Duration, vm string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, old := range t.reports {
		if now-old.at > reportLife {
			delete(t.reports, other)
		}
	}
	if len(t.reports) == 0 {
		t.since = now
	}
	t.reports[vm] = receivedReport{now, r}
	t.grant()
}

// grant updates the permits. The caller holds the lock.
func (t *Totals) grant() {
	asked := map[permit]bool{}
	for _, r := range t.reports {
		for service, domains := range r.Into {
			for _, to := range domains {
				asked[permit{service, r.Domain, to}] = true
			}
		}
	}
	maps.DeleteFunc(t.permits, func(p permit, _ bool) bool { return !asked[p] })
	for p := range asked {
		if !t.permits[p.reverse()] {
			t.permits[p] = true
		}
	}
}

// Figures returns the loads of the services and domains for which slots are given. Domains whose
// VMs do not report are left out: the requests of these VMs are unknown. There are no figures
// while a VM reports that does not count its requests by domain. Reports that are too old are
// forgotten by Add, which precedes each answer to a VM.
func (t *Totals) Figures(now time.Duration, slots map[string]map[string]float64) Figures {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.reports) == 0 || now-t.since < collectTime {
		return nil
	}
	newest := map[string]time.Duration{}
	for _, r := range t.reports {
		if r.Domain == "" {
			return nil
		}
		newest[r.Domain] = max(newest[r.Domain], r.at)
	}
	figures := Figures{}
	for service, domains := range slots {
		loads := map[string]Load{}
		for domain, n := range domains {
			if at, reports := newest[domain]; reports {
				loads[domain] = t.load(service, domain, n, now-at)
			}
		}
		figures[service] = loads
	}
	return figures
}

func (t *Totals) load(service, domain string, slots float64, age time.Duration) Load {
	l := Load{Slots: slots, AgeMS: age.Milliseconds()}
	for _, r := range t.reports {
		if n := r.InFlight[service][domain]; n > 0 && n < maxReported {
			l.InFlight += float64(n)
		}
	}
	for p := range t.permits {
		if p.service == service && p.from == domain {
			l.Into = append(l.Into, p.to)
		}
	}
	slices.Sort(l.Into)
	return l
}
