package daemon

import (
	"context"
	"log/slog"
	"maps"
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
