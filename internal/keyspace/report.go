package keyspace

import (
	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/ratelimit"
	"kumquatcleat/internal/registry"
)

// Report holds the requests and service times that a VM measured for keyed services
// since its last report.
type Report struct {
	// Requests holds the request counts by service and key.
	Requests map[string]map[uint32]float64 `json:"requests"`
	// VM is the name of the VM.
	VM string `json:"vm,omitempty"`
	// InFlight holds the requests that the VM has at servers now, by server ID.
	InFlight map[string]int `json:"in_flight,omitempty"`
	// ServiceTimes holds the service times by server ID.
	ServiceTimes map[string]balance.Samples `json:"times,omitempty"`
	// RateLimits holds what answers since the last report said about rate limits.
	RateLimits []ratelimit.Statement `json:"rate_limits,omitempty"`
}

// Bounds of one measurement in a report. A measurement outside them is not plausible and
// would distort all plans.
const (
	maxReportedRequests = 1e6
	maxReportedSeconds  = 1e6
)

// Report adds the measurements of a VM to the load on which plans are based.
func (c *Coordinator) Report(r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	for service, keys := range r.Requests {
		w := c.requestCountsOf(service)
		for key, requests := range keys {
			if key < c.settings.Keys && requests > 0 && requests < maxReportedRequests {
				w.Add(now, key, requests)
			}
		}
	}
	c.inFlight.Add(now, r.VM, r.InFlight)
	c.rateLimits.Add(now, r.RateLimits)
	for server, sample := range r.ServiceTimes {
		if sample.Count > 0 && sample.Count < maxReportedRequests && sample.Seconds >= 0 && sample.Seconds < maxReportedSeconds {
			c.serviceTimes[server] = c.serviceTimes[server].add(sample)
		}
	}
}

// serviceTime is the smoothed service time of a server, from the reports of all VMs.
type serviceTime struct {
	samples balance.Samples
}

// maxServiceTimeSamples is the number of requests over which a service time is
// averaged, about the requests of a few seconds to one server.
const maxServiceTimeSamples = 60

func (s serviceTime) add(o balance.Samples) serviceTime {
	total := balance.Samples{Count: s.samples.Count + o.Count, Seconds: s.samples.Seconds + o.Seconds}
	if total.Count > maxServiceTimeSamples {
		total.Seconds *= maxServiceTimeSamples / total.Count
		total.Count = maxServiceTimeSamples
	}
	return serviceTime{total}
}

// minServiceTimeSamples is the minimum number of requests for a reported service time
// to be used.
const minServiceTimeSamples = 5

// RateLimitChanges returns the rate limits that servers stated first, changed or lifted
// recently.
func (c *Coordinator) RateLimitChanges() []ratelimit.Statement {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rateLimits.Changes(c.clock())
}

// rateLimitOf returns the rate limit of a server, and false if it has none: the one that it states,
// or its warm-up rate if that is lower. The caller holds the lock.
func (c *Coordinator) rateLimitOf(m *Member) (float64, bool) {
	rate, limited := c.rateLimits.Rate(registry.Instance{ID: m.Server, Incarnation: m.Incarnation})
	if m.WarmupRate > 0 && (!limited || m.WarmupRate < rate) {
		return m.WarmupRate, true
	}
	return rate, limited
}

// withReportedCapacity replaces this VM's capacity estimates by those from reported
// service times and rate limits.
func (c *Coordinator) withReportedCapacity(members []Member) []Member {
	for i := range members {
		s := c.serviceTimes[members[i].Server].samples
		if s.Count >= minServiceTimeSamples && s.Seconds > 0 {
			members[i].Capacity = float64(members[i].Slots) * s.Count / s.Seconds
		}
		if rate, limited := c.rateLimitOf(&members[i]); limited {
			members[i].Capacity = min(members[i].Capacity, rate)
		}
	}
	return members
}

// requestCountsOf returns the request counts of a service. The caller holds the lock.
func (c *Coordinator) requestCountsOf(service string) *RequestCounts {
	w := c.requestCounts[service]
	if w == nil {
		w = NewRequestCounts(c.clock())
		c.requestCounts[service] = w
	}
	return w
}
