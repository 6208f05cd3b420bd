// Package placement decides which server should own each slot of a group.
//
// Plan and ChoosePins are pure functions of their arguments: they use no clock, no I/O
// and no random numbers, so every VM computes the same plan from the same input. The
// router pins no keys: only command compare uses ChoosePins.
package placement

import (
	"cmp"
	"math"
	"slices"
)

// SlotLoad is the measured load of one slot.
type SlotLoad struct {
	Slot uint32
	Load float64 // smoothed requests per second; 0 if unknown
}

// Server is a backend server that is a candidate owner of the group's slots.
type Server struct {
	ID          string
	Capacity    float64 // concurrent requests; a value below 1 counts as 1
	Home        bool    // in the group's home failure domain
	Drain       bool    // draining: must not own any slot
	Unreachable bool    // does not answer the group's keeper
}

// Input is the state of a group from which Plan computes a plan.
type Input struct {
	Slots   []SlotLoad        // every slot of the group, in any order
	Servers []Server          // every candidate owner, in any order
	Current map[uint32]string // current owner (server id) by slot; absent if unowned
}

// eligible returns the servers that may own slots, ordered by id. These are the
// usable servers of the home domain or, if there are none, the usable servers of
// the other domains.
func eligible(servers []Server) []Server {
	var home, remote []Server
	for _, server := range servers {
		switch {
		case server.Drain || server.Unreachable:
		case server.Home:
			home = append(home, server)
		default:
			remote = append(remote, server)
		}
	}
	if len(home) == 0 {
		home = remote
	}
	slices.SortFunc(home, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(home, func(a, b Server) bool { return a.ID == b.ID })
}

// effectiveCapacity returns the server's capacity, or 1 if it is below 1, infinite
// or NaN.
func effectiveCapacity(server Server) float64 {
	if math.IsInf(server.Capacity, 0) || !(server.Capacity > 1) {
		return 1
	}
	return server.Capacity
}

// effectiveLoad returns the slot's load, or 0 if it is negative, infinite or NaN.
func effectiveLoad(slot SlotLoad) float64 {
	if math.IsInf(slot.Load, 0) || !(slot.Load > 0) {
		return 0
	}
	return slot.Load
}
