package main

import (
	"strconv"

	"kumquatcleat/internal/placement"
)

// Properties of the measurements that plans are made from.
const (
	smoothing      = 0.3 // weight of the newest interval in a smoothed load
	sketchCapacity = 256
)

// group is the measured load of a group's slots and keys. Plans see it one
// interval late.
type group struct {
	service  service
	domain   int
	keys     []int              // keys of the group
	slotOf   []int              // by key: the slot of its hash
	measured []float64          // by slot: smoothed requests a second
	hottest  []placement.HotKey // in requests a second
	sketch   *placement.HotKeys
	actual   []float64 // by slot: true requests a second
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

// measure takes in the requests of one plan interval.
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

// observe takes in the true load, which no plan but the ideal one sees.
func (g *group) observe(load *workload) {
	g.actual = make([]float64, g.service.slotCount)
	for _, key := range g.keys {
		g.actual[load.slots[key]] += load.load[key]
	}
}
