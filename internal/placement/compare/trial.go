package main

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"kumquatcleat/internal/placement"
)

// run simulates all algorithms on one service under the same load.
func run(s service, skew float64, algorithms []algorithm, seed uint64) []result {
	load := newWorkload(s, skew, rand.New(rand.NewPCG(seed, randomStream(s, skew))))
	var groups []*group
	var trials []*trial
	for domain := range s.domains {
		g := newGroup(s, domain, load)
		groups = append(groups, g)
		for _, a := range algorithms {
			trials = append(trials, &trial{algorithm: a, group: g, owners: map[uint32]string{}, pinned: map[int]bool{}})
		}
	}
	for now := time.Duration(0); now < simulatedTime; now += planInterval {
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
		results = append(results, result{s, skew, t.algorithm.name, t.stats})
	}
	return results
}

// randomStream returns the random number stream of a simulation, so that every
// service and skew has a stream of its own.
func randomStream(s service, skew float64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.name + strconv.FormatFloat(skew, 'g', -1, 64)))
	return h.Sum64()
}

// trial is the simulation of one algorithm on one group.
type trial struct {
	algorithm algorithm
	group     *group
	owners    map[uint32]string // by slot; the slot of a pinned key is its pinSlot
	pinned    map[int]bool      // by key
	stats     stats
}

// pinSlot returns the slot reserved for a pinned key.
func (t *trial) pinSlot(key int) uint32 { return uint32(t.group.service.slotCount + key) }

// replan makes a plan from the measurements of the previous intervals and counts
// its moves.
func (t *trial) replan(now time.Duration) {
	servers := t.group.service.serversAt(t.group.domain, now)
	in := placement.Input{Servers: servers, Current: t.owners}
	balanceMoves := 0
	switch {
	case t.algorithm.ideal:
		in.Slots, in.Current = t.slotsWith(t.group.actual), nil
	case t.algorithm.pins != nil:
		balanceMoves = t.choosePins(len(usable(servers)))
		in.Slots = t.measuredSlots()
	default:
		in.Slots = t.slotsWith(t.group.measured)
	}
	plan := t.algorithm.plan(in)
	t.count(now, plan, usable(servers), balanceMoves)
	t.owners = plan
}

// count adds the moves of a plan to the stats. balanceMoves is the number of
// balancing moves already made by unpinning keys.
func (t *trial) count(now time.Duration, plan map[uint32]string, servers []placement.Server, balanceMoves int) {
	if now < warmUp {
		return
	}
	forcedMoves := 0
	for slot, owner := range plan {
		before, ok := t.owners[slot]
		if !ok || before == owner {
			continue
		}
		if slices.ContainsFunc(servers, func(s placement.Server) bool { return s.ID == before }) {
			balanceMoves++
		} else {
			forcedMoves++
		}
	}
	slots := float64(len(t.group.slots()))
	t.stats.forcedMoves += float64(forcedMoves) / slots
	t.stats.balanceMoves += float64(balanceMoves) / slots
	t.stats.groupMinutes += planInterval.Minutes()
}

// choosePins pins and unpins keys and returns the number of moves. A newly pinned
// key stays on its server. An unpinned key returns to the owner of its hash slot,
// which counts as a move if that is another server.
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
	for _, name := range placement.ChoosePins(t.group.hottest, total/float64(servers), names, *t.algorithm.pins) {
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

// slotOf returns the slot that a key's hash selects.
func (t *trial) slotOf(key int) uint32 { return uint32(t.group.slotOf[key]) }

// slotsWith returns the group's slots with the given loads by slot.
func (t *trial) slotsWith(loads []float64) []placement.SlotLoad {
	var slots []placement.SlotLoad
	for _, slot := range t.group.slots() {
		slots = append(slots, placement.SlotLoad{Slot: uint32(slot), Load: max(0, loads[slot])})
	}
	return slots
}

// measuredSlots returns the slots with their measured loads. The load of a pinned
// key counts for its own slot, not for its hash slot.
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

// record adds the current imbalance of the true load to the stats.
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
	t.stats.imbalances = append(t.stats.imbalances, highest*float64(servers)/total)
}
