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
	memberTick      = 100 * time.Millisecond // interval of pings and of suspicion checks
	listInterval    = time.Second            // between reads of the platform's VM list
	listTimeout     = 2 * time.Second
	pingTimeout     = 250 * time.Millisecond
	memberInboxSize = 4096
	// settleTime is long enough for a few pings of every VM that may keep a group.
	settleTime = 1500 * time.Millisecond
)

// Members maintains this VM's view of the other VMs: it reads the platform's VM list,
// pings peers and publishes a Roster. The goroutine of Run owns the view and the fields
// that are not safe for concurrent use; see knownIncarnations for the exception.
type Members struct {
	self         ownership.VMRef
	view         *membership.View
	lister       platform.VMLister
	clients      *peer.Clients
	store        *config.Store
	clock        func() time.Duration
	inbox        *ring.Ring[func(now time.Duration)]
	roster       atomic.Pointer[Roster]
	leaving      map[string]bool
	servers      map[string]bool // ids named by any list so far
	gone         map[string]bool // those of servers that the last list lacks
	incarnations knownIncarnations
	digests      peerDigests
	seeds        []string      // peers' addresses from the settings
	learned      bool          // VMs are known, from the list or from a seed
	learnedAt    time.Duration // when learned was set
	listReads    int           // number of lists read
	lastInputs   rosterInputs
	listReadable atomic.Bool // the last read of the list succeeded
}

// NewMembers returns a Members with an empty roster. Run starts the polling.
func NewMembers(self membership.Self, view *membership.View, lister platform.VMLister,
	clients *peer.Clients, store *config.Store, clock func() time.Duration, seeds []string) *Members {
	m := &Members{
		self:         ownership.VMRef{ID: self.ID, Incarnation: self.Incarnation},
		view:         view,
		lister:       lister,
		clients:      clients,
		store:        store,
		clock:        clock,
		inbox:        ring.New[func(time.Duration)](memberInboxSize),
		leaving:      map[string]bool{},
		servers:      map[string]bool{},
		incarnations: newKnownIncarnations(self.ID, self.Incarnation),
		seeds:        seeds,
	}
	m.roster.Store(&Roster{ByID: map[string]platform.VM{}, Groups: map[string]GroupCandidates{}})
	return m
}

// Roster returns the latest roster.
func (m *Members) Roster() *Roster { return m.roster.Load() }

// PlatformUp reports whether the last read of the VM list succeeded.
func (m *Members) PlatformUp() bool { return m.listReadable.Load() }

// Run updates the view until ctx is done.
func (m *Members) Run(ctx context.Context) {
	go m.pollList(ctx)
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

func (m *Members) pollList(ctx context.Context) {
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
	if m.listReadable.Swap(up) != up {
		slog.Info("membership: VM list of the platform became readable or unreadable", "readable", up)
	}
	if err != nil {
		return
	}
	m.inbox.Put(ctx, func(now time.Duration) {
		if !m.learned {
			m.learned, m.learnedAt = true, now
		}
		m.listReads++
		m.leaving = leavingServers(vms)
		m.gone = m.goneServers(vms)
		// The stated age counts back from the time when the request was sent. ListRead
		// counts it back from now.
		m.view.ListRead(now, m.incarnations.fill(vms), age+now-sentAt)
	})
}

// goneServers returns the ids of the servers that earlier lists named and vms lacks. Each
// call returns a new map, because rosters keep a reference to it.
func (m *Members) goneServers(vms []platform.VM) map[string]bool {
	gone := maps.Clone(m.servers)
	for _, vm := range vms {
		if vm.Role == "server" {
			m.servers[vm.ID] = true
			delete(gone, vm.ID)
		}
	}
	return gone
}

// leavingServers returns the ids of the servers that the list marks as leaving.
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
		m.digests.record(vm.ID, answer.GetConfigDigest(), m.clock())
	}
	m.inbox.Put(ctx, func(now time.Duration) {
		if err != nil {
			m.view.PingFailed(now, vm.ID)
			return
		}
		m.incarnations.record(decodeVM(answer.GetFrom()))
		m.view.PingAnswered(now, answer.GetFrom().GetId(), answer.GetFrom().GetIncarnation(), answer.GetStopping())
	})
}

// settled reports whether the running VMs have had time to answer a ping since this VM
// learned of them. Before that, the first VM to start would take every role, regardless
// of failure domains.
func (m *Members) settled(now time.Duration) bool {
	return m.learned && now-m.learnedAt >= settleTime
}

// CheckRowVM starts to check whether a VM named in a group's row is gone. It is meant for
// a VM whose incarnation is not in the roster.
func (m *Members) CheckRowVM(ctx context.Context, ref ownership.VMRef) {
	m.inbox.Put(ctx, func(now time.Duration) {
		switch m.incarnations.classify(ref) {
		case incarnationStale:
			m.view.RowNamesVM(now, ref)
		case incarnationUnknown:
			go m.pingListed(ctx, ref.ID)
		}
	})
}

// LearnIncarnations pings those of the VMs whose incarnation has no process suffix. A
// keeper can hand over its role only to a VM whose full incarnation it knows.
func (m *Members) LearnIncarnations(ctx context.Context, refs []ownership.VMRef) {
	for _, ref := range refs {
		if !strings.Contains(ref.Incarnation, incarnationSeparator) {
			m.inbox.Put(ctx, func(time.Duration) { go m.pingListed(ctx, ref.ID) })
		}
	}
}

// pingListed pings a VM that the list names, to learn its full incarnation.
func (m *Members) pingListed(ctx context.Context, id string) {
	address, ok := m.incarnations.address(id)
	if ok {
		m.ping(ctx, platform.VM{ID: id, Address: address})
	}
}

// askSeeds learns VMs from the peers named in the settings until the roster is settled,
// so that a VM can start while the platform's list cannot be read.
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
		if !m.learned {
			m.learned, m.learnedAt = true, now
		}
	})
}
