package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Plan returns the wanted owner of each slot, by server id. Every slot has one
// as long as a server is neither lost nor draining; otherwise the plan is empty.
//
// A slot stays with its owner, except that it leaves a server that may no
// longer own it, and that a few slots leave servers loaded above the tolerance.
// Servers outside the home domain are used only when no home server is usable.
//
// Under constant load plans converge and then move nothing. Each move for
// balance lowers the load of the hotter of its two servers, so the list of all
// loads, sorted from high to low, decreases in lexical order with every move. No
// assignment can come back, and there are finitely many.
func Plan(in Input, s Settings) map[uint32]string {
	servers := eligible(in.Servers)
	if len(servers) == 0 {
		return map[uint32]string{}
	}
	p := newPlanner(in, servers, s)
	p.keepOwners(in.Current)
	p.placeOrphans()
	p.balance()
	return p.result()
}

// noServer marks a slot that has no owner yet.
const noServer = -1

// planner holds a plan in the making. Servers and slots are named by their
// index in ascending order of id, so that every loop is deterministic.
type planner struct {
	settings Settings
	servers  []Server
	slots    []SlotLoad
	weight   []float64 // by slot: measured load plus the idle weight
	owner    []int     // by slot: server or noServer
	owned    [][]int   // by server: its slots
	load     []float64 // by server: weight of its slots divided by its capacity
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

// weights returns what each slot counts. Without any measured load all slots
// count the same.
func weights(slots []SlotLoad, idleWeight float64) []float64 {
	total := 0.0
	for _, slot := range slots {
		total += loadOf(slot)
	}
	idle := idleWeight * total / float64(max(1, len(slots)))
	if total == 0 {
		idle = 1
	}
	weight := make([]float64, len(slots))
	for i, slot := range slots {
		weight[i] = loadOf(slot) + idle
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
		capacity += capacityOf(server)
	}
	return total / capacity
}

// keepOwners leaves each slot with its current owner if that may own slots.
func (p *planner) keepOwners(current map[uint32]string) {
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

// placeOrphans gives every slot without an owner to the server that is least
// loaded with it, the heaviest slots first.
func (p *planner) placeOrphans() {
	var orphans []int
	for slot, server := range p.owner {
		if server == noServer {
			orphans = append(orphans, slot)
		}
	}
	slices.SortStableFunc(orphans, func(a, b int) int { return cmp.Compare(p.weight[b], p.weight[a]) })
	for _, slot := range orphans {
		p.assign(slot, p.leastLoadedWith(slot))
	}
}

// leastLoadedWith returns the server whose load is lowest once it owns slot.
// Equal servers are told apart by rendezvous hashing.
func (p *planner) leastLoadedWith(slot int) int {
	best, bestLoad, bestScore := noServer, math.Inf(1), uint64(0)
	for server := range p.servers {
		load := p.load[server] + p.share(slot, server)
		score := Score(p.slots[slot].Slot, p.servers[server].ID)
		if load < bestLoad || load == bestLoad && score > bestScore {
			best, bestLoad, bestScore = server, load, score
		}
	}
	return best
}

// balance moves slots off the servers that are loaded above the tolerance, the
// hottest first, as long as moves pay and the budget lasts.
func (p *planner) balance() {
	budget := int(math.Ceil(p.settings.MoveBudget * float64(len(p.slots))))
	limit := p.mean * (1 + p.settings.Tolerance)
	done := make([]bool, len(p.servers)) // no move off it pays any more
	for budget > 0 {
		from := p.hottest(done)
		if from == noServer || p.load[from] <= limit {
			return
		}
		slot, to := p.bestMove(from)
		if slot == noServer {
			done[from] = true
			continue
		}
		p.unassign(slot)
		p.assign(slot, to)
		budget--
	}
}

// hottest returns the most loaded server that is not done, or noServer.
func (p *planner) hottest(done []bool) int {
	best := noServer
	for server := range p.servers {
		if done[server] {
			continue
		}
		if best == noServer || p.load[server] > p.load[best] {
			best = server
		}
	}
	return best
}

// bestMove returns the move off a server that gains most; noServer for the slot
// when no move pays. Of equal gains the coolest target, then the lowest slot win.
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

// gain returns by how much the higher of two servers' loads falls if slot moves
// from one to the other.
func (p *planner) gain(slot, from, to int) float64 {
	if from == to {
		return 0
	}
	before := max(p.load[from], p.load[to])
	after := max(p.load[from]-p.share(slot, from), p.load[to]+p.share(slot, to))
	return before - after
}

// share returns the load that slot puts on server.
func (p *planner) share(slot, server int) float64 {
	return p.weight[slot] / capacityOf(p.servers[server])
}

func (p *planner) assign(slot, server int) {
	p.owner[slot] = server
	p.owned[server] = append(p.owned[server], slot)
	p.load[server] += p.share(slot, server)
}

func (p *planner) unassign(slot int) {
	server := p.owner[slot]
	at := slices.Index(p.owned[server], slot)
	p.owned[server] = slices.Delete(p.owned[server], at, at+1)
	p.load[server] -= p.share(slot, server)
	p.owner[slot] = noServer
}

func (p *planner) result() map[uint32]string {
	owners := make(map[uint32]string, len(p.slots))
	for slot, server := range p.owner {
		owners[p.slots[slot].Slot] = p.servers[server].ID
	}
	return owners
}

// Score is the rendezvous hash of a slot and a server: the server with the
// highest score is the slot's first choice among equals.
func Score(slot uint32, server string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(slot >> 24), byte(slot >> 16), byte(slot >> 8), byte(slot)})
	_, _ = d.WriteString(server)
	return d.Sum64()
}
