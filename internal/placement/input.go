// Package placement decides which server should own each slot of a group.
//
// Everything here is a pure function of its arguments: no clock, no I/O, no
// random numbers. The same input gives the same plan on every VM.
package placement

import (
	"cmp"
	"math"
	"slices"
)

// SlotLoad is the measured load of one slot.
type SlotLoad struct {
	Slot uint32
	Load float64 // requests a second, smoothed; 0 when unknown
}

// Server is one server that may own slots of the group.
type Server struct {
	ID       string
	Capacity float64 // requests that it runs at once; below 1 counts as 1
	Home     bool    // in the group's home domain
	Drain    bool    // is to own nothing
	Lost     bool    // is taken for lost
}

// Input is what a plan is made from.
type Input struct {
	Slots   []SlotLoad        // every slot of the group
	Servers []Server          // every server that may own slots of the group
	Current map[uint32]string // owner of each slot now, by server id; absent: none
}

// eligible returns the servers that may own slots, ordered by id: those of the
// home domain, or if none of them is usable, those of the other domains.
func eligible(servers []Server) []Server {
	var home, away []Server
	for _, server := range servers {
		switch {
		case server.Drain || server.Lost:
		case server.Home:
			home = append(home, server)
		default:
			away = append(away, server)
		}
	}
	if len(home) == 0 {
		home = away
	}
	slices.SortFunc(home, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(home, func(a, b Server) bool { return a.ID == b.ID })
}

// capacityOf returns the capacity that a plan reckons with.
func capacityOf(server Server) float64 {
	if math.IsInf(server.Capacity, 0) || !(server.Capacity > 1) {
		return 1
	}
	return server.Capacity
}

// loadOf returns the load that a plan reckons with.
func loadOf(slot SlotLoad) float64 {
	if math.IsInf(slot.Load, 0) || !(slot.Load > 0) {
		return 0
	}
	return slot.Load
}
