package daemon

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/membership"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/peer"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/ring"
	"kumquatcleat/internal/wait"
)

const (
	memberTick       = 100 * time.Millisecond // granularity of pings and suspicion
	listInterval     = time.Second            // of reads of the platform's VM list
	listTimeout      = 2 * time.Second
	pingTimeout      = 250 * time.Millisecond
	memberInboxItems = 4096
	// settleTime covers a few pings of every VM that may keep a group.
	settleTime = 1500 * time.Millisecond
)

// Roster is an immutable view of the VMs, as this VM sees them.
type Roster struct {
	VMs    []platform.VM           // live entry VMs
	ByID   map[string]platform.VM  // the same, by id
	Groups map[string]GroupKeepers // by group
	Leave  map[string]bool         // servers that the platform's list calls leaving
	// LostServers were named by the list and are no longer.
	LostServers map[string]bool
	Settled     bool // the VMs that run have had time to answer
}

// GroupKeepers are the VMs that may keep one group.
type GroupKeepers struct {
	ID         config.GroupID
	Candidates []ownership.VMRef // in order of preference, their starts known
	Askable    []ownership.VMRef // the same, with VMs that are only listed
	Gone       []ownership.VMRef
}

// Members runs the membership duty: it reads the VM list, pings peers and
// publishes a Roster. Its goroutine owns the view.
type Members struct {
	self      ownership.VMRef
	view      *membership.View
	lister    platform.VMLister
	clients   *peer.Clients
	store     *config.Store
	clock     func() time.Duration
	inbox     *ring.Ring[func(now time.Duration)]
	roster    atomic.Pointer[Roster]
	leaving   map[string]bool
	servers   map[string]bool // that any list named
	lost      map[string]bool // of those, the ones that the last list lacks
	starts    starts
	digests   peerDigests
	seeds     []string      // peers' addresses from the settings
	listed    bool          // VMs were learnt, from the list or from a seed
	listedAt  time.Duration // when that was first
	lists     int           // counts lists read
	published published
	platform  atomic.Bool // the last read of the list succeeded
}

// NewMembers returns the duty. Run starts it.
func NewMembers(self membership.Self, view *membership.View, lister platform.VMLister,
	clients *peer.Clients, store *config.Store, clock func() time.Duration, seeds []string) *Members {
	m := &Members{
		self:    ownership.VMRef{ID: self.ID, Incarnation: self.Incarnation},
		view:    view,
		lister:  lister,
		clients: clients,
		store:   store,
		clock:   clock,
		inbox:   ring.New[func(time.Duration)](memberInboxItems),
		leaving: map[string]bool{},
		servers: map[string]bool{},
		starts:  newStarts(self.ID, self.Incarnation),
		seeds:   seeds,
	}
	m.roster.Store(&Roster{ByID: map[string]platform.VM{}, Groups: map[string]GroupKeepers{}})
	return m
}

// Roster returns the newest view.
func (m *Members) Roster() *Roster { return m.roster.Load() }

// PlatformUp reports whether the last read of the VM list succeeded.
func (m *Members) PlatformUp() bool { return m.platform.Load() }

// Run keeps the view until ctx ends.
func (m *Members) Run(ctx context.Context) {
	go m.readListForever(ctx)
	go m.askSeeds(ctx)
	ticker := time.NewTicker(memberTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-m.inbox.Items():
			change(m.clock())
		case <-ticker.C:
			now := m.clock()
			m.view.Tick(now)
			for _, vm := range m.view.PingTargets(now) {
				go m.ping(ctx, vm)
			}
			m.publish(now)
		}
	}
}

func (m *Members) readListForever(ctx context.Context) {
	for {
		m.readList(ctx)
		if !wait.For(ctx, listInterval) {
			return
		}
	}
}

func (m *Members) readList(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sentAt := m.clock()
	vms, age, err := m.lister.VMs(callCtx)
	up := err == nil
	if m.platform.Swap(up) != up {
		slog.Info("membership: platform's VM list", "readable", up)
	}
	if err != nil {
		return
	}
	m.inbox.Put(ctx, func(now time.Duration) {
		if !m.listed {
			m.listed, m.listedAt = true, now
		}
		m.lists++
		m.leaving = leavingServers(vms)
		m.lost = m.lostServers(vms)
		// The list may be as old as the time since the question, too.
		m.view.ListRead(now, m.starts.fill(vms), age+now-sentAt)
	})
}

// lostServers returns the servers that earlier lists named and this one lacks.
// The result is new at each call: rosters share it.
func (m *Members) lostServers(vms []platform.VM) map[string]bool {
	lost := maps.Clone(m.servers)
	for _, vm := range vms {
		if vm.Role == "server" {
			m.servers[vm.ID] = true
			delete(lost, vm.ID)
		}
	}
	return lost
}

func leavingServers(vms []platform.VM) map[string]bool {
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == "server" && vm.State == platform.VMLeaving {
			leaving[vm.ID] = true
		}
	}
	return leaving
}

func (m *Members) ping(ctx context.Context, vm platform.VM) {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answer, err := m.clients.For(vm.Address).Ping(callCtx, &peer.PingRequest{From: encodeVM(m.self)})
	if err == nil {
		m.digests.heard(vm.ID, answer.GetConfigDigest(), m.clock())
	}
	m.inbox.Put(ctx, func(now time.Duration) {
		if err != nil {
			m.view.PingFailed(now, vm.ID)
			return
		}
		m.starts.heard(decodeVM(answer.GetFrom()))
		m.view.PingAnswered(now, answer.GetFrom().GetId(), answer.GetFrom().GetIncarnation(), answer.GetStopping())
	})
}

// settled reports whether the VMs that run have had time to answer a ping since
// this VM learnt of them. Roles taken before that would go to whoever starts
// first, in whatever failure domain.
func (m *Members) settled(now time.Duration) bool {
	return m.listed && now-m.listedAt >= settleTime
}

// Mention tells that a group's row names a VM that is not in the roster.
func (m *Members) Mention(ctx context.Context, ref ownership.VMRef) {
	m.inbox.Put(ctx, func(now time.Duration) {
		switch m.starts.judge(ref) {
		case startOther:
			m.view.Mention(now, ref)
		case startUnasked:
			go m.pingListed(ctx, ref.ID)
		}
	})
}

// Meet has the VMs pinged whose starts are not known: a keeper can hand its role
// only to a VM whose start it knows.
func (m *Members) Meet(ctx context.Context, refs []ownership.VMRef) {
	for _, ref := range refs {
		if !strings.Contains(ref.Incarnation, startSeparator) {
			m.inbox.Put(ctx, func(time.Duration) { go m.pingListed(ctx, ref.ID) })
		}
	}
}

// pingListed pings a VM that the list names, to learn its start.
func (m *Members) pingListed(ctx context.Context, id string) {
	address, ok := m.starts.address(id)
	if ok {
		m.ping(ctx, platform.VM{ID: id, Address: address})
	}
}

// askSeeds learns VMs from the peers that the settings name, for as long as the
// platform's list was never read.
func (m *Members) askSeeds(ctx context.Context) {
	for len(m.seeds) > 0 && !m.Roster().Settled {
		for _, address := range m.seeds {
			m.askSeed(ctx, address)
		}
		if !wait.For(ctx, listInterval) {
			return
		}
	}
}

func (m *Members) askSeed(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answer, err := m.clients.For(address).Ping(callCtx, &peer.PingRequest{From: encodeVM(m.self), WantVms: true})
	if err != nil {
		return
	}
	m.inbox.Put(ctx, func(now time.Duration) {
		for _, vm := range decodeVMs(answer.GetVms()) {
			m.view.Learn(now, vm)
		}
		if !m.listed {
			m.listed, m.listedAt = true, now
		}
	})
}

// publishInterval bounds how old a roster may be: asking for candidates also
// keeps the pings among the VMs of a group going.
const publishInterval = 5 * time.Second

// published tells what a roster was made from.
type published struct {
	at         time.Duration
	generation uint64
	configs    uint64
	lists      int
	settled    bool
}

// publish makes a new roster when what it is made from has changed.
func (m *Members) publish(now time.Duration) {
	made := published{
		at:         now,
		generation: m.view.Generation(),
		configs:    m.store.Digest(),
		lists:      m.lists,
		settled:    m.settled(now),
	}
	last := m.published
	last.at = now
	if made == last && now-m.published.at < publishInterval {
		return
	}
	m.roster.Store(m.makeRoster(now, made.settled))
	made.generation = m.view.Generation() // asking for candidates may change it
	m.published = made
}

func (m *Members) makeRoster(now time.Duration, settled bool) *Roster {
	live := m.view.Live(now)
	next := &Roster{
		VMs:         live,
		ByID:        make(map[string]platform.VM, len(live)),
		Groups:      map[string]GroupKeepers{},
		Leave:       m.leaving,
		LostServers: m.lost,
		Settled:     settled,
	}
	for _, vm := range live {
		next.ByID[vm.ID] = vm
	}
	for _, service := range m.store.Services() {
		for _, id := range service.Groups() {
			candidates, gone := m.view.Candidates(now, id.Domain, service.Isolation, id.String())
			next.Groups[id.String()] = GroupKeepers{
				ID:         id,
				Askable:    slices.Clone(candidates),
				Candidates: withKnownStart(candidates),
				Gone:       gone,
			}
		}
	}
	return next
}
