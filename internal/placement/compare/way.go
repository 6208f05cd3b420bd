package main

import (
	"cmp"
	"math"
	"slices"

	"kumquatcleat/internal/placement"
)

// way is one way to place slots.
type way struct {
	name string
	pins *placement.PinSettings // not nil: hot keys get a slot of their own
	plan func(in placement.Input) map[uint32]string
	// ideal plans get the true loads, which no VM knows, and no current owners:
	// the imbalance that is left when moves cost nothing.
	ideal bool
}

// boundFactor is how far above the mean a bounded way fills a server.
const boundFactor = 1.25

// waysWith returns the ways to compare.
func waysWith(settings placement.Settings, pins placement.PinSettings) []way {
	greedy := func(in placement.Input) map[uint32]string { return placement.Plan(in, settings) }
	return []way{
		{name: "rendezvous", plan: rendezvous},
		{name: "bounded slots", plan: boundedSlots},
		{name: "bounded load", plan: boundedLoad},
		{name: "greedy", plan: greedy},
		{name: "greedy, pins", plan: greedy, pins: &pins},
		{name: "ideal", plan: greedy, ideal: true},
	}
}

// rendezvous gives each slot to the server with the highest score.
func rendezvous(in placement.Input) map[uint32]string {
	return bounded(in, func(placement.SlotLoad) float64 { return 0 })
}

// boundedSlots bounds how many slots a server gets.
func boundedSlots(in placement.Input) map[uint32]string {
	return bounded(in, func(placement.SlotLoad) float64 { return 1 })
}

// boundedLoad bounds the measured load that a server gets.
func boundedLoad(in placement.Input) map[uint32]string {
	return bounded(in, func(slot placement.SlotLoad) float64 { return slot.Load })
}

// bounded gives each slot to the server with the highest score that it does not
// fill beyond its bound, the heaviest slots first.
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

// fillBounds returns how much weight each server may get.
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

// choose returns the first choice of a slot among the servers with room, or the
// least filled server when none has.
func choose(slot placement.SlotLoad, weight float64, servers []placement.Server, filled, bounds []float64) int {
	best, bestScore, emptiest := -1, math.Inf(-1), 0
	for i, server := range servers {
		if filled[i]/bounds[i] < filled[emptiest]/bounds[emptiest] {
			emptiest = i
		}
		score := weightedScore(slot.Slot, server)
		if filled[i]+weight <= bounds[i] && score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return emptiest
	}
	return best
}

// weightedScore is the rendezvous score by which a server gets slots in
// proportion to its capacity.
func weightedScore(slot uint32, server placement.Server) float64 {
	uniform := (float64(placement.Score(slot, server.ID)) + 1) / math.MaxUint64
	return -server.Capacity / math.Log(uniform)
}

func usable(servers []placement.Server) []placement.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s placement.Server) bool { return s.Drain || s.Lost })
}
