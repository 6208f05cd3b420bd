// Package membership maintains one VM's view of the entry VMs: which are running,
// which are gone, which may keep a group, and which to ping.
//
// It combines two sources. The platform's VM list names every VM but lags behind.
// Pings give current information but only about a few VMs, because no VM pings
// all others. A VM pings, in this order and up to Settings.MaxPingTargets:
//   - its successors on the hash ring of its failure domain;
//   - its fellow candidates, which are the other first candidates of the groups for
//     which it is itself a first candidate;
//   - the VMs that a group row names with another incarnation;
//   - VMs that are known but not listed.
//
// The number of pings per second is therefore bounded regardless of the number of VMs.
//
// A VM is in one of three states:
//   - live: listed or recently heard from, and not suspected;
//   - suspected: silent for Settings.SuspicionTime. The VM may be paused or
//     partitioned, so it may come back and may still act on its leases;
//   - gone: proved to have stopped. Only this state lets a third VM take over.
//
// The proof that a VM is gone prevents two VMs from keeping the same group, so its
// conditions are strict. A list read describes the state at the time when the read
// was sent, minus the age that the platform states. An incarnation of a VM is gone
// in two cases:
//   - a list read that describes a time after the VM was last known to run does
//     not contain the VM's id, or contains it with another incarnation;
//   - another incarnation with the same id answers a ping that was sent after the
//     VM was last known to run.
//
// An answer may have been in transit for up to PingTimeout, so it does not prove
// that the VM still ran when the answer arrived. If the order of two incarnations
// is unknown, neither is considered gone. A VM that was never listed may be too new
// for the list, so it is given an additional ListGrace.
//
// An incarnation consists of the platform's incarnation and, optionally, a dot and a
// process suffix, which identifies one daemon process on that VM. The list does not
// contain the process suffix. Of two daemon processes on one VM, only an answer can
// therefore show which one has terminated.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// roleEntry is the role of entry VMs in the VM list.
const roleEntry = "entry"

// maxGone is the maximum number of gone VMs to remember. If a row still names a VM
// that was forgotten, RowNamesVM starts a new proof that it is gone.
const maxGone = 4096

// Self describes the VM that holds the view.
type Self struct {
	ID            string
	Incarnation   string
	FailureDomain string
	Address       string // host:port that its peers use
}

// View is one VM's knowledge of the entry VMs. It is not safe for concurrent use.
// All times are readings of this process's monotonic clock and must not decrease
// from call to call.
type View struct {
	self     *member
	settings Settings

	members   map[string]*member // by id, including this VM
	uncertain map[string]*member // by id: unlisted, or with unanswered pings
	gone      goneSet
	rowVMs    map[ownership.VMRef]time.Duration // VMs named in rows but not known to run: when RowNamesVM first got them

	listAsOf              time.Duration            // time that the newest list read describes
	lastResponder         map[string]string        // by address: id of the VM that last answered there
	fellowCandidateExpiry map[string]time.Duration // by id of the fellow candidate: until when it is pinged
	memberIndex           memberIndex
	ranked                map[string]rankedGroup // by group key
	live                  liveVMs
	generation            uint64
}

// NewView returns a view that contains only this VM.
func NewView(self Self, s Settings) *View {
	v := &View{
		settings:              s,
		members:               map[string]*member{},
		uncertain:             map[string]*member{},
		gone:                  newGoneSet(maxGone),
		rowVMs:                map[ownership.VMRef]time.Duration{},
		listAsOf:              never,
		lastResponder:         map[string]string{},
		fellowCandidateExpiry: map[string]time.Duration{},
		ranked:                map[string]rankedGroup{},
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
	delete(v.uncertain, self.ID)
	return v
}

// Generation returns a number that changes whenever the results of Live or
// Candidates may have changed, so that users of the view know when to query again.
func (v *View) Generation() uint64 { return v.generation }

// Tick applies the passage of time. It suspects VMs that have been silent for too
// long and clears the suspicion of listed VMs that are no longer pinged.
func (v *View) Tick(now time.Duration) {
	for id, m := range v.uncertain {
		v.updateSuspicion(now, m)
		if m.listed && m.failures == 0 {
			delete(v.uncertain, id)
		}
	}
	v.expireFellowCandidates(now)
}

// updateSuspicion updates whether an uncertain member is suspected. A listed member
// that has not been pinged for fellowCandidateTTL is no longer suspected.
func (v *View) updateSuspicion(now time.Duration, m *member) {
	if m.listed && m.failures > 0 && now-m.failedAt >= fellowCandidateTTL {
		m.failures = 0
	}
	suspected := m.shouldSuspect(now, v.settings)
	if suspected != m.suspected {
		m.suspected = suspected
		v.generation++
	}
}

// Stop records that this VM is shutting down, so that it is no longer a candidate.
func (v *View) Stop() {
	v.self.stopping = true
	v.changed()
}

// Learn adds a VM that is named by another source, such as a peer or the settings
// of this process. The VM is live only after it has answered.
func (v *View) Learn(now time.Duration, vm platform.VM) {
	if v.members[vm.ID] != nil || v.gone.has(refOf(vm)) {
		return
	}
	vm.Role = roleEntry
	v.add(now, vm)
}

// PingAnswered records a ping answer. id and incarnation are those stated in the
// answer. If another VM answered than was pinged, neither an answer nor a failure is
// recorded for the pinged VM. If the other VM is known at the same address, it is now the
// last one to have answered there, so isLive excludes the pinged VM. If only the
// incarnation differs, the answering incarnation replaces the known one, unless it may
// be a predecessor.
func (v *View) PingAnswered(now time.Duration, id, incarnation string, stopping bool) {
	m := v.members[id]
	if m == nil || m == v.self {
		return
	}
	if m.vm.Incarnation != incarnation {
		m = v.handleNewIncarnation(now, m, incarnation)
		if m == nil {
			return
		}
	}
	if m.stopping != stopping {
		m.stopping = stopping
		v.changed()
	}
	m.answeredAt = now
	v.recordHeard(m, now)
	v.recordResponder(m)
	v.resolveRowVMsByAnswer(m, now-v.settings.PingTimeout)
}

// handleNewIncarnation handles an answer of another incarnation of a known id. It
// returns the new member, or nil if the answer may come from a predecessor.
func (v *View) handleNewIncarnation(now time.Duration, old *member, incarnation string) *member {
	vm := old.vm
	vm.Incarnation = incarnation
	vm.State = platform.VMLive
	earliestSentAt := now - v.settings.PingTimeout
	if !v.replaces(vm, earliestSentAt, old) {
		return nil
	}
	v.remove(old)
	return v.add(now, vm)
}

// PeerHeard records the report of a peer that it heard from a VM some time ago. Such
// indirect evidence prevents a VM from being suspected by another one whose own
// network path to it is broken.
func (v *View) PeerHeard(now time.Duration, ref ownership.VMRef, ago time.Duration) {
	m := v.members[ref.ID]
	if m == nil || m == v.self || m.vm.Incarnation != ref.Incarnation {
		return
	}
	v.recordHeard(m, now-max(0, ago))
}

// recordHeard records that a member ran at the given time.
func (v *View) recordHeard(m *member, at time.Duration) {
	known := m.heardAt != never
	m.recordHeard(at)
	if !known || m.suspected && m.failures == 0 {
		m.suspected = false
		v.changed()
	}
}

// recordResponder records that a member was the last one to answer at its address.
func (v *View) recordResponder(m *member) {
	address := m.vm.Address
	if address == "" || v.lastResponder[address] == m.vm.ID {
		return
	}
	v.lastResponder[address] = m.vm.ID
	v.changed()
}

// PingFailed records that a VM did not answer a ping in time.
func (v *View) PingFailed(now time.Duration, id string) {
	m := v.members[id]
	if m == nil || m == v.self {
		return
	}
	m.recordPingFailure(now, v.settings)
	v.uncertain[id] = m
	v.Tick(now)
}

// liveVMs caches the result of Live for one generation of the view.
type liveVMs struct {
	generation uint64
	vms        []platform.VM
}

// Live returns the VMs considered running, including this one, ordered by id. The
// slice must not be modified: it is shared by all calls until Generation changes.
func (v *View) Live(now time.Duration) []platform.VM {
	v.Tick(now)
	if v.live.generation == v.generation {
		return v.live.vms
	}
	members := v.memberIndex.all(v)
	live := make([]platform.VM, 0, len(members))
	for _, m := range members {
		if v.isLive(m) {
			live = append(live, m.vm)
		}
	}
	v.live = liveVMs{v.generation, live}
	return live
}

// isLive reports whether a member is considered running. Of two VMs at the same
// address, only the last one that answered there is, as it has replaced the other.
func (v *View) isLive(m *member) bool {
	if m == v.self {
		return true
	}
	responder := v.members[v.lastResponder[m.vm.Address]]
	displaced := responder != nil && responder.vm.Address == m.vm.Address && responder.heardAt > m.heardAt
	return m.presumedRunning() && !displaced
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
	v.uncertain[vm.ID] = m
	delete(v.rowVMs, refOf(vm))
	v.changed()
	return m
}

// remove removes a member and marks it gone.
func (v *View) remove(m *member) {
	delete(v.members, m.vm.ID)
	delete(v.uncertain, m.vm.ID)
	if v.lastResponder[m.vm.Address] == m.vm.ID {
		delete(v.lastResponder, m.vm.Address)
	}
	v.markGone(m.ref())
}

func (v *View) markGone(ref ownership.VMRef) {
	v.gone.add(ref)
	v.changed()
}

// changed records that the results of queries may have changed.
func (v *View) changed() {
	v.generation++
	v.memberIndex.stale = true
}

func refOf(vm platform.VM) ownership.VMRef {
	return ownership.VMRef{ID: vm.ID, Incarnation: vm.Incarnation}
}
