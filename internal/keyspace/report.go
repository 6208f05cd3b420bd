package keyspace

import (
	"kumquatcleat/internal/balance"
)

// Report is what a VM saw of keyed services since its last report.
type Report struct {
	// Requests counts requests by service and key.
	Requests map[string]map[uint32]float64 `json:"requests"`
	// ServiceTimes are the service times of servers, by id.
	ServiceTimes map[string]balance.Samples `json:"times,omitempty"`
}

// Report takes in what VMs saw, for the load that plans go by.
func (c *Coordinator) Report(r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, keys := range r.Requests {
		w := c.requestCountsOf(service)
		for key, requests := range keys {
			w.Add(key, requests)
		}
	}
	for server, sample := range r.ServiceTimes {
		if sample.Count > 0 {
			c.serviceTimes[server] = c.serviceTimes[server].add(sample)
		}
	}
}

// speed is the smoothed service time of a server, from all VMs' reports.
type serviceTime struct {
	samples balance.Samples
}

// speedMemory is how many requests a service time is averaged over: a few
// seconds of a server's requests.
const maxServiceTimeSamples = 60

func (s serviceTime) add(o balance.Samples) serviceTime {
	total := balance.Samples{Count: s.samples.Count + o.Count, Seconds: s.samples.Seconds + o.Seconds}
	if total.Count > maxServiceTimeSamples {
		total.Seconds *= maxServiceTimeSamples / total.Count
		total.Count = maxServiceTimeSamples
	}
	return serviceTime{total}
}

// enoughSamples is how many requests a service time needs to be trusted.
const minServiceTimeSamples = 5

// withSpeeds puts the reported service times in place of this VM's own.
func (c *Coordinator) withReportedCapacity(members []Member) []Member {
	for i := range members {
		s := c.serviceTimes[members[i].Server].samples
		if s.Count >= minServiceTimeSamples && s.Seconds > 0 {
			members[i].Capacity = float64(members[i].Slots) * s.Count / s.Seconds
		}
	}
	return members
}

// weightsOf returns the counts of a service. The caller holds the lock.
func (c *Coordinator) requestCountsOf(service string) *RequestCounts {
	w := c.requestCounts[service]
	if w == nil {
		w = NewRequestCounts(c.clock())
		c.requestCounts[service] = w
	}
	return w
}
