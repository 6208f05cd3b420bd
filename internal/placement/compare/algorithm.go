package main

import (
	"cmp"
	"math"
	"slices"

	"kumquatcleat/internal/placement"
)

// algorithm is a placement algorithm to compare.
type algorithm struct {
	name string
	pins *placement.PinSettings // if not nil, hot keys are pinned to slots of their own
	plan func(in placement.Input) map[uint32]string
	// ideal algorithms get the true loads, which no VM knows, and no current
	// owners. They show the imbalance that remains if moves cost nothing.
	ideal bool
}

// boundFactor is the bound of the bounded algorithms on a server's load per
// capacity, relative to the mean.
const boundFactor = 1.25

// algorithmsWith returns the algorithms to compare.
func algorithmsWith(settings placement.Settings, pins placement.PinSettings) []algorithm {
	greedy := func(in placement.Input) map[uint32]string { return placement.Plan(in, settings) }
	return []algorithm{
		{name: "rendezvous", plan: rendezvous},
		{name: "bounded slots", plan: boundedSlots},
		{name: "bounded load", plan: boundedLoad},
		{name: "greedy", plan: greedy},
		{name: "greedy, pins", plan: greedy, pins: &pins},
		{name: "ideal", plan: greedy, ideal: true},
	}
}

// rendezvous assigns each slot to the server with the highest score.
func rendezvous(in placement.Input) map[uint32]string {
	return bounded(in, func(placement.SlotLoad) float64 { return 0 })
}

// boundedSlots limits the number of slots per server.
func boundedSlots(in placement.Input) map[uint32]string {
	return bounded(in, func(placement.SlotLoad) float64 { return 1 })
}

// boundedLoad limits the measured load per server.
func boundedLoad(in placement.Input) map[uint32]string {
	return bounded(in, func(slot placement.SlotLoad) float64 { return slot.Load })
}

// bounded assigns each slot to the server with the highest score among those that
// stay within their bound, in descending order of slot weight.
func bounded(in placement.Input, weight func(placement.SlotLoad) float64) map[uint32]string {
	servers := usable(in.Servers)
	slots := slices.Clone(in.Slots)
	slices.SortStableFunc(slots, func(a, b placement.SlotLoad) int { return cmp.Compare(weight(b), weight(a)) })
	bounds, filled := fillBounds(slots, servers, weight), make([]float64, len(servers))
	owners := make(map[uint32]string, len(slots))
	for _, slot := range slots {
		best := choose(slot, weight(slot), servers, filled, bounds)
		filled[best] += weight(slot)
		owners[slot.Slot] = servers[best].ID
	}
	return owners
}

// fillBounds returns the maximum total slot weight of each server.
func fillBounds(slots []placement.SlotLoad, servers []placement.Server, weight func(placement.SlotLoad) float64) []float64 {
	total, capacity := 0.0, 0.0
	for _, slot := range slots {
		total += weight(slot)
	}
	for _, server := range servers {
		capacity += server.Capacity
	}
	bounds := make([]float64, len(servers))
	for i, server := range servers {
		bounds[i] = boundFactor * total * server.Capacity / capacity
	}
	return bounds
}

// choose returns the server with the highest score for slot among those with room
// for it, or the least filled server if none has room.
func choose(slot placement.SlotLoad, weight float64, servers []placement.Server, filled, bounds []float64) int {
	best, bestScore, leastFilled := -1, math.Inf(-1), 0
	for i, server := range servers {
		if filled[i]/bounds[i] < filled[leastFilled]/bounds[leastFilled] {
			leastFilled = i
		}
		score := weightedScore(slot.Slot, server)
		if filled[i]+weight <= bounds[i] && score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return leastFilled
	}
	return best
}

// weightedScore returns the weighted rendezvous score, with which servers get
// slots in proportion to their capacity.
func weightedScore(slot uint32, server placement.Server) float64 {
	uniform := (float64(placement.Score(slot, server.ID)) + 1) / math.MaxUint64
	return -server.Capacity / math.Log(uniform)
}

func usable(servers []placement.Server) []placement.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s placement.Server) bool { return s.Drain || s.Unreachable })
}
