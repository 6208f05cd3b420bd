package main

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"kumquatcleat/internal/placement"
)

// run computes all ways on one service under the same load.
func run(s service, skew float64, ways []way, seed uint64) []result {
	load := newWorkload(s, skew, rand.New(rand.NewPCG(seed, streamOf(s, skew))))
	var groups []*group
	var trials []*trial
	for domain := range s.domains {
		g := newGroup(s, domain, load)
		groups = append(groups, g)
		for _, w := range ways {
			trials = append(trials, &trial{way: w, group: g, owners: map[uint32]string{}, pinned: map[int]bool{}})
		}
	}
	for now := time.Duration(0); now < length; now += planInterval {
		for _, g := range groups {
			g.observe(load)
		}
		for _, t := range trials {
			t.replan(now)
			t.record(now, load)
		}
		for _, g := range groups {
			g.measure(load)
		}
		load.step()
	}
	var results []result
	for _, t := range trials {
		results = append(results, result{s, skew, t.way.name, t.figures})
	}
	return results
}

// streamOf tells the random numbers of one computation from those of others.
func streamOf(s service, skew float64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.name + strconv.FormatFloat(skew, 'g', -1, 64)))
	return h.Sum64()
}

// trial is one way at work on one group.
type trial struct {
	way     way
	group   *group
	owners  map[uint32]string // by slot; a pinned key's slot is pinSlot
	pinned  map[int]bool      // by key
	figures figures
}

// pinSlot returns the slot of its own that a pinned key has.
func (t *trial) pinSlot(key int) uint32 { return uint32(t.group.service.slotCount + key) }

// replan makes a plan from what was measured before now and counts its moves.
func (t *trial) replan(now time.Duration) {
	servers := t.group.service.serversAt(t.group.domain, now)
	in := placement.Input{Servers: servers, Current: t.owners}
	free := 0
	switch {
	case t.way.ideal:
		in.Slots, in.Current = t.slotsWith(t.group.actual), nil
	case t.way.pins != nil:
		free = t.choosePins(len(usable(servers)))
		in.Slots = t.measuredSlots()
	default:
		in.Slots = t.slotsWith(t.group.measured)
	}
	plan := t.way.plan(in)
	t.count(now, plan, usable(servers), free)
	t.owners = plan
}

// count counts the moves that a plan makes, beside some free ones already made.
func (t *trial) count(now time.Duration, plan map[uint32]string, servers []placement.Server, free int) {
	if now < warmUp {
		return
	}
	forced := 0
	for slot, owner := range plan {
		before, ok := t.owners[slot]
		if !ok || before == owner {
			continue
		}
		if slices.ContainsFunc(servers, func(s placement.Server) bool { return s.ID == before }) {
			free++
		} else {
			forced++
		}
	}
	slots := float64(len(t.group.slots()))
	t.figures.forced += float64(forced) / slots
	t.figures.free += float64(free) / slots
	t.figures.minutes += planInterval.Minutes()
}

// choosePins pins and unpins keys. A key is pinned where it is; an unpinned one
// goes back to its slot's owner, which is a move if that is another server.
func (t *trial) choosePins(servers int) (moves int) {
	total := 0.0
	for _, slot := range t.group.slots() {
		total += t.group.measured[slot]
	}
	var names []string
	for key := range t.pinned {
		names = append(names, strconv.Itoa(key))
	}
	chosen := map[int]bool{}
	for _, name := range placement.ChoosePins(t.group.hottest, total/float64(servers), names, *t.way.pins) {
		key, _ := strconv.Atoi(name)
		chosen[key] = true
		if !t.pinned[key] {
			t.owners[t.pinSlot(key)] = t.owners[t.slotOf(key)]
		}
	}
	for key := range t.pinned {
		if chosen[key] {
			continue
		}
		if t.owners[t.pinSlot(key)] != t.owners[t.slotOf(key)] {
			moves++
		}
		delete(t.owners, t.pinSlot(key))
	}
	t.pinned = chosen
	return moves
}

// slotOf returns the slot of a key's hash.
func (t *trial) slotOf(key int) uint32 { return uint32(t.group.slotOf[key]) }

// slotsWith returns the group's slots with loads given by slot.
func (t *trial) slotsWith(loads []float64) []placement.SlotLoad {
	var slots []placement.SlotLoad
	for _, slot := range t.group.slots() {
		slots = append(slots, placement.SlotLoad{Slot: uint32(slot), Load: max(0, loads[slot])})
	}
	return slots
}

// measuredSlots returns the slots with their measured loads, those of pinned
// keys apart.
func (t *trial) measuredSlots() []placement.SlotLoad {
	rest := slices.Clone(t.group.measured)
	var pins []placement.SlotLoad
	for _, key := range t.group.hottest {
		number, _ := strconv.Atoi(key.Key)
		if t.pinned[number] {
			load := key.Count - key.Error
			rest[t.slotOf(number)] -= load
			pins = append(pins, placement.SlotLoad{Slot: t.pinSlot(number), Load: load})
		}
	}
	return append(t.slotsWith(rest), pins...)
}

// record takes down how evenly the true load is spread now.
func (t *trial) record(now time.Duration, load *workload) {
	if now < warmUp {
		return
	}
	slots := slices.Clone(t.group.actual)
	byServer, total, highest := map[string]float64{}, 0.0, 0.0
	for key := range t.pinned {
		slots[t.slotOf(key)] -= load.load[key]
		byServer[t.owners[t.pinSlot(key)]] += load.load[key]
		total += load.load[key]
	}
	for _, slot := range t.group.slots() {
		byServer[t.owners[uint32(slot)]] += slots[slot]
		total += slots[slot]
	}
	for _, onServer := range byServer {
		highest = max(highest, onServer)
	}
	servers := len(usable(t.group.service.serversAt(t.group.domain, now)))
	t.figures.imbalances = append(t.figures.imbalances, highest*float64(servers)/total)
}
