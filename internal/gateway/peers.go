package gateway

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/retry"
	"kumquatcleat/internal/rows"
)

// vmRow is the row that a VM writes about itself to the store.
type vmRow struct {
	PeerAddress   string `json:"peer_address"`
	FailureDomain string `json:"failure_domain"`
	// Strength ranks VMs for tasks that one VM does for others.
	Strength float64 `json:"strength"`
	// RecordFormat is the newest format of owners records that the VM reads.
	RecordFormat keyspace.RecordFormat `json:"record_format,omitempty"`
	// Suspects are what this VM tells the others here, see retry.Exchange.
	Suspects *postedSuspects `json:"suspects,omitempty"`
}

// postedSuspects are the suspects that a VM posts in the store.
type postedSuspects struct {
	AtMS int64           `json:"at_ms"` // when their TTL held, Unix milliseconds
	List []retry.Suspect `json:"list"`
}

// current returns the suspects with what is left of their TTL. Clocks of VMs differ by seconds,
// and losses count for minutes.
func (p *postedSuspects) current(now time.Time) []retry.Suspect {
	age := max(0, now.Sub(time.UnixMilli(p.AtMS)))
	list := slices.Clone(p.List)
	for i := range list {
		list[i].TTL -= age
	}
	return list
}

// peer is a VM in the order of a failure domain, possibly this one.
type peer struct {
	name     string
	address  string
	strength float64
	hash     uint64 // of the name
}

func newPeer(name, address string, strength float64) peer {
	return peer{name: name, address: address, strength: strength, hash: hashName(name)}
}

// peers tracks the VMs: the rows they wrote to the store and which of them do not
// respond.
//
// The first two VMs of each failure domain, its readers, follow the store. The others
// follow the first reader and poll a second source for changes that it has not
// delivered: a reader that is frozen, partitioned or rejected by the store must not
// keep its domain on an old configuration. All VMs order the VMs of a domain in the
// same way; each VM skips those that did not respond to it, and prefers sources that are
// not behind the store. A VM that is behind all the same reads the store itself.
type peers struct {
	settings  *Settings
	store     rows.Store
	startedAt time.Time

	mu        sync.Mutex // guards the fields below
	vms       map[string]vmRow
	missing   map[string]time.Time // VMs whose row disappeared, and may be back, by name
	left      map[string]time.Time // VMs whose row is gone, by name
	ordered   map[string][]peer    // vms by failure domain, in order; nil: to be computed
	skipUntil map[string]time.Time // by address: no requests are sent to it before
	// behindUntil holds, by address, until when a VM counts as behind the store, because it
	// said so. It is followed only if there is no other.
	behindUntil map[string]time.Time
	// nextSeed selects the next seed: seeds are tried in turn, as one may start later
	// than this VM.
	nextSeed int

	posted  retry.Post    // what this VM's row tells of suspects
	row     []byte        // this VM's row
	changed chan struct{} // signals that row changed

	withdrawn atomic.Bool // this VM stops, its row is not to be written any more

	// learn is called with the suspects that other VMs posted.
	learn func([]retry.Suspect)

	// readsStore reports whether this VM reached the store lately. A reader that did not
	// follows others.
	readsStore func() bool
}

// peerSkipTime is how long a VM that did not respond is skipped.
const peerSkipTime = 3 * time.Second

func newPeers(s *Settings, store rows.Store) *peers {
	return &peers{settings: s, store: store, startedAt: time.Now(), changed: make(chan struct{}, 1), learn: func([]retry.Suspect) {}, vms: map[string]vmRow{}, missing: map[string]time.Time{}, left: map[string]time.Time{}, skipUntil: map[string]time.Time{}, behindUntil: map[string]time.Time{}, readsStore: func() bool { return true }, nextSeed: rand.IntN(1 + len(s.Seeds))}
}

// apply updates the known VMs from changed rows.
func (p *peers) apply(changed []rows.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordered = nil
	for _, row := range changed {
		if row.Deleted && row.Unsettled {
			p.expectBack(row.Key)
			continue
		}
		delete(p.missing, row.Key)
		if row.Deleted {
			p.forget(row.Key)
			continue
		}
		var vm vmRow
		if err := json.Unmarshal(row.Value, &vm); err != nil {
			slog.Warn("peers: decode row of a VM failed", "vm", row.Key, "error", err.Error())
			continue
		}
		p.vms[row.Key] = vm
		if vm.Suspects != nil && row.Key != p.settings.VM {
			p.learn(vm.Suspects.current(time.Now()))
		}
	}
}

// count returns the number of VMs, including this one.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(len(p.vms), 1)
}

// forget removes a VM. The caller holds the lock.
func (p *peers) forget(vm string) {
	delete(p.vms, vm)
	p.left[vm] = time.Now()
}

// countRecent returns the number of VMs that may have run within a time before now, 0 if they are
// not known yet. A VM that is told to stop removes its row and runs on for up to its grace.
func (p *peers) countRecent(within time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.vms)
	for vm, at := range p.left {
		if _, back := p.vms[vm]; back || time.Since(at) > within+p.settings.Grace() {
			delete(p.left, vm)
			continue
		}
		n++
	}
	return n
}

// countIn returns the numbers of VMs in a failure domain and in all, 0 if none are known yet.
func (p *peers) countIn(domain string) (inDomain, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.domains()[domain]), len(p.vms)
}

// others returns all VMs but this one.
func (p *peers) others() []peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []peer
	for _, domain := range p.domains() {
		for _, v := range domain {
			if v.name != p.settings.VM {
				list = append(list, v)
			}
		}
	}
	return list
}

// byDomain returns the other VMs that may be sent requests: those of this VM's failure domain
// and the rest.
func (p *peers) byDomain(now time.Time) (local, remote []peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for domain, list := range p.domains() {
		for _, v := range list {
			switch {
			case v.name == p.settings.VM || !p.mayAsk(now, &v):
			case domain == p.settings.FailureDomain:
				local = append(local, v)
			default:
				remote = append(remote, v)
			}
		}
	}
	return local, remote
}

// recordFormat returns the newest format of owners records that all known VMs read.
func (p *peers) recordFormat() keyspace.RecordFormat {
	p.mu.Lock()
	defer p.mu.Unlock()
	format := keyspace.FormatColumns
	for _, vm := range p.vms {
		format = min(format, vm.RecordFormat)
	}
	return format
}

// rank returns this VM's position in an order of all VMs that is the same on each VM.
func (p *peers) rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := newPeer(p.settings.VM, "", strength(p.settings))
	rank := 0
	for name, vm := range p.vms {
		if name != p.settings.VM && comparePeers(newPeer(name, "", vm.Strength), self) < 0 {
			rank++
		}
	}
	return rank
}

// fullLinkMbps is the link bandwidth, in megabits per second, from which the link does not
// limit a reader.
const fullLinkMbps = 100.0

// strength returns a VM's capacity for tasks done for others: its cores, scaled down if
// its link is narrow.
func strength(s *Settings) float64 { return s.Processor * min(1, s.LinkMbps/fullLinkMbps) }

// comparePeers orders VMs by descending strength, then by a hash of their names.
func comparePeers(a, b peer) int {
	return cmp.Or(cmp.Compare(b.strength, a.strength), cmp.Compare(a.hash, b.hash))
}

func hashName(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// readersPerDomain is the number of VMs of a failure domain that follow the store. With one
// reader each, a store that rejects the readers of all domains would keep all VMs on an
// old version.
const readersPerDomain = 2

// domains returns all VMs by failure domain and in order, including this VM. The caller
// must not modify the result.
func (p *peers) domains() map[string][]peer {
	if p.ordered != nil {
		return p.ordered
	}
	p.ordered = map[string][]peer{}
	for name, vm := range p.vms {
		p.ordered[vm.FailureDomain] = append(p.ordered[vm.FailureDomain], newPeer(name, vm.PeerAddress, vm.Strength))
	}
	for _, list := range p.ordered {
		slices.SortFunc(list, comparePeers)
	}
	return p.ordered
}

// failureDomains returns the failure domains of all VMs.
func (p *peers) failureDomains() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.domains()))
}

// mayAsk reports whether a VM may be sent requests, or is this one.
func (p *peers) mayAsk(now time.Time, v *peer) bool {
	return v.name == p.settings.VM || !now.Before(p.skipUntil[v.address])
}

// responsive returns up to limit VMs of a failure domain that may be sent requests, in order
// and including this VM.
func (p *peers) responsive(now time.Time, domain string, limit int) []peer {
	var list []peer
	for _, v := range p.domains()[domain] {
		if len(list) == limit {
			break
		}
		if p.mayAsk(now, &v) {
			list = append(list, v)
		}
	}
	return list
}

// sources returns the VMs to follow. first is nil if this VM is the first of its
// domain; second delivers the changes that the first source does not.
func (p *peers) sources(now time.Time) (first, second *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.vms) == 0 && now.Sub(p.startedAt) < seedPhase {
		return p.pickSeed(now), nil
	}
	self := p.position(now)
	follows := self >= readersPerDomain || self >= 0 && !p.readsStore()
	if self > 0 || follows {
		if local := p.fresh(now, p.settings.FailureDomain); len(local) > 0 {
			first = &local[0]
			if len(local) > 1 {
				second = &local[1]
			}
		}
	}
	if self >= readersPerDomain && second != nil {
		return first, second
	}
	var remote []peer
	for domain := range p.domains() {
		if domain != p.settings.FailureDomain {
			list := p.fresh(now, domain)
			remote = append(remote, list[:min(len(list), readersPerDomain)]...)
		}
	}
	if len(remote) > 0 {
		second = &remote[rand.IntN(len(remote))]
	}
	return first, second
}

// fresh returns the other VMs of a failure domain that may be followed, in order: the first
// responsive ones without those that are behind the store. If all of them are, the order is random.
func (p *peers) fresh(now time.Time, domain string) []peer {
	list := p.responsive(now, domain, sourceCandidates)
	list = slices.DeleteFunc(list, func(v peer) bool { return v.name == p.settings.VM })
	current := slices.DeleteFunc(slices.Clone(list), func(v peer) bool { return now.Before(p.behindUntil[v.address]) })
	if len(current) > 0 {
		return current
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// sourceCandidates is the number of VMs of a failure domain among which others choose their
// sources. The first ones of them are the first to read the store if the readers are behind.
const sourceCandidates = 5

// behindTime is how long a VM that is behind the store is not followed. Then it is asked again.
const behindTime = 500 * time.Millisecond

// isBehind reports whether a VM said lately that it is behind the store.
func (p *peers) isBehind(v *peer, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.behindUntil[v.address])
}

// markBehind records that a VM said that it is behind the store.
func (p *peers) markBehind(v *peer, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.behindUntil[v.address]) > behindTime { // once for a series
		slog.Info("peers: VM is behind the store", "vm", v.name, "address", v.address, "age_ms", age.Milliseconds())
	}
	p.behindUntil[v.address] = now.Add(behindTime)
}

// standby returns the VM to use as the standby of this one: the strongest responsive VM in
// another failure domain, so that it survives a failure of this VM's domain. Without
// one, it returns another VM of the same domain, or nil.
func (p *peers) standby(now time.Time) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best []peer
	for domain := range p.domains() {
		if domain != p.settings.FailureDomain {
			best = append(best, p.responsive(now, domain, 1)...)
		}
	}
	if len(best) == 0 {
		best = p.responsive(now, p.settings.FailureDomain, 2)
		best = slices.DeleteFunc(best, func(v peer) bool { return v.name == p.settings.VM })
	}
	if len(best) == 0 {
		return nil
	}
	first := slices.MinFunc(best, comparePeers)
	return &first
}

// seedPhase is how long a VM that knows no other VM asks its seeds before it reads the
// store: many VMs start together, and each read of the store has a cost.
const seedPhase = 1200 * time.Millisecond

// seedName is used as the name of a seed, whose VM name is unknown.
const seedName = "seed"

// usableSeeds returns the seeds that may be sent requests, for a VM that knows no other.
// It returns none on a VM that is a seed itself, which reads the store.
func (p *peers) usableSeeds(now time.Time) []peer {
	var list []peer
	for _, address := range p.settings.Seeds {
		if address == p.settings.PeerListen {
			return nil
		}
		if !now.Before(p.skipUntil[address]) {
			list = append(list, peer{name: seedName, address: address})
		}
	}
	return list
}

// pickSeed returns the next seed to ask, or nil.
func (p *peers) pickSeed(now time.Time) *peer {
	list := p.usableSeeds(now)
	if len(list) == 0 {
		return nil
	}
	p.nextSeed++
	return &list[p.nextSeed%len(list)]
}

// precedes reports whether another VM comes before this one in the order of its domain.
func (p *peers) precedes(v *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms[v.name].FailureDomain == p.settings.FailureDomain && comparePeers(*v, newPeer(p.settings.VM, "", strength(p.settings))) < 0
}

// domainPosition returns this VM's position among the responsive VMs of its domain. VMs
// below readersPerDomain are readers. A VM that knows no other tries its seeds first.
func (p *peers) domainPosition(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.vms) == 0 {
		if now.Sub(p.startedAt) < seedPhase && len(p.usableSeeds(now)) > 0 {
			return readersPerDomain
		}
		return 0
	}
	return max(0, p.position(now))
}

// position returns this VM's position among the responsive VMs of its domain, or -1 if
// its own row is not known.
func (p *peers) position(now time.Time) int {
	position := 0
	for _, v := range p.domains()[p.settings.FailureDomain] {
		if v.name == p.settings.VM {
			return position
		}
		if p.mayAsk(now, &v) {
			position++
		}
	}
	return -1
}

// markFailed records that a VM did not respond.
func (p *peers) markFailed(v *peer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.name == seedName && time.Since(p.startedAt) < seedPhase {
		return // the seed may be starting at the same time as this VM
	}
	slog.Info("peers: VM did not respond", "vm", v.name, "address", v.address, "error", err.Error())
	p.skipUntil[v.address] = time.Now().Add(peerSkipTime)
}
