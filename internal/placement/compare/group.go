package main

import (
	"strconv"

	"kumquatcleat/internal/placement"
)

// Parameters of the load measurement.
const (
	// smoothing is the weight of the newest interval in the smoothed load. This is a time
	// constant of about 3 s, against 20 s in the daemon.
	smoothing      = 0.3
	sketchCapacity = 256
)

// group holds the measured load of a group's slots and keys. Plans use the
// measurements of the previous interval.
type group struct {
	service  service
	domain   int
	keys     []int              // keys of the group
	slotOf   []int              // by key: the slot that its hash selects
	measured []float64          // by slot: smoothed requests per second
	hottest  []placement.HotKey // counted in requests per second
	sketch   *placement.HotKeys
	actual   []float64 // by slot: true requests per second
}

func newGroup(s service, domain int, load *workload) *group {
	g := &group{
		service:  s,
		domain:   domain,
		slotOf:   load.slots,
		measured: make([]float64, s.slotCount),
		sketch:   placement.NewHotKeys(sketchCapacity),
	}
	for key, slot := range load.slots {
		if slot%s.domains == domain {
			g.keys = append(g.keys, key)
		}
	}
	return g
}

// slots returns the group's slots.
func (g *group) slots() []int {
	var slots []int
	for slot := g.domain; slot < g.service.slotCount; slot += g.service.domains {
		slots = append(slots, slot)
	}
	return slots
}

// measure updates the measurements with the requests of one plan interval.
func (g *group) measure(load *workload) {
	counts := make([]float64, g.service.slotCount)
	g.sketch.Decay(1 - smoothing)
	for _, key := range g.keys {
		if n := load.count(key); n > 0 {
			counts[load.slots[key]] += n
			g.sketch.Add(strconv.Itoa(key), n)
		}
	}
	seconds := planInterval.Seconds()
	for _, slot := range g.slots() {
		g.measured[slot] += smoothing * (counts[slot]/seconds - g.measured[slot])
	}
	g.hottest = g.sketch.Top()
	for i := range g.hottest {
		g.hottest[i].Count *= smoothing / seconds
		g.hottest[i].Error *= smoothing / seconds
	}
}

// observe stores the true load, which only the ideal algorithm plans with.
func (g *group) observe(load *workload) {
	g.actual = make([]float64, g.service.slotCount)
	for _, key := range g.keys {
		g.actual[load.slots[key]] += load.load[key]
	}
}
