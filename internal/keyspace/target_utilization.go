package keyspace

import (
	"math"
	"time"
)

// latencyShare is the mean latency up to which a server is to be loaded, as a share of the objective:
// single answers take up to about twice the mean.
const latencyShare = 0.6

// minTargetUtilization bounds the utilization of servers that are slow for the objective: without
// a bound, they would get hardly any keys, and the others more than they can serve.
const minTargetUtilization = 0.5

// targetUtilization returns the utilization at which the mean latency of a server reaches its share
// of the objective. A slow server reaches it at a lower utilization than a fast one, as each
// request ahead in its queue takes longer.
func targetUtilization(serviceTime, objective time.Duration, slots int) float64 {
	if objective <= 0 || serviceTime <= 0 || slots <= 0 {
		return 1
	}
	allowed := latencyShare*objective.Seconds()/serviceTime.Seconds() - 1 // wait in service times
	low, high := minTargetUtilization, 1.0
	for range 20 {
		middle := (low + high) / 2
		if meanWait(middle, slots) < allowed {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// meanWait returns the approximate mean wait at a server of some slots, in service times, if arrivals
// and service times vary as those of a Poisson process (Sakasegawa's approximation of M/M/c).
func meanWait(utilization float64, slots int) float64 {
	c := float64(slots)
	return math.Pow(utilization, math.Sqrt(2*(c+1))-1) / (c * (1 - utilization))
}

// forPlans returns members with the request rates up to which plans are to load them.
func forPlans(members []Member, objective time.Duration) []Member {
	list := make([]Member, len(members))
	for i, m := range members {
		if m.Capacity > 0 {
			serviceTime := time.Duration(float64(m.Slots) / m.Capacity * float64(time.Second))
			m.Capacity *= targetUtilization(serviceTime, objective, m.Slots)
		}
		list[i] = m
	}
	return list
}
