package keyspace

import (
	"slices"
	"time"

	"kumquatcleat/internal/overload"
)

// overloadInterval is how often the signals for overloaded servers are computed, half of the
// interval at which VMs report.
const overloadInterval = 200 * time.Millisecond

// Overloads returns the signals for the overloaded servers of all keyed services, by
// server ID.
func (c *Coordinator) Overloads() map[string]overload.Signal {
	services := c.services()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	if c.signals != nil && now-c.signalsAt < overloadInterval {
		return c.signals
	}
	signals, demands, loads := map[string]overload.Signal{}, map[string]float64{}, c.inFlight.Loads(now)
	for _, service := range services {
		if svc := c.serviceStates[service]; svc != nil && len(svc.leases.record.Ranges) > 0 {
			c.addSignals(now, svc, loads, signals, demands)
		}
	}
	c.signals, c.signalsAt = overload.Strongest(signals, demands, c.inFlight.VMs()), now
	return c.signals
}

// addSignals adds the signals for the overloaded and the rate-limited servers of a service.
// While there are none, it does not compute the demand.
func (c *Coordinator) addSignals(now time.Duration, svc *serviceState, loads map[string]float64, signals map[string]overload.Signal, demands map[string]float64) {
	members := c.withReportedCapacity(c.members.Members(svc.service))
	mayNeedSignal := func(m Member) bool {
		_, limited := c.rateLimitOf(&m)
		return limited || overload.Busy(loads[m.Server], m.Slots)
	}
	if !slices.ContainsFunc(members, mayNeedSignal) {
		return
	}
	demand := c.requestCountsOf(svc.service).ownerRates(now, &svc.leases.record, func(key uint32) float64 { return svc.leases.slowWork(now, key) })
	objective := c.objective(svc.service)
	for _, m := range members {
		rate, limited := c.rateLimitOf(&m)
		signal, overloaded := overload.SignalFor(overload.Server{
			Slots: m.Slots, Capacity: m.Capacity, Demand: demand[m.Holder], Load: loads[m.Server], Objective: objective,
			RateLimit: rate, HasRateLimit: limited,
		})
		if overloaded {
			signals[m.Server], demands[m.Server] = signal, demand[m.Holder]
		}
	}
}
