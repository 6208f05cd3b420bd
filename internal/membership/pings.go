package membership

import (
	"cmp"
	"slices"
	"time"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// PingTargets returns the VMs to ping now and schedules their next pings. At any
// time there are at most Settings.MaxPingTargets targets. Each is pinged at most
// once per Settings.PingInterval, and all of them together at most
// Settings.MaxPingsPerSecond times per second.
func (v *View) PingTargets(now time.Duration) []platform.VM {
	v.Tick(now)
	var due []platform.VM
	targets := v.allTargets()
	interval := v.settings.pingInterval(len(targets))
	for _, m := range targets {
		if now >= m.nextPing {
			m.nextPing = now + interval
			due = append(due, m.vm)
		}
	}
	return due
}

// allTargets returns the VMs that this VM pings. The successors on the hash ring
// come first, so that every VM is pinged by some others regardless of the number of
// fellow candidates. Then follow the fellow candidates, the VMs that rows name with
// another incarnation, and the unlisted VMs.
func (v *View) allTargets() []*member {
	targets := v.successors()
	targets = appendNew(targets, v.fellowCandidates())
	targets = appendNew(targets, v.rowVMMembers())
	targets = appendNew(targets, v.unlisted())
	return targets[:min(len(targets), v.settings.MaxPingTargets)]
}

func (v *View) fellowCandidates() []*member {
	ids := make([]string, 0, len(v.fellowCandidateExpiry))
	for id := range v.fellowCandidateExpiry {
		ids = append(ids, id)
	}
	return v.othersInRingOrder(ids)
}

func (v *View) rowVMMembers() []*member {
	ids := make([]string, 0, len(v.rowVMs))
	for ref := range v.rowVMs {
		ids = append(ids, ref.ID)
	}
	return v.othersInRingOrder(ids)
}

// othersInRingOrder returns the members with the given ids, except this VM, in the
// order in which they follow it on the hash ring. If MaxPingTargets truncates the list,
// VMs with the same fellow candidates therefore ping different ones.
func (v *View) othersInRingOrder(ids []string) []*member {
	var found []*member
	for _, id := range ids {
		if m := v.members[id]; m != nil && m != v.self {
			found = append(found, m)
		}
	}
	slices.SortFunc(found, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.hash-v.self.hash, b.hash-v.self.hash), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	return found
}

// successors returns the next VMs on the hash ring of this VM's failure domain.
// Every VM is thus pinged by the same number of others, without any coordination.
func (v *View) successors() []*member {
	ring := v.memberIndex.domain(v, v.self.vm.FailureDomain)
	at := slices.Index(ring, v.self)
	count := min(v.settings.RingSuccessors, len(ring)-1)
	found := make([]*member, 0, count)
	for i := range count {
		found = append(found, ring[(at+1+i)%len(ring)])
	}
	return found
}

func (v *View) unlisted() []*member {
	var found []*member
	for _, m := range v.memberIndex.all(v) {
		if !m.listed && m != v.self {
			found = append(found, m)
		}
	}
	return found
}

// appendNew appends the members of more that are not in targets.
func appendNew(targets, more []*member) []*member {
	for _, m := range more {
		if !slices.Contains(targets, m) {
			targets = append(targets, m)
		}
	}
	return targets
}

// Heard states how long ago this VM heard from another VM.
type Heard struct {
	VM  ownership.VMRef
	Ago time.Duration
}

// HeardRecently returns the VMs that answered a ping of this VM within the last
// Settings.SuspicionTime. A peer can pass them to PeerHeard as indirect evidence. The
// daemon calls neither: its ping answers do not contain these VMs.
func (v *View) HeardRecently(now time.Duration) []Heard {
	var heard []Heard
	for _, m := range v.allTargets() {
		if m.answeredAt != never && now-m.answeredAt < v.settings.SuspicionTime {
			heard = append(heard, Heard{m.ref(), now - m.answeredAt})
		}
	}
	return heard
}
