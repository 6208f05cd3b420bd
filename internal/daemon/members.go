package daemon

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/membership"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/peer"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/ring"
)

const (
	memberTick       = 50 * time.Millisecond // granularity of pings and suspicion
	listInterval     = time.Second           // of reads of the platform's VM list
	listTimeout      = 2 * time.Second
	pingTimeout      = 250 * time.Millisecond
	memberInboxItems = 4096
)

// Roster is an immutable view of the VMs, as this VM sees them.
type Roster struct {
	VMs    []platform.VM            // live entry VMs
	ByID   map[string]platform.VM   // the same, by id
	Groups map[string]GroupKeepers  // by group
	Leave  map[string]bool          // servers that the platform's list calls leaving
	Listed bool                     // the platform's list was read at least once
	Gone   map[ownership.VMRef]bool // VMs known to run no more
}

// GroupKeepers are the VMs that may keep one group.
type GroupKeepers struct {
	ID         config.GroupID
	Candidates []ownership.VMRef // in order of preference
	Gone       []ownership.VMRef
}

// Members runs the membership duty: it reads the VM list, pings peers and
// publishes a Roster. Its goroutine owns the view.
type Members struct {
	self     ownership.VMRef
	view     *membership.View
	lister   platform.VMLister
	clients  *peer.Clients
	store    *config.Store
	clock    func() time.Duration
	inbox    *ring.Ring[func(now time.Duration)]
	roster   atomic.Pointer[Roster]
	leaving  map[string]bool
	starts   map[string]string // by VM id: the incarnation that answered a ping last
	listed   bool
	platform atomic.Bool // the last read of the list succeeded
}

// startSeparator parts the platform's incarnation of a VM from the mark of one
// start of the daemon on it. The platform's list knows the first part only; a
// daemon that was started again on the same VM has forgotten its promises and
// must not be taken for its predecessor.
const startSeparator = "."

// startMarkLength keeps marks of one VM apart: 32 random bits.
const startMarkLength = 8

func newIncarnation(platformPart string) string {
	return platformPart + startSeparator + uuid.NewString()[:startMarkLength]
}

// withStarts returns the list with the full incarnation of each VM whose start
// is known. A VM that the list names under another platform incarnation keeps
// the list's: it was replaced.
func (m *Members) withStarts(vms []platform.VM) []platform.VM {
	out := slices.Clone(vms)
	for i := range out {
		start, ok := m.starts[out[i].ID]
		if !ok {
			continue
		}
		platformPart, _, _ := strings.Cut(start, startSeparator)
		if platformPart == "" || platformPart == out[i].Incarnation {
			out[i].Incarnation = start
		}
	}
	return out
}

// NewMembers returns the duty. Run starts it.
func NewMembers(self membership.Self, view *membership.View, lister platform.VMLister,
	clients *peer.Clients, store *config.Store, clock func() time.Duration) *Members {
	m := &Members{
		self:    ownership.VMRef{ID: self.ID, Incarnation: self.Incarnation},
		view:    view,
		lister:  lister,
		clients: clients,
		store:   store,
		clock:   clock,
		inbox:   ring.New[func(time.Duration)](memberInboxItems),
		leaving: map[string]bool{},
		starts:  map[string]string{self.ID: self.Incarnation},
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
		if !sleep(ctx, listInterval) {
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
		m.listed = true
		m.leaving = leavingServers(vms)
		// The list may be as old as the time since the question, too.
		m.view.ListRead(now, m.withStarts(vms), age+now-sentAt)
	})
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
	from := &peer.VMRef{Id: m.self.ID, Incarnation: m.self.Incarnation}
	answer, err := m.clients.For(vm.Address).Ping(callCtx, &peer.PingRequest{From: from})
	m.inbox.Put(ctx, func(now time.Duration) {
		if err != nil {
			m.view.PingFailed(now, vm.ID)
			return
		}
		m.starts[answer.GetFrom().GetId()] = answer.GetFrom().GetIncarnation()
		m.view.PingAnswered(now, answer.GetFrom().GetId(), answer.GetFrom().GetIncarnation(), answer.GetStopping())
	})
}

func (m *Members) publish(now time.Duration) {
	live := m.view.Live(now)
	next := &Roster{
		VMs:    live,
		ByID:   make(map[string]platform.VM, len(live)),
		Groups: map[string]GroupKeepers{},
		Leave:  m.leaving,
		Listed: m.listed,
		Gone:   map[ownership.VMRef]bool{},
	}
	for _, vm := range live {
		next.ByID[vm.ID] = vm
	}
	for _, service := range m.store.Services() {
		for _, id := range service.Groups() {
			candidates, gone := m.view.Candidates(now, id.Domain, service.Isolation, id.String())
			next.Groups[id.String()] = GroupKeepers{ID: id, Candidates: withKnownStart(candidates), Gone: gone}
			for _, ref := range gone {
				next.Gone[ref] = true
			}
		}
	}
	m.roster.Store(next)
}

// withKnownStart leaves out VMs that are only listed. Named in a row by the
// platform's incarnation alone, such a VM would not know itself as standby.
func withKnownStart(refs []ownership.VMRef) []ownership.VMRef {
	return slices.DeleteFunc(refs, func(ref ownership.VMRef) bool {
		return !strings.Contains(ref.Incarnation, startSeparator)
	})
}

// sleep waits and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
