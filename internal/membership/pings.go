package membership

import (
	"cmp"
	"slices"
	"time"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// PingTargets returns the VMs to ping now and schedules their next pings. Over
// time it names at most Settings.MaxPingTargets VMs, each every
// Settings.PingInterval or less often, and Settings.MaxPingsPerSecond in all.
func (v *View) PingTargets(now time.Duration) []platform.VM {
	v.Tick(now)
	var due []platform.VM
	targets := v.watched()
	interval := v.settings.pingInterval(len(targets))
	for _, m := range targets {
		if now >= m.nextPing {
			m.nextPing = now + interval
			due = append(due, m.vm)
		}
	}
	return due
}

// watched returns the VMs that this one pings. The successors on the hash ring
// come first, so that every VM is pinged by some others however many co-keepers
// there are; then co-keepers, VMs under whose ids rows name other incarnations,
// and VMs that the list does not name.
func (v *View) watched() []*member {
	targets := v.successors()
	targets = appendNew(targets, v.coKeepers())
	targets = appendNew(targets, v.mentioned())
	targets = appendNew(targets, v.unlisted())
	return targets[:min(len(targets), v.settings.MaxPingTargets)]
}

func (v *View) coKeepers() []*member {
	ids := make([]string, 0, len(v.partners))
	for id := range v.partners {
		ids = append(ids, id)
	}
	return v.othersByID(ids)
}

func (v *View) mentioned() []*member {
	ids := make([]string, 0, len(v.mentions))
	for ref := range v.mentions {
		ids = append(ids, ref.ID)
	}
	return v.othersByID(ids)
}

// othersByID returns the members with the given ids, without this VM, in the
// order in which they follow it on the hash ring. So when the bound on targets
// cuts the list short, VMs with the same co-keepers ping different ones.
func (v *View) othersByID(ids []string) []*member {
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
// Every VM is so pinged by as many others, and no two need agree on who.
func (v *View) successors() []*member {
	ring := v.rosters.domain(v, v.self.vm.FailureDomain)
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
	for _, m := range v.rosters.all(v) {
		if !m.listed && m != v.self {
			found = append(found, m)
		}
	}
	return found
}

// appendNew appends the members that targets lacks.
func appendNew(targets, more []*member) []*member {
	for _, m := range more {
		if !slices.Contains(targets, m) {
			targets = append(targets, m)
		}
	}
	return targets
}

// Heard is a VM that this one has heard from, and how long ago.
type Heard struct {
	VM  ownership.VMRef
	Ago time.Duration
}

// HeardLately returns the VMs that answered this one's pings within
// Settings.SuspicionTime. Sent along with ping answers, it serves as the others'
// indirect evidence (PeerHeard).
func (v *View) HeardLately(now time.Duration) []Heard {
	var heard []Heard
	for _, m := range v.watched() {
		if m.answeredAt != never && now-m.answeredAt < v.settings.SuspicionTime {
			heard = append(heard, Heard{m.ref(), now - m.answeredAt})
		}
	}
	return heard
}
