package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"kumquatcleat/internal/rows"
	"kumquatcleat/internal/wait"
)

// vmRow is what a VM announces of itself.
type vmRow struct {
	PeerAddress   string `json:"peer_address"`
	FailureDomain string `json:"failure_domain"`
	// Strength orders VMs for work that one does for others.
	Strength float64 `json:"strength"`
}

// peer is another VM.
type peer struct {
	name     string
	address  string
	strength float64
}

// peers knows the VMs, by the rows that they announced and by how they answer.
//
// The first two VMs of each failure domain, its readers, follow the store. The
// others follow the first, and ask a second source for what it has not brought: a
// reader that is frozen, cut off or turned away by the store must not keep its
// domain on an old configuration. All VMs order the VMs of a domain alike; each
// passes over those that did not answer it.
type peers struct {
	settings *Settings
	store    rows.Store
	began    time.Time

	mu     sync.Mutex // owns the fields below
	vms    map[string]vmRow
	downTo map[string]time.Time // by address: not asked before
	// nextSeed is the place of the seed to ask next: they are asked in turn, as one
	// may start later than this VM.
	nextSeed int
}

// downFor is how long a VM that did not answer is passed over.
const downFor = 3 * time.Second

func newPeers(s *Settings, store rows.Store) *peers {
	return &peers{settings: s, store: store, began: time.Now(), vms: map[string]vmRow{}, downTo: map[string]time.Time{}, nextSeed: rand.IntN(1 + len(s.Seeds))}
}

// apply takes in changed rows of VMs.
func (p *peers) apply(changed []rows.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range changed {
		if row.Deleted {
			delete(p.vms, row.Key)
			continue
		}
		var vm vmRow
		if err := json.Unmarshal(row.Value, &vm); err != nil {
			slog.Warn("peers: a VM's row can't be read", "vm", row.Key, "error", err.Error())
			continue
		}
		p.vms[row.Key] = vm
	}
}

// count returns how many VMs there are, this one included.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(len(p.vms), 1)
}

// rank returns this VM's place in an order that all VMs agree on.
func (p *peers) rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := peer{name: p.settings.VM, strength: strength(p.settings)}
	rank := 0
	for name, vm := range p.vms {
		if name != p.settings.VM && compare(peer{name: name, strength: vm.Strength}, self) < 0 {
			rank++
		}
	}
	return rank
}

// usualLink is the link, in megabits a second, that is no bound for a reader.
const usualLink = 100.0

// strength returns how much a VM can do for others: its cores, less where its
// link is narrow.
func strength(s *Settings) float64 { return s.Processor * min(1, s.LinkMbps/usualLink) }

// compare orders VMs: strong ones first, equal ones by a hash of their names.
func compare(a, b peer) int {
	return cmp.Or(cmp.Compare(b.strength, a.strength), cmp.Compare(hash(a.name), hash(b.name)))
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// readers is how many VMs of a failure domain follow the store. With one, a store
// that turned the readers of all domains away kept all VMs on an old version.
const readers = 2

// domains returns the VMs that may be asked by failure domain, in their order.
// This VM stands among those of its own.
func (p *peers) domains(now time.Time) map[string][]peer {
	domains := map[string][]peer{}
	for name, vm := range p.vms {
		if name == p.settings.VM || !now.Before(p.downTo[vm.PeerAddress]) {
			domains[vm.FailureDomain] = append(domains[vm.FailureDomain], peer{name, vm.PeerAddress, vm.Strength})
		}
	}
	for _, list := range domains {
		slices.SortFunc(list, compare)
	}
	return domains
}

// sources returns the VMs to follow: first is nil where this VM stands first in
// its domain; second stands in for what the first source does not bring.
func (p *peers) sources(now time.Time) (first, second *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.vms) == 0 && now.Sub(p.began) < seedTime {
		return p.seed(now), nil
	}
	domains := p.domains(now)
	near := domains[p.settings.FailureDomain]
	self := slices.IndexFunc(near, func(v peer) bool { return v.name == p.settings.VM })
	if self > 0 {
		first = &near[0]
	}
	if self >= readers {
		return first, &near[1]
	}
	delete(domains, p.settings.FailureDomain)
	var far []peer
	for _, list := range domains {
		far = append(far, list[:min(readers, len(list))]...)
	}
	if len(far) > 0 {
		second = &far[rand.IntN(len(far))]
	}
	return first, second
}

// standby returns the VM that should stand by for this one: the first that answers
// in another failure domain, where the loss of this one's does not reach.
func (p *peers) standby(now time.Time) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	domains := p.domains(now)
	near := slices.DeleteFunc(domains[p.settings.FailureDomain], func(v peer) bool { return v.name == p.settings.VM })
	delete(domains, p.settings.FailureDomain)
	var best []peer
	for _, list := range domains {
		best = append(best, list[0])
	}
	if len(best) == 0 {
		best = near
	}
	if len(best) == 0 {
		return nil
	}
	first := slices.MinFunc(best, compare)
	return &first
}

// seedTime is how long a VM that knows no other asks those of its settings before
// it reads the store: many VMs start together, and each read is paid for.
const seedTime = 1200 * time.Millisecond

// seedName stands for the name of a VM of the settings.
const seedName = "seed"

// seeds returns the VMs of the settings that may be asked, for a VM that knows no
// other. A VM that is one of them reads the store itself.
func (p *peers) seeds(now time.Time) []peer {
	var list []peer
	for _, address := range p.settings.Seeds {
		if address == p.settings.PeerListen {
			return nil
		}
		if !now.Before(p.downTo[address]) {
			list = append(list, peer{name: seedName, address: address})
		}
	}
	return list
}

// seed returns the VM of the settings to ask next, or nil.
func (p *peers) seed(now time.Time) *peer {
	list := p.seeds(now)
	if len(list) == 0 {
		return nil
	}
	p.nextSeed++
	return &list[p.nextSeed%len(list)]
}

// place returns this VM's place among those of its domain that answer; readers
// stand below readers. A VM that knows no other waits for its seeds first.
func (p *peers) place(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.vms) == 0 {
		if now.Sub(p.began) < seedTime && len(p.seeds(now)) > 0 {
			return readers
		}
		return 0
	}
	near := p.domains(now)[p.settings.FailureDomain]
	return max(0, slices.IndexFunc(near, func(v peer) bool { return v.name == p.settings.VM }))
}

// failed notes that a VM did not answer.
func (p *peers) failed(v *peer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.name == seedName && time.Since(p.began) < seedTime {
		return // it starts beside this one
	}
	slog.Info("peers: a VM did not answer", "vm", v.name, "address", v.address, "error", err.Error())
	p.downTo[v.address] = time.Now().Add(downFor)
}

// announceRetry spaces the tries to write this VM's row.
const announceRetry = time.Second

// announce writes this VM's row if it is missing or says something else.
func (p *peers) announce(ctx context.Context, vms *rows.View) {
	value, err := json.Marshal(vmRow{PeerAddress: p.settings.PeerListen, FailureDomain: p.settings.FailureDomain, Strength: strength(p.settings)})
	if err != nil {
		slog.Error("peers: the VM's row can't be encoded", "error", err.Error())
		return
	}
	for !vms.Synced() {
		if !wait.For(ctx, announceRetry/10) {
			return
		}
	}
	row := vms.Row(p.settings.VM)
	for string(row.Value) != string(value) {
		_, err := p.store.Commit(ctx, []rows.Write{{Table: vmsTable, Key: p.settings.VM, Expect: row.Version, Value: value}})
		if err == nil {
			break
		}
		if !wait.For(ctx, announceRetry) {
			return
		}
		if found, err := p.store.Get(ctx, vmsTable, p.settings.VM); err == nil {
			row = found
		}
	}
	slog.Info("peers: announced", "vm", p.settings.VM)
}

// withdraw removes this VM's row.
func (p *peers) withdraw(ctx context.Context) {
	row, err := p.store.Get(ctx, vmsTable, p.settings.VM)
	if err == nil && row.Version != 0 {
		_, err = p.store.Commit(ctx, []rows.Write{{Table: vmsTable, Key: row.Key, Expect: row.Version, Delete: true}})
	}
	if err != nil {
		slog.Warn("peers: the VM's row was not removed", "error", err.Error())
	}
}
