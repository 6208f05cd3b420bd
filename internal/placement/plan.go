package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Plan returns the target owner (server id) of each slot. If every server is
// unreachable or draining, the plan is empty; otherwise it assigns every slot.
//
// A slot keeps its owner unless that server may no longer own slots, or its load
// exceeds the tolerance and the slot is one of the few moved to balance the load.
// Servers outside the home domain are used only if no home server is usable.
//
// Under constant load, plans converge and then move nothing. Each balancing move
// lowers the load of the hotter of its two servers, so the list of all server
// loads in descending order decreases lexicographically with every move. No
// assignment can therefore recur, and there are finitely many.
func Plan(in Input, s Settings) map[uint32]string {
	servers := eligible(in.Servers)
	if len(servers) == 0 {
		return map[uint32]string{}
	}
	p := newPlanner(in, servers, s)
	p.keepCurrentOwners(in.Current)
	p.placeUnowned()
	p.balance()
	return p.result()
}

// noServer is the server index of a slot without an owner.
const noServer = -1

// planner is the working state of Plan. It refers to servers and slots by their
// index in ascending order of id, so that every loop is deterministic.
type planner struct {
	settings Settings
	servers  []Server
	slots    []SlotLoad
	weight   []float64 // by slot: measured load plus the idle weight
	owner    []int     // by slot: its server, or noServer
	owned    [][]int   // by server: its slots
	load     []float64 // by server: total weight of its slots divided by its capacity
	mean     float64   // load per capacity if all servers were equally loaded
}

func newPlanner(in Input, servers []Server, s Settings) *planner {
	slots := slices.Clone(in.Slots)
	slices.SortFunc(slots, func(a, b SlotLoad) int { return cmp.Compare(a.Slot, b.Slot) })
	slots = slices.CompactFunc(slots, func(a, b SlotLoad) bool { return a.Slot == b.Slot })
	p := &planner{
		settings: s,
		servers:  servers,
		slots:    slots,
		weight:   weights(slots, s.IdleWeight),
		owner:    make([]int, len(slots)),
		owned:    make([][]int, len(servers)),
		load:     make([]float64, len(servers)),
	}
	p.mean = meanLoad(p.weight, servers)
	return p
}

// weights returns the weight of each slot: its load plus the idle weight. If no
// slot has a load, all slots weigh the same.
func weights(slots []SlotLoad, idleWeight float64) []float64 {
	total := 0.0
	for _, slot := range slots {
		total += effectiveLoad(slot)
	}
	idle := idleWeight * total / float64(max(1, len(slots)))
	if total == 0 {
		idle = 1
	}
	weight := make([]float64, len(slots))
	for i, slot := range slots {
		weight[i] = effectiveLoad(slot) + idle
	}
	return weight
}

// meanLoad returns the load per capacity if all servers were equally loaded.
func meanLoad(weight []float64, servers []Server) float64 {
	total, capacity := 0.0, 0.0
	for _, w := range weight {
		total += w
	}
	for _, server := range servers {
		capacity += effectiveCapacity(server)
	}
	return total / capacity
}

// keepCurrentOwners assigns each slot to its current owner if that server is
// eligible.
func (p *planner) keepCurrentOwners(current map[uint32]string) {
	index := make(map[string]int, len(p.servers))
	for i, server := range p.servers {
		index[server.ID] = i
	}
	for slot := range p.slots {
		p.owner[slot] = noServer
		id, ok := current[p.slots[slot].Slot]
		if !ok {
			continue
		}
		if server, ok := index[id]; ok {
			p.assign(slot, server)
		}
	}
}

// placeUnowned assigns each slot without an owner to the server whose load would
// be lowest with it, in descending order of slot weight.
func (p *planner) placeUnowned() {
	var unowned []int
	for slot, server := range p.owner {
		if server == noServer {
			unowned = append(unowned, slot)
		}
	}
	slices.SortStableFunc(unowned, func(a, b int) int { return cmp.Compare(p.weight[b], p.weight[a]) })
	for _, slot := range unowned {
		p.assign(slot, p.leastLoadedWith(slot))
	}
}

// leastLoadedWith returns the server whose load would be lowest if it owned slot.
// Rendezvous hashing breaks ties.
func (p *planner) leastLoadedWith(slot int) int {
	best, bestLoad, bestScore := noServer, math.Inf(1), uint64(0)
	for server := range p.servers {
		load := p.load[server] + p.loadOn(slot, server)
		score := Score(p.slots[slot].Slot, p.servers[server].ID)
		if load < bestLoad || load == bestLoad && score > bestScore {
			best, bestLoad, bestScore = server, load, score
		}
	}
	return best
}

// balance moves slots off servers whose load exceeds the tolerance, the hottest
// server first. It stops when no move gains enough or the budget is used up.
func (p *planner) balance() {
	budget := int(math.Ceil(p.settings.MoveBudget * float64(len(p.slots))))
	limit := p.mean * (1 + p.settings.Tolerance)
	exhausted := make([]bool, len(p.servers)) // servers from which no move gains enough
	for budget > 0 {
		from := p.hottest(exhausted)
		if from == noServer || p.load[from] <= limit {
			return
		}
		slot, to := p.bestMove(from)
		if slot == noServer {
			exhausted[from] = true
			continue
		}
		p.unassign(slot)
		p.assign(slot, to)
		budget--
	}
}

// hottest returns the most loaded server that is not exhausted, or noServer.
func (p *planner) hottest(exhausted []bool) int {
	best := noServer
	for server := range p.servers {
		if exhausted[server] {
			continue
		}
		if best == noServer || p.load[server] > p.load[best] {
			best = server
		}
	}
	return best
}

// bestMove returns the move off a server with the highest gain. slot is noServer
// if no move gains enough. Ties go to the least loaded target server, then to the
// slot that was assigned first.
func (p *planner) bestMove(from int) (slot, to int) {
	slot, to = noServer, noServer
	bestGain := p.settings.MinGain * p.mean
	for _, candidate := range p.owned[from] {
		for server := range p.servers {
			gain := p.gain(candidate, from, server)
			if gain > bestGain || gain == bestGain && slot != noServer && p.load[server] < p.load[to] {
				slot, to, bestGain = candidate, server, gain
			}
		}
	}
	return slot, to
}

// gain returns by how much the higher of the two servers' loads falls if slot
// moves between them.
func (p *planner) gain(slot, from, to int) float64 {
	if from == to {
		return 0
	}
	before := max(p.load[from], p.load[to])
	after := max(p.load[from]-p.loadOn(slot, from), p.load[to]+p.loadOn(slot, to))
	return before - after
}

// loadOn returns the load that slot adds to server.
func (p *planner) loadOn(slot, server int) float64 {
	return p.weight[slot] / effectiveCapacity(p.servers[server])
}

func (p *planner) assign(slot, server int) {
	p.owner[slot] = server
	p.owned[server] = append(p.owned[server], slot)
	p.load[server] += p.loadOn(slot, server)
}

func (p *planner) unassign(slot int) {
	server := p.owner[slot]
	at := slices.Index(p.owned[server], slot)
	p.owned[server] = slices.Delete(p.owned[server], at, at+1)
	p.load[server] -= p.loadOn(slot, server)
	p.owner[slot] = noServer
}

func (p *planner) result() map[uint32]string {
	owners := make(map[uint32]string, len(p.slots))
	for slot, server := range p.owner {
		owners[p.slots[slot].Slot] = p.servers[server].ID
	}
	return owners
}

// Score returns the rendezvous hash of a slot and a server. Among equally loaded
// servers, the one with the highest score gets the slot.
func Score(slot uint32, server string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(slot >> 24), byte(slot >> 16), byte(slot >> 8), byte(slot)})
	_, _ = d.WriteString(server)
	return d.Sum64()
}
