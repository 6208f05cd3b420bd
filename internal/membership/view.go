// Package membership holds one VM's view of the entry VMs: which run, which are
// gone, which of them may keep a group, and whom to ping.
//
// Two sources are combined. The platform's VM list names every VM but lags.
// Pings are answered at once but reach few VMs: no VM pings all others. A VM
// pings the next VMs on the hash ring of its failure domain, its co-keepers (the
// first candidates of the groups for which it is a first candidate itself), VMs
// whose start is in doubt, and VMs that answer but are not in the list, up to
// Settings.MaxPingTargets in this order. So its pings a second are bounded
// whatever the number of VMs.
//
// Three states are told apart:
//   - live: named by the list or heard of lately, and not suspected;
//   - suspected: silent for Settings.SuspicionTime. It may be paused or cut off,
//     so it may come back and may still act on rights that it holds;
//   - gone: proved to run no longer. Only this lets a third VM take over.
//
// The proof of gone is what keeps two keepers apart, so it is drawn narrowly. A
// list read counts as the truth at the time of its reading less its age. A VM is
// gone if such a time, later than any at which the VM was known to run, finds it
// absent or its id under another incarnation; or if another incarnation answers
// under its id to a ping that was sent after that time. An answer may have been
// under way for PingTimeout and so proves nothing about the time of its arrival.
// Where the order of two incarnations is open, nothing is concluded. A VM that
// was never listed may be too young for the list: it gets ListGrace in addition.
//
// An incarnation is the platform's, and may go on after a dot with the mark of
// one start of the daemon on that VM. The list knows nothing of the mark, so of
// two starts on one VM only an answer can tell which has ended.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// roleEntry is the role of entry VMs in the VM list.
const roleEntry = "entry"

// maxGone bounds the VMs remembered as gone. One that is forgotten while a row
// still names it is proved gone anew after Mention.
const maxGone = 4096

// Self is this VM.
type Self struct {
	ID            string
	Incarnation   string
	FailureDomain string
	Address       string // host:port that its peers use
}

// View is what one VM knows of the entry VMs. It is owned by one goroutine; no
// method may be called from another. Times are readings of that process's
// monotonic clock and never decrease from call to call.
type View struct {
	self     *member
	settings Settings

	members  map[string]*member // by id, this VM among them
	doubtful map[string]*member // by id: unlisted, or with pings unanswered
	gone     goneSet
	mentions map[ownership.VMRef]time.Duration // refs in rows, not known to run: since when

	listAsOf   time.Duration            // what the newest list read was the truth of
	holders    map[string]string        // address: id of the VM that answered there last
	partners   map[string]time.Duration // co-keepers by id: until when they are pinged
	rosters    rosters
	ranked     map[string]rankedGroup // by group
	live       liveVMs
	generation uint64
}

// NewView returns a view that knows this VM alone.
func NewView(self Self, s Settings) *View {
	v := &View{
		settings: s,
		members:  map[string]*member{},
		doubtful: map[string]*member{},
		gone:     newGoneSet(maxGone),
		mentions: map[ownership.VMRef]time.Duration{},
		listAsOf: never,
		holders:  map[string]string{},
		partners: map[string]time.Duration{},
		ranked:   map[string]rankedGroup{},
	}
	v.self = v.add(0, platform.VM{
		ID:            self.ID,
		Incarnation:   self.Incarnation,
		Role:          roleEntry,
		FailureDomain: self.FailureDomain,
		Address:       self.Address,
		State:         platform.VMLive,
	})
	v.self.listed = true
	delete(v.doubtful, self.ID)
	return v
}

// Generation changes whenever Live, Candidates or gone VMs may have changed. It
// tells a caller when to ask again.
func (v *View) Generation() uint64 { return v.generation }

// Tick lets time pass: it suspects VMs that have been silent for too long, and
// trusts the list again about VMs that are no longer pinged.
func (v *View) Tick(now time.Duration) {
	for id, m := range v.doubtful {
		v.review(now, m)
		if m.listed && m.failures == 0 {
			delete(v.doubtful, id)
		}
	}
	v.expirePartners(now)
}

// review decides anew whether a doubtful member is suspected.
func (v *View) review(now time.Duration, m *member) {
	if m.listed && m.failures > 0 && now-m.failedAt >= partnerTime {
		m.failures = 0
	}
	suspected := m.silent(now, v.settings)
	if suspected != m.suspected {
		m.suspected = suspected
		v.generation++
	}
}

// Stop tells that this VM is shutting down: it is no candidate any more.
func (v *View) Stop() {
	v.self.stopping = true
	v.changed()
}

// Learn adds a VM that another source names, such as a peer or the settings of
// this process. It counts as live once it has answered.
func (v *View) Learn(now time.Duration, vm platform.VM) {
	if v.members[vm.ID] != nil || v.gone.has(refOf(vm)) {
		return
	}
	vm.Role = roleEntry
	v.add(now, vm)
}

// PingAnswered takes in an answer, with the id and incarnation that the answer
// itself names. If that is not the VM that was meant to be pinged, PingFailed is
// to be called for the latter.
func (v *View) PingAnswered(now time.Duration, id, incarnation string, stopping bool) {
	m := v.members[id]
	if m == nil || m == v.self {
		return
	}
	if m.vm.Incarnation != incarnation {
		m = v.answeredAnew(now, m, incarnation)
		if m == nil {
			return
		}
	}
	if m.stopping != stopping {
		m.stopping = stopping
		v.changed()
	}
	m.answeredAt = now
	v.hear(m, now)
	v.holdAddress(m)
	v.settleMentionsBy(m, now-v.settings.PingTimeout)
}

// answeredAnew handles an answer of another incarnation under a known id. It
// returns the new member, or nil if the answer may be that of a predecessor.
func (v *View) answeredAnew(now time.Duration, old *member, incarnation string) *member {
	vm := old.vm
	vm.Incarnation = incarnation
	vm.State = platform.VMLive
	sentNoEarlier := now - v.settings.PingTimeout
	if !v.replaces(vm, sentNoEarlier, old) {
		return nil
	}
	v.remove(old)
	return v.add(now, vm)
}

// PeerHeard takes in another VM's word that it heard from a VM some time ago. It
// keeps a VM from being suspected by one whose own path to it is broken.
func (v *View) PeerHeard(now time.Duration, ref ownership.VMRef, ago time.Duration) {
	m := v.members[ref.ID]
	if m == nil || m == v.self || m.vm.Incarnation != ref.Incarnation {
		return
	}
	v.hear(m, now-max(0, ago))
}

// hear records that a member ran at a time.
func (v *View) hear(m *member, at time.Duration) {
	known := m.heardAt != never
	m.heard(at)
	if !known || m.suspected && m.failures == 0 {
		m.suspected = false
		v.changed()
	}
}

// holdAddress records that a member was the last to answer at its address.
func (v *View) holdAddress(m *member) {
	address := m.vm.Address
	if address == "" || v.holders[address] == m.vm.ID {
		return
	}
	v.holders[address] = m.vm.ID
	v.changed()
}

// PingFailed takes in that a VM did not answer a ping in time.
func (v *View) PingFailed(now time.Duration, id string) {
	m := v.members[id]
	if m == nil || m == v.self {
		return
	}
	m.failed(now, v.settings)
	v.doubtful[id] = m
	v.Tick(now)
}

// liveVMs is the answer to Live, kept while the view stays as it is.
type liveVMs struct {
	generation uint64
	vms        []platform.VM
}

// Live returns the VMs taken for running, this one among them, ordered by id.
// The slice must not be changed: it is the same until Generation changes.
func (v *View) Live(now time.Duration) []platform.VM {
	v.Tick(now)
	if v.live.generation == v.generation {
		return v.live.vms
	}
	members := v.rosters.all(v)
	live := make([]platform.VM, 0, len(members))
	for _, m := range members {
		if v.isLive(m) {
			live = append(live, m.vm)
		}
	}
	v.live = liveVMs{v.generation, live}
	return live
}

// isLive reports whether a member is taken for running. Of two VMs at one
// address only the one that answered there last is: the other was replaced.
func (v *View) isLive(m *member) bool {
	if m == v.self {
		return true
	}
	holder := v.members[v.holders[m.vm.Address]]
	displaced := holder != nil && holder.vm.Address == m.vm.Address && holder.heardAt > m.heardAt
	return m.live() && !displaced
}

func (v *View) add(now time.Duration, vm platform.VM) *member {
	m := &member{
		vm:         vm,
		hash:       xxhash.Sum64String(vm.ID),
		listedAt:   never,
		knownAt:    now,
		heardAt:    never,
		answeredAt: never,
		nextPing:   now,
	}
	v.members[vm.ID] = m
	v.doubtful[vm.ID] = m
	delete(v.mentions, refOf(vm))
	v.changed()
	return m
}

// remove forgets a member that is gone.
func (v *View) remove(m *member) {
	delete(v.members, m.vm.ID)
	delete(v.doubtful, m.vm.ID)
	if v.holders[m.vm.Address] == m.vm.ID {
		delete(v.holders, m.vm.Address)
	}
	v.bury(m.ref())
}

func (v *View) bury(ref ownership.VMRef) {
	v.gone.add(ref)
	v.changed()
}

// changed records that queries may answer differently now.
func (v *View) changed() {
	v.generation++
	v.rosters.dirty = true
}

func refOf(vm platform.VM) ownership.VMRef {
	return ownership.VMRef{ID: vm.ID, Incarnation: vm.Incarnation}
}
